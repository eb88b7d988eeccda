use std::collections::BTreeMap;
use std::time::Instant;

use super::worker_model::WorkerModel;
use super::{LogNormal, Normal, RunTimes, StepKind, combined_work, entry_of};

/// Variance of the logarithms of the times of the members of a gang on workers of the same speed.
/// Measured on a running deployment, members differ by 2 to 5 %.
pub(super) const MEMBER_VARIANCE: f64 = 0.0025;

/// Number of standard deviations of its measurement by which the members of a gang must differ to
/// show that each advances by itself.
const DIFFERENCE_DEVIATIONS: f64 = 4.0;

/// Speed of a member of a gang, from its own progress.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberSpeed {
    /// Logarithm of the time in milliseconds of a whole run at this speed, with the variance of its
    /// measurement.
    pub log_ms: Normal,
    /// Id of the worker.
    pub worker: String,
}

impl RunTimes {
    /// Learns the slowness of workers from the members of a gang, each relative to the others.
    /// `run` identifies the run of the gang; a later observation of the same run replaces an earlier
    /// one. Returns `false` if the members may advance together.
    ///
    /// Members that advance together are on equally fast workers, or are paced by the slowest one.
    /// They count as individual only once members on the route have shown different progress.
    pub fn observe_members(
        &mut self,
        now: Instant,
        kind: &StepKind,
        run: &str,
        members: &[MemberSpeed],
    ) -> bool {
        let route = entry_of(&mut self.routes, kind.route.to_owned(), now);
        route.members_differ |= is_different(members);
        if !route.members_differ {
            return false;
        }
        let mut workers: BTreeMap<&str, Vec<&Normal>> = BTreeMap::new();
        for member in members {
            workers.entry(&member.worker).or_default().push(&member.log_ms);
        }
        let expected = self.expect(kind);
        // Members on the same worker are one observation of it.
        let speeds: Vec<(&str, Normal, Normal)> = workers
            .iter()
            .map(|(worker, times)| {
                let count = times.len() as f64;
                let mean = times.iter().map(|time| time.mean).sum::<f64>() / count;
                let variance = times.iter().map(|time| time.variance).sum::<f64>() / count;
                let time = Normal { mean, variance: (variance + MEMBER_VARIANCE) / count };
                (*worker, time, self.slowness_without(worker, run, now))
            })
            .collect();
        for (index, (worker, time, _)) in speeds.iter().enumerate() {
            let others = speeds.iter().enumerate().filter(|(other, _)| *other != index);
            let works = others.map(|(_, (_, time, slowness))| Normal {
                mean: time.mean - slowness.mean,
                variance: time.variance + slowness.variance,
            });
            let Some(work) = combined_work(works, expected.as_ref()) else { continue };
            let observation =
                Normal { mean: time.mean - work.mean, variance: time.variance + work.variance };
            let unknown = || WorkerModel::new(now);
            let model = self.workers.entry((*worker).to_owned()).or_insert_with(unknown);
            model.observe_provisional(run, &observation, now);
        }
        true
    }

    /// Records that a run has ended, so that its last observation is final.
    pub fn settle_run(&mut self, now: Instant, run: &str, worker: &str) {
        if let Some(model) = self.workers.get_mut(worker) {
            model.settle(run, now);
        }
    }

    /// Returns the slowness of a worker without what was observed in one run that still goes on.
    pub fn slowness_without(&self, worker: &str, run: &str, now: Instant) -> Normal {
        let model = self.workers.get(worker);
        model.map_or_else(Normal::unknown_slowness, |model| model.slowness_without(Some(run), now))
    }
}

/// Returns the logarithm of the work of a gang's step on a usual worker, from the times of its
/// members, each with the slowness of its worker, and from the expectation: their weighted median.
///
/// One slow member among usual ones must not make the work appear larger, as it does in a mean.
pub fn usual_work(members: &[(Normal, Normal)], expected: Option<&LogNormal>) -> Option<f64> {
    let weight = |variance: f64| 1.0 / (variance + MEMBER_VARIANCE);
    let of_members = members.iter().map(|(time, slowness)| {
        (time.mean - slowness.mean, weight(time.variance + slowness.variance))
    });
    let of_expectation = expected.map(|time| (time.log.mean, weight(time.log.variance)));
    let mut works: Vec<(f64, f64)> = of_members.chain(of_expectation).collect();
    works.sort_by(|a, b| a.0.total_cmp(&b.0));
    let half = works.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    works.iter().find_map(|(work, weight)| {
        sum += weight;
        (sum >= half).then_some(*work)
    })
}

/// Reports whether the members differ by more than the measurement of their progress explains.
fn is_different(members: &[MemberSpeed]) -> bool {
    let by_mean = |a: &&MemberSpeed, b: &&MemberSpeed| a.log_ms.mean.total_cmp(&b.log_ms.mean);
    let (Some(first), Some(last)) =
        (members.iter().min_by(by_mean), members.iter().max_by(by_mean))
    else {
        return false;
    };
    let deviation = (first.log_ms.variance + last.log_ms.variance).sqrt();
    last.log_ms.mean - first.log_ms.mean > DIFFERENCE_DEVIATIONS * deviation
}
