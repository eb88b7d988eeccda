//! Gangs, queue order, backfill, admission, quarantine and takeover.

mod world;

use std::time::Duration;

use skylarkpulley_placement::{
    Action, Event, GangEnd, HoldResult, JobSpec, Placer, Preemption, ReportedGrant,
    ReportedReservation, WorkerReport,
};
use skylarkpulley_types::{AgentId, Locality};
use world::{World, job, pool, shape, with_guarantee};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a gang that keeps the holds of some members when one hold fails, and against a
/// reused epoch.
#[test]
fn gang_refused_hold_releases_all() {
    let refused = HoldResult::Refused { reason: "full".to_owned(), highest_epoch: 90 };
    for (result, min_epoch) in [(refused, 91), (HoldResult::NoAnswer, 2)] {
        let mut world = World::new(pool(4, &[&[3]]));
        world.submit(job("j", "a", 4, 2));
        let members = world.status("j").members;
        world.answer_hold("j", &members[0].0, HoldResult::Held);
        let actions = world.answer_hold("j", &members[1].0, result);
        let released = actions.iter().find_map(|action| match action {
            Action::Release { members, .. } => Some(members.len()),
            _ => None,
        });
        assert_eq!(released, Some(2));
        assert_eq!(world.state("j"), "waiting");
        world.advance(seconds(6));
        assert!(world.epochs["j"] >= min_epoch, "{:?}", world.epochs);
    }
}

/// Guards against an answer or an end of an earlier placement that is applied to the current one.
#[test]
fn gang_stale_epoch_ignored() {
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit(job("j", "a", 4, 1));
    let old = world.epochs["j"];
    let agent = world.status("j").members[0].0.clone();
    world.answer_hold("j", &agent, HoldResult::NoAnswer);
    world.advance(seconds(1));
    world.run_gang("j");
    for end in [GangEnd::Finished, GangEnd::LeaseLapsed] {
        world.send(Event::GangEnded { job: "j".to_owned(), epoch: old, end });
        assert_eq!(world.state("j"), "running");
    }
}

/// Guards against a lost member that leaves the other members running, or whose gang is not queued
/// again from its checkpoint.
#[test]
fn gang_member_lost_requeues_all() {
    let mut world = World::new(pool(4, &[&[3]]));
    world.submit_and_run(job("j", "a", 4, 2));
    let epoch = world.epochs["j"];
    world.send(Event::Checkpointed { job: "j".to_owned(), epoch, progress: seconds(300) });
    let lost = world.status("j").members[1].0.clone();
    let ix = world.agents.iter().position(|agent| agent.0 == lost).unwrap();
    let actions = world.lose_worker(ix);
    assert!(actions.iter().any(|action| matches!(action, Action::Preempt { .. })), "{actions:?}");
    world.end_gang("j", GangEnd::LeaseLapsed);
    world.advance(seconds(1));
    assert_eq!(world.state("j"), "holding");
    assert!(world.epochs["j"] > epoch);
}

/// Guards against backfill that delays the reserved start of the first waiting job.
#[test]
fn backfill_keeps_reserved_start() {
    let timed =
        |id: &str, workers, time| JobSpec { run_time: seconds(time), ..job(id, "a", 4, workers) };
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit_and_run(timed("first", 1, 100));
    world.submit(JobSpec { class: 1, ..timed("large", 2, 100) });
    assert_eq!(world.state("large"), "waiting");
    world.submit(timed("long", 1, 200));
    assert_eq!(world.state("long"), "waiting");
    world.submit(timed("short", 1, 50));
    assert_eq!(world.state("short"), "holding");
    world.run_gang("short");
    world.end_gang("short", GangEnd::Finished);
    world.end_gang("first", GangEnd::Finished);
    assert_eq!((world.state("large"), world.state("long")), ("holding", "waiting"));
}

