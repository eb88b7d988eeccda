use std::time::Duration;

use skylarkpulley_tables::{Pool, PoolKind, Route, Tables, Team};

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Name of its route.
    pub name: &'static str,
    /// Class, 0 to 9.
    pub class: u8,
    /// Share of the offered slot time.
    pub share: f64,
    /// Mean service.
    pub mean: Duration,
    /// Time from submission to the end of the answer.
    pub deadline: Duration,
    /// Whether it may run twice.
    pub idempotent: bool,
}

/// Upstreams, entries and load of a replay.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: u32,
    /// Share of the requests that each entry accepts; all entries share the upstreams.
    pub entries: Vec<f64>,
    /// One-way time between entry and agent.
    pub delay: Duration,
    /// Offered slot time over the slots.
    pub load: f64,
    /// Length of the arrivals.
    pub length: Duration,
    /// Arrivals before this time are not counted.
    pub warmup: Duration,
    /// Kinds of requests; shares add up to 1.
    pub kinds: Vec<Kind>,
    /// Weight and share of the requests of each team; shares add up to 1.
    pub teams: Vec<(u32, f64)>,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// Upstream that answers everything with an error at once.
    pub broken: Option<usize>,
    /// Upstreams with an index below the number vanish at half of the length.
    pub vanish: usize,
    /// Decides arrivals and service times.
    pub seed: u64,
}

impl Scenario {
    /// Returns deployment A as it is today: 11 upstreams of 8 slots, 4 teams and 3 entries. A fifth
    /// of the offered work is settlements (class 0), half is checks (class 1), the rest class 5.
    pub fn new(load: f64) -> Self {
        let kind = |name, class, share, mean, deadline, idempotent| Kind {
            name,
            class,
            share,
            mean: Duration::from_millis(mean),
            deadline: Duration::from_millis(deadline),
            idempotent,
        };
        Self {
            upstreams: 11,
            slots: 8,
            entries: vec![1.0; 3],
            delay: Duration::from_micros(1500),
            load,
            length: Duration::from_secs(12),
            warmup: Duration::from_secs(2),
            kinds: vec![
                kind("settle", 0, 0.2, 40, 800, false),
                kind("check", 1, 0.5, 30, 500, true),
                kind("digest", 5, 0.3, 120, 2000, true),
            ],
            teams: vec![(4, 0.4), (2, 0.3), (1, 0.2), (1, 0.1)],
            spread: 0.8,
            broken: None,
            vanish: 0,
            seed: 17,
        }
    }

    /// Gives all kinds a mean service of 40 ms, so that strict priority does not change how many
    /// requests fit into the slots.
    pub fn with_equal_service(mut self) -> Self {
        self.kinds.iter_mut().for_each(|kind| kind.mean = Duration::from_millis(40));
        self
    }

    /// Returns the number of requests a second.
    pub fn rate(&self) -> f64 {
        let capacity = self.upstreams as f64 * f64::from(self.slots);
        capacity * self.load / self.mean_service()
    }

    /// Returns the mean service in seconds over all requests.
    pub fn mean_service(&self) -> f64 {
        let per_work: f64 =
            self.kinds.iter().map(|kind| kind.share / kind.mean.as_secs_f64()).sum();
        1.0 / per_work
    }

    /// Returns the tables that describe the scenario to a router.
    pub fn tables(&self) -> Tables {
        let route = |kind: &Kind| Route {
            name: kind.name.to_owned(),
            path: format!("/{}", kind.name),
            pool: "balance".to_owned(),
            priority: kind.class,
            idempotent: kind.idempotent,
            deadline: kind.deadline,
            queue: 1000,
            retry_percent: 10,
            body_limit: 1 << 16,
        };
        let teams = self.teams.iter().enumerate();
        let pool = Pool {
            name: "balance".to_owned(),
            kind: PoolKind::Upstream,
            slots: self.slots,
            connections: 64,
            objective: 0.0,
            cores: 0,
            memory_mib: 0,
            accelerators: 0,
            domains: Vec::new(),
            teams: teams
                .map(|(index, team)| Team { name: team_name(index), weight: team.0 })
                .collect(),
            guarantees: Vec::new(),
        };
        Tables { routes: self.kinds.iter().map(route).collect(), pools: vec![pool] }
    }
}

/// Returns the name of the team with an index.
pub(crate) fn team_name(index: usize) -> String {
    format!("team-{index:03}")
}
