//! Gangs, order, backfill, admission, health and takeover.

mod world;

use std::time::Duration;

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, JobSpec, Placer, Preemption, ReportedGrant,
    ReportedReservation, WorkerReport,
};
use skylarkpulley_types::{AgentId, Locality};
use world::{World, job, pool, shape, with_guarantee};

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a gang that keeps some members when one hold fails, and against a reused epoch.
#[test]
fn gang_refused_hold_releases_all() {
    let refused = HoldResult::Refused { reason: "full".to_owned(), highest_epoch: 90 };
    for (result, least) in [(refused, 91), (HoldResult::NoAnswer, 2)] {
        let mut world = World::new(pool(4, &[&[3]]));
        world.submit(job("j", "a", 4, 2));
        let members = world.status("j").members;
        world.answer("j", &members[0].0, HoldResult::Held);
        let actions = world.answer("j", &members[1].0, result);
        let released = actions.iter().find_map(|action| match action {
            Action::Release { members, .. } => Some(members.len()),
            _ => None,
        });
        assert_eq!(released, Some(2));
        assert_eq!(world.state("j"), "waiting");
        world.advance(secs(6));
        assert!(world.epochs["j"] >= least, "{:?}", world.epochs);
    }
}

/// Guards against an answer or an end of an old try being taken for the current one.
#[test]
fn gang_stale_epoch_ignored() {
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit(job("j", "a", 4, 1));
    let old = world.epochs["j"];
    let agent = world.status("j").members[0].0.clone();
    world.answer("j", &agent, HoldResult::NoAnswer);
    world.advance(secs(1));
    world.run("j");
    for end in [GangEnd::Finished, GangEnd::LeaseLapsed] {
        world.send(Event::GangEnded { job: "j".to_owned(), epoch: old, end });
        assert_eq!(world.state("j"), "running");
    }
}

/// Guards against a member's failure that leaves the rest running, or that loses the checkpoint.
#[test]
fn gang_member_lost_requeues_all() {
    let mut world = World::new(pool(4, &[&[3]]));
    world.submit_and_run(job("j", "a", 4, 2));
    let epoch = world.epochs["j"];
    world.send(Event::Checkpointed { job: "j".to_owned(), epoch, progress: secs(300) });
    let lost = world.status("j").members[1].0.clone();
    let ix = world.agents.iter().position(|agent| agent.0 == lost).unwrap();
    let actions = world.lose(ix);
    assert!(actions.iter().any(|action| matches!(action, Action::Preempt { .. })), "{actions:?}");
    world.end("j", GangEnd::LeaseLapsed);
    world.advance(secs(1));
    assert_eq!(world.state("j"), "holding");
    assert!(world.epochs["j"] > epoch);
}

/// Guards against backfill that delays the reserved start of the first job that waits.
#[test]
fn backfill_keeps_reserved_start() {
    let timed =
        |id: &str, workers, time| JobSpec { run_time: secs(time), ..job(id, "a", 4, workers) };
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit_and_run(timed("first", 1, 100));
    world.submit(JobSpec { class: 1, ..timed("large", 2, 100) });
    assert_eq!(world.state("large"), "waiting");
    world.submit(timed("long", 1, 200));
    assert_eq!(world.state("long"), "waiting");
    world.submit(timed("short", 1, 50));
    assert_eq!(world.state("short"), "holding");
    world.run("short");
    world.end("short", GangEnd::Finished);
    world.end("first", GangEnd::Finished);
    assert_eq!((world.state("large"), world.state("long")), ("holding", "waiting"));
}

/// Guards against estimates that believe declarations which were always wrong.
#[test]
fn estimates_corrected_by_observation() {
    let mut world = World::new(pool(4, &[&[2]]));
    let timed =
        |id: &str, workers, time| JobSpec { run_time: secs(time), ..job(id, "a", 4, workers) };
    for round in 0..10 {
        let id = format!("past{round}");
        world.submit_and_run(JobSpec { kind: "render".to_owned(), ..timed(&id, 1, 10) });
        world.advance(secs(100));
        world.end(&id, GangEnd::Finished);
    }
    world.submit_and_run(timed("first", 1, 100));
    world.submit(JobSpec { class: 1, ..timed("large", 2, 100) });
    // Declared as 20 s; jobs of this kind take ten times as long.
    world.submit(JobSpec { kind: "render".to_owned(), ..timed("liar", 1, 20) });
    assert_eq!(world.state("liar"), "waiting");
    world.submit(JobSpec { kind: "other".to_owned(), ..timed("honest", 1, 20) });
    assert_eq!(world.state("honest"), "holding");
}

