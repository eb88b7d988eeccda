//! The number of calls that an agent has open to its worker at a time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use skylarkpulley_jobs::{
    AgentAction, AgentCore, AgentLimits, Listing, Orders, SharingRun, StartAnswer, StartOrder,
    TaskId, TaskKey, WorkerStatus,
};

/// Connections that a worker accepts, which its listing and its announcements need as well.
const CONNECTIONS: usize = 64;

/// Tasks of the burst: the starts that fit into one message to an agent (review/3).
const TASKS: u32 = 262;

struct Rig {
    core: AgentCore,
    now: Instant,
}

fn task(index: u32) -> TaskId {
    TaskId::new("job", TaskKey { occurrence: 0, step: 0, index })
}

fn start_order(index: u32) -> StartOrder {
    StartOrder {
        checkpoint: String::new(),
        payload: String::new(),
        permit: String::new(),
        run: 1,
        task: task(index),
    }
}

impl Rig {
    fn new() -> Self {
        let now = Instant::now();
        let limits =
            AgentLimits { extension: Duration::from_secs(6), longest: Duration::from_secs(10) };
        let mut core = AgentCore::new("vm", limits, now);
        let status = WorkerStatus { id: "w".to_owned(), incarnation: 1, ..WorkerStatus::default() };
        core.announce(now, &status);
        let mut rig = Self { core, now };
        rig.order(Orders::default());
        rig.list();
        rig
    }

    fn order(&mut self, orders: Orders) {
        let orders = Orders { incarnation: 1, worker: "w".to_owned(), ..orders };
        self.core.handle_orders(1, orders, Some(self.now), Duration::from_secs(8));
    }

    fn list(&mut self) {
        let call = self.core.next_renewal(self.now);
        let listing = Listing { incarnation: 1, ..Listing::default() };
        self.core.handle_listing(self.now, call.number, &listing);
    }

    fn starts(&mut self) -> Vec<TaskId> {
        let actions = self.core.actions(self.now).into_iter();
        let start = |action| match action {
            AgentAction::Start(order) => Some(order.task),
            _ => None,
        };
        actions.filter_map(start).collect()
    }

    fn stops(&mut self) -> Vec<TaskId> {
        let actions = self.core.actions(self.now).into_iter();
        let stop = |action| match action {
            AgentAction::Stop(task, _) => Some(task),
            _ => None,
        };
        actions.filter_map(stop).collect()
    }
}

/// Guards against a burst of starts that opens a connection for each of them at the same moment. A
/// worker that runs out of connections or descriptors accepts neither the starts nor the renewal of
/// its leases, and its jobs never run (review/3 where a process has 1,024 descriptors).
#[test]
fn actions_many_starts() {
    let mut rig = Rig::new();
    rig.order(Orders { start: (0..TASKS).map(start_order).collect(), ..Orders::default() });
    let mut open = rig.starts();
    let mut started = BTreeSet::new();
    while let Some(task) = open.pop() {
        assert!(open.len() < CONNECTIONS / 2, "{} starts are open", open.len() + 1);
        rig.core.handle_start_answer(rig.now, &task, 1, StartAnswer::Started);
        assert!(started.insert(task.clone()), "{task} is started twice");
        open.extend(rig.starts());
    }
    assert_eq!(started.len(), TASKS as usize);
}

/// Guards against starts without an answer that keep the other starts from being sent.
#[test]
fn actions_unanswered_starts() {
    let mut rig = Rig::new();
    let orders = Orders { start: (0..TASKS).map(start_order).collect(), ..Orders::default() };
    let mut sent = BTreeSet::new();
    for _ in 0..TASKS {
        rig.order(orders.clone());
        rig.list();
        let open = rig.starts();
        rig.now += Duration::from_millis(300);
        for task in &open {
            rig.core.handle_start_answer(rig.now, task, 1, StartAnswer::Unanswered);
        }
        sent.extend(open);
        if sent.len() == TASKS as usize {
            return;
        }
    }
    panic!("{} of {TASKS} starts were sent", sent.len());
}

/// Guards against a wave of stops that opens a connection for each of them, and against stops that
/// wait behind starts.
#[test]
fn actions_many_stops() {
    let mut rig = Rig::new();
    let start: Vec<StartOrder> = (TASKS..2 * TASKS).map(start_order).collect();
    let stop = (0..TASKS).map(|index| (task(index), 1)).collect();
    rig.order(Orders { start, stop, ..Orders::default() });
    let (mut open, mut starts) = (Vec::new(), 0);
    for action in rig.core.actions(rig.now) {
        match action {
            AgentAction::Stop(task, _) => open.push(task),
            AgentAction::Start(_) => starts += 1,
            AgentAction::Pace(..) => {}
        }
    }
    assert!(!open.is_empty() && starts + open.len() < CONNECTIONS, "{starts} {}", open.len());
    let mut stopped = BTreeSet::new();
    while let Some(task) = open.pop() {
        assert!(open.len() < CONNECTIONS / 2, "{} stops are open", open.len() + 1);
        rig.core.handle_stop_answer(rig.now, &task, 1, true);
        assert!(stopped.insert(task.clone()), "{task} is stopped twice");
        open.extend(rig.stops());
    }
    assert_eq!(stopped.len(), TASKS as usize);
}

/// Guards against changes of speed that open a connection for each filling run at the same moment.
#[test]
fn actions_many_paces() {
    let mut rig = Rig::new();
    let run = |index| SharingRun { response: None, run: 1, task: task(index) };
    let serving = SharingRun { response: Some(Duration::from_millis(100)), ..run(TASKS) };
    let sharing: Vec<SharingRun> = (0..TASKS).map(run).chain([serving]).collect();
    let keep = sharing.iter().map(|run| (run.task.clone(), run.run)).collect();
    rig.order(Orders { keep, sharing: sharing.clone(), ..Orders::default() });
    let call = rig.core.next_renewal(rig.now);
    let running = sharing.iter().map(|run| skylarkpulley_jobs::RunReport {
        checkpoint: String::new(),
        percent: 100,
        run: run.run,
        task: run.task.clone(),
    });
    let listing = Listing { incarnation: 1, running: running.collect(), ..Listing::default() };
    rig.core.handle_listing(rig.now, call.number, &listing);
    let mut open = rig.core.actions(rig.now);
    let mut paced = BTreeSet::new();
    while let Some(action) = open.pop() {
        let AgentAction::Pace(task, run, _) = action else { panic!("{action:?}") };
        assert!(open.len() < CONNECTIONS / 2, "{} changes of speed are open", open.len() + 1);
        rig.core.handle_pace_answer(&task, run, true);
        assert!(paced.insert(task.clone()), "{task} is paced twice");
        open.extend(rig.core.actions(rig.now));
    }
    assert_eq!(paced.len(), TASKS as usize);
}
