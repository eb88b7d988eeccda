//! Measures what the control traffic of one agent and one entry costs at several sizes, with real
//! processes on loopback. Build the binaries first:
//!
//! `cargo build --release --bins && cargo run --release -p skylarkpulley-demo --example slopes`
//!
//! Per size it prints processor time, resident memory and loopback bytes while idle and while edits
//! are applied. Loopback bytes include the headers of TCP and IP, both directions, and are divided
//! by the number of agents; they include the traffic between the entries and the store.

use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use skylarkpulley_admin::{ApplyReply, ApplyRequest, Client};

/// Numbers of agents; a few hundred processes are the limit on one machine.
const AGENT_COUNTS: [usize; 4] = [25, 50, 100, 200];

const ENTRY_COUNT: usize = 2;
const IDLE_DURATION: Duration = Duration::from_secs(10);
const EDIT_COUNT: u64 = 8;

/// Clock ticks a second in /proc/PID/stat on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Cost {
    cpu: f64,
    rss_mib: f64,
}

fn cost(child: &Child) -> Cost {
    let root = PathBuf::from(format!("/proc/{}", child.id()));
    let stat = std::fs::read_to_string(root.join("stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let parse_ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(root.join("status")).unwrap_or_default();
    let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = rss.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    Cost {
        cpu: (parse_ticks(11) + parse_ticks(12)) / TICKS_PER_SECOND,
        rss_mib: kib.unwrap_or(0.0) / 1024.0,
    }
}

fn loopback_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:").map(str::to_owned));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0.0)
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

fn spawn(binary: &Path, arguments: &[&str]) -> Child {
    Command::new(binary)
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the binary starts; build it with cargo build --release --bins")
}

struct TrialDeployment {
    admin: Vec<Client>,
    agents: Processes,
    directory: PathBuf,
    entries: Processes,
    _store: Processes,
}

fn write_settings(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(format!("{name}.toml"));
    let mut file = std::fs::File::create(&path).expect("a settings file");
    file.write_all(text.as_bytes()).expect("written settings");
    path.display().to_string()
}

fn start(size: usize, bin: &Path) -> TrialDeployment {
    let directory = std::env::temp_dir().join(format!("slopes-{}-{size}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let store = free_port();
    let stand_in =
        spawn(&bin.join("skylarkpulley-standins"), &["store", "--listen", &store.to_string()]);
    let controls: Vec<SocketAddr> = (0..ENTRY_COUNT).map(|_| free_port()).collect();
    let list = |addresses: &[SocketAddr]| {
        let quoted: Vec<String> =
            addresses.iter().map(|address| format!("\"{address}\"")).collect();
        quoted.join(", ")
    };
    let mut entries = Processes(Vec::new());
    let mut admin = Vec::new();
    for (index, control) in controls.iter().enumerate() {
        let (admin_address, callers) = (free_port(), free_port());
        let text = format!(
            "name = \"entry-{index}\"\ndomain = \"d\"\ncallers = \"{callers}\"\n\
             admin = \"{admin_address}\"\n\
             control = \"{control}\"\npeers = [{}]\nsecret = \"a secret for loopback\"\n\
             store = \"http://{store}\"\nlog_filter = \"error\"\n",
            list(&controls)
        );
        let file = write_settings(&directory, &format!("entry-{index}"), &text);
        entries.0.push(spawn(&bin.join("skylarkpulley-entry"), &["--settings", &file]));
        admin.push(Client::new(&format!("http://{admin_address}")).expect("an address"));
    }
    let mut agents = Processes(Vec::new());
    for index in 0..size {
        // Nothing listens at the worker's address, so that only control traffic is measured.
        let text = format!(
            "name = \"worker-{index}\"\nkind = \"worker\"\npool = \"rebuilds\"\n\
             domain = \"north\"\nrack = \"r{}\"\ncontrol = \"127.0.0.1:0\"\n\
             local = \"127.0.0.1:0\"\nworker = \"127.0.0.1:9\"\nentries = [{}]\n\
             secret = \"a secret for loopback\"\nlog_filter = \"error\"\n",
            index / 3,
            list(&controls)
        );
        let file = write_settings(&directory, &format!("agent-{index}"), &text);
        agents.0.push(spawn(&bin.join("skylarkpulley-agent"), &["--settings", &file]));
    }
    let store = Processes(vec![stand_in]);
    TrialDeployment { admin, agents, directory, entries, _store: store }
}

async fn apply(trial: &TrialDeployment, from: u64, routes: &str, pools: &str) -> u64 {
    let request = ApplyRequest {
        edit_id: format!("edit-{from}"),
        from_version: from,
        pools: pools.to_owned(),
        routes: routes.to_owned(),
    };
    for _ in 0..100 {
        if let Ok(ApplyReply::Accepted { version }) = trial.admin[0].apply(&request).await {
            return version;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the edit was not accepted");
}

/// Waits until every process uses `version` and returns how long that took.
async fn wait_in_use(trial: &TrialDeployment, version: u64, size: usize) -> Duration {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(60) {
        let status = trial.admin[0].status().await.unwrap_or_default();
        let current = status.processes.iter().filter(|process| process.version >= version);
        if current.count() == size + ENTRY_COUNT {
            return start.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("version {version} was not in use by every process within 60 s");
}

fn total_cost(children: &[Child]) -> (f64, f64, f64) {
    let costs: Vec<Cost> = children.iter().map(cost).collect();
    let cpu = costs.iter().map(|cost| cost.cpu).sum();
    let rss = costs.iter().map(|cost| cost.rss_mib).sum::<f64>() / costs.len() as f64;
    (cpu, rss, costs.iter().map(|cost| cost.rss_mib).fold(0.0, f64::max))
}

async fn measure(size: usize, bin: &Path) {
    let routes = include_str!("../../../samples/canteen/routes.toml");
    let pools = include_str!("../../../samples/canteen/pools.toml");
    let trial = start(size, bin);
    let mut version = apply(&trial, 0, routes, pools).await;
    wait_in_use(&trial, version, size).await;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let (agents, entries, bytes) =
        (total_cost(&trial.agents.0), total_cost(&trial.entries.0), loopback_bytes());
    tokio::time::sleep(IDLE_DURATION).await;
    let seconds = IDLE_DURATION.as_secs_f64();
    let cpu_percent = |now: f64, before: f64, n: usize| 100.0 * (now - before) / seconds / n as f64;
    let (agents_now, entries_now) = (total_cost(&trial.agents.0), total_cost(&trial.entries.0));
    let idle_bytes = (loopback_bytes() - bytes) / seconds / size as f64;
    println!(
        "{size:>4} agents, idle: agent {:.2} % of a core, {:.1} MiB (max {:.1}); entry {:.2} %, {:.1} \
         MiB; {idle_bytes:.0} B/s per agent",
        cpu_percent(agents_now.0, agents.0, size),
        agents_now.1,
        agents_now.2,
        cpu_percent(entries_now.0, entries.0, ENTRY_COUNT),
        entries_now.1,
    );

    let mut times = Vec::new();
    for edit in 0..EDIT_COUNT {
        let weight = format!("weight = {}", 9 + edit);
        version = apply(&trial, version, routes, &pools.replacen("weight = 8", &weight, 1)).await;
        times.push(wait_in_use(&trial, version, size).await);
    }
    times.sort_unstable();
    println!(
        "{size:>4} agents, {EDIT_COUNT} edits: in force everywhere after p50 {:.0?}, max {:.0?}",
        times[times.len() / 2],
        times[times.len() - 1],
    );
    let _ = std::fs::remove_dir_all(&trial.directory);
}

#[tokio::main]
async fn main() {
    let own_path = std::env::current_exe().expect("the path of this program");
    let bin = own_path.parent().and_then(Path::parent).expect("the directory of the binaries");
    for size in AGENT_COUNTS {
        measure(size, bin).await;
    }
}
