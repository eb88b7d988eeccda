use std::collections::BTreeMap;

use super::entry::JobEntry;
use crate::TaskId;

/// Progress in percent from which a lasting task counts as working.
const WORKING_PERCENT: u8 = 100;

/// Number of tasks of lasting steps that may still be stopped in one round of preemption.
///
/// Lasting tasks serve users, who notice each absence. Only a guaranteed claim stops them. A step
/// can limit how many of its tasks are absent at the same time; absences count towards the limit
/// whatever their cause.
#[derive(Debug, Default)]
pub(super) struct Absences {
    /// Number of further tasks that may be absent, by job, occurrence and step.
    remaining: BTreeMap<(String, u32, u32), u32>,
}

impl Absences {
    /// Reports whether the claim may stop `task`. If so and if the step limits its absences, the
    /// task is counted as absent.
    pub(super) fn permits_stop(
        &mut self,
        entry: &JobEntry,
        task: &TaskId,
        guaranteed: bool,
    ) -> bool {
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
            // Stopping one member ends the whole gang.
            return false;
        }
        let key = (task.job.clone(), task.key.occurrence, task.key.step);
        let remaining = self
            .remaining
            .entry(key)
            .or_insert_with(|| step.may_miss.saturating_sub(absent(entry, task)));
        let permitted = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        permitted
    }
}

/// Returns how many tasks in the step of `task` are not working.
fn absent(entry: &JobEntry, task: &TaskId) -> u32 {
    let step_tasks = entry
        .tasks
        .iter()
        .filter(|(key, _)| key.step == task.key.step && key.occurrence == task.key.occurrence);
    let absent = step_tasks.filter(|(_, state)| {
        state
            .placement
            .as_ref()
            .is_none_or(|run| run.stopping || !run.listed || run.percent < WORKING_PERCENT)
    });
    u32::try_from(absent.count()).unwrap_or(u32::MAX)
}
