use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_connections::ConnectionSettings;
use skylarkpulley_proto::Secret;
use skylarkpulley_telemetry::{LogFormat, SettingsError, load_settings};

/// Settings of one entry, read from TOML.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry, unique among entries.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address where callers send requests.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub admin: SocketAddr,
    /// Address of the control listener, reached by agents and other entries.
    pub control: SocketAddr,
    /// Control addresses of other entries that are contacted at the start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Secret shared by all processes, at least 16 characters.
    pub secret: String,
    /// Base URL of the platform's table service.
    pub store: String,
    /// Limit on open requests, waiting or running; further ones are refused.
    #[serde(default = "default_open_limit")]
    pub open_limit: usize,
    /// Time in which a caller must have sent the whole request.
    #[serde(default = "default_read_timeout", with = "humantime_serde")]
    pub read_timeout: Duration,
    /// Longest time for which a graceful shutdown waits for open requests.
    #[serde(default = "default_drain", with = "humantime_serde")]
    pub drain_timeout: Duration,
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
    /// Filter directive that selects the log lines to write.
    #[serde(default = "default_filter")]
    pub log_filter: String,
}

fn default_open_limit() -> usize {
    10_000
}

fn default_read_timeout() -> Duration {
    Duration::from_secs(5)
}

fn default_drain() -> Duration {
    Duration::from_secs(30)
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
        Ok(settings)
    }
}

fn default_filter() -> String {
    "info".to_owned()
}
