use std::net::SocketAddr;
use std::time::Duration;

use skylarkpulley_jobs::Limits;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address at which other entries and agents reach the control listener. It differs from the
    /// address of the listener behind an address translation.
    pub announced: SocketAddr,
    /// Leases are extended only while the store has confirmed the leadership within this time.
    pub confirmation_limit: Duration,
    /// Processor time that the entry may use, in thousandths of a core.
    pub cores: u64,
    /// For how long agents may extend leases, counted from the report that the leader answers.
    pub lease: Duration,
    /// Limits of the coordinator.
    pub limits: Limits,
    /// Name of the VM.
    pub name: String,
    /// Memory in bytes that submissions may take in the leader until they are stored.
    pub unstored_bytes: usize,
}
