//! Random schedules of several agents and entries on a lossy network.

use std::time::Duration;

use crate::sim::{AGENTS, Sim, key};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_keys::KeyReply;

/// One step of a schedule: the kind of event, and two numbers that select a message, agent or
/// attempt, modulo the number that exist.
type Step = (u8, u8, u8);

/// Runs a schedule until its end or the first violation.
fn run_schedule(steps: &[Step], skip_witness: bool) -> Sim {
    let mut sim = Sim::new();
    sim.skip_witness = skip_witness;
    for step in steps {
        apply_step(&mut sim, *step);
        if !sim.violations.is_empty() {
            break;
        }
    }
    sim
}

fn apply_step(sim: &mut Sim, (step, a, b): Step) {
    let agent = |number: u8| usize::from(number) % AGENTS;
    let packet = (!sim.in_transit.is_empty()).then(|| usize::from(a) % sim.in_transit.len().max(1));
    let attempt = (sim.attempts() > 0).then(|| usize::from(a) % sim.attempts().max(1));
    match (step % 48, packet, attempt) {
        // Most entries have the current map; some are one or two versions behind.
        (0..7, ..) => {
            let behind = usize::from(a / 4 % 8).saturating_sub(5);
            let body = u64::from(b > 250);
            sim.send_attempt(&key(usize::from(a % 4 == 0)), body, agent(b), behind);
        }
        (7..9, _, Some(attempt)) => sim.resend(attempt),
        (9, _, Some(attempt)) => sim.kill_entry(attempt),
        (10..19, Some(packet), _) => {
            let packet = sim.in_transit.remove(packet);
            sim.deliver(packet);
        }
        (19, Some(packet), _) => drop(sim.in_transit.remove(packet)),
        (20, Some(packet), _) => sim.in_transit.push(sim.in_transit[packet].clone()),
        (21..24, Some(packet), _) => sim.delayed.push(sim.in_transit[packet].clone()),
        (24..27, ..) if !sim.delayed.is_empty() => {
            sim.in_transit.push(sim.delayed[usize::from(a) % sim.delayed.len()].clone());
            sim.flush();
        }
        (27..31, ..) => sim.flush(),
        (31, ..) => sim.now += Duration::from_millis(u64::from(a) * 12),
        (32, ..) => sim.tick(agent(a)),
        (33..35, ..) => sim.advance(usize::from(a % 8), Duration::from_millis(700)),
        (35, ..) => sim.crash(agent(a)),
        (36, ..) if sim.serving_range().is_some() => sim.crash(sim.owner().unwrap_or(0)),
        (37..39, ..) => sim.restart(agent(a)),
        (39, ..) => sim.agents[agent(a)].paused = true,
        (40, ..) => sim.agents[agent(a)].paused = false,
        // Half of the plans include every live agent; the others omit the owner or another agent.
        (41..46, ..) if a % 2 == 0 => sim.plan(0, sim.serving_range()),
        (41..46, ..) if a % 4 == 1 && sim.serving_range().is_some() => {
            sim.plan(1 << sim.owner().unwrap_or(0), None);
        }
        (41..46, ..) if a % 4 == 3 => sim.plan(1 << agent(a / 4), sim.serving_range()),
        (46, ..) => sim.store_journal(),
        _ => sim.flush(),
    }
}

fn check(tests: u64, size: usize, seed: u64) {
    fn holds(steps: Vec<Step>) -> Result<(), String> {
        let sim = run_schedule(&steps, false);
        if sim.violations.is_empty() { Ok(()) } else { Err(sim.violations.join("; ")) }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, seed))
        .tests(tests)
        .quickcheck(holds as fn(Vec<Step>) -> Result<(), String>);
}

/// Guards against a second grant or execution, a changed answer, and a grant without a copy at the
/// witness, with lost, delayed, duplicated and reordered messages, crashes, pauses and map changes.
#[test]
fn at_most_once_interleavings() {
    check(800, 120, 1);
    check(120, 600, 2);
}

/// Guards against a checker that reports no violations: when copies never reach the witness, the
/// same key is granted again after a crash of the owner.
#[test]
fn at_most_once_checker_catches_skipped_witness() {
    let mut detected = 0;
    for seed in 0..120 {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let violations = run_schedule(&steps, true).violations;
        detected += usize::from(violations.iter().any(|text| text.contains("without a witness")));
    }
    assert!(detected > 40, "the checker found a violation in only {detected} of 120 schedules");

    let mut sim = Sim::new();
    sim.skip_witness = true;
    let target = sim.other_agent();
    sim.send_attempt(&key(0), 0, target, 0);
    sim.flush();
    sim.crash(sim.owner().unwrap());
    sim.plan(0, None);
    sim.flush();
    sim.send_attempt(&key(0), 0, target, 0);
    sim.flush();
    assert!(sim.violations.iter().any(|text| text.contains("ran as")), "{:?}", sim.violations);
}

/// Guards against schedules without effect: more than 60 of 120 must reach a grant, more than 12 an
/// answer and more than 4 a seal.
#[test]
fn at_most_once_schedules_make_progress() {
    let (mut granted, mut answered, mut sealed) = (0, 0, 0);
    for seed in 0..120 {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(400, seed));
        let sim = run_schedule(&steps, false);
        let any = |test: fn(&KeyReply) -> bool| sim.replies.iter().any(|(_, reply)| test(reply));
        granted += usize::from(any(|reply| *reply == KeyReply::Granted));
        answered += usize::from(any(|reply| matches!(reply, KeyReply::Answered(_))));
        sealed += usize::from(sim.ever_sealed);
    }
    println!("granted {granted}, answered {answered}, sealed {sealed} of 120");
    assert!(granted > 60 && answered > 12 && sealed > 4, "{granted} {answered} {sealed}");
}
