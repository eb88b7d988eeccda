//! Order of the waiting jobs, backfill and defragmentation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use skylarkpulley_types::{Locality, Shape};

use super::choice::Need;
use super::{GRACE, Placer, Shadow, Timer};
use crate::job::After;
use crate::worker::Worker;
use crate::{Action, Preemption};

pub(super) const HOUR: Duration = Duration::from_secs(3600);
/// Preemptions per job and hour.
const PREEMPTIONS: usize = 3;
/// Waiting this long raises a job by one class.
const AGEING: Duration = Duration::from_secs(900);
/// Searches for workers in one decision.
const SEARCHES: usize = 64;
/// Waiting jobs looked at in one decision; backfill ends there.
const LOOKED_AT: usize = 4096;
/// The reserved start is computed again after this time.
const SHADOW_AGE: Duration = Duration::from_secs(5);
/// Waiting time from which moving other work is considered.
const STARVED: Duration = Duration::from_secs(30);

/// Jobs of one demand find room or fail together.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Demand {
    shape: Shape,
    cores: u32,
    memory: u64,
    non_preemptible: bool,
    /// Logarithm of the remaining run time, which decides about backfill.
    length: u32,
    shadowed: bool,
}

/// Position of a job among the heads of the queues; lower goes first.
type Rank = (u8, bool, u64, i64, usize);

enum Outcome {
    Placed,
    /// Nothing was searched because the same demand failed before.
    Skipped,
    NoRoom(String),
}

impl Placer {
    /// Queues a job for the first time or again.
    pub(super) fn enqueue(&mut self, ix: usize) {
        let key = self.key(ix);
        let job = self.job_mut(ix);
        job.key = key;
        if job.spec.claim.is_some() {
            let key = i64::from(job.spec.class) << 48 | key.max(0);
            job.key = key;
            self.claims.insert((key, ix));
        } else {
            let queue = (job.spec.class, job.team);
            self.queues.entry(queue).or_default().insert((key, ix));
        }
        self.fresh.push(ix);
    }

    pub(super) fn dequeue(&mut self, ix: usize) {
        let Some(job) = &self.jobs[ix] else { return };
        let key = (job.key, ix);
        if job.spec.claim.is_some() {
            self.claims.remove(&key);
            return;
        }
        let queue = (job.spec.class, job.team);
        if let Some(jobs) = self.queues.get_mut(&queue) {
            jobs.remove(&key);
            if jobs.is_empty() {
                self.queues.remove(&queue);
            }
        }
    }

    /// Position within the team's queue: the time of submission, moved back by a multiple of the
    /// corrected run time, so that short work goes first but long work is overtaken for a bounded
    /// time only. Towards the objective of low fragmentation, wide jobs move forward.
    fn key(&self, ix: usize) -> i64 {
        let job = self.job(ix);
        let submitted = if job.submitted >= self.origin {
            (job.submitted - self.origin).as_millis() as i64
        } else {
            -((self.origin - job.submitted).as_millis() as i64)
        };
        if job.spec.urgent {
            return i64::MIN / 2 + submitted;
        }
        let weight = self.pool.objective;
        let length = self.remaining(ix).as_millis() as f64;
        let wide = f64::from(job.spec.shape.total());
        submitted + ((1.0 - weight) * 4.0 * length - weight * wide * 60_000.0) as i64
    }

    /// Queues a job whose try ended; it is looked at again after `backoff`.
    pub(super) fn requeue(&mut self, ix: usize, backoff: Duration, reason: &str) {
        let now = self.now;
        let job = self.job_mut(ix);
        job.queued = now;
        job.not_before = now + backoff;
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        job.wait_reason = reason.to_owned();
        self.set_timer(backoff, Timer::Retry(ix, epoch));
        self.out.push(Action::Wait { job: id, reason: reason.to_owned() });
    }

