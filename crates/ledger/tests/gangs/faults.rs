//! Systematic fault injection into the hold, commit and lease protocol.

use std::time::Duration;

use crate::sim::{Delivery, STEP, Sim, WORKERS};
use skylarkpulley_ledger::{End, WorkerEvent};

const SECOND: Duration = Duration::from_secs(1);

/// Applies `delivery` to the first `count` messages of `kind` that are sent to the worker `to`.
fn inject(sim: &mut Sim, kind: &'static str, to: usize, count: usize, delivery: Delivery) {
    let mut remaining = count;
    sim.network = Box::new(move |packet| {
        if remaining > 0 && packet.message.kind() == kind && packet.to == to {
            remaining -= 1;
            return delivery;
        }
        Delivery::Pass
    });
}

fn assert_no_violations(sim: &Sim, case: &str) {
    assert!(sim.violations.is_empty(), "{case}: {:?}", sim.violations);
}

const KINDS: [&str; 8] = ["hold", "held", "commit", "release", "ready", "renew", "renewed", "stop"];

/// Guards against a gang of which only a part runs, and against leaked accelerators, when messages
/// of any kind to the lead or to another member are lost, delayed or duplicated.
#[test]
fn gang_message_faults() {
    let deliveries = [
        Delivery::Drop,
        Delivery::Duplicate,
        Delivery::Delay(5),
        Delivery::Delay(30),
        Delivery::Delay(70),
    ];
    for kind in KINDS {
        for delivery in deliveries {
            for (to, count) in [(0, 1), (2, 1), (0, 3), (2, 3), (0, 40), (2, 40)] {
                let case = format!("{kind} {delivery:?} to {to}, {count} times");
                let mut sim = Sim::new();
                inject(&mut sim, kind, to, count, delivery);
                sim.submit("g", 1, 8, &[0, 1, 2]);
                sim.run(8 * SECOND);
                sim.cancel("g");
                sim.run(8 * SECOND);
                assert_no_violations(&sim, &case);
                assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0, "{case}");
            }
        }
    }
}

/// Guards against parts of a gang that keep running after a member, the lead or the proposer has
/// crashed or paused, one or two of them at once, at any step of the protocol.
#[test]
fn gang_process_faults() {
    for steps in 0..30 {
        for first in 0..4 {
            for second in 0..4 {
                for pause in [false, true] {
                    let case = format!("{first} and {second} after {steps}, pause {pause}");
                    let sim = run_with_process_faults(steps, [first, second], pause);
                    assert_no_violations(&sim, &case);
                    assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0, "{case}");
                }
            }
        }
    }
}

/// Runs a gang on three workers, where each message takes one step, and crashes or pauses the
/// processes `faulty` (3 is the proposer) after `steps`.
fn run_with_process_faults(steps: usize, faulty: [usize; 2], pause: bool) -> Sim {
    let mut sim = Sim::new();
    sim.network = Box::new(|_| Delivery::Delay(1));
    sim.submit("g", 1, 8, &[0, 1, 2]);
    (0..steps).for_each(|_| sim.step());
    for process in faulty {
        match process {
            3 => sim.gangs.get_mut("g").unwrap().proposer_up = false,
            index if pause => sim.workers[index].paused = true,
            index => sim.crash(index),
        }
    }
    sim.run(3 * SECOND);
    sim.gangs.get_mut("g").unwrap().proposer_up = false;
    for process in faulty.into_iter().filter(|process| *process < 3) {
        sim.resume(process);
        sim.restart(process);
    }
    sim.run(3 * SECOND);
    if faulty == [3, 3] {
        sim.cancel("g");
        sim.run(SECOND);
    }
    sim
}

/// Guards against a gang that does not start, or stops running, although there is no fault.
#[test]
fn gang_runs_whole() {
    let mut sim = Sim::new();
    sim.submit("g", 1, 8, &[0, 1, 2]);
    sim.submit("single", 1, 8, &[3]);
    sim.run(60 * SECOND);
    assert_no_violations(&sim, "no fault");
    assert_eq!((sim.running_tasks("g"), sim.running_tasks("single")), (3, 1));
    assert_eq!(sim.ends, vec![]);
}

/// Guards against a gang that stops because a single renewal, or the reply to it, is lost.
#[test]
fn gang_survives_lost_renewal() {
    for (kind, to) in [("renew", 1), ("renewed", 0)] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(5 * SECOND);
        inject(&mut sim, kind, to, 1, Delivery::Drop);
        sim.run(5 * SECOND);
        assert_no_violations(&sim, kind);
        assert_eq!((sim.running_tasks("g"), sim.ends.len()), (3, 0), "{kind}");
    }
}

/// Guards against a start before every member is ready: if the commit to one member is lost, no
/// member may start, and the accelerators of all members must become free again.
#[test]
fn gang_waits_for_every_member() {
    for to in 0..3 {
        let mut sim = Sim::new();
        inject(&mut sim, "commit", to, 1, Delivery::Drop);
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(3 * SECOND);
        assert_no_violations(&sim, "commit lost");
        assert!(sim.started.is_empty(), "commit to {to} lost");
        assert_eq!(sim.granted_workers("g"), 0);
    }
}

