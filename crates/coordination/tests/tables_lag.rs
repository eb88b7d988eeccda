//! Tests of the decision whether the tables of an entry are outdated.

use std::time::{Duration, Instant};

use skylarkpulley_coordination::TablesLag;

/// Time in milliseconds at which the leader has reported a version, and the version.
type Report = (u64, u64);

/// Replays versions that the leader reports to an entry with the version `current`. Returns
/// whether the tables are outdated at `end_ms`.
fn outdated(reported: &[Report], current: u64, end_ms: u64) -> bool {
    let start = Instant::now();
    let at = |time_ms: u64| start + Duration::from_millis(time_ms);
    let lag = TablesLag::new();
    for (time_ms, version) in reported {
        lag.report(*version, 0, at(*time_ms));
    }
    lag.is_outdated(current, at(end_ms))
}

/// Guards against an entry that goes on refusing and accepting requests by tables that it knows to be
/// old, and against one that refuses all while each edit arrives soon.
#[test]
fn is_outdated_versions() {
    let edits: Vec<Report> = (0..100).map(|edit| (edit * 200, edit + 1)).collect();
    let cases: [(&[Report], u64, u64, bool); 7] = [
        (&[], 0, 9000, false),
        (&[(0, 7)], 6, 999, false),
        (&[(0, 7)], 6, 1000, true),
        (&[(0, 7)], 7, 9000, false),
        (&[(0, 7), (300, 7), (600, 7)], 6, 1000, true),
        // The entry is 800 ms behind an edit every 200 ms.
        (&edits[..10], 6, 1900, false),
        (&edits, 6, 19_800, true),
    ];
    for (index, (reported, current, end_ms, expected)) in cases.into_iter().enumerate() {
        assert_eq!(outdated(reported, current, end_ms), expected, "case {index}");
    }
}