    pub(super) fn requeue_due(&mut self, ix: usize) {
        let due = self.job(ix).is_waiting() && self.now >= self.job(ix).not_before;
        if due && self.review(ix) {
            self.enqueue(ix);
        }
    }

    fn rank(&self, ix: usize) -> Rank {
        let job = self.job(ix);
        let waited = self.now.saturating_duration_since(job.submitted);
        let steps = (waited.as_secs() / AGEING.as_secs()).min(9) as u8;
        let class = job.spec.class.saturating_sub(steps);
        (class, !job.spec.urgent, self.share(job.team), job.key, ix)
    }

    /// The team's dominant share, divided by its weight, in parts per million.
    fn share(&self, team: usize) -> u64 {
        let used = &self.uses[team];
        let workers = self.described;
        let part = |used: u64, whole: u64| (used * 1_000_000).checked_div(whole).unwrap_or(0);
        let accelerators = part(used.accelerators, workers * u64::from(self.pool.accelerators));
        let cores = part(used.cores, workers * u64::from(self.pool.cores));
        let memory = part(used.memory, workers * self.pool.memory_mib);
        accelerators.max(cores).max(memory) / u64::from(used.weight.max(1))
    }

    pub(super) fn place_waiting(&mut self) {
        if self.changed {
            return self.pass();
        }
        let mut fresh = std::mem::take(&mut self.fresh);
        fresh.retain(|ix| self.jobs[*ix].as_ref().is_some_and(|job| job.is_waiting()));
        if fresh.is_empty() {
            return;
        }
        fresh.sort_by_cached_key(|ix| (self.job(*ix).spec.claim.is_none(), self.rank(*ix)));
        fresh.dedup();
        let rest = fresh.split_off(fresh.len().min(SEARCHES));
        for ix in fresh {
            self.attempt_queued(ix);
        }
        // Placing a job may have queued its victims.
        self.fresh.extend(rest);
    }

    /// Looks at all waiting jobs in order.
    fn pass(&mut self) {
        self.changed = false;
        self.fresh.clear();
        self.pass_claims();
        let mut heads = BinaryHeap::new();
        for (queue, jobs) in &self.queues {
            if let Some((_, ix)) = jobs.first() {
                heads.push(Reverse((self.rank(*ix), *queue)));
            }
        }
        let (mut searches, mut looked_at) = (0, 0);
        while let Some(Reverse((rank, queue))) = heads.pop() {
            let ix = rank.4;
            let current = self.rank(ix);
            if current > rank {
                // The team's share has grown since.
                heads.push(Reverse((current, queue)));
                continue;
            }
            if searches == SEARCHES {
                self.changed = true;
                return;
            }
            let next = self.queues.get(&queue).and_then(|jobs| {
                let after = (Bound::Excluded((self.job(ix).key, ix)), Bound::Unbounded);
                jobs.range(after).next().map(|(_, next)| *next)
            });
            looked_at += 1;
            if !matches!(self.attempt_queued(ix), Outcome::Skipped) {
                searches += 1;
            }
            if looked_at == LOOKED_AT {
                return;
            }
            if let Some(next) = next {
                heads.push(Reverse((self.rank(next), queue)));
            }
        }
    }

    /// Looks at the claims; those for which an instance is left are not kept waiting by others.
    fn pass_claims(&mut self) {
        let open: HashSet<&str> = self
            .instances
            .iter()
            .filter(|instance| instance.claim.is_none())
            .map(|instance| instance.guarantee.as_str())
            .collect();
        let has_instance = |ix: &usize| {
            let claim = self.job(*ix).spec.claim.as_deref();
            claim.is_some_and(|claim| open.contains(claim))
        };
        let claims = self.claims.iter().map(|(_, ix)| *ix);
        let (mut ready, mut rest): (Vec<usize>, Vec<usize>) = claims.partition(has_instance);
        self.changed = ready.len() > SEARCHES;
        ready.truncate(SEARCHES);
        rest.truncate(SEARCHES);
        for ix in ready.into_iter().chain(rest) {
            self.attempt_queued(ix);
        }
    }

