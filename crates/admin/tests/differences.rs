//! The row differences that a conflict between two edits reports.

use skylarkpulley_admin::RowDifference;
use skylarkpulley_tables::{Tables, parse};

const ROUTES: &str = include_str!("../../../samples/canteen/routes.toml");
const POOLS: &str = include_str!("../../../samples/canteen/pools.toml");

fn tables(routes: &str) -> Tables {
    parse(routes.as_bytes(), POOLS.as_bytes()).expect("no faults")
}

/// Guards against differences in layout and comments that are reported as changed rows, and against
/// added, removed or changed rows that are left out.
#[test]
fn between_tables() {
    let current = tables(ROUTES);
    let with_comment = format!("# another comment\n\n{ROUTES}");
    assert_eq!(RowDifference::between(&tables(&with_comment), &current), []);

    let changed = ROUTES.replace("\"check\"", "\"balance-check\"").replace("\"5s\"", "\"6s\"");
    let differences = RowDifference::between(&tables(&changed), &current);
    let summary: Vec<_> = differences
        .iter()
        .map(|difference| {
            let present = (difference.edited.is_some(), difference.current.is_some());
            (difference.row.as_str(), present)
        })
        .collect();
    let expected = [
        ("route/balance-check", (true, false)),
        ("route/check", (false, true)),
        ("route/rebuild", (true, true)),
    ];
    assert_eq!(summary, expected);
    assert!(differences[2].edited.as_ref().is_some_and(|text| text.contains("\"6s\"")));
}
