//! Chooses the workers for a job, and the victims if it may evict other work.

use std::time::{Duration, Instant};

use skylarkpulley_types::{Locality, Shape};

use super::Placer;
use crate::Preemption;
use crate::worker::Worker;

/// Workers scored per number of free accelerators. Bounds the cost of placing one small job.
const MAX_SCORED_WORKERS: usize = 16;
/// Racks scored for one gang. Bounds the cost of placing it.
const MAX_SCORED_RACKS: usize = 64;
/// Run time that is lost when a task restarts from its checkpoint.
const RESTART_COST_SECONDS: f64 = 10.0;

/// Requirements of a job on each worker and on the set of workers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    pub job: usize,
    pub shape: Shape,
    pub cores: u32,
    /// In MiB.
    pub memory: u64,
    /// The job must not be evicted, so it must not use reserved capacity.
    pub non_preemptible: bool,
    /// Expected end of the job.
    pub end: Instant,
    /// The job must not delay the reserved start of an earlier job.
    pub backfill_only: bool,
    /// Workers on which the job failed are skipped.
    pub skip_failed: bool,
    /// Instance that the job claims. At equal cost its reserved workers are preferred, since other
    /// workers would have to be reserved first.
    pub instance: Option<usize>,
}

/// Workers for a job and the jobs that it evicts there.
#[derive(Clone, Debug, Default)]
pub(super) struct Choice {
    pub workers: Vec<usize>,
    pub victims: Vec<usize>,
    /// Work that the evictions lose, in accelerator seconds.
    pub lost_work: f64,
}

impl Placer {
    /// Returns workers with enough unused capacity for the job.
    pub(super) fn choose(&self, need: &Need) -> Option<Vec<usize>> {
        let index = if need.non_preemptible { &self.free_unreserved } else { &self.free };
        let Shape { accelerators, workers, locality } = need.shape;
        if workers == 1 {
            return self.choose_single(need).map(|worker| vec![worker]);
        }
        let count = workers as usize;
        match locality {
            Locality::Worker => None,
            Locality::Rack => {
                let mut best: Option<(i64, Vec<usize>)> = None;
                let mut racks: Vec<(u32, usize)> = index
                    .racks(accelerators, workers)
                    .map(|(rack, count)| (count - workers, rack))
                    .collect();
                racks.sort_unstable();
                let mut scored = 0;
                for (surplus, rack) in racks {
                    let set = self.racks[rack].workers.iter().copied();
                    let Some((score, set)) = self.choose_best(need, set, count) else { continue };
                    let weight = self.pool.objective * 1000.0;
                    let score = score + (f64::from(surplus) * weight) as i64;
                    if best.as_ref().is_none_or(|(best_score, _)| score < *best_score) {
                        best = Some((score, set));
                    }
                    scored += 1;
                    if scored == MAX_SCORED_RACKS {
                        break;
                    }
                }
                best.map(|(_, set)| set)
            }
            Locality::Domain => {
                let sets = (0..self.domains.len()).filter_map(|domain| {
                    let all = index.at_least(accelerators).map(|(worker, _)| worker);
                    let set = all.filter(|worker| self.workers[*worker].domain == domain);
                    self.choose_best(need, set, count)
                });
                sets.min_by_key(|(score, _)| *score).map(|(_, set)| set)
            }
            Locality::Pool => {
                let all = index.at_least(accelerators).map(|(worker, _)| worker);
                self.choose_best(need, all, count).map(|(_, set)| set)
            }
        }
    }

