use std::time::Duration;

/// Core-seconds of others that urgent work outside its guarantee may cost while it can still meet its
/// objective: less than the work of a typical gang, whose worth is about that of the claim.
const TIMELY_WASTE: f64 = 200.0;

/// The same once it is late anyhow, where it gains less.
const LATE_WASTE: f64 = 100.0;

/// A run may take this many times as long as it is expected to.
const END_FACTOR: f64 = 1.25;

/// Time for the orders, the stop of the last run and the start, beside the stop itself.
const START_MARGIN: Duration = Duration::from_millis(150);

/// Part of the slack that a claim may wait: the expected run time, and with it the latest start, is
/// uncertain, and a claim that used up all of its slack was late by 0.1 s (inc-25f2).
const SLACK_SHARE: f64 = 0.75;

/// Part of the bound of a guaranteed start that is kept for a stop that takes long and a first order
/// that is lost.
const RECLAIM_MARGIN: Duration = Duration::from_millis(900);

/// Work that has no room.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
    /// Time until it must start to meet its objective; negative when that has passed.
    pub slack_ms: i64,
    /// Time after which runs that end by themselves are expected to have made room.
    pub vacancy: Option<Duration>,
    /// Time that it has waited.
    pub waited: Duration,
}

impl Claim {
    /// Reports whether work of this class and tier may stop other runs at all.
    pub fn may_stop(class: u8, guaranteed: bool) -> bool {
        class == 0 || guaranteed
    }
}

/// What a claim does about the runs in its way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Eviction {
    /// It keeps the room for itself where they end first.
    Wait,
    /// It stops runs if no more than this many core-seconds are lost.
    Stop {
        /// Largest loss.
        waste: f64,
    },
}

/// Decides whether a claim that may stop other runs waits for runs to end or stops them. `stop` is the longest time that a stop
/// takes, `reclaim` the time within which a guaranteed job must start.
///
/// Load pattern: short urgent jobs arrive while longer work fills the pool. Stopping runs that are
/// about to end throws their work away and gains nothing; waiting for a fixed time before the stop
/// makes a claim late that could not have been served otherwise.
pub fn judge_claim(claim: &Claim, stop: Duration, reclaim: Duration) -> Eviction {
    let slack = Duration::from_millis(u64::try_from(claim.slack_ms).unwrap_or(0));
    let share = slack.mul_f64(SLACK_SHARE);
    let left = if claim.guaranteed {
        share.min(reclaim.saturating_sub(claim.waited + stop + RECLAIM_MARGIN))
    } else {
        share
    };
    // A stop takes half of its longest time on average.
    let soon = stop / 2 + START_MARGIN;
    let vacant = claim.vacancy.map(|vacancy| vacancy.mul_f64(END_FACTOR) + START_MARGIN);
    if vacant.is_some_and(|vacant| vacant <= left) {
        return Eviction::Wait;
    }
    if claim.guaranteed {
        return Eviction::Stop { waste: f64::INFINITY };
    }
    let timely = soon <= slack;
    Eviction::Stop { waste: if timely { TIMELY_WASTE } else { LATE_WASTE } }
}
