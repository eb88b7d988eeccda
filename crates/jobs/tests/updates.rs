//! Acknowledgements and leases beside restarts of a worker under its id.

use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    AgentAction, AgentCore, AgentLimits, EndKind, Listing, Orders, RenewalCall, RunEnd,
    StartAnswer, StartOrder, TaskId, TaskKey, WorkerStatus,
};

const EARLIER: u64 = 1000;
const LATER: u64 = 2000;

/// Interval of the listings of an idle worker.
const LISTING: Duration = Duration::from_secs(1);

struct Rig {
    core: AgentCore,
    now: Instant,
    origin: Instant,
}

fn task(index: u32) -> TaskId {
    TaskId::new("job", TaskKey { occurrence: 0, step: 0, index })
}

impl Rig {
    /// An agent whose worker has listed its runs, with orders of a leader.
    fn new() -> Self {
        let limits =
            AgentLimits { extension: Duration::from_secs(6), longest: Duration::from_secs(10) };
        let now = Instant::now();
        let mut rig = Self { core: AgentCore::new("vm", limits, now), now, origin: now };
        rig.announce(EARLIER);
        rig.list(EARLIER);
        rig.order(Orders { incarnation: EARLIER, ..Orders::default() });
        rig
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    fn announce(&mut self, incarnation: u64) {
        let status = WorkerStatus { id: "w".to_owned(), incarnation, ..WorkerStatus::default() };
        self.core.announce(self.now, &status);
    }

    fn order(&mut self, orders: Orders) {
        let orders = Orders { worker: "w".to_owned(), ..orders };
        self.core.handle_orders(1, orders, Some(self.now), Duration::from_secs(8));
    }

    fn request(&mut self) -> RenewalCall {
        self.core.next_renewal(self.now)
    }

    fn answer(&mut self, call: RenewalCall, incarnation: u64, ended: &[(u64, u32)]) {
        let ended = ended.iter().map(|(number, index)| {
            let (checkpoint, kind) = (String::new(), EndKind::Done);
            (*number, RunEnd { checkpoint, kind, run: 1, task: task(*index) })
        });
        let clock_ms = u64::try_from((self.now - self.origin).as_millis()).unwrap();
        let listing =
            Listing { clock_ms, ended: ended.collect(), incarnation, ..Listing::default() };
        self.core.handle_listing(self.now, call.number, &listing);
    }

    fn list(&mut self, incarnation: u64) {
        let call = self.request();
        self.answer(call, incarnation, &[]);
    }

    /// Lets the worker end a run, and the leader store the end.
    fn end_run(&mut self) {
        // The leases are extended first.
        self.list(EARLIER);
        let call = self.request();
        self.answer(call, EARLIER, &[(1, 0)]);
        self.order(Orders { ended_through: 1, incarnation: EARLIER, ..Orders::default() });
    }

    fn start(&mut self, answer: StartAnswer) {
        let order = StartOrder {
            checkpoint: String::new(),
            payload: String::new(),
            permit: String::new(),
            run: 1,
            task: task(5),
        };
        let orders =
            Orders { incarnation: EARLIER, start: vec![order.clone()], ..Orders::default() };
        self.order(orders);
        assert_eq!(self.core.actions(self.now), [AgentAction::Start(order)]);
        assert!(self.core.deadline(self.now).is_some());
        self.core.handle_start_answer(self.now, &task(5), 1, answer);
    }

    /// Starts the worker again under its id, and lets the agent extend its leases. Returns the time
    /// from then until the agent reports that all leases have lapsed.
    fn lapse_after_restart(&mut self) -> Duration {
        self.advance(Duration::from_millis(100));
        self.announce(LATER);
        self.list(LATER);
        let restarted = self.now;
        for action in self.core.actions(self.now) {
            assert_eq!(action, AgentAction::Stop(task(5), 1));
            self.core.handle_stop_answer(self.now, &task(5), 1, true);
        }
        self.list(LATER);
        self.order(Orders { incarnation: LATER, ..Orders::default() });
        self.advance(LISTING);
        self.list(LATER);
        assert!(self.request().deadline_ms.is_some());
        while !self.core.report(self.now).lapsed {
            self.advance(LISTING / 10);
        }
        self.now - restarted
    }
}

/// Guards against acknowledgements that reach the next incarnation: the numbers of ends start anew
/// with each, so that it forgot ends that nobody had read, and their tasks ran again.
#[test]
fn next_renewal_restarted_unnoticed() {
    let mut rig = Rig::new();
    rig.end_run();
    assert_eq!(rig.request().acked, 1, "directly after an answer");
    for _ in 0..5 {
        // The worker has crashed. It is back under its id, and the agent does not know yet.
        rig.advance(LISTING);
        let call = rig.request();
        assert!(!call.is_update(), "{call:?}");
        rig.core.handle_failed_renewal(rig.now, call.number, true);
    }
}

/// Guards against acknowledgements and leases in a listing that is open for long: the worker may
/// crash meanwhile, and its next incarnation carry it out.
#[test]
fn next_renewal_while_idle() {
    let mut rig = Rig::new();
    let mut updates = 0;
    for _ in 0..20 {
        let call = rig.request();
        let awaits_answer = call.is_update() || rig.core.awaits_answer(rig.now);
        updates += u32::from(call.is_update());
        rig.advance(if awaits_answer { Duration::ZERO } else { LISTING });
        rig.answer(call, EARLIER, &[]);
        rig.order(Orders { incarnation: EARLIER, ..Orders::default() });
    }
    assert_eq!(updates, 10, "every second call extends the leases");
}

/// Guards against acknowledgements that wait for the next listing without an update: the worker
/// answers at once until it knows that the ends are stored.
#[test]
fn awaits_answer_until_acknowledged() {
    let mut rig = Rig::new();
    rig.end_run();
    rig.advance(LISTING);
    let look = rig.request();
    assert!(!look.is_update());
    assert!(rig.core.awaits_answer(rig.now));
    rig.answer(look, EARLIER, &[(1, 0)]);
    assert!(rig.core.is_update_due(rig.now));
    let update = rig.request();
    assert_eq!(update.acked, 1);
    rig.answer(update, EARLIER, &[]);
    assert!(!rig.core.awaits_answer(rig.now));
    assert!(!rig.request().is_update());
}

/// Guards against an answer that waited unread while the agent stood still: the worker may have
/// started again since.
#[test]
fn next_renewal_after_pause() {
    let mut rig = Rig::new();
    rig.end_run();
    rig.advance(Duration::from_millis(100));
    let call = rig.request();
    rig.advance(Duration::from_secs(3));
    rig.answer(call, EARLIER, &[]);
    assert!(!rig.request().is_update());
}

/// Guards against the use of an incarnation that may still carry out an update without an answer, as
/// workers do with late calls: its ends would be forgotten unread.
#[test]
fn report_after_unanswered_update() {
    for received in [false, true] {
        let mut rig = Rig::new();
        rig.end_run();
        let update = rig.request();
        assert!(update.is_update());
        rig.core.handle_failed_renewal(rig.now, update.number, received);
        rig.advance(LISTING * 2);
        rig.announce(LATER);
        rig.list(LATER);
        assert_eq!(rig.core.report(rig.now).worker.is_none(), received);
        rig.advance(Duration::from_secs(30));
        rig.list(LATER);
        assert!(rig.core.report(rig.now).worker.is_some());
    }
}

/// Guards against the use of an incarnation that has answered an update for the earlier one.
#[test]
fn report_after_misdirected_update() {
    let mut rig = Rig::new();
    rig.end_run();
    let update = rig.request();
    rig.advance(Duration::from_millis(700));
    rig.answer(update, LATER, &[]);
    rig.announce(LATER);
    assert_eq!(rig.core.report(rig.now).worker, None);
}

/// Guards against ends that a worker forgets unread without a trace, and against a false alarm after a
/// restart of the agent, which does not know what was acknowledged before.
#[test]
fn take_missing_ends_cases() {
    for (listings, missing) in [
        (vec![vec![1]], 0),
        (vec![vec![3]], 2),
        (vec![vec![1, 2], vec![2, 3]], 0),
        (vec![vec![1], vec![4]], 2),
    ] {
        let mut rig = Rig::new();
        rig.advance(LISTING * 2);
        rig.announce(LATER);
        for numbers in &listings {
            let call = rig.request();
            let ended: Vec<(u64, u32)> = numbers.iter().map(|number| (*number, 0)).collect();
            rig.answer(call, LATER, &ended);
        }
        assert_eq!(rig.core.take_missing_ends(), missing, "{listings:?}");
    }
    let mut restarted = Rig::new();
    let call = restarted.request();
    restarted.answer(call, EARLIER, &[(7, 0)]);
    assert_eq!(restarted.core.take_missing_ends(), 0);
}

/// Guards against a lapse that is reported while runs go on: the deadline in a start for the earlier
/// incarnation is far in the future on the clock of the next one, whose leases then last as long as
/// it allows.
#[test]
fn lapse_after_misdirected_start() {
    let mut rig = Rig::new();
    rig.start(StartAnswer::Started);
    assert!(rig.lapse_after_restart() >= Duration::from_secs(10));
}

/// Guards against a lapse that is reported while a late copy of a start may still extend the leases.
#[test]
fn lapse_after_unanswered_start() {
    let mut rig = Rig::new();
    rig.start(StartAnswer::Unanswered);
    assert!(rig.lapse_after_restart() >= Duration::from_secs(40));
}

/// Guards against long waits after each restart: a start that the earlier incarnation has listed does
/// not reach the next one.
#[test]
fn lapse_after_confirmed_start() {
    let mut rig = Rig::new();
    rig.start(StartAnswer::Started);
    rig.list(EARLIER);
    rig.advance(LISTING * 2);
    rig.announce(LATER);
    rig.list(LATER);
    let lease = rig.core.report(rig.now).inherited_lease;
    assert_eq!(lease, Duration::ZERO);
}
