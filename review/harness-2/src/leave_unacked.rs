//! A minion leaves while the machine of its agent is frozen, so that its leave has no ack.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::deployment::{Deployment, job};
use crate::record::{Event, twice};

/// `node_freeze` of the site: `for_s` = 3.5.
const FREEZE: Duration = Duration::from_millis(3500);

/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2000);

/// "If it receives no ack, it ends anyway, some seconds later."
const SOME_SECONDS: Duration = Duration::from_secs(3);

const JOB: &str = "5c0e7a21d94b36f8";

pub async fn run(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = &deployment.record;
    let body = job(&[(1, 9000)]);
    if deployment.call(&deployment.client, 0, "POST", JOB, Some(&body)).await.0 != 200 {
        return Err("the job was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_millis(4100)).await;
    let seen = record.all_seen();
    let start = seen.iter().find(|seen| seen.event == Event::Start).ok_or("no task started")?;
    let number = deployment.workers.iter().position(|host| host.current().id == start.worker);
    let number = number.ok_or("the minion is not known")?;
    let (worker, agent) = (deployment.workers[number].current(), &deployment.agents[number]);
    let frozen_at = Instant::now();
    if trouble {
        record.line(&format!("the machine of {} freezes", worker.id));
        agent.process.signal(Signal::STOP);
    }
    let leave = async {
        let mut acked = false;
        let begun = Instant::now();
        while !acked && begun.elapsed() < DRAIN {
            acked = worker.check_in(agent.control, Some(DRAIN)).await;
        }
        if acked {
            tokio::time::sleep(DRAIN).await;
        }
        let said_at = Instant::now();
        if !worker.deregister(agent.control).await {
            tokio::time::sleep(SOME_SECONDS.saturating_sub(said_at.elapsed())).await;
        }
        worker.crash();
    };
    let wake = async {
        tokio::time::sleep(FREEZE).await;
        if trouble {
            agent.process.signal(Signal::CONT);
            let length = frozen_at.elapsed().as_millis();
            record.line(&format!("the machine of {} wakes after {length} ms", worker.id));
        }
    };
    tokio::join!(leave, wake);
    tokio::time::sleep(Duration::from_secs(14)).await;
    deployment.call(&deployment.client, 0, "GET", JOB, None).await;
    Ok(twice(&record.all_seen()).into_iter().map(|line| format!("TWICE: {line}")).collect())
}
