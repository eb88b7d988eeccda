//! The `skylarkpulley` program: parses the command line and runs the command.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use argh::FromArgs;
use skylarkpulley_cli::{CommandLine, ExitStatus, Output, run};

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let command_line = match CommandLine::from_args(&["skylarkpulley"], &args) {
        Ok(command_line) => command_line,
        Err(early_exit) if early_exit.status.is_ok() => {
            println!("{}", early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            eprintln!(
                "{}\nRun skylarkpulley --help for more information.",
                early_exit.output.trim()
            );
            return ExitStatus::Usage.into();
        }
    };
    let (mut out, mut err) = (stdout(), stderr());
    run(&command_line.command, &mut Output::new(&mut out, &mut err)).await.into()
}
