//! Claims, the faults that can hit a reclaim, and what borrowed work may lose.

mod world;

use std::time::Duration;

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, JobSpec, PreemptMode, Preemption,
};
use skylarkpulley_types::{AgentId, Locality};
use world::{World, job, pool, shape, with_guarantee};

const BOUND: Duration = Duration::from_millis(6900);
/// Time that the failover of the deciding entry may take out of the bound.
const FAILOVER: Duration = Duration::from_millis(2500);

fn claim(id: &str, team: &str, guarantee: &str, shape: skylarkpulley_types::Shape) -> JobSpec {
    JobSpec { shape, claim: Some(guarantee.to_owned()), urgent: true, ..job(id, team, 1, 1) }
}

/// Two racks of two workers; team "a" holds a pair within a rack; team "b" uses every accelerator.
fn lent_out() -> World {
    let pair = shape(4, 2, Locality::Rack);
    let mut world = World::new(with_guarantee(pool(4, &[&[2, 2]]), "pair", "a", pair, 1));
    for ix in 0..4 {
        world.submit_and_run(job(&format!("b{ix}"), "b", 4, 1));
    }
    world
}

/// Guards against a claim that evicts although workers of its shape are free.
#[test]
fn claim_prefers_free_workers() {
    let pair = shape(4, 2, Locality::Rack);
    let mut world = World::new(with_guarantee(pool(4, &[&[2, 2]]), "pair", "a", pair, 1));
    let first: Vec<AgentId> = world.placer.status().instances[0].members.clone();
    // Occupies the reserved rack and leaves the other one free.
    let others: Vec<String> = world
        .agents
        .iter()
        .filter(|(agent, _, _)| !first.contains(agent))
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
    let mut got = world.workers_of("urgent");
    got.sort();
    assert_eq!(got, others);
}

/// Guards against victims being chosen without regard to the work that is lost.
#[test]
fn claim_takes_cheapest_victims() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", one, 1));
    let stop = JobSpec { preemption: Preemption::Stop, ..job("dear", "b", 4, 1) };
    world.submit_and_run(stop);
    world.submit_and_run(job("cheap", "b", 4, 1));
    world.advance(Duration::from_secs(300));
    let actions = world.submit(claim("urgent", "a", "one", one));
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

/// Guards against work past its corrected run time being spared.
#[test]
fn claim_takes_overdue_work_first() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", one, 1));
    let run_time = Duration::from_secs(10);
    world.submit_and_run(JobSpec {
        preemption: Preemption::Stop,
        run_time,
        ..job("overdue", "b", 4, 1)
    });
    world.submit_and_run(job("cheap", "b", 4, 1));
    world.advance(Duration::from_secs(60));
    world.submit(claim("urgent", "a", "one", one));
    assert_eq!((world.state("overdue"), world.state("cheap")), ("stopping", "running"));
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The first worker of the shape never answers.
    Silent,
    /// It answers "no answer" through the caller's own time limit.
    NoAnswer,
    /// It dies while the victim writes its checkpoint.
    Dies,
    /// It refuses the hold.
    Refuses,
    /// Its victim never stops, so that the hold stays pending.
    Stuck,
    /// Two workers, one after the other, do not answer.
    SilentTwice,
}

/// Guards against a reclaim that waits for a failed worker, or that misses its bound.
#[test]
fn claim_starts_despite_faults() {
    let faults = [
        Fault::None,
        Fault::Silent,
        Fault::NoAnswer,
        Fault::Dies,
        Fault::Refuses,
        Fault::Stuck,
        Fault::SilentTwice,
    ];
    for fault in faults {
        let mut world = lent_out();
        if matches!(fault, Fault::SilentTwice) {
            // One more rack, so that there is a third choice.
            let pair = shape(4, 2, Locality::Rack);
            world = World::new(with_guarantee(pool(4, &[&[2, 2, 2]]), "pair", "a", pair, 1));
            for ix in 0..6 {
                world.submit_and_run(job(&format!("b{ix}"), "b", 4, 1));
            }
        }
        let start = world.now;
        world.submit(claim("urgent", "a", "pair", shape(4, 2, Locality::Rack)));
        let faulty = match fault {
            Fault::SilentTwice => 2,
            Fault::None => 0,
            _ => 1,
        };
        for _ in 0..faulty {
            let (bad, good) = {
                let members = world.status("urgent").members;
                (members[0].0.clone(), members[1].0.clone())
            };
            let epoch = world.epochs["urgent"];
            world.answer("urgent", &good, HoldResult::Pending);
            match fault {
                Fault::Silent | Fault::SilentTwice => {}
                Fault::NoAnswer => {
                    world.advance(Duration::from_secs(1));
                    world.answer("urgent", &bad, HoldResult::NoAnswer);
                }
                Fault::Dies => {
                    world.advance(Duration::from_secs(1));
                    let ix = world.agents.iter().position(|agent| agent.0 == bad).unwrap();
                    world.lose(ix);
                }
                Fault::Refuses => {
                    let reason = "another claim".to_owned();
                    world.answer("urgent", &bad, HoldResult::Refused { reason, highest_epoch: 40 });
                }
                Fault::Stuck => {
                    world.answer("urgent", &bad, HoldResult::Pending);
                }
                Fault::None => {}
            }
            for _ in 0..300 {
                if world.epochs["urgent"] != epoch && world.state("urgent") == "holding" {
                    break;
                }
                world.advance(Duration::from_millis(10));
            }
            assert_ne!(world.epochs["urgent"], epoch, "{fault:?}: no other choice");
            if !matches!(fault, Fault::Refuses) {
                let chosen = world.workers_of("urgent");
                assert!(!chosen.contains(&bad.name), "{fault:?}: the same worker again");
            }
        }
        // The victims of the last choice stop at the end of their grace period.
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
            world.end(&victim, GangEnd::Stopped);
        }
        world.run("urgent");
        assert_eq!(world.state("urgent"), "running", "{fault:?}");
        let taken = world.now - start + Duration::from_millis(500);
        // The budget has room for a failover and one fault; a stuck eviction or a second fault uses
        // up the part of the failover.
        let whole = matches!(fault, Fault::Stuck | Fault::SilentTwice);
        let bound = if whole { BOUND } else { BOUND - FAILOVER };
        assert!(taken <= bound, "{fault:?} took {taken:?}");
    }
}

