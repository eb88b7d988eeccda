//! Plays days with the real platform programs as separate processes on loopback.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use skylarkpulley_platform_standins::Day;
use skylarkpulley_soak::{
    CutReport, JudgeLimits, Kind, PlayReport, PlaySettings, Scenario, SoakError, play,
    program_folder,
};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code when a promise was broken.
const EXIT_BROKEN: u8 = 1;

/// Exit code when a play could not run.
const EXIT_NOT_RUN: u8 = 2;

/// Time after the answer to a cancel within which the runs of the job have to be gone: a takeover,
/// a lease and a margin for the machine.
const CANCEL_LIMIT: Duration = Duration::from_secs(30);

/// Time for which a task may wait after the last fault while most of the room is free: a takeover,
/// and the lease of a run that was lost.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Number of broken promises that are printed for a play.
const PRINTED_VIOLATIONS: usize = 3;

/// Plays a day with the real platform programs and judges what workers and callers observed.
/// Exit code 0: no promise broken, 1: a promise broken, 2: a play could not run.
#[derive(FromArgs)]
struct Args {
    /// day file in the format of the users' bench; default deploy/days/takeover-without-answer.toml
    #[argh(option, default = "PathBuf::from(\"deploy/days/takeover-without-answer.toml\")")]
    day: PathBuf,
    /// number of entries; default 3
    #[argh(option, default = "3")]
    entries: usize,
    /// kinds of plays, separated by commas, or "all"; default day
    #[argh(option, default = "\"day\".to_owned()")]
    kind: String,
    /// folder that keeps settings and logs; default a temporary one, which is kept on a failure
    #[argh(option)]
    logs: Option<PathBuf>,
    /// number of plays of each kind, with rising seeds; default 1
    #[argh(option, default = "1")]
    plays: u64,
    /// folder of the platform's programs; default that of this program
    #[argh(option)]
    programs: Option<PathBuf>,
    /// length of the traffic in seconds; default that of the day
    #[argh(option)]
    seconds: Option<f64>,
    /// first seed; default 1
    #[argh(option, default = "1")]
    seed: u64,
    /// number of workers, each with an agent; default 8
    #[argh(option, default = "8")]
    workers: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let played = tokio::select! {
        played = play_all(&args) => played,
        () = wait_for_signal() => {
            eprintln!("ended by a signal");
            return ExitCode::from(EXIT_NOT_RUN);
        }
    };
    match played {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_BROKEN),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Waits for a signal to end. Dropping the play then ends its processes.
async fn wait_for_signal() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Plays all kinds and seeds; returns the number of plays that broke a promise.
async fn play_all(args: &Args) -> Result<usize, SoakError> {
    let mut day = Day::read(&args.day)?;
    if let Some(seconds) = args.seconds {
        day.length_s = seconds;
        day.faults.retain(|fault| fault.at < seconds);
    }
    let kinds: Vec<(String, Kind)> = if args.kind == "all" {
        Kind::NAMED.iter().map(|(name, kind)| ((*name).to_owned(), *kind)).collect()
    } else {
        let named = |name: &str| Ok((name.to_owned(), Kind::named(name)?));
        args.kind.split(',').map(named).collect::<Result<_, SoakError>>()?
    };
    let mut broken = 0;
    for seed in args.seed..args.seed + args.plays {
        for (name, kind) in &kinds {
            let scenario = Scenario::new(&day, *kind, (args.entries, args.workers), seed)?;
            let folder = play_folder(args.logs.as_deref(), name, seed)?;
            let settings = PlaySettings {
                entries: args.entries,
                finish_limit: Duration::from_secs(60),
                folder: folder.clone(),
                limits: JudgeLimits { cancel: Some(CANCEL_LIMIT), idle: Some(IDLE_LIMIT) },
                programs: args.programs.clone().unwrap_or_else(program_folder),
                seed,
                workers: args.workers,
            };
            let report = play(&settings, &scenario).await?;
            print_report(name, seed, &report);
            if !report.violations.is_empty() {
                broken += 1;
                println!("logs in {}", folder.display());
            } else if args.logs.is_none() {
                // Logs that cannot be removed do no harm.
                let _ = std::fs::remove_dir_all(&folder);
            }
        }
    }
    Ok(broken)
}

fn play_folder(logs: Option<&Path>, kind: &str, seed: u64) -> Result<PathBuf, SoakError> {
    let folder = match logs {
        Some(logs) => logs.join(format!("{kind}-{seed}")),
        None => tempfile::tempdir().map_err(SoakError::io("temporary folder"))?.keep(),
    };
    std::fs::create_dir_all(&folder).map_err(SoakError::io("folder of the logs"))?;
    Ok(folder)
}

fn print_report(kind: &str, seed: u64, report: &PlayReport) {
    let PlayReport { alone, crashed, done, epochs, lapsed, starts, violations, .. } = report;
    println!(
        "{kind} seed {seed}: {} broken, {starts} starts, {done} done, {crashed} crashed, {alone} \
         alone, {lapsed} lapsed, {epochs} changes of the leader, last run ended after {:.1} s",
        violations.len(),
        report.finished.as_secs_f64()
    );
    for cut in &report.cuts {
        println!("  {}", describe_cut(cut));
    }
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

fn describe_cut(cut: &CutReport) -> String {
    let mut moved: Vec<Duration> = cut.moved.iter().flatten().copied().collect();
    moved.sort();
    let seconds = |time: Option<&Duration>| {
        time.map_or("none".to_owned(), |time| format!("{:.1} s", time.as_secs_f64()))
    };
    format!(
        "cut {:.1} to {:.1} s: next leader after {}, orders of it at {} of {} workers, median {}, \
         latest {}; {} starts from 0.5 s on, the first after {}",
        cut.at.as_secs_f64(),
        cut.until.as_secs_f64(),
        seconds(cut.taken_over.as_ref()),
        moved.len(),
        cut.moved.len(),
        seconds(moved.get(moved.len() / 2)),
        seconds(moved.last()),
        cut.starts,
        seconds(cut.first_start.as_ref()),
    )
}
