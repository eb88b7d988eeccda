use std::time::Duration;

use skylarkpulley_types::AgentId;

use crate::Reservation;

/// One grant, as reported to the entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantReport {
    /// Id of the gang.
    pub gang: String,
    /// Epoch of the proposal.
    pub epoch: u64,
    /// Accelerators granted.
    pub accelerators: u32,
    /// Guarantee instance that is claimed; `None` for borrowed work.
    pub instance: Option<String>,
    /// Whether the work may be checkpointed or stopped.
    pub preemptible: bool,
    /// True from the first lease until the worker reports the task's end.
    pub running: bool,
    /// Time since the first lease.
    pub running_for: Duration,
    /// Agent that leads the gang, once the grant is committed.
    pub lead: Option<AgentId>,
    /// Memory used in MiB, as last reported by the worker.
    pub memory_used: u64,
}

/// State of the ledger, from which a new placer rebuilds its view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// Accelerators of the worker.
    pub accelerators: u32,
    /// False while the worker takes no new work.
    pub serving: bool,
    /// Grants in order of their gang ids, uncommitted holds included.
    pub grants: Vec<GrantReport>,
    /// Reservations that no grant has converted, in order of their instances.
    pub reservations: Vec<Reservation>,
}
