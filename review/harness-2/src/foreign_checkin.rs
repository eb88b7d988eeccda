//! A check-in from another writer, with a service that no desired state names, reaches the agent of
//! a minion that is at work.

use std::time::Duration;

use serde_json::json;

use crate::deployment::{Deployment, job};
use crate::record::{Event, twice};

const JOB: &str = "5c0e7a21d94b36f8";

pub async fn run(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = &deployment.record;
    let body = job(&[(6, 12_000)]);
    if deployment.call(&deployment.client, 0, "POST", JOB, Some(&body)).await.0 != 200 {
        return Err("the job was not accepted".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let seen = record.all_seen();
    let start = seen.iter().find(|seen| seen.event == Event::Start).ok_or("no task started")?;
    let number = deployment.workers.iter().position(|worker| worker.current().id == start.worker);
    let number = number.ok_or("the worker is not known")?;
    let (worker, agent) = (deployment.workers[number].current(), &deployment.agents[number]);
    if trouble {
        let body = json!({
            "service": "another-svc", "address": worker.address.to_string(), "zone": "sofia-a",
            "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
            "capacity": { "cpu": 16_000, "mem_mb": 32_768, "gpu": 0 },
            "labels": ["a", "r1-1"], "clock_ms": 4000, "born": worker.born_ms + 1000, "seq": 1,
        });
        let url = format!("http://{}/Instances.Heartbeat/i-7f3a91c2", agent.control);
        let answer = deployment.client.post(url).json(&body).send().await;
        let status = answer.map(|answer| answer.status().as_u16()).unwrap_or(0);
        record.line(&format!("check-in of another writer: {body}; status {status}"));
    }
    tokio::time::sleep(Duration::from_secs(25)).await;
    deployment.call(&deployment.client, 0, "GET", JOB, None).await;
    Ok(twice(&record.all_seen()).into_iter().map(|line| format!("TWICE: {line}")).collect())
}
