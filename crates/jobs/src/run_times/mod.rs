//! Expected run times and the speeds of workers, learned from runs.
//!
//! The logarithm of a run time is the sum of the logarithm of the work of its step on a usual
//! worker, of the slowness of the worker, and of noise. Both unknowns are normal distributions.
//! `docs/design/run-times.md` weighs the alternatives.

mod estimates;
mod gang_speeds;
mod normal;
mod route;
mod worker_model;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::WorkerPace;
pub use estimates::Estimates;
pub use gang_speeds::{MemberSpeed, usual_work};
pub use normal::{LogNormal, Normal, Quantile};
use route::{RouteModel, TeamModel};
use worker_model::WorkerModel;

/// Variance of the logarithms of the run times of one step on workers of the same speed. Tasks of
/// one step differ by 15 to 30 %.
const NOISE_VARIANCE: f64 = 0.0625;

/// Maximum number of routes, and of teams on routes; those that were not used for the longest time
/// are dropped.
const MAX_ENTRIES: usize = 10_000;

/// Time after its last run for which a worker that is gone is remembered.
const WORKER_RETENTION: Duration = Duration::from_secs(600);

/// Factor by which a run time may exceed or fall below its estimate.
const MAX_CORRECTION: f64 = 8.0;

/// A step as callers describe it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepKind<'a> {
    /// Estimated run time in milliseconds; 0 if the caller gave none.
    pub estimate_ms: u64,
    /// Route of its job.
    pub route: &'a str,
    /// Team of its job.
    pub team: &'a str,
}

impl StepKind<'_> {
    fn log_estimate(&self) -> Option<f64> {
        (self.estimate_ms > 0).then(|| (self.estimate_ms as f64).ln())
    }

    fn team_key(&self) -> (String, String, bool) {
        (self.route.to_owned(), self.team.to_owned(), self.estimate_ms > 0)
    }
}

/// The time of a run, as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTime {
    /// Logarithm of the run time in milliseconds.
    pub log_ms: f64,
    /// What was known about the worker before this run. Its own observation must not count twice.
    pub slowness: Normal,
    /// Id of the worker.
    pub worker: String,
}

/// Model of run times and of the speeds of workers.
///
/// Load pattern: callers' estimates are wrong by a factor of two and more, and workers that look
/// alike differ in speed, so that urgent work misses its objective on the slow ones.
#[derive(Clone, Debug)]
pub struct RunTimes {
    /// Corrections by route from the times of complete runs alone, which decide if the model is not
    /// used.
    estimates: Estimates,
    is_used: bool,
    routes: BTreeMap<String, RouteModel>,
    teams: BTreeMap<(String, String, bool), TeamModel>,
    workers: BTreeMap<String, WorkerModel>,
}

impl RunTimes {
    /// Returns a model without runs. `is_used` states whether decisions use it.
    pub fn new(is_used: bool) -> Self {
        Self {
            estimates: Estimates::new(),
            is_used,
            routes: BTreeMap::new(),
            teams: BTreeMap::new(),
            workers: BTreeMap::new(),
        }
    }

    /// Reports whether decisions use the model.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Returns the expected run time of a step on a worker of usual speed; `None` if there is
    /// neither an estimate nor a run on its route.
    pub fn expect(&self, kind: &StepKind) -> Option<LogNormal> {
        let x = kind.log_estimate();
        let route = self.routes.get(kind.route);
        let mut log = match (route.and_then(|route| route.predict(x)), x) {
            (Some(log), _) => log,
            (None, Some(x)) => Normal { mean: x, variance: route::PRIOR_VARIANCE },
            (None, None) => return None,
        };
        if let Some(team) = self.teams.get(&kind.team_key()) {
            log.mean += team.difference.mean;
            log.variance += team.difference.variance;
        }
        if let Some(x) = x {
            let limit = MAX_CORRECTION.ln();
            log.mean = log.mean.clamp(x - limit, x + limit);
        }
        Some(LogNormal { log })
    }

    /// Returns the median of the expected run time in milliseconds.
    pub fn median_ms(&self, kind: &StepKind) -> u64 {
        if !self.is_used {
            return self.estimates.correct(kind.route, kind.estimate_ms);
        }
        // Run times are far below 2^53 ms.
        self.expect(kind).map_or(0, |time| time.quantile(Quantile::Median).round() as u64)
    }

    /// Returns the logarithm of the slowness of a worker; 0 is usual.
    pub fn slowness(&self, worker: &str, now: Instant) -> Normal {
        let model = self.workers.get(worker);
        model.map_or_else(Normal::unknown_slowness, |model| model.slowness_at(now))
    }

    /// Records a complete run for the corrections without the model.
    pub fn observe_complete(&mut self, route: &str, estimate_ms: u64, run_time: Duration) {
        self.estimates.observe(route, estimate_ms, run_time);
    }

