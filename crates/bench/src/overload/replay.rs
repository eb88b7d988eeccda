use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_routing::AttemptResult;

use super::{Act, ClassScore, Policy, Scenario, Score};

/// Interval of the agents' reports.
const REPORT: Duration = Duration::from_secs(1);

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    /// An attempt reaches an agent.
    Reach {
        id: u64,
        attempt: u32,
        upstream: usize,
    },
    /// An attempt ends on its upstream.
    Finish {
        id: u64,
        attempt: u32,
        upstream: usize,
    },
    /// A result reaches the entry.
    Reply {
        id: u64,
        attempt: u32,
        result: Verdict,
    },
    Report {
        upstream: usize,
    },
    Wake {
        entry: usize,
    },
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Verdict {
    Answered,
    Errored,
    Full,
    Unreachable,
    Lost,
}

struct Job {
    entry: usize,
    kind: usize,
    team: usize,
    at: Duration,
    service: Duration,
    attempts: u32,
}

/// Replays a scenario; `policy` makes the routing of each entry.
pub fn replay(scenario: &Scenario, policy: impl Fn(usize, Instant) -> Box<dyn Policy>) -> Score {
    Replay::new(scenario, policy).run()
}

struct Replay<'a> {
    scenario: &'a Scenario,
    origin: Instant,
    now: Duration,
    entries: Vec<Box<dyn Policy>>,
    wakes: Vec<Option<Duration>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    scheduled: u64,
    used: Vec<u32>,
    jobs: HashMap<u64, Job>,
    arrivals: u64,
    rng: Rng,
    score: Score,
    on_time: Duration,
    team_counts: Vec<(u64, u64)>,
    attempts: u64,
    fulls: u64,
    firsts: u64,
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, policy: impl Fn(usize, Instant) -> Box<dyn Policy>) -> Self {
        let origin = Instant::now();
        let classes = scenario.kinds.iter();
        let classes = classes.map(|kind| ClassScore { name: kind.name, ..ClassScore::default() });
        Self {
            scenario,
            origin,
            now: Duration::ZERO,
            entries: (0..scenario.entries.len()).map(|entry| policy(entry, origin)).collect(),
            wakes: vec![None; scenario.entries.len()],
            events: BinaryHeap::new(),
            scheduled: 0,
            used: vec![0; scenario.upstreams],
            jobs: HashMap::new(),
            arrivals: 0,
            rng: Rng::with_seed(scenario.seed),
            score: Score { classes: classes.collect(), ..Score::default() },
            on_time: Duration::ZERO,
            team_counts: vec![(0, 0); scenario.teams.len()],
            attempts: 0,
            fulls: 0,
            firsts: 0,
        }
    }

    fn run(mut self) -> Score {
        self.schedule(Duration::ZERO, Event::Arrive);
        for upstream in 0..self.scenario.upstreams {
            // Reports are spread over the interval.
            let first = REPORT.mul_f64(upstream as f64 / self.scenario.upstreams as f64);
            self.schedule(first, Event::Report { upstream });
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.apply(event);
        }
        self.finish()
    }

    fn finish(mut self) -> Score {
        let counted = (self.scenario.length - self.scenario.warmup).as_secs_f64();
        let slots = self.scenario.upstreams as f64 * f64::from(self.scenario.slots);
        let on_time: u64 = self.score.classes.iter().map(|class| class.on_time).sum();
        self.score.useful = self.on_time.as_secs_f64() / counted / slots;
        self.score.rate = on_time as f64 / counted;
        self.score.full = self.fulls as f64 / self.attempts.max(1) as f64;
        let extra = self.attempts - self.fulls - self.firsts.min(self.attempts - self.fulls);
        self.score.retries = extra as f64 / self.firsts.max(1) as f64;
        let share = |(offered, on_time): &(u64, u64)| *on_time as f64 / (*offered).max(1) as f64;
        self.score.teams = self.team_counts.iter().map(share).collect();
        self.score
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + after, self.scheduled, event)));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { id, attempt, upstream } => self.reach(id, attempt, upstream),
            Event::Finish { id, attempt, upstream } => {
                self.used[upstream] -= 1;
                let result = if self.gone(upstream) { Verdict::Lost } else { Verdict::Answered };
                self.schedule(self.scenario.delay, Event::Reply { id, attempt, result });
            }
            Event::Reply { id, attempt, result } => self.reply(id, attempt, result),
            Event::Report { upstream } => self.report(upstream),
            Event::Wake { entry } => {
                if self.wakes[entry] == Some(self.now) {
                    self.wakes[entry] = None;
                }
                self.poll(entry);
            }
        }
    }

    fn instant(&self) -> Instant {
        self.origin + self.now
    }

    fn gone(&self, upstream: usize) -> bool {
        upstream < self.scenario.vanish && self.now >= self.scenario.length / 2
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.f64()).ln() / self.scenario.rate();
        if self.now < self.scenario.length {
            self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
        }
        self.arrivals += 1;
        let id = self.arrivals;
        let kinds = &self.scenario.kinds;
        let rates = kinds.iter().map(|kind| kind.share / kind.mean.as_secs_f64());
        let kind = pick(rates, self.rng.f64());
        let team = pick(self.scenario.teams.iter().map(|team| team.1), self.rng.f64());
        let mean = kinds[kind].mean.as_secs_f64();
        let entry = pick(self.scenario.entries.iter().copied(), self.rng.f64());
        let service = Duration::from_secs_f64(mean * self.lognormal());
        let job = Job { entry, kind, team, at: self.now, service, attempts: 0 };
        let counts = job.at >= self.scenario.warmup;
        self.jobs.insert(id, job);
        if counts {
            self.score.classes[kind].offered += 1;
            self.team_counts[team].0 += 1;
        }
        let now = self.instant();
        if !self.entries[entry].submit(id, kind, team, now) {
            self.jobs.remove(&id);
            self.score.classes[kind].refused += u64::from(counts);
        }
        self.poll(entry);
    }

    /// Returns a value with mean 1, cut at 10 as declared sizes are off by at most that factor.
    fn lognormal(&mut self) -> f64 {
        let spread = self.scenario.spread;
        let (a, b) = (1.0 - self.rng.f64(), self.rng.f64());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        (spread * normal - spread * spread / 2.0).exp().min(10.0)
    }

    fn reach(&mut self, id: u64, attempt: u32, upstream: usize) {
        let gone = self.gone(upstream);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let delay = self.scenario.delay;
        self.attempts += 1;
        let result = if gone {
            Verdict::Unreachable
        } else if self.scenario.broken == Some(upstream) {
            Verdict::Errored
        } else if self.used[upstream] >= self.scenario.slots {
            self.fulls += 1;
            self.score.classes[job.kind].full += 1;
            self.schedule(delay, Event::Reply { id, attempt, result: Verdict::Full });
            return;
        } else {
            self.used[upstream] += 1;
            self.score.peak_slots = self.score.peak_slots.max(self.used[upstream]);
            Verdict::Answered
        };
        job.attempts += 1;
        self.firsts += u64::from(job.attempts == 1);
        let service = job.service;
        match result {
            Verdict::Answered => self.schedule(service, Event::Finish { id, attempt, upstream }),
            result => self.schedule(delay, Event::Reply { id, attempt, result }),
        }
    }

    fn reply(&mut self, id: u64, attempt: u32, result: Verdict) {
        let Some(job) = self.jobs.get(&id) else { return };
        let (entry, kind, team) = (job.entry, job.kind, job.team);
        let counts = job.at >= self.scenario.warmup;
        let late = self.now > job.at + self.scenario.kinds[kind].deadline;
        let service = job.service;
        let now = self.instant();
        let outcome = match result {
            Verdict::Answered => AttemptResult::Answered,
            Verdict::Errored => AttemptResult::Errored,
            Verdict::Full => AttemptResult::Full,
            Verdict::Unreachable => AttemptResult::Unreachable,
            Verdict::Lost => AttemptResult::Unknown,
        };
        if self.entries[entry].on_result(id, attempt, outcome, now) {
            self.jobs.remove(&id);
        }
        if result == Verdict::Answered && counts {
            let class = &mut self.score.classes[kind];
            class.late += u64::from(late);
            class.on_time += u64::from(!late);
            if !late {
                self.on_time += service;
                self.team_counts[team].1 += 1;
            }
        }
        self.poll(entry);
    }

    fn report(&mut self, upstream: usize) {
        if self.gone(upstream) {
            return;
        }
        let now = self.instant();
        for entry in 0..self.entries.len() {
            self.entries[entry].on_report(upstream, self.used[upstream], now);
            self.poll(entry);
        }
        if self.now < self.scenario.length || !self.jobs.is_empty() {
            self.schedule(REPORT, Event::Report { upstream });
        }
    }

    fn poll(&mut self, entry: usize) {
        let now = self.instant();
        for act in self.entries[entry].poll(now) {
            match act {
                Act::Send { id, attempt, upstream } => {
                    self.schedule(self.scenario.delay, Event::Reach { id, attempt, upstream });
                }
                Act::Refuse { id } => {
                    let Some(job) = self.jobs.remove(&id) else { continue };
                    if job.at >= self.scenario.warmup {
                        let class = &mut self.score.classes[job.kind];
                        class.expired += 1;
                        class.expired_wait += self.now - job.at;
                    }
                }
            }
        }
        let Some(wake) = self.entries[entry].next_wake(now) else { return };
        let wake = wake - self.origin;
        let busy = self.now < self.scenario.length || !self.jobs.is_empty();
        if busy && self.wakes[entry].is_none_or(|known| wake < known) {
            self.wakes[entry] = Some(wake);
            self.schedule(wake - self.now, Event::Wake { entry });
        }
    }
}

/// Returns the index of the weight that `point` (0 to 1 of their sum) falls on.
fn pick(weights: impl Iterator<Item = f64> + Clone, point: f64) -> usize {
    let mut left = point * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
