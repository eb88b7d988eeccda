//! Interleavings of several agents, entries and a lossy network.

use std::time::Duration;

use crate::sim::{AGENTS, Sim, key};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_keys::{KeyReply, RecordState};

/// One step of a schedule. Numbers select a message, agent or attempt modulo what exists.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(u8, u8),
    Resend(u8),
    Deliver(u8),
    Drop(u8),
    Duplicate(u8),
    Stash(u8),
    Late(u8),
    Run(u8),
    CrashOwner,
    Flush,
    Advance(u16),
    Tick(u8),
    Crash(u8),
    Restart(u8),
    Pause(u8),
    Resume(u8),
    Plan(u8),
    Journal,
    KillEntry(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 48 {
            0..7 => Self::Request(a, b),
            7..9 => Self::Resend(a),
            9..18 => Self::Deliver(a),
            18 => Self::Drop(a),
            19 => Self::Duplicate(a),
            20..23 => Self::Stash(a),
            23..26 => Self::Late(a),
            26..31 => Self::Flush,
            31 => Self::Advance(u16::arbitrary(g) % 3000),
            32 => Self::Tick(a),
            33..35 => Self::Run(a),
            35 => Self::Crash(a),
            36 => Self::CrashOwner,
            37..39 => Self::Restart(a),
            39 => Self::Pause(a),
            40 => Self::Resume(a),
            41..46 => Self::Plan(a),
            46 => Self::Journal,
            _ => Self::KillEntry(a),
        }
    }
}

fn play(steps: &[Step], skip_witness: bool) -> Sim {
    let mut sim = Sim::new();
    sim.skip_witness = skip_witness;
    for step in steps {
        apply(&mut sim, *step);
        if !sim.faults.is_empty() {
            break;
        }
    }
    sim
}

fn apply(sim: &mut Sim, step: Step) {
    let pick = |number: u8, len: usize| (len > 0).then(|| usize::from(number) % len);
    let agent = |number: u8| usize::from(number) % AGENTS;
    match step {
        // Most entries have the current map; some are a version or two behind.
        Step::Request(a, b) => {
            let behind = usize::from(a / 4 % 8).saturating_sub(5);
            let body = u64::from(b > 250);
            sim.request_stale(&key(usize::from(a % 4 == 0)), body, agent(b), behind);
        }
        Step::Stash(a) => {
            if let Some(position) = pick(a, sim.wire.len()) {
                sim.late.push(sim.wire[position].clone());
            }
        }
        Step::Late(a) => {
            if let Some(position) = pick(a, sim.late.len()) {
                sim.wire.push(sim.late[position].clone());
                sim.flush();
            }
        }
        Step::Run(a) => sim.run(usize::from(a % 8), Duration::from_millis(700)),
        Step::CrashOwner if sim.settled().is_some() => {
            sim.owner().into_iter().for_each(|owner| sim.crash(owner));
        }
        Step::CrashOwner => sim.flush(),
        Step::Resend(a) => pick(a, sim.attempts()).into_iter().for_each(|n| sim.resend(n)),
        Step::KillEntry(a) => pick(a, sim.attempts()).into_iter().for_each(|n| sim.kill_entry(n)),
        Step::Deliver(a) => {
            if let Some(position) = pick(a, sim.wire.len()) {
                let packet = sim.wire.remove(position);
                sim.deliver(packet);
            }
        }
        Step::Drop(a) => {
            pick(a, sim.wire.len()).map(|position| sim.wire.remove(position));
        }
        Step::Duplicate(a) => {
            if let Some(position) = pick(a, sim.wire.len()) {
                sim.wire.push(sim.wire[position].clone());
            }
        }
        Step::Flush => sim.flush(),
        Step::Advance(ms) => sim.now += Duration::from_millis(ms.into()),
        Step::Tick(a) => sim.tick(agent(a)),
        Step::Crash(a) => sim.crash(agent(a)),
        Step::Restart(a) => sim.restart(agent(a)),
        Step::Pause(a) => sim.agents[agent(a)].paused = true,
        Step::Resume(a) => sim.agents[agent(a)].paused = false,
        // Half of the plans see every live agent; the others miss the owner or another one.
        Step::Plan(a) if a % 2 == 0 => sim.plan(0, sim.settled()),
        Step::Plan(a) if a % 4 == 1 && sim.settled().is_some() => {
            sim.plan(1 << sim.owner().unwrap_or(0), None);
        }
        Step::Plan(a) if a % 4 == 1 => sim.flush(),
        Step::Plan(a) => sim.plan(1 << agent(a / 4), sim.settled()),
        Step::Journal => sim.store_journal(),
    }
}