    fn attempt_queued(&mut self, ix: usize) -> Outcome {
        if self.job(ix).not_before > self.now {
            return Outcome::Skipped;
        }
        let outcome = self.attempt(ix);
        if let Outcome::NoRoom(reason) = &outcome {
            self.set_wait(ix, reason);
        }
        outcome
    }

    fn set_wait(&mut self, ix: usize, reason: &str) {
        let job = self.job_mut(ix);
        if job.wait_reason != reason {
            job.wait_reason = reason.to_owned();
            let id = job.spec.id.clone();
            self.out.push(Action::Wait { job: id, reason: reason.to_owned() });
        }
    }

    fn attempt(&mut self, ix: usize) -> Outcome {
        let spec = &self.job(ix).spec;
        let (shape, preemption) = (spec.shape, spec.preemption);
        if let Some(guarantee) = spec.claim.clone() {
            if let Some(instance) = self.open_instance(&guarantee) {
                return match self.start_claim(ix, instance) {
                    Ok(()) => Outcome::Placed,
                    Err(reason) => Outcome::NoRoom(reason),
                };
            }
            if preemption == Preemption::Never {
                let reason = format!("all instances of {guarantee} are claimed");
                return Outcome::NoRoom(reason);
            }
        }
        // A job at its limit of preemptions must not be preempted again, whatever happens.
        let limited = self.preemptions(ix) >= PREEMPTIONS;
        let non_preemptible = preemption == Preemption::Never || limited;
        let mut need = self.need(ix, non_preemptible);
        if limited && !self.is_proportional(&need) {
            return Outcome::NoRoom("preempted 3 times within an hour".to_owned());
        }
        if !non_preemptible && self.place_probe(&need) {
            return Outcome::Placed;
        }
        need.shadowed = self
            .shadow
            .as_ref()
            .is_some_and(|shadow| shadow.job != ix && self.rank(shadow.job) <= self.rank(ix));
        let length = need.end.saturating_duration_since(self.now).as_secs().max(1).ilog2();
        let (cores, memory, shadowed) = (need.cores, need.memory, need.shadowed);
        let demand = Demand { shape, cores, memory, non_preemptible, length, shadowed };
        let is_head = self.shadow.as_ref().is_none_or(|shadow| shadow.job == ix);
        let hopeless = self.failed.contains(&demand) && !is_head;
        if !hopeless
            && let Some(workers) = self.choose(&need).or_else(|| self.choose_again(&mut need))
        {
            let reason = self.explain_choice(&need);
            self.use_spare(&workers, shape.accelerators);
            self.place(ix, &workers, None, non_preemptible, &[], reason);
            return Outcome::Placed;
        }
        if preemption == Preemption::Never
            && let Some(instance) = self.own_instance(&self.job(ix).spec.team, shape)
            && self.start_claim(ix, instance).is_ok()
        {
            return Outcome::Placed;
        }
        if hopeless {
            return Outcome::Skipped;
        }
        if self.job(ix).failed_on.is_empty() {
            self.failed.insert(demand);
        }
        self.reserve_start(ix, &need);
        let reason = match &self.shadow {
            // Does not name the earlier job: the reason would change for all waiting jobs with it.
            Some(shadow) if shadow.job != ix && need.shadowed => {
                format!("no room for {shape} beside the reserved start of an earlier job")
            }
            _ => format!("no set of workers has room for {shape}"),
        };
        Outcome::NoRoom(reason)
    }

    /// Tries again on workers where the job failed before.
    fn choose_again(&self, need: &mut Need) -> Option<Vec<usize>> {
        if self.job(need.job).failed_on.is_empty() {
            return None;
        }
        need.wary = false;
        self.choose(need)
    }

