//! Explanations and status that entries give to operators.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::{Client, Status};
use skylarkpulley_coordination::{JobAnswer, JobCall};
use skylarkpulley_jobs::{Evacuations, JobTables, Limits};
use skylarkpulley_store::MemoryTransactor;
use skylarkpulley_telemetry::Event;
use tokio::net::TcpListener;

use crate::rig::{ChangingTables, job, start, start_from, tables, until_ready};

/// Guards against decisions that an operator cannot find because another entry made them, against
/// an explanation without the reason for which a job waits now, and against a status that only the
/// leader can give.
#[tokio::test]
async fn explain_at_any_entry() {
    let store = Arc::new(MemoryTransactor::new());
    let (leader, at_leader) = start("entry-1", store.clone()).await;
    until_ready(&leader).await;
    let (follower, at_follower) = start("entry-2", store).await;
    until_ready(&follower).await;
    let deadline = Instant::now() + Duration::from_secs(20);
    let answer = follower.service().call(&JobCall::Submit(job("a"), false), deadline).await;
    assert_eq!(answer, JobAnswer::Done);
    let event = Event::RequestAnswered;
    follower.records().decisions.record(Instant::now(), event, "a", "submit: done");
    // The leader learns of the follower from its next ping.
    let status = loop {
        let status = at_follower.status().await.expect("a status");
        if status.processes.len() == 2 {
            break status;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!((status.entry.as_str(), status.version, status.oldest_version), ("entry-1", 7, 7));
    assert_eq!((status.queues[0].route.as_str(), status.queues[0].waiting), ("looks", 1));
    assert_eq!((status.teams[0].team.as_str(), status.teams[0].guarantees), ("north", 16));
    for client in [&at_leader, &at_follower] {
        let explanation = client.explain("a").await.expect("an explanation");
        let mut events: Vec<(&str, &str)> = explanation
            .lines
            .iter()
            .map(|line| (line.process.as_str(), line.event.as_str()))
            .collect();
        // Ages of different processes are a few milliseconds apart.
        events.sort_unstable();
        assert_eq!(
            events,
            vec![
                ("entry-1", "job-submitted"),
                ("entry-1", "tasks-waiting"),
                ("entry-2", "request-answered"),
            ]
        );
        let waiting = explanation.lines.iter().find(|line| line.event == "tasks-waiting");
        let detail = waiting.map_or("", |line| line.detail.as_str());
        let reason = "a.0.0: waits for workers: it fits on none that are known; blocked;";
        assert!(detail.starts_with(reason), "{detail}");
    }
    let event = Event::RunEnded;
    leader.records().decisions.record(Instant::now(), event, "a.0.0.1", "run 1 on w1: done");
    let explanation = at_follower.explain("a").await.expect("an explanation");
    let run_lines =
        explanation.lines.iter().filter(|line| line.detail.starts_with("a.0.0.1: run 1"));
    assert_eq!(run_lines.count(), 1, "the runs of a job's tasks are part of its explanation");
    assert!(at_leader.explain("b").await.is_err(), "nothing is recorded about this id");
}

/// Guards against a leader that takes in the tables only at its start: failure domains that were
/// evacuated while it led stayed in use, and a change of the tables must not end an evacuation.
#[tokio::test]
async fn status_tables_changed_while_leading() {
    let control = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let announced = control.local_addr().expect("an address");
    let (source, versions) = ChangingTables::new();
    let store = Arc::new(MemoryTransactor::new());
    versions.send(tables(7, "north")).await.expect("a reader");
    let (entry, client) =
        start_from("entry-1", store, Limits::default(), control, announced, source).await;
    until_ready(&entry).await;
    let evacuated = Evacuations::new(["domain-b".to_owned()].into(), 30);
    versions.send(JobTables { evacuated, ..JobTables::default() }).await.expect("a reader");
    let domains = |status: &Status| -> Vec<String> {
        status.evacuated.iter().map(|domain| domain.domain.clone()).collect()
    };
    until_status(&client, |status| domains(status) == ["domain-b"]).await;
    versions.send(tables(8, "south")).await.expect("a reader");
    until_status(&client, |status| status.version == 8 && domains(status) == ["domain-b"]).await;
    let returned = Evacuations::new(BTreeSet::new(), 31);
    let newer = JobTables { evacuated: returned, ..JobTables::default() };
    versions.send(newer).await.expect("a reader");
    until_status(&client, |status| domains(status).is_empty()).await;
}

/// Waits until the leader's status is as expected.
async fn until_status(client: &Client, is_expected: impl Fn(&Status) -> bool) {
    loop {
        if client.status().await.is_ok_and(|status| is_expected(&status)) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an entry that lets an operator wait, or answers with an outdated state, while no
/// leader can be reached.
#[tokio::test]
async fn status_without_leader() {
    let store = Arc::new(MemoryTransactor::new());
    let (leader, _) = start("entry-1", store.clone()).await;
    until_ready(&leader).await;
    let (follower, at_follower) = start("entry-2", store).await;
    until_ready(&follower).await;
    // Both give up the leadership and do not take over again.
    follower.begin_shutdown();
    leader.begin_shutdown();
    while leader.service().leadership().is_local {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(at_follower.status().await.is_err());
}
