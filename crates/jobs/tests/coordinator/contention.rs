use std::time::Duration;

use skylarkpulley_jobs::{
    DecisionKind, EndKind, Job, Resources, ShareCounts, Step, Submission, TaskId,
};

use crate::rig::{Rig, ended, job, report, step, worker};

const TEAMS: [&str; 4] = ["flood", "a", "b", "c"];

fn of_team(id: &str, class: u8, team: &str, step: Step) -> Job {
    Job { team: team.to_owned(), ..job(id, class, step) }
}

/// Returns a rig whose leader has known two workers for longer than it takes to refuse by them.
fn known_rig() -> Rig {
    let mut rig = Rig::new(2);
    rig.advance_reporting(11_000, &[0, 1]);
    rig
}

/// Returns a pool that runs whole-worker jobs of class 1.
fn full_rig(team: &str) -> Rig {
    let mut rig = known_rig();
    for number in 0..2 {
        rig.submit(of_team(&format!("full-{number}"), 1, team, step(1, 8)));
    }
    rig
}

fn submit(rig: &mut Rig, mut job: Job) -> Submission {
    job.accepted_ms = rig.now.wall_ms;
    let answer = rig.core.submit(rig.now, job);
    rig.place_and_commit();
    answer
}

/// Advances the time while both workers list their runs.
fn run_on(rig: &mut Rig, starts: &[(String, TaskId, u32)], millis: u64) {
    for _ in 0..millis / 100 {
        for number in 0..2 {
            let id = format!("w{number}");
            let runs = starts.iter().filter(|(worker, ..)| *worker == id);
            let runs: Vec<_> = runs.map(|(_, task, run)| (task.clone(), *run)).collect();
            rig.core.report(rig.now, &report(&worker(number, 1), &runs));
        }
        rig.advance(100);
    }
}

/// Ends runs, and returns the ids of the jobs that start then.
fn next_starts(rig: &mut Rig, runs: Vec<(String, TaskId, u32)>, number: u64) -> Vec<String> {
    for (id, task, run) in runs {
        let status = worker(id[1..].parse().expect("a number"), 1);
        rig.core.report(rig.now, &ended(&status, number, &task, run, EndKind::Done));
    }
    rig.advance(1000);
    rig.place_and_commit();
    rig.starts().into_iter().map(|(_, task, _)| task.job).collect()
}

/// Plays whole-worker jobs of 1 s each and returns the order in which they start.
fn play(rig: &mut Rig) -> Vec<String> {
    let mut order = Vec::new();
    for number in 2..100 {
        let runs = rig.starts();
        let starts = next_starts(rig, runs, number);
        if starts.is_empty() {
            return order;
        }
        order.extend(starts);
    }
    order
}

