use fastrand::Rng;
use skylarkpulley_jobs::Resources;

use super::Millis;

/// Length of the arrivals.
const LENGTH: Millis = 60_000;

/// What a list of jobs is like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Load {
    /// About two thirds of the accelerators are in use.
    Steady,
    /// Urgent jobs come twice as often for a tenth of the time, at two times.
    UrgentBursts,
    /// Bulk jobs come three times as often for half of the time.
    BulkFlood,
}

/// One job of one step.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Time of the submission.
    pub arrival: Millis,
    /// Whether a stopped task continues where it was.
    pub checkpoints: bool,
    /// Priority class.
    pub class: u8,
    /// Estimated time of a task.
    pub estimate: Millis,
    /// Whether all tasks start and end together.
    pub gang: bool,
    /// True time of each task.
    pub lengths: Vec<Millis>,
    /// Needs of one task.
    pub room: Resources,
    /// Objective as a multiple of the longest task.
    pub slack: f64,
    /// Time added to the objective.
    pub target: Millis,
}

/// A class of the mix: jobs a second, mean width and length, needs and objective.
struct Kind {
    class: u8,
    cores: i64,
    estimate_scatter: f64,
    length: f64,
    length_scatter: f64,
    memory: i64,
    rate: f64,
    slack: f64,
    target: Millis,
    width: f64,
}

/// Rates and sizes between those of the two sites of the users, from their sheets of requests.
const KINDS: [Kind; 3] = [
    Kind {
        class: 0,
        cores: 7500,
        estimate_scatter: 0.9,
        length: 2500.0,
        length_scatter: 0.5,
        memory: 22_000,
        rate: 0.38,
        slack: 1.5,
        target: 250,
        width: 3.4,
    },
    Kind {
        class: 1,
        cores: 26_000,
        estimate_scatter: 0.5,
        length: 7600.0,
        length_scatter: 0.3,
        memory: 140_000,
        rate: 0.5,
        slack: 3.0,
        target: 1000,
        width: 1.5,
    },
    Kind {
        class: 2,
        cores: 5600,
        estimate_scatter: 0.2,
        length: 6100.0,
        length_scatter: 0.3,
        memory: 16_000,
        rate: 0.26,
        slack: 3.0,
        target: 3000,
        width: 9.2,
    },
];

/// Sizes of the tasks of classes 0 and 1 in accelerators.
const SIZES: [i64; 5] = [1, 2, 4, 8, 8];

/// Returns the jobs of `load` in order of their arrival.
pub fn generate(load: Load, seed: u64) -> Vec<JobPlan> {
    let mut rng = Rng::with_seed(seed);
    let mut jobs = Vec::new();
    for kind in &KINDS {
        let mut at = 0.0;
        loop {
            let rate = kind.rate * factor(load, kind.class, at as Millis);
            at += -(1.0 - rng.f64()).ln() / rate * 1000.0;
            if at >= LENGTH as f64 {
                break;
            }
            jobs.push(plan(kind, at as Millis, &mut rng));
        }
    }
    jobs.sort_by_key(|job| job.arrival);
    jobs
}

fn factor(load: Load, class: u8, at: Millis) -> f64 {
    let urgent = (10_000..16_000).contains(&at) || (36_000..42_000).contains(&at);
    match load {
        Load::UrgentBursts if class == 0 && urgent => 2.0,
        Load::BulkFlood if class == 2 && at < LENGTH / 2 => 3.0,
        _ => 1.0,
    }
}

fn plan(kind: &Kind, arrival: Millis, rng: &mut Rng) -> JobPlan {
    let accelerators = if kind.class == 2 { 1 } else { SIZES[rng.usize(0..SIZES.len())] };
    let width = (kind.width * scatter(0.8, rng)).round().clamp(1.0, kind.width * 6.0) as usize;
    // A gang must fit into the pool beside other work.
    let gang = kind.class == 0 && rng.f64() < 0.5 && width as i64 * accelerators <= 64;
    let length = kind.length * scatter(kind.length_scatter, rng);
    let mut lengths = Vec::new();
    for _ in 0..width {
        let own = if gang { 1.0 } else { scatter(0.3, rng) };
        lengths.push((length * own).max(100.0) as Millis);
    }
    JobPlan {
        arrival,
        checkpoints: rng.f64() < 0.45,
        class: kind.class,
        estimate: (length * scatter(kind.estimate_scatter, rng)).max(100.0) as Millis,
        gang,
        lengths,
        room: Resources { accelerators, cores: kind.cores, memory: kind.memory },
        slack: kind.slack,
        target: kind.target,
    }
}

/// Returns a factor whose logarithm has about the standard deviation `sigma`, with a mean near one.
fn scatter(sigma: f64, rng: &mut Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (sigma * normal - sigma * sigma / 2.0).exp()
}
