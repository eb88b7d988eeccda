use std::time::Duration;

use skylarkpulley_types::{AgentId, Locality, Shape};

/// A worker in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// Agent of the worker.
    pub agent: AgentId,
    /// Failure domain.
    pub domain: String,
    /// Rack within the domain.
    pub rack: String,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Accelerators granted, including those of gangs that are being evicted.
    pub used: u32,
    /// Accelerators granted to gangs that must not be evicted.
    pub non_preemptible: u32,
    /// Accelerators reserved for guarantees.
    pub reserved: u32,
    /// Whether the agent has reported since it joined.
    pub reported: bool,
    /// Whether new work can start on the worker.
    pub usable: bool,
    /// Whether the worker is quarantined.
    pub quarantined: bool,
    /// Whether an operator drains the worker.
    pub draining: bool,
}

/// A job in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobStatus {
    /// Id of the job.
    pub id: String,
    /// Team of the job.
    pub team: String,
    /// Priority class.
    pub class: u8,
    /// Shape of the job.
    pub shape: Shape,
    /// "waiting", "holding", "committing", "running" or "stopping".
    pub state: &'static str,
    /// Epoch of the latest placement.
    pub epoch: u64,
    /// Agent and accelerators of each member.
    pub members: Vec<(AgentId, u32)>,
    /// Guarantee instance that the job claims.
    pub instance: Option<String>,
    /// Whether the job must not be evicted.
    pub non_preemptible: bool,
    /// Number of preemptions within the last hour.
    pub preemptions: usize,
    /// Workers in a row that were lost soon after the job had started on them.
    pub lost_starts: u32,
    /// Time since the job was queued, placed or started, whichever came last.
    pub elapsed: Duration,
    /// What the job waits for.
    pub wait_reason: String,
}

/// A guarantee instance in a status snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceStatus {
    /// Name in the form "guarantee/number".
    pub name: String,
    /// Shape of the guarantee.
    pub shape: Shape,
    /// Agents of the workers on which the instance is reserved or claimed; empty while it is at
    /// risk.
    pub members: Vec<AgentId>,
    /// Id of the job that claims the instance.
    pub claimant: Option<String>,
    /// Whether no set of workers has the capacity for the instance.
    pub at_risk: bool,
}

/// Status snapshot of the pool. Every list is sorted by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    /// Workers whose agent has a session.
    pub workers: Vec<WorkerStatus>,
    /// Jobs that are waiting, being placed, running or stopping.
    pub jobs: Vec<JobStatus>,
    /// Guarantee instances.
    pub instances: Vec<InstanceStatus>,
    /// Share of the free accelerators that the largest waiting shape cannot use, or the largest
    /// guarantee when no job is waiting; 0 when no accelerator is free.
    pub fragmentation: f64,
}

/// Returns the number of free accelerators that complete copies of `shape` can use at the same
/// time. `free` lists the failure domain, the rack and the free accelerators of each worker.
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
    let max_copies = |set: &[(usize, u32)]| {
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
    let shapes: u64 = copies.chunk_by(|a, b| a.0 == b.0).map(max_copies).sum();
    shapes * u64::from(shape.total())
}