/// Guards against a lower class, or a team with the larger share, going first.
#[test]
fn order_class_then_share() {
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit_and_run(job("a0", "a", 2, 1));
    world.submit_and_run(job("fill", "b", 4, 1));
    world.submit_and_run(job("a1", "a", 2, 1));
    world.submit(job("a2", "a", 4, 1));
    world.submit(job("b2", "b", 4, 1));
    world.submit(JobSpec { class: 1, ..job("first", "a", 4, 1) });
    world.end("fill", GangEnd::Finished);
    assert_eq!(world.state("first"), "holding");
    world.run("first");
    world.end("a0", GangEnd::Finished);
    world.end("a1", GangEnd::Finished);
    assert_eq!((world.state("b2"), world.state("a2")), ("holding", "waiting"));
}

/// Guards against jobs that wait for ever, and against refusals that do not say what would fit.
#[test]
fn submit_impossible_refused() {
    let one = shape(8, 1, Locality::Worker);
    let base = with_guarantee(pool(8, &[&[3, 1], &[2]]), "one", "a", one, 1);
    let never = Preemption::Never;
    let claim = |name: &str| Some(name.to_owned());
    let table = [
        (job("j", "a", 9, 1), "have 8", "8x2"),
        (JobSpec { shape: shape(1, 4, Locality::Rack), ..job("j", "a", 1, 1) }, "rack", "domain"),
        (JobSpec { shape: shape(1, 5, Locality::Domain), ..job("j", "a", 1, 1) }, "dom", "pool"),
        (job("j", "a", 1, 7), "there are 6", "at most 6"),
        (job("j", "c", 1, 1), "team c", "add the team"),
        (JobSpec { cores: 65, ..job("j", "a", 1, 1) }, "65 cores", "at most 64"),
        (JobSpec { memory_mib: 300_000, ..job("j", "a", 1, 1) }, "300000 MiB", "262144"),
        (JobSpec { claim: claim("two"), ..job("j", "a", 1, 1) }, "no guarantee two", "existing"),
        (JobSpec { claim: claim("one"), ..job("j", "b", 1, 1) }, "team a", "own team"),
        (JobSpec { claim: claim("one"), ..job("j", "a", 8, 2) }, "does not fit", "within 8x1"),
        (JobSpec { preemption: never, ..job("j", "b", 8, 6) }, "non-preemptible", "checkpoint"),
        (JobSpec { preemption: never, cores: 9, ..job("j", "b", 1, 1) }, "9 cores", "fewer"),
    ];
    for (spec, why, how) in table {
        let mut world = World::new(base.clone());
        let actions = world.submit(spec.clone());
        let refusal = actions.iter().find_map(|action| match action {
            Action::Refuse { reason, remedy, .. } => Some((reason.clone(), remedy.clone())),
            _ => None,
        });
        let (reason, remedy) = refusal.unwrap_or_else(|| panic!("{spec:?} was accepted"));
        assert!(reason.contains(why), "{reason}");
        assert!(remedy.contains(how), "{remedy}");
    }
}

/// Guards against a pool edit that leaves refused and waiting jobs as they were.
#[test]
fn apply_pool_reconsiders() {
    let mut world = World::new(pool(8, &[&[2]]));
    world.submit(job("wide", "a", 8, 3));
    world.submit_and_run(job("busy", "a", 8, 1));
    world.submit(job("waits", "b", 8, 2));
    world.placer.apply_pool(&pool(8, &[&[3]]));
    let actions = world.decide();
    let fits = |action: &Action| matches!(action, Action::FitsNow { job, .. } if job == "wide");
    assert!(actions.iter().any(fits), "{actions:?}");
    world.placer.apply_pool(&pool(8, &[&[1]]));
    let actions = world.decide();
    let refused = |action: &Action| matches!(action, Action::Refuse { job, .. } if job == "waits");
    assert!(actions.iter().any(refused), "{actions:?}");
}

