//! Tests of the model of run times and of the speeds of workers.

use std::time::{Duration, Instant};

use fastrand::Rng;
use skylarkpulley_jobs::{Normal, Quantile, RunTime, RunTimes, StepKind};

const WORKERS: usize = 24;

/// Number of steps after which the speeds must be known. The prior then explains an error of 0.03 for
/// a group of workers, and the noise one of 0.06 at two standard deviations.
const STEPS: usize = 6;

fn kind(team: &str, estimate_ms: u64) -> StepKind<'_> {
    StepKind { estimate_ms, route: "checks", team }
}

fn worker(number: usize) -> String {
    format!("w{number}")
}

/// Slowness of the workers, in turn.
fn slowness(number: usize) -> f64 {
    [0.6, 1.0, 1.6][number % 3]
}

/// Returns a factor whose logarithm has a standard deviation of about 0.2.
fn noise(rng: &mut Rng) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (0.2 * normal).exp()
}

/// Plays a step with a task on each worker, whose runs end in the order of `sorted`.
fn play_step(
    model: &mut RunTimes,
    now: Instant,
    step: &StepKind,
    work_ms: f64,
    sorted: impl Fn(&mut [RunTime]),
    rng: &mut Rng,
) {
    let mut runs: Vec<RunTime> = (0..WORKERS)
        .map(|number| {
            let log_ms = (work_ms * slowness(number) * noise(rng)).ln();
            let slowness = model.slowness(&worker(number), now);
            RunTime { log_ms, slowness, worker: worker(number) }
        })
        .collect();
    sorted(&mut runs);
    for run in &runs {
        let expected = model.expect(step);
        let slowness = model.slowness(&run.worker, now).mean;
        model.observe_work(now, step, run.log_ms - slowness, 1.0 / WORKERS as f64);
        model.observe_speed(now, run, &runs, expected.as_ref());
    }
}

/// Checks that the speed of each worker is known within three of the model's own standard deviations,
/// and that neither the slow, the usual nor the fast workers are misjudged on average.
fn assert_known(model: &RunTimes, now: Instant) {
    for group in 0..3 {
        let errors: Vec<f64> = (group..WORKERS)
            .step_by(3)
            .map(|number| {
                let known = model.slowness(&worker(number), now);
                let error = known.mean - slowness(number).ln();
                assert!(known.is_known_slowness(), "{number} {known:?}");
                assert!(error.abs() < 3.0 * known.deviation(), "{number} {error} {known:?}");
                error
            })
            .collect();
        let mean = errors.iter().sum::<f64>() / errors.len() as f64;
        assert!(mean.abs() < 0.12, "group {group}: {mean} {errors:?}");
    }
}

fn by_time(runs: &mut [RunTime]) {
    runs.sort_by(|a, b| a.log_ms.total_cmp(&b.log_ms));
}

fn reversed(runs: &mut [RunTime]) {
    by_time(runs);
    runs.reverse();
}

/// Guards against speeds that depend on the order in which the runs of a step end: the first ones
/// are the short ones.
#[test]
fn observe_speed_order() {
    let now = Instant::now();
    let play = |sorted: fn(&mut [RunTime])| {
        let (mut model, mut rng) = (RunTimes::new(true), Rng::with_seed(1));
        for _ in 0..STEPS {
            play_step(&mut model, now, &kind("north", 2000), 2000.0, sorted, &mut rng);
        }
        assert_known(&model, now);
        model
    };
    let (short_first, long_first) = (play(by_time), play(reversed));
    for number in 0..WORKERS {
        let id = worker(number);
        let (a, b) = (short_first.slowness(&id, now).mean, long_first.slowness(&id, now).mean);
        assert!((a - b).abs() < 0.1, "{number} {a} {b}");
    }
}

/// Guards against wrong or missing estimates that are taken for the speed of workers.
#[test]
fn observe_speed_wrong_estimates() {
    for estimate_ms in [0, 250, 16_000] {
        let (now, mut rng) = (Instant::now(), Rng::with_seed(2));
        let mut model = RunTimes::new(true);
        let step = kind("north", estimate_ms);
        for _ in 0..STEPS {
            play_step(&mut model, now, &step, 2000.0, by_time, &mut rng);
        }
        assert_known(&model, now);
    }
}