/// Guards against run times that are taken from declarations although earlier jobs of the same kind
/// took much longer than declared.
#[test]
fn estimates_corrected_by_observation() {
    let mut world = World::new(pool(4, &[&[2]]));
    let timed =
        |id: &str, workers, time| JobSpec { run_time: seconds(time), ..job(id, "a", 4, workers) };
    for round in 0..10 {
        let id = format!("past{round}");
        world.submit_and_run(JobSpec { kind: "render".to_owned(), ..timed(&id, 1, 10) });
        world.advance(seconds(100));
        world.end_gang(&id, GangEnd::Finished);
    }
    world.submit_and_run(timed("first", 1, 100));
    world.submit(JobSpec { class: 1, ..timed("large", 2, 100) });
    // Declared as 20 s; jobs of this kind take ten times as long.
    world.submit(JobSpec { kind: "render".to_owned(), ..timed("underdeclared", 1, 20) });
    assert_eq!(world.state("underdeclared"), "waiting");
    world.submit(JobSpec { kind: "other".to_owned(), ..timed("exact", 1, 20) });
    assert_eq!(world.state("exact"), "holding");
}

/// Guards against a job of a less urgent class, or of a team with a larger share, that is placed
/// first.
#[test]
fn order_class_then_share() {
    let mut world = World::new(pool(4, &[&[2]]));
    world.submit_and_run(job("a0", "a", 2, 1));
    world.submit_and_run(job("fill", "b", 4, 1));
    world.submit_and_run(job("a1", "a", 2, 1));
    world.submit(job("a2", "a", 4, 1));
    world.submit(job("b2", "b", 4, 1));
    world.submit(JobSpec { class: 1, ..job("first", "a", 4, 1) });
    world.end_gang("fill", GangEnd::Finished);
    assert_eq!(world.state("first"), "holding");
    world.run_gang("first");
    world.end_gang("a0", GangEnd::Finished);
    world.end_gang("a1", GangEnd::Finished);
    assert_eq!((world.state("b2"), world.state("a2")), ("holding", "waiting"));
}

/// Guards against jobs that can never run but wait forever, and against refusals that do not say
/// what would fit.
#[test]
fn submit_impossible_refused() {
    let single = shape(8, 1, Locality::Worker);
    let base = with_guarantee(pool(8, &[&[3, 1], &[2]]), "one", "a", single, 1);
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
    for (spec, expected_reason, expected_remedy) in table {
        let mut world = World::new(base.clone());
        let actions = world.submit(spec.clone());
        let refusal = actions.iter().find_map(|action| match action {
            Action::Refuse { reason, remedy, .. } => Some((reason.clone(), remedy.clone())),
            _ => None,
        });
        let (reason, remedy) = refusal.unwrap_or_else(|| panic!("{spec:?} was accepted"));
        assert!(reason.contains(expected_reason), "{reason}");
        assert!(remedy.contains(expected_remedy), "{remedy}");
    }
}

/// Guards against a pool edit after which refused and waiting jobs are not checked again.
#[test]
fn apply_pool_rechecks_jobs() {
    let mut world = World::new(pool(8, &[&[2]]));
    world.submit(job("wide", "a", 8, 3));
    world.submit_and_run(job("busy", "a", 8, 1));
    world.submit(job("waits", "b", 8, 2));
    world.placer.apply_pool(&pool(8, &[&[3]]));
    let actions = world.decide();
    let is_fits_now =
        |action: &Action| matches!(action, Action::FitsNow { job, .. } if job == "wide");
    assert!(actions.iter().any(is_fits_now), "{actions:?}");
    world.placer.apply_pool(&pool(8, &[&[1]]));
    let actions = world.decide();
    let refused = |action: &Action| matches!(action, Action::Refuse { job, .. } if job == "waits");
    assert!(actions.iter().any(refused), "{actions:?}");
}

/// Guards against a job that is running during a pool edit and is later placed again although it no
/// longer fits its guarantee.
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
    world.end_gang("j", GangEnd::LeaseLapsed);
    let actions = world.advance(seconds(1));
    let refused = |action: &Action| matches!(action, Action::Refuse { job, .. } if job == "j");
    assert!(actions.iter().any(refused), "{actions:?}");
}

/// Guards against a gang that is known only from reports and is placed again although its job was
/// not submitted to this placer.
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
    world.lose_worker(0);
    let actions = world.advance(seconds(5));
    assert!(!actions.iter().any(|action| matches!(action, Action::Place { .. })), "{actions:?}");
    assert_eq!(world.state("theirs"), "gone");
}