/// Submits 20 whole-worker jobs of `flood` and a moment later one job of each other team; `team`
/// maps the name of a job to its team.
fn submit_flood(rig: &mut Rig, team: impl Fn(&'static str) -> &'static str) {
    for number in 0..20 {
        rig.submit(of_team(&format!("flood-{number:02}"), 1, team("flood"), step(1, 8)));
    }
    rig.advance_reporting(100, &[]);
    for name in &TEAMS[1..] {
        rig.submit(of_team(name, 1, team(name), step(1, 8)));
    }
}

/// Returns the round in which the worst-served of the three jobs beside a flood starts.
fn worst_round(order: &[String]) -> Option<usize> {
    let position = |name: &&str| order.iter().position(|id| id == name);
    TEAMS[1..].iter().filter_map(position).max().map(|last| last / 2 + 1)
}

/// Guards against a backlog of one team that goes ahead of every job that the others submit later.
/// Load: one team submits 20 jobs of a class at once, three others one each a moment later. By latest
/// start alone, which is the order if all are of one team, the worst-served waits for all 20.
#[test]
fn flood_delays_itself() {
    let mut rig = full_rig("flood");
    submit_flood(&mut rig, |_| "flood");
    assert_eq!(worst_round(&play(&mut rig)), Some(12));
    let mut rig = full_rig("flood");
    submit_flood(&mut rig, |name| name);
    let counts = rig.core.share_counts();
    assert_eq!((counts.contended, counts.lowest_percent, counts.highest_percent), (1, 0, 400));
    let lines = rig.core.explain_waiting(rig.now, "flood-00");
    assert!(lines[0].detail.contains("its team is over its share (400 % of it)"), "{lines:?}");
    let order = play(&mut rig);
    assert_eq!(order.len(), 23, "no accepted job is dropped");
    assert!(worst_round(&order) <= Some(3), "{order:?}");
    assert_eq!(rig.core.share_counts(), ShareCounts::default());
}

/// Guards against shares that overrule the order that teams pay for. Load: a team over its share has
/// work in class 1, another one in class 2.
#[test]
fn flood_keeps_paid_order() {
    let mut rig = full_rig("flood");
    rig.submit(of_team("bulk", 2, "a", step(1, 8)));
    for number in 0..3 {
        rig.submit(of_team(&format!("flood-{number}"), 1, "flood", step(1, 8)));
    }
    let order = play(&mut rig);
    assert_eq!(order.iter().position(|id| id == "bulk"), Some(3), "{order:?}");
}

/// Guards against one wide job that takes a whole pool before the first job of another team. Load: a
/// step of 40 tasks and a job of another team wait on an idle pool.
#[test]
fn wide_job_yields_within_round() {
    let mut rig = known_rig();
    rig.core.submit(rig.now, of_team("wide", 1, "flood", step(40, 1)));
    rig.now.wall_ms += 10;
    let mut other = of_team("other", 1, "a", step(6, 1));
    other.accepted_ms = rig.now.wall_ms;
    rig.core.submit(rig.now, other);
    rig.place_and_commit();
    let starts = rig.starts();
    assert_eq!(starts.iter().filter(|(_, task, _)| task.job == "other").count(), 6);
    assert_eq!(starts.len(), 16, "the pool is full");
}

/// Guards against another order where nothing has to yield: in a pool of a single team, and in one
/// with room for all. Load: jobs of one team, or few jobs of three.
#[test]
fn order_unchanged() {
    let mut rig = full_rig("flood");
    for number in 0..12 {
        // The first ones are late beyond any gain when the others start.
        let short = Step { estimate_ms: 1, ..step(1, 8) };
        let target_ms = if number < 6 { 10 } else { 60_000 };
        rig.submit(Job { target_ms, ..of_team(&format!("flood-{number:02}"), 1, "flood", short) });
    }
    let order = play(&mut rig);
    let expected: Vec<String> = (0..12).map(|number| format!("flood-{number:02}")).collect();
    let mut sorted = order.clone();
    sorted.sort();
    assert_eq!(sorted, expected);
    assert!(order[..6].iter().all(|id| id.as_str() < "flood-06"), "{order:?}");
    let mut rig = known_rig();
    rig.submit(of_team("running", 1, "flood", step(8, 1)));
    rig.core.take_decisions();
    for team in TEAMS {
        rig.now.wall_ms += 1;
        let accepted_ms = rig.now.wall_ms;
        rig.core.submit(rig.now, Job { accepted_ms, ..of_team(team, 1, team, step(1, 1)) });
    }
    rig.place_and_commit();
    assert_eq!(rig.core.share_counts(), ShareCounts::default());
    let decisions = rig.core.take_decisions().into_iter();
    let placed = decisions.filter(|decision| decision.kind == DecisionKind::Placed);
    assert_eq!(placed.map(|decision| decision.id).collect::<Vec<_>>(), TEAMS);
}

/// Guards against work that can gain nothing any more and delays work that can, and against dropping
/// it. Load: two teams compete, and the jobs of one have waited beyond three times their objective.
#[test]
fn expired_work_yields() {
    let mut rig = full_rig("flood");
    let late = Step { estimate_ms: 100, ..step(1, 8) };
    for number in 0..2 {
        rig.submit(Job {
            target_ms: 100,
            ..of_team(&format!("late-{number}"), 1, "a", late.clone())
        });
    }
    let running = rig.starts();
    run_on(&mut rig, &running, 2500);
    rig.submit(of_team("fresh-0", 1, "b", step(1, 8)));
    rig.submit(of_team("fresh-1", 1, "c", step(1, 8)));
    let lines = rig.core.explain_waiting(rig.now, "late-0");
    assert!(
        lines[0].detail.contains("can no longer end within three times its objective"),
        "{lines:?}"
    );
    let mut order = next_starts(&mut rig, running, 1);
    order.extend(play(&mut rig));
    order[..2].sort();
    assert_eq!(order, ["fresh-0", "fresh-1", "late-0", "late-1"]);
}

/// Guards against a claim within a guarantee that yields because of its team's share, or is refused.
/// Load: a team that holds the pool claims its guarantee, also for more than any worker has.
#[test]
fn claim_unaffected() {
    let mut rig = full_rig("north");
    rig.submit(of_team("other", 0, "a", step(1, 8)));
    rig.submit(of_team("claim", 0, "north", step(1, 8)));
    let placed = rig.core.explain_waiting(rig.now, "claim");
    assert!(!placed.is_empty(), "the claim waits for the stops");
    assert!(placed.iter().all(|line| !line.detail.contains("share")), "{placed:?}");
    assert!(!rig.stops().is_empty(), "the claim stops borrowed work");
    let wide = of_team("unfit", 0, "north", Step { label: Some("none".to_owned()), ..step(1, 8) });
    assert!(matches!(submit(&mut rig, wide), Submission::Accepted { .. }));
}

/// Guards against accepting a job that can only end after three times its objective, and against
/// refusing one that can end before. Load: the backlog of one team takes at least 50 s of the whole
/// pool.
#[test]
fn submit_too_late() {
    let mut rig = full_rig("flood");
    let long = Step { estimate_ms: 10_000, ..step(1, 8) };
    for number in 0..24 {
        rig.submit(of_team(&format!("flood-{number:02}"), 1, "flood", long.clone()));
    }
    let short = |id: &str, team: &str, class| Job {
        slack: 1.0,
        ..of_team(id, class, team, Step { estimate_ms: 200, ..step(1, 8) })
    };
    rig.core.take_decisions();
    // Its latest start is before that of the backlog, so that it is not behind it.
    assert!(matches!(submit(&mut rig, short("soon", "flood", 1)), Submission::Accepted { .. }));
    let Submission::Refused { retry, .. } = submit(&mut rig, short("late", "flood", 2)) else {
        panic!("accepted");
    };
    assert!(retry >= Duration::from_secs(22), "{retry:?}");
    assert!(rig.core.view("late").is_none() && !rig.rows.keys().any(|(_, key)| key == "late"));
    let decisions = rig.core.take_decisions();
    let refused = decisions.iter().find(|decision| decision.kind == DecisionKind::Refused);
    assert!(refused.is_some_and(|line| line.detail.contains("three times its objective")));
    let count = (("flood".to_owned(), "looks".to_owned()), 1);
    assert_eq!(rig.core.take_refusals().into_iter().collect::<Vec<_>>(), [count]);
    let patient = Job { target_ms: 60_000, ..short("patient", "flood", 2) };
    assert!(matches!(submit(&mut rig, patient), Submission::Accepted { .. }));
    let claim = Job { target_ms: 0, ..short("claim", "north", 0) };
    assert!(matches!(submit(&mut rig, claim), Submission::Accepted { .. }));
    let own_share = short("own-share", "a", 1);
    assert!(matches!(submit(&mut rig, own_share), Submission::Accepted { .. }));
}

/// Guards against refusing work that fits beside the backlog. Load: gangs that need the whole pool,
/// and steps that wait for others, are ahead of a small job.
#[test]
fn submit_in_gap() {
    let mut rig = known_rig();
    let gang = Step { estimate_ms: 60_000, gang: true, ..step(2, 8) };
    rig.submit(of_team("running", 1, "flood", Step { estimate_ms: 60_000, ..step(1, 8) }));
    for number in 0..20 {
        rig.submit(of_team(&format!("gang-{number}"), 1, "flood", gang.clone()));
    }
    let small =
        Job { slack: 1.0, ..of_team("small", 2, "flood", Step { estimate_ms: 200, ..step(1, 1) }) };
    assert!(matches!(submit(&mut rig, small), Submission::Accepted { .. }));
}

/// Guards against waiting for ever for a worker that the pool does not have, and against refusing
/// because a worker is closed, or not known to a new leader. Load: a task needs more than any worker,
/// or a label that only a silent one has.
#[test]
fn submit_unfit() {
    let mut rig = Rig::new(2);
    let mut large = step(1, 1);
    large.resources = Resources { accelerators: 9, ..large.resources };
    assert!(matches!(
        submit(&mut rig, job("early", 1, large.clone())),
        Submission::Accepted { .. }
    ));
    let mut labelled = worker(2, 1);
    labelled.labels.push("fast".to_owned());
    rig.core.report(rig.now, &report(&labelled, &[]));
    rig.advance_reporting(11_000, &[0, 1]);
    let Submission::Refused { reason, retry } = submit(&mut rig, job("large", 1, large.clone()))
    else {
        panic!("accepted");
    };
    assert!(reason.contains("fits on no worker"), "{reason}");
    assert!(retry >= Duration::from_millis(22_500));
    assert_eq!(
        submit(&mut rig, job("large", 1, large.clone())),
        Submission::Refused { reason, retry }
    );
    rig.core.end_session("w2");
    let label = |label: &str| Step { label: Some(label.to_owned()), ..step(1, 1) };
    assert!(matches!(submit(&mut rig, job("a", 1, label("fast"))), Submission::Accepted { .. }));
    assert!(matches!(submit(&mut rig, job("b", 1, label("slow"))), Submission::Refused { .. }));
    assert_eq!(rig.core.view("early").map(|view| view.state.is_final()), Some(false));
    rig.take_over();
    rig.advance(20_000);
    assert!(matches!(submit(&mut rig, job("large", 1, large)), Submission::Accepted { .. }));
}
