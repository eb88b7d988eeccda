//! The sample tables must be accepted, and must be unchanged when they are formatted and parsed
//! again.

use std::fs;
use std::path::Path;

use skylarkpulley_tables::{Packer, Row, Tables, Tolerance, parse};

fn sample(name: &str) -> Tables {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(name);
    let read_file = |file: &str| fs::read(folder.join(file)).expect("the sample exists");
    parse(&read_file("routes.toml"), &read_file("pools.toml")).expect("the sample has no faults")
}

#[test]
fn parse_samples() {
    for (name, workers, racks) in [("canteen", 3, 1), ("booking", 2, 1)] {
        let tables = sample(name);
        let pool = tables.pools.iter().find(|pool| pool.accelerators == 8).expect("worker pool");
        assert_eq!(pool.worker_count(), 11);
        let tolerance = Tolerance::new(&Packer::for_pool(pool)).expect("guarantees fit");
        println!("{name}: {tolerance:?}");
        assert_eq!((tolerance.workers.failures, tolerance.workers.exact), (workers, true));
        assert_eq!((tolerance.racks.failures, tolerance.racks.exact), (racks, true));
    }
}

/// Guards against tables that change when their rows are distributed as text.
#[test]
fn from_rows_same_tables() {
    for name in ["canteen", "booking"] {
        let tables = sample(name);
        let rows = tables.rows();
        let pairs = rows.iter().map(|(key, text)| (key.as_str(), text.as_str()));
        assert_eq!(Tables::from_rows(pairs), Ok(tables.clone()));
        let (routes, pools) = tables.to_texts();
        assert_eq!(parse(routes.as_bytes(), pools.as_bytes()), Ok(tables));
    }
}

#[test]
fn parse_row_wrong_key() {
    let rows = sample("canteen").rows();
    let text = &rows["route/check"];
    assert!(Row::parse("route/check", text).is_ok());
    for key in ["route/settle", "pool/check", "check", "team/check"] {
        let faults = Row::parse(key, text).expect_err("the key does not match");
        assert_eq!(faults[0].file, key);
    }
}

/// Guards against examples in the manual that the parser does not accept.
#[test]
fn parse_manual_examples() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/tables.md");
    let manual = fs::read_to_string(path).expect("the manual exists");
    let examples = manual.split("```toml\n").skip(1).filter_map(|rest| rest.split("```").next());
    let (routes, pools): (Vec<_>, Vec<_>) =
        examples.partition(|example| example.starts_with("[[route]]"));
    let tables = parse(routes.concat().as_bytes(), pools.concat().as_bytes());
    assert_eq!(tables.map(|tables| (tables.routes.len(), tables.pools.len())), Ok((1, 2)));
}
