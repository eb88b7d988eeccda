//! The operators' command line as a library, which the tests call to run commands.

mod apply;
mod args;
mod cancel;
mod check;
mod demo;
mod drain;
mod error;
mod exit_status;
mod explain;
mod output;
mod show;
mod status;
mod submit;

pub use args::{
    Apply, Cancel, Check, Command, CommandLine, Demo, Drain, Explain, Show, StatusCommand, Submit,
};
pub use error::CliError;
pub use exit_status::ExitStatus;
pub use output::Output;

/// Runs one command and returns its exit status. Errors are written to `output`.
pub async fn run(command: &Command, output: &mut Output<'_>) -> ExitStatus {
    let result = match command {
        Command::Apply(command) => apply::run(command, output).await,
        Command::Cancel(command) => cancel::run(command, output).await,
        Command::Check(command) => check::run(command, output),
        Command::Demo(command) => demo::run(command, output).await,
        Command::Drain(command) => drain::run(command, output).await,
        Command::Explain(command) => explain::run(command, output).await,
        Command::Show(command) => show::run(command, output).await,
        Command::Status(command) => status::run(command, output).await,
        Command::Submit(command) => submit::run(command, output).await,
    };
    match result {
        Ok(status) => status,
        Err(error) => {
            output.error(&error.to_string());
            error.exit_status()
        }
    }
}
