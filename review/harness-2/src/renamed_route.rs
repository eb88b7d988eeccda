//! The operator removes a route and adds one with the same host, path prefix and service under
//! another name, in one version of the desired state. A job was accepted before on the route.

use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::{Deployment, job, tables};
use crate::record::Event;

/// `config_ms`, `visible_ms` and `cancel_ms` of the site.
const CONFIG_S: f64 = 2.0;
const VISIBLE_S: f64 = 3.0;

const JOB: &str = "5c0e7a21d94b36f8";

pub async fn run(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = &deployment.record;
    let body = job(&[(2, 8000), (2, 4000)]);
    if deployment.call(&deployment.client, 0, "POST", JOB, Some(&body)).await.0 != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let accepted = record.now();
    tokio::time::sleep(Duration::from_secs(1)).await;
    // With TROUBLE=0 a version is written as well, with the route under the same name.
    let mut next: Value = tables();
    next["version"] = json!(11);
    if trouble {
        next["routes"][0]["name"] = json!("menu-rebuild-2");
    }
    deployment.put_tables(&next).await?;
    let written = record.now();
    record.line(&format!("the store acknowledges version 11, routes {}", next["routes"]));
    while record.now() < (written + CONFIG_S + 0.5).max(accepted + VISIBLE_S + 0.5) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut broken = Vec::new();
    for entry in 0..deployment.entries.len() {
        let age = record.now() - accepted;
        let status = deployment.call(&deployment.client, entry, "GET", JOB, None).await.0;
        if status == 410 {
            let name = &deployment.entries[entry].name;
            broken.push(format!(
                "LOST: {name} answers 410 to a GET for {JOB} {age:.1} s after the job was accepted"
            ));
        }
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    let done = record.all_seen().iter().filter(|seen| seen.event == Event::End("done")).count();
    record.line(&format!("{done} of 4 tasks of the job have ended as done"));
    deployment.call(&deployment.client, 0, "GET", JOB, None).await;
    Ok(broken)
}
