use fastrand::Rng;
use skylarkpulley_placement::Preemption;
use skylarkpulley_tables::{Domain, Guarantee, Pool, PoolKind, Team};
use skylarkpulley_types::{Locality, Shape};

use super::Millis;

/// Distinguishing property of an event list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scenario {
    /// Jobs arrive independently of each other.
    Steady,
    /// The same load arrives in one burst of six minutes per hour.
    Bursts,
    /// Actual run times differ from the declared ones by a factor of 0.1 to 10.
    Misdeclared,
    /// A rack of three workers is lost for half an hour, twice, each time another rack.
    RackLost,
    /// One worker fails every task during two hours.
    SickWorker,
    /// Three in ten jobs are cancelled, in waves at every sixth of the time.
    Cancellations,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Bursts,
        Self::Misdeclared,
        Self::RackLost,
        Self::SickWorker,
        Self::Cancellations,
    ];
}

/// One job of an event list.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the team, 0 to 3.
    pub team: usize,
    /// Kind of job within the team, 0 to 3.
    pub kind: usize,
    /// Priority class.
    pub class: u8,
    /// Accelerators and locality of the gang.
    pub shape: Shape,
    /// Declared run time.
    pub declared_duration: Millis,
    /// Actual run time.
    pub actual_duration: Millis,
    /// How the job may be preempted.
    pub preemption: Preemption,
    /// Name of the guarantee that the job claims.
    pub claim: Option<&'static str>,
    /// Time of the submission.
    pub arrival: Millis,
    /// Time of the cancellation.
    pub cancellation: Option<Millis>,
}

/// Jobs and worker faults of a replay.
#[derive(Clone, Debug)]
pub struct EventList {
    /// Jobs in order of arrival.
    pub jobs: Vec<Job>,
    /// Time, worker, and whether the worker is up from then on.
    pub worker_changes: Vec<(Millis, usize, bool)>,
    /// Time, worker, and whether the worker fails every task from then on.
    pub fault_changes: Vec<(Millis, usize, bool)>,
    /// End of the arrivals and of the time over which averages are measured.
    pub horizon: Millis,
}

const HOUR: Millis = 3_600_000;

/// Returns a pool with 11 workers of 8 accelerators, 4 teams and 4 guarantee instances.
pub fn pool(objective: f64) -> Pool {
    let domain =
        |(name, racks): (&str, &[u32])| Domain { name: name.to_owned(), racks: racks.to_vec() };
    let team = |(index, weight): (usize, u32)| Team { name: format!("t{index}"), weight };
    let guarantee = |name: &str, team: &str, shape: Shape, count: u32| Guarantee {
        name: name.to_owned(),
        team: team.to_owned(),
        shape,
        count,
    };
    let domains: [(&str, &[u32]); 3] = [("d0", &[3, 1]), ("d1", &[3, 1]), ("d2", &[3])];
    Pool {
        name: "replay".to_owned(),
        kind: PoolKind::Worker,
        slots: 0,
        connections: 0,
        objective,
        cores: 64,
        memory_mib: 262_144,
        accelerators: 8,
        domains: domains.into_iter().map(domain).collect(),
        teams: [4, 2, 1, 1].into_iter().enumerate().map(team).collect(),
        guarantees: vec![
            guarantee("pair", "t0", Shape::new(8, 2, Locality::Rack), 1),
            guarantee("one", "t1", Shape::new(8, 1, Locality::Worker), 1),
            guarantee("half", "t2", Shape::new(4, 1, Locality::Worker), 2),
        ],
    }
}

