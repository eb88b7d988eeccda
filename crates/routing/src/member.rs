use std::time::{Duration, Instant};

use skylarkpulley_types::AgentId;

use crate::RoutingSettings;
use crate::health::Health;

/// Drift of an agent's clock that is not mistaken for a delay, as a divisor (1 %).
const DRIFT_DIVISOR: u32 = 100;

/// First message of an agent's session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hello {
    /// The agent.
    pub agent: AgentId,
    /// Number of the session; the entry gives later sessions higher numbers.
    pub session: u64,
    /// Pool that the agent's upstream belongs to.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
}

/// Periodic report of an upstream's agent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Grows with every report of a session.
    pub sequence: u64,
    /// Agent's monotonic time when it sent the report, counted from any fixed origin; reveals
    /// reports that were delayed on the way. `None` if the agent does not say.
    pub sent: Option<Duration>,
    /// False when the upstream's announcement has expired or says that it is leaving.
    pub serving: bool,
    /// Incarnation of the upstream.
    pub upstream_incarnation: u64,
    /// Slots in use, by all entries.
    pub slots_used: u32,
    /// Connections in use, by all entries.
    pub connections_used: u32,
    /// Runs that ended since the agent started.
    pub runs: u64,
    /// Runs that failed since the agent started.
    pub failures: u64,
}

/// What an entry knows of one upstream and its agent.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub agent: AgentId,
    pub domain: String,
    pub session: u64,
    /// False once the session is closed or silent.
    pub open: bool,
    /// The session is silent but was not closed.
    pub silent: bool,
    /// When the session was last known to be alive.
    pub heard: Instant,
    pub serving: bool,
    /// Highest known incarnation of the upstream.
    pub upstream: u64,
    /// The upstream incarnation that said it is leaving; only a later one serves again.
    pub left: bool,
    /// Attempts of this entry that have not ended. Survives a restart of the agent, since the
    /// upstream may still run them.
    pub own: u32,
    /// Slots in use by others when the view was last corrected.
    pub others: u32,
    pub other_connections: u32,
    /// Average over the last reports of the slots in use by others.
    pub usual_others: f64,
    /// When the view was last corrected.
    pub seen: Instant,
    /// Ends of the slot time that is charged for errors which came back early.
    pub penalties: Vec<Instant>,
    pub health: Health,
    sequence: u64,
    /// Smallest difference between arrival and sending time, as arrival at `base_at`.
    base: Option<(Instant, Duration)>,
    runs: u64,
    failures: u64,
    /// This entry's own results since the last report.
    pub results: u64,
}

impl Member {
    /// Returns a member that has said hello but not reported.
    pub fn new(hello: &Hello, now: Instant) -> Self {
        Self {
            agent: hello.agent.clone(),
            domain: hello.domain.clone(),
            session: hello.session,
            open: true,
            silent: false,
            heard: now,
            serving: false,
            upstream: 0,
            left: false,
            own: 0,
            others: 0,
            other_connections: 0,
            usual_others: 0.0,
            seen: now,
            penalties: Vec::new(),
            health: Health::new(),
            sequence: 0,
            base: None,
            runs: 0,
            failures: 0,
            results: 0,
        }
    }

    /// Starts a new session; returns false if `hello` is older than what is known.
    pub fn rejoin(&mut self, hello: &Hello, now: Instant) -> bool {
        let known = (self.agent.incarnation, self.session);
        if (hello.agent.incarnation, hello.session) <= known {
            return false;
        }
        let fresh = Self::new(hello, now);
        let restarted = hello.agent.incarnation > self.agent.incarnation;
        let old = std::mem::replace(self, fresh);
        self.own = old.own;
        self.health = old.health;
        self.upstream = old.upstream;
        self.left = old.left;
        if restarted {
            // The restarted agent numbers and watches its upstream anew.
            self.upstream = 0;
            self.left = false;
        } else {
            self.runs = old.runs;
            self.failures = old.failures;
        }
        true
    }

