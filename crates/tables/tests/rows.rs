//! Rows that are formatted and parsed again must be unchanged.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_tables::{
    Domain, Guarantee, Pool, PoolKind, Route, Row, Tables, Team, format_size, parse_size,
};
use skylarkpulley_types::{Locality, Shape};

#[derive(Clone, Debug)]
struct AnyRow(Row);

fn up_to(g: &mut Gen, max: u64) -> u64 {
    u64::arbitrary(g) % (max + 1)
}

fn name(g: &mut Gen) -> String {
    let letters: Vec<char> = "abyzAZ059-_".chars().collect();
    let length = 1 + up_to(g, 62);
    (0..length).filter_map(|_| g.choose(&letters)).collect()
}

fn route(g: &mut Gen) -> Route {
    Route {
        name: name(g),
        path: format!("/{}/.{}~", name(g), name(g)),
        pool: name(g),
        priority: up_to(g, 9) as u8,
        idempotent: bool::arbitrary(g),
        deadline: Duration::from_micros(1000 + up_to(g, 3_599_999_000)),
        queue: 1 + up_to(g, 9999) as u32,
        retry_percent: up_to(g, 100) as u8,
        body_limit: 1 + up_to(g, (3 << 20) - 1),
    }
}

/// Returns a pool whose teams, domains and guarantees have numbered names, because the names must
/// be unique and sorted.
fn pool(g: &mut Gen) -> Pool {
    let count = 1 + up_to(g, 9) as u32;
    let team =
        |g: &mut Gen, index| Team { name: format!("t{index}"), weight: 1 + up_to(g, 999) as u32 };
    let teams: Vec<_> = (0..count).map(|index| team(g, index)).collect();
    let name = name(g);
    if bool::arbitrary(g) {
        let slots = 1 + up_to(g, 9999) as u32;
        return Pool {
            name,
            kind: PoolKind::Upstream,
            slots,
            connections: slots + up_to(g, 50_000) as u32,
            objective: 0.0,
            cores: 0,
            memory_mib: 0,
            accelerators: 0,
            domains: Vec::new(),
            teams,
            guarantees: Vec::new(),
        };
    }
    let localities = [Locality::Worker, Locality::Rack, Locality::Domain, Locality::Pool];
    let shape = |g: &mut Gen| {
        let locality = localities[up_to(g, 3) as usize];
        Shape::new(1 + up_to(g, 7) as u32, 1 + up_to(g, 127) as u32, locality)
    };
    let guarantee = |g: &mut Gen, index| Guarantee {
        name: format!("g{index}"),
        team: "t0".to_owned(),
        shape: shape(g),
        count: 1 + up_to(g, 4999) as u32,
    };
    let domain = |g: &mut Gen, index| Domain {
        name: format!("d{index}"),
        racks: (0..count).map(|_| 1 + up_to(g, 99) as u32).collect(),
    };
    Pool {
        name,
        kind: PoolKind::Worker,
        slots: 0,
        connections: 0,
        objective: up_to(g, 1 << 52) as f64 / (1_u64 << 52) as f64,
        cores: 1 + up_to(g, 4095) as u32,
        memory_mib: 1 + up_to(g, (64 << 20) - 1),
        accelerators: 8,
        domains: (0..count).map(|index| domain(g, index)).collect(),
        teams,
        guarantees: (0..count).map(|index| guarantee(g, index)).collect(),
    }
}

impl Arbitrary for AnyRow {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(if bool::arbitrary(g) { Row::Route(route(g)) } else { Row::Pool(pool(g)) })
    }
}

#[test]
fn parse_written_row() {
    fn property(AnyRow(row): AnyRow) -> bool {
        Row::parse(&row.key(), &row.to_text()) == Ok(row)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, 15))
        .tests(1000)
        .quickcheck(property as fn(AnyRow) -> bool);
}

#[test]
fn parse_size_cases() {
    for (text, bytes) in [("0B", 0), ("1B", 1), ("64KiB", 65_536), ("3 MiB", 3 << 20)] {
        assert_eq!(parse_size(text), Some(bytes));
    }
    for text in ["", "B", "64", "64KB", "-1B", "+1B", "1.5KiB", "16777216TiB", "KiB"] {
        assert_eq!(parse_size(text), None, "{text}");
    }
    assert_eq!([0, 1023, 1024, 3 << 20].map(format_size), ["0B", "1023B", "1KiB", "3MiB"]);
}

/// Guards against accepting a route whose pool is missing because the row of the pool did not reach
/// an agent.
#[test]
fn from_rows_missing_pool() {
    let text = Row::Route(Route {
        name: "settle".to_owned(),
        path: "/settle".to_owned(),
        pool: "balance".to_owned(),
        priority: 0,
        idempotent: false,
        deadline: Duration::from_millis(800),
        queue: 64,
        retry_percent: 10,
        body_limit: 1024,
    })
    .to_text();
    let faults = Tables::from_rows([("route/settle", text.as_str())]).expect_err("no pool");
    let expected = r#"route/settle:1:1: route.settle.pool = "balance": must be the name of a pool"#;
    assert_eq!(faults.iter().map(ToString::to_string).collect::<Vec<_>>(), [expected]);
}

#[test]
fn route_for_longest_prefix() {
    let mut g = Gen::from_size_and_seed(8, 16);
    let mut tables = Tables::default();
    for path in ["/", "/settle", "/settle/late"] {
        tables.routes.push(Route { path: path.to_owned(), ..route(&mut g) });
    }
    for (path, expected) in [
        ("/settle", "/settle"),
        ("/settle/7", "/settle"),
        ("/settle/late/7", "/settle/late"),
        ("/settlement", "/"),
        ("/", "/"),
    ] {
        assert_eq!(tables.route_for(path).map(|route| route.path.as_str()), Some(expected));
    }
}
