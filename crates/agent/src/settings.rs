use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_proto::Secret;
use skylarkpulley_tables::PoolKind;
use skylarkpulley_telemetry::{LogFormat, SettingsError, load_settings};

/// Settings of one agent, read from TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the agent, unique among agents; kept over restarts.
    pub name: String,
    /// What stands beside the agent.
    pub kind: PoolKind,
    /// Name of the pool that the upstream or worker belongs to.
    pub pool: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Rack of the VM; empty for upstreams.
    #[serde(default)]
    pub rack: String,
    /// Address of the control listener, reached by entries and other agents.
    pub control: SocketAddr,
    /// Address under which entries and other agents reach the control listener, when it is not
    /// the one that it listens on.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// Address on the loopback interface where the upstream announces itself.
    pub local: SocketAddr,
    /// Address of the worker's own interface; only for workers.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
    /// Control addresses of entries to start from.
    pub entries: Vec<SocketAddr>,
    /// Shared secret of the processes, at least 16 characters.
    pub secret: String,
    /// Base URL of the platform's table service.
    #[serde(default)]
    pub store: Option<String>,
    /// Where metrics are sent, in the statsd format over UDP.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Filter of log lines.
    #[serde(default = "default_filter")]
    pub log_filter: String,
    /// Longest time that a graceful shutdown waits for requests in flight.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain_timeout: Duration,
}

impl Settings {
    /// Reads settings from the TOML file at `path` and checks them.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the field and what is allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = load_settings(path)?;
        let fault = |field: &str, problem: &str| SettingsError::Value {
            path: path.display().to_string(),
            field: field.to_owned(),
            problem: problem.to_owned(),
        };
        if settings.name.is_empty() {
            return Err(fault("name", "must not be empty"));
        }
        Secret::new(&settings.secret).map_err(|error| fault("secret", &error.to_string()))?;
        if settings.kind == PoolKind::Worker && settings.worker.is_none() {
            return Err(fault("worker", "an agent of kind \"worker\" needs the worker's address"));
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
