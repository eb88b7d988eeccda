//! Plans of plays.

use std::path::Path;
use std::time::Duration;

use skylarkpulley_platform_standins::{Day, Outage, Span, StandinError};
use skylarkpulley_soak::{CutTarget, Direction, Kind, Scenario, SoakError, Step};

/// Entries and workers.
const SIZE: (usize, usize) = (3, 8);

fn read_day(name: &str) -> Day {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/days");
    Day::read(&days.join(name)).expect("a day file")
}

fn day() -> Day {
    read_day("takeover-without-answer.toml")
}

/// Guards against a seed that does not play the same faults again, for every kind.
#[test]
fn scenario_repeats() {
    for (name, kind) in Kind::NAMED {
        let plan = |seed| Scenario::new(&day(), kind, SIZE, seed).expect("a plan").steps;
        assert_eq!(plan(7), plan(7), "{name}");
        assert!(plan(7).is_sorted_by_key(|planned| planned.at), "{name}");
    }
    let plan = |seed| Scenario::new(&day(), Kind::Mixed, SIZE, seed).expect("a plan").steps;
    assert_ne!(plan(7), plan(8));
}

/// Guards against a day that is played otherwise than its file says.
#[test]
fn scenario_day() {
    let scenario = Scenario::new(&day(), Kind::Day, SIZE, 1).expect("a plan");
    assert_eq!((scenario.traffic.length, scenario.steps.len()), (Duration::from_secs(92), 10));
    let Step::Cut(cut) = &scenario.steps[0].step else { panic!("{:?}", scenario.steps[0]) };
    assert_eq!(cut.length, Duration::from_secs(12));
    assert_eq!((cut.direction, cut.targets.len()), (Direction::Both, 2));
    let Step::LoseAnswers(lost, length) = &scenario.steps[1].step else {
        panic!("{:?}", scenario.steps[1])
    };
    assert_eq!((lost.writes, lost.delay_s), (0.35, None));
    assert_eq!(*length, Duration::from_millis(4500));
}

/// Guards against days of crashes and shrinking workers that are played in part only.
#[test]
fn scenario_crashes() {
    let scenario = |name| Scenario::new(&read_day(name), Kind::Day, SIZE, 1).expect("a plan");
    let span = |at, until, value| {
        let (at, until) = (Duration::from_secs(at), Duration::from_secs(until));
        Span { at, until, value }
    };
    let deadly = scenario("deadly-task.toml");
    assert_eq!(deadly.traffic.crashing, [span(5, 15, 0.1)]);
    assert!(matches!(deadly.steps[0].step, Step::KillLeader(_)));
    let shrunk = scenario("shrunk.toml");
    assert_eq!(shrunk.traffic.bursts, [span(11, 17, 1.4)]);
    let Step::ShrinkWorkers(workers, left, length) = &shrunk.steps[0].step else {
        panic!("{:?}", shrunk.steps[0])
    };
    assert_eq!((workers.len(), *left, *length), (2, 0.55, Duration::from_secs(14)));
    let both = scenario("crashes-and-capacity.toml");
    let count = |matches: fn(&Step) -> bool| {
        both.steps.iter().filter(|planned| matches(&planned.step)).count()
    };
    assert_eq!(count(|step| matches!(step, Step::CrashWorkers(..))), 6);
    assert_eq!(count(|step| matches!(step, Step::KillLeader(_))), 3);
    assert_eq!(count(|step| matches!(step, Step::ShrinkWorkers(..))), 2);
    assert_eq!(count(|step| matches!(step, Step::StoreAway(Outage::Silent, _))), 1);
    assert_eq!(count(|step| matches!(step, Step::StoreAway(Outage::Refusing, _))), 1);
    assert_eq!(both.traffic.crashing.len(), 2);
}

/// Guards against random faults that leave out a kind of them, or reach beyond the traffic.
#[test]
fn scenario_waves() {
    let scenario = |seed| Scenario::new(&day(), Kind::Waves, SIZE, seed).expect("a plan");
    let steps: Vec<_> = (1..=5).flat_map(|seed| scenario(seed).steps).collect();
    let has = |matches: fn(&Step) -> bool| steps.iter().any(|planned| matches(&planned.step));
    assert!(has(|step| matches!(step, Step::CrashWorkers(..))));
    assert!(has(|step| matches!(step, Step::ShrinkWorkers(..))));
    assert!(has(|step| matches!(step, Step::KillLeader(_))));
    assert!(has(|step| matches!(step, Step::Cut(_))));
    assert!(has(|step| matches!(step, Step::StoreAway(..))));
    assert!(has(|step| matches!(step, Step::LoseAnswers(..))));
    assert!(steps.iter().all(|planned| planned.at < Duration::from_secs(92)));
    assert_eq!(scenario(1).traffic.crashing.len(), 1);
}

/// Guards against cuts of the wrong parties.
#[test]
fn scenario_targets() {
    for (kind, expected) in [
        (Kind::StoreOnly, vec![CutTarget::Store]),
        (Kind::EntriesOnly, vec![CutTarget::Entries]),
        (Kind::AllParties, vec![CutTarget::Agents, CutTarget::Entries, CutTarget::Store]),
    ] {
        let scenario = Scenario::new(&day(), kind, SIZE, 1).expect("a plan");
        let cuts = scenario.steps.iter().filter_map(|planned| match &planned.step {
            Step::Cut(cut) => Some(&cut.targets),
            _ => None,
        });
        assert!(cuts.clone().count() == 5 && cuts.clone().all(|targets| *targets == expected));
    }
}

/// Guards against a fault that is left out without a word.
#[test]
fn scenario_unsupported() {
    let mut day = day();
    day.faults[0].kind = "shift".to_owned();
    let error = Scenario::new(&day, Kind::Day, SIZE, 1).expect_err("not supported");
    let SoakError::Standin(StandinError::Unsupported { kind, .. }) = error else {
        panic!("{error}")
    };
    assert_eq!(kind, "shift");
    assert!(matches!(Kind::named("storm"), Err(SoakError::UnknownKind { .. })));
}
