use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes what was sent, answered and run, with the time since the start of the script.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.started.elapsed().as_secs_f64());
    }
}
