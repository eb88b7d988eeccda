use std::time::Duration;

/// Core-seconds of other work that an urgent claim outside its guarantee may destroy while it can
/// still meet its objective. Less than the work of a typical gang, which is worth about as much as
/// the claim.
const MAX_LOST_WORK: f64 = 200.0;

/// The same limit for a claim that is late in any case and gains less.
const MAX_LOST_WORK_LATE: f64 = 100.0;

/// Factor by which a run may exceed its expected run time.
const RUN_TIME_TOLERANCE: f64 = 1.25;

/// Time for the orders, the end of the last run and the start, in addition to the stop itself.
const START_MARGIN: Duration = Duration::from_millis(150);

/// Part of its slack that a claim may wait. The expected run time, and with it the latest start, is
/// uncertain: a claim that used up all of its slack was late by 0.1 s (inc-25f2).
const SLACK_SHARE: f64 = 0.75;

/// Part of the time limit of a guaranteed start that is reserved for a slow stop and a lost first
/// order.
const RECLAIM_MARGIN: Duration = Duration::from_millis(900);

/// Waiting work that does not fit into the free resources.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Time after which enough runs are expected to have ended by themselves; `None` if unknown.
    pub free_after: Option<Duration>,
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
    /// Time until it must start to meet its objective; negative once it is too late.
    pub slack_ms: i64,
    /// Time that it has waited.
    pub waited: Duration,
}

impl Claim {
    /// Reports whether work of this class may stop other runs at all. `guaranteed` states whether
    /// it is within its team's guarantee.
    pub fn may_stop(class: u8, guaranteed: bool) -> bool {
        class == 0 || guaranteed
    }
}

/// Decision of a claim on the runs that occupy the resources it needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClaimDecision {
    /// The claim waits and reserves the resources that become free first.
    Wait,
    /// The claim stops runs if the lost work stays within a limit.
    Stop {
        /// Largest loss in core-seconds.
        max_lost_work: f64,
    },
}

/// Decides whether a claim that may stop other runs waits for them to end or stops them. `stop` is
/// the longest time that a stop takes, `reclaim` the time within which a guaranteed job must start.
///
/// Load pattern: short urgent jobs arrive while longer work fills the pool. Stopping runs that are
/// about to end destroys their work and gains nothing. Waiting for a fixed time before the stop
/// makes those claims late for which a stop is the only way to start in time.
pub fn decide_claim(claim: &Claim, stop: Duration, reclaim: Duration) -> ClaimDecision {
    let slack = Duration::from_millis(u64::try_from(claim.slack_ms).unwrap_or(0));
    let usable = slack.mul_f64(SLACK_SHARE);
    let max_wait = if claim.guaranteed {
        usable.min(reclaim.saturating_sub(claim.waited + stop + RECLAIM_MARGIN))
    } else {
        usable
    };
    // A stop takes half of its longest time on average.
    let start_delay = stop / 2 + START_MARGIN;
    let free_by =
        claim.free_after.map(|free_after| free_after.mul_f64(RUN_TIME_TOLERANCE) + START_MARGIN);
    if free_by.is_some_and(|free_by| free_by <= max_wait) {
        return ClaimDecision::Wait;
    }
    if claim.guaranteed {
        return ClaimDecision::Stop { max_lost_work: f64::INFINITY };
    }
    let meets_objective = start_delay <= slack;
    ClaimDecision::Stop {
        max_lost_work: if meets_objective { MAX_LOST_WORK } else { MAX_LOST_WORK_LATE },
    }
}
