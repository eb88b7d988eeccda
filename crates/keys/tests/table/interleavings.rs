//! Interleavings of several agents, entries and a lossy network.

use std::time::Duration;

use crate::sim::{AGENTS, Sim, key};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_keys::KeyReply;

/// One step of a schedule: what happens, and two numbers that select a message, agent or attempt
/// modulo what exists.
type Step = (u8, u8, u8);

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

fn apply(sim: &mut Sim, (step, a, b): Step) {
    let agent = |number: u8| usize::from(number) % AGENTS;
    let packet = (!sim.wire.is_empty()).then(|| usize::from(a) % sim.wire.len().max(1));
    let attempt = (sim.attempts() > 0).then(|| usize::from(a) % sim.attempts().max(1));
    match (step % 48, packet, attempt) {
        // Most entries have the current map; some are a version or two behind.
        (0..7, ..) => {
            let behind = usize::from(a / 4 % 8).saturating_sub(5);
            let body = u64::from(b > 250);
            sim.request(&key(usize::from(a % 4 == 0)), body, agent(b), behind);
        }
        (7..9, _, Some(attempt)) => sim.resend(attempt),
        (9, _, Some(attempt)) => sim.kill_entry(attempt),
        (10..19, Some(packet), _) => {
            let packet = sim.wire.remove(packet);
            sim.deliver(packet);
        }
        (19, Some(packet), _) => drop(sim.wire.remove(packet)),
        (20, Some(packet), _) => sim.wire.push(sim.wire[packet].clone()),
        (21..24, Some(packet), _) => sim.late.push(sim.wire[packet].clone()),
        (24..27, ..) if !sim.late.is_empty() => {
            sim.wire.push(sim.late[usize::from(a) % sim.late.len()].clone());
            sim.flush();
        }
        (27..31, ..) => sim.flush(),
        (31, ..) => sim.now += Duration::from_millis(u64::from(a) * 12),
        (32, ..) => sim.tick(agent(a)),
        (33..35, ..) => sim.run(usize::from(a % 8), Duration::from_millis(700)),
        (35, ..) => sim.crash(agent(a)),
        (36, ..) if sim.settled().is_some() => sim.crash(sim.owner().unwrap_or(0)),
        (37..39, ..) => sim.restart(agent(a)),
        (39, ..) => sim.agents[agent(a)].paused = true,
        (40, ..) => sim.agents[agent(a)].paused = false,
        // Half of the plans see every live agent; the others miss the owner or another one.
        (41..46, ..) if a % 2 == 0 => sim.plan(0, sim.settled()),
        (41..46, ..) if a % 4 == 1 && sim.settled().is_some() => {
            sim.plan(1 << sim.owner().unwrap_or(0), None);
        }
        (41..46, ..) if a % 4 == 3 => sim.plan(1 << agent(a / 4), sim.settled()),
        (46, ..) => sim.store_journal(),
        _ => sim.flush(),
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
    sim.request(&key(0), 0, target, 0);
    sim.flush();
    sim.crash(sim.owner().unwrap());
    sim.plan(0, None);
    sim.flush();
    sim.request(&key(0), 0, target, 0);
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
