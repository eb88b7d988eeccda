use std::collections::BTreeSet;
use std::time::Duration;

use skylarkpulley_jobs::{
    AdviceAnswer, Decision, DecisionKind, EndKind, Job, Step, TaskId, WaitCounts,
};

use crate::rig::{Rig, ended, job, report, step, worker};

/// Runs that a worker lists, by the number of the worker.
type Listed = (u32, Vec<(TaskId, u32)>);

/// A line about overdue tasks, and the time in milliseconds after which it was written.
type Line = (u64, Decision);

/// A step whose runs do not count as stalled within a test.
fn long(count: u32, accelerators: i64) -> Step {
    Step { estimate_ms: 600_000, ..step(count, accelerators) }
}

/// Lets the workers report every 100 ms for `millis`, and returns the lines about overdue tasks.
fn watch(rig: &mut Rig, millis: u64, workers: &[Listed]) -> Vec<Line> {
    rig.core.take_decisions();
    let mut lines = Vec::new();
    for tenth in 1..=millis / 100 {
        for (number, runs) in workers {
            rig.core.report(rig.now, &report(&worker(*number, 1), runs));
        }
        rig.advance(100);
        rig.place_and_commit();
        let decisions = rig.core.take_decisions().into_iter();
        let overdue = decisions.filter(|decision| decision.kind == DecisionKind::Waiting);
        lines.extend(overdue.map(|decision| (tenth * 100, decision)));
    }
    lines
}

/// Returns the workers with the runs that are ordered, which they list from now on.
fn start_all(rig: &Rig, workers: u32) -> Vec<Listed> {
    let starts = rig.starts();
    let listed = (0..workers).map(|number| {
        let here = starts.iter().filter(|start| start.0 == format!("w{number}"));
        (number, here.map(|(_, task, run)| (task.clone(), *run)).collect())
    });
    listed.collect()
}

/// Checks that a line begins with `reason` and contains each of `parts`.
fn assert_line(line: &Line, id: &str, reason: &str, parts: &[&str]) {
    let detail = &line.1.detail;
    assert_eq!(line.1.id, id, "{detail}");
    assert!(detail.starts_with(&format!("{reason};")), "{detail}");
    for part in parts {
        assert!(detail.contains(part), "{part:?} is missing: {detail}");
    }
}

/// Guards against a line that does not say that the free workers are closed, and why.
#[test]
fn waiting_workers_closed() {
    let mut rig = Rig::new(2);
    watch(&mut rig, 2000, &[(1, Vec::new())]);
    rig.submit(job("a", 1, long(2, 8)));
    let listed = start_all(&rig, 2).split_off(1);
    let lines = watch(&mut rig, 4000, &listed);
    assert_eq!(lines.len(), 1, "{lines:?}");
    let parts =
        ["reserved where runs end on w1; 1 tasks wait", "2 known, 1 open, no session 1 (w0)"];
    assert_line(&lines[0], "a.0.0", "not counted as free: closed workers", &parts);
    assert_eq!(rig.core.wait_counts(), WaitCounts { fitting: 0, overdue: 1 });
}

/// Guards against a line that does not tell missing permits from missing resources, and against a
/// gauge that does not see tasks that wait beside free resources.
#[test]
fn waiting_permits_missing() {
    let mut rig = Rig::new(3);
    rig.submit(Job { advised: true, ..job("a", 1, long(1, 8)) });
    let call = rig.core.next_advice_call(rig.now).expect("a question");
    let idle: Vec<Listed> = (0..3).map(|number| (number, Vec::new())).collect();
    let lines = watch(&mut rig, 4000, &idle);
    let parts = [
        "excluded 0 by label, 3 by permits,",
        "policy permitted 0, rejected 0, asked 3",
        "free 24 acc",
    ];
    assert_line(&lines[0], "a.0.0", "waits for permits", &parts);
    assert_eq!(rig.core.wait_counts(), WaitCounts { fitting: 1, overdue: 1 });
    let answer = AdviceAnswer { permits: [].into(), valid: Duration::from_secs(3) };
    rig.core.handle_advice(rig.now, &call, Some(&answer));
    rig.place_and_commit();
    let lines = watch(&mut rig, 6000, &idle);
    assert_line(&lines[0], "a.0.0", "waits for permits", &["rejected 3, asks for no worker"]);
}

/// Guards against a line that does not name the work for which free resources are withheld.
#[test]
fn waiting_reserved_for_others() {
    let mut rig = Rig::new(2);
    rig.submit(job("full", 1, long(1, 8)));
    let listed = start_all(&rig, 2);
    watch(&mut rig, 1000, &listed);
    rig.submit(job("gang", 1, Step { gang: true, ..long(2, 8) }));
    rig.submit(job("small", 2, long(1, 1)));
    let lines = watch(&mut rig, 4000, &listed);
    assert_eq!(lines.len(), 2, "{lines:?}");
    let reason = "not counted as free: reserved for others";
    let parts = ["1 of 1 fit there, 0 without", "others: gang.0.0 2 tasks reserved where runs end"];
    assert_line(&lines[1], "small.0.0", reason, &parts);
    let parts = ["reserved where runs end on w0 w1", "2 tasks wait, gang", "1 of 2 fit there"];
    assert_line(&lines[0], "gang.0.0", "waits for runs to end", &parts);
}

