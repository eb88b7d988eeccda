//! Runs one stand-in until SIGINT or SIGTERM, or one load run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use skylarkpulley_standins::{
    LoadSettings, TableService, Upstream, UpstreamFault, UpstreamSettings, Worker, WorkerFault,
    WorkerSettings, parse_store_fault, run_load,
};
use tokio::signal::unix::{SignalKind, signal};

/// Stand-ins for services of the platform, for tests and demonstrations only.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Load(LoadArgs),
    Store(StoreArgs),
    Upstream(UpstreamArgs),
    Worker(WorkerArgs),
}

/// Run the table service.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
struct StoreArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// fault that is active from the start, such as outage or slow:10s
    #[argh(option)]
    fault: Option<String>,
}

/// Run an upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// URL of the agent to announce to
    #[argh(option)]
    agent: Option<String>,
    /// incarnation to announce (default 1)
    #[argh(option, default = "1")]
    incarnation: u64,
    /// service time in milliseconds (default 5)
    #[argh(option, default = "5")]
    service_ms: u64,
    /// fault that is active from the start, such as close or slow:250ms
    #[argh(option)]
    fault: Option<UpstreamFault>,
}

/// Run a worker.
#[derive(FromArgs)]
#[argh(subcommand, name = "worker")]
struct WorkerArgs {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "loopback()")]
    listen: SocketAddr,
    /// number of accelerators (default 8)
    #[argh(option, default = "8")]
    accelerators: u32,
    /// time that a checkpoint takes, in milliseconds (default 100)
    #[argh(option, default = "100")]
    checkpoint_ms: u64,
    /// age up to which the usage report is cached, in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    lag_ms: u64,
    /// fault that is active from the start, such as silent or slow-checkpoint:5s
    #[argh(option)]
    fault: Option<WorkerFault>,
}

/// Send HTTP load to a loopback address and report outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// URL; may be repeated, requests use the URLs in rotation
    #[argh(option)]
    url: Vec<String>,
    /// requests per second (default 100)
    #[argh(option, default = "100.0")]
    rate: f64,
    /// number of requests (default 1000)
    #[argh(option, default = "1000")]
    count: u64,
    /// longest time during which requests are sent, in seconds (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// number of successive requests that share key and body (default 1)
    #[argh(option, default = "1")]
    repeats: u64,
    /// time in milliseconds within which a 2xx answer counts as on time (default 10000)
    #[argh(option, default = "10000")]
    deadline_ms: u64,
    /// body; the text {n} is replaced by the number of the request divided by repeats
    #[argh(option, default = "String::from(\"{n}\")")]
    body: String,
    /// header as name:value; may be repeated
    #[argh(option)]
    header: Vec<String>,
    /// prefix of the idempotency keys
    #[argh(option)]
    key_prefix: Option<String>,
    /// time-out of a request in milliseconds (default 10000)
    #[argh(option, default = "10000")]
    timeout_ms: u64,
    /// highest number of open requests (default 1024)
    #[argh(option, default = "1024")]
    open: usize,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkpulley-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> Result<(), Box<dyn std::error::Error>> {
    match command {
        Command::Load(args) => load(args).await?,
        Command::Store(args) => {
            let mut service = TableService::start(args.listen).await?;
            service.faults().set(args.fault.as_deref().map(parse_store_fault).transpose()?);
            println!("listening on {}", service.server().address());
            shutdown_signal().await?;
            service.stop().await;
        }
        Command::Upstream(args) => {
            let service_time = Duration::from_millis(args.service_ms);
            let mut settings = UpstreamSettings::new(args.listen, service_time);
            settings.agent = args.agent;
            settings.incarnation = args.incarnation;
            let mut upstream = Upstream::start(settings).await?;
            upstream.set_fault(args.fault);
            println!("listening on {}", upstream.server().address());
            shutdown_signal().await?;
            upstream.stop().await;
        }
        Command::Worker(args) => {
            let settings = WorkerSettings::new(args.listen, args.accelerators)
                .with_checkpoint(Duration::from_millis(args.checkpoint_ms))
                .with_lag(Duration::from_millis(args.lag_ms));
            let mut worker = Worker::start(settings).await?;
            worker.set_fault(args.fault);
            println!("listening on {}", worker.server().address());
            shutdown_signal().await?;
            worker.stop().await;
        }
    }
    Ok(())
}

async fn load(args: LoadArgs) -> Result<(), Box<dyn std::error::Error>> {
    let urls: Vec<&str> = args.url.iter().map(String::as_str).collect();
    let mut settings = LoadSettings::new(&urls, args.rate, args.count)
        .with_body(&args.body)
        .with_deadline(Duration::from_millis(args.deadline_ms))
        .with_repeats(args.repeats)
        .with_duration(Duration::from_secs(args.seconds))
        .with_open(args.open)
        .with_timeout(Duration::from_millis(args.timeout_ms));
    settings.key_prefix = args.key_prefix;
    for header in &args.header {
        let (name, value) = header.split_once(':').ok_or("invalid header: must be name:value")?;
        settings = settings.with_header(name.trim(), value.trim());
    }
    let report = run_load(&settings).await?;
    match args.json {
        true => println!("{}", serde_json::to_string(&report)?),
        false => println!("{report}"),
    }
    Ok(())
}

async fn shutdown_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