/// Guards against a job that runs during a pool edit and is placed again although it no longer
/// fits its guarantee.
#[test]
fn apply_pool_reviews_requeued_job() {
    let guaranteed = |accelerators| {
        let shape = shape(accelerators, 1, Locality::Worker);
        with_guarantee(pool(4, &[&[2]]), "one", "a", shape, 1)
    };
    let mut world = World::new(guaranteed(3));
    world.submit_and_run(JobSpec { claim: Some("one".to_owned()), ..job("j", "a", 3, 1) });
    world.placer.apply_pool(&guaranteed(2));
    world.decide();
    assert_eq!(world.state("j"), "running");
    world.end("j", GangEnd::LeaseLapsed);
    let actions = world.advance(secs(1));
    let refused = |action: &Action| matches!(action, Action::Refuse { job, .. } if job == "j");
    assert!(actions.iter().any(refused), "{actions:?}");
}

/// Guards against a gang known only from reports that is started again without its job.
#[test]
fn takeover_unknown_gang_not_requeued() {
    let mut world = World::new(pool(4, &[&[2]]));
    let agent = world.agents[0].0.clone();
    let grant = ReportedGrant {
        job: "theirs".to_owned(),
        epoch: 5,
        accelerators: 2,
        preemptible: true,
        running: true,
        ..ReportedGrant::default()
    };
    let report = WorkerReport { grants: vec![grant], reservations: Vec::new() };
    world.send(Event::WorkerReport { agent, report });
    assert_eq!(world.status("theirs").state, "running");
    world.lose(0);
    let actions = world.advance(secs(5));
    assert!(!actions.iter().any(|action| matches!(action, Action::Place { .. })), "{actions:?}");
    assert_eq!(world.state("theirs"), "gone");
}

/// Guards against a worker that fails everything at once and, being always free, attracts all work;
/// and against a quarantine without a way back.
#[test]
fn worker_sick_quarantined_and_probed() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    let bad = world.agents[0].0.clone();
    for ix in 1..6 {
        // All other workers are busy, so that the sick one is the only choice.
        let id = format!("busy{ix}");
        world.send(Event::Drain { worker: bad.name.clone(), draining: true });
        world.submit_and_run(JobSpec { run_time: secs(90_000), ..job(&id, "b", 4, 1) });
        world.send(Event::Drain { worker: bad.name.clone(), draining: false });
    }
    let mut failures = 0;
    for round in 0..20 {
        let id = format!("j{round}");
        world.submit(JobSpec { run_time: secs(5), ..job(&id, "a", 1, 1) });
        world.run_soon(&id);
        if world.state(&id) == "running" {
            assert_eq!(world.workers_of(&id), std::slice::from_ref(&bad.name));
            failures += 1;
            world.end(&id, GangEnd::Failed { worker: bad.clone() });
        }
        world.send(Event::Cancel { job: id });
    }
    // Three failures lead to the quarantine, the rest are probes at growing intervals.
    assert!((3..=8).contains(&failures), "{failures} of 20 jobs went to the sick worker");
    let quarantined =
        |action: &Action| matches!(action, Action::Quarantine { worker, .. } if *worker == bad);
    assert!(world.log.iter().any(quarantined));
    // The worker is well again; a probe finds out.
    world.advance(secs(7200));
    world.submit(job("probe", "a", 1, 1));
    assert_eq!(world.workers_of("probe"), std::slice::from_ref(&bad.name));
    world.run("probe");
    world.advance(secs(31));
    let status = world.placer.status();
    assert!(!status.workers.iter().any(|worker| worker.quarantined), "{status:#?}");
}

