use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_types::AgentId;

use crate::health::HealthStage;
use crate::member::Member;
use crate::{AttemptResult, Decision, Hello, Reason, Report, RoutingSettings};

/// Minimum interval after which a slot used by another entry is presumed free.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum intervals for the most urgent class, each with the waiting time of its first request, in
/// mean service times, from which it applies. 5 ms is slightly longer than a round trip between
/// failure domains (3 ms). 1 ms finds every slot before another entry fills it with less urgent
/// requests, at the cost of more refused attempts.
const URGENT_RELEASE_INTERVALS: [(u32, Duration); 2] =
    [(4, Duration::from_millis(1)), (1, Duration::from_millis(5))];
/// Period during which only idempotent requests serve as probes; afterwards any request does.
const IDEMPOTENT_PROBE_PERIOD: Duration = Duration::from_secs(5);
/// Factor by which the score of an upstream must exceed that of an ejected one to be ejected in its
/// place.
const EJECTION_SWAP_FACTOR: f64 = 1.5;

/// The upstreams of one pool: membership, selection and ejection.
#[derive(Debug)]
pub(crate) struct Members {
    pub members: BTreeMap<String, Member>,
    settings: Arc<RoutingSettings>,
    rng: Rng,
    /// Decisions that `take_decisions` has not returned yet.
    decisions: Vec<Decision>,
    /// Maximum number of slots in use per upstream: the lower of its slots and connections.
    slot_limit: u32,
    /// Maximum number of connections per upstream.
    connection_limit: u32,
    /// Interval after which another slot or connection of other entries is presumed free.
    release_interval: Duration,
}

/// The upstream selected for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub agent: AgentId,
    pub probe: bool,
    pub reason: Reason,
}

/// A finished attempt, as input for the statistics of its upstream.
pub(crate) struct FinishedAttempt<'a> {
    pub agent: &'a AgentId,
    pub attempt_result: AttemptResult,
    pub elapsed: Duration,
    /// Mean service time of the route, if known.
    pub mean_service: Option<Duration>,
    pub probe: bool,
}

impl Members {
    /// Returns a pool without upstreams and slots.
    pub fn new(settings: &Arc<RoutingSettings>, rng: Rng) -> Self {
        Self {
            members: BTreeMap::new(),
            settings: settings.clone(),
            rng,
            decisions: Vec::new(),
            slot_limit: 0,
            connection_limit: 0,
            release_interval: MIN_RELEASE_INTERVAL,
        }
    }

    /// Returns the decisions about upstreams since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Sets the slots and connections of each upstream.
    pub fn set_limits(&mut self, slots: u32, connections: u32) {
        self.slot_limit = slots.min(connections);
        self.connection_limit = connections;
    }

    /// Sets the mean service time of the pool, after which a slot of another entry is presumed
    /// free.
    pub fn set_mean_service_time(&mut self, mean_service_time: Duration) {
        self.release_interval = mean_service_time.max(MIN_RELEASE_INTERVAL);
    }

    /// Opens a session; returns false if it is not newer than the current one.
    pub fn open_session(&mut self, hello: &Hello, now: Instant) -> bool {
        if let Some(member) = self.members.get_mut(&hello.agent.name) {
            return member.start_session(hello, now);
        }
        self.members.insert(hello.agent.name.clone(), Member::new(hello, now));
        true
    }

    /// Applies a report; returns false if it is outdated or not of the current session.
    pub fn apply_report(
        &mut self,
        agent: &AgentId,
        session: u64,
        report: &Report,
        now: Instant,
    ) -> bool {
        let report_timeout = self.settings.report_timeout;
        let Some(member) = self.current_member(agent) else { return false };
        if member.session != session {
            return false;
        }
        let (was_serving, upstream_incarnation, was_open) =
            (member.serving, member.upstream_incarnation, member.session_open);
        if !member.apply_report(report, now, report_timeout) {
            return false;
        }
        let stopped = was_serving && !member.serving;
        if upstream_incarnation != 0
            && member.upstream_incarnation > upstream_incarnation
            && member.health.is_ejected()
        {
            // A restarted upstream can be probed before the end of the ejection.
            member.health.start_probing(now);
        }
        if !was_open {
            self.decisions.push(Decision::Joined { agent: agent.clone() });
        }
        if stopped {
            self.decisions.push(Decision::Leaving { agent: agent.clone() });
        }
        self.eject_if_outlier(&agent.name, now);
        true
    }

