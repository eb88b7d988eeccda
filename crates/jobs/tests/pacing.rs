//! Speed of filling tasks beside serving ones.

use std::collections::BTreeMap;
use std::time::Duration;

use skylarkpulley_jobs::{Pacer, SharingRun, TaskId, TaskKey};

const OBJECTIVE: Duration = Duration::from_millis(100);

/// Time between two readings.
const READING: Duration = Duration::from_millis(500);

/// A missed objective that lasts this long beside working filling tasks counts as harm.
const HARM: Duration = Duration::from_millis(4000);

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
    pacer.changes(&sharing()).first().map(|(_, _, percent)| *percent)
}

/// Guards against filling tasks that work on beside a serving task that misses its objective.
#[test]
fn pacer_objective_missed() {
    let mut pacer = Pacer::new();
    observe(&mut pacer, 50);
    assert_eq!(observe(&mut pacer, 95), Some(20), "half of 40");
    assert_eq!(observe(&mut pacer, 100), Some(0));
    assert_eq!(observe(&mut pacer, 140), Some(0), "an earlier order may be carried out late");
    assert_eq!(observe(&mut pacer, 80), None, "neither calm nor tense");
    assert_eq!(observe(&mut pacer, 60), Some(10));
}

/// Guards against a speed that is taken for set although the order was not answered.
#[test]
fn pacer_unanswered() {
    let mut pacer = Pacer::new();
    let first = observe(&mut pacer, 80);
    assert!(first.is_some());
    pacer.fail(&task("fill"), 1);
    assert_eq!(pacer.changes(&sharing()), vec![], "not before the next reading");
    assert_eq!(observe(&mut pacer, 80), first);
    assert_eq!(observe(&mut pacer, 80), None);
}

/// Guards against filling tasks that stay slow after the last serving task has gone, and after a
/// restart of the agent, which does not know what its predecessor has set.
#[test]
fn pacer_serving_gone() {
    let alone = &sharing()[..1];
    let mut pacer = Pacer::new();
    observe(&mut pacer, 200);
    pacer.observe(alone, &BTreeMap::new());
    assert_eq!(pacer.changes(alone), vec![(task("fill"), 1, 100)]);
    assert_eq!(Pacer::new().changes(alone), vec![(task("fill"), 1, 100)]);
}

/// Replays serving tasks whose load swings, beside filling tasks that disturb them by amounts that
/// change every few seconds. The objective is never missed for as long as counts as harm, and the
/// filling tasks still get a good part of their speed.
#[test]
fn pacer_replay_disturbance() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut pacer = Pacer::new();
        let (mut percent, mut worked, mut missed, mut longest) =
            (100_u64, 0, Duration::ZERO, Duration::ZERO);
        let (mut base, mut disturbance) = (40, 30);
        let readings = 400_u32;
        for number in 0..readings {
            if number % 5 == 0 {
                base = rng.u64(30..90);
                disturbance = rng.u64(5..120);
            }
            let response = base + disturbance * percent / 100;
            if response >= 100 && percent > 0 {
                missed += READING;
                longest = longest.max(missed);
            } else {
                missed = Duration::ZERO;
            }
            worked += percent;
            if let Some(set) = observe(&mut pacer, response) {
                percent = u64::from(set);
            }
        }
        assert!(longest < HARM, "seed {seed}: missed for {longest:?}");
        let share = worked / u64::from(readings);
        assert!(share >= 15, "seed {seed}: {share} % of full speed");
    }
}
