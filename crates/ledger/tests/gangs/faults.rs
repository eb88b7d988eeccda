//! Fault table of the hold, commit and lease protocol.

use std::time::Duration;

use crate::sim::{Fate, STEP, Sim, WORKERS};
use skylarkpulley_ledger::{End, WorkerEvent};

const SECOND: Duration = Duration::from_secs(1);

/// Applies `fate` to the first `count` messages of `kind` that go to `to`.
fn strike(sim: &mut Sim, kind: &'static str, to: usize, count: usize, fate: Fate) {
    let mut left = count;
    sim.fate = Box::new(move |packet| {
        if left > 0 && packet.message.kind() == kind && packet.to == to {
            left -= 1;
            return fate;
        }
        Fate::Pass
    });
}

fn assert_sound(sim: &Sim, case: &str) {
    assert!(sim.faults.is_empty(), "{case}: {:?}", sim.faults);
}

const KINDS: [&str; 8] = ["hold", "held", "commit", "release", "ready", "renew", "renewed", "stop"];

/// Guards against a gang that runs in part, or accelerators that leak, when one message of any kind
/// is lost, late or doubled at any member.
#[test]
fn gang_message_faults() {
    let fates = [Fate::Lose, Fate::Double, Fate::Delay(5), Fate::Delay(30), Fate::Delay(70)];
    for kind in KINDS {
        for fate in fates {
            for (to, count) in [(0, 1), (2, 1), (0, 3), (2, 3), (0, 40), (2, 40)] {
                let case = format!("{kind} {fate:?} to {to}, {count} times");
                let mut sim = Sim::new();
                strike(&mut sim, kind, to, count, fate);
                sim.submit("g", 1, 8, &[0, 1, 2]);
                sim.run(8 * SECOND);
                sim.cancel("g");
                sim.run(8 * SECOND);
                assert_sound(&sim, &case);
                assert_eq!(sim.running("g") + sim.grants("g"), 0, "{case}");
            }
        }
    }
}

/// Guards against parts of a gang that outlive a member, the lead or the proposer, whichever dies
/// or pauses after however many messages, alone or two at once.
#[test]
fn gang_process_faults() {
    for steps in 0..30 {
        for first in 0..4 {
            for second in 0..4 {
                for pause in [false, true] {
                    let case = format!("{first} and {second} after {steps}, pause {pause}");
                    let sim = break_processes(steps, [first, second], pause);
                    assert_sound(&sim, &case);
                    assert_eq!(sim.running("g") + sim.grants("g"), 0, "{case}");
                }
            }
        }
    }
}

/// Runs a gang on three workers whose messages take one step each, and strikes the processes
/// `broken` (3 is the proposer) after `steps`.
fn break_processes(steps: usize, broken: [usize; 2], pause: bool) -> Sim {
    let mut sim = Sim::new();
    sim.fate = Box::new(|_| Fate::Delay(1));
    sim.submit("g", 1, 8, &[0, 1, 2]);
    (0..steps).for_each(|_| sim.step());
    for process in broken {
        match process {
            3 => sim.gangs.get_mut("g").unwrap().proposer_up = false,
            index if pause => sim.workers[index].paused = true,
            index => sim.crash(index),
        }
    }
    sim.run(3 * SECOND);
    sim.gangs.get_mut("g").unwrap().proposer_up = false;
    for process in broken.into_iter().filter(|process| *process < 3) {
        sim.resume(process);
        sim.restart(process);
    }
    sim.run(3 * SECOND);
    if broken == [3, 3] {
        sim.cancel("g");
        sim.run(SECOND);
    }
    sim
}

/// Guards against a gang that does not start, or does not keep running, without any fault.
#[test]
fn gang_runs_whole() {
    let mut sim = Sim::new();
    sim.submit("g", 1, 8, &[0, 1, 2]);
    sim.submit("single", 1, 8, &[3]);
    sim.run(60 * SECOND);
    assert_sound(&sim, "no fault");
    assert_eq!((sim.running("g"), sim.running("single")), (3, 1));
    assert_eq!(sim.ends, vec![]);
}

/// Guards against a gang that stops because a single renewal, or the answer to one, is lost.
#[test]
fn gang_survives_lost_renewal() {
    for (kind, to) in [("renew", 1), ("renewed", 0)] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(5 * SECOND);
        strike(&mut sim, kind, to, 1, Fate::Lose);
        sim.run(5 * SECOND);
        assert_sound(&sim, kind);
        assert_eq!((sim.running("g"), sim.ends.len()), (3, 0), "{kind}");
    }
}

/// Guards against a start before every member is ready: with the commit of one member lost, no
/// member ever starts, and all of them are free again.
#[test]
fn gang_waits_for_every_member() {
    for to in 0..3 {
        let mut sim = Sim::new();
        strike(&mut sim, "commit", to, 1, Fate::Lose);
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(3 * SECOND);
        assert_sound(&sim, "commit lost");
        assert!(sim.started.is_empty(), "commit to {to} lost");
        assert_eq!(sim.grants("g"), 0);
    }
}