/// Guards against a worker that fails all tasks immediately and, because it is always free,
/// attracts all work. Also guards against a quarantine that never ends.
#[test]
fn worker_failing_quarantined_and_probed() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    let faulty = world.agents[0].0.clone();
    for ix in 1..6 {
        // All other workers are busy, so that only the faulty one can be chosen.
        let id = format!("busy{ix}");
        world.send(Event::Drain { worker: faulty.name.clone(), draining: true });
        world.submit_and_run(JobSpec { run_time: seconds(90_000), ..job(&id, "b", 4, 1) });
        world.send(Event::Drain { worker: faulty.name.clone(), draining: false });
    }
    let mut failures = 0;
    for round in 0..20 {
        let id = format!("j{round}");
        world.submit(JobSpec { run_time: seconds(5), ..job(&id, "a", 1, 1) });
        world.run_after_backoff(&id);
        if world.state(&id) == "running" {
            assert_eq!(world.workers_of(&id), std::slice::from_ref(&faulty.name));
            failures += 1;
            world.end_gang(&id, GangEnd::Failed { worker: faulty.clone() });
        }
        world.send(Event::Cancel { job: id });
    }
    // Three failures lead to the quarantine, the others are probes at growing intervals.
    assert!((3..=8).contains(&failures), "{failures} of 20 jobs ran on the faulty worker");
    let quarantined =
        |action: &Action| matches!(action, Action::Quarantine { worker, .. } if *worker == faulty);
    assert!(world.log.iter().any(quarantined));
    // The worker has recovered, and the next probe succeeds.
    world.advance(seconds(7200));
    world.submit(job("probe", "a", 1, 1));
    assert_eq!(world.workers_of("probe"), std::slice::from_ref(&faulty.name));
    world.run_gang("probe");
    world.advance(seconds(31));
    let status = world.placer.status();
    assert!(!status.workers.iter().any(|worker| worker.quarantined), "{status:#?}");
}

/// Guards against a quarantine of the whole pool when many workers fail at the same time.
#[test]
fn worker_quarantine_bounded() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    let mut max_quarantined = 0;
    for round in 0..60 {
        let id = format!("j{round}");
        world.submit(job(&id, "a", 1, 1));
        if world.state(&id) == "holding" {
            world.run_gang(&id);
            let (worker, _) = world.status(&id).members[0].clone();
            world.end_gang(&id, GangEnd::Failed { worker });
        }
        world.send(Event::Cancel { job: id });
        world.advance(seconds(10));
        let workers = world.placer.status().workers;
        let count = workers.iter().filter(|worker| worker.quarantined).count();
        assert!(count <= 2);
        max_quarantined = max_quarantined.max(count);
    }
    assert_eq!(max_quarantined, 2);
}

/// Guards against a job that fails on every worker and is retried forever, or whose failures put
/// workers into quarantine.
#[test]
fn job_failing_everywhere_stopped() {
    let mut world = World::new(pool(4, &[&[3], &[3]]));
    world.submit(job("failing", "a", 1, 1));
    for _ in 0..3 {
        world.run_after_backoff("failing");
        let worker = world.status("failing").members[0].0.clone();
        world.end_gang("failing", GangEnd::Failed { worker });
    }
    assert_eq!(world.state("failing"), "gone");
    let stopped =
        |action: &Action| matches!(action, Action::StopJob { job, .. } if job == "failing");
    assert!(world.log.iter().any(stopped));
    assert!(!world.placer.status().workers.iter().any(|worker| worker.quarantined));
}

/// Guards against excess memory use that is ignored, or that stops the job without throttling it
/// first.
#[test]
fn memory_excess_throttled_then_ended() {
    let table = [(Preemption::Checkpoint, "requeued"), (Preemption::Stop, "stopped")];
    for (preemption, outcome) in table {
        let mut world = World::new(pool(4, &[&[2]]));
        world.submit_and_run(JobSpec {
            memory_mib: 1000,
            preemption,
            ..job("excessive", "a", 1, 1)
        });
        let agent = world.status("excessive").members[0].0.clone();
        let grant = ReportedGrant {
            job: "excessive".to_owned(),
            epoch: world.epochs["excessive"],
            accelerators: 1,
            preemptible: true,
            running: true,
            memory_mib: 4000,
            ..ReportedGrant::default()
        };
        let report = WorkerReport { grants: vec![grant], reservations: Vec::new() };
        let actions = world.send(Event::WorkerReport { agent, report });
        assert!(matches!(actions[..], [Action::Throttle { .. }]), "{actions:?}");
        let actions = world.advance(seconds(5));
        let ended = actions.iter().any(|action| matches!(action, Action::Preempt { .. }));
        let stopped = actions.iter().any(|action| matches!(action, Action::StopJob { .. }));
        assert!(ended && stopped == (outcome == "stopped"), "{actions:?}");
        world.end_gang("excessive", GangEnd::Stopped);
        assert_eq!(world.state("excessive") == "gone", outcome == "stopped");
    }
}