/// Guards against a job of which nothing waits and nothing runs, without any line: its start is
/// ordered, and its worker neither lists nor refuses it, nor confirms the order to stop.
#[test]
fn waiting_placement_stuck() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, long(1, 8)));
    let lines = watch(&mut rig, 10_000, &[(0, Vec::new())]);
    let reason = "not counted as waiting: placed and not running";
    let parts =
        ["run 1 of a.0.0.0 on w0: placed 3", "listed false, stopping false", "durable true"];
    assert_line(&lines[0], "a.0.0", reason, &parts);
    let parts = ["stopping true", "lost false", "worker ", "session true", "holds the run true"];
    assert_line(lines.last().expect("a line"), "a.0.0", reason, &parts);
}

/// Guards against a line that counts a worker as full on which a start is neither carried out nor
/// refused, and against one without the quarantine that follows.
#[test]
fn waiting_behind_unstarted() {
    let mut rig = Rig::new(1);
    rig.submit(job("stuck", 1, long(1, 8)));
    rig.submit(job("b", 1, long(1, 8)));
    let lines = watch(&mut rig, 6500, &[(0, Vec::new())]);
    let lines: Vec<Line> = lines.into_iter().filter(|line| line.1.id == "b.0.0").collect();
    let reason = "not counted as free: occupied by runs that do not start";
    assert_line(&lines[0], "b.0.0", reason, &["runs 0 stopping, 1 not listed, 0 unmatched"]);
    let parts = ["0 open, quarantined 1 (w0)", "runs 1 stopping, 0 not listed"];
    assert_line(&lines[1], "b.0.0", "not counted as free: closed workers", &parts);
}

/// Guards against a line that does not tell that the stops do not come for which resources are
/// reserved.
#[test]
fn waiting_for_stops() {
    let mut rig = Rig::new(1);
    rig.submit(job("a", 1, long(1, 8)));
    let listed = start_all(&rig, 1);
    watch(&mut rig, 1000, &listed);
    rig.core.cancel(rig.now, "a");
    rig.submit(job("b", 1, long(1, 8)));
    let lines = watch(&mut rig, 4000, &listed);
    let parts = ["reserved for stops on w0", "runs 1 stopping, 0 not listed", "1 after stops"];
    assert_line(&lines[0], "b.0.0", "waits for stops", &parts);
}

/// Guards against small tasks that wait beside workers that are kept for larger ones, without a
/// line that names the rule.
#[test]
fn waiting_for_headroom() {
    let mut rig = Rig::new(3);
    rig.submit(job("a", 1, long(20, 2)));
    let listed = start_all(&rig, 3);
    let lines = watch(&mut rig, 4000, &listed);
    let reason = "not counted as free: excluded by headroom";
    let parts = ["12 tasks wait", "free 8 accelerators", "1 by headroom, 2 left; 0 of 1 fit"];
    assert_line(&lines[0], "a.0.0", reason, &parts);
}

/// Guards against a gang that waits without a line because one of its members does not stop.
#[test]
fn waiting_gang_incomplete() {
    let mut rig = Rig::new(2);
    rig.submit(job("gang", 1, Step { gang: true, ..long(2, 8) }));
    let mut listed = start_all(&rig, 2);
    watch(&mut rig, 5000, &listed);
    let (task, run) = listed[0].1.remove(0);
    rig.core.report(rig.now, &ended(&worker(0, 1), 1, &task, run, EndKind::Failed));
    let lines = watch(&mut rig, 4500, &listed);
    let parts = ["1 without a run, 1 placed", "on w1: placed", "listed true, stopping true"];
    assert_line(&lines[0], "gang.0.0", "not counted as waiting: gang incomplete", &parts);
    assert!(lines[0].0 >= 3000, "the member is in the way only since the failure: {lines:?}");
}

/// Guards against a line that does not tell that resources are free, but on no rack enough.
#[test]
fn waiting_one_rack() {
    let mut rig = Rig::new(6);
    for rack in ["r0", "r1"] {
        rig.submit(job(rack, 1, Step { near_rack: Some(rack.to_owned()), ..long(1, 8) }));
    }
    let listed = start_all(&rig, 6);
    watch(&mut rig, 1000, &listed);
    rig.submit(job("gang", 1, Step { gang: true, same_rack: true, ..long(3, 8) }));
    let lines = watch(&mut rig, 4000, &listed);
    let parts = ["2 of 3 fit there", "same rack, 4 fit on all racks together"];
    assert_line(&lines[0], "gang.0.0", "waits for one rack", &parts);
}