/// Guards against members that keep running after the task of another member has failed or
/// finished, and against a wrong end reported for the gang.
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
            assert_no_violations(&sim, "member ends");
            assert_eq!(sim.ends, vec![("g".to_owned(), end.clone())]);
            assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0);
        }
    }
}

/// Guards against a gang that is reported as finished while some of its members are still running,
/// also if the message of a finished member is lost.
#[test]
fn gang_end_waits_for_members() {
    for lost in [None, Some(1), Some(2)] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(2 * SECOND);
        for index in 0..3 {
            if lost == Some(index) {
                inject(&mut sim, "ready", 0, 1, Delivery::Drop);
            }
            sim.end_task(index, "g", WorkerEvent::Finished);
            assert_eq!(sim.ends, vec![], "after member {index} finished, lost {lost:?}");
            sim.run(4 * STEP);
        }
        // The reply to the next renewal carries the state that a lost message did not deliver.
        sim.run(SECOND / 2 + 2 * STEP);
        assert_no_violations(&sim, "members finish");
        assert_eq!(sim.ends, vec![("g".to_owned(), End::Finished)], "lost {lost:?}");
        assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0);
    }
}

/// Guards against running a finished gang again because it was evicted while its last members were
/// finishing.
#[test]
fn gang_end_before_eviction() {
    for grace in [Duration::ZERO, SECOND] {
        let mut sim = Sim::new();
        sim.submit("g", 1, 8, &[0, 1, 2]);
        sim.run(2 * SECOND);
        sim.end_task(0, "g", WorkerEvent::Finished);
        sim.stop("g", grace);
        sim.run(2 * SECOND);
        assert_no_violations(&sim, "evicted while finishing");
        assert_eq!(sim.ends, vec![("g".to_owned(), End::Finished)], "grace {grace:?}");
        assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0);
    }
}

/// Guards against a cancelled gang that leaves a hold, a grant or a task behind, for any time of
/// the cancellation and any delay of a commit.
#[test]
fn gang_cancel_races_start() {
    for steps in 0..20 {
        for delay in [0, 1, 10, 30, 100] {
            let mut sim = Sim::new();
            sim.network = Box::new(move |packet| match packet.message.kind() {
                "commit" if packet.to == 1 => Delivery::Delay(delay),
                _ => Delivery::Delay(1),
            });
            sim.submit("g", 1, 8, &[0, 1, 2]);
            (0..steps).for_each(|_| sim.step());
            sim.cancel("g");
            sim.run(10 * SECOND);
            let case = format!("cancel after {steps}, commit late by {delay}");
            assert_no_violations(&sim, &case);
            assert_eq!(sim.running_tasks("g") + sim.granted_workers("g"), 0, "{case}");
        }
    }
}

/// Guards against deadlock and livelock between gangs that request the same workers in opposite
/// orders: the gang with the highest rank must start first.
#[test]
fn gang_overlap_highest_rank_starts() {
    for delays in 0..16_usize {
        let mut sim = Sim::new();
        sim.network = Box::new(move |packet| {
            let late = delays >> packet.to & 1;
            Delivery::Delay(if packet.message.kind() == "hold" { late * 2 } else { 0 })
        });
        sim.submit("c", 3, 8, &[2, 1, 0, 3]);
        sim.submit("b", 2, 8, &[3, 2, 1]);
        sim.submit("a", 1, 8, &[0, 1, 2, 3]);
        sim.run(6 * SECOND);
        assert_no_violations(&sim, "overlap");
        assert_eq!(sim.fully_started.first().map(String::as_str), Some("a"), "delays {delays}");
    }
}

/// Guards against a claim that is not satisfied within the checkpoint grace period, and against
/// evicting anything but borrowed work.
#[test]
fn claim_evicts_borrowed() {
    let mut sim = Sim::new();
    sim.reserve("menus/0", 8, &[0, 1]);
    sim.submit("borrowed", 1, 8, &[1, 2]);
    sim.run(2 * SECOND);
    assert_eq!(sim.running_tasks("borrowed"), 2);
    let hold = skylarkpulley_ledger::Hold {
        gang: "claim".to_owned(),
        accelerators: 8,
        instance: Some("menus/0".to_owned()),
        evict: vec!["borrowed".to_owned()],
        ..Default::default()
    };
    sim.submit_hold(hold, &[0, 1]);
    sim.run(3 * SECOND);
    assert_no_violations(&sim, "claim");
    assert_eq!((sim.running_tasks("claim"), sim.running_tasks("borrowed")), (2, 0));
    assert_eq!(sim.checkpoints, 2);
    assert_eq!(sim.ends, vec![("borrowed".to_owned(), End::Stopped)]);
}

/// Guards against a member that acts on a lease renewal that was buffered while the member was
/// paused.
#[test]
fn paused_member_stays_stopped() {
    let mut sim = Sim::new();
    sim.submit("g", 1, 8, &[0, 1, 2]);
    sim.run(2 * SECOND);
    sim.workers[2].paused = true;
    sim.run(10 * SECOND);
    assert_eq!(sim.running_tasks("g"), 0);
    sim.resume(2);
    for _ in 0..WORKERS * 10 {
        sim.step();
        assert_eq!(sim.running_tasks("g"), 0);
    }
    assert_no_violations(&sim, "pause");
    assert_eq!(sim.granted_workers("g"), 0);
}
