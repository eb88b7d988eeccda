//! Tests of the decision whether a run or a gang has stalled.

use std::time::Duration;

use skylarkpulley_jobs::{RunProgress, find_stalled};

const TIMEOUT: Duration = Duration::from_secs(3);

fn member(percent: u8, idle_ms: u64) -> RunProgress {
    RunProgress { idle: Duration::from_millis(idle_ms), listed: true, percent }
}

/// Guards against judging a gang by a member other than the one that is furthest behind.
#[test]
fn find_stalled_furthest_behind() {
    assert_eq!(find_stalled(&[member(100, 9000), member(30, 100)], TIMEOUT, TIMEOUT), None);
    assert_eq!(find_stalled(&[member(60, 9000), member(30, 100)], TIMEOUT, TIMEOUT), None);
    assert_eq!(find_stalled(&[member(100, 9000), member(30, 3100)], TIMEOUT, TIMEOUT), Some(1));
}

/// Guards against judging a gang before all of its members are present.
#[test]
fn find_stalled_forming() {
    let absent = RunProgress { listed: false, ..member(0, 0) };
    assert_eq!(find_stalled(&[member(0, 9000), absent], TIMEOUT, TIMEOUT), None);
}

/// Guards against a run that is complete and never ends, alone or as a gang.
#[test]
fn find_stalled_never_ends() {
    assert_eq!(find_stalled(&[member(100, 3100)], TIMEOUT, TIMEOUT), Some(0));
    assert_eq!(find_stalled(&[member(100, 9000), member(100, 2900)], TIMEOUT, TIMEOUT), None);
    assert_eq!(find_stalled(&[member(100, 9000), member(100, 3100)], TIMEOUT, TIMEOUT), Some(1));
}

/// Guards against stopping much work as early as little work, and against waiting without a limit.
#[test]
fn find_stalled_at_stake() {
    let (little, much) = (Duration::from_secs(1), Duration::from_secs(60));
    assert_eq!(find_stalled(&[member(50, 3100)], TIMEOUT, little), Some(0));
    assert_eq!(find_stalled(&[member(50, 5900)], TIMEOUT, much), None);
    assert_eq!(find_stalled(&[member(50, 6100)], TIMEOUT, much), Some(0));
}