    /// Marks an agent's upstream as leaving; returns false if the agent's incarnation is not
    /// current.
    pub fn mark_leaving(&mut self, agent: &AgentId) -> bool {
        let Some(member) = self.current_member(agent) else { return false };
        if member.mark_leaving() {
            self.decisions.push(Decision::Leaving { agent: agent.clone() });
        }
        true
    }

    /// Closes a session; returns false if it is not the current one.
    pub fn close_session(&mut self, agent: &AgentId, session: u64) -> bool {
        let Some(member) = self.current_member(agent) else { return false };
        if member.session != session {
            return false;
        }
        member.session_open = false;
        member.session_silent = false;
        member.serving = false;
        true
    }

    fn current_member(&mut self, agent: &AgentId) -> Option<&mut Member> {
        self.members
            .get_mut(&agent.name)
            .filter(|member| member.agent.incarnation == agent.incarnation)
    }

    /// Applies time-outs: marks silent sessions, ends ejections and removes members after the
    /// retention period.
    pub fn apply_timeouts(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.error_penalties.retain(|end| *end > now);
            if member.session_open && now >= member.report_deadline(&self.settings) {
                member.session_open = false;
                member.session_silent = true;
                member.serving = false;
                let agent = member.agent.clone();
                self.decisions.push(Decision::Silent { agent, session: member.session });
            }
            if let HealthStage::Ejected { until } = member.health.stage
                && until <= now
            {
                member.health.start_probing(now);
            }
        }
        self.members.retain(|_, member| {
            member.session_open
                || member.own_attempts > 0
                || now < member.last_contact + self.settings.member_retention
        });
        self.enforce_ejection_limit(now);
    }

    /// Returns ejected or probing upstreams to service, the best first, while they are more than
    /// half of the available upstreams.
    fn enforce_ejection_limit(&mut self, now: Instant) {
        loop {
            let (available, ejected) = self.count_available(now);
            if ejected <= available / 2 {
                return;
            }
            let Some(name) = self.best_ejected(now) else { return };
            self.return_to_service(&name, Reason::EjectionLimit);
        }
    }

    fn available(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_available(now, &self.settings))
    }

    /// Returns how many upstreams are available and how many of them are ejected or probing.
    fn count_available(&self, now: Instant) -> (usize, usize) {
        let ejected = self.available(now).filter(|member| member.health.is_ejected()).count();
        (self.available(now).count(), ejected)
    }

    fn best_ejected(&self, now: Instant) -> Option<String> {
        self.available(now)
            .filter(|member| member.health.is_ejected())
            .min_by(|a, b| a.health.outlier_score().total_cmp(&b.health.outlier_score()))
            .map(|member| member.agent.name.clone())
    }

    fn return_to_service(&mut self, name: &str, reason: Reason) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.health.reset();
        self.decisions.push(Decision::Returned { agent: member.agent.clone(), reason });
    }

    /// Selects an upstream for a request: one that needs a probe, if there is one, else the less
    /// loaded of two random ones. `urgent_since` is the submission time of a request of the most
    /// urgent class; `avoid_agent` names the agent of the previous attempt, which is used only if
    /// there is no other.
    pub fn choose(
        &mut self,
        idempotent: bool,
        urgent_since: Option<Instant>,
        avoid_agent: Option<&str>,
        now: Instant,
    ) -> Option<Choice> {
        let interval = self.release_interval(urgent_since, now);
        let mut rng = self.rng.fork();
        let usable = |member: &&Member| {
            member.is_available(now, &self.settings) && self.has_connection(member, now, interval)
        };
        let probe = self.members.values().filter(usable).find(|member| {
            let HealthStage::Probing { since, .. } = member.health.stage else { return false };
            let accepts_request = idempotent || now >= since + IDEMPOTENT_PROBE_PERIOD;
            let has_slot = member.load(now, interval) < self.slot_limit;
            accepts_request
                && has_slot
                && member.own_attempts == 0
                && avoid_agent != Some(member.agent.name.as_str())
        });
        if let Some(member) = probe {
            return Some(Choice {
                agent: member.agent.clone(),
                probe: true,
                reason: Reason::Probe,
            });
        }
        let free = |member: &&Member| {
            !member.health.is_ejected() && member.load(now, interval) < self.slot_limit
        };
        let other_agent = |member: &&Member| avoid_agent != Some(member.agent.name.as_str());
        let candidates = || self.members.values().filter(usable).filter(free);
        let (a, b) = match sample_two(candidates().filter(other_agent), &mut rng) {
            (None, _) => sample_two(candidates(), &mut rng),
            pair => pair,
        };
        let choice = |member: &Member, reason| {
            Some(Choice { agent: member.agent.clone(), probe: false, reason })
        };
        let Some(b) = b else { return choice(a?, Reason::OnlyCandidate) };
        let a = a?;
        let less_loaded = if b.load(now, interval) < a.load(now, interval) { b } else { a };
        choice(less_loaded, Reason::LeastLoaded)
    }

    /// Returns the interval after which a slot of another entry is presumed free. `urgent_since` is
    /// the submission time of a waiting request of the most urgent class.
    fn release_interval(&self, urgent_since: Option<Instant>, now: Instant) -> Duration {
        let Some(submitted) = urgent_since else { return self.release_interval };
        let due = |(means, _): &&(u32, Duration)| submitted + self.release_interval * *means <= now;
        URGENT_RELEASE_INTERVALS
            .iter()
            .find(due)
            .map_or(self.release_interval, |(_, interval)| self.release_interval.min(*interval))
    }

    fn has_connection(&self, member: &Member, now: Instant, interval: Duration) -> bool {
        member.own_attempts + member.other_connections_at(now, interval) < self.connection_limit
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, agent: &AgentId) {
        if let Some(member) = self.members.get_mut(&agent.name) {
            member.own_attempts += 1;
        }
    }

    /// Records the end of an attempt and updates the health of the upstream.
    pub fn finish_attempt(&mut self, finished: &FinishedAttempt<'_>, now: Instant) {
        let (slot_limit, interval) = (self.slot_limit, self.release_interval);
        let Some(member) = self.members.get_mut(&finished.agent.name) else { return };
        member.own_attempts = member.own_attempts.saturating_sub(1);
        if member.agent.incarnation != finished.agent.incarnation {
            return;
        }
        let ratio = match finished.mean_service {
            Some(mean) if !mean.is_zero() => finished.elapsed.as_secs_f64() / mean.as_secs_f64(),
            _ => 1.0,
        };
        match finished.attempt_result {
            AttemptResult::Answered => {
                member.own_results += 1;
                member.health.record_success(ratio);
            }
            AttemptResult::Errored | AttemptResult::Unreachable | AttemptResult::Unknown => {
                member.own_results += 1;
                member.health.record_error(ratio);
                // The slot counts as used for the mean service time. Otherwise an upstream that
                // fails immediately would always seem idle and attract most requests.
                let mean = finished.mean_service.unwrap_or(interval);
                if finished.elapsed < mean {
                    member.error_penalties.push(now + (mean - finished.elapsed));
                }
            }
            AttemptResult::Full => {
                member.other_slots = slot_limit.saturating_sub(member.own_attempts);
                member.usage_updated = now;
                return;
            }
            AttemptResult::Leaving => {
                // This applies only until the next report: an upstream whose announcement expired
                // may return with the same incarnation.
                if std::mem::take(&mut member.serving) {
                    self.decisions.push(Decision::Leaving { agent: finished.agent.clone() });
                }
                return;
            }
            AttemptResult::Withdrawn => return,
        }
        if finished.probe {
            self.apply_probe_result(finished, ratio, now);
        } else {
            self.eject_if_outlier(&finished.agent.name, now);
        }
    }

    /// Ejects a healthy upstream if it is an outlier.
    fn eject_if_outlier(&mut self, name: &str, now: Instant) {
        let latency_limit = self.latency_limit(name, now);
        let usual_error_rate = self.lower_quartile(name, now, |member| member.health.error_rate);
        let healthy = |member: &&Member| member.health.stage == HealthStage::Healthy;
        let Some(member) = self.members.get(name).filter(healthy) else { return };
        if let Some(reason) =
            outlier_reason(member, latency_limit, usual_error_rate.unwrap_or(0.0), &self.settings)
        {
            self.eject(name, reason, now);
        }
    }

    /// Returns an upstream to service after the required number of successful probes, or ejects it
    /// again after a failed probe or slow probes.
    fn apply_probe_result(&mut self, finished: &FinishedAttempt<'_>, ratio: f64, now: Instant) {
        let name = &finished.agent.name;
        let latency_limit = self.latency_limit(name, now);
        let Some(member) = self.members.get_mut(name) else { return };
        let HealthStage::Probing { passed, latency_sum, .. } = &mut member.health.stage else {
            return;
        };
        if finished.attempt_result == AttemptResult::Answered {
            *passed += 1;
            *latency_sum += ratio;
            if *passed < self.settings.required_probes {
                return;
            }
            if *latency_sum / f64::from(*passed) <= latency_limit {
                self.return_to_service(name, Reason::PassedProbes);
                return;
            }
        }
        let length = member.health.eject(&self.settings, self.rng.f64(), now);
        let agent = member.agent.clone();
        self.decisions.push(Decision::Ejected { agent, length, reason: Reason::FailedProbe });
    }

    /// Returns the latency, as a multiple of the route's mean, above which an upstream is an
    /// outlier.
    fn latency_limit(&self, name: &str, now: Instant) -> f64 {
        let usual_ratio = self.lower_quartile(name, now, |member| member.health.latency_ratio);
        self.settings.slow_factor * usual_ratio.unwrap_or(1.0)
    }

    /// Ejects an upstream. If half of the pool is already ejected, the upstream must be clearly
    /// worse than the best ejected one, which returns to service in its place.
    fn eject(&mut self, name: &str, reason: Reason, now: Instant) {
        let (available, ejected) = self.count_available(now);
        if ejected + 1 > available / 2 {
            let Some(best) = self.best_ejected(now) else { return };
            let score_limit = self.members[&best].health.outlier_score() * EJECTION_SWAP_FACTOR;
            if self.members[name].health.outlier_score() <= score_limit {
                return;
            }
            self.return_to_service(&best, Reason::EjectionLimit);
        }
        let Some(member) = self.members.get_mut(name) else { return };
        let length = member.health.eject(&self.settings, self.rng.f64(), now);
        self.decisions.push(Decision::Ejected { agent: member.agent.clone(), length, reason });
    }

    /// Returns the lower quartile of `value` over the other upstreams in service. The median would
    /// hide outliers if more than half of the pool were faulty; the minimum varies too much.
    fn lower_quartile(&self, name: &str, now: Instant, value: fn(&Member) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self
            .available(now)
            .filter(|member| !member.health.is_ejected() && member.agent.name != name)
            .map(value)
            .collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 4).copied()
    }

    /// Returns the number of slots that this entry can expect to use: the slots of all upstreams in
    /// service, less the mean number used by other entries. Refused attempts do not affect the
    /// mean, because they occur when other entries use the most slots.
    pub fn capacity(&self, now: Instant) -> f64 {
        let (mut capacity, mut any_available) = (0.0, false);
        for member in self.available(now) {
            any_available = true;
            if !member.health.is_ejected() {
                capacity += (f64::from(self.slot_limit) - member.mean_usage).max(0.0);
            }
        }
        // Other entries may use every slot at the moment, but this entry will obtain one later.
        if any_available && self.slot_limit > 0 { capacity.max(1.0) } else { 0.0 }
    }

    /// Returns the estimated number of free slots.
    pub fn free_slots(&self, now: Instant) -> u32 {
        self.available(now)
            .filter(|member| {
                self.has_connection(member, now, self.release_interval)
                    && !member.health.is_ejected()
            })
            .map(|member| self.slot_limit.saturating_sub(member.load(now, self.release_interval)))
            .sum()
    }

    /// Returns the next time at which `apply_timeouts` has an effect or, while requests wait, at
    /// which a slot is presumed free or a probe with any request is allowed.
    pub fn next_wake(
        &self,
        waiting: bool,
        urgent_since: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        let interval = self.release_interval(urgent_since, now);
        let times = self.members.values().flat_map(|member| {
            let silent = member.session_open.then(|| member.report_deadline(&self.settings));
            let ejected = match member.health.stage {
                HealthStage::Ejected { until } => Some(until),
                HealthStage::Probing { since, .. } if waiting => {
                    Some(since + IDEMPOTENT_PROBE_PERIOD)
                }
                _ => None,
            };
            let release = member.next_presumed_release(now, interval).filter(|_| waiting);
            let penalty = member.error_penalties.iter().min().copied().filter(|_| waiting);
            [silent, ejected, release, penalty]
        });
        let interval_changes = urgent_since.iter().flat_map(|submitted| {
            URGENT_RELEASE_INTERVALS
                .iter()
                .map(|(means, _)| *submitted + self.release_interval * *means)
        });
        times.flatten().chain(interval_changes).filter(|time| *time > now).min()
    }
}