impl EventList {
    /// Generates jobs for `hours` hours that use about 85 % of the capacity of the pool.
    pub fn new(scenario: Scenario, seed: u64, hours: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let horizon = hours * HOUR;
        // Systematic error of the run times that each team declares for each kind of job.
        let declaration_biases: Vec<f64> =
            (0..16).map(|_| 10_f64.powf(rng.f64() * 1.4 - 0.7)).collect();
        let mut jobs = Vec::new();
        let mut arrival_time = 0.0;
        let capacity = 88.0 * horizon as f64;
        let mut work = 0.0;
        while work < capacity * 0.85 {
            // Arrival times are assigned below, once the number of jobs is known.
            let job = Self::job(&mut rng, scenario, &declaration_biases);
            work += f64::from(job.shape.total()) * job.actual_duration as f64;
            jobs.push(job);
        }
        let mean_gap = horizon as f64 / (jobs.len() as f64 + 1.0);
        for job in &mut jobs {
            arrival_time -= mean_gap * (1.0 - rng.f64()).ln();
            let mut arrival = (arrival_time as Millis).min(horizon - 1);
            if scenario == Scenario::Bursts {
                // All jobs of an hour arrive within its first six minutes.
                arrival = arrival / HOUR * HOUR + arrival % HOUR / 10;
            }
            job.arrival = arrival;
            let next_wave = (arrival / (horizon / 6) + 1) * (horizon / 6);
            if scenario == Scenario::Cancellations && rng.f64() < 0.3 {
                job.cancellation = Some(next_wave);
            }
        }
        jobs.sort_by_key(|job| job.arrival);
        let mut worker_changes = Vec::new();
        let mut fault_changes = Vec::new();
        if scenario == Scenario::RackLost {
            for (start, first) in [(horizon / 4, 0), (horizon * 5 / 8, 4)] {
                for worker in first..first + 3 {
                    worker_changes.push((start, worker, false));
                    worker_changes.push((start + HOUR / 2, worker, true));
                }
            }
        }
        if scenario == Scenario::SickWorker {
            fault_changes = vec![(horizon / 5, 1, true), (horizon / 5 + 2 * HOUR, 1, false)];
        }
        Self { jobs, worker_changes, fault_changes, horizon }
    }

    fn job(rng: &mut Rng, scenario: Scenario, declaration_biases: &[f64]) -> Job {
        let team = [0, 0, 0, 0, 1, 1, 2, 3][rng.usize(0..8)];
        let kind = rng.usize(0..4);
        let class = [1, 3, 5, 5][rng.usize(0..4)];
        let shape = match rng.usize(0..100) {
            0..30 => Shape::new(1, 1, Locality::Worker),
            30..50 => Shape::new(2, 1, Locality::Worker),
            50..65 => Shape::new(4, 1, Locality::Worker),
            65..82 => Shape::new(8, 1, Locality::Worker),
            82..88 => Shape::new(4, 2, Locality::Rack),
            88..94 => Shape::new(8, 2, Locality::Rack),
            94..97 => Shape::new(8, 3, Locality::Rack),
            _ => Shape::new(8, 4, Locality::Pool),
        };
        // The run time is distributed log-uniformly between 1 minute and 4 hours.
        let actual_duration = (60_000.0 * 240_f64.powf(rng.f64())) as Millis;
        let error_factor = if scenario == Scenario::Misdeclared {
            let noise = 10_f64.powf(rng.f64() * 0.6 - 0.3);
            (declaration_biases[team * 4 + kind] * noise).clamp(0.1, 10.0)
        } else {
            2_f64.powf(rng.f64() * 2.0 - 1.0)
        };
        let preemption = match rng.usize(0..20) {
            0 => Preemption::Never,
            1..4 => Preemption::Stop,
            _ => Preemption::Checkpoint,
        };
        let mut job = Job {
            team,
            kind,
            class,
            shape,
            declared_duration: ((actual_duration as f64 / error_factor) as Millis).max(1000),
            actual_duration,
            preemption,
            claim: None,
            arrival: 0,
            cancellation: None,
        };
        if rng.usize(0..20) == 0 && team < 3 {
            let claims = [
                ("pair", Shape::new(8, 2, Locality::Rack)),
                ("one", Shape::new(8, 1, Locality::Worker)),
                ("half", Shape::new(4, 1, Locality::Worker)),
            ];
            let (name, shape) = claims[team];
            (job.claim, job.shape, job.class) = (Some(name), shape, 0);
            job.actual_duration = job.actual_duration.min(20 * 60_000);
            job.declared_duration = job.declared_duration.min(40 * 60_000);
        }
        if job.preemption == Preemption::Never && job.shape.total() > 8 && job.claim.is_none() {
            job.preemption = Preemption::Checkpoint;
        }
        job
    }
}
