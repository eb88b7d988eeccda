//! Merging of job records that entries change independently of each other.

use std::time::{Duration, Instant};

use job_record::JobRecord;
use job_registry::JobRegistry;
use skylarkpulley_admin::{JobState, Preemption, SubmitRequest};
use skylarkpulley_types::{Locality, Shape};

#[expect(dead_code, reason = "the test uses only part of the module")]
#[path = "../src/job_record.rs"]
mod job_record;
#[expect(dead_code, reason = "the test uses only part of the module")]
#[path = "../src/job_registry.rs"]
mod job_registry;

fn record(revision: u64, state: JobState) -> JobRecord {
    let request = SubmitRequest {
        claim: None,
        cores: 1,
        kind: "rebuild".to_owned(),
        memory_mib: 1,
        preemption: Preemption::Stop,
        route: "rebuild".to_owned(),
        run_time_ms: 1000,
        shape: Shape::new(1, 1, Locality::Worker),
        team: "campus".to_owned(),
        urgent: false,
    };
    JobRecord { revision, state, ..JobRecord::new("job", "rebuilds", 5, request) }
}

/// Guards against an ended job that runs again, and against entries that end up with different
/// states, when two entries change a job before either receives the change of the other.
#[test]
fn merge_order_irrelevant() {
    let now = Instant::now();
    for (a, b, expected) in [
        ((2, JobState::Running), (1, JobState::Queued), JobState::Running),
        ((2, JobState::Cancelled), (2, JobState::Running), JobState::Cancelled),
        ((2, JobState::Cancelled), (7, JobState::Running), JobState::Cancelled),
        ((2, JobState::Done), (7, JobState::Queued), JobState::Done),
        ((3, JobState::Done), (3, JobState::Cancelled), JobState::Cancelled),
        ((3, JobState::Running), (3, JobState::Starting), JobState::Running),
    ] {
        for (first, second) in [(a, b), (b, a)] {
            let mut registry = JobRegistry::new();
            registry.merge(record(first.0, first.1), now);
            registry.merge(record(second.0, second.1), now);
            let job = registry.get("job").expect("the job");
            assert_eq!(job.record.state, expected, "{first:?}, then {second:?}");
        }
    }
}

/// Guards against losing the count of lost workers between the record of a job and the placer of an
/// entry that takes the pool over, and against records of earlier builds that cannot be read.
#[test]
fn to_spec_lost_starts() {
    let record = JobRecord { lost_starts: 3, ..record(2, JobState::Queued) };
    assert_eq!(record.to_spec(Duration::ZERO).lost_starts, 3);
    let mut row = serde_json::to_value(&record).expect("a value");
    row.as_object_mut().expect("an object").remove("lost_starts");
    let earlier: JobRecord = serde_json::from_value(row).expect("a record of an earlier build");
    assert_eq!(earlier.lost_starts, 0);
}

/// Guards against a store row that is overwritten by an older record, and against a row that is not
/// rewritten although the entry has a newer record.
#[test]
fn merge_row_newer_kept() {
    let now = Instant::now();
    for (own, row, expected, unsaved) in [
        ((4, JobState::Running), (2, JobState::Queued), JobState::Running, true),
        ((2, JobState::Queued), (4, JobState::Done), JobState::Done, false),
        ((4, JobState::Running), (2, JobState::Cancelled), JobState::Cancelled, false),
        ((2, JobState::Running), (2, JobState::Running), JobState::Running, false),
    ] {
        let mut registry = JobRegistry::new();
        registry.submit(record(own.0, own.1), now);
        registry.merge_row(record(row.0, row.1), 9, now);
        let job = registry.get("job").expect("the job");
        let actual = (job.record.state, job.unsaved, job.version);
        assert_eq!(actual, (expected, unsaved, 9), "{own:?} with row {row:?}");
    }
}

/// Guards against a change that is not copied to a peer because the job keeps the number of an
/// earlier change.
#[test]
fn copies_after_latest_only() {
    let now = Instant::now();
    let mut registry = JobRegistry::new();
    registry.submit(record(1, JobState::Queued), now);
    let submitted = registry.changes();
    registry.edit("job", now, |record| record.state = JobState::Starting);
    let (copies, last_change) = registry.copies_after(submitted, now);
    assert_eq!((copies.len(), last_change), (1, registry.changes()));
    assert_eq!(registry.copies_after(0, now).0.len(), 1, "a job with two changes is copied once");
    assert_eq!(registry.copies_after(last_change, now).0.len(), 0);
    registry.edit("job", now, |record| record.state = JobState::Done);
    registry.edit("job", now, |record| record.state = JobState::Queued);
    assert_eq!(
        registry.get("job").expect("the job").record.state,
        JobState::Done,
        "the state of an ended job does not change"
    );
}

/// Guards against a team that is told that its job was accepted, because another team has submitted a
/// job with the same key.
#[test]
fn repeat_of_other_team() {
    let stored = record(1, JobState::Queued);
    let other_team = SubmitRequest { team: "other".to_owned(), ..stored.request.clone() };
    let other_route = SubmitRequest { route: "other".to_owned(), ..stored.request.clone() };
    assert!(stored.is_repeated_by(&stored.request));
    assert!(!stored.is_repeated_by(&other_team));
    assert!(!stored.is_repeated_by(&other_route));
}
