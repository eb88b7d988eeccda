//! Order of the waiting jobs, backfill and defragmentation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use skylarkpulley_types::{Locality, Shape};

use super::choice::Need;
use super::{CHECKPOINT_GRACE, Placer, ReservedStart, Timer};
use crate::job::AfterStop;
use crate::worker::Worker;
use crate::{Action, Preemption};

/// Period over which preemptions of a job are counted.
pub(super) const PREEMPTION_WINDOW: Duration = Duration::from_secs(3600);
/// Preemptions of one job within `PREEMPTION_WINDOW`.
const MAX_PREEMPTIONS: usize = 3;
/// The class of a waiting job is raised by one after each of these intervals.
const AGEING_INTERVAL: Duration = Duration::from_secs(900);
/// Searches for workers in one decision; bounds its cost.
const MAX_SEARCHES: usize = 64;
/// Waiting jobs considered in one decision. Jobs beyond this number are not backfilled.
const MAX_EXAMINED_JOBS: usize = 4096;
/// A reserved start that is older than this is computed again.
const MAX_RESERVED_START_AGE: Duration = Duration::from_secs(5);
/// Other work may be moved for a job that has waited this long.
const STARVATION_THRESHOLD: Duration = Duration::from_secs(30);

/// What decides whether a job can be placed. If one job cannot be placed, no other job with the
/// same demand can.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Demand {
    shape: Shape,
    cores: u32,
    memory: u64,
    non_preemptible: bool,
    /// Binary logarithm of the remaining run time in seconds; decides whether the job can be
    /// backfilled.
    duration_log2: u32,
    backfill_only: bool,
}

/// Rank of a job among the heads of the queues: class after ageing, not urgent, dominant share of
/// the team, queue key, index of the job. The lowest rank goes first.
type Rank = (u8, bool, u64, i64, usize);

enum Outcome {
    Placed,
    /// No search took place, because the job is in its backoff or the same demand failed before.
    Skipped,
    NoCapacity(String),
}

impl Placer {
    /// Adds a job to its queue, for the first time or again.
    pub(super) fn enqueue(&mut self, ix: usize) {
        let key = self.queue_key(ix);
        let job = self.job_mut(ix);
        job.queue_key = key;
        if job.spec.claim.is_some() {
            let key = i64::from(job.spec.class) << 48 | key.max(0);
            job.queue_key = key;
            self.claims.insert((key, ix));
        } else {
            let queue = (job.spec.class, job.team);
            self.queues.entry(queue).or_default().insert((key, ix));
        }
        self.newly_queued.push(ix);
    }

