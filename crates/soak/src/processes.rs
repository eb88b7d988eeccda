use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use rustix::process::{Pid, Signal, kill_process};
use tokio::process::{Child, Command};

use crate::links::Links;
use crate::{Party, SoakError};

/// Environment variable with the path of the settings file of a program.
const SETTINGS_VARIABLE: &str = "SKYLARKPULLEY_NODE_FILE";

/// A process of the deployment under test. It is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Option<Child>,
    links: Links,
    log: PathBuf,
    party: Party,
    program: PathBuf,
    settings: PathBuf,
}

impl Process {
    /// Starts `program` with the content of its settings file. Settings and log are kept in
    /// `folder`.
    ///
    /// # Errors
    /// [`SoakError`] when a file cannot be written or the program cannot be started.
    pub fn start(
        program: &Path,
        folder: &Path,
        party: Party,
        settings: &str,
        links: &Links,
    ) -> Result<Self, SoakError> {
        let settings_path = folder.join(format!("{party}.toml"));
        fs::write(&settings_path, settings).map_err(SoakError::io("settings of a process"))?;
        let mut process = Self {
            child: None,
            links: links.clone(),
            log: folder.join(format!("{party}.log")),
            party,
            program: program.to_owned(),
            settings: settings_path,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program, after it was killed or for the first time.
    ///
    /// # Errors
    /// [`SoakError`] when the log cannot be opened or the program cannot be started.
    pub fn restart(&mut self) -> Result<(), SoakError> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(SoakError::io("log of a process"))?;
        let errors = log.try_clone().map_err(SoakError::io("log of a process"))?;
        let child = Command::new(&self.program)
            .env(SETTINGS_VARIABLE, &self.settings)
            .kill_on_drop(true)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|source| SoakError::Start { program: self.program.clone(), source })?;
        if let Some(pid) = child.id() {
            self.links.set_owner(pid, self.party);
        }
        self.child = Some(child);
        Ok(())
    }

    /// Checks that the process has not ended by itself.
    ///
    /// # Errors
    /// [`SoakError::Ended`] when it has.
    pub fn check_running(&mut self) -> Result<(), SoakError> {
        let running = self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if running { Ok(()) } else { Err(SoakError::Ended { party: self.party }) }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child = None;
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = &mut self.child else { return };
        // A process that has ended and was waited for has no id that may be used.
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let pid = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // It fails when the process ends meanwhile, which needs no handling.
            let _ = kill_process(pid, signal);
        }
    }
}

/// Values of a settings file of an entry.
#[derive(Clone, Debug)]
pub struct EntryValues {
    /// Address under which others reach the control listener.
    pub announced: SocketAddr,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other entries and agents.
    pub control: SocketAddr,
    /// Longest lease of the workers, in milliseconds.
    pub lease_ms: u64,
    /// Listener for the readiness check.
    pub readiness: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
}

/// Returns the settings of the entry `party`.
pub fn entry_settings(party: Party, values: &EntryValues) -> String {
    let EntryValues { announced, callers, control, lease_ms, readiness, store } = values;
    format!(
        "name = \"{party}\"\nannounced = \"{announced}\"\ncallers = \"{callers}\"\n\
         control = \"{control}\"\nreadiness = \"{readiness}\"\nstore = \"{store}\"\n\
         longest_lease_ms = {lease_ms}\ncores = 0.25\nrow_bytes = 65536\nreclaim_ms = 2700\n\
         stop_ms = 200\ncheckpoint_s = 1\nretention_s = 600\ngrace_s = 6\n"
    )
}

/// Returns the settings of the agent `party`.
pub fn agent_settings(
    party: Party,
    announcements: SocketAddr,
    store: SocketAddr,
    lease_ms: u64,
) -> String {
    format!(
        "name = \"{party}\"\nannouncements = \"{announcements}\"\nstore = \"{store}\"\n\
         longest_lease_ms = {lease_ms}\n"
    )
}
