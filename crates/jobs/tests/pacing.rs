//! Speed of filling tasks that share a worker with serving ones.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkpulley_jobs::{Pacer, SharingRun, TaskId, TaskKey};

const OBJECTIVE: Duration = Duration::from_millis(100);

/// Time between two readings.
const READING_INTERVAL: Duration = Duration::from_millis(500);

/// An objective that is missed for this long while filling tasks run counts as harm to the serving
/// task.
const MAX_MISSED: Duration = Duration::from_millis(4000);

fn task(job: &str) -> TaskId {
    TaskId::new(job, TaskKey { occurrence: 0, step: 0, index: 0 })
}

fn sharing() -> Vec<SharingRun> {
    vec![
        SharingRun { response: None, run: 1, task: task("fill") },
        SharingRun { response: Some(OBJECTIVE), run: 1, task: task("serve") },
    ]
}

fn observe(pacer: &mut Pacer, response_ms: u64) -> Option<u8> {
    let readings = BTreeMap::from([((task("serve"), 1), response_ms)]);
    pacer.observe(&sharing(), &readings);
    pacer.changes(&sharing(), 16).first().map(|(_, _, percent)| *percent)
}

/// Guards against filling tasks that keep running while a serving task on the same worker misses
/// its objective.
#[test]
fn pacer_objective_missed() {
    let mut pacer = Pacer::new();
    observe(&mut pacer, 50);
    assert_eq!(observe(&mut pacer, 95), Some(20), "half of 40");
    assert_eq!(observe(&mut pacer, 100), Some(0));
    assert_eq!(observe(&mut pacer, 140), Some(0), "an earlier order may be carried out late");
    assert_eq!(observe(&mut pacer, 80), None, "the ratio is between the two thresholds");
    assert_eq!(observe(&mut pacer, 60), Some(10));
}

/// Guards against a speed that counts as set although its order was not answered.
#[test]
fn pacer_unanswered() {
    let mut pacer = Pacer::new();
    let first = observe(&mut pacer, 80);
    assert!(first.is_some());
    pacer.record_unanswered(&task("fill"), 1);
    assert_eq!(pacer.changes(&sharing(), 16), vec![], "not before the next reading");
    assert_eq!(observe(&mut pacer, 80), first);
    assert_eq!(observe(&mut pacer, 80), None);
}

/// Guards against filling tasks that stay slow after the last serving task has ended, or after a
/// restart of the agent, which does not know the speeds that its predecessor ordered.
#[test]
fn pacer_serving_gone() {
    let only_filling = &sharing()[..1];
    let mut pacer = Pacer::new();
    observe(&mut pacer, 200);
    pacer.observe(only_filling, &BTreeMap::new());
    assert_eq!(pacer.changes(only_filling, 16), vec![(task("fill"), 1, 100)]);
    assert_eq!(Pacer::new().changes(only_filling, 16), vec![(task("fill"), 1, 100)]);
}

/// Replays serving tasks with a varying load on a worker with filling tasks that slow them down by
/// amounts that change every few seconds. The objective must never be missed for as long as counts
/// as harm, and the filling tasks must still reach 15% of their full speed on average.
#[test]
fn pacer_replay_disturbance() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut pacer = Pacer::new();
        let (mut percent, mut percent_sum, mut missed, mut longest) =
            (100_u64, 0, Duration::ZERO, Duration::ZERO);
        let (mut own_load, mut interference) = (40, 30);
        let readings = 400_u32;
        for number in 0..readings {
            if number % 5 == 0 {
                own_load = rng.u64(30..90);
                interference = rng.u64(5..120);
            }
            let response = own_load + interference * percent / 100;
            if response >= 100 && percent > 0 {
                missed += READING_INTERVAL;
                longest = longest.max(missed);
            } else {
                missed = Duration::ZERO;
            }
            percent_sum += percent;
            if let Some(ordered) = observe(&mut pacer, response) {
                percent = u64::from(ordered);
            }
        }
        assert!(longest < MAX_MISSED, "seed {seed}: missed for {longest:?}");
        let share = percent_sum / u64::from(readings);
        assert!(share >= 15, "seed {seed}: {share} % of full speed");
    }
}