/// Returns the reason for ejecting a healthy upstream, or `None` if it is no outlier. Errors count
/// only if the error rate is at least twice `usual_error_rate`, so that requests that fail on every
/// upstream cause no ejections.
fn outlier_reason(
    member: &Member,
    latency_limit: f64,
    usual_error_rate: f64,
    settings: &RoutingSettings,
) -> Option<Reason> {
    let health = &member.health;
    let above_usual = health.error_rate >= 2.0 * usual_error_rate;
    // If requests fail on every upstream, long series of errors occur by chance: at a usual error
    // rate of 20 % and 1,700 requests per second, five consecutive errors occur about every two
    // seconds, nine about every half hour.
    let error_limit = f64::from(settings.max_errors) * (1.0 + 4.0 * usual_error_rate);
    if f64::from(health.consecutive_errors) >= error_limit && above_usual {
        return Some(Reason::ConsecutiveErrors);
    }
    if health.samples < settings.min_samples {
        return None;
    }
    if health.error_rate > settings.outlier_rate && above_usual {
        return Some(Reason::ErrorRate);
    }
    (health.latency_ratio > latency_limit).then_some(Reason::HighLatency)
}

/// Selects up to two distinct items at random in one pass (reservoir sampling).
fn sample_two<T>(items: impl Iterator<Item = T>, rng: &mut Rng) -> (Option<T>, Option<T>) {
    let (mut first, mut second) = (None, None);
    for (index, item) in items.enumerate() {
        match (index, rng.usize(0..=index)) {
            (0, _) => first = Some(item),
            (1, 0) => second = first.replace(item),
            (1, _) => second = Some(item),
            (_, 0) => first = Some(item),
            (_, 1) => second = Some(item),
            _ => {}
        }
    }
    (first, second)
}
