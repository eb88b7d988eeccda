use std::fs::File;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use tempfile::TempDir;

use crate::HANG_LIMIT;

/// Name of the settings file in the working folder of a process.
const SETTINGS_FILE: &str = "settings.toml";

/// Name of the file with its output there.
const OUTPUT_FILE: &str = "output.log";

/// Number of lines of the output that are shown for a process that has ended.
const SHOWN_LINES: usize = 20;

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of open descriptors.
    pub descriptors: usize,
    /// Largest resident memory in KB.
    pub resident_kb: u64,
}

/// A process under test. It is killed when the value is dropped.
pub struct Process {
    bounds: Bounds,
    child: Child,
    /// Largest number of open descriptors that was seen.
    descriptors: usize,
    folder: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts `program` with `args` in a folder of its own, which holds `settings` as `settings.toml`.
    ///
    /// # Panics
    /// When it cannot be started.
    pub fn start(program: &str, args: &[&str], settings: &str, bounds: Bounds) -> Self {
        Self::spawn(Command::new(program).args(args), settings, bounds)
    }

    /// As [`Process::start`], for a program that may open at most `limit` descriptors, as its shell has
    /// set with `ulimit`.
    ///
    /// # Panics
    /// When it cannot be started.
    pub fn start_limited(program: &str, limit: usize, settings: &str, bounds: Bounds) -> Self {
        let script = format!("ulimit -n {limit} && exec \"$0\"");
        Self::spawn(Command::new("sh").args(["-c", &script, program]), settings, bounds)
    }

    fn spawn(command: &mut Command, settings: &str, bounds: Bounds) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join(SETTINGS_FILE), settings).expect("written settings");
        let output = File::create(folder.path().join(OUTPUT_FILE)).expect("a file");
        let errors = output.try_clone().expect("a file");
        let child = command
            .current_dir(folder.path())
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .expect("a started program");
        Self { bounds, child, descriptors: 0, folder }
    }

    /// Returns the largest resident memory so far, in KB.
    fn resident_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process lives");
        let line =
            status.lines().find(|line| line.starts_with("VmHWM:")).expect("the process lives");
        line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a size")
    }

    /// Records the number of open descriptors.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn count_descriptors(&mut self) {
        let path = format!("/proc/{}/fd", self.child.id());
        let open = std::fs::read_dir(path).expect("the process lives").count();
        self.descriptors = self.descriptors.max(open);
    }

    /// Checks that the process lives and has kept its bounds so far. `what` names the case.
    ///
    /// # Panics
    /// When it has not.
    pub fn check(&mut self, what: &str) {
        self.expect_alive(what);
        self.count_descriptors();
        let (resident_kb, descriptors) = (self.resident_kb(), self.descriptors);
        println!("{what}: {resident_kb} KB, {descriptors} descriptors");
        assert!(resident_kb <= self.bounds.resident_kb, "{what}: {resident_kb} KB resident");
        assert!(descriptors <= self.bounds.descriptors, "{what}: {descriptors} descriptors");
    }

    /// Panics with the end of its output when the process has ended.
    fn expect_alive(&mut self, what: &str) {
        let Some(status) = self.child.try_wait().expect("a status") else { return };
        let output = std::fs::read(self.folder.path().join(OUTPUT_FILE)).unwrap_or_default();
        let output = String::from_utf8_lossy(&output);
        let lines: Vec<&str> = output.lines().collect();
        let shown = lines[lines.len().saturating_sub(SHOWN_LINES)..].join("\n");
        panic!("{what}: the process has ended: {status}; the end of its output:\n{shown}");
    }

    /// Asks the process to end, and waits until it has.
    ///
    /// # Panics
    /// When it does not end within [`HANG_LIMIT`].
    pub async fn expect_end(&mut self) {
        self.signal("TERM");
        let ended = async {
            while matches!(self.child.try_wait(), Ok(None)) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(HANG_LIMIT, ended).await.expect("the process ends");
    }

    /// Sends the signal with this name to the process.
    ///
    /// # Panics
    /// When it cannot be sent.
    pub fn signal(&self, name: &str) {
        let (name, id) = (format!("-{name}"), self.child.id().to_string());
        let sent = Command::new("kill").args([&name, &id]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Ends the process at once.
    ///
    /// # Panics
    /// When it has ended by itself before.
    pub fn kill(&mut self) {
        self.expect_alive("before it is killed");
        self.child.kill().and_then(|()| self.child.wait()).expect("a process that can be killed");
    }
}
