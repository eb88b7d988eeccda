use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_types::AgentId;

use crate::health::HealthStage;
use crate::member::Member;
use crate::{AttemptResult, Decision, Hello, Reason, Report, RoutingSettings};

/// Shortest time after which a slot of another entry is presumed free.
const HOLD_MIN: Duration = Duration::from_millis(10);
/// The same for the most urgent class, by how many mean services its first request has waited. 5 ms
/// is little more than a round trip between failure domains (3 ms); 1 ms finds every slot before
/// another entry refills it with less urgent work, at the price of more refused attempts.
const URGENT_HOLDS: [(u32, Duration); 2] =
    [(4, Duration::from_millis(1)), (1, Duration::from_millis(5))];
/// After this long a probe may also be a request that is not idempotent.
const PROBE_PATIENCE: Duration = Duration::from_secs(5);
/// How much worse than an ejected upstream another one must be to take its place.
const SWAP_FACTOR: f64 = 1.5;

/// The upstreams of one pool: membership, choice and ejection.
#[derive(Debug)]
pub(crate) struct Members {
    pub members: BTreeMap<String, Member>,
    settings: Arc<RoutingSettings>,
    rng: Rng,
    /// Decisions that `take_events` has not returned yet.
    events: Vec<Decision>,
    /// Limit per upstream: the lower one of slots and connections.
    limit: u32,
    connections: u32,
    hold: Duration,
}

/// An upstream that was chosen for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub agent: AgentId,
    pub probe: bool,
    pub reason: Reason,
}

/// The end of an attempt, as its upstream is judged by it.
pub(crate) struct Ended<'a> {
    pub agent: &'a AgentId,
    pub attempt: AttemptResult,
    pub elapsed: Duration,
    /// Mean service of the route, if known.
    pub expected: Option<Duration>,
    pub probe: bool,
}

impl Members {
    /// Returns a pool without upstreams and slots.
    pub fn new(settings: &Arc<RoutingSettings>, rng: Rng) -> Self {
        Self {
            members: BTreeMap::new(),
            settings: settings.clone(),
            rng,
            events: Vec::new(),
            limit: 0,
            connections: 0,
            hold: HOLD_MIN,
        }
    }