    fn explain_choice(&self, need: &Need) -> String {
        let fit = if self.pool.objective >= 0.5 { "tight fit" } else { "least reserved" };
        let kind = match (need.non_preemptible, need.shadowed) {
            (true, _) => "on capacity that no reservation covers",
            (false, true) => "as backfill before a reserved start",
            (false, false) => "on unused capacity",
        };
        format!("{} {kind}, {fit} first", need.shape)
    }

    pub(super) fn preemptions(&self, ix: usize) -> usize {
        let recent = |at: &&std::time::Instant| self.now.saturating_duration_since(**at) < HOUR;
        self.job(ix).preempted.iter().filter(recent).count()
    }

    /// Non-preemptible work may use no larger part of a worker's cores and memory than of its accelerators, so
    /// that reserved accelerators always come with the cores and memory they need.
    pub(super) fn is_proportional(&self, need: &Need) -> bool {
        let part = |whole: u64| {
            let accelerators = u64::from(self.pool.accelerators.max(1));
            (whole * u64::from(need.shape.accelerators)).div_ceil(accelerators)
        };
        let cores = self.pool.cores == 0 || u64::from(need.cores) <= part(self.pool.cores.into());
        let memory = self.pool.memory_mib == 0 || need.memory <= part(self.pool.memory_mib);
        cores && memory
    }

    fn use_spare(&mut self, workers: &[usize], accelerators: u32) {
        let Some(shadow) = &mut self.shadow else { return };
        for worker in workers {
            if let Some(spare) = shadow.spare.get_mut(worker) {
                *spare = spare.saturating_sub(accelerators);
            }
        }
    }

    /// Gives the first job that finds no room a reserved start.
    fn reserve_start(&mut self, ix: usize, need: &Need) {
        let keep = |shadow: &Shadow| {
            if shadow.job != ix {
                return self.rank(shadow.job) <= self.rank(ix);
            }
            let age = self.now.saturating_duration_since(shadow.made);
            let fresh = age < SHADOW_AGE && shadow.version == self.estimates.version;
            self.now < shadow.start && (fresh || shadow.moving)
        };
        if self.shadow.as_ref().is_some_and(keep) {
            return;
        }
        let first = self.shadow.as_ref().is_none_or(|shadow| shadow.job != ix);
        self.shadow = self.earliest_start(need);
        if first && self.shadow.is_some() {
            self.failed.retain(|demand| !demand.shadowed);
            self.set_timer(STARVED, Timer::Look);
        }
        self.defragment(ix, need);
    }

    /// Finds the set of workers on which the job can start first when running work ends as
    /// expected.
    fn earliest_start(&self, need: &Need) -> Option<Shadow> {
        let Shape { accelerators, workers, locality } = need.shape;
        let mut starts: Vec<(usize, Instant, usize)> = Vec::new();
        for (ix, worker) in self.workers.iter().enumerate() {
            if !worker.is_usable() {
                continue;
            }
            let ends = self.expected_ends(worker);
            let fits =
                |at: &Instant| free_at(worker, &ends, *at, need.non_preemptible) >= accelerators;
            let start = std::iter::once(self.now).chain(ends.iter().map(|end| end.0)).find(fits);
            let Some(start) = start else { continue };
            let set = match locality {
                _ if workers == 1 => 0,
                Locality::Pool => 0,
                Locality::Domain => worker.domain,
                _ => worker.rack,
            };
            starts.push((set, start, ix));
        }
        starts.sort_unstable();
        let sets = starts.chunk_by(|a, b| a.0 == b.0);
        let wide = sets.filter(|set| set.len() >= workers as usize);
        let best = wide.min_by_key(|set| set[workers as usize - 1].1)?;
        let best = &best[..workers as usize];
        let start = best[workers as usize - 1].1;
        let spare = best
            .iter()
            .map(|(_, _, ix)| {
                let worker = &self.workers[*ix];
                let free =
                    free_at(worker, &self.expected_ends(worker), start, need.non_preemptible);
                (*ix, free - accelerators)
            })
            .collect();
        let made = self.now;
        let version = self.estimates.version;
        Some(Shadow { job: need.job, start, made, version, spare, moving: false })
    }

