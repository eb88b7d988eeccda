use skylarkpulley_admin::Client;

use crate::{CliError, Drain, ExitStatus, Output};

pub(crate) async fn run(command: &Drain, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let reply = Client::new(&command.entry)?.drain(&command.member).await?;
    if command.json {
        output.json(&reply)?;
    } else {
        let (member, remaining) = (&reply.member, reply.remaining);
        output.line(&format!(
            "{member} receives no new work; {remaining} requests or tasks are still running there"
        ))?;
    }
    Ok(ExitStatus::Success)
}
