use std::collections::BTreeMap;

use crate::JobTables;

/// Priority of waiting work; lower values are served first.
///
/// Load pattern: work of several classes waits at the same time as claims of teams with guarantees.
/// Guaranteed claims come first, then the classes in the order that teams paid for, and within a
/// class the work that must start soonest to meet its objective. Work that has missed its objective
/// is not put last: when it was, it often was not served at all, which costs more than its
/// lateness. Only while several teams compete for a pool that is too small, work that can gain
/// nothing any more comes last within its class, and before it the work of teams over their share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// 0 for work within its team's guarantee, 1 for other work.
    pub tier: u8,
    /// Priority class.
    pub class: u8,
    /// Whether it can no longer end within three times its objective.
    pub expired: bool,
    /// Whether its team uses more than its share of a contended pool.
    pub over_share: bool,
    /// Latest start that meets the objective, milliseconds since 1970.
    pub start_ms: u64,
}

/// An open job of class 0 that may count against the guarantee of its team.
#[derive(Clone, Debug)]
pub struct Claimant<'a> {
    /// Time of acceptance, milliseconds since 1970.
    pub accepted_ms: u64,
    /// Accelerators that the job needs at once.
    pub accelerators: i64,
    /// Id of the job.
    pub job: &'a str,
    /// The team.
    pub team: &'a str,
}

/// Returns the jobs that fit into their team's guarantee, which is given to the oldest jobs first.
pub fn guaranteed_jobs<'a>(tables: &JobTables, mut claimants: Vec<Claimant<'a>>) -> Vec<&'a str> {
    claimants.sort_by(|a, b| (a.accepted_ms, a.job).cmp(&(b.accepted_ms, b.job)));
    let mut used: BTreeMap<&str, i64> = BTreeMap::new();
    let mut jobs = Vec::new();
    for claimant in claimants {
        let sum = used.entry(claimant.team).or_default();
        if *sum + claimant.accelerators > tables.guarantee(claimant.team) {
            continue;
        }
        *sum += claimant.accelerators;
        jobs.push(claimant.job);
    }
    jobs
}
