use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::Reservation;

/// A grant, as reported to the entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the proposal.
    pub epoch: u64,
    /// Number of accelerators granted.
    pub accelerators: u32,
    /// Guarantee instance that the gang claims; `None` for borrowed capacity.
    pub instance: Option<String>,
    /// Whether the work may be checkpointed or stopped.
    pub preemptible: bool,
    /// True from the first lease until the worker reports the end of the task.
    pub running: bool,
    /// Time since the first lease.
    pub running_for: Duration,
    /// Agent that leads the gang, once the grant is committed.
    pub lead: Option<AgentId>,
    /// Memory used in MiB, as last reported by the worker.
    pub memory_used: u64,
}

/// State of the ledger, from which a new placer rebuilds its own state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Number of accelerators of the worker.
    pub accelerators: u32,
    /// False while the worker accepts no new holds.
    pub serving: bool,
    /// Grants sorted by gang id, including uncommitted holds, excluding pending ones.
    pub grants: Vec<GrantReport>,
    /// Reservations that no grant has claimed, sorted by instance. Those of pending claims are
    /// included.
    pub reservations: Vec<Reservation>,
}
