use std::time::Duration;

use skylarkpulley_tables::{Pool, PoolKind, Route, Tables, Team};

/// A kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Name of the route.
    pub name: &'static str,
    /// Priority class, from 0 (highest) to 9.
    pub class: u8,
    /// Share of the offered slot time; not of the number of requests.
    pub work_share: f64,
    /// Mean service time.
    pub mean_service: Duration,
    /// Maximum time from the submission of a request to the end of its answer.
    pub deadline: Duration,
    /// Whether a request may run twice.
    pub idempotent: bool,
}

/// Upstreams, entries, load and faults of a replay.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of upstreams.
    pub upstreams: usize,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Relative share of the requests that each entry accepts; all entries use the same upstreams.
    pub entry_weights: Vec<f64>,
    /// One-way delay between an entry and an agent.
    pub network_delay: Duration,
    /// Offered slot time divided by the slot time of all upstreams.
    pub load: f64,
    /// Time during which requests arrive.
    pub arrival_period: Duration,
    /// Requests that arrive before this time are not counted.
    pub warmup: Duration,
    /// Kinds of requests; the shares add up to 1.
    pub kinds: Vec<RequestKind>,
    /// Weight of each team and its share of the requests; the shares add up to 1.
    pub teams: Vec<(u32, f64)>,
    /// Standard deviation of the logarithm of the service time.
    pub service_sigma: f64,
    /// Index of an upstream that answers every attempt with an error at once.
    pub failing_upstream: Option<usize>,
    /// Number of upstreams that become unreachable halfway through the arrival period, counted from
    /// index 0.
    pub lost_upstreams: usize,
    /// Seed of the random arrivals and service times.
    pub seed: u64,
}

impl Scenario {
    /// Returns the present configuration of deployment A: 11 upstreams of 8 slots, 4 teams and 3
    /// entries. Settlements (class 0) are a fifth of the offered work, checks (class 1) are half of
    /// it, and digests (class 5) are the rest.
    pub fn new(load: f64) -> Self {
        let kind = |name, class, work_share, mean, deadline, idempotent| RequestKind {
            name,
            class,
            work_share,
            mean_service: Duration::from_millis(mean),
            deadline: Duration::from_millis(deadline),
            idempotent,
        };
        Self {
            upstreams: 11,
            slots: 8,
            entry_weights: vec![1.0; 3],
            network_delay: Duration::from_micros(1500),
            load,
            arrival_period: Duration::from_secs(12),
            warmup: Duration::from_secs(2),
            kinds: vec![
                kind("settle", 0, 0.2, 40, 800, false),
                kind("check", 1, 0.5, 30, 500, true),
                kind("digest", 5, 0.3, 120, 2000, true),
            ],
            teams: vec![(4, 0.4), (2, 0.3), (1, 0.2), (1, 0.1)],
            service_sigma: 0.8,
            failing_upstream: None,
            lost_upstreams: 0,
            seed: 17,
        }
    }

    /// Sets the mean service time of all kinds to 40 ms, so that strict priority does not change
    /// the number of requests that the slots can serve.
    pub fn with_equal_service(mut self) -> Self {
        self.kinds.iter_mut().for_each(|kind| kind.mean_service = Duration::from_millis(40));
        self
    }

    /// Returns the arrival rate in requests per second.
    pub fn rate(&self) -> f64 {
        let capacity = self.upstreams as f64 * f64::from(self.slots);
        capacity * self.load / self.mean_service()
    }

    /// Returns the mean service time of all requests in seconds.
    pub fn mean_service(&self) -> f64 {
        let requests_per_slot_second: f64 =
            self.kinds.iter().map(|kind| kind.work_share / kind.mean_service.as_secs_f64()).sum();
        1.0 / requests_per_slot_second
    }

    /// Returns the tables that describe the scenario to a router.
    pub fn tables(&self) -> Tables {
        let route = |kind: &RequestKind| Route {
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

/// Returns the name of the team with the given index.
pub(crate) fn team_name(index: usize) -> String {
    format!("team-{index:03}")
}
