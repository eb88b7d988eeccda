use std::time::{Duration, Instant};

/// Progress of a run that has done all of its work.
pub(crate) const COMPLETE_PERCENT: u8 = 100;

/// Progress in percent since the start of a run from which its remaining time is estimated from
/// its speed.
const MIN_RELIABLE_PERCENT: u8 = 5;

/// Lower limit of a remaining time that is derived from an estimate alone.
const MIN_REMAINING: Duration = Duration::from_millis(500);

/// Share of the run time that a stop would destroy for which a run may stand still. Waiting as long
/// as the lost work took costs as much as the stop; half of it leaves time for the repetition.
const LOSS_SHARE: f64 = 0.5;

/// Multiple of the time limit after which a run counts as stalled, however much a stop destroys.
const MAX_PATIENCE: u32 = 2;

/// Progress of one run, as its worker has listed it.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// Time for which the worker was in contact and the run made no progress.
    pub idle: Duration,
    /// Whether the worker has listed the run.
    pub listed: bool,
    /// Progress in percent.
    pub percent: u8,
}

/// Returns the index of the run that has stalled and keeps the others of `members` from ending.
/// `members` are the runs of one gang, or a single run. `timeout` is the time after which a run
/// without progress is suspected, `at_stake` the run time that a stop would destroy.
///
/// Load pattern: the members of a gang have unequal work and end together, so that a member that
/// has done its work makes no progress until the others have done theirs. None of them works before
/// all are present. Only the member that is furthest behind shows whether the gang advances.
pub fn find_stalled(
    members: &[RunProgress],
    timeout: Duration,
    at_stake: Duration,
) -> Option<usize> {
    if members.iter().any(|member| !member.listed) {
        return None;
    }
    let all_complete = members.iter().all(|member| member.percent >= COMPLETE_PERCENT);
    let (index, furthest_behind) = members
        .iter()
        .enumerate()
        .filter(|(_, member)| all_complete || member.percent < COMPLETE_PERCENT)
        .min_by_key(|(_, member)| (member.percent, member.idle))?;
    let patience = timeout.max(at_stake.mul_f64(LOSS_SHARE)).min(timeout * MAX_PATIENCE);
    (furthest_behind.idle > patience).then_some(index)
}

/// Estimates the remaining time of a run from its speed since `since`, when it was at
/// `start_percent`, or from its expected run time while it has made too little progress.
pub fn remaining_time(
    now: Instant,
    since: Instant,
    start_percent: u8,
    percent: u8,
    expected: Duration,
) -> Duration {
    let elapsed = now.saturating_duration_since(since);
    let left = f64::from(COMPLETE_PERCENT.saturating_sub(percent));
    let progress = percent.saturating_sub(start_percent);
    if percent >= COMPLETE_PERCENT {
        return Duration::ZERO;
    }
    if progress >= MIN_RELIABLE_PERCENT {
        return elapsed.mul_f64(left / f64::from(progress));
    }
    let share = f64::from(COMPLETE_PERCENT.saturating_sub(start_percent)) / 100.0;
    expected.mul_f64(share).saturating_sub(elapsed).max(MIN_REMAINING)
}

/// Reports whether the remaining time of a run can be estimated from its progress.
pub fn is_predictable(start_percent: u8, percent: u8) -> bool {
    percent >= COMPLETE_PERCENT || percent.saturating_sub(start_percent) >= MIN_RELIABLE_PERCENT
}
