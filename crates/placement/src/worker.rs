use std::time::Instant;

use skylarkpulley_types::AgentId;

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub job: usize,
    pub accelerators: u32,
    pub cores: u32,
    pub memory: u64,
    /// The grant must not be evicted.
    pub non_preemptible: bool,
    /// A stop was sent to the gang.
    pub evicting: bool,
    /// The latest report listed the grant.
    pub reported: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Reserved {
    pub instance: usize,
    /// Accelerators of the instance, less those that its claim uses on this worker.
    pub accelerators: u32,
    pub epoch: u64,
    /// When the reservation was last set or sent to the agent again.
    pub set_at: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Quarantine {
    /// No probe starts before this time.
    pub probe_at: Instant,
    /// Number of probes so far.
    pub probes: u32,
    /// Job that currently probes the worker.
    pub probe: Option<usize>,
}

#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub agent: AgentId,
    pub rack: usize,
    pub domain: usize,
    pub accelerators: u32,
    pub alive: bool,
    pub reported: bool,
    pub draining: bool,
    pub grants: Vec<Grant>,
    pub reserved: Vec<Reserved>,
    /// Time and job id of recent failures.
    pub failures: Vec<(Instant, String)>,
    pub quarantine: Option<Quarantine>,
    /// After a failure or a missing answer, the worker is not chosen before this time.
    pub avoided_until: Option<Instant>,
}

impl Worker {
    /// Reports whether the worker can carry reservations and start work.
    pub fn is_usable(&self) -> bool {
        self.alive && self.reported && !self.draining && self.quarantine.is_none()
    }

    pub fn used(&self) -> u32 {
        self.grants.iter().map(|grant| grant.accelerators).sum()
    }

    pub fn free(&self) -> u32 {
        self.accelerators.saturating_sub(self.used())
    }

    pub fn non_preemptible(&self) -> u32 {
        self.grants
            .iter()
            .filter(|grant| grant.non_preemptible)
            .map(|grant| grant.accelerators)
            .sum()
    }

    pub fn reserved(&self) -> u32 {
        self.reserved.iter().map(|reserved| reserved.accelerators).sum()
    }

    /// Returns the accelerators that neither non-preemptible work nor a reservation covers, whether
    /// they are in use or not.
    pub fn lendable(&self) -> u32 {
        self.accelerators.saturating_sub(self.non_preemptible() + self.reserved())
    }

    pub fn used_cores(&self) -> u32 {
        self.grants.iter().map(|grant| grant.cores).sum()
    }

    pub fn used_memory(&self) -> u64 {
        self.grants.iter().map(|grant| grant.memory).sum()
    }

    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| until > now)
    }
}