    /// Learns the slowness of the worker of `run` from the run times of the same step on other
    /// workers, and from the expected work if `expected` is given.
    ///
    /// The runs that end first are short ones. Therefore the work is not taken from the ends so far:
    /// `others` contains the runs that still go on as well, with the times that follow from their
    /// progress.
    pub fn observe_speed(
        &mut self,
        now: Instant,
        run: &RunTime,
        others: &[RunTime],
        expected: Option<&LogNormal>,
    ) {
        let others = others.iter().filter(|other| other.worker != run.worker);
        let works = others.map(|other| Normal {
            mean: other.log_ms - other.slowness.mean,
            variance: other.slowness.variance + NOISE_VARIANCE,
        });
        let Some(work) = combined_work(works, expected) else { return };
        let unknown = WorkerModel::new(now);
        let model = self.workers.entry(run.worker.clone()).or_insert(unknown);
        model.observe(run.log_ms, &work, now);
    }

    /// Learns the work of the steps of a route from a run time that is already divided by the
    /// slowness of its worker. `weight` is less than 1 for further runs of one step.
    pub fn observe_work(&mut self, now: Instant, kind: &StepKind, log_ms: f64, weight: f64) {
        let x = kind.log_estimate();
        let route = entry_of(&mut self.routes, kind.route.to_owned(), now);
        let Some(expected) = route.predict(x) else {
            route.observe(x, log_ms, weight, now);
            return;
        };
        let team = entry_of(&mut self.teams, kind.team_key(), now);
        team.observe(log_ms - expected.mean, expected.variance, weight, now);
        // The part that is due to the team must not change the expectation for other teams.
        route.observe(x, log_ms - team.difference.mean, weight, now);
    }

    /// Records that `id` is a new incarnation of the worker `earlier`, with the same labels or others.
    pub fn replace_worker(&mut self, earlier: &str, id: &str, same_labels: bool) {
        let Some(mut model) = self.workers.remove(earlier).filter(|_| same_labels) else { return };
        if earlier != id {
            // The ends of the runs that still go on are reported under the earlier id.
            model.settle_all();
        }
        model.widen();
        self.workers.insert(id.to_owned(), model);
    }

    /// Returns what is known about the speed of a worker, for its agent to keep.
    pub fn pace(&self, worker: &str, incarnation: u64, now: Instant) -> Option<WorkerPace> {
        let slowness = self.workers.get(worker)?.slowness_at(now);
        // Both are far below 2^31 thousandths.
        let mean = (slowness.mean * 1000.0).round() as i32;
        let variance = (slowness.variance * 1000.0).ceil() as u32;
        Some(WorkerPace { incarnation, mean, variance })
    }

    /// Takes in what an earlier leader has learned about a worker, unless this one knows it.
    pub fn adopt_pace(&mut self, worker: &str, pace: &WorkerPace, incarnation: u64, now: Instant) {
        if self.workers.contains_key(worker) {
            return;
        }
        let limit = MAX_CORRECTION.ln();
        let mean = (f64::from(pace.mean) / 1000.0).clamp(-limit, limit);
        let prior = Normal::unknown_slowness().variance;
        let variance = (f64::from(pace.variance) / 1000.0).clamp(0.001, prior);
        let mut model = WorkerModel::with_slowness(Normal { mean, variance }, now);
        if pace.incarnation != incarnation {
            model.widen();
        }
        self.workers.insert(worker.to_owned(), model);
    }

    /// Drops the workers that are gone for long; `is_present` reports whether one is not.
    pub fn remove_gone(&mut self, now: Instant, is_present: impl Fn(&str) -> bool) {
        self.workers
            .retain(|id, model| is_present(id) || !model.is_older_than(WORKER_RETENTION, now));
    }
}

/// Combines what other runs of a step and the expectation tell about its work.
fn combined_work(
    works: impl Iterator<Item = Normal>,
    expected: Option<&LogNormal>,
) -> Option<Normal> {
    let work = works.reduce(|work, other| work.combined(&other));
    let Some(expected) = expected else { return work };
    let mut prior = expected.log;
    let Some(work) = work else { return Some(prior) };
    // A wrong estimate must not weigh against runs that contradict it.
    let difference = prior.mean - work.mean;
    prior.variance = prior.variance.max(difference * difference);
    Some(work.combined(&prior))
}

/// An entry of a bounded map.
trait Aged {
    fn new(now: Instant) -> Self;
    fn used_at(&self) -> Instant;
}

impl Aged for RouteModel {
    fn new(now: Instant) -> Self {
        Self::new(now)
    }

    fn used_at(&self) -> Instant {
        self.used_at
    }
}

impl Aged for TeamModel {
    fn new(now: Instant) -> Self {
        Self::new(now)
    }

    fn used_at(&self) -> Instant {
        self.used_at
    }
}

/// Returns an entry, for which the oldest one makes room if necessary.
fn entry_of<K: Clone + Ord, V: Aged>(map: &mut BTreeMap<K, V>, key: K, now: Instant) -> &mut V {
    if map.len() >= MAX_ENTRIES && !map.contains_key(&key) {
        let oldest = map.iter().min_by_key(|(_, entry)| entry.used_at());
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            map.remove(&oldest);
        }
    }
    map.entry(key).or_insert_with(|| V::new(now))
}
