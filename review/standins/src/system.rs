use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::call;
use crate::record::Record;

/// Number of entries.
const ENTRIES: usize = 3;

/// Number of agents.
const AGENTS: usize = 2;

/// Host of the only queue.
pub const HOST: &str = "jobs.example";

/// Path prefix of the only queue.
pub const PREFIX: &str = "/queue/";

/// Key of the only tenant.
pub const KEY: &str = "key-of-the-tenant";

/// Name of the only service.
pub const SERVICE: &str = "service-a";

/// Bounds of a small deployment, as its site file gives them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub hold_max_ms: u64,
    pub reclaim_ms: u64,
    pub stop_ms: u64,
}

/// What a case needs beside the usual deployment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Extras {
    /// Address of the service that gives placement advice.
    pub advice: Option<SocketAddr>,
    /// Length of a checkpoint in characters; 0 if tasks have none.
    pub checkpoint: usize,
}

/// Returns the operator's document with one queue of priority 1, whose policy takes `decide_ms` and
/// `each_ms` where there is advice.
pub fn config(advice: Option<(u64, u64)>) -> Value {
    let mut config = json!({
        "version": 7,
        "limits": { "max_body_bytes": 262_144 },
        "services": [{ "name": SERVICE, "enforce_capacity": true }],
        "tenants": [{ "name": "tenant-a", "api_keys": [KEY], "guaranteed": { "gpu": 0 } }],
        "routes": [{ "name": "queue-a", "host": HOST, "path_prefix": PREFIX, "service": SERVICE,
            "priority": 1, "attempts": 3, "slack_factor": 2.0, "target_latency_ms": 1000 }],
    });
    if let Some((decide_ms, each_ms)) = advice {
        config["routes"][0]["placement_advice"] =
            json!({ "decide_ms": decide_ms, "each_ms": each_ms, "valid_ms": 3000 });
    }
    config
}

/// Returns a free loopback address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A process of the system under test. It is killed when the value is dropped.
pub struct Process {
    binary: PathBuf,
    child: Option<Child>,
    logs: PathBuf,
    name: String,
    record: Arc<Record>,
    root: PathBuf,
    settings: PathBuf,
}

impl Process {
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.logs)?;
        let child = Command::new(&self.binary)
            .current_dir(&self.root)
            .env_clear()
            .env("SKYLARKPULLEY_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("{} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Reports whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_none()))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} is killed", self.name));
        }
    }

    /// Sends a signal such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} gets SIG{signal}", self.name));
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes of a small deployment.
pub struct System {
    pub entries: Vec<Process>,
    /// Listeners for callers, in the order of `entries`.
    pub callers: Vec<SocketAddr>,
    pub readiness: Vec<SocketAddr>,
    pub agents: Vec<Process>,
    /// Listeners for check-ins, in the order of `agents`.
    pub check_ins: Vec<SocketAddr>,
    record: Arc<Record>,
}

impl System {
    /// Prepares the processes. Their settings are filled in from the templates of the repository at
    /// `root`.
    pub fn prepare(
        root: &Path,
        folder: &Path,
        store: SocketAddr,
        bounds: Bounds,
        extras: Extras,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let mut system = Self {
            entries: Vec::new(),
            callers: Vec::new(),
            readiness: Vec::new(),
            agents: Vec::new(),
            check_ins: Vec::new(),
            record: record.clone(),
        };
        for number in 1..=ENTRIES {
            let name = format!("front-zone-{number}-1");
            let [front, ready, control, operators] =
                [free_address()?, free_address()?, free_address()?, free_address()?];
            let mut fields = common_fields(&name, store, bounds);
            let mut field = |key: &str, value: Value| fields.insert(key.to_owned(), value);
            field("listen.front", front.to_string().into());
            field("listen.ready", ready.to_string().into());
            field("port_range.0", control.port().into());
            field("port_range.1", operators.port().into());
            if let Some(advice) = extras.advice {
                field("placement_advice", advice.to_string().into());
            }
            let process = process(root, folder, "entry", &name, &fields, record)?;
            system.entries.push(process);
            system.callers.push(front);
            system.readiness.push(ready);
        }
        for number in 1..=AGENTS {
            let name = format!("side-zone-{number}-1");
            let control = free_address()?;
            let mut fields = common_fields(&name, store, bounds);
            fields.insert("listen.control".to_owned(), control.to_string().into());
            let process = process(root, folder, "agent", &name, &fields, record)?;
            system.agents.push(process);
            system.check_ins.push(control);
        }
        Ok(system)
    }