    fn expected_end(&self, ix: usize) -> Instant {
        let left = self.remaining(ix);
        if !left.is_zero() {
            return self.now + left;
        }
        // A job past its corrected time is expected to take half as long again.
        let ran = self.now.saturating_duration_since(self.job(ix).started);
        self.now + (ran / 2).max(Duration::from_secs(1))
    }

    /// Returns the expected end of each grant, whether it is non-preemptible, and its size, in order.
    fn expected_ends(&self, worker: &Worker) -> Vec<(Instant, bool, u32)> {
        let grants = worker.grants.iter();
        let mut ends: Vec<(Instant, bool, u32)> = grants
            .map(|grant| (self.expected_end(grant.job), grant.non_preemptible, grant.accelerators))
            .collect();
        ends.sort_unstable();
        ends
    }

    /// Moves checkpointable work out of the way of a job that starves although enough accelerators
    /// are free in total, when the job gains more than the moved work loses.
    fn defragment(&mut self, ix: usize, need: &Need) {
        let Some(shadow) = self.shadow.as_ref().filter(|shadow| shadow.job == ix) else { return };
        let start = shadow.start;
        let waited = self.now.saturating_duration_since(self.job(ix).queued);
        let gain = start.saturating_duration_since(self.now + GRACE).as_secs_f64()
            * f64::from(need.shape.total())
            * (0.5 + self.pool.objective);
        let unused = if need.non_preemptible { self.open.total() } else { self.free.total() };
        if waited < STARVED || gain <= 0.0 || unused < u64::from(need.shape.total()) {
            return;
        }
        // The last preemption of the hour is left for claims. More urgent classes are moved as well:
        // enough accelerators are unused elsewhere, so that moved work waits for seconds only.
        let allowed = |job: usize| {
            let known = self.job(job);
            known.spec.preemption == Preemption::Checkpoint
                && known.is_running()
                && !known.spec.urgent
                && self.preemptions(job) + 1 < PREEMPTIONS
        };
        let room = |worker: usize| {
            let worker = &self.workers[worker];
            if need.non_preemptible {
                worker.uncovered()
            } else {
                worker.accelerators - worker.non_preemptible()
            }
        };
        let Some(choice) = self.choose_evicting(need, need.shape, &room, &allowed) else { return };
        if choice.victims.is_empty() || choice.lost >= gain {
            return;
        }
        let taken = need.shape.accelerators;
        let spare: BTreeMap<usize, u32> =
            choice.workers.iter().map(|worker| (*worker, room(*worker) - taken)).collect();
        let id = &self.job(ix).spec.id;
        let reason = format!(
            "moved so that {id} gains {gain:.0} accelerator seconds; the move loses {:.0}",
            choice.lost
        );
        for victim in choice.victims {
            self.preempt(victim, &reason, After::Requeue);
        }
        let made = self.now;
        let start = made + GRACE * 2;
        let version = self.estimates.version;
        self.shadow = Some(Shadow { job: ix, start, made, version, spare, moving: true });
    }
}

/// Returns what is expected to be unused on the worker at some time; for non-preemptible work, only what no
/// reservation covers.
fn free_at(
    worker: &Worker,
    ends: &[(Instant, bool, u32)],
    at: Instant,
    non_preemptible: bool,
) -> u32 {
    let stays = || ends.iter().filter(|(end, _, _)| *end > at);
    let used: u32 = stays().map(|(_, _, size)| size).sum();
    let free = worker.accelerators.saturating_sub(used);
    if !non_preemptible {
        return free;
    }
    let held: u32 =
        stays().filter(|(_, non_preemptible, _)| *non_preemptible).map(|(_, _, size)| size).sum();
    free.min(worker.accelerators.saturating_sub(held + worker.reserved()))
}