/// Guards against a claim that waits behind many claims for which no instance is left.
#[test]
fn claim_not_behind_waiting_claims() {
    let one = shape(4, 1, Locality::Worker);
    let base = with_guarantee(pool(4, &[&[3]]), "busy", "a", one, 1);
    let mut world = World::new(with_guarantee(base, "open", "b", one, 1));
    for ix in 0..200 {
        let spec = claim(&format!("a{ix}"), "a", "busy", one);
        world.submit(JobSpec { class: 0, preemption: Preemption::Never, ..spec });
        world.run(&format!("a{ix}"));
    }
    world.submit_and_run(job("filler", "a", 4, 1));
    let epoch = world.epochs["filler"];
    let end = GangEnd::Finished;
    world.placer.handle(Event::GangEnded { job: "filler".to_owned(), epoch, end }, world.now);
    world.submit(JobSpec { class: 9, ..claim("b", "b", "open", one) });
    assert_eq!(world.state("b"), "holding");
}

/// Guards against a claim that is refused again and again because an agent missed its reservation.
#[test]
fn claim_retry_sets_reservation_again() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[1]]), "one", "a", one, 1));
    let agent = world.agents[0].0.clone();
    let first = world.submit(claim("urgent", "a", "one", one));
    let sets = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::SetReservation { .. })).count()
    };
    assert_eq!(sets(&first), 0, "the reservation stands already");
    let reason = "no reservation".to_owned();
    world.answer("urgent", &agent, HoldResult::Refused { reason, highest_epoch: 0 });
    let again = world.advance(Duration::from_millis(100));
    let place = |action: &Action| matches!(action, Action::Place { .. });
    assert!(sets(&again) == 1 && again.iter().any(place), "{again:?}");
}

/// Guards against a guarantee that is lost without notice, or not restored.
#[test]
fn guarantee_risk_named_and_restored() {
    let mut world = lent_out();
    let risk = |actions: &[Action]| {
        actions.iter().any(|action| {
            matches!(action, Action::GuaranteeAtRisk { instance, .. } if instance == "pair/0")
        })
    };
    let first = world.lose(0);
    assert!(!risk(&first), "the other rack can hold it");
    let second = world.lose(2);
    assert!(risk(&second), "{second:?}");
    let back = world.join(0);
    let restored = |action: &Action| matches!(action, Action::GuaranteeRestored { instance, .. } if instance == "pair/0");
    assert!(back.iter().any(restored), "{back:?}");
}

/// Guards against a large pool in which reservations are not rearranged when one worker is lost:
/// single workers may have to leave a rack that a pair needs.
#[test]
fn guarantee_rearranged_in_large_pool() {
    let racks = [2; 33];
    let one = shape(4, 1, Locality::Worker);
    let pair = shape(4, 2, Locality::Rack);
    let base = with_guarantee(pool(4, &[&racks]), "one", "a", one, 2);
    let mut world = World::new(with_guarantee(base, "pair", "b", pair, 31));
    let safe = |world: &World| !world.placer.status().instances.iter().any(|one| one.at_risk);
    assert!(safe(&world));
    for round in 0..20 {
        let ix = round * 7 % 66;
        world.lose(ix);
        world.advance(Duration::from_secs(1));
        // 65 workers: 31 whole racks, one whole rack or two single workers for the rest.
        assert!(safe(&world), "round {round}");
        world.join(ix);
        world.advance(Duration::from_secs(1));
    }
}

/// Guards against non-preemptible work on capacity that a guarantee covers.
#[test]
fn never_stays_off_reserved_capacity() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", one, 1));
    let never =
        |id: &str, team: &str| JobSpec { preemption: Preemption::Never, ..job(id, team, 4, 1) };
    world.submit_and_run(never("n0", "b"));
    world.submit(never("n1", "b"));
    assert_eq!(world.state("n1"), "waiting");
    // The owner's own work may use its guarantee.
    world.submit_and_run(never("own", "a"));
    assert_eq!(world.status("own").instance.as_deref(), Some("one/0"));
}

/// Guards against a job that is preempted again and again.
#[test]
fn preemptions_limited_per_hour() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[1]]), "one", "a", one, 1));
    let run_time = Duration::from_secs(7200);
    world.submit(JobSpec { run_time, ..job("b", "b", 4, 1) });
    for round in 0..3 {
        world.run_soon("b");
        let id = format!("urgent{round}");
        world.submit(claim(&id, "a", "one", one));
        world.end("b", GangEnd::Stopped);
        world.run(&id);
        world.end(&id, GangEnd::Finished);
    }
    world.advance(Duration::from_secs(1));
    assert_eq!(world.state("b"), "waiting");
    let last = world.epochs["b"];
    world.advance(Duration::from_secs(3600));
    assert!(world.epochs["b"] > last, "not placed after an hour");
}
