//! What an agent takes for proof that its worker has left.

use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    AgentAction, AgentCore, AgentLimits, Listing, Orders, RunReport, TaskId, TaskKey, WorkerStatus,
};

const INCARNATION: u64 = 1000;

struct Rig {
    core: AgentCore,
    now: Instant,
    origin: Instant,
}

fn task() -> TaskId {
    TaskId::new("job", TaskKey { occurrence: 0, step: 0, index: 0 })
}

fn status() -> WorkerStatus {
    WorkerStatus { id: "w".to_owned(), incarnation: INCARNATION, ..WorkerStatus::default() }
}

impl Rig {
    /// An agent whose worker runs one task.
    fn new() -> Self {
        let now = Instant::now();
        let limits =
            AgentLimits { extension: Duration::from_secs(6), longest: Duration::from_secs(10) };
        let mut rig = Self { core: AgentCore::new("vm", limits, now), now, origin: now };
        rig.core.announce(now, &status());
        rig.list(&[1]);
        rig.order();
        rig.list(&[1]);
        rig
    }

    fn order(&mut self) {
        let orders = Orders {
            incarnation: INCARNATION,
            keep: vec![(task(), 1)],
            worker: "w".to_owned(),
            ..Orders::default()
        };
        self.core.handle_orders(1, orders, Some(self.now), Duration::from_secs(8));
    }

    fn list(&mut self, runs: &[u32]) {
        let call = self.core.next_renewal(self.now);
        self.answer(call.number, runs);
    }

    fn answer(&mut self, number: u64, runs: &[u32]) {
        let running = runs.iter().map(|run| RunReport {
            checkpoint: String::new(),
            percent: 10,
            run: *run,
            task: task(),
        });
        let listing = Listing {
            clock_ms: u64::try_from((self.now - self.origin).as_millis()).unwrap(),
            incarnation: INCARNATION,
            running: running.collect(),
            ..Listing::default()
        };
        self.core.handle_listing(self.now, number, &listing);
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn has_left(&mut self) -> bool {
        let left = self.core.has_left(self.now);
        assert_eq!(self.core.report(self.now).left, left);
        left
    }
}

/// Guards against a task that starts elsewhere while its worker, whose last message was read late,
/// still runs it (review/7). The worker takes no new work meanwhile.
#[test]
fn left_while_running() {
    let mut rig = Rig::new();
    rig.core.leave(rig.now);
    for _ in 0..20 {
        rig.advance(300);
        rig.order();
        rig.list(&[1]);
        assert!(!rig.has_left());
    }
    let status = rig.core.report(rig.now).worker.expect("it is reported");
    assert!(status.draining && status.remaining == Some(Duration::ZERO));
    rig.core.record_down();
    assert!(rig.has_left(), "no process listens at its address");
}

/// Guards against waiting for a worker that has left and runs nothing, and against a listing from
/// before its last message that proves nothing.
#[test]
fn left_idle() {
    let mut rig = Rig::new();
    let earlier = rig.core.next_renewal(rig.now).number;
    rig.core.leave(rig.now);
    rig.answer(earlier, &[]);
    assert!(!rig.has_left(), "the listing was requested before");
    rig.list(&[]);
    assert!(rig.has_left());
}

/// Guards against a worker that leaves, and answers nothing while its runs go on under their leases.
#[test]
fn left_silent() {
    let mut rig = Rig::new();
    rig.advance(1000);
    rig.list(&[1]);
    assert!(rig.core.next_renewal(rig.now).deadline_ms.is_some());
    rig.core.leave(rig.now);
    rig.advance(5500);
    assert!(!rig.has_left(), "leases of 6 s go on");
    rig.advance(1500);
    assert!(rig.has_left());
}

/// Guards against a worker that was down before its last message was read and counts as running.
#[test]
fn left_down_before() {
    let mut rig = Rig::new();
    rig.core.record_down();
    rig.core.leave(rig.now);
    assert!(rig.has_left());
}

/// Guards against runs of a worker that wait for their leases although another one has its address.
#[test]
fn left_replaced() {
    let mut rig = Rig::new();
    rig.core.record_replaced(rig.now);
    assert!(rig.has_left());
}

/// Guards against calls to a worker that has left, and against an agent that stops reporting it before
/// a leader has stored it, or never does.
#[test]
fn left_until_stored() {
    for stored in [true, false] {
        let mut rig = Rig::new();
        rig.core.leave(rig.now);
        rig.core.record_down();
        rig.advance(300_000);
        assert_eq!(rig.core.actions(rig.now), Vec::<AgentAction>::new());
        assert!(rig.has_left() && !rig.core.is_done(rig.now));
        if stored {
            let orders = Orders {
                departure_stored: true,
                incarnation: INCARNATION,
                worker: "w".to_owned(),
                ..Orders::default()
            };
            rig.core.handle_orders(2, orders, Some(rig.now), Duration::ZERO);
        } else {
            rig.advance(300_000);
        }
        assert!(rig.core.is_done(rig.now), "stored: {stored}");
    }
}

/// Guards against a check-in of another writer, with the id of a worker at work and a later start
/// time, that makes its agent take the runs for lost. The listing of the worker tells its incarnation.
#[test]
fn announce_false_incarnation() {
    let mut rig = Rig::new();
    let later = WorkerStatus { incarnation: INCARNATION + 5000, ..status() };
    rig.core.announce(rig.now, &later);
    rig.advance(300);
    rig.list(&[1]);
    let report = rig.core.report(rig.now);
    assert_eq!(report.worker.map(|worker| worker.incarnation), Some(INCARNATION));
    assert_eq!(report.running.len(), 1);
    rig.core.announce(rig.now, &status());
    assert_eq!(rig.core.status().map(|status| status.incarnation), Some(INCARNATION));
}

/// Guards against a later incarnation that is taken for a false one: its listing confirms it.
#[test]
fn announce_later_incarnation() {
    let mut rig = Rig::new();
    let later = WorkerStatus {
        address: "10.0.0.1:1".to_owned(),
        incarnation: INCARNATION + 5000,
        ..status()
    };
    rig.core.announce(rig.now, &later);
    let call = rig.core.next_renewal(rig.now);
    let listing = Listing { incarnation: INCARNATION + 5000, ..Listing::default() };
    rig.core.handle_listing(rig.now, call.number, &listing);
    assert_eq!(rig.core.status(), Some(&later));
}

/// Guards against calls that go elsewhere because a check-in of another writer names the worker with
/// another address: a process does not change its address.
#[test]
fn announce_false_address() {
    let mut rig = Rig::new();
    let elsewhere = WorkerStatus { address: "10.0.0.9:1".to_owned(), ..status() };
    rig.core.announce(rig.now, &elsewhere);
    assert_eq!(rig.core.status().map(|status| status.address.as_str()), Some(""));
}
