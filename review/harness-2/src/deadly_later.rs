//! A job whose only task crashes each minion that starts it, 1.5 s after its start, beside another
//! job.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use crate::deployment::{Deployment, job};
use crate::record::Event;
use crate::worker::Life;

const DEADLY: &str = "5c0e7a21d94b36f8";
const SOUND: &str = "00000bb87a21d94b";

/// Starts after the third crash that the news call too many.
const MAX_FURTHER_STARTS: usize = 3;

/// Time for which the jobs are watched.
const WATCH: Duration = Duration::from_secs(80);

/// A new boot has a new id.
pub fn next_life(life: &mut Life) {
    let (name, number) = life.id.split_once('b').unwrap_or((&life.id, "0"));
    let number: u32 = number.parse().unwrap_or(0);
    life.id = format!("{name}b{}", number + 1);
}

pub async fn run(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let record = &deployment.record;
    let mut deadly = job(&[(1, 8000)]);
    if trouble {
        deadly["spec"] = json!({ "work_ms": [8000], "crash_ms": 1500 }).to_string().into();
    }
    for (id, body) in [(DEADLY, deadly), (SOUND, job(&[(60, 12_000)]))] {
        if deployment.call(&deployment.client, 0, "POST", id, Some(&body)).await.0 != 200 {
            return Err("a job was not accepted".to_owned());
        }
    }
    tokio::time::sleep(WATCH).await;
    deployment.call(&deployment.client, 1, "GET", DEADLY, None).await;
    deployment.call(&deployment.client, 1, "GET", SOUND, None).await;
    let lost = record
        .all_seen()
        .into_iter()
        .filter(|seen| seen.task.starts_with(SOUND) && seen.event == Event::End("crashed"));
    record.line(&format!("{} runs of the other job were lost with a minion", lost.count()));
    let mut broken = Vec::new();
    // Per task: minions that crashed under it so far, and starts after the third of them.
    let mut tasks: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for seen in record.all_seen().into_iter().filter(|seen| seen.task.starts_with(DEADLY)) {
        let (crashes, further) = tasks.entry(seen.task).or_default();
        match seen.event {
            Event::Start if *crashes >= 3 => *further += 1,
            Event::End("crashed") => *crashes += 1,
            _ => {}
        }
    }
    for (task, (crashes, further)) in tasks {
        record.line(&format!("{task}: {crashes} minions crashed under it"));
        if further >= MAX_FURTHER_STARTS {
            broken.push(format!(
                "BUDGET: {task} is started {further} times after three minions have crashed under \
                 it, {crashes} crashes in all"
            ));
        }
    }
    Ok(broken)
}