/// Guards against a whole pool in quarantine when many workers fail at once.
#[test]
fn worker_quarantine_bounded() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    let mut most = 0;
    for round in 0..60 {
        let id = format!("j{round}");
        world.submit(job(&id, "a", 1, 1));
        if world.state(&id) == "holding" {
            world.run(&id);
            let (worker, _) = world.status(&id).members[0].clone();
            world.end(&id, GangEnd::Failed { worker });
        }
        world.send(Event::Cancel { job: id });
        world.advance(secs(10));
        let workers = world.placer.status().workers;
        let count = workers.iter().filter(|worker| worker.quarantined).count();
        assert!(count <= 2);
        most = most.max(count);
    }
    assert_eq!(most, 2);
}

/// Guards against a job that fails everywhere and is tried for ever, taking workers down with it.
#[test]
fn job_sick_stopped() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    world.submit(job("sick", "a", 1, 1));
    for _ in 0..3 {
        world.run_soon("sick");
        let worker = world.status("sick").members[0].0.clone();
        world.end("sick", GangEnd::Failed { worker });
    }
    assert_eq!(world.state("sick"), "gone");
    let stopped = |action: &Action| matches!(action, Action::StopJob { job, .. } if job == "sick");
    assert!(world.log.iter().any(stopped));
    assert!(!world.placer.status().workers.iter().any(|worker| worker.quarantined));
}

/// Guards against excess memory that is ignored, or answered by a stop at once.
#[test]
fn memory_excess_throttled_then_ended() {
    let table = [(Preemption::Checkpoint, "requeued"), (Preemption::Stop, "stopped")];
    for (preemption, last) in table {
        let mut world = World::new(pool(4, &[&[2]]));
        world.submit_and_run(JobSpec { memory_mib: 1000, preemption, ..job("fat", "a", 1, 1) });
        let agent = world.status("fat").members[0].0.clone();
        let grant = ReportedGrant {
            job: "fat".to_owned(),
            epoch: world.epochs["fat"],
            accelerators: 1,
            preemptible: true,
            running: true,
            memory_mib: 4000,
            ..ReportedGrant::default()
        };
        let report = WorkerReport { grants: vec![grant], reservations: Vec::new() };
        let actions = world.send(Event::WorkerReport { agent, report });
        assert!(matches!(actions[..], [Action::Throttle { .. }]), "{actions:?}");
        let actions = world.advance(secs(5));
        let ended = actions.iter().any(|action| matches!(action, Action::Preempt { .. }));
        let stopped = actions.iter().any(|action| matches!(action, Action::StopJob { .. }));
        assert!(ended && stopped == (last == "stopped"), "{actions:?}");
        world.end("fat", GangEnd::Stopped);
        assert_eq!(world.state("fat") == "gone", last == "stopped");
    }
}

/// Guards against a large shape that starves although moving small work would make room.
#[test]
fn defragment_moves_small_work() {
    let mut world = World::new(pool(4, &[&[2]]));
    for id in ["s0", "s1", "s2", "s3"] {
        world.submit_and_run(JobSpec { run_time: secs(7200), ..job(id, "a", 2, 1) });
    }
    let workers: Vec<String> =
        ["s0", "s1", "s2", "s3"].map(|id| world.workers_of(id).remove(0)).to_vec();
    let apart = (1..4).find(|ix| workers[*ix] != workers[0]).unwrap();
    for ix in (1..4).filter(|ix| *ix != apart) {
        world.end(&format!("s{ix}"), GangEnd::Finished);
    }
    world.submit(JobSpec { class: 1, run_time: secs(7200), ..job("large", "b", 4, 1) });
    assert_eq!(world.state("large"), "waiting");
    let mut moved = Vec::new();
    for _ in 0..40 {
        for action in world.advance(secs(1)) {
            if let Action::Preempt { job, .. } = action {
                moved.push(job);
            }
        }
        if !moved.is_empty() {
            break;
        }
    }
    assert_eq!(moved.len(), 1, "{moved:?}");
    let moved = moved.remove(0);
    world.end(&moved, GangEnd::Stopped);
    world.run("large");
    world.run_soon(&moved);
    assert_eq!((world.state("large"), world.state(&moved)), ("running", "running"));
}

