//! Claims on lent capacity, faults while it is reclaimed, and what borrowing jobs may lose.

mod world;

use std::time::Duration;

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, JobSpec, PreemptMode, Preemption,
};
use skylarkpulley_types::{AgentId, Locality};
use world::{World, job, pool, shape, with_guarantee};

/// Time within which a claim must start.
const CLAIM_START_BOUND: Duration = Duration::from_millis(6900);
/// Part of `CLAIM_START_BOUND` that is left for a failover of the deciding entry.
const FAILOVER_TIME: Duration = Duration::from_millis(2500);

fn claim(id: &str, team: &str, guarantee: &str, shape: skylarkpulley_types::Shape) -> JobSpec {
    JobSpec { shape, claim: Some(guarantee.to_owned()), urgent: true, ..job(id, team, 1, 1) }
}

/// Returns two racks of two workers. Team "a" is guaranteed a pair within a rack, and team "b" uses
/// every accelerator.
fn pool_lent_to_other_team() -> World {
    let pair = shape(4, 2, Locality::Rack);
    let mut world = World::new(with_guarantee(pool(4, &[&[2, 2]]), "pair", "a", pair, 1));
    for ix in 0..4 {
        world.submit_and_run(job(&format!("b{ix}"), "b", 4, 1));
    }
    world
}

/// Guards against a claim that evicts other work although enough workers for its shape are free.
#[test]
fn claim_prefers_free_workers() {
    let pair = shape(4, 2, Locality::Rack);
    let mut world = World::new(with_guarantee(pool(4, &[&[2, 2]]), "pair", "a", pair, 1));
    let initial: Vec<AgentId> = world.placer.status().instances[0].members.clone();
    // Occupies the reserved rack and leaves the other one free.
    let others: Vec<String> = world
        .agents
        .iter()
        .filter(|(agent, _, _)| !initial.contains(agent))
        .map(|(agent, _, _)| agent.name.clone())
        .collect();
    for name in &others {
        world.send(Event::Drain { worker: name.clone(), draining: true });
    }
    world.submit_and_run(job("b0", "b", 4, 2));
    for name in &others {
        world.send(Event::Drain { worker: name.clone(), draining: false });
    }
    let actions = world.submit(claim("urgent", "a", "pair", pair));
    assert!(!actions.iter().any(|action| matches!(action, Action::Preempt { .. })), "{actions:?}");
    assert_eq!(world.state("b0"), "running");
    let mut claimed_workers = world.workers_of("urgent");
    claimed_workers.sort();
    assert_eq!(claimed_workers, others);
}

/// Guards against victims that are chosen regardless of the work that they lose.
#[test]
fn claim_takes_cheapest_victims() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", single, 1));
    let stop = JobSpec { preemption: Preemption::Stop, ..job("dear", "b", 4, 1) };
    world.submit_and_run(stop);
    world.submit_and_run(job("cheap", "b", 4, 1));
    world.advance(Duration::from_secs(300));
    let actions = world.submit(claim("urgent", "a", "one", single));
    let grace = Duration::from_secs(2);
    let preempted: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Preempt { job, mode, .. } => Some((job.as_str(), *mode)),
            _ => None,
        })
        .collect();
    assert_eq!(preempted, [("cheap", PreemptMode::Checkpoint { grace })]);
}

/// Guards against a claim that evicts other work before work past its corrected run time.
#[test]
fn claim_takes_overdue_work_first() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", single, 1));
    let run_time = Duration::from_secs(10);
    world.submit_and_run(JobSpec {
        preemption: Preemption::Stop,
        run_time,
        ..job("overdue", "b", 4, 1)
    });
    world.submit_and_run(job("cheap", "b", 4, 1));
    world.advance(Duration::from_secs(60));
    world.submit(claim("urgent", "a", "one", single));
    assert_eq!((world.state("overdue"), world.state("cheap")), ("stopping", "running"));
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The first worker of the gang never answers.
    Silent,
    /// The caller's time limit for the first worker passes, so it passes `NoAnswer` to the placer.
    NoAnswer,
    /// The first worker is lost while the victim writes its checkpoint.
    WorkerLost,
    /// The first worker refuses the hold.
    Refused,
    /// The victim on the first worker never stops, so the hold stays pending.
    EvictionStuck,
    /// Two workers, one after the other, do not answer.
    SilentTwice,
}