/// Guards against two kinds of work under one route that are taken for the speed of workers.
#[test]
fn observe_speed_two_kinds() {
    let (now, mut rng) = (Instant::now(), Rng::with_seed(3));
    let mut model = RunTimes::new(true);
    for work_ms in [1000.0, 8000.0, 1000.0, 8000.0, 1000.0, 8000.0] {
        play_step(&mut model, now, &kind("north", 0), work_ms, by_time, &mut rng);
    }
    assert_known(&model, now);
    let expected = model.expect(&kind("north", 0)).expect("known");
    assert!(expected.quantile(Quantile::High) > 1.5 * expected.quantile(Quantile::Median));
}

/// Guards against expectations that do not follow a shift of the workload.
#[test]
fn observe_work_shift() {
    let (now, step) = (Instant::now(), kind("north", 2000));
    let mut model = RunTimes::new(true);
    for run_ms in [2000.0_f64; 60].into_iter().chain([6000.0; 40]) {
        model.observe_work(now, &step, run_ms.ln(), 1.0);
    }
    let median = model.median_ms(&step);
    assert!((4500..7500).contains(&median), "{median}");
}

/// Guards against expectations for a team that another team's wrong estimates distort.
#[test]
fn observe_work_lying_team() {
    let now = Instant::now();
    let mut model = RunTimes::new(true);
    for _ in 0..30 {
        model.observe_work(now, &kind("north", 2000), 2000_f64.ln(), 1.0);
        model.observe_work(now, &kind("liar", 500), 4000_f64.ln(), 1.0);
    }
    let north = model.median_ms(&kind("north", 2000));
    assert!((1500..2700).contains(&north), "{north}");
    let liar = model.median_ms(&kind("liar", 500));
    assert!((2700..5600).contains(&liar), "{liar}");
}

/// Guards against a worker that counts as slow for ever after a slow-down of a few seconds.
#[test]
fn observe_speed_short_slowdown() {
    let mut now = Instant::now();
    let mut model = RunTimes::new(true);
    let run = |worker: &str, ms: f64| RunTime {
        log_ms: ms.ln(),
        slowness: Normal::unknown_slowness(),
        worker: worker.to_owned(),
    };
    let others = [run("a", 2000.0), run("b", 2000.0), run("c", 2000.0)];
    for ms in [2000.0, 2000.0, 8000.0, 8000.0, 2000.0, 2000.0, 2000.0, 2000.0] {
        model.observe_speed(now, &run("w", ms), &others, None);
        now += Duration::from_secs(10);
    }
    let slowness = model.slowness("w", now);
    assert!(!slowness.is_slow() && slowness.mean < 0.3, "{slowness:?}");
}

/// Guards against a worker that is forgotten with its leader, and against one that keeps the speed of
/// another machine.
#[test]
fn adopt_pace_takeover() {
    let now = Instant::now();
    let mut model = RunTimes::new(true);
    let run = |worker: &str, ms: f64| RunTime {
        log_ms: ms.ln(),
        slowness: Normal::unknown_slowness(),
        worker: worker.to_owned(),
    };
    let others = [run("a", 1000.0), run("b", 1000.0), run("c", 1000.0)];
    for _ in 0..4 {
        model.observe_speed(now, &run("w", 1600.0), &others, None);
    }
    let known = model.slowness("w", now);
    let pace = model.pace("w", 7, now).expect("a value");
    let mut successor = RunTimes::new(true);
    successor.adopt_pace("w", &pace, 7, now);
    let adopted = successor.slowness("w", now);
    assert!((adopted.mean - known.mean).abs() < 0.01, "{adopted:?} {known:?}");
    assert!((adopted.variance - known.variance).abs() < 0.002, "{adopted:?} {known:?}");
    let mut restarted = RunTimes::new(true);
    restarted.adopt_pace("w", &pace, 8, now);
    assert!(restarted.slowness("w", now).variance > known.variance + 0.1);
    successor.replace_worker("w", "v", false);
    assert_eq!(successor.slowness("v", now), Normal::unknown_slowness());
}
