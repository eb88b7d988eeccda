//! Binary `skylarkpulley`.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use argh::FromArgs;
use skylarkpulley_cli::{CommandLine, ExitStatus, Output, run};

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let line = match CommandLine::from_args(&["skylarkpulley"], &args) {
        Ok(line) => line,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}\nRun skylarkpulley --help for more information.", early.output.trim());
            return ExitStatus::Usage.into();
        }
    };
    let (mut out, mut err) = (stdout(), stderr());
    run(&line.command, &mut Output::new(&mut out, &mut err)).await.into()
}