    /// Applies a report; returns false if it is late and changes nothing. A silent session comes
    /// back only with a report that proves by its sending time that it is recent.
    pub fn report(&mut self, report: &Report, now: Instant, silence: Duration) -> bool {
        let alive = self.open || self.silent && report.sent.is_some();
        if !alive || report.sequence <= self.sequence {
            return false;
        }
        let sent = self.sending_time(report.sent, now);
        if !self.open && sent + silence <= now {
            return false;
        }
        (self.open, self.silent) = (true, false);
        self.sequence = report.sequence;
        self.heard = self.heard.max(sent);
        if report.upstream_incarnation > self.upstream {
            // An upstream that left before its first report is not a later one.
            self.left &= self.upstream == 0;
            self.upstream = report.upstream_incarnation;
        }
        // A lower incarnation is a late announcement that the agent still passes on.
        self.serving = report.serving && !self.left && report.upstream_incarnation == self.upstream;
        self.others = report.slots_used.saturating_sub(self.own);
        // Half: about two reports, since one shows a single moment.
        self.usual_others += 0.5 * (f64::from(self.others) - self.usual_others);
        self.other_connections = report.connections_used.saturating_sub(self.own);
        self.seen = now;
        let (runs, failures) = (report.runs, report.failures);
        // Otherwise this entry's own results would count twice.
        if self.results == 0 && self.runs > 0 && runs > self.runs {
            self.health.observe(runs - self.runs, failures.saturating_sub(self.failures));
        }
        (self.runs, self.failures, self.results) = (runs, failures, 0);
        true
    }

    /// Returns the latest time at which a report can have been sent that says `sent` and arrives
    /// `now`. Without it a delayed report would make a vanished agent look alive for too long.
    fn sending_time(&mut self, sent: Option<Duration>, now: Instant) -> Instant {
        let Some(sent) = sent else { return now };
        let Some((base, base_sent)) = self.base else {
            self.base = Some((now, sent));
            return now;
        };
        let passed = sent.saturating_sub(base_sent);
        let expected = base + passed + passed / DRIFT_DIVISOR;
        let sending = expected.min(now);
        self.base = Some((sending, sent));
        sending
    }

    /// Marks the present incarnation of the upstream as leaving; returns false if it already was.
    pub fn leave(&mut self) -> bool {
        let changed = !self.left;
        self.left = true;
        self.serving = false;
        changed
    }

    /// Returns when the session becomes silent.
    pub fn silent_at(&self, settings: &RoutingSettings) -> Instant {
        self.heard + settings.report_timeout
    }

    /// Reports whether the upstream may get work as far as its agent says.
    pub fn is_present(&self, now: Instant, settings: &RoutingSettings) -> bool {
        self.open && self.serving && now < self.silent_at(settings)
    }

    /// Returns the slots that others are believed to use. The view ages: one slot is presumed free
    /// again after every `hold`, so that an old report does not block free slots.
    pub fn others_at(&self, now: Instant, hold: Duration) -> u32 {
        self.others.saturating_sub(self.steps(now, hold))
    }

    /// Returns the connections that others are believed to use; ages like the slots.
    pub fn other_connections_at(&self, now: Instant, hold: Duration) -> u32 {
        self.other_connections.saturating_sub(self.steps(now, hold))
    }

    fn steps(&self, now: Instant, hold: Duration) -> u32 {
        let age = now.saturating_duration_since(self.seen).as_nanos() / hold.as_nanos().max(1);
        u32::try_from(age).unwrap_or(u32::MAX)
    }

    /// Returns when another slot or connection is presumed free, if others use any.
    pub fn next_step(&self, now: Instant, hold: Duration) -> Option<Instant> {
        let used = self.others_at(now, hold) > 0 || self.other_connections_at(now, hold) > 0;
        used.then(|| self.seen + hold.saturating_mul(self.steps(now, hold).saturating_add(1)))
    }

    /// Returns the number of slots that are charged for early errors.
    pub fn penalties_at(&self, now: Instant) -> u32 {
        self.penalties.iter().filter(|end| **end > now).count() as u32
    }

    /// Returns the slots that are certainly in use or presumed so.
    pub fn load(&self, now: Instant, hold: Duration) -> u32 {
        self.own + self.others_at(now, hold) + self.penalties_at(now)
    }
}
