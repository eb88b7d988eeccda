use std::ops::Range;

use fastrand::Rng;
use skylarkpulley_jobs::Resources;

use super::Millis;

/// Time during which jobs arrive.
const ARRIVAL_PERIOD: Millis = 60_000;

/// Load that a list of jobs generates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// About two thirds of the accelerators are in use.
    Steady,
    /// Urgent jobs arrive at twice the rate in two periods of a tenth of the time each.
    UrgentBursts,
    /// Bulk jobs arrive at three times the rate during the first half of the time.
    BulkFlood,
}

/// A job with a single step.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Time of the submission.
    pub arrival: Millis,
    /// Whether a stopped task continues from a checkpoint.
    pub checkpoints: bool,
    /// Priority class.
    pub class: u8,
    /// Estimated run time of a task.
    pub estimate: Millis,
    /// Whether all tasks start and end together.
    pub gang: bool,
    /// Actual run time of each task.
    pub lengths: Vec<Millis>,
    /// Resources of one task.
    pub resources: Resources,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Multiple of the run time of the longest task in the objective for the completion time.
    pub slack: f64,
    /// Constant part of the objective for the completion time.
    pub target: Millis,
    /// Number of the team.
    pub team: usize,
}

/// Distribution of the jobs of one class: arrivals per second (`rate`), mean number of tasks
/// (`width`) and mean run time in milliseconds (`length`), resources of a task, and objective. The
/// standard deviations (`_sigma`) are those of the logarithm.
struct JobKind {
    class: u8,
    cores: i64,
    estimate_sigma: f64,
    length: f64,
    length_sigma: f64,
    memory: i64,
    rate: f64,
    slack: f64,
    target: Millis,
    width: f64,
}

/// The rates and sizes lie between those of the two sites of the users, as stated in their request
/// sheets.
const JOB_KINDS: [JobKind; 3] = [
    JobKind {
        class: 0,
        cores: 7500,
        estimate_sigma: 0.9,
        length: 2500.0,
        length_sigma: 0.5,
        memory: 22_000,
        rate: 0.38,
        slack: 1.5,
        target: 250,
        width: 3.4,
    },
    JobKind {
        class: 1,
        cores: 26_000,
        estimate_sigma: 0.5,
        length: 7600.0,
        length_sigma: 0.3,
        memory: 140_000,
        rate: 0.5,
        slack: 3.0,
        target: 1000,
        width: 1.5,
    },
    JobKind {
        class: 2,
        cores: 5600,
        estimate_sigma: 0.2,
        length: 6100.0,
        length_sigma: 0.3,
        memory: 16_000,
        rate: 0.26,
        slack: 3.0,
        target: 3000,
        width: 9.2,
    },
];

/// Numbers of accelerators per task from which those of classes 0 and 1 are drawn.
const ACCELERATORS_PER_TASK: [i64; 5] = [1, 2, 4, 8, 8];

/// Generates the jobs of `load`, in the order of their arrival.
pub fn generate(load: Load, seed: u64) -> Vec<JobPlan> {
    let rate_factor = |kind: &JobKind, at| rate_factor(load, kind.class, at);
    generate_jobs(&JOB_KINDS, ARRIVAL_PERIOD, seed, rate_factor, generate_job)
}

/// Generates jobs that arrive at random until `period` has passed, in the order of their arrival.
fn generate_jobs(
    kinds: &[JobKind],
    period: Millis,
    seed: u64,
    rate_factor: impl Fn(&JobKind, Millis) -> f64,
    generate_job: impl Fn(&JobKind, Millis, &mut Rng) -> JobPlan,
) -> Vec<JobPlan> {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for kind in kinds {
        let mut at = 0.0;
        loop {
            let rate = kind.rate * rate_factor(kind, at as Millis);
            at += -(1.0 - rng.f64()).ln() / rate * 1000.0;
            if at >= period as f64 {
                break;
            }
            jobs.push(generate_job(kind, at as Millis, &mut rng));
        }
    }
    jobs.sort_by_key(|job| job.arrival);
    jobs
}

fn rate_factor(load: Load, class: u8, at: Millis) -> f64 {
    let in_burst = (10_000..16_000).contains(&at) || (36_000..42_000).contains(&at);
    match load {
        Load::UrgentBursts if class == 0 && in_burst => 2.0,
        Load::BulkFlood if class == 2 && at < ARRIVAL_PERIOD / 2 => 3.0,
        _ => 1.0,
    }
}

fn generate_job(kind: &JobKind, arrival: Millis, rng: &mut Rng) -> JobPlan {
    let accelerators = if kind.class == 2 {
        1
    } else {
        ACCELERATORS_PER_TASK[rng.usize(0..ACCELERATORS_PER_TASK.len())]
    };
    let width = (kind.width * lognormal(0.8, rng)).round().clamp(1.0, kind.width * 6.0) as usize;
    // A gang must fit into the pool together with other jobs.
    let gang = kind.class == 0 && rng.f64() < 0.5 && width as i64 * accelerators <= 64;
    let length = kind.length * lognormal(kind.length_sigma, rng);
    let mut lengths = Vec::new();
    for _ in 0..width {
        let task_factor = if gang { 1.0 } else { lognormal(0.3, rng) };
        lengths.push((length * task_factor).max(100.0) as Millis);
    }
    JobPlan {
        arrival,
        checkpoints: rng.f64() < 0.45,
        class: kind.class,
        estimate: (length * lognormal(kind.estimate_sigma, rng)).max(100.0) as Millis,
        gang,
        lengths,
        resources: Resources { accelerators, cores: kind.cores, memory: kind.memory },
        same_rack: false,
        slack: kind.slack,
        target: kind.target,
        team: 0,
    }
}