/// Guards against a claim that waits for a failed worker, or that does not start within its time
/// limit.
#[test]
fn claim_starts_despite_faults() {
    let faults = [
        Fault::None,
        Fault::Silent,
        Fault::NoAnswer,
        Fault::WorkerLost,
        Fault::Refused,
        Fault::EvictionStuck,
        Fault::SilentTwice,
    ];
    for fault in faults {
        let mut world = pool_lent_to_other_team();
        if matches!(fault, Fault::SilentTwice) {
            // One more rack is needed for a third placement.
            let pair = shape(4, 2, Locality::Rack);
            world = World::new(with_guarantee(pool(4, &[&[2, 2, 2]]), "pair", "a", pair, 1));
            for ix in 0..6 {
                world.submit_and_run(job(&format!("b{ix}"), "b", 4, 1));
            }
        }
        let start = world.now;
        world.submit(claim("urgent", "a", "pair", shape(4, 2, Locality::Rack)));
        let fault_count = match fault {
            Fault::SilentTwice => 2,
            Fault::None => 0,
            _ => 1,
        };
        for _ in 0..fault_count {
            let (faulty, healthy) = {
                let members = world.status("urgent").members;
                (members[0].0.clone(), members[1].0.clone())
            };
            let epoch = world.epochs["urgent"];
            world.answer_hold("urgent", &healthy, HoldResult::Pending);
            match fault {
                Fault::Silent | Fault::SilentTwice => {}
                Fault::NoAnswer => {
                    world.advance(Duration::from_secs(1));
                    world.answer_hold("urgent", &faulty, HoldResult::NoAnswer);
                }
                Fault::WorkerLost => {
                    world.advance(Duration::from_secs(1));
                    let ix = world.agents.iter().position(|agent| agent.0 == faulty).unwrap();
                    world.lose_worker(ix);
                }
                Fault::Refused => {
                    let reason = "another claim".to_owned();
                    world.answer_hold(
                        "urgent",
                        &faulty,
                        HoldResult::Refused { reason, highest_epoch: 40 },
                    );
                }
                Fault::EvictionStuck => {
                    world.answer_hold("urgent", &faulty, HoldResult::Pending);
                }
                Fault::None => {}
            }
            for _ in 0..300 {
                if world.epochs["urgent"] != epoch && world.state("urgent") == "holding" {
                    break;
                }
                world.advance(Duration::from_millis(10));
            }
            assert_ne!(world.epochs["urgent"], epoch, "{fault:?}: the claim was not placed again");
            if !matches!(fault, Fault::Refused) {
                let chosen = world.workers_of("urgent");
                assert!(
                    !chosen.contains(&faulty.name),
                    "{fault:?}: the claim was placed on the faulty worker again"
                );
            }
        }
        // The victims of the last placement stop at the end of their grace period.
        world.advance(Duration::from_secs(2));
        let stopping: Vec<String> = world
            .placer
            .status()
            .jobs
            .into_iter()
            .filter(|job| job.state == "stopping")
            .map(|job| job.id)
            .collect();
        for victim in stopping {
            world.end_gang(&victim, GangEnd::Stopped);
        }
        world.run_gang("urgent");
        assert_eq!(world.state("urgent"), "running", "{fault:?}");
        let elapsed = world.now - start + Duration::from_millis(500);
        // The time limit allows for a failover and one fault. A stuck eviction or a second fault
        // uses the time that is left for the failover.
        let uses_failover_time = matches!(fault, Fault::EvictionStuck | Fault::SilentTwice);
        let bound =
            if uses_failover_time { CLAIM_START_BOUND } else { CLAIM_START_BOUND - FAILOVER_TIME };
        assert!(elapsed <= bound, "{fault:?} took {elapsed:?}");
    }
}

/// Guards against a claim that waits behind many claims without an unclaimed instance.
#[test]
fn claim_not_behind_waiting_claims() {
    let single = shape(4, 1, Locality::Worker);
    let base = with_guarantee(pool(4, &[&[3]]), "busy", "a", single, 1);
    let mut world = World::new(with_guarantee(base, "open", "b", single, 1));
    for ix in 0..200 {
        let spec = claim(&format!("a{ix}"), "a", "busy", single);
        world.submit(JobSpec { class: 0, preemption: Preemption::Never, ..spec });
        world.run_gang(&format!("a{ix}"));
    }
    world.submit_and_run(job("filler", "a", 4, 1));
    let epoch = world.epochs["filler"];
    let end = GangEnd::Finished;
    world.placer.handle(Event::GangEnded { job: "filler".to_owned(), epoch, end }, world.now);
    world.submit(JobSpec { class: 9, ..claim("b", "b", "open", single) });
    assert_eq!(world.state("b"), "holding");
}