/// Guards against members that go on after another one failed, and tells how the gang ended.
#[test]
fn gang_member_ends() {
    for (event, end) in [(WorkerEvent::Failed, End::Failed), (WorkerEvent::Finished, End::Finished)]
    {
        for index in 0..3 {
            let mut sim = Sim::new();
            sim.submit("g", 1, 8, &[0, 1, 2]);
            sim.run(2 * SECOND);
            sim.end_task(index, "g", event);
            sim.run(2 * SECOND + 2 * STEP);
            assert_sound(&sim, "member ends");
            assert_eq!(sim.ends, vec![("g".to_owned(), end.clone())]);
            assert_eq!(sim.running("g") + sim.grants("g"), 0);
        }
    }
}

/// Guards against a gang that is reported as finished while some of its members still run, also
/// when the message of a member that finished is lost.
#[test]
fn gang_end_waits_for_members() {
    for lost in [None, Some(1), Some(2)] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(2 * SECOND);
        for index in 0..3 {
            if lost == Some(index) {
                strike(&mut sim, "ready", 0, 1, Fate::Lose);
            }
            sim.end_task(index, "g", WorkerEvent::Finished);
            assert_eq!(sim.ends, vec![], "{index} of 3 have finished, lost {lost:?}");
            sim.run(4 * STEP);
        }
        // A lost message is made up for by the answer to the next renewal.
        sim.run(SECOND / 2 + 2 * STEP);
        assert_sound(&sim, "members finish");
        assert_eq!(sim.ends, vec![("g".to_owned(), End::Finished)], "lost {lost:?}");
        assert_eq!(sim.running("g") + sim.grants("g"), 0);
    }
}

/// Guards against a gang that has finished and is run again because it was evicted while its last
/// members finished.
#[test]
fn gang_end_before_eviction() {
    for grace in [Duration::ZERO, SECOND] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(2 * SECOND);
        sim.end_task(0, "g", WorkerEvent::Finished);
        sim.stop("g", grace);
        sim.run(2 * SECOND);
        assert_sound(&sim, "evicted while it finishes");
        assert_eq!(sim.ends, vec![("g".to_owned(), End::Finished)], "grace {grace:?}");
        assert_eq!(sim.running("g") + sim.grants("g"), 0);
    }
}

/// Guards against a cancelled gang that leaves a hold, a grant or a task, whenever the cancel
/// arrives and however late the commits are.
#[test]
fn gang_cancel_races_start() {
    for steps in 0..20 {
        for delay in [0, 1, 10, 30, 100] {
            let mut sim = Sim::new();
            sim.fate = Box::new(move |packet| match packet.message.kind() {
                "commit" if packet.to == 1 => Fate::Delay(delay),
                _ => Fate::Delay(1),
            });
            sim.submit("g", 1, 8, &[0, 1, 2]);
            (0..steps).for_each(|_| sim.step());
            sim.cancel("g");
            sim.run(10 * SECOND);
            let case = format!("cancel after {steps}, commit late by {delay}");
            assert_sound(&sim, &case);
            assert_eq!(sim.running("g") + sim.grants("g"), 0, "{case}");
        }
    }
}

/// Guards against deadlock and livelock between gangs that overlap in opposite orders: the highest
/// rank starts first.
#[test]
fn gang_overlap_highest_rank_starts() {
    for delays in 0..16_usize {
        let mut sim = Sim::new();
        sim.fate = Box::new(move |packet| {
            let late = delays >> packet.to & 1;
            Fate::Delay(if packet.message.kind() == "hold" { late * 2 } else { 0 })
        });
        sim.submit("c", 3, 8, &[2, 1, 0, 3]);
        sim.submit("b", 2, 8, &[3, 2, 1]);
        sim.submit("a", 1, 8, &[0, 1, 2, 3]);
        sim.run(6 * SECOND);
        assert_sound(&sim, "overlap");
        assert_eq!(sim.whole.first().map(String::as_str), Some("a"), "delays {delays}");
    }
}

/// Guards against a claim that is not met within the checkpoint grace period, and against evicting
/// anything but borrowed work.
#[test]
fn claim_evicts_borrowed() {
    let mut sim = Sim::new();
    sim.reserve("menus/0", 8, &[0, 1]);
    sim.submit("borrowed", 1, 8, &[1, 2]);
    sim.run(2 * SECOND);
    assert_eq!(sim.running("borrowed"), 2);
    let hold = skylarkpulley_ledger::Hold {
        gang: "claim".to_owned(),
        accelerators: 8,
        instance: Some("menus/0".to_owned()),
        evict: vec!["borrowed".to_owned()],
        ..Default::default()
    };
    sim.submit_hold(hold, &[0, 1]);
    sim.run(3 * SECOND);
    assert_sound(&sim, "claim");
    assert_eq!((sim.running("claim"), sim.running("borrowed")), (2, 0));
    assert_eq!(sim.checkpoints, 2);
    assert_eq!(sim.ends, vec![("borrowed".to_owned(), End::Stopped)]);
}

/// Guards against a member that acts on a lease renewal that waited in a buffer while it was
/// paused.
#[test]
fn paused_member_stays_stopped() {
    let mut sim = Sim::new();
    sim.submit("g", 1, 8, &[0, 1, 2]);
    sim.run(2 * SECOND);
    sim.workers[2].paused = true;
    sim.run(10 * SECOND);
    assert_eq!(sim.running("g"), 0);
    sim.resume(2);
    for _ in 0..WORKERS * 10 {
        sim.step();
        assert_eq!(sim.running("g"), 0);
    }
    assert_sound(&sim, "pause");
    assert_eq!(sim.grants("g"), 0);
}
