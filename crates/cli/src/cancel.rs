use skylarkpulley_admin::Client;

use crate::{Cancel, CliError, ExitStatus, Output};

pub(crate) async fn run(command: &Cancel, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let job = Client::new(&command.entry)?.cancel(&command.id).await?;
    if command.json {
        output.json(&job)?;
    } else {
        output.line(&format!("job {} is {}: {}", job.id, job.state, job.detail))?;
    }
    Ok(ExitStatus::Success)
}
