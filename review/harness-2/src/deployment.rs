//! The programs of the deploy file as separate processes, with stand-ins of the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use skylarkpulley_platform_standins::Store;
use tokio::net::TcpListener;

use crate::record::Record;
use crate::worker::{HOLD_MAX_MS, Host, Life, SERVICE};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const KEY: &str = "key-of-the-tenant";

/// A program of the project; killed when it is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn start(program: &str, folder: &Path, name: &str, settings: &str) -> std::io::Result<Self> {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = folder.join(format!("{name}.log"));
        let log = std::fs::File::create(log)?;
        let child = Command::new(program)
            .env("SKYLARKPULLEY_NODE_FILE", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self { child })
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Entry {
    pub callers: SocketAddr,
    pub name: String,
    pub process: Process,
    pub readiness: SocketAddr,
}

pub struct Agent {
    pub control: SocketAddr,
    pub process: Process,
}

pub struct Deployment {
    pub agents: Vec<Agent>,
    pub client: reqwest::Client,
    pub entries: Vec<Entry>,
    pub record: Record,
    pub store: Store,
    store_address: SocketAddr,
    pub workers: Vec<Host>,
}

async fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0").await?.local_addr()
}

impl Deployment {
    /// Starts three entries, `workers` agents, each with a worker, and the store. The settings are
    /// those of platform/*.toml with the bounds of the site menza-grid.
    ///
    /// A minion that crashes is back after `down`; `next` changes what its next life has.
    pub async fn start(
        folder: &Path,
        record: &Record,
        workers: usize,
        down: Duration,
        next: fn(&mut Life),
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = Store::new(&tables(), 1);
        let store_address = store.start().await.map_err(|error| error.to_string())?;
        let mut entries = Vec::new();
        for name in ["front-sofia-a-1", "front-sofia-b-1", "front-sofia-c-1"] {
            let (callers, readiness) =
                (free_address().await.map_err(text)?, free_address().await.map_err(text)?);
            let (control, operators) =
                (free_address().await.map_err(text)?, free_address().await.map_err(text)?);
            let settings = format!(
                "name = \"{name}\"\ncallers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
                 control = \"{control}\"\noperators = \"{operators}\"\ncores = 0.25\n\
                 store = \"{store_address}\"\nrow_bytes = 65536\n\
                 longest_lease_ms = {HOLD_MAX_MS}\nreclaim_ms = 3400\nstop_ms = 900\n\
                 checkpoint_s = 1\nretention_s = 120\ngrace_s = 6\n"
            );
            let program = "target/release/skylarkpulley-platform-entry";
            let process = Process::start(program, folder, name, &settings).map_err(text)?;
            entries.push(Entry { callers, name: name.to_owned(), process, readiness });
        }
        let (mut agents, mut started) = (Vec::new(), Vec::new());
        for number in 1..=workers {
            let control = free_address().await.map_err(text)?;
            let name = format!("side-sofia-a-{number}");
            let settings = format!(
                "name = \"{name}\"\nannouncements = \"{control}\"\nstore = \"{store_address}\"\n\
                 longest_lease_ms = {HOLD_MAX_MS}\n"
            );
            let program = "target/release/skylarkpulley-platform-agent";
            let process = Process::start(program, folder, &name, &settings).map_err(text)?;
            agents.push(Agent { control, process });
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(text)?;
            let life = Life {
                agent: control,
                clock_ahead_ms: 0,
                id: format!("i-{number}"),
                rack: format!("r1-{number}"),
            };
            started.push(Host::start(life, listener, record, down, next));
        }
        let client = reqwest::Client::new();
        let deployment = Self {
            agents,
            client,
            entries,
            record: record.clone(),
            store,
            store_address,
            workers: started,
        };
        deployment.wait_ready().await?;
        tokio::time::sleep(Duration::from_secs(4)).await;
        Ok(deployment)
    }

    async fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..100 {
            let mut ready = 0;
            for entry in &self.entries {
                let url = format!("http://{}/readiness", entry.readiness);
                let answer = self.client.get(url).timeout(Duration::from_secs(1)).send().await;
                ready += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
            }
            if ready == self.entries.len() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err("the entries are not ready within 10 s".to_owned())
    }

    /// Writes a desired state, as the operator does.
    pub async fn put_tables(&self, tables: &Value) -> Result<(), String> {
        let value = STANDARD.encode(tables.to_string());
        let body = json!({ "expect": [], "deletes": [],
            "upserts": [{ "table": "op", "part": "", "key": "config", "value": value }] });
        let url = format!("http://{}/rows-tx", self.store_address);
        let answer = self.client.post(url).json(&body).send().await;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.status() != 200 {
            return Err(format!("the store answers {} to the operator", answer.status()));
        }
        Ok(())
    }

    /// Returns the index of the entry that leads according to its record in the store.
    pub fn leader(&self) -> Option<usize> {
        let (_, name) = self.store.leader()?;
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// Sends a call of a requester, waits for up to 3 s, and records it. Returns the status and the
    /// body; 0 without an answer.
    pub async fn call(
        &self,
        client: &reqwest::Client,
        entry: usize,
        method: &str,
        id: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let entry = &self.entries[entry];
        let method = reqwest::Method::from_bytes(method.as_bytes()).expect("method");
        let url = format!("http://{}{PREFIX}{id}", entry.callers);
        let mut request = client
            .request(method.clone(), url)
            .header("host", HOST)
            .header("x-credential", KEY)
            .header("x-deadline-ms", "3000")
            .timeout(Duration::from_secs(3));
        if let Some(body) = body {
            request = request.json(body);
        }
        self.record.line(&format!("{method} {id} sent to {}", entry.name));
        let (status, answer) = match request.send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, response.json().await.unwrap_or_default())
            }
            Err(_) => (0, Value::Null),
        };
        self.record.line(&format!("{method} {id} at {}: status {status} {answer}", entry.name));
        (status, answer)
    }
}

/// A desired state with one queue, one service and one tenant.
pub fn tables() -> Value {
    json!({
        "version": 7,
        "limits": { "max_body_bytes": 262_144 },
        "services": [{ "name": SERVICE, "enforce_capacity": true }],
        "tenants": [{ "name": "t1", "api_keys": [KEY], "guaranteed": { "gpu": 0 } }],
        "routes": [{ "name": "menu-rebuild", "host": HOST, "path_prefix": PREFIX,
            "service": SERVICE, "priority": 1, "attempts": 3, "slack_factor": 2.0,
            "target_latency_ms": 1000 }],
    })
}

/// A job of steps that follow each other: number of tasks, and work of each in milliseconds.
pub fn job(steps: &[(u32, u64)]) -> Value {
    let work: Vec<u64> = steps.iter().map(|step| step.1).collect();
    let body: Vec<Value> = steps
        .iter()
        .enumerate()
        .map(|(number, (count, work))| {
            let after: Vec<usize> = (0..number).collect();
            json!({ "count": count, "cpu": 5600, "mem_mb": 16_000, "gpu": 1,
                "estimate_ms": work, "after": after })
        })
        .collect();
    json!({ "spec": json!({ "work_ms": work }).to_string(), "steps": body })
}
