use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_jobs::{Decision, DecisionKind, ShareCounts, WaitCounts};
use skylarkpulley_telemetry::{Decisions, Event, Metrics};

/// Number of decisions that an entry keeps for `explain`. At about 300 bytes each, they take 3 MB
/// of the 260 MB of an entry's VM, and cover ten hours at 1,000 decisions an hour.
const MAX_DECISIONS: usize = 10_000;

/// Decisions and metrics that an entry records.
#[derive(Clone, Debug)]
pub struct Records {
    /// The latest decisions by id, limited in number.
    pub decisions: Arc<Decisions>,
    /// Counters and timers.
    pub metrics: Metrics,
}

impl Records {
    /// Returns empty records.
    pub fn new(metrics: Metrics) -> Self {
        Self { decisions: Arc::new(Decisions::new(MAX_DECISIONS)), metrics }
    }

    /// Records and counts a decision of the coordinator of `epoch`.
    pub fn record(&self, now: Instant, decision: &Decision, epoch: u64) {
        let event = decision_event(decision.kind);
        let detail = format!("{}; epoch {epoch}", decision.detail);
        self.metrics.count(event.name());
        // `explain` asks the leader for the present reason.
        if decision.kind == DecisionKind::Waiting {
            self.decisions.log(event, &decision.id, &detail);
            return;
        }
        self.decisions.record(now, event, &decision.id, &detail);
    }

    /// Counts refused submissions by team and route.
    pub fn count_refusals(&self, refusals: &BTreeMap<(String, String), u64>) {
        for ((team, route), count) in refusals {
            let labels = [("team", team.as_str()), ("route", route.as_str())];
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            self.metrics.add_labelled("job-refusals", &labels, count);
        }
    }

    /// Updates the gauges of the teams' shares.
    pub fn update_shares(&self, shares: ShareCounts) {
        let contended = u64::try_from(shares.contended).unwrap_or(u64::MAX);
        self.metrics.gauge("pools-contended", contended);
        self.metrics.gauge("share-highest-percent", shares.highest_percent);
        self.metrics.gauge("share-lowest-percent", shares.lowest_percent);
    }

    /// Updates the gauges of the leader of `epoch`: its agents, the callers that wait for it, the
    /// steps whose tasks wait, the evacuated failure domains, and the slow workers.
    pub fn update_gauges(
        &self,
        agents: usize,
        callers: usize,
        steps: WaitCounts,
        evacuated: usize,
        slow: usize,
        epoch: u64,
    ) {
        let gauges = [
            ("agents", agents),
            ("callers-waiting", callers),
            ("failure-domains-evacuated", evacuated),
            ("steps-waiting", steps.overdue),
            ("steps-waiting-fitting", steps.fitting),
            ("workers-slow", slow),
        ];
        for (name, value) in gauges {
            self.metrics.gauge(name, u64::try_from(value).unwrap_or(u64::MAX));
        }
        self.metrics.gauge("epoch", epoch);
    }
}

/// Returns the event of a decision.
pub(crate) fn decision_event(kind: DecisionKind) -> Event {
    match kind {
        DecisionKind::Accepted => Event::JobSubmitted,
        DecisionKind::Refused => Event::JobRefused,
        DecisionKind::Placed => Event::JobPlaced,
        DecisionKind::RunEnded => Event::RunEnded,
        DecisionKind::Stopped => Event::JobPreempted,
        DecisionKind::Ended => Event::JobEnded,
        DecisionKind::Quarantined => Event::WorkerQuarantined,
        DecisionKind::CrashRecorded => Event::CrashRecorded,
        DecisionKind::GivenUp => Event::JobGivenUp,
        DecisionKind::Lost => Event::WorkerLost,
        DecisionKind::Silent => Event::AgentSilent,
        DecisionKind::Unstored => Event::JobUnstored,
        DecisionKind::Waiting => Event::TasksWaiting,
        DecisionKind::DomainEvacuated => Event::DomainEvacuated,
        DecisionKind::DomainReturned => Event::DomainReturned,
    }
}
