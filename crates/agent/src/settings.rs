use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_connections::ConnectionSettings;
use skylarkpulley_proto::Secret;
use skylarkpulley_tables::PoolKind;
use skylarkpulley_telemetry::{LogFormat, SettingsError, load_settings};

/// Settings of one agent, read from TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the agent. It is unique among agents and stays the same when the agent restarts.
    pub name: String,
    /// Whether the agent serves an upstream or a worker.
    pub kind: PoolKind,
    /// Name of the pool that the upstream or worker belongs to.
    pub pool: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Rack of the VM. Empty for agents of upstreams.
    #[serde(default)]
    pub rack: String,
    /// Address of the control listener, to which entries and other agents connect.
    pub control: SocketAddr,
    /// Address at which entries and other agents reach the control listener, if it differs from
    /// `control`.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address on the loopback interface where the upstream announces itself.
    pub local: SocketAddr,
    /// Address of the HTTP interface of the worker. Required for workers, unused for upstreams.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
    /// Control addresses of the entries to which the agent connects first.
    pub entries: Vec<SocketAddr>,
    /// Shared secret of the processes, at least 16 characters.
    pub secret: String,
    /// Base URL of the platform's table service.
    #[serde(default)]
    pub store: Option<String>,
    /// Memory of the VM in MB; without it, the memory that the kernel reports.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Number of descriptors that the process may open; without it, the limit of the process.
    #[serde(default)]
    pub max_fds: Option<f64>,
    /// Address to which metrics are sent in the statsd format over UDP.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Filter of log lines.
    #[serde(default = "default_filter")]
    pub log_filter: String,
    /// Longest time that a graceful shutdown waits for running attempts and gangs.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Settings {
    /// Returns the resources that the connections of the process may use.
    pub fn resources(&self) -> ConnectionSettings {
        let stated = ConnectionSettings { max_fds: self.max_fds, memory_mb: self.memory_mb };
        stated.or_from_system()
    }

    /// Reads settings from the TOML file at `path` and checks them.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the field and the reason why the value is not allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = load_settings(path)?;
        let invalid = |field: &str, problem: &str| SettingsError::Value {
            path: path.display().to_string(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        };
        if settings.name.is_empty() {
            return Err(invalid("name", "must not be empty"));
        }
        Secret::new(&settings.secret).map_err(|error| invalid("secret", &error.to_string()))?;
        if settings.kind == PoolKind::Worker && settings.worker.is_none() {
            return Err(invalid(
                "worker",
                "an agent of kind \"worker\" needs the worker's address",
            ));
        }
        Ok(settings)
    }
}

fn default_filter() -> String {
    "info".to_owned()
}

fn default_drain() -> Duration {
    Duration::from_secs(30)
}
