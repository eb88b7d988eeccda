//! Chooses workers, and victims where work may be evicted.

use std::time::{Duration, Instant};

use skylarkpulley_types::{Locality, Shape};

use super::Placer;
use crate::Preemption;
use crate::worker::Worker;

/// Candidates scored per number of free accelerators; bounds the cost of one small job.
const SCORED: usize = 16;
/// Racks scored for one gang.
const SCORED_RACKS: usize = 64;
/// Cost of restarting a task from its checkpoint.
const RESTART: f64 = 10.0;

/// What a job needs on each worker, and where.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    pub job: usize,
    pub shape: Shape,
    pub cores: u32,
    pub memory: u64,
    /// Must not be evicted, so it stays off reserved capacity.
    pub non_preemptible: bool,
    /// Expected end of the job.
    pub end: Instant,
    /// Respect the reserved start of the first waiting job.
    pub shadowed: bool,
    /// Skip workers on which the job failed.
    pub wary: bool,
    /// Instance that the job claims; its reserved workers are preferred among equals, since other
    /// ones have to be reserved first.
    pub instance: Option<usize>,
}

/// Workers and victims for a job that may evict.
#[derive(Clone, Debug, Default)]
pub(super) struct Choice {
    pub workers: Vec<usize>,
    pub victims: Vec<usize>,
    /// Lost work in accelerator seconds.
    pub lost: f64,
}