/// Guards against a new placer that grants what its predecessor granted, or reuses its epochs.
#[test]
fn takeover_rebuilds_from_reports() {
    let pair = shape(4, 2, Locality::Rack);
    let pool = with_guarantee(pool(4, &[&[3]]), "pair", "a", pair, 1);
    let mut world = World::new(pool.clone());
    world.submit_and_run(job("old", "b", 4, 1));
    let claim = JobSpec { claim: Some("pair".to_owned()), ..job("claim", "a", 4, 2) };
    world.submit_and_run(JobSpec { shape: pair, ..claim.clone() });
    let top = world.epochs["claim"];
    world.placer = Placer::new(&pool, world.now).with_seed(9);
    world.settled = false;
    // The queue is read back first; nothing may start before the workers have reported.
    assert!(world.submit(job("new", "b", 4, 1)).is_empty());
    for (agent, domain, rack) in world.agents.clone() {
        let joined = Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators: 4 };
        world.send(joined);
        let mut grants = world.held[&agent].clone();
        for grant in &mut grants {
            grant.running = true;
        }
        let report = WorkerReport { grants, reservations: Vec::new() };
        world.send(Event::WorkerReport { agent, report });
    }
    world.settled = true;
    world.submit(JobSpec { shape: pair, ..claim });
    assert_eq!(world.state("claim"), "running");
    assert_eq!(world.status("claim").instance.as_deref(), Some("pair/0"));
    assert_eq!((world.state("old"), world.state("new")), ("running", "waiting"));
    world.end("old", GangEnd::Finished);
    assert_eq!(world.state("new"), "holding");
    assert!(world.epochs["new"] > top);
}

/// Guards against reservations that drift apart from what the agents report, and against repairs
/// that interfere with a change under way or with a claim.
#[test]
fn reservations_repaired_from_reports() {
    let three = shape(3, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "three", "a", three, 1));
    let planned = world.placer.status().instances[0].members[0].clone();
    let other = world.agents.iter().map(|agent| &agent.0).find(|agent| **agent != planned);
    let other = other.unwrap().clone();
    let reserved =
        |epoch| ReportedReservation { instance: "three/0".to_owned(), epoch, accelerators: 3 };
    let report = |agent: &AgentId, reservations: Vec<ReportedReservation>| {
        let report = WorkerReport { grants: Vec::new(), reservations };
        Event::WorkerReport { agent: agent.clone(), report }
    };
    // Within the lag of reports nothing is repaired.
    assert!(world.send(report(&planned, Vec::new())).is_empty());
    assert!(world.send(report(&other, vec![reserved(3)])).is_empty());
    world.advance(secs(3));
    let set = world.send(report(&planned, Vec::new()));
    assert!(matches!(&set[..], [Action::SetReservation { accelerators: 3, .. }]), "{set:?}");
    let cleared = world.send(report(&other, vec![reserved(3)]));
    assert!(matches!(&cleared[..], [Action::ClearReservation { .. }]), "{cleared:?}");
    // A claim of two accelerators converts the reservation; the agent reports none.
    world.submit_and_run(JobSpec {
        claim: Some("three".to_owned()),
        shape: shape(2, 1, Locality::Worker),
        ..job("claim", "a", 2, 1)
    });
    world.advance(secs(3));
    let agent = world.status("claim").members[0].0.clone();
    let grants = world.held[&agent].clone();
    let report = WorkerReport { grants, reservations: Vec::new() };
    let actions = world.send(Event::WorkerReport { agent, report });
    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against one instance being claimed twice when two entries propose at once.
#[test]
fn takeover_claim_of_other_entry_counts() {
    let one = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", one, 1));
    world.submit(JobSpec { claim: Some("one".to_owned()), ..job("ours", "a", 4, 1) });
    let agent = world.status("ours").members[0].0.clone();
    let theirs = ReportedGrant {
        job: "theirs".to_owned(),
        epoch: 50,
        accelerators: 4,
        instance: Some("one/0".to_owned()),
        running: true,
        ..ReportedGrant::default()
    };
    let report = WorkerReport { grants: vec![theirs], reservations: Vec::new() };
    let event = Event::WorkerReport { agent: agent.clone(), report };
    // Both grants are on the books until the agent has refused ours.
    world.settled = false;
    world.send(event.clone());
    world.answer(
        "ours",
        &agent,
        HoldResult::Refused { reason: "claimed".to_owned(), highest_epoch: 50 },
    );
    world.send(event);
    world.settled = true;
    let instance = world.placer.status().instances[0].clone();
    assert_eq!(instance.claim.as_deref(), Some("theirs"));
    assert!(world.status("ours").instance.is_none());
}