    /// Returns the decisions about upstreams since the last call.
    pub fn take_events(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.events)
    }

    /// Sets the limits of one upstream and the mean service, after which others' slots are presumed
    /// free again.
    pub fn set_limits(&mut self, slots: u32, connections: u32) {
        self.limit = slots.min(connections);
        self.connections = connections;
    }

    /// Sets the mean service of the pool.
    pub fn set_mean(&mut self, mean: Duration) {
        self.hold = mean.max(HOLD_MIN);
    }

    /// Opens a session; returns false if it is older than a known one.
    pub fn hello(&mut self, hello: &Hello, now: Instant) -> bool {
        if let Some(member) = self.members.get_mut(&hello.agent.name) {
            return member.rejoin(hello, now);
        }
        self.members.insert(hello.agent.name.clone(), Member::new(hello, now));
        true
    }

    /// Applies a report of a session.
    pub fn report(&mut self, agent: &AgentId, session: u64, report: &Report, now: Instant) -> bool {
        let silence = self.settings.report_timeout;
        let Some(member) = self.current(agent) else { return false };
        if member.session != session {
            return false;
        }
        let (before, upstream, open) = (member.serving, member.upstream, member.open);
        if !member.report(report, now, silence) {
            return false;
        }
        let stopped = before && !member.serving;
        if upstream != 0 && member.upstream > upstream && member.health.is_out() {
            // A restarted upstream need not wait for the end of the ejection.
            member.health.probe(now);
        }
        if !open {
            self.events.push(Decision::Joined { agent: agent.clone() });
        }
        if stopped {
            self.events.push(Decision::Leaving { agent: agent.clone() });
        }
        self.judge(&agent.name, now);
        true
    }

    /// Marks an agent's upstream as leaving.
    pub fn leaving(&mut self, agent: &AgentId) -> bool {
        let Some(member) = self.current(agent) else { return false };
        if member.leave() {
            self.events.push(Decision::Leaving { agent: agent.clone() });
        }
        true
    }

    /// Closes a session.
    pub fn close(&mut self, agent: &AgentId, session: u64) -> bool {
        let Some(member) = self.current(agent) else { return false };
        if member.session != session {
            return false;
        }
        member.open = false;
        member.silent = false;
        member.serving = false;
        true
    }

    fn current(&mut self, agent: &AgentId) -> Option<&mut Member> {
        self.members
            .get_mut(&agent.name)
            .filter(|member| member.agent.incarnation == agent.incarnation)
    }

    /// Applies time-outs: silent sessions, ends of ejections, forgotten members.
    pub fn tick(&mut self, now: Instant) {
        for member in self.members.values_mut() {
            member.penalties.retain(|end| *end > now);
            if member.open && now >= member.silent_at(&self.settings) {
                member.open = false;
                member.silent = true;
                member.serving = false;
                let agent = member.agent.clone();
                self.events.push(Decision::Silent { agent, session: member.session });
            }
            if let HealthStage::Ejected { until } = member.health.stage
                && until <= now
            {
                member.health.probe(now);
            }
        }
        self.members.retain(|_, member| {
            member.open || member.own > 0 || now < member.heard + self.settings.member_retention
        });
        self.keep_floor(now);
    }

    /// Returns ejected upstreams to service, the best first, while more than half are out.
    fn keep_floor(&mut self, now: Instant) {
        loop {
            let (present, out) = self.count(now);
            if out <= present / 2 {
                return;
            }
            let Some(name) = self.best_out(now) else { return };
            self.restore(&name, Reason::EjectionLimit);
        }
    }

    fn present(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_present(now, &self.settings))
    }

    /// Returns how many upstreams are present and how many of them are ejected or on probation.
    fn count(&self, now: Instant) -> (usize, usize) {
        let out = self.present(now).filter(|member| member.health.is_out()).count();
        (self.present(now).count(), out)
    }

    fn best_out(&self, now: Instant) -> Option<String> {
        self.present(now)
            .filter(|member| member.health.is_out())
            .min_by(|a, b| a.health.badness().total_cmp(&b.health.badness()))
            .map(|member| member.agent.name.clone())
    }

    fn restore(&mut self, name: &str, reason: Reason) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.health.restore();
        self.events.push(Decision::Returned { agent: member.agent.clone(), reason });
    }

    /// Chooses an upstream for a request: a probe if one is due, else the less loaded of two random
    /// ones. `urgent` is when a request of the most urgent class was submitted; `avoid` names the
    /// agent of the last failed attempt.
    pub fn choose(
        &mut self,
        idempotent: bool,
        urgent: Option<Instant>,
        avoid: Option<&str>,
        now: Instant,
    ) -> Option<Choice> {
        let hold = self.hold(urgent, now);
        let mut rng = self.rng.fork();
        let usable = |member: &&Member| {
            member.is_present(now, &self.settings) && self.has_connection(member, now, hold)
        };
        let probe = self.members.values().filter(usable).find(|member| {
            let HealthStage::Probing { since, .. } = member.health.stage else { return false };
            let suits = idempotent || now >= since + PROBE_PATIENCE;
            let room = member.load(now, hold) < self.limit;
            suits && room && member.own == 0 && avoid != Some(member.agent.name.as_str())
        });
        if let Some(member) = probe {
            return Some(Choice {
                agent: member.agent.clone(),
                probe: true,
                reason: Reason::Probe,
            });
        }
        let free =
            |member: &&Member| !member.health.is_out() && member.load(now, hold) < self.limit;
        let others = |member: &&Member| avoid != Some(member.agent.name.as_str());
        let candidates = || self.members.values().filter(usable).filter(free);
        let (a, b) = match sample(candidates().filter(others), &mut rng) {
            (None, _) => sample(candidates(), &mut rng),
            pair => pair,
        };
        let chosen = |member: &Member, reason| {
            Some(Choice { agent: member.agent.clone(), probe: false, reason })
        };
        let Some(b) = b else { return chosen(a?, Reason::OnlyCandidate) };
        let a = a?;
        let best = if b.load(now, hold) < a.load(now, hold) { b } else { a };
        chosen(best, Reason::LeastLoaded)
    }

    /// Returns the time after which a slot of another entry is presumed free. `urgent` is when a
    /// waiting request of the most urgent class was submitted.
    fn hold(&self, urgent: Option<Instant>, now: Instant) -> Duration {
        let Some(submitted) = urgent else { return self.hold };
        let due = |(means, _): &&(u32, Duration)| submitted + self.hold * *means <= now;
        URGENT_HOLDS.iter().find(due).map_or(self.hold, |(_, hold)| self.hold.min(*hold))
    }

    fn has_connection(&self, member: &Member, now: Instant, hold: Duration) -> bool {
        member.own + member.other_connections_at(now, hold) < self.connections
    }

    /// Counts a dispatched attempt.
    pub fn start(&mut self, agent: &AgentId) {
        if let Some(member) = self.members.get_mut(&agent.name) {
            member.own += 1;
        }
    }

    /// Counts the end of an attempt and judges the upstream by it.
    pub fn finish(&mut self, ended: &Ended<'_>, now: Instant) {
        let (limit, hold) = (self.limit, self.hold);
        let Some(member) = self.members.get_mut(&ended.agent.name) else { return };
        member.own = member.own.saturating_sub(1);
        if member.agent.incarnation != ended.agent.incarnation {
            return;
        }
        let ratio = match ended.expected {
            Some(mean) if !mean.is_zero() => ended.elapsed.as_secs_f64() / mean.as_secs_f64(),
            _ => 1.0,
        };
        match ended.attempt {
            AttemptResult::Answered => {
                member.results += 1;
                member.health.succeed(ratio);
            }
            AttemptResult::Errored | AttemptResult::Unreachable | AttemptResult::Unknown => {
                member.results += 1;
                member.health.fail(ratio);
                // The slot stays charged for the mean service, or an upstream that fails at once
                // would always look idle and attract the work.
                let mean = ended.expected.unwrap_or(hold);
                if ended.elapsed < mean {
                    member.penalties.push(now + (mean - ended.elapsed));
                }
            }
            AttemptResult::Full => {
                member.others = limit.saturating_sub(member.own);
                member.seen = now;
                return;
            }
            AttemptResult::Leaving => {
                // Until the next report only: an upstream whose announcement expired may come back
                // with the same incarnation.
                if std::mem::take(&mut member.serving) {
                    self.events.push(Decision::Leaving { agent: ended.agent.clone() });
                }
                return;
            }
            AttemptResult::Withdrawn => return,
        }
        if ended.probe {
            self.judge_probe(ended, ratio, now);
        } else {
            self.judge(&ended.agent.name, now);
        }
    }

    /// Ejects a healthy upstream if it is an outlier.
    fn judge(&mut self, name: &str, now: Instant) {
        let slow = self.slow_limit(name, now);
        let errors = self.usual(name, now, |member| member.health.errors);
        let healthy = |member: &&Member| member.health.stage == HealthStage::Healthy;
        let Some(member) = self.members.get(name).filter(healthy) else { return };
        if let Some(reason) = outlier(member, slow, errors.unwrap_or(0.0), &self.settings) {
            self.eject(name, reason, now);
        }
    }

    /// Returns an upstream to service after enough good probes, or ejects it again.
    fn judge_probe(&mut self, ended: &Ended<'_>, ratio: f64, now: Instant) {
        let name = &ended.agent.name;
        let slow = self.slow_limit(name, now);
        let Some(member) = self.members.get_mut(name) else { return };
        let HealthStage::Probing { passed, latency, .. } = &mut member.health.stage else { return };
        if ended.attempt == AttemptResult::Answered {
            *passed += 1;
            *latency += ratio;
            if *passed < self.settings.required_probes {
                return;
            }
            if *latency / f64::from(*passed) <= slow {
                self.restore(name, Reason::PassedProbes);
                return;
            }
        }
        let length = member.health.eject(&self.settings, self.rng.f64(), now);
        let agent = member.agent.clone();
        self.events.push(Decision::Ejected { agent, length, reason: Reason::FailedProbe });
    }

    /// Returns the latency, as a multiple of the route's mean, above which an upstream is slow.
    fn slow_limit(&self, name: &str, now: Instant) -> f64 {
        let usual = self.usual(name, now, |member| member.health.latency);
        self.settings.slow_factor * usual.unwrap_or(1.0)
    }

    /// Ejects an upstream unless half of the pool is out; then it has to be clearly worse than the
    /// best ejected one, which returns in its place.
    fn eject(&mut self, name: &str, reason: Reason, now: Instant) {
        let (present, out) = self.count(now);
        if out + 1 > present / 2 {
            let Some(best) = self.best_out(now) else { return };
            let limit = self.members[&best].health.badness() * SWAP_FACTOR;
            if self.members[name].health.badness() <= limit {
                return;
            }
            self.restore(&best, Reason::EjectionLimit);
        }
        let Some(member) = self.members.get_mut(name) else { return };
        let length = member.health.eject(&self.settings, self.rng.f64(), now);
        self.events.push(Decision::Ejected { agent: member.agent.clone(), length, reason });
    }

    /// Returns the lower quartile of `value` over the other upstreams in use. The median would hide
    /// the outliers when more than half of the pool is bad; the minimum varies too much.
    fn usual(&self, name: &str, now: Instant, value: fn(&Member) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self
            .present(now)
            .filter(|member| !member.health.is_out() && member.agent.name != name)
            .map(value)
            .collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 4).copied()
    }

    /// Returns the slots that this entry can expect to use: those of all upstreams in use without
    /// those that others usually hold. Corrections by refused attempts do not count: they come when
    /// others hold most.
    pub fn capacity(&self, now: Instant) -> f64 {
        let (mut sum, mut any) = (0.0, false);
        for member in self.present(now) {
            any = true;
            if !member.health.is_out() {
                sum += (f64::from(self.limit) - member.usual_others).max(0.0);
            }
        }
        // Others may hold every slot for the moment; this entry will still get its turn.
        if any && self.limit > 0 { sum.max(1.0) } else { 0.0 }
    }

    /// Returns the slots that are free as far as this entry knows.
    pub fn free(&self, now: Instant) -> u32 {
        self.present(now)
            .filter(|member| self.has_connection(member, now, self.hold) && !member.health.is_out())
            .map(|member| self.limit.saturating_sub(member.load(now, self.hold)))
            .sum()
    }

    /// Returns when `tick` has something to do, or, while requests wait, when a slot may be
    /// presumed free.
    pub fn next_wake(
        &self,
        waiting: bool,
        urgent: Option<Instant>,
        now: Instant,
    ) -> Option<Instant> {
        let hold = self.hold(urgent, now);
        let times = self.members.values().flat_map(|member| {
            let silent = member.open.then(|| member.silent_at(&self.settings));
            let ejected = match member.health.stage {
                HealthStage::Ejected { until } => Some(until),
                HealthStage::Probing { since, .. } if waiting => Some(since + PROBE_PATIENCE),
                _ => None,
            };
            let aged = member.next_step(now, hold).filter(|_| waiting);
            let penalty = member.penalties.iter().min().copied().filter(|_| waiting);
            [silent, ejected, aged, penalty]
        });
        let paces = urgent.iter().flat_map(|submitted| {
            URGENT_HOLDS.iter().map(|(means, _)| *submitted + self.hold * *means)
        });
        times.flatten().chain(paces).filter(|time| *time > now).min()
    }
}