/// Period during which the jobs of a wide load arrive.
const WIDE_ARRIVAL_PERIOD: Millis = 20_000;

/// Period during which twice as many urgent jobs of a wide load arrive.
const WIDE_BURST: Range<Millis> = 4000..6000;

/// Share of the wide gangs that need one rack.
const SAME_RACK_SHARE: f64 = 0.6;

/// Rates and widths of the users' deployment of 240 workers: gangs of about 8 and 25, and bulk
/// work of about 78 tasks.
const WIDE_KINDS: [JobKind; 3] = [
    JobKind {
        class: 0,
        cores: 7500,
        estimate_sigma: 0.2,
        length: 2500.0,
        length_sigma: 0.5,
        memory: 39_000,
        rate: 5.3,
        slack: 1.5,
        target: 250,
        width: 7.6,
    },
    JobKind {
        class: 1,
        cores: 26_000,
        estimate_sigma: 0.5,
        length: 11_000.0,
        length_sigma: 0.3,
        memory: 110_000,
        rate: 0.62,
        slack: 3.0,
        target: 1000,
        width: 25.0,
    },
    JobKind {
        class: 2,
        cores: 5600,
        estimate_sigma: 0.2,
        length: 6100.0,
        length_sigma: 0.3,
        memory: 16_000,
        rate: 0.92,
        slack: 3.0,
        target: 3000,
        width: 78.0,
    },
];

/// Generates a load for 240 workers, in the order of arrival: wide gangs whose members have unequal
/// work, and twice as many urgent jobs during a tenth of the time.
pub fn generate_wide(teams: usize, seed: u64) -> Vec<JobPlan> {
    let rate_factor = |kind: &JobKind, at: Millis| {
        let in_burst = kind.class == 0 && WIDE_BURST.contains(&at);
        if in_burst { 2.0 } else { 1.0 }
    };
    generate_jobs(&WIDE_KINDS, WIDE_ARRIVAL_PERIOD, seed, rate_factor, |kind, at, rng| {
        generate_wide_job(kind, at, teams, rng)
    })
}

fn generate_wide_job(kind: &JobKind, arrival: Millis, teams: usize, rng: &mut Rng) -> JobPlan {
    let mut job = generate_job(kind, arrival, rng);
    job.gang = kind.class < 2;
    job.same_rack = job.gang && rng.f64() < SAME_RACK_SHARE;
    job.team = rng.usize(0..teams);
    if job.gang {
        let length = job.lengths[0] as f64;
        for member in &mut job.lengths {
            *member = (length * lognormal(0.3, rng)).max(100.0) as Millis;
        }
    }
    job
}

/// Returns a factor with a mean of about 1, whose logarithm has a standard deviation of about
/// `sigma`.
fn lognormal(sigma: f64, rng: &mut Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (sigma * normal - sigma * sigma / 2.0).exp()
}

/// Rates and widths of the users' second customer, as its request sheet states them.
const SECOND_CUSTOMER_KINDS: [JobKind; 3] = [
    JobKind {
        class: 0,
        cores: 7500,
        estimate_sigma: 0.7,
        length: 2100.0,
        length_sigma: 0.5,
        memory: 12_000,
        rate: 0.72,
        slack: 1.5,
        target: 250,
        width: 5.0,
    },
    JobKind {
        class: 1,
        cores: 26_000,
        estimate_sigma: 0.7,
        length: 5800.0,
        length_sigma: 0.3,
        memory: 50_000,
        rate: 0.45,
        slack: 3.0,
        target: 1000,
        width: 8.0,
    },
    JobKind {
        class: 2,
        cores: 5600,
        estimate_sigma: 0.7,
        length: 5200.0,
        length_sigma: 0.3,
        memory: 8000,
        rate: 0.34,
        slack: 3.0,
        target: 3000,
        width: 39.0,
    },
];

/// Generates the load of the second customer, in the order of arrival. Urgent jobs and those of
/// class 1 are gangs; the estimates are wrong by a factor of two.
pub fn generate_second_customer(teams: usize, seed: u64) -> Vec<JobPlan> {
    let (kinds, period) = (&SECOND_CUSTOMER_KINDS, ARRIVAL_PERIOD);
    generate_jobs(
        kinds,
        period,
        seed,
        |_, _| 1.0,
        |kind, at, rng| {
            let mut job = generate_job(kind, at, rng);
            job.gang = kind.class < 2;
            job.team = rng.usize(0..teams);
            if job.gang {
                let length = job.lengths[0] as f64;
                for member in &mut job.lengths {
                    *member = (length * lognormal(0.2, rng)).max(100.0) as Millis;
                }
            }
            job
        },
    )
}
