//! Tests faults that are injected between the holds of a gang and its end.

use std::time::Duration;

use skylarkpulley_admin::JobState;
use skylarkpulley_standins::{TaskState, WorkerFault};

use crate::harness::{GangHarness, job};

const MEMBERS: u32 = 3;

/// Times from the acknowledgement of a job to the kill of an entry. The holds, the commits and the
/// start of the gang take place in the first 30 ms.
const KILL_DELAYS_MS: [u64; 6] = [0, 2, 4, 8, 16, 40];

/// Guards against a gang that is lost, partly started or run twice when the entry that starts it is
/// killed between any two of hold, commit and start.
#[tokio::test(flavor = "multi_thread")]
async fn start_entry_killed() {
    let mut harness = GangHarness::start(2).await;
    for delay in KILL_DELAYS_MS {
        let (preferred, non_preferred) = (harness.preferred(), harness.non_preferred());
        let id = harness.submit(non_preferred, &job(8, MEMBERS, 1500)).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        harness.replace_entry(preferred).await;
        harness.wait_until_done(non_preferred, &id).await;
        assert_eq!(
            harness.longest_overlap,
            Duration::ZERO,
            "killed after {delay} ms: two placements ran at once"
        );
    }
}

/// Guards against a gang that continues to run without a member, or is not run again, after the
/// agent of its lead or of another member was killed.
#[tokio::test(flavor = "multi_thread")]
async fn running_agent_killed() {
    let mut harness = GangHarness::start(2).await;
    for member in [0, 1] {
        let non_preferred = harness.non_preferred();
        let id = harness.submit(non_preferred, &job(8, MEMBERS, 2500)).await;
        let view = harness.wait_for_state(non_preferred, &id, JobState::Running).await;
        let worker = harness.worker(&view.members[member]);
        harness.restart_agent(worker).await;
        harness.wait_until("the stop of the gang", |harness| harness.running(&id).is_empty()).await;
        harness.wait_until_done(non_preferred, &id).await;
    }
}

/// Guards against a gang that continues to run without a member, or is not run again, after the
/// worker of that member has failed its task.
#[tokio::test(flavor = "multi_thread")]
async fn running_task_failed() {
    let mut harness = GangHarness::start(2).await;
    let non_preferred = harness.non_preferred();
    // The placement chooses the same rack for the second job because nothing else changes.
    let first_job = harness.submit(non_preferred, &job(8, MEMBERS, 500)).await;
    let view = harness.wait_for_state(non_preferred, &first_job, JobState::Running).await;
    let failing_worker = harness.worker(&view.members[1]);
    harness.wait_until_done(non_preferred, &first_job).await;
    harness.deployment.workers[failing_worker].worker.set_fault(Some(WorkerFault::FailTasks));
    let id = harness.submit(non_preferred, &job(8, MEMBERS, 1500)).await;
    harness.wait_until("a failed task", |harness| harness.has_task(&id, TaskState::Failed)).await;
    harness.deployment.workers[failing_worker].worker.set_fault(None);
    harness.wait_until_done(non_preferred, &id).await;
}

/// Guards against a cancelled job that starts, or continues to run, when it is cancelled during its
/// start, at the entry that places the job or at another entry.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_starting() {
    let mut harness = GangHarness::start(2).await;
    for (at_preferred, delay) in
        [(true, 0), (false, 0), (true, 5), (false, 5), (true, 25), (false, 25)]
    {
        let (preferred, non_preferred) = (harness.preferred(), harness.non_preferred());
        let id = harness.submit(non_preferred, &job(8, MEMBERS, 60_000)).await;
        tokio::time::sleep(Duration::from_millis(delay)).await;
        harness.cancel(if at_preferred { preferred } else { non_preferred }, &id).await;
        for entry in [preferred, non_preferred] {
            harness.wait_for_state(entry, &id, JobState::Cancelled).await;
        }
        // Members that have started may run for one lease; no member may start afterwards.
        harness.check_for(Duration::from_millis(2300)).await;
        let starts = harness.starts();
        harness.wait_until("the stop of the gang", |harness| harness.running(&id).is_empty()).await;
        harness.check_for(Duration::from_millis(1200)).await;
        assert_eq!(
            harness.starts(),
            starts,
            "a member started after the cancel (at the placing entry: {at_preferred}, {delay} ms)"
        );
        for entry in [preferred, non_preferred] {
            harness.wait_for_state(entry, &id, JobState::Cancelled).await;
        }
    }
}
