use std::collections::{BTreeMap, BTreeSet};

use crate::{SharingRun, TaskId};

/// Speed of filling tasks when they begin beside serving ones, in percent: what they disturb is not
/// known yet.
const FIRST_PERCENT: u8 = 30;

/// Part of the response objective from which on filling tasks slow down to half their speed.
const TENSE: f64 = 0.9;

/// Part of the response objective below which filling tasks speed up.
const CALM: f64 = 0.7;

/// Percent by which the speed rises with each calm reading. Load and disturbance change within
/// seconds, so that full speed is reached again only after several readings.
const RISE: u8 = 10;

/// Speed of the tasks of one worker that fill the room that others leave, told from the response
/// times of the serving tasks beside them.
///
/// Load pattern: a serving task that is well below its objective is pushed over it within seconds,
/// because its own load rises or because of what a filling task does. An objective that is missed
/// stops all filling tasks at once; the way back is slow.
#[derive(Clone, Debug, Default)]
pub struct Pacer {
    /// Runs whose last change was not answered.
    failed: BTreeSet<(TaskId, u32)>,
    /// Speed beside serving tasks.
    percent: u8,
    /// Percent that was ordered last for each filling run.
    set: BTreeMap<(TaskId, u32), u8>,
}

impl Pacer {
    /// Returns a pacer of a worker without filling tasks.
    pub fn new() -> Self {
        Self { percent: FIRST_PERCENT, ..Self::default() }
    }

    /// Takes in one reading of response times, in milliseconds, by run.
    pub fn observe(&mut self, sharing: &[SharingRun], readings: &BTreeMap<(TaskId, u32), u64>) {
        for run in std::mem::take(&mut self.failed) {
            self.set.remove(&run);
        }
        if !is_shared(sharing) {
            self.percent = FIRST_PERCENT;
            return;
        }
        let strain = sharing.iter().filter_map(|run| {
            let objective = run.response?.as_millis().max(1) as f64;
            let reading = *readings.get(&(run.task.clone(), run.run))?;
            Some(reading as f64 / objective)
        });
        match strain.max_by(f64::total_cmp) {
            Some(strain) if strain >= 1.0 => {
                self.percent = 0;
                // An earlier order may have been carried out late, after a lower one.
                self.set.clear();
            }
            Some(strain) if strain >= TENSE => self.percent /= 2,
            Some(strain) if strain < CALM => self.percent = (self.percent + RISE).min(100),
            _ => {}
        }
    }

    /// Returns the filling runs whose speed is to be set now, with the percent.
    pub fn changes(&mut self, sharing: &[SharingRun]) -> Vec<(TaskId, u32, u8)> {
        let wanted = if is_shared(sharing) { self.percent } else { 100 };
        let mut before = std::mem::take(&mut self.set);
        let mut changes = Vec::new();
        for run in sharing.iter().filter(|run| run.response.is_none()) {
            let key = (run.task.clone(), run.run);
            if before.remove(&key) != Some(wanted) {
                changes.push((run.task.clone(), run.run, wanted));
            }
            self.set.insert(key, wanted);
        }
        changes
    }

    /// Takes in that an order was not answered; it is repeated after the next reading.
    pub fn fail(&mut self, task: &TaskId, run: u32) {
        self.failed.insert((task.clone(), run));
    }
}

/// Reports whether filling tasks run beside serving ones.
pub(crate) fn is_shared(sharing: &[SharingRun]) -> bool {
    sharing.iter().any(|run| run.response.is_some())
        && sharing.iter().any(|run| run.response.is_none())
}
