//! A machine with an entry freezes and wakes again. A job that another entry has accepted meanwhile
//! is cancelled by a call on an open connection to the frozen machine.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::deployment::{Deployment, job};
use crate::record::Event;

/// Longest freeze on the site: `node_freeze` with `for_s` = 3.5.
const LONGEST_FREEZE: Duration = Duration::from_millis(3500);

/// `cancel_ms` of the site.
const CANCEL_S: f64 = 3.0;

const JOB: &str = "5c0e7a21d94b36f8";

pub async fn run(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = &deployment.record;
    let leader = deployment.leader().ok_or("no entry leads")?;
    let frozen = &deployment.entries[leader];
    let other = (leader + 1) % deployment.entries.len();
    // The requester has an open connection to the machine; it stays with its node.
    let requester = reqwest::Client::new();
    if deployment.call(&requester, leader, "GET", "", None).await.0 != 200 {
        return Err("the first call was not answered".to_owned());
    }
    let frozen_at = Instant::now();
    if trouble {
        record.line(&format!("{} freezes (it leads)", frozen.name));
        frozen.process.signal(Signal::STOP);
    }
    // Another entry leads soon. Submissions are repeated until one is accepted.
    let body = job(&[(2, 5000), (2, 3000)]);
    let mut accepted = false;
    for _ in 0..6 {
        let status = deployment.call(&deployment.client, other, "POST", JOB, Some(&body)).await.0;
        if status == 200 {
            accepted = true;
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let wake = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if trouble {
            frozen.process.signal(Signal::CONT);
            let length = frozen_at.elapsed();
            record.line(&format!("{} wakes after {} ms", frozen.name, length.as_millis()));
        }
    };
    if !accepted || frozen_at.elapsed() > LONGEST_FREEZE - Duration::from_millis(200) {
        wake.await;
        return Err("the job was not accepted within the freeze".to_owned());
    }
    let cancel = deployment.call(&requester, leader, "DELETE", JOB, None);
    let (mut status, ()) = tokio::join!(cancel, wake);
    // As requesters do, the cancel is repeated until it has a 2xx or a 410.
    let mut entry = leader;
    for _ in 0..5 {
        if matches!(status.0, 200..=299 | 410) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        entry = (entry + 1) % deployment.entries.len();
        status = deployment.call(&requester, entry, "DELETE", JOB, None).await;
    }
    if !matches!(status.0, 200..=299 | 410) {
        return Err("the cancel was never acknowledged".to_owned());
    }
    let acknowledged = record.now();
    tokio::time::sleep(Duration::from_secs(12)).await;
    deployment.call(&deployment.client, other, "GET", JOB, None).await;
    let late = record.all_seen().into_iter().filter(|seen| {
        seen.event == Event::Start
            && seen.task.starts_with(JOB)
            && seen.at > acknowledged + CANCEL_S
    });
    Ok(late
        .map(|seen| {
            format!(
                "UNASKED: {} starts on {} {:.1} s after the cancel of its job was answered with {}",
                seen.task,
                seen.worker,
                seen.at - acknowledged,
                status.0
            )
        })
        .collect())
}