/// Guards against a large shape that waits although moving small jobs would free the capacity.
#[test]
fn defragment_moves_small_work() {
    let mut world = World::new(pool(4, &[&[2]]));
    for id in ["s0", "s1", "s2", "s3"] {
        world.submit_and_run(JobSpec { run_time: seconds(7200), ..job(id, "a", 2, 1) });
    }
    let workers: Vec<String> =
        ["s0", "s1", "s2", "s3"].map(|id| world.workers_of(id).remove(0)).to_vec();
    let other_worker = (1..4).find(|ix| workers[*ix] != workers[0]).unwrap();
    for ix in (1..4).filter(|ix| *ix != other_worker) {
        world.end_gang(&format!("s{ix}"), GangEnd::Finished);
    }
    world.submit(JobSpec { class: 1, run_time: seconds(7200), ..job("large", "b", 4, 1) });
    assert_eq!(world.state("large"), "waiting");
    let mut moved = Vec::new();
    for _ in 0..40 {
        for action in world.advance(seconds(1)) {
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
    world.end_gang(&moved, GangEnd::Stopped);
    world.run_gang("large");
    world.run_after_backoff(&moved);
    assert_eq!((world.state("large"), world.state(&moved)), ("running", "running"));
}

/// Guards against a new placer that grants capacity again that its predecessor granted, or that
/// reuses its epochs.
#[test]
fn takeover_rebuilds_from_reports() {
    let pair = shape(4, 2, Locality::Rack);
    let pool = with_guarantee(pool(4, &[&[3]]), "pair", "a", pair, 1);
    let mut world = World::new(pool.clone());
    world.submit_and_run(job("old", "b", 4, 1));
    let claim = JobSpec { claim: Some("pair".to_owned()), ..job("claim", "a", 4, 2) };
    world.submit_and_run(JobSpec { shape: pair, ..claim.clone() });
    let highest_epoch = world.epochs["claim"];
    world.placer = Placer::new(&pool, world.now).with_seed(9);
    world.ready = false;
    // The queue is read back first. No job may start before the workers have reported.
    assert!(world.submit(job("new", "b", 4, 1)).is_empty());
    for (agent, domain, rack) in world.agents.clone() {
        let joined = Event::WorkerJoined { agent: agent.clone(), domain, rack, accelerators: 4 };
        world.send(joined);
        let mut grants = world.grants[&agent].clone();
        for grant in &mut grants {
            grant.running = true;
        }
        let report = WorkerReport { grants, reservations: Vec::new() };
        world.send(Event::WorkerReport { agent, report });
    }
    world.ready = true;
    world.submit(JobSpec { shape: pair, ..claim });
    assert_eq!(world.state("claim"), "running");
    assert_eq!(world.status("claim").instance.as_deref(), Some("pair/0"));
    assert_eq!((world.state("old"), world.state("new")), ("running", "waiting"));
    world.end_gang("old", GangEnd::Finished);
    assert_eq!(world.state("new"), "holding");
    assert!(world.epochs["new"] > highest_epoch);
}

/// Guards against reservations that stay different from what the agents report, and against repairs
/// that interfere with a recent change or with a claim.
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
    // Nothing is repaired while reports may still be older than the change.
    assert!(world.send(report(&planned, Vec::new())).is_empty());
    assert!(world.send(report(&other, vec![reserved(3)])).is_empty());
    world.advance(seconds(3));
    let set_again = world.send(report(&planned, Vec::new()));
    assert!(
        matches!(&set_again[..], [Action::SetReservation { accelerators: 3, .. }]),
        "{set_again:?}"
    );
    let cleared = world.send(report(&other, vec![reserved(3)]));
    assert!(matches!(&cleared[..], [Action::ClearReservation { .. }]), "{cleared:?}");
    // A claim of two accelerators converts the reservation; the agent reports none.
    world.submit_and_run(JobSpec {
        claim: Some("three".to_owned()),
        shape: shape(2, 1, Locality::Worker),
        ..job("claim", "a", 2, 1)
    });
    world.advance(seconds(3));
    let agent = world.status("claim").members[0].0.clone();
    let grants = world.grants[&agent].clone();
    let report = WorkerReport { grants, reservations: Vec::new() };
    let actions = world.send(Event::WorkerReport { agent, report });
    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against an instance that is claimed twice when two entries place claims at the same time.
#[test]
fn takeover_claim_of_other_entry_counts() {
    let single = shape(4, 1, Locality::Worker);
    let mut world = World::new(with_guarantee(pool(4, &[&[2]]), "one", "a", single, 1));
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
    // Both grants are recorded until the agent has refused the placement of this entry.
    world.ready = false;
    world.send(event.clone());
    world.answer_hold(
        "ours",
        &agent,
        HoldResult::Refused { reason: "claimed".to_owned(), highest_epoch: 50 },
    );
    world.send(event);
    world.ready = true;
    let instance = world.placer.status().instances[0].clone();
    assert_eq!(instance.claimant.as_deref(), Some("theirs"));
    assert!(world.status("ours").instance.is_none());
}

/// Guards against a report that was sent before a decision and therefore does not list what was
/// granted since, so that the placer grants it again.
#[test]
fn report_lag_keeps_new_grants() {
    let mut world = World::new(pool(4, &[&[1]]));
    world.submit_and_run(job("j", "a", 4, 1));
    let agent = world.agents[0].0.clone();
    world.send(Event::WorkerReport { agent, report: WorkerReport::default() });
    world.submit(job("k", "a", 4, 1));
    assert_eq!((world.state("j"), world.state("k")), ("running", "waiting"));
}

/// Guards against a gang that is preempted because a report no longer lists it while its end is
/// being reported, and against a gang that stays recorded as running although its end is never
/// reported.
#[test]
fn report_without_member_waits_for_end() {
    for reported in [true, false] {
        let mut world = World::new(pool(4, &[&[1]]));
        world.submit_and_run(job("j", "a", 4, 1));
        let agent = world.agents[0].0.clone();
        let grants = world.grants[&agent].clone();
        let report = WorkerReport { grants, reservations: Vec::new() };
        world.send(Event::WorkerReport { agent: agent.clone(), report });
        let report = WorkerReport::default();
        assert!(world.send(Event::WorkerReport { agent, report }).is_empty());
        if reported {
            assert!(world.end_gang("j", GangEnd::Finished).is_empty());
        }
        let late = world.advance(seconds(3));
        let preempted = late.iter().any(|action| matches!(action, Action::Preempt { .. }));
        assert_eq!(preempted, !reported, "{late:?}");
    }
}

/// Guards against a gang that is adopted again because of a report that was sent before its end,
/// and against an ended gang that its agent keeps running.
#[test]
fn report_lag_ended_gang_ignored() {
    let mut world = World::new(pool(4, &[&[1]]));
    world.submit_and_run(job("j", "a", 4, 1));
    let agent = world.agents[0].0.clone();
    let grants = world.grants[&agent].clone();
    world.end_gang("j", GangEnd::Finished);
    let report = WorkerReport { grants, reservations: Vec::new() };
    let event = Event::WorkerReport { agent, report };
    assert!(world.send(event.clone()).is_empty());
    assert_eq!(world.state("j"), "gone");
    world.submit_and_run(job("k", "a", 4, 1));
    world.advance(seconds(3));
    let actions = world.send(event);
    let released = |action: &Action| matches!(action, Action::Release { job, .. } if job == "j");
    assert!(actions.iter().any(released), "{actions:?}");
}

/// Guards against unbounded work in one decision, and against bursts of events after which jobs or
/// grants remain.
#[test]
fn bursts_bounded_and_complete() {
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
    // The workers of one rack are lost and join again. Jobs on the other rack must not be affected.
    for ix in 0..3 {
        world.lose_worker(ix);
    }
    for ix in 0..3 {
        world.join_worker(ix);
    }
    world.advance(seconds(1));
    for ix in 0..300 {
        world.placer.handle(Event::Cancel { job: format!("j{ix}") }, world.now);
    }
    world.decide();
    world.advance(seconds(10));
    let status = world.placer.status();
    assert!(status.jobs.is_empty(), "{:?}", status.jobs);
    assert!(status.workers.iter().all(|worker| worker.used == 0));
}
