use skylarkpulley_admin::{Client, SubmitReply, SubmitRequest};
use skylarkpulley_types::Shape;

use crate::{CliError, ExitStatus, Output, Submit};

pub(crate) async fn run(command: &Submit, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let reply = Client::new(&command.entry)?.submit(&to_request(command)).await?;
    if command.json {
        output.json(&reply)?;
    } else {
        print(&reply, output)?;
    }
    Ok(match reply {
        SubmitReply::Accepted { .. } => ExitStatus::Success,
        SubmitReply::Refused { .. } => ExitStatus::Refused,
    })
}

fn to_request(command: &Submit) -> SubmitRequest {
    SubmitRequest {
        route: command.route.clone(),
        team: command.team.clone(),
        kind: command.kind.clone(),
        shape: Shape::new(command.accelerators, command.workers, command.locality),
        cores: command.cores,
        memory_mib: command.memory,
        run_time_ms: command.run_time.as_millis().try_into().unwrap_or(u64::MAX),
        preemption: command.preemption,
        claim: command.claim.clone(),
        urgent: command.urgent,
    }
}

fn print(reply: &SubmitReply, output: &mut Output<'_>) -> Result<(), CliError> {
    match reply {
        SubmitReply::Accepted { id, durability } => {
            output.line(&format!("accepted as job {id} ({durability})"))?;
        }
        SubmitReply::Refused { reason, needed } => {
            output.error(&format!("refused: {reason}"));
            output.error(&format!("needed: {needed}"));
        }
    }
    Ok(())
}
