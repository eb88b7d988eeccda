//! Scripts of the second review. Usage: review-harness-2 CASE FOLDER; exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod deadly_later;
mod deployment;
mod foreign_checkin;
mod leave_unacked;
mod record;
mod renamed_route;
mod stale_cancel;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use deployment::Deployment;
use record::Record;

/// A case ends within 120 s.
const LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let work = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let outcome = tokio::time::timeout(LIMIT, run(case, Path::new(folder), &work, trouble)).await;
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    } else {
        println!("logs in {}", work.display());
    }
    match outcome.unwrap_or_else(|_| Err("the case took too long".to_owned())) {
        Ok(broken) if broken.is_empty() => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            broken.iter().for_each(|line| println!("broken: {line}"));
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

async fn run(
    case: &str,
    folder: &Path,
    work: &PathBuf,
    trouble: bool,
) -> Result<Vec<String>, String> {
    std::fs::create_dir_all(work).map_err(|error| error.to_string())?;
    let record = Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    record.line(&format!("case {case}, trouble {trouble}"));
    let (workers, down) = match case {
        "deadly-later" => (11, Duration::from_secs(3)),
        _ => (3, Duration::from_secs(3)),
    };
    let next = match case {
        "deadly-later" => deadly_later::next_life,
        _ => |_: &mut worker::Life| {},
    };
    // Another process may take a port between its choice and its use.
    let mut attempt = 1;
    let deployment = loop {
        match Deployment::start(work, &record, workers, down, next).await {
            Ok(deployment) => break deployment,
            Err(error) if attempt < 3 => record.line(&format!("{error}; starting again")),
            Err(error) => return Err(error),
        }
        attempt += 1;
    };
    let broken = match case {
        "stale-cancel" => stale_cancel::run(&deployment, trouble).await?,
        "deadly-later" => deadly_later::run(&deployment, trouble).await?,
        "foreign-checkin" => foreign_checkin::run(&deployment, trouble).await?,
        "leave-unacked" => leave_unacked::run(&deployment, trouble).await?,
        "renamed-route" => renamed_route::run(&deployment, trouble).await?,
        _ => return Err(format!("no case {case:?}")),
    };
    broken.iter().for_each(|line| record.line(&format!("broken: {line}")));
    if broken.is_empty() {
        record.line("held");
    }
    Ok(broken)
}
