use std::collections::{BTreeMap, BTreeSet};

use crate::{SharingRun, TaskId};

/// Initial speed in percent of filling tasks that share a worker with serving ones, while their
/// effect on the serving tasks is not known yet.
const INITIAL_PERCENT: u8 = 30;

/// Ratio of response time to objective at which filling tasks slow down to half their speed.
const SLOW_DOWN_RATIO: f64 = 0.9;

/// Ratio of response time to objective below which filling tasks speed up.
const SPEED_UP_RATIO: f64 = 0.7;

/// Increase of the speed, in percentage points, with each reading below [`SPEED_UP_RATIO`]. Load
/// and interference change within seconds, so full speed is reached again only after several
/// readings.
const PERCENT_INCREASE: u8 = 10;

/// Controls the speed of the filling tasks of one worker by the response times of the serving tasks
/// on the same worker. Filling tasks use the cores that others leave unused.
///
/// Load pattern: the response time of a serving task rises from well below its objective to above
/// it within seconds, because its own load rises or because of a filling task. A missed objective
/// stops all filling tasks at once; afterwards their speed rises slowly.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    /// Percent that was ordered last for each filling run.
    ordered: BTreeMap<(TaskId, u32), u8>,
    /// Speed of filling tasks while serving tasks share the worker.
    percent: u8,
    /// Runs whose last change of speed was not answered.
    unanswered: BTreeSet<(TaskId, u32)>,
}

impl Pacer {
    /// Returns a pacer of a worker without filling tasks.
    pub fn new() -> Self {
        Self { percent: INITIAL_PERCENT, ..Self::default() }
    }

    /// Handles a reading of response times in milliseconds by run.
    pub fn observe(&mut self, sharing: &[SharingRun], readings: &BTreeMap<(TaskId, u32), u64>) {
        for run in std::mem::take(&mut self.unanswered) {
            self.ordered.remove(&run);
        }
        if !is_shared(sharing) {
            self.percent = INITIAL_PERCENT;
            return;
        }
        let ratio = sharing.iter().filter_map(|run| {
            let objective = run.response?.as_millis().max(1) as f64;
            let reading = *readings.get(&(run.task.clone(), run.run))?;
            Some(reading as f64 / objective)
        });
        match ratio.max_by(f64::total_cmp) {
            Some(ratio) if ratio >= 1.0 => {
                self.percent = 0;
                // An earlier order may have been carried out late, after one with a lower percent.
                self.ordered.clear();
            }
            Some(ratio) if ratio >= SLOW_DOWN_RATIO => self.percent /= 2,
            Some(ratio) if ratio < SPEED_UP_RATIO => {
                self.percent = (self.percent + PERCENT_INCREASE).min(100)
            }
            _ => {}
        }
    }

    /// Returns at most `limit` filling runs whose speed must change now, with the new percent. The
    /// others follow with the next calls.
    pub fn changes(&mut self, sharing: &[SharingRun], limit: usize) -> Vec<(TaskId, u32, u8)> {
        let percent = if is_shared(sharing) { self.percent } else { 100 };
        let mut previous = std::mem::take(&mut self.ordered);
        let mut changes = Vec::new();
        for run in sharing.iter().filter(|run| run.response.is_none()) {
            let key = (run.task.clone(), run.run);
            let ordered = previous.remove(&key);
            if ordered == Some(percent) {
                self.ordered.insert(key, percent);
            } else if changes.len() < limit {
                changes.push((run.task.clone(), run.run, percent));
                self.ordered.insert(key, percent);
            } else if let Some(ordered) = ordered {
                self.ordered.insert(key, ordered);
            }
        }
        changes
    }

    /// Records that a change of speed was not answered; it is repeated after the next reading.
    pub fn record_unanswered(&mut self, task: &TaskId, run: u32) {
        self.unanswered.insert((task.clone(), run));
    }
}

/// Reports whether both filling and serving tasks share the worker.
pub(crate) fn is_shared(sharing: &[SharingRun]) -> bool {
    sharing.iter().any(|run| run.response.is_some())
        && sharing.iter().any(|run| run.response.is_none())
}
