use std::fs;
use std::path::Path;

use skylarkpulley_admin::Client;

use crate::{CliError, ExitStatus, Output, Show};

pub(crate) async fn run(command: &Show, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let view = Client::new(&command.entry)?.tables().await?;
    for (path, text) in [(&command.routes, &view.routes), (&command.pools, &view.pools)] {
        if let Some(path) = path {
            write(path, text)?;
        }
    }
    if command.json {
        output.json(&view)?;
        return Ok(ExitStatus::Success);
    }
    output.line(&format!("version {}", view.version))?;
    for (name, path, text) in
        [("routes", &command.routes, &view.routes), ("pools", &command.pools, &view.pools)]
    {
        match path {
            Some(path) => output.line(&format!("{name} written to {}", path.display()))?,
            None => output.line(&format!("\n# {name}\n{}", text.trim_end()))?,
        }
    }
    Ok(ExitStatus::Success)
}

fn write(path: &Path, text: &str) -> Result<(), CliError> {
    fs::write(path, text).map_err(|source| CliError::File {
        path: path.display().to_string(),
        action: "written",
        source,
    })
}
