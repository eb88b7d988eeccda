use skylarkpulley_admin::Client;

use crate::output::format_duration;
use crate::{CliError, ExitStatus, Explain, Output};

pub(crate) async fn run(
    command: &Explain,
    output: &mut Output<'_>,
) -> Result<ExitStatus, CliError> {
    let explanation = Client::new(&command.entry)?.explain(&command.id).await?;
    if command.json {
        output.json(&explanation)?;
        return Ok(ExitStatus::Success);
    }
    for line in &explanation.lines {
        let (code, event) = (line.code, &line.event);
        let (age, process) = (format_duration(line.age_ms), &line.process);
        output.line(&format!("{age} ago  {code} {event}  at {process}: {}", line.detail))?;
    }
    if explanation.lines.is_empty() {
        output.line(&format!("no decisions are recorded for {}", explanation.id))?;
    }
    Ok(ExitStatus::Success)
}