/// Guards against a line that does not name the rule that excludes the free workers, and against
/// counting the run time of an earlier step as waiting time.
#[test]
fn waiting_label_after_step() {
    let mut rig = Rig::new(1);
    let mut two = job("a", 1, long(1, 1));
    two.steps.push(Step { after: vec![0], label: Some("x".to_owned()), ..long(1, 1) });
    rig.submit(two);
    let listed = start_all(&rig, 1);
    assert!(watch(&mut rig, 5000, &listed).is_empty(), "the first step runs");
    let (task, run) = &listed[0].1[0];
    rig.core.report(rig.now, &ended(&worker(0, 1), 1, task, *run, EndKind::Done));
    let lines = watch(&mut rig, 5000, &[(0, Vec::new())]);
    assert!(lines[0].0 >= 2900, "{lines:?}");
    assert_line(&lines[0], "a.0.1", "not counted as free: excluded by label", &["1 by label"]);
}

/// Guards against lines about work that waits shortly, and against lines after it has started.
#[test]
fn waiting_short_silent() {
    let mut rig = Rig::new(1);
    rig.submit(job("first", 1, long(1, 8)));
    let listed = start_all(&rig, 1);
    watch(&mut rig, 1000, &listed);
    rig.submit(job("second", 1, long(1, 8)));
    assert!(watch(&mut rig, 2800, &listed).is_empty());
    let (task, run) = &listed[0].1[0];
    rig.core.report(rig.now, &ended(&worker(0, 1), 1, task, *run, EndKind::Done));
    rig.place_and_commit();
    let listed = start_all(&rig, 1);
    assert_eq!(listed[0].1.len(), 1, "the second job starts");
    assert!(watch(&mut rig, 10_000, &listed).is_empty());
    assert_eq!(rig.core.wait_counts(), WaitCounts::default());
}

/// Guards against a change of the reason that is written only with the next repetition, and against
/// repetitions of a line within seconds.
#[test]
fn waiting_reason_changes() {
    let mut rig = Rig::new(2);
    watch(&mut rig, 2000, &[(1, Vec::new())]);
    rig.submit(job("a", 1, long(2, 8)));
    let listed = start_all(&rig, 2).split_off(1);
    let lines = watch(&mut rig, 9500, &listed);
    assert_eq!(lines.len(), 2, "once after 3 s and once 5 s later: {lines:?}");
    assert!(lines[1].0 - lines[0].0 >= 5000, "{lines:?}");
    rig.core.remove_worker(rig.now, "w0", 1);
    let lines = watch(&mut rig, 1200, &listed);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_line(&lines[0], "a.0.0", "waits for runs to end", &["1 known, 1 open"]);
}

/// Guards against lines without bound while much work waits, against work that never gets its
/// first line, and against short waits that are written before long ones.
#[test]
fn waiting_lines_bounded() {
    let mut rig = Rig::new(1);
    rig.submit(job("full", 1, long(1, 8)));
    let listed = start_all(&rig, 1);
    watch(&mut rig, 1000, &listed);
    for number in (0..40).rev() {
        rig.submit(job(&format!("j{number:02}"), 1, long(1, 8)));
        rig.advance(10);
    }
    let lines = watch(&mut rig, 10_000, &listed);
    for second in 0..10 {
        let span = second * 1000 + 1..=(second + 1) * 1000;
        let count = lines.iter().filter(|(at, _)| span.contains(at)).count();
        assert!(count <= 12, "{count} lines in second {second}");
    }
    let named: Vec<&str> = lines.iter().map(|(_, line)| line.id.as_str()).collect();
    assert_eq!(named.iter().collect::<BTreeSet<_>>().len(), 40, "{named:?}");
    let longest: Vec<String> = (28..40).rev().map(|number| format!("j{number}.0.0")).collect();
    assert_eq!(named[..12], longest, "the longest waits come first");
}

/// Guards against an explanation that differs from the line, and against one of work that runs.
#[test]
fn explain_waiting_as_line() {
    let mut rig = Rig::new(1);
    rig.submit(job("full", 1, long(1, 8)));
    let listed = start_all(&rig, 1);
    watch(&mut rig, 1000, &listed);
    rig.submit(job("a", 1, long(1, 8)));
    watch(&mut rig, 500, &listed);
    let explain = |rig: &Rig, id: &str| rig.core.explain_waiting(rig.now, id);
    let early = explain(&rig, "a").remove(0).detail;
    assert!(early.starts_with("waits for runs to end; reserved where runs end on w0"), "{early}");
    watch(&mut rig, 2400, &listed);
    let lines = watch(&mut rig, 1200, &listed);
    for id in ["a", "a.0.0", "a.0.0.0"] {
        let decisions = explain(&rig, id);
        assert_eq!(decisions.len(), 1, "{id}");
        let (reason, _) = decisions[0].detail.split_once("; ").expect("a reason");
        assert_line(&lines[0], "a.0.0", reason, &["1 tasks wait", "pool renders: workers 1 known"]);
    }
    for id in ["full", "none", "a.0.1", "a.0.00"] {
        assert!(explain(&rig, id).is_empty(), "{id}");
    }
}
