//! Program of an entry: accepts requests and jobs, routes requests and proposes placements.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use skylarkpulley_entry::{Entry, Settings};
use skylarkpulley_telemetry::{LogOutput, init_logging, wait_for_signal};
use skylarkpulley_types::SystemClock;

/// Accepts requests and jobs, orders them and sends them to upstreams and workers.
#[derive(FromArgs)]
struct Args {
    /// settings file, TOML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings file and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(1);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    let _log_guard = init_logging(LogOutput::Stdout, settings.log_format, &settings.log_filter);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(3)
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<(), skylarkpulley_entry::StartError> {
    let entry = Entry::start(settings, Arc::new(SystemClock::new())).await?;
    wait_for_signal().await;
    entry.shut_down().await;
    Ok(())
}