impl Placer {
    /// Returns workers with unused room for the job.
    pub(super) fn choose(&self, need: &Need) -> Option<Vec<usize>> {
        let index = if need.non_preemptible { &self.open } else { &self.free };
        let Shape { accelerators, workers, locality } = need.shape;
        if workers == 1 {
            return self.choose_one(need).map(|worker| vec![worker]);
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
                for (left, rack) in racks {
                    let set = self.racks[rack].workers.iter().copied();
                    let Some((score, set)) = self.best_of(need, set, count) else { continue };
                    let weight = self.pool.objective * 1000.0;
                    let score = score + (f64::from(left) * weight) as i64;
                    if best.as_ref().is_none_or(|(least, _)| score < *least) {
                        best = Some((score, set));
                    }
                    scored += 1;
                    if scored == SCORED_RACKS {
                        break;
                    }
                }
                best.map(|(_, set)| set)
            }
            Locality::Domain => {
                let sets = (0..self.domains.len()).filter_map(|domain| {
                    let all = index.at_least(accelerators).map(|(worker, _)| worker);
                    let set = all.filter(|worker| self.workers[*worker].domain == domain);
                    self.best_of(need, set, count)
                });
                sets.min_by_key(|(score, _)| *score).map(|(_, set)| set)
            }
            Locality::Pool => {
                let all = index.at_least(accelerators).map(|(worker, _)| worker);
                self.best_of(need, all, count).map(|(_, set)| set)
            }
        }
    }

    fn choose_one(&self, need: &Need) -> Option<usize> {
        let index = if need.non_preemptible { &self.open } else { &self.free };
        let mut best: Option<(i64, usize)> = None;
        let (mut level, mut seen) = (u32::MAX, 0);
        for (worker, offer) in index.at_least(need.shape.accelerators) {
            if offer != level {
                (level, seen) = (offer, 0);
            }
            if seen >= SCORED || !self.suits(need, worker) {
                continue;
            }
            seen += 1;
            let score = self.score(need, worker);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    fn best_of(
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

    /// Reports whether one member fits on the worker now.
    fn suits(&self, need: &Need, ix: usize) -> bool {
        let index = if need.non_preemptible { &self.open } else { &self.free };
        let worker = &self.workers[ix];
        if index.offer(ix).is_none_or(|offer| offer < need.shape.accelerators) {
            return false;
        }
        if need.wary && self.job(need.job).failed_on.contains(&worker.agent.name) {
            return false;
        }
        if !self.has_rest(need, worker) {
            return false;
        }
        if !need.shadowed {
            return true;
        }
        let Some(shadow) = &self.shadow else { return true };
        let Some(spare) = shadow.spare.get(&ix) else { return true };
        need.shape.accelerators <= *spare || need.end <= shadow.start
    }

    /// Reports whether cores and memory suffice beside the current work. A pool that describes
    /// none does not limit them.
    fn has_rest(&self, need: &Need, worker: &Worker) -> bool {
        let cores = self.pool.cores == 0 || worker.used_cores() + need.cores <= self.pool.cores;
        let memory =
            self.pool.memory_mib == 0 || worker.used_memory() + need.memory <= self.pool.memory_mib;
        cores && memory
    }

    /// Lower is better. Tight fits keep large shapes possible; capacity that no reservation covers
    /// spares preemptions; racks with many empty workers are kept for gangs.
    fn score(&self, need: &Need, ix: usize) -> i64 {
        let worker = &self.workers[ix];
        let weight = self.pool.objective;
        let size = f64::from(worker.accelerators.max(1));
        let offer = self.free.offer(ix).unwrap_or(0);
        let left = f64::from(offer.saturating_sub(need.shape.accelerators)) / size;
        let open = self.open.offer(ix).unwrap_or(0);
        let covered = f64::from(need.shape.accelerators.saturating_sub(open)) / size;
        let broken = if offer == worker.accelerators && need.shape.accelerators < offer {
            let rack = &self.racks[worker.rack];
            let empty = |other: &&usize| self.workers[**other].grants.is_empty();
            let empty = rack.workers.iter().take(SCORED).filter(empty).count();
            0.2 + 0.1 * empty as f64
        } else {
            0.0
        };
        let failures = worker.failures.len() as f64;
        let score = (0.3 + weight) * (left + broken) + (1.0 - weight) * covered + failures;
        (score * 1000.0) as i64
    }

    /// Lost work, in accelerator seconds, when the job is stopped now.
    fn loss(&self, ix: usize) -> f64 {
        let job = self.job(ix);
        let ran = self.now.saturating_duration_since(job.started);
        if self.remaining(ix).is_zero() {
            // Past its corrected time; first in line.
            return 0.001 * job.total() as f64;
        }
        let seconds = match job.spec.preemption {
            Preemption::Stop => ran.as_secs_f64() + RESTART,
            _ => RESTART,
        };
        seconds * job.total() as f64
    }

    /// Corrected run time that is left; zero when it is exceeded.
    pub(super) fn remaining(&self, ix: usize) -> Duration {
        let job = self.job(ix);
        let total = self.corrected(ix);
        let ran = match job.state {
            crate::job::State::Running => self.now.saturating_duration_since(job.started),
            _ => Duration::ZERO,
        };
        total.saturating_sub(job.progress).saturating_sub(ran)
    }

    pub(super) fn corrected(&self, ix: usize) -> Duration {
        let job = self.job(ix);
        self.estimates.correct(job.estimate, job.spec.run_time)
    }

    /// Returns workers for a job that may evict other work. `room` is what non-preemptible work and foreign
    /// reservations leave on a worker; `held` is needed there on `spread` workers, of which the
    /// job itself uses the first ones. Least lost work first, then least damage to adjacency.
    pub(super) fn choose_evicting(
        &self,
        need: &Need,
        whole: Shape,
        room: &dyn Fn(usize) -> u32,
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<Choice> {
        let mut costs: Vec<(usize, i64, Vec<usize>)> = Vec::new();
        for (ix, worker) in self.workers.iter().enumerate() {
            if !worker.is_usable() || room(ix) < whole.accelerators {
                continue;
            }
            if need.wary
                && (worker.is_avoided(self.now)
                    || self.job(need.job).failed_on.contains(&worker.agent.name))
            {
                continue;
            }
            let Some((loss, victims)) = self.victims(need, worker, allowed) else { continue };
            let at_home =
                need.instance.is_some_and(|one| self.instances[one].members.contains(&ix));
            let away = if at_home { 0 } else { 64 };
            let tight = i64::from(room(ix) - whole.accelerators).min(63) + away;
            let cost = (loss * 1000.0) as i64 * 128 + tight;
            costs.push((ix, cost, victims));
        }
        let set = |ix: usize| match whole.locality {
            _ if whole.workers == 1 => 0,
            Locality::Pool => 0,
            Locality::Domain => self.workers[ix].domain,
            _ => self.workers[ix].rack,
        };
        costs.sort_unstable_by_key(|(ix, cost, _)| (set(*ix), *cost, *ix));
        let mut best: Option<(i64, Choice)> = None;
        for set in costs.chunk_by(|a, b| set(a.0) == set(b.0)) {
            if set.len() < whole.workers as usize {
                continue;
            }
            let set = &set[..whole.workers as usize];
            let used = &set[..need.shape.workers as usize];
            let mut victims: Vec<usize> = used.iter().flat_map(|one| &one.2).copied().collect();
            victims.sort_unstable();
            victims.dedup();
            let lost: f64 = victims.iter().map(|victim| self.loss(*victim)).sum();
            let freed: u64 = victims.iter().map(|victim| self.job(*victim).total()).sum();
            let tight: i64 = used.iter().map(|one| one.1 % 128).sum();
            // Accelerators freed beyond the shape are fragments left elsewhere.
            let damage = freed.saturating_sub(u64::from(need.shape.total())) as i64;
            let cost = (lost * 1e9) as i64 + damage * 100_000 + tight;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                let workers = set.iter().map(|one| one.0).collect();
                best = Some((cost, Choice { workers, victims, lost }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// Returns the cheapest evictions that make room for one member on the worker.
    fn victims(
        &self,
        need: &Need,
        worker: &Worker,
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<(f64, Vec<usize>)> {
        let fits = |gone: &[usize]| {
            let stays =
                worker.grants.iter().filter(|grant| !grant.evicting && !gone.contains(&grant.job));
            let (mut accelerators, mut cores, mut memory) = (0, 0, 0);
            for grant in stays {
                accelerators += grant.accelerators;
                cores += grant.cores;
                memory += grant.memory;
            }
            accelerators + need.shape.accelerators <= worker.accelerators
                && (self.pool.cores == 0 || cores + need.cores <= self.pool.cores)
                && (self.pool.memory_mib == 0 || memory + need.memory <= self.pool.memory_mib)
        };
        let mut gone = Vec::new();
        if fits(&gone) {
            return Some((0.0, gone));
        }
        let mut able: Vec<(f64, usize)> = worker
            .grants
            .iter()
            .filter(|grant| !grant.non_preemptible && !grant.evicting && allowed(grant.job))
            .map(|grant| (self.loss(grant.job), grant.job))
            .collect();
        able.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, job) in &able {
            gone.push(*job);
            if fits(&gone) {
                break;
            }
        }
        if !fits(&gone) {
            return None;
        }
        // Drops victims that a later, larger one made unnecessary.
        let several = if gone.len() > 1 { &able[..] } else { &[] };
        for (_, job) in several.iter().rev() {
            let rest: Vec<usize> = gone.iter().copied().filter(|other| other != job).collect();
            if rest.len() < gone.len() && fits(&rest) {
                gone = rest;
            }
        }
        let lost = able.iter().filter(|(_, job)| gone.contains(job)).map(|(loss, _)| loss).sum();
        Some((lost, gone))
    }
}