/// Guards against a report that predates a decision and seems to free what was just granted.
#[test]
fn report_lag_keeps_new_grants() {
    let mut world = World::new(pool(4, &[&[1]]));
    world.submit_and_run(job("j", "a", 4, 1));
    let agent = world.agents[0].0.clone();
    world.send(Event::WorkerReport { agent, report: WorkerReport::default() });
    world.submit(job("k", "a", 4, 1));
    assert_eq!((world.state("j"), world.state("k")), ("running", "waiting"));
}

/// Guards against a gang that is preempted because the report that ends it no longer lists it, and
/// against one whose end was never reported.
#[test]
fn report_without_member_waits_for_end() {
    for reported in [true, false] {
        let mut world = World::new(pool(4, &[&[1]]));
        world.submit_and_run(job("j", "a", 4, 1));
        let agent = world.agents[0].0.clone();
        let grants = world.held[&agent].clone();
        let report = WorkerReport { grants, reservations: Vec::new() };
        world.send(Event::WorkerReport { agent: agent.clone(), report });
        let report = WorkerReport::default();
        assert!(world.send(Event::WorkerReport { agent, report }).is_empty());
        if reported {
            assert!(world.end("j", GangEnd::Finished).is_empty());
        }
        let late = world.advance(secs(3));
        let preempted = late.iter().any(|action| matches!(action, Action::Preempt { .. }));
        assert_eq!(preempted, !reported, "{late:?}");
    }
}

/// Guards against a report that predates the end of a gang and seems to bring it back; and against
/// a gang that is left running at an agent.
#[test]
fn report_lag_ended_gang_ignored() {
    let mut world = World::new(pool(4, &[&[1]]));
    world.submit_and_run(job("j", "a", 4, 1));
    let agent = world.agents[0].0.clone();
    let grants = world.held[&agent].clone();
    world.end("j", GangEnd::Finished);
    let report = WorkerReport { grants, reservations: Vec::new() };
    let event = Event::WorkerReport { agent, report };
    assert!(world.send(event.clone()).is_empty());
    assert_eq!(world.state("j"), "gone");
    world.submit_and_run(job("k", "a", 4, 1));
    world.advance(secs(3));
    let actions = world.send(event);
    let released = |action: &Action| matches!(action, Action::Release { job, .. } if job == "j");
    assert!(actions.iter().any(released), "{actions:?}");
}

/// Guards against unbounded work in one decision, and against waves that leave something behind.
#[test]
fn waves_bounded_and_complete() {
    let mut world = World::new(pool(4, &[&[3, 3]]));
    for ix in 0..300 {
        let spec = JobSpec { kind: format!("k{ix}"), ..job(&format!("j{ix}"), "a", 1, 1) };
        world.placer.handle(Event::Submit(spec.clone()), world.now);
        world.specs.insert(spec.id.clone(), spec);
    }
    let placed = |actions: &[Action]| {
        actions.iter().filter(|action| matches!(action, Action::Place { .. })).count()
    };
    assert_eq!(placed(&world.decide()), 24);
    // A rack is lost and comes back; another rack's jobs are not touched.
    for ix in 0..3 {
        world.lose(ix);
    }
    for ix in 0..3 {
        world.join(ix);
    }
    world.advance(secs(1));
    for ix in 0..300 {
        world.placer.handle(Event::Cancel { job: format!("j{ix}") }, world.now);
    }
    world.decide();
    world.advance(secs(10));
    let status = world.placer.status();
    assert!(status.jobs.is_empty(), "{:?}", status.jobs);
    assert!(status.workers.iter().all(|worker| worker.used == 0));
}
