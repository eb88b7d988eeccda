use std::time::Instant;

use skylarkpulley_types::AgentId;

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub job: usize,
    pub accelerators: u32,
    pub cores: u32,
    pub memory: u64,
    /// Must not be evicted.
    pub non_preemptible: bool,
    /// A stop was sent.
    pub evicting: bool,
    /// A report has listed it.
    pub covered: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Reserved {
    pub instance: usize,
    /// What is set aside: the instance's accelerators less those its claim uses here.
    pub accelerators: u32,
    pub epoch: u64,
    pub set: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Quarantine {
    pub probe_at: Instant,
    pub probes: u32,
    /// Job that probes the worker.
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
    /// Time and job of recent failures.
    pub failures: Vec<(Instant, String)>,
    pub quarantine: Option<Quarantine>,
    /// Not chosen before this time, after a failure or a missing answer.
    pub avoid: Option<Instant>,
}

impl Worker {
    /// Can hold reservations and start work.
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

    /// What neither non-preemptible work nor a reservation covers, whether it is in use or not.
    pub fn uncovered(&self) -> u32 {
        self.accelerators.saturating_sub(self.non_preemptible() + self.reserved())
    }

    pub fn used_cores(&self) -> u32 {
        self.grants.iter().map(|grant| grant.cores).sum()
    }

    pub fn used_memory(&self) -> u64 {
        self.grants.iter().map(|grant| grant.memory).sum()
    }

    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid.is_some_and(|until| until > now)
    }
}
