//! Tests of placement by learned run times and speeds of workers, with the load of the users'
//! second customer.

use skylarkpulley_bench::jobs_replay::{
    Coordinated, JobPlan, Score, Setup, generate_second_customer, replay,
};

const SEEDS: u64 = 4;

/// Replays the load of the second customer, whose jobs `change` changes, with several seeds.
fn replay_changed(setup: &Setup, change: impl Fn(&mut JobPlan)) -> Score {
    let mut total = Score::default();
    for seed in 1..=SEEDS {
        let mut jobs = generate_second_customer(setup.teams, seed);
        jobs.iter_mut().for_each(&change);
        total.add(&replay(setup, &jobs, &mut Coordinated::new(setup), seed));
    }
    println!(
        "learns {} restarts {} {} {total:?}",
        setup.learns,
        setup.restarts,
        total.earned_share()
    );
    total
}

/// Checks that with unequal workers fewer urgent jobs are late with learning than without, by at
/// least a third.
fn assert_fewer_late(change: impl Fn(&mut JobPlan)) {
    let setup = Setup::second_customer().with_unequal_speeds();
    let without = replay_changed(&setup.clone().without_learning(), &change);
    let with = replay_changed(&setup, &change);
    assert!(with.urgent_late * 3 <= without.urgent_late * 2, "{with:?} {without:?}");
    assert!(with.earned_share() > without.earned_share(), "{with:?} {without:?}");
}

/// Guards against urgent jobs that are late on slow workers while faster ones are free.
#[test]
fn second_customer_unequal() {
    assert_fewer_late(|_| {});
}

/// Gives all members of a gang the same work, as measured on a running deployment, and urgent jobs
/// three times the work: a restart takes up to 1.15 s, so that it pays for long ones only.
fn long_equal_members(job: &mut JobPlan) {
    if job.gang {
        let factor = if job.class == 0 { 3 } else { 1 };
        let work = job.lengths[0] * factor;
        job.lengths.fill(work);
    }
}

/// Guards against urgent gangs that are late because one member is on a slow worker, while other
/// workers are free.
#[test]
fn second_customer_restarts() {
    let setup = Setup::second_customer().with_unequal_speeds().with_frequent_reports();
    let without = replay_changed(&setup.clone().without_restarts(), long_equal_members);
    let with = replay_changed(&setup, long_equal_members);
    assert!(with.urgent_late < without.urgent_late, "{with:?} {without:?}");
    assert!(with.earned_share() > without.earned_share(), "{with:?} {without:?}");
}

/// Guards against harm on workers of equal speed.
#[test]
fn second_customer_equal() {
    let setup = Setup::second_customer();
    let without = replay_changed(&setup.clone().without_learning(), |_| {});
    let with = replay_changed(&setup, |_| {});
    assert!(with.urgent_late <= without.urgent_late, "{with:?} {without:?}");
    assert!(with.earned_share() >= without.earned_share(), "{with:?} {without:?}");
}

/// Guards against harm by estimates that are wrong by a factor of eight.
#[test]
fn second_customer_wrong_estimates() {
    assert_fewer_late(|job| {
        job.estimate = if job.arrival % 2 == 0 { job.estimate * 8 } else { job.estimate / 8 }
    });
}

/// Guards against a new leader that has to learn all speeds again.
#[test]
fn second_customer_takeover() {
    let setup = Setup::second_customer().with_unequal_speeds().with_takeovers(&[20_000, 40_000]);
    let without = replay_changed(&setup.clone().without_learning(), |_| {});
    let with = replay_changed(&setup, |_| {});
    assert!(with.urgent_late < without.urgent_late, "{with:?} {without:?}");
}