    fn choose_single(&self, need: &Need) -> Option<usize> {
        let index = if need.non_preemptible { &self.free_unreserved } else { &self.free };
        let mut best: Option<(i64, usize)> = None;
        let (mut current_offer, mut scored) = (u32::MAX, 0);
        for (worker, offer) in index.at_least(need.shape.accelerators) {
            if offer != current_offer {
                (current_offer, scored) = (offer, 0);
            }
            if scored >= MAX_SCORED_WORKERS || !self.suits(need, worker) {
                continue;
            }
            scored += 1;
            let score = self.score(need, worker);
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    fn choose_best(
        &self,
        need: &Need,
        set: impl Iterator<Item = usize>,
        count: usize,
    ) -> Option<(i64, Vec<usize>)> {
        let mut scored: Vec<(i64, usize)> = set
            .filter(|worker| self.suits(need, *worker))
            .map(|worker| (self.score(need, worker), worker))
            .collect();
        if scored.len() < count {
            return None;
        }
        if scored.len() > count {
            scored.select_nth_unstable(count - 1);
            scored.truncate(count);
        }
        scored.sort_unstable();
        let score = scored.iter().map(|(score, _)| score).sum();
        Some((score, scored.into_iter().map(|(_, worker)| worker).collect()))
    }

    /// Reports whether one member of the gang fits on the worker now.
    fn suits(&self, need: &Need, ix: usize) -> bool {
        let index = if need.non_preemptible { &self.free_unreserved } else { &self.free };
        let worker = &self.workers[ix];
        if index.offer(ix).is_none_or(|offer| offer < need.shape.accelerators) {
            return false;
        }
        if need.skip_failed && self.job(need.job).failed_on.contains(&worker.agent.name) {
            return false;
        }
        if !self.has_cores_and_memory(need, worker) {
            return false;
        }
        if !need.backfill_only {
            return true;
        }
        let Some(reserved_start) = &self.reserved_start else { return true };
        let Some(spare) = reserved_start.spare.get(&ix) else { return true };
        need.shape.accelerators <= *spare || need.end <= reserved_start.start
    }

    /// Reports whether the worker has enough cores and memory in addition to its current work. A
    /// pool that describes none of them does not limit them.
    fn has_cores_and_memory(&self, need: &Need, worker: &Worker) -> bool {
        let cores = self.pool.cores == 0 || worker.used_cores() + need.cores <= self.pool.cores;
        let memory =
            self.pool.memory_mib == 0 || worker.used_memory() + need.memory <= self.pool.memory_mib;
        cores && memory
    }

    /// Scores a worker for one member; lower is better. Workers with little capacity left over are
    /// preferred, because this keeps capacity for large shapes. Capacity that no reservation covers
    /// is preferred, because this avoids preemptions. Splitting an empty worker costs more in racks
    /// with many empty workers, because these are kept for gangs.
    fn score(&self, need: &Need, ix: usize) -> i64 {
        let worker = &self.workers[ix];
        let weight = self.pool.objective;
        let size = f64::from(worker.accelerators.max(1));
        let offer = self.free.offer(ix).unwrap_or(0);
        let leftover = f64::from(offer.saturating_sub(need.shape.accelerators)) / size;
        let unreserved = self.free_unreserved.offer(ix).unwrap_or(0);
        let reserved = f64::from(need.shape.accelerators.saturating_sub(unreserved)) / size;
        let split_penalty = if offer == worker.accelerators && need.shape.accelerators < offer {
            let rack = &self.racks[worker.rack];
            let empty = |other: &&usize| self.workers[**other].grants.is_empty();
            let empty = rack.workers.iter().take(MAX_SCORED_WORKERS).filter(empty).count();
            0.2 + 0.1 * empty as f64
        } else {
            0.0
        };
        let failures = worker.failures.len() as f64;
        let score =
            (0.3 + weight) * (leftover + split_penalty) + (1.0 - weight) * reserved + failures;
        (score * 1000.0) as i64
    }

    /// Returns the work that is lost when the job is stopped now, in accelerator seconds.
    fn lost_work(&self, ix: usize) -> f64 {
        let job = self.job(ix);
        let elapsed = self.now.saturating_duration_since(job.started_at);
        if self.remaining_run_time(ix).is_zero() {
            // A job past its corrected run time is evicted first.
            return 0.001 * job.total_accelerators() as f64;
        }
        let seconds = match job.spec.preemption {
            Preemption::Stop => elapsed.as_secs_f64() + RESTART_COST_SECONDS,
            _ => RESTART_COST_SECONDS,
        };
        seconds * job.total_accelerators() as f64
    }

    /// Returns the remaining part of the corrected run time; zero when it is exceeded.
    pub(super) fn remaining_run_time(&self, ix: usize) -> Duration {
        let job = self.job(ix);
        let total = self.corrected_run_time(ix);
        let elapsed = match job.state {
            crate::job::State::Running => self.now.saturating_duration_since(job.started_at),
            _ => Duration::ZERO,
        };
        total.saturating_sub(job.progress).saturating_sub(elapsed)
    }

    /// Returns the declared run time, corrected by earlier observations.
    pub(super) fn corrected_run_time(&self, ix: usize) -> Duration {
        let job = self.job(ix);
        self.estimates.correct(job.estimate, job.spec.run_time)
    }

    /// Returns workers for a job that may evict other work. `capacity` returns the accelerators
    /// that non-preemptible work and the reservations of other instances leave on a worker.
    /// `set_shape` describes the set of workers to choose, of which the job itself uses the first
    /// ones. The choice with the least lost work is preferred, then the one that leaves the fewest
    /// fragments.
    pub(super) fn choose_evicting(
        &self,
        need: &Need,
        set_shape: Shape,
        capacity: &dyn Fn(usize) -> u32,
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<Choice> {
        let mut costs: Vec<(usize, i64, Vec<usize>)> = Vec::new();
        for (ix, worker) in self.workers.iter().enumerate() {
            if !worker.is_usable() || capacity(ix) < set_shape.accelerators {
                continue;
            }
            if need.skip_failed
                && (worker.is_avoided(self.now)
                    || self.job(need.job).failed_on.contains(&worker.agent.name))
            {
                continue;
            }
            let Some((lost_work, victims)) = self.victims(need, worker, allowed) else { continue };
            let in_instance = need
                .instance
                .is_some_and(|instance| self.instances[instance].members.contains(&ix));
            let outside_penalty = if in_instance { 0 } else { 64 };
            let slack = i64::from(capacity(ix) - set_shape.accelerators).min(63) + outside_penalty;
            let cost = (lost_work * 1000.0) as i64 * 128 + slack;
            costs.push((ix, cost, victims));
        }
        let set = |ix: usize| match set_shape.locality {
            _ if set_shape.workers == 1 => 0,
            Locality::Pool => 0,
            Locality::Domain => self.workers[ix].domain,
            _ => self.workers[ix].rack,
        };
        costs.sort_unstable_by_key(|(ix, cost, _)| (set(*ix), *cost, *ix));
        let mut best: Option<(i64, Choice)> = None;
        for set in costs.chunk_by(|a, b| set(a.0) == set(b.0)) {
            if set.len() < set_shape.workers as usize {
                continue;
            }
            let set = &set[..set_shape.workers as usize];
            let used = &set[..need.shape.workers as usize];
            let mut victims: Vec<usize> =
                used.iter().flat_map(|candidate| &candidate.2).copied().collect();
            victims.sort_unstable();
            victims.dedup();
            let lost_work: f64 = victims.iter().map(|victim| self.lost_work(*victim)).sum();
            let freed: u64 =
                victims.iter().map(|victim| self.job(*victim).total_accelerators()).sum();
            let slack: i64 = used.iter().map(|candidate| candidate.1 % 128).sum();
            // Accelerators that are freed in addition to the shape remain as fragments on other
            // workers.
            let fragments = freed.saturating_sub(u64::from(need.shape.total())) as i64;
            let cost = (lost_work * 1e9) as i64 + fragments * 100_000 + slack;
            if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
                let workers = set.iter().map(|candidate| candidate.0).collect();
                best = Some((cost, Choice { workers, victims, lost_work }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the evictions that free enough capacity for one member on the worker, and the work
    /// that they lose. Jobs that lose the least work are evicted first.
    fn victims(
        &self,
        need: &Need,
        worker: &Worker,
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<(f64, Vec<usize>)> {
        let fits = |evicted: &[usize]| {
            let remaining_grants = worker
                .grants
                .iter()
                .filter(|grant| !grant.evicting && !evicted.contains(&grant.job));
            let (mut accelerators, mut cores, mut memory) = (0, 0, 0);
            for grant in remaining_grants {
                accelerators += grant.accelerators;
                cores += grant.cores;
                memory += grant.memory;
            }
            accelerators + need.shape.accelerators <= worker.accelerators
                && (self.pool.cores == 0 || cores + need.cores <= self.pool.cores)
                && (self.pool.memory_mib == 0 || memory + need.memory <= self.pool.memory_mib)
        };
        let mut evicted = Vec::new();
        if fits(&evicted) {
            return Some((0.0, evicted));
        }
        let mut evictable: Vec<(f64, usize)> = worker
            .grants
            .iter()
            .filter(|grant| !grant.non_preemptible && !grant.evicting && allowed(grant.job))
            .map(|grant| (self.lost_work(grant.job), grant.job))
            .collect();
        evictable.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, job) in &evictable {
            evicted.push(*job);
            if fits(&evicted) {
                break;
            }
        }
        if !fits(&evicted) {
            return None;
        }
        // Drops victims that became unnecessary when a larger one was added.
        let removable = if evicted.len() > 1 { &evictable[..] } else { &[] };
        for (_, job) in removable.iter().rev() {
            let rest: Vec<usize> = evicted.iter().copied().filter(|other| other != job).collect();
            if rest.len() < evicted.len() && fits(&rest) {
                evicted = rest;
            }
        }
        let lost_work = evictable
            .iter()
            .filter(|(_, job)| evicted.contains(job))
            .map(|(lost_work, _)| lost_work)
            .sum();
        Some((lost_work, evicted))
    }
}