/// Returns why a healthy upstream should be ejected, if it should. Errors count only if they are
/// well above the `usual` rate, so that requests that fail everywhere eject nothing.
fn outlier(member: &Member, slow: f64, usual: f64, settings: &RoutingSettings) -> Option<Reason> {
    let health = &member.health;
    let stands_out = health.errors >= 2.0 * usual;
    // Runs of errors get longer by chance when requests fail everywhere: at a usual rate of 20 %,
    // five in a row come about every two seconds at 1,700 requests a second, nine every half hour.
    let streak = f64::from(settings.max_consecutive_errors) * (1.0 + 4.0 * usual);
    if f64::from(health.streak) >= streak && stands_out {
        return Some(Reason::ConsecutiveErrors);
    }
    if health.samples < settings.min_samples {
        return None;
    }
    if health.errors > settings.max_error_rate && stands_out {
        return Some(Reason::ErrorRate);
    }
    (health.latency > slow).then_some(Reason::HighLatency)
}

/// Draws up to two different items at random.
fn sample<T>(items: impl Iterator<Item = T>, rng: &mut Rng) -> (Option<T>, Option<T>) {
    let (mut first, mut second) = (None, None);
    for (seen, item) in items.enumerate() {
        match (seen, rng.usize(0..=seen)) {
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
