use std::time::Duration;

use skylarkpulley_types::{AgentId, Locality, Shape};

/// A worker in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Its agent.
    pub agent: AgentId,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: String,
    /// Its accelerators.
    pub accelerators: u32,
    /// Accelerators granted, including work that is being evicted.
    pub used: u32,
    /// Accelerators granted to work that must not be evicted.
    pub non_preemptible: u32,
    /// Accelerators set aside for guarantees.
    pub reserved: u32,
    /// Whether its agent has reported since it joined.
    pub reported: bool,
    /// Whether work can start there.
    pub usable: bool,
    /// Whether it is quarantined.
    pub quarantined: bool,
    /// Whether an operator drains it.
    pub draining: bool,
}

/// A job in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobStatus {
    /// Its id.
    pub id: String,
    /// Its team.
    pub team: String,
    /// Its priority class.
    pub class: u8,
    /// Its shape.
    pub shape: Shape,
    /// "waiting", "holding", "committing", "running" or "stopping".
    pub state: &'static str,
    /// Epoch of the latest try.
    pub epoch: u64,
    /// Agents and accelerators of its members.
    pub members: Vec<(AgentId, u32)>,
    /// Claimed guarantee instance.
    pub instance: Option<String>,
    /// Whether it must not be evicted.
    pub non_preemptible: bool,
    /// Times it was preempted within the last hour.
    pub preemptions: usize,
    /// Time since it was queued or started.
    pub elapsed: Duration,
    /// What it waits for.
    pub wait_reason: String,
}

/// A guarantee instance in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceStatus {
    /// "guarantee/number".
    pub name: String,
    /// Its shape.
    pub shape: Shape,
    /// Agents of the workers it occupies; empty while it is at risk.
    pub members: Vec<AgentId>,
    /// The job that claims it.
    pub claim: Option<String>,
    /// Whether no set of workers can hold it.
    pub at_risk: bool,
}

/// What the placer knows, sorted by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Workers with a session.
    pub workers: Vec<WorkerStatus>,
    /// Jobs that wait, run or stop.
    pub jobs: Vec<JobStatus>,
    /// Guarantee instances.
    pub instances: Vec<InstanceStatus>,
    /// Share of the free accelerators that the largest waiting shape, or the largest guarantee when
    /// no job waits, cannot use; 0 when none is free.
    pub fragmentation: f64,
}

/// Returns how many of the free accelerators whole copies of `shape` can use at once. `free` lists
/// the failure domain, the rack and the free accelerators of each worker.
pub fn usable_accelerators(free: &[(usize, usize, u32)], shape: Shape) -> u64 {
    if shape.accelerators == 0 || shape.workers == 0 {
        return 0;
    }
    let mut copies: Vec<(usize, u32)> = free
        .iter()
        .map(|(domain, rack, free)| {
            let set = match shape.locality {
                _ if shape.workers == 1 => 0,
                Locality::Pool => 0,
                Locality::Domain => *domain,
                Locality::Rack => *rack,
                Locality::Worker => usize::MAX,
            };
            (set, free / shape.accelerators)
        })
        .filter(|(set, copies)| *copies > 0 && *set != usize::MAX)
        .collect();
    copies.sort_unstable();
    let most = |set: &[(usize, u32)]| {
        let fits = |count: u32| {
            let members: u64 = set.iter().map(|(_, copies)| u64::from(*copies.min(&count))).sum();
            members >= u64::from(count) * u64::from(shape.workers)
        };
        let sum: u32 = set.iter().map(|(_, copies)| copies).sum();
        let (mut low, mut high) = (0, sum / shape.workers);
        while low < high {
            let middle = (low + high).div_ceil(2);
            if fits(middle) { low = middle } else { high = middle - 1 }
        }
        u64::from(low)
    };
    let shapes: u64 = copies.chunk_by(|a, b| a.0 == b.0).map(most).sum();
    shapes * u64::from(shape.total())
}