fn check(tests: u64, size: usize, seed: u64) {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        let sim = play(&steps, false);
        if sim.faults.is_empty() { Ok(()) } else { Err(sim.faults.join("; ")) }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(tests)
        .quickcheck(holds as fn(Vec<Step>) -> Result<(), String>);
}

/// Guards against a second grant or execution, a changed answer, and a grant without a witness
/// copy, under lost, late, doubled and reordered messages, crashes, pauses and map changes.
#[test]
fn at_most_once_interleavings() {
    check(800, 120, 1);
    check(120, 600, 2);
}

/// Shows that the checker is able to fail: with copies that never reach the witness, a crash of the
/// owner lets the same key be granted again.
#[test]
fn at_most_once_checker_catches_skipped_witness() {
    let mut caught = 0;
    for seed in 0..120 {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let faults = play(&steps, true).faults;
        caught += usize::from(faults.iter().any(|fault| fault.contains("without a witness")));
    }
    assert!(caught > 40, "only {caught} of 120 schedules were caught");

    let mut sim = Sim::new();
    sim.skip_witness = true;
    let target = sim.bystander();
    sim.request(&key(0), 0, target);
    sim.flush();
    sim.crash(sim.owner().unwrap());
    sim.plan(0, None);
    sim.flush();
    sim.request(&key(0), 0, target);
    sim.flush();
    assert!(sim.faults.iter().any(|fault| fault.contains("ran as")), "{:?}", sim.faults);
}

/// Guards against schedules that exercise nothing: most must reach a grant and an answer.
#[test]
fn at_most_once_schedules_make_progress() {
    let (mut granted, mut answered, mut sealed) = (0, 0, 0);
    for seed in 0..120 {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let sim = play(&steps, false);
        let any = |test: fn(&KeyReply) -> bool| sim.replies.iter().any(|(_, reply)| test(reply));
        granted += usize::from(any(|reply| *reply == KeyReply::Granted));
        answered += usize::from(any(|reply| matches!(reply, KeyReply::Answered(_))));
        sealed += usize::from(sim.ever_sealed);
    }
    println!("granted {granted}, answered {answered}, sealed {sealed} of 120");
    assert!(granted > 60 && answered > 12 && sealed > 4, "{granted} {answered} {sealed}");
}

/// Guards against a key that stays in progress after its entry died before sending the attempt.
#[test]
fn lookup_frees_attempt_that_never_arrived() {
    let mut sim = Sim::new();
    let first = sim.request(&key(0), 0, 4);
    sim.kill_entry(first);
    sim.flush();
    assert_eq!(sim.state(&key(0)), Some(RecordState::Granted));
    sim.run(4, Duration::from_secs(1));
    assert_eq!(sim.state(&key(0)), None);
    sim.request(&key(0), 0, 4);
    sim.flush();
    assert_eq!(sim.executions(&key(0)), 1);
}

/// Guards against a repeat that runs again after the target of the first attempt was replaced.
#[test]
fn lookup_at_new_incarnation_is_unknown() {
    let mut sim = Sim::new();
    let target =
        (0..AGENTS).find(|n| Some(*n) != sim.owner() && Some(*n) != sim.witness()).unwrap();
    let first = sim.request(&key(0), 0, target);
    sim.flush();
    sim.kill_entry(first);
    let repeat = sim.request(&key(1), 0, target);
    sim.kill_entry(repeat);
    sim.flush();
    sim.crash(target);
    sim.restart(target);
    sim.run(4, Duration::from_secs(1));
    assert_eq!(sim.state(&key(1)), Some(RecordState::Unknown));
    let again = sim.request(&key(1), 0, 4);
    sim.flush();
    assert_eq!(sim.last_reply(again), Some(&KeyReply::Unknown));
}
