use std::collections::BTreeMap;
use std::time::Duration;

use skylarkpulley_platform_standins::{EndKind, JobSpec, Observation, StepSpec};

use crate::Violation;
use crate::judge::{JobHistory, Run, Tasks, task_names};

/// Returns the tasks that waited for longer than `limit` after the last fault although they could
/// have started and most of the room was free.
pub fn check_idle(
    observations: &[(Duration, Observation)],
    tasks: &Tasks,
    jobs: &BTreeMap<String, JobHistory>,
    limit: Duration,
) -> Vec<Violation> {
    let calm = observations.iter().find(|(_, seen)| *seen == Observation::FaultsEnded);
    let (Some((calm, _)), Some((end, _))) = (calm, observations.last()) else { return Vec::new() };
    let spans = free_spans(observations, *end);
    // Nothing starts of a job that was given up, which is judged by its state.
    let due = jobs.values().filter(|job| job.is_due() && !job.is_given_up());
    let due = due.filter_map(|job| Some((job.spec.as_ref()?, job.accepted?)));
    let mut violations = Vec::new();
    // A task that crashes workers is kept apart from others.
    for (spec, accepted) in due.filter(|(spec, _)| !spec.crashes) {
        for (number, step) in spec.steps.iter().enumerate() {
            let Some(ready) = ready_at(spec, step, tasks) else { continue };
            for task in task_names(spec, number, step) {
                let runs = tasks.get(&task).map_or(&[][..], Vec::as_slice);
                for (from, until) in gaps(runs, ready.max(*calm).max(accepted), *end) {
                    let waited = spans
                        .iter()
                        .map(|(start, stop)| (*stop).min(until).saturating_sub((*start).max(from)));
                    let waited = waited.sum();
                    if waited > limit && !is_gang_done(spec, number, step, tasks, until) {
                        violations.push(Violation::Idle { at: from, task: task.clone(), waited });
                    }
                }
            }
        }
    }
    violations
}

/// Returns the spans in which less than half of the accelerators of all workers was in use.
fn free_spans(
    observations: &[(Duration, Observation)],
    end: Duration,
) -> Vec<(Duration, Duration)> {
    let (mut room, mut running) = (BTreeMap::new(), 0_u64);
    let (mut spans, mut since) = (Vec::new(), None);
    for (at, seen) in observations {
        match seen {
            Observation::Joined { accelerators, worker } => {
                room.insert(worker, *accelerators);
            }
            Observation::Started { .. } => running += 1,
            Observation::Ended { .. } => running = running.saturating_sub(1),
            _ => continue,
        }
        let is_free = running * 2 < room.values().sum();
        match since {
            None if is_free => since = Some(*at),
            Some(start) if !is_free => {
                spans.push((start, *at));
                since = None;
            }
            _ => {}
        }
    }
    spans.extend(since.map(|start| (start, end)));
    spans
}

/// Returns the time at which the steps that a step follows were done; `None` if they were not.
fn ready_at(spec: &JobSpec, step: &StepSpec, tasks: &Tasks) -> Option<Duration> {
    let mut ready = Duration::ZERO;
    for number in &step.after {
        let earlier = spec.steps.get(*number)?;
        let mut ends = task_names(spec, *number, earlier).map(|task| done_at(tasks.get(&task)));
        let done = if earlier.gang {
            ends.flatten().min()
        } else {
            ends.try_fold(Duration::ZERO, |latest, end| Some(latest.max(end?)))
        };
        ready = ready.max(done?);
    }
    Some(ready)
}

fn is_gang_done(
    spec: &JobSpec,
    number: usize,
    step: &StepSpec,
    tasks: &Tasks,
    by: Duration,
) -> bool {
    let mut ends = task_names(spec, number, step).filter_map(|task| done_at(tasks.get(&task)));
    step.gang && ends.any(|end| end <= by)
}

fn done_at(runs: Option<&Vec<Run>>) -> Option<Duration> {
    let ends = runs.into_iter().flatten().filter_map(|run| run.ended);
    ends.filter(|(_, kind)| *kind == EndKind::Done).map(|(at, _)| at).min()
}

/// Returns the spans from `from` on in which a task neither ran nor was done.
fn gaps(runs: &[Run], from: Duration, end: Duration) -> Vec<(Duration, Duration)> {
    let mut gaps = Vec::new();
    let mut waits_from = Some(from);
    for run in runs {
        if let Some(waits_from) = waits_from {
            gaps.push((waits_from, run.began));
        }
        waits_from = match run.ended {
            None | Some((_, EndKind::Done)) => None,
            Some((at, _)) => Some(at.max(from)),
        };
    }
    gaps.extend(waits_from.map(|waits_from| (waits_from, end)));
    gaps.retain(|(start, stop)| start < stop);
    gaps
}
