use std::time::Instant;

use skylarkpulley_demo::{DemoError, DemoReport, Scenario};

use crate::args::Demo;
use crate::{CliError, ExitStatus, Output};

/// Runs both sample deployments at the same time and prints, for each promise of the system, how
/// often it was observed and violated.
pub(crate) async fn run(command: &Demo, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let _log_guard = skylarkpulley_telemetry::init_logging(
        skylarkpulley_telemetry::LogOutput::Stderr,
        skylarkpulley_telemetry::LogFormat::Plain,
        command.log.as_deref().unwrap_or("error"),
    );
    let start = Instant::now();
    let progress = |text: &str| eprintln!("[{:5.1} s] {text}", start.elapsed().as_secs_f64());
    let canteen = Scenario {
        name: "canteen balance service".to_owned(),
        routes: include_str!("../../../samples/canteen/routes.toml").to_owned(),
        pools: include_str!("../../../samples/canteen/pools.toml").to_owned(),
        graceful: false,
    };
    let booking = Scenario {
        name: "booking service".to_owned(),
        routes: include_str!("../../../samples/booking/routes.toml").to_owned(),
        pools: include_str!("../../../samples/booking/pools.toml").to_owned(),
        graceful: true,
    };
    let (canteen, booking) = tokio::join!(canteen.run(progress), booking.run(progress));
    let all_kept = print(canteen, output)? & print(booking, output)?;
    let verdict = if all_kept { "every promise was kept" } else { "not every promise was kept" };
    output.line(&format!("\n{verdict}; {:.1} s", start.elapsed().as_secs_f64()))?;
    Ok(if all_kept { ExitStatus::Success } else { ExitStatus::Refused })
}

/// Prints the report or the error of one deployment. Returns whether every promise was observed at
/// least once and never violated; false after an error.
fn print(report: Result<DemoReport, DemoError>, output: &mut Output<'_>) -> Result<bool, CliError> {
    match report {
        Ok(report) => {
            output.line(&report.to_string())?;
            Ok(report.is_kept())
        }
        Err(error) => {
            output.error(&error.to_string());
            Ok(false)
        }
    }
}
