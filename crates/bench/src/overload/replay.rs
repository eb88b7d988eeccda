use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_routing::AttemptResult;

use super::{Action, KindScore, Policy, Scenario, Score};

/// Interval between two reports of an agent.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request arrives at an entry.
    Arrive,
    /// An attempt is delivered to an agent.
    Deliver { id: u64, attempt: u32, upstream: usize },
    /// An attempt ends on its upstream.
    Finish { id: u64, attempt: u32, upstream: usize },
    /// The result of an attempt is delivered to the entry.
    Reply { id: u64, attempt: u32, result: AttemptOutcome },
    /// An agent sends a report to all entries.
    Report { upstream: usize },
    /// An entry polls its policy.
    Wake { entry: usize },
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum AttemptOutcome {
    Answered,
    Errored,
    Full,
    Unreachable,
    Lost,
}

struct Request {
    entry: usize,
    kind: usize,
    team: usize,
    arrival: Duration,
    service: Duration,
    attempts: u32,
}

/// Replays a scenario; `policy` creates the policy of the entry with the given index.
pub fn replay(scenario: &Scenario, policy: impl Fn(usize, Instant) -> Box<dyn Policy>) -> Score {
    Replay::new(scenario, policy).run()
}

struct Replay<'a> {
    scenario: &'a Scenario,
    origin: Instant,
    now: Duration,
    entries: Vec<Box<dyn Policy>>,
    /// Time of the planned wake event of each entry.
    planned_wakes: Vec<Option<Duration>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of scheduled events; orders events of the same time.
    event_sequence: u64,
    slots_used: Vec<u32>,
    requests: HashMap<u64, Request>,
    request_count: u64,
    rng: Rng,
    score: Score,
    /// Service time of the counted requests that were answered on time.
    timely_service: Duration,
    /// Counted requests of each team: submitted, and answered on time.
    team_counts: Vec<(u64, u64)>,
    attempt_count: u64,
    full_count: u64,
    first_attempts: u64,
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, policy: impl Fn(usize, Instant) -> Box<dyn Policy>) -> Self {
        let origin = Instant::now();
        let kinds = scenario.kinds.iter();
        let kind_scores = kinds.map(|kind| KindScore { name: kind.name, ..KindScore::default() });
        Self {
            scenario,
            origin,
            now: Duration::ZERO,
            entries: (0..scenario.entry_weights.len()).map(|entry| policy(entry, origin)).collect(),
            planned_wakes: vec![None; scenario.entry_weights.len()],
            events: BinaryHeap::new(),
            event_sequence: 0,
            slots_used: vec![0; scenario.upstreams],
            requests: HashMap::new(),
            request_count: 0,
            rng: Rng::with_seed(scenario.seed),
            score: Score { kinds: kind_scores.collect(), ..Score::default() },
            timely_service: Duration::ZERO,
            team_counts: vec![(0, 0); scenario.teams.len()],
            attempt_count: 0,
            full_count: 0,
            first_attempts: 0,
        }
    }

    fn run(mut self) -> Score {
        self.schedule(Duration::ZERO, Event::Arrive);
        for upstream in 0..self.scenario.upstreams {
            // The first reports of the agents are spread evenly over the interval.
            let first = REPORT_INTERVAL.mul_f64(upstream as f64 / self.scenario.upstreams as f64);
            self.schedule(first, Event::Report { upstream });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.apply(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Score {
        let measured_secs = (self.scenario.arrival_period - self.scenario.warmup).as_secs_f64();
        let slots = self.scenario.upstreams as f64 * f64::from(self.scenario.slots);
        let on_time: u64 = self.score.kinds.iter().map(|kind_score| kind_score.on_time).sum();
        self.score.goodput = self.timely_service.as_secs_f64() / measured_secs / slots;
        self.score.timely_rate = on_time as f64 / measured_secs;
        self.score.full_share = self.full_count as f64 / self.attempt_count.max(1) as f64;
        let retries = self.attempt_count
            - self.full_count
            - self.first_attempts.min(self.attempt_count - self.full_count);
        self.score.retry_ratio = retries as f64 / self.first_attempts.max(1) as f64;
        let share = |(offered, on_time): &(u64, u64)| *on_time as f64 / (*offered).max(1) as f64;
        self.score.team_shares = self.team_counts.iter().map(share).collect();
        self.score
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((self.now + after, self.event_sequence, event)));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver { id, attempt, upstream } => self.deliver(id, attempt, upstream),
            Event::Finish { id, attempt, upstream } => {
                self.slots_used[upstream] -= 1;
                let result = if self.is_lost(upstream) {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::Answered
                };
                self.schedule(self.scenario.network_delay, Event::Reply { id, attempt, result });
            }
            Event::Reply { id, attempt, result } => self.reply(id, attempt, result),
            Event::Report { upstream } => self.report(upstream),
            Event::Wake { entry } => {
                if self.planned_wakes[entry] == Some(self.now) {
                    self.planned_wakes[entry] = None;
                }
                self.poll(entry);
            }
        }
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn is_lost(&self, upstream: usize) -> bool {
        upstream < self.scenario.lost_upstreams && self.now >= self.scenario.arrival_period / 2
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.scenario.rate();
        if self.now < self.scenario.arrival_period {
            self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        }
        self.request_count += 1;
        let id = self.request_count;
        let kinds = &self.scenario.kinds;
        let rates = kinds.iter().map(|kind| kind.work_share / kind.mean_service.as_secs_f64());
        let kind = weighted_index(rates, self.rng.f64());
        let team = weighted_index(self.scenario.teams.iter().map(|team| team.1), self.rng.f64());
        let mean = kinds[kind].mean_service.as_secs_f64();
        let entry = weighted_index(self.scenario.entry_weights.iter().copied(), self.rng.f64());
        let service = Duration::from_secs_f64(mean * self.lognormal());
        let request = Request { entry, kind, team, arrival: self.now, service, attempts: 0 };
        let measured = request.arrival >= self.scenario.warmup;
        self.requests.insert(id, request);
        if measured {
            self.score.kinds[kind].offered += 1;
            self.team_counts[team].0 += 1;
        }
        let now = self.instant();
        if !self.entries[entry].submit(id, kind, team, now) {
            self.requests.remove(&id);
            self.score.kinds[kind].refused += u64::from(measured);
        }
        self.poll(entry);
    }

    /// Returns a log-normally distributed factor with mean 1. It is at most 10 because declared
    /// sizes are wrong by at most that factor.
    fn lognormal(&mut self) -> f64 {
        let sigma = self.scenario.service_sigma;
        let (first_uniform, second_uniform) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal =
            (-2.0 * first_uniform.ln()).sqrt() * (std::f64::consts::TAU * second_uniform).cos();
        (sigma * normal - sigma * sigma / 2.0).exp().min(10.0)
    }

    fn deliver(&mut self, id: u64, attempt: u32, upstream: usize) {
        let lost = self.is_lost(upstream);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let delay = self.scenario.network_delay;
        self.attempt_count += 1;
        let result = if lost {
            AttemptOutcome::Unreachable
        } else if self.scenario.failing_upstream == Some(upstream) {
            AttemptOutcome::Errored
        } else if self.slots_used[upstream] >= self.scenario.slots {
            self.full_count += 1;
            self.score.kinds[request.kind].full_attempts += 1;
            self.schedule(delay, Event::Reply { id, attempt, result: AttemptOutcome::Full });
            return;
        } else {
            self.slots_used[upstream] += 1;
            self.score.peak_slots = self.score.peak_slots.max(self.slots_used[upstream]);
            AttemptOutcome::Answered
        };
        request.attempts += 1;
        self.first_attempts += u64::from(request.attempts == 1);
        let service = request.service;
        match result {
            AttemptOutcome::Answered => {
                self.schedule(service, Event::Finish { id, attempt, upstream })
            }
            result => self.schedule(delay, Event::Reply { id, attempt, result }),
        }
    }

    fn reply(&mut self, id: u64, attempt: u32, result: AttemptOutcome) {
        let Some(request) = self.requests.get(&id) else { return };
        let (entry, kind, team) = (request.entry, request.kind, request.team);
        let measured = request.arrival >= self.scenario.warmup;
        let late = self.now > request.arrival + self.scenario.kinds[kind].deadline;
        let service = request.service;
        let now = self.instant();
        let attempt_result = match result {
            AttemptOutcome::Answered => AttemptResult::Answered,
            AttemptOutcome::Errored => AttemptResult::Errored,
            AttemptOutcome::Full => AttemptResult::Full,
            AttemptOutcome::Unreachable => AttemptResult::Unreachable,
            AttemptOutcome::Lost => AttemptResult::Unknown,
        };
        if self.entries[entry].on_result(id, attempt, attempt_result, now) {
            self.requests.remove(&id);
        }
        if result == AttemptOutcome::Answered && measured {
            let kind_score = &mut self.score.kinds[kind];
            kind_score.late += u64::from(late);
            kind_score.on_time += u64::from(!late);
            if !late {
                self.timely_service += service;
                self.team_counts[team].1 += 1;
            }
        }
        self.poll(entry);
    }

    fn report(&mut self, upstream: usize) {
        if self.is_lost(upstream) {
            return;
        }
        let now = self.instant();
        for entry in 0..self.entries.len() {
            self.entries[entry].on_report(upstream, self.slots_used[upstream], now);
            self.poll(entry);
        }
        if self.now < self.scenario.arrival_period || !self.requests.is_empty() {
            self.schedule(REPORT_INTERVAL, Event::Report { upstream });
        }
    }

    fn poll(&mut self, entry: usize) {
        let now = self.instant();
        for action in self.entries[entry].poll(now) {
            match action {
                Action::Dispatch { id, attempt, upstream } => {
                    self.schedule(
                        self.scenario.network_delay,
                        Event::Deliver { id, attempt, upstream },
                    );
                }
                Action::Refuse { id } => {
                    let Some(request) = self.requests.remove(&id) else { continue };
                    if request.arrival >= self.scenario.warmup {
                        let kind_score = &mut self.score.kinds[request.kind];
                        kind_score.expired += 1;
                        kind_score.expired_wait += self.now - request.arrival;
                    }
                }
            }
        }
        let Some(wake) = self.entries[entry].next_wake(now) else { return };
        let wake = wake - self.origin;
        let active = self.now < self.scenario.arrival_period || !self.requests.is_empty();
        if active && self.planned_wakes[entry].is_none_or(|planned| wake < planned) {
            self.planned_wakes[entry] = Some(wake);
            self.schedule(wake - self.now, Event::Wake { entry });
        }
    }
}

/// Returns the index of the weight that covers the position `fraction` (0 to 1) of the sum of all
/// weights.
fn weighted_index(weights: impl Iterator<Item = f64> + Clone, fraction: f64) -> usize {
    let mut remaining = fraction * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        remaining -= weight;
        if remaining < 0.0 {
            break;
        }
    }
    last
}
