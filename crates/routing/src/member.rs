use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::RoutingSettings;
use crate::health::Health;

/// Drift of an agent's clock that does not count as a transmission delay, as a divisor (1 %).
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// First message of a session of an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// Id of the agent.
    pub agent: AgentId,
    /// Number of the session; the entry assigns higher numbers to later sessions.
    pub session: u64,
    /// Pool that the agent's upstream belongs to.
    pub pool: String,
    /// Failure domain of the upstream.
    pub domain: String,
}

/// Periodic report of an agent about its upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Sequence number; it increases with every report of a session.
    pub sequence: u64,
    /// Monotonic time of the agent at which it sent the report, relative to any fixed origin; it
    /// shows whether the report was delayed in transit. `None` if the agent does not provide it.
    pub sent: Option<Duration>,
    /// False if the upstream's announcement has expired or says that the upstream is leaving.
    pub serving: bool,
    /// Incarnation of the upstream.
    pub upstream_incarnation: u64,
    /// Slots in use by all entries.
    pub slots_used: u32,
    /// Connections in use by all entries.
    pub connections_used: u32,
    /// Number of runs that have ended since the agent started.
    pub runs: u64,
    /// Number of runs that have failed since the agent started.
    pub failures: u64,
}

/// State of one upstream and its agent at an entry.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub agent: AgentId,
    pub domain: String,
    pub session: u64,
    /// False once the session is closed or silent.
    pub session_open: bool,
    /// The session became silent but was not closed; a recent report can reopen it.
    pub session_silent: bool,
    /// Time at which the session was last known to be active.
    pub last_contact: Instant,
    pub serving: bool,
    /// Highest reported incarnation of the upstream.
    pub upstream_incarnation: u64,
    /// The current incarnation of the upstream is leaving; only a later one can serve again.
    pub upstream_leaving: bool,
    /// Number of this entry's attempts that have not ended. It is kept when the agent restarts,
    /// because the upstream may still run them.
    pub own_attempts: u32,
    /// Slots used by other entries at `usage_updated`.
    pub other_slots: u32,
    /// Connections used by other entries at `usage_updated`.
    pub other_connections: u32,
    /// Exponentially weighted mean, over the latest reports, of the slots used by other entries.
    pub mean_usage: f64,
    /// Time at which the usage by other entries was last updated by a report or a refusal.
    pub usage_updated: Instant,
    /// Times until which errors that were returned early continue to occupy a slot each.
    pub error_penalties: Vec<Instant>,
    pub health: Health,
    report_sequence: u64,
    /// Latest possible sending time of the latest report by this entry's clock, and its sending
    /// time by the agent's clock. The difference corresponds to the smallest transmission delay so
    /// far.
    clock_reference: Option<(Instant, Duration)>,
    reported_runs: u64,
    reported_failures: u64,
    /// Number of this entry's results since the last report.
    pub own_results: u64,
}

impl Member {
    /// Returns a member that has opened a session but sent no report.
    pub fn new(hello: &Hello, now: Instant) -> Self {
        Self {
            agent: hello.agent.clone(),
            domain: hello.domain.clone(),
            session: hello.session,
            session_open: true,
            session_silent: false,
            last_contact: now,
            serving: false,
            upstream_incarnation: 0,
            upstream_leaving: false,
            own_attempts: 0,
            other_slots: 0,
            other_connections: 0,
            mean_usage: 0.0,
            usage_updated: now,
            error_penalties: Vec::new(),
            health: Health::new(),
            report_sequence: 0,
            clock_reference: None,
            reported_runs: 0,
            reported_failures: 0,
            own_results: 0,
        }
    }

    /// Starts a new session. Returns false if its incarnation and number are not newer than the
    /// current ones.
    pub fn start_session(&mut self, hello: &Hello, now: Instant) -> bool {
        let current = (self.agent.incarnation, self.session);
        if (hello.agent.incarnation, hello.session) <= current {
            return false;
        }
        let reset = Self::new(hello, now);
        let restarted = hello.agent.incarnation > self.agent.incarnation;
        let previous = std::mem::replace(self, reset);
        self.own_attempts = previous.own_attempts;
        self.health = previous.health;
        self.upstream_incarnation = previous.upstream_incarnation;
        self.upstream_leaving = previous.upstream_leaving;
        if restarted {
            // A restarted agent numbers the incarnations of its upstream from the beginning.
            self.upstream_incarnation = 0;
            self.upstream_leaving = false;
        } else {
            self.reported_runs = previous.reported_runs;
            self.reported_failures = previous.reported_failures;
        }
        true
    }

