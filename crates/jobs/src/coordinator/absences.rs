use std::collections::BTreeMap;

use super::entry::JobEntry;
use crate::TaskId;

/// Progress from which on a lasting task is at work.
const AT_WORK: u8 = 100;

/// Tasks of lasting steps that may be stopped in one round of reclaiming.
///
/// Lasting tasks serve users of their own, who count each absence. Only a guaranteed claim stops
/// them, and of a step that limits its absences no more than that limit at once, whatever the cause
/// of the absences that there are.
#[derive(Debug, Default)]
pub(super) struct Absences {
    /// Further tasks that may be absent, by job, occurrence and step.
    left: BTreeMap<(String, u32, u32), u32>,
}

impl Absences {
    /// Reports whether the claim may stop `task`, and counts it if its step is limited.
    pub(super) fn permits(&mut self, entry: &JobEntry, task: &TaskId, guaranteed: bool) -> bool {
        let Some(step) = entry.job.steps.get(task.key.step as usize) else { return false };
        if !step.lasting {
            return true;
        }
        if !guaranteed {
            return false;
        }
        if step.may_miss == 0 {
            return true;
        }
        if step.gang {
            // Stopping one member ends all.
            return false;
        }
        let key = (task.job.clone(), task.key.occurrence, task.key.step);
        let left = self
            .left
            .entry(key)
            .or_insert_with(|| step.may_miss.saturating_sub(absent(entry, task)));
        let permitted = *left > 0;
        *left = left.saturating_sub(1);
        permitted
    }
}

/// Returns how many tasks of the step of `task` are not at work.
fn absent(entry: &JobEntry, task: &TaskId) -> u32 {
    let same = entry
        .tasks
        .iter()
        .filter(|(key, _)| key.step == task.key.step && key.occurrence == task.key.occurrence);
    let absent = same.filter(|(_, state)| {
        state.placement.as_ref().is_none_or(|run| run.stop || !run.seen || run.percent < AT_WORK)
    });
    u32::try_from(absent.count()).unwrap_or(u32::MAX)
}
