use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use skylarkpulley_admin::Preemption;
use skylarkpulley_types::Locality;

/// Operates skylarkpulley. Results are written to standard output, errors to standard error.
#[derive(Debug, FromArgs)]
#[argh(
    error_code(0, "Done."),
    error_code(1, "The tables have faults, or the entry refused the request."),
    error_code(2, "The command line is wrong, or a file cannot be read or written."),
    error_code(3, "The entry cannot be reached, or its answer was lost."),
    error_code(4, "Another edit of the tables was accepted first."),
    note = "Each command has its own --help and, for scripts, --json."
)]
pub struct CommandLine {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Applies an edit of both tables.
    Apply(Apply),
    /// Cancels a job.
    Cancel(Cancel),
    /// Checks the files of both tables.
    Check(Check),
    /// Runs both sample deployments in this process.
    Demo(Demo),
    /// Drains an upstream or worker.
    Drain(Drain),
    /// Shows the decisions about a request, job or member.
    Explain(Explain),
    /// Shows the current tables.
    Show(Show),
    /// Shows the status of the system.
    Status(StatusCommand),
    /// Submits a job.
    Submit(Submit),
}

/// Run both sample deployments in this process, inject faults, and report for each promise of the
/// system whether it was kept. Takes at most 30 s.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// filter of the log lines to show, in the syntax of RUST_LOG, such as info (default error)
    #[argh(option)]
    pub log: Option<String>,
}

/// Check the files of both tables and report every fault.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// file with the routes table
    #[argh(option)]
    pub routes: PathBuf,
    /// file with the pools table
    #[argh(option)]
    pub pools: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Apply an edit of both tables.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// file with the routes table
    #[argh(option)]
    pub routes: PathBuf,
    /// file with the pools table
    #[argh(option)]
    pub pools: PathBuf,
    /// version that the edit is based on, as printed by show; 0 for the first tables
    #[argh(option)]
    pub from: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the current tables, or write them to files for editing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// file to write the routes table to
    #[argh(option)]
    pub routes: Option<PathBuf>,
    /// file to write the pools table to
    #[argh(option)]
    pub pools: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show upstreams, workers, teams, gangs, queues and the version of the tables at each process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Show the decisions about a request, job or member, with their reasons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// id of a request or job, or name of a member's agent
    #[argh(positional)]
    pub id: String,
}

/// Drain an upstream or worker: it receives no new work and finishes its running work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// name of the agent of the upstream or worker
    #[argh(positional)]
    pub member: String,
}

/// Submit a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub struct Submit {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// name of a route whose pool has workers
    #[argh(option)]
    pub route: String,
    /// team that pays for the job
    #[argh(option)]
    pub team: String,
    /// kind of the job, such as menu; run times are estimated for each team and kind
    #[argh(option)]
    pub kind: String,
    /// accelerators on each worker
    #[argh(option)]
    pub accelerators: u32,
    /// number of workers (default 1)
    #[argh(option, default = "1")]
    pub workers: u32,
    /// narrowest set that must contain all workers: worker, rack, domain or pool (default pool)
    #[argh(option, default = "Locality::Pool", from_str_fn(parse_locality))]
    pub locality: Locality,
    /// cores on each worker
    #[argh(option)]
    pub cores: u32,
    /// memory on each worker, such as 16GiB
    #[argh(option, from_str_fn(parse_memory))]
    pub memory: u64,
    /// declared run time, such as 2h
    #[argh(option, from_str_fn(parse_duration))]
    pub run_time: Duration,
    /// how the job may be preempted on borrowed capacity: checkpoint, stop or never
    #[argh(option, from_str_fn(parse_preemption))]
    pub preemption: Preemption,
    /// name of the guarantee that the job claims
    #[argh(option)]
    pub claim: Option<String>,
    /// start the job before other work of its class
    #[argh(switch)]
    pub urgent: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Cancel a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct Cancel {
    /// address of an entry's admin API, such as http://10.0.0.1:7400
    #[argh(option)]
    pub entry: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// id of the job
    #[argh(positional)]
    pub id: String,
}

fn parse_locality(text: &str) -> Result<Locality, String> {
    let all = [Locality::Worker, Locality::Rack, Locality::Domain, Locality::Pool];
    let matching = all.into_iter().find(|locality| locality.to_string() == text);
    matching.ok_or_else(|| format!("{text:?}: must be worker, rack, domain or pool"))
}

fn parse_preemption(text: &str) -> Result<Preemption, String> {
    let all = [Preemption::Checkpoint, Preemption::Stop, Preemption::Never];
    let matching = all.into_iter().find(|preemption| preemption.to_string() == text);
    matching.ok_or_else(|| format!("{text:?}: must be checkpoint, stop or never"))
}

/// Returns the size in MiB.
fn parse_memory(text: &str) -> Result<u64, String> {
    let is_whole_mib = |bytes: &u64| *bytes > 0 && bytes.is_multiple_of(1 << 20);
    let bytes = skylarkpulley_tables::parse_size(text).filter(is_whole_mib);
    bytes
        .map(|bytes| bytes >> 20)
        .ok_or_else(|| format!("{text:?}: must be a size in whole MiB, such as 16GiB"))
}

fn parse_duration(text: &str) -> Result<Duration, String> {
    let parsed = humantime::parse_duration(text);
    let minimum = Duration::from_millis(1);
    let valid = parsed.ok().filter(|time| *time >= minimum);
    valid.ok_or_else(|| format!("{text:?}: must be a duration of at least 1ms, such as 2h"))
}