    /// Applies a report. Returns false, and changes nothing, if it is outdated. A silent session is
    /// reopened only by a report whose sending time proves that it is recent.
    pub fn apply_report(
        &mut self,
        report: &Report,
        now: Instant,
        report_timeout: Duration,
    ) -> bool {
        let accepts_reports = self.session_open || self.session_silent && report.sent.is_some();
        if !accepts_reports || report.sequence <= self.report_sequence {
            return false;
        }
        let sent = self.sending_time(report.sent, now);
        if !self.session_open && sent + report_timeout <= now {
            return false;
        }
        (self.session_open, self.session_silent) = (true, false);
        self.report_sequence = report.sequence;
        self.last_contact = self.last_contact.max(sent);
        if report.upstream_incarnation > self.upstream_incarnation {
            // If the upstream was leaving before its first report, that report does not describe a
            // later incarnation.
            self.upstream_leaving &= self.upstream_incarnation == 0;
            self.upstream_incarnation = report.upstream_incarnation;
        }
        // A lower incarnation comes from a late announcement that the agent still forwards.
        self.serving = report.serving
            && !self.upstream_leaving
            && report.upstream_incarnation == self.upstream_incarnation;
        self.other_slots = report.slots_used.saturating_sub(self.own_attempts);
        // A weight of one half averages about two reports, since one report shows a single moment.
        self.mean_usage += 0.5 * (f64::from(self.other_slots) - self.mean_usage);
        self.other_connections = report.connections_used.saturating_sub(self.own_attempts);
        self.usage_updated = now;
        let (runs, failures) = (report.runs, report.failures);
        // With results of its own, this entry would count them twice.
        if self.own_results == 0 && self.reported_runs > 0 && runs > self.reported_runs {
            self.health.record_reported(
                runs - self.reported_runs,
                failures.saturating_sub(self.reported_failures),
            );
        }
        (self.reported_runs, self.reported_failures, self.own_results) = (runs, failures, 0);
        true
    }

    /// Returns the latest time at which a report with the sending time `sent` that arrives at `now`
    /// can have been sent. If the arrival time were used, a delayed report would keep a failed
    /// agent in service for too long.
    fn sending_time(&mut self, sent: Option<Duration>, now: Instant) -> Instant {
        let Some(sent) = sent else { return now };
        let Some((reference_time, reference_sent)) = self.clock_reference else {
            self.clock_reference = Some((now, sent));
            return now;
        };
        let elapsed = sent.saturating_sub(reference_sent);
        let expected = reference_time + elapsed + elapsed / CLOCK_DRIFT_DIVISOR;
        let sending = expected.min(now);
        self.clock_reference = Some((sending, sent));
        sending
    }

    /// Marks the current incarnation of the upstream as leaving; returns false if it was marked
    /// before.
    pub fn mark_leaving(&mut self) -> bool {
        let changed = !self.upstream_leaving;
        self.upstream_leaving = true;
        self.serving = false;
        changed
    }

    /// Returns the time at which the session becomes silent without a further report.
    pub fn report_deadline(&self, settings: &RoutingSettings) -> Instant {
        self.last_contact + settings.report_timeout
    }

    /// Returns whether the upstream is serving according to its agent's open session. Ejection is
    /// not considered.
    pub fn is_available(&self, now: Instant, settings: &RoutingSettings) -> bool {
        self.session_open && self.serving && now < self.report_deadline(settings)
    }

    /// Returns the estimated number of slots used by other entries. One slot is presumed free after
    /// every `interval` since the last update, so that an outdated report does not block free
    /// slots.
    pub fn other_slots_at(&self, now: Instant, interval: Duration) -> u32 {
        self.other_slots.saturating_sub(self.presumed_releases(now, interval))
    }

    /// Returns the estimated number of connections used by other entries, which decreases like that
    /// of the slots.
    pub fn other_connections_at(&self, now: Instant, interval: Duration) -> u32 {
        self.other_connections.saturating_sub(self.presumed_releases(now, interval))
    }

    /// Returns how many slots and connections are presumed free since the last update.
    fn presumed_releases(&self, now: Instant, interval: Duration) -> u32 {
        let intervals = now.saturating_duration_since(self.usage_updated).as_nanos()
            / interval.as_nanos().max(1);
        u32::try_from(intervals).unwrap_or(u32::MAX)
    }

    /// Returns the time at which the next slot or connection is presumed free, if other entries use
    /// any.
    pub fn next_presumed_release(&self, now: Instant, interval: Duration) -> Option<Instant> {
        let in_use =
            self.other_slots_at(now, interval) > 0 || self.other_connections_at(now, interval) > 0;
        in_use.then(|| {
            self.usage_updated
                + interval.saturating_mul(self.presumed_releases(now, interval).saturating_add(1))
        })
    }

    /// Returns the number of slots that are occupied by early errors.
    pub fn penalty_slots(&self, now: Instant) -> u32 {
        self.error_penalties.iter().filter(|end| **end > now).count() as u32
    }

    /// Returns the number of slots that are in use or presumed to be in use.
    pub fn load(&self, now: Instant, interval: Duration) -> u32 {
        self.own_attempts + self.other_slots_at(now, interval) + self.penalty_slots(now)
    }
}