/// Guards against a claim that is refused repeatedly because an agent did not receive the
/// reservation.
#[test]
fn claim_retry_sets_reservation_again() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[1]]), "one", "a", single, 1));
    let agent = world.agents[0].0.clone();
    let initial = world.submit(claim("urgent", "a", "one", single));
    let count_set_reservations = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::SetReservation { .. })).count()
    };
    assert_eq!(count_set_reservations(&initial), 0, "the reservation is already set");
    let reason = "no reservation".to_owned();
    world.answer_hold("urgent", &agent, HoldResult::Refused { reason, highest_epoch: 0 });
    let again = world.advance(Duration::from_millis(100));
    let place = |action: &Action| matches!(action, Action::Place { .. });
    assert!(count_set_reservations(&again) == 1 && again.iter().any(place), "{again:?}");
}

/// Guards against a guarantee that loses its reservation without being reported as at risk, or that
/// is not restored.
#[test]
fn guarantee_risk_named_and_restored() {
    let mut world = pool_lent_to_other_team();
    let reports_risk = |actions: &[Action]| {
        actions.iter().any(|action| {
            matches!(action, Action::GuaranteeAtRisk { instance, .. } if instance == "pair/0")
        })
    };
    let first_loss = world.lose_worker(0);
    assert!(!reports_risk(&first_loss), "the other rack has capacity for the pair");
    let second_loss = world.lose_worker(2);
    assert!(reports_risk(&second_loss), "{second_loss:?}");
    let joined = world.join_worker(0);
    let restored = |action: &Action| matches!(action, Action::GuaranteeRestored { instance, .. } if instance == "pair/0");
    assert!(joined.iter().any(restored), "{joined:?}");
}

/// Guards against a large pool in which reservations are not rearranged when one worker is lost:
/// reservations of single workers may have to move out of a rack that a pair needs.
#[test]
fn guarantee_rearranged_in_large_pool() {
    let racks = [2; 33];
    let single = shape(4, 1, Locality::Worker);
    let pair = shape(4, 2, Locality::Rack);
    let base = with_guarantee(pool(4, &[&racks]), "one", "a", single, 2);
    let mut world = World::new(with_guarantee(base, "pair", "b", pair, 31));
    let all_reserved =
        |world: &World| !world.placer.status().instances.iter().any(|instance| instance.at_risk);
    assert!(all_reserved(&world));
    for round in 0..20 {
        let ix = round * 7 % 66;
        world.lose_worker(ix);
        world.advance(Duration::from_secs(1));
        // 65 workers remain: 31 complete racks for the pairs, and one more complete rack or two
        // single workers for the other guarantee.
        assert!(all_reserved(&world), "round {round}");
        world.join_worker(ix);
        world.advance(Duration::from_secs(1));
    }
}

/// Guards against non-preemptible work on capacity that a guarantee covers.
#[test]
fn non_preemptible_stays_off_reserved_capacity() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", single, 1));
    let never =
        |id: &str, team: &str| JobSpec { preemption: Preemption::Never, ..job(id, team, 4, 1) };
    world.submit_and_run(never("n0", "b"));
    world.submit(never("n1", "b"));
    assert_eq!(world.state("n1"), "waiting");
    // Non-preemptible work of the owner may use its own guarantee.
    world.submit_and_run(never("own", "a"));
    assert_eq!(world.status("own").instance.as_deref(), Some("one/0"));
}

/// Guards against a job that is preempted more than three times within an hour.
#[test]
fn preemptions_limited_per_hour() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[1]]), "one", "a", single, 1));
    let run_time = Duration::from_secs(7200);
    world.submit(JobSpec { run_time, ..job("b", "b", 4, 1) });
    for round in 0..3 {
        world.run_after_backoff("b");
        let id = format!("urgent{round}");
        world.submit(claim(&id, "a", "one", single));
        world.end_gang("b", GangEnd::Stopped);
        world.run_gang(&id);
        world.end_gang(&id, GangEnd::Finished);
    }
    world.advance(Duration::from_secs(1));
    assert_eq!(world.state("b"), "waiting");
    let last = world.epochs["b"];
    world.advance(Duration::from_secs(3600));
    assert!(world.epochs["b"] > last, "the job was not placed after an hour");
}