    pub(super) fn dequeue(&mut self, ix: usize) {
        let Some(job) = &self.jobs[ix] else { return };
        let key = (job.queue_key, ix);
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

    /// Returns the sort key of a job in its team's queue: the time of submission plus a multiple of
    /// the remaining run time. Short jobs therefore go first, but can overtake a long job only for
    /// a bounded time. The more the pool's objective favours low fragmentation, the further jobs
    /// with many accelerators move forward.
    fn queue_key(&self, ix: usize) -> i64 {
        let job = self.job(ix);
        let submitted = if job.submitted_at >= self.created_at {
            (job.submitted_at - self.created_at).as_millis() as i64
        } else {
            -((self.created_at - job.submitted_at).as_millis() as i64)
        };
        if job.spec.urgent {
            return i64::MIN / 2 + submitted;
        }
        let weight = self.pool.objective;
        let remaining_ms = self.remaining_run_time(ix).as_millis() as f64;
        let width = f64::from(job.spec.shape.total());
        submitted + ((1.0 - weight) * 4.0 * remaining_ms - weight * width * 60_000.0) as i64
    }

    /// Queues a job whose placement or run ended; it is considered again after `backoff`.
    pub(super) fn requeue(&mut self, ix: usize, backoff: Duration, reason: &str) {
        let now = self.now;
        let job = self.job_mut(ix);
        job.queued_at = now;
        job.not_before = now + backoff;
        let (id, epoch) = (job.spec.id.clone(), job.epoch);
        job.wait_reason = reason.to_owned();
        self.set_timer(backoff, Timer::Requeue(ix, epoch));
        self.actions.push(Action::Wait { job: id, reason: reason.to_owned() });
    }

    pub(super) fn requeue_due(&mut self, ix: usize) {
        let due = self.job(ix).is_waiting() && self.now >= self.job(ix).not_before;
        if due && self.recheck(ix) {
            self.enqueue(ix);
        }
    }

    /// Returns the current rank of a waiting job.
    fn rank(&self, ix: usize) -> Rank {
        let job = self.job(ix);
        let waited = self.now.saturating_duration_since(job.submitted_at);
        let steps = (waited.as_secs() / AGEING_INTERVAL.as_secs()).min(9) as u8;
        let class = job.spec.class.saturating_sub(steps);
        (class, !job.spec.urgent, self.dominant_share(job.team), job.queue_key, ix)
    }

    /// Returns the dominant share of the team divided by its weight, in parts per million.
    fn dominant_share(&self, team: usize) -> u64 {
        let usage = &self.team_usage[team];
        let workers = self.described_workers;
        let part = |used: u64, total: u64| (used * 1_000_000).checked_div(total).unwrap_or(0);
        let accelerators = part(usage.accelerators, workers * u64::from(self.pool.accelerators));
        let cores = part(usage.cores, workers * u64::from(self.pool.cores));
        let memory = part(usage.memory, workers * self.pool.memory_mib);
        accelerators.max(cores).max(memory) / u64::from(usage.weight.max(1))
    }

    pub(super) fn place_waiting(&mut self) {
        if self.pass_due {
            return self.full_pass();
        }
        let mut newly_queued = std::mem::take(&mut self.newly_queued);
        newly_queued.retain(|ix| self.jobs[*ix].as_ref().is_some_and(|job| job.is_waiting()));
        if newly_queued.is_empty() {
            return;
        }
        newly_queued.sort_by_cached_key(|ix| (self.job(*ix).spec.claim.is_none(), self.rank(*ix)));
        newly_queued.dedup();
        let rest = newly_queued.split_off(newly_queued.len().min(MAX_SEARCHES));
        for ix in newly_queued {
            self.try_place_queued(ix);
        }
        // Placing a job may have queued its victims.
        self.newly_queued.extend(rest);
    }

    /// Tries to place all waiting jobs in the order of their ranks.
    fn full_pass(&mut self) {
        self.pass_due = false;
        self.newly_queued.clear();
        self.place_claims();
        let mut heads = BinaryHeap::new();
        for (queue, jobs) in &self.queues {
            if let Some((_, ix)) = jobs.first() {
                heads.push(Reverse((self.rank(*ix), *queue)));
            }
        }
        let (mut searches, mut examined) = (0, 0);
        while let Some(Reverse((rank, queue))) = heads.pop() {
            let ix = rank.4;
            let current = self.rank(ix);
            if current > rank {
                // The share of the team has grown since the job was ranked.
                heads.push(Reverse((current, queue)));
                continue;
            }
            if searches == MAX_SEARCHES {
                self.pass_due = true;
                return;
            }
            let next = self.queues.get(&queue).and_then(|jobs| {
                let after = (Bound::Excluded((self.job(ix).queue_key, ix)), Bound::Unbounded);
                jobs.range(after).next().map(|(_, next)| *next)
            });
            examined += 1;
            if !matches!(self.try_place_queued(ix), Outcome::Skipped) {
                searches += 1;
            }
            if examined == MAX_EXAMINED_JOBS {
                return;
            }
            if let Some(next) = next {
                heads.push(Reverse((self.rank(next), queue)));
            }
        }
    }

    /// Tries to place the claims. Those that still have an unclaimed instance go first, so that
    /// they do not wait behind claims without one.
    fn place_claims(&mut self) {
        let unclaimed_guarantees: HashSet<&str> = self
            .instances
            .iter()
            .filter(|instance| instance.claimant.is_none())
            .map(|instance| instance.guarantee.as_str())
            .collect();
        let has_instance = |ix: &usize| {
            let claim = self.job(*ix).spec.claim.as_deref();
            claim.is_some_and(|claim| unclaimed_guarantees.contains(claim))
        };
        let claims = self.claims.iter().map(|(_, ix)| *ix);
        let (mut ready, mut rest): (Vec<usize>, Vec<usize>) = claims.partition(has_instance);
        self.pass_due = ready.len() > MAX_SEARCHES;
        ready.truncate(MAX_SEARCHES);
        rest.truncate(MAX_SEARCHES);
        for ix in ready.into_iter().chain(rest) {
            self.try_place_queued(ix);
        }
    }

    fn try_place_queued(&mut self, ix: usize) -> Outcome {
        if self.job(ix).not_before > self.now {
            return Outcome::Skipped;
        }
        let outcome = self.try_place(ix);
        if let Outcome::NoCapacity(reason) = &outcome {
            self.set_wait_reason(ix, reason);
        }
        outcome
    }

    fn set_wait_reason(&mut self, ix: usize, reason: &str) {
        let job = self.job_mut(ix);
        if job.wait_reason != reason {
            job.wait_reason = reason.to_owned();
            let id = job.spec.id.clone();
            self.actions.push(Action::Wait { job: id, reason: reason.to_owned() });
        }
    }

    fn try_place(&mut self, ix: usize) -> Outcome {
        let spec = &self.job(ix).spec;
        let (shape, preemption) = (spec.shape, spec.preemption);
        if let Some(guarantee) = spec.claim.clone() {
            if let Some(instance) = self.unclaimed_instance(&guarantee) {
                return match self.start_claim(ix, instance) {
                    Ok(()) => Outcome::Placed,
                    Err(reason) => Outcome::NoCapacity(reason),
                };
            }
            if preemption == Preemption::Never {
                let reason = format!("all instances of {guarantee} are claimed");
                return Outcome::NoCapacity(reason);
            }
        }
        // A job that has reached its limit of preemptions must not be preempted again, so it is
        // placed as non-preemptible work.
        let limited = self.preemptions(ix) >= MAX_PREEMPTIONS;
        let non_preemptible = preemption == Preemption::Never || limited;
        let mut need = self.need(ix, non_preemptible);
        if limited && !self.is_proportional(&need) {
            return Outcome::NoCapacity(
                "preempted 3 times within an hour; must wait until it may be preempted again"
                    .to_owned(),
            );
        }
        if !non_preemptible && self.place_probe(&need) {
            return Outcome::Placed;
        }
        need.backfill_only = self.reserved_start.as_ref().is_some_and(|reserved_start| {
            reserved_start.job != ix && self.rank(reserved_start.job) <= self.rank(ix)
        });
        let duration_log2 = need.end.saturating_duration_since(self.now).as_secs().max(1).ilog2();
        let (cores, memory, backfill_only) = (need.cores, need.memory, need.backfill_only);
        let demand = Demand { shape, cores, memory, non_preemptible, duration_log2, backfill_only };
        let is_head =
            self.reserved_start.as_ref().is_none_or(|reserved_start| reserved_start.job == ix);
        let already_failed = self.failed_demands.contains(&demand) && !is_head;
        if !already_failed
            && let Some(workers) =
                self.choose(&need).or_else(|| self.choose_with_failed_workers(&mut need))
        {
            let reason = self.explain_choice(&need);
            self.consume_spare(&workers, shape.accelerators);
            self.place(ix, &workers, None, non_preemptible, &[], reason);
            return Outcome::Placed;
        }
        if preemption == Preemption::Never
            && let Some(instance) = self.team_instance(&self.job(ix).spec.team, shape)
            && self.start_claim(ix, instance).is_ok()
        {
            return Outcome::Placed;
        }
        if already_failed {
            return Outcome::Skipped;
        }
        if self.job(ix).failed_on.is_empty() {
            self.failed_demands.insert(demand);
        }
        self.reserve_start(ix, &need);
        let reason = match &self.reserved_start {
            // The reason does not name the earlier job. Otherwise the reasons of all waiting jobs
            // would change whenever another job gets the reserved start.
            Some(reserved_start) if reserved_start.job != ix && need.backfill_only => {
                format!(
                    "no capacity for {shape} without delaying the reserved start of an earlier job"
                )
            }
            _ => format!("no set of workers has free capacity for {shape}"),
        };
        Outcome::NoCapacity(reason)
    }

    /// Searches again and includes workers on which the job failed before.
    fn choose_with_failed_workers(&self, need: &mut Need) -> Option<Vec<usize>> {
        if self.job(need.job).failed_on.is_empty() {
            return None;
        }
        need.skip_failed = false;
        self.choose(need)
    }

    fn explain_choice(&self, need: &Need) -> String {
        let fit = if self.pool.objective >= 0.5 { "tight fit" } else { "least reserved" };
        let kind = match (need.non_preemptible, need.backfill_only) {
            (true, _) => "on capacity that no reservation covers",
            (false, true) => "as backfill before a reserved start",
            (false, false) => "on unused capacity",
        };
        format!("{} {kind}, {fit} first", need.shape)
    }

    pub(super) fn preemptions(&self, ix: usize) -> usize {
        let recent =
            |at: &&std::time::Instant| self.now.saturating_duration_since(**at) < PREEMPTION_WINDOW;
        self.job(ix).preempted_at.iter().filter(recent).count()
    }

    /// Reports whether a job uses no larger share of a worker's cores and memory than of its
    /// accelerators. This is required of non-preemptible work, so that reserved accelerators always
    /// have the cores and memory that they need.
    pub(super) fn is_proportional(&self, need: &Need) -> bool {
        let part = |total: u64| {
            let accelerators = u64::from(self.pool.accelerators.max(1));
            (total * u64::from(need.shape.accelerators)).div_ceil(accelerators)
        };
        let cores = self.pool.cores == 0 || u64::from(need.cores) <= part(self.pool.cores.into());
        let memory = self.pool.memory_mib == 0 || need.memory <= part(self.pool.memory_mib);
        cores && memory
    }

    fn consume_spare(&mut self, workers: &[usize], accelerators: u32) {
        let Some(reserved_start) = &mut self.reserved_start else { return };
        for worker in workers {
            if let Some(spare) = reserved_start.spare.get_mut(worker) {
                *spare = spare.saturating_sub(accelerators);
            }
        }
    }

    /// Computes a reserved start for the first waiting job that cannot be placed.
    fn reserve_start(&mut self, ix: usize, need: &Need) {
        let is_current = |reserved_start: &ReservedStart| {
            if reserved_start.job != ix {
                return self.rank(reserved_start.job) <= self.rank(ix);
            }
            let age = self.now.saturating_duration_since(reserved_start.computed_at);
            let recent = age < MAX_RESERVED_START_AGE
                && reserved_start.estimates_version == self.estimates.version;
            self.now < reserved_start.start && (recent || reserved_start.preempts_others)
        };
        if self.reserved_start.as_ref().is_some_and(is_current) {
            return;
        }
        let is_new =
            self.reserved_start.as_ref().is_none_or(|reserved_start| reserved_start.job != ix);
        self.reserved_start = self.earliest_start(need);
        if is_new && self.reserved_start.is_some() {
            self.failed_demands.retain(|demand| !demand.backfill_only);
            self.set_timer(STARVATION_THRESHOLD, Timer::FullPass);
        }
        self.defragment(ix, need);
    }

    /// Returns the earliest start of the job and its set of workers, if running work ends as
    /// expected.
    fn earliest_start(&self, need: &Need) -> Option<ReservedStart> {
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
        let large_enough = sets.filter(|set| set.len() >= workers as usize);
        let best = large_enough.min_by_key(|set| set[workers as usize - 1].1)?;
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
        let computed_at = self.now;
        let estimates_version = self.estimates.version;
        Some(ReservedStart {
            job: need.job,
            start,
            computed_at,
            estimates_version,
            spare,
            preempts_others: false,
        })
    }

    fn expected_end(&self, ix: usize) -> Instant {
        let remaining = self.remaining_run_time(ix);
        if !remaining.is_zero() {
            return self.now + remaining;
        }
        // A job past its corrected run time is expected to run for another half of the time that it
        // has already run.
        let elapsed = self.now.saturating_duration_since(self.job(ix).started_at);
        self.now + (elapsed / 2).max(Duration::from_secs(1))
    }

    /// Returns the expected end of each grant, whether it is non-preemptible, and its accelerators,
    /// sorted by the end.
    fn expected_ends(&self, worker: &Worker) -> Vec<(Instant, bool, u32)> {
        let grants = worker.grants.iter();
        let mut ends: Vec<(Instant, bool, u32)> = grants
            .map(|grant| (self.expected_end(grant.job), grant.non_preemptible, grant.accelerators))
            .collect();
        ends.sort_unstable();
        ends
    }

    /// Preempts checkpointable work for a job that has waited long although enough accelerators are
    /// free in total, if the job gains more accelerator seconds than the moved work loses.
    fn defragment(&mut self, ix: usize, need: &Need) {
        let Some(reserved_start) =
            self.reserved_start.as_ref().filter(|reserved_start| reserved_start.job == ix)
        else {
            return;
        };
        let start = reserved_start.start;
        let waited = self.now.saturating_duration_since(self.job(ix).queued_at);
        let gain = start.saturating_duration_since(self.now + CHECKPOINT_GRACE).as_secs_f64()
            * f64::from(need.shape.total())
            * (0.5 + self.pool.objective);
        let unused =
            if need.non_preemptible { self.free_unreserved.total() } else { self.free.total() };
        if waited < STARVATION_THRESHOLD || gain <= 0.0 || unused < u64::from(need.shape.total()) {
            return;
        }
        // The last preemption of the hour is left for claims. Jobs of more urgent classes are moved
        // as well, because enough accelerators are unused on other workers, so that moved work
        // waits only for seconds.
        let allowed = |job: usize| {
            let candidate = self.job(job);
            candidate.spec.preemption == Preemption::Checkpoint
                && candidate.is_running()
                && !candidate.spec.urgent
                && self.preemptions(job) + 1 < MAX_PREEMPTIONS
        };
        let capacity = |worker: usize| {
            let worker = &self.workers[worker];
            if need.non_preemptible {
                worker.lendable()
            } else {
                worker.accelerators - worker.non_preemptible()
            }
        };
        let Some(choice) = self.choose_evicting(need, need.shape, &capacity, &allowed) else {
            return;
        };
        if choice.victims.is_empty() || choice.lost_work >= gain {
            return;
        }
        let needed = need.shape.accelerators;
        let spare: BTreeMap<usize, u32> =
            choice.workers.iter().map(|worker| (*worker, capacity(*worker) - needed)).collect();
        let id = &self.job(ix).spec.id;
        let reason = format!(
            "moved so that {id} gains {gain:.0} accelerator seconds; the move loses {:.0}",
            choice.lost_work
        );
        for victim in choice.victims {
            self.preempt(victim, &reason, AfterStop::Requeue);
        }
        let computed_at = self.now;
        let start = computed_at + CHECKPOINT_GRACE * 2;
        let estimates_version = self.estimates.version;
        self.reserved_start = Some(ReservedStart {
            job: ix,
            start,
            computed_at,
            estimates_version,
            spare,
            preempts_others: true,
        });
    }
}

/// Returns the accelerators that are expected to be unused on the worker at the given time. For
/// non-preemptible work, only those that no reservation covers count.
fn free_at(
    worker: &Worker,
    ends: &[(Instant, bool, u32)],
    at: Instant,
    non_preemptible: bool,
) -> u32 {
    let remaining_grants = || ends.iter().filter(|(end, _, _)| *end > at);
    let used: u32 = remaining_grants().map(|(_, _, size)| size).sum();
    let free = worker.accelerators.saturating_sub(used);
    if !non_preemptible {
        return free;
    }
    let non_preemptible_used: u32 = remaining_grants()
        .filter(|(_, non_preemptible, _)| *non_preemptible)
        .map(|(_, _, size)| size)
        .sum();
    free.min(worker.accelerators.saturating_sub(non_preemptible_used + worker.reserved()))
}