    /// Starts all processes. Returns `None` when the entries are not ready after some seconds.
    pub fn start(mut self) -> std::io::Result<Option<Self>> {
        for process in self.entries.iter_mut().chain(self.agents.iter_mut()) {
            process.start()?;
        }
        let end = Instant::now() + Duration::from_secs(8);
        while Instant::now() < end {
            let ready = self.readiness.iter().all(|address| {
                call(*address, "GET", "/readiness", &[], b"", Duration::from_secs(1))
                    .is_some_and(|(status, _)| status == 200)
            });
            if ready && self.agents.iter_mut().all(Process::is_running) {
                return Ok(Some(self));
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.line("the entries did not become ready");
        Ok(None)
    }

    /// Sends a caller's request to the entry with this number.
    pub fn request(&self, entry: usize, method: &str, id: &str, body: &Value) -> Option<u16> {
        self.exchange(entry, method, id, body).map(|(status, _)| status)
    }

    /// Sends a caller's request and returns the status and the body of the answer.
    pub fn exchange(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &Value,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let headers = [("host", HOST), ("x-credential", KEY), ("x-deadline-ms", "3000")];
        let timeout = Duration::from_millis(3000);
        let answer = call(self.callers[entry], method, &path, &headers, text.as_bytes(), timeout);
        let answer = answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into()));
        let shown = answer.as_ref().map_or_else(
            || "no answer".to_owned(),
            |(status, body): &(u16, String)| format!("{status} {body}"),
        );
        self.record.line(&format!("caller: {method} {path} {text} at entry {entry} -> {shown}"));
        answer
    }

    /// Hands a job in until it is accepted; each try goes to the next entry.
    pub fn submit(&self, id: &str, body: &Value) -> bool {
        (0..5).any(|attempt| {
            let accepted =
                self.request(attempt % self.callers.len(), "POST", id, body) == Some(200);
            if !accepted {
                thread::sleep(Duration::from_millis(700));
            }
            accepted
        })
    }
}

fn common_fields(name: &str, store: SocketAddr, bounds: Bounds) -> BTreeMap<String, Value> {
    let fields: [(&str, Value); 13] = [
        ("node", name.into()),
        ("ip", "127.0.0.1".into()),
        ("limits.cpu_share", 0.25.into()),
        ("limits.memory_mb", 260.into()),
        ("limits.max_fds", 4100.into()),
        ("platform.address", store.to_string().into()),
        ("platform.row_bytes", 65_536.into()),
        ("bounds.hold_max_ms", bounds.hold_max_ms.into()),
        ("bounds.reclaim_ms", bounds.reclaim_ms.into()),
        ("bounds.stop_ms", bounds.stop_ms.into()),
        ("bounds.checkpoint_s", 1.into()),
        ("bounds.status_s", 120.into()),
        ("bounds.grace_s", 6.into()),
    ];
    fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect()
}

fn process(
    root: &Path,
    folder: &Path,
    role: &str,
    name: &str,
    fields: &BTreeMap<String, Value>,
    record: &Arc<Record>,
) -> std::io::Result<Process> {
    let template = fs::read_to_string(root.join(format!("platform/{role}.toml")))?;
    let settings = folder.join(format!("{name}.toml"));
    fs::write(&settings, fill(&template, fields)?)?;
    Ok(Process {
        binary: root.join(format!("target/release/skylarkpulley-platform-{role}")),
        child: None,
        logs: folder.join(format!("{name}.log")),
        name: name.to_owned(),
        record: record.clone(),
        root: root.to_owned(),
        settings,
    })
}

/// Fills in a template as the platform does. A section stands on one line of its own here, and is
/// left out when its field has no value.
fn fill(template: &str, fields: &BTreeMap<String, Value>) -> std::io::Result<String> {
    let mut text = String::new();
    for line in template.lines() {
        let section = line
            .strip_prefix("{{#")
            .and_then(|rest| rest.split_once("}}"))
            .map(|(name, rest)| (name, rest.replace(&format!("{{{{/{name}}}}}"), "")));
        match section {
            Some((name, content)) if fields.contains_key(name) => {
                text.push_str(&fill_line(&content, fields)?);
            }
            Some(_) => {}
            None => text.push_str(&fill_line(line, fields)?),
        }
    }
    Ok(text)
}

fn fill_line(line: &str, fields: &BTreeMap<String, Value>) -> std::io::Result<String> {
    let mut text = String::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once("{{") {
        let Some((name, after)) = after.split_once("}}") else {
            return Err(std::io::Error::other(format!("cannot fill in {line:?}")));
        };
        text.push_str(before);
        let (name, as_json) = name.strip_suffix("|json").map_or((name, false), |name| (name, true));
        let value = fields
            .get(name)
            .ok_or_else(|| std::io::Error::other(format!("no value for {name:?}")))?;
        match value {
            Value::String(value) if !as_json => text.push_str(value),
            value => text.push_str(&value.to_string()),
        }
        rest = after;
    }
    text.push_str(rest);
    text.push('\n');
    Ok(text)
}
