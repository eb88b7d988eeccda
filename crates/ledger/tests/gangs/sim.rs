//! Simulation of several workers with their ledgers, of proposers and of a network that the test
//! controls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_ledger::{
    Action, Commit, End, GANG_LEASE, Hold, HoldReply, Ledger, Member, Rank, Ready, Renew,
    RenewReply, Reservation, Stop, WorkerEvent,
};
use skylarkpulley_types::AgentId;

pub const WORKERS: usize = 4;
pub const ACCELERATORS: u32 = 8;
pub const STEP: Duration = Duration::from_millis(50);
/// Longest time for which only a part of a gang may run: the lease of 2 s, the drift of 1 % between
/// two clocks that the design allows, and the simulation's resolution of 50 ms.
const MAX_PARTIAL_RUN: Duration = Duration::from_millis(2020 + 50);

#[derive(Clone, Debug)]
pub enum Message {
    Hold(Hold),
    Held(String, u64, HoldReply),
    Commit(Commit),
    Release(String, u64),
    Ready(Ready),
    Renew(usize, Renew),
    Renewed(Member, Renew, RenewReply),
    Stop(Stop),
}

impl Message {
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hold(_) => "hold",
            Self::Held(..) => "held",
            Self::Commit(_) => "commit",
            Self::Release(..) => "release",
            Self::Ready(_) => "ready",
            Self::Renew(..) => "renew",
            Self::Renewed(..) => "renewed",
            Self::Stop(_) => "stop",
        }
    }
}

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: usize,
    pub to: usize,
    pub incarnation: u64,
    pub message: Message,
}

/// How the simulated network treats a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    Pass,
    Drop,
    Duplicate,
    /// The packet arrives after this number of steps.
    Delay(usize),
}

#[derive(Clone, Debug)]
struct Task {
    epoch: u64,
    accelerators: u32,
    expires: Instant,
}

pub struct Worker {
    pub member: Member,
    pub ledger: Ledger,
    pub up: bool,
    pub paused: bool,
    /// Tasks that the worker runs. After a crash of the agent they run until their leases expire.
    tasks: BTreeMap<String, Task>,
    /// Whether the worker ignores the first stop command of every task, like a worker whose task
    /// needs time to end.
    pub ignores_stop: bool,
    ignored_stops: BTreeSet<(String, u64)>,
    /// Events that the worker reported while the agent was paused.
    pending_events: Vec<(String, u64, WorkerEvent)>,
    /// Rate error of this worker's clock in thousandths.
    drift_per_mille: i32,
}

/// A gang and the state of its proposer.
#[derive(Clone, Debug)]
pub struct Gang {
    pub hold: Hold,
    pub members: Vec<usize>,
    pub proposer_up: bool,
    pub cancelled: bool,
    held: BTreeSet<usize>,
    last_request: Instant,
    committed: bool,
}

pub struct Sim {
    pub workers: Vec<Worker>,
    pub gangs: BTreeMap<String, Gang>,
    /// Packets in transit and the number of steps until each one arrives.
    pub in_flight: Vec<(usize, Packet)>,
    pub network: Box<dyn FnMut(&Packet) -> Delivery>,
    pub ends: Vec<(String, End)>,
    pub started: BTreeSet<String>,
    /// Gangs in the order in which all of their members first ran at the same time.
    pub fully_started: Vec<String>,
    /// Violations of invariants.
    pub violations: Vec<String>,
    /// Number of checkpoints requested.
    pub checkpoints: usize,
    origin: Instant,
    elapsed: Duration,
    /// Simulated time since which only some members of a gang have run.
    partial_since: BTreeMap<(String, u64), Duration>,
}

fn member(index: usize, incarnation: u64) -> Member {
    Member::new(AgentId::new(&format!("w{index}"), incarnation), &format!("10.0.1.{index}:7"))
}

fn index_of(member: &Member) -> usize {
    member.agent.name[1..].parse().unwrap()
}

impl Sim {
    pub fn new() -> Self {
        let origin = Instant::now() + Duration::from_secs(1000);
        let workers = (0..WORKERS).map(|index| Worker {
            member: member(index, 1),
            ledger: Ledger::new(member(index, 1).agent, ACCELERATORS, origin)
                .with_idle_worker(origin),
            up: true,
            paused: false,
            tasks: BTreeMap::new(),
            ignores_stop: false,
            ignored_stops: BTreeSet::new(),
            pending_events: Vec::new(),
            // The clocks drift by up to 1 % relative to each other.
            drift_per_mille: [0, 5, -5, 3][index % 4],
        });
        Self {
            workers: workers.collect(),
            gangs: BTreeMap::new(),
            in_flight: Vec::new(),
            network: Box::new(|_| Delivery::Pass),
            ends: Vec::new(),
            started: BTreeSet::new(),
            fully_started: Vec::new(),
            violations: Vec::new(),
            checkpoints: 0,
            origin,
            elapsed: Duration::ZERO,
            partial_since: BTreeMap::new(),
        }
    }

    /// Adds a gang with `accelerators` on each of `members`. Its proposer starts at the next step.
    pub fn submit(&mut self, id: &str, class: u32, accelerators: u32, members: &[usize]) {
        let hold = Hold {
            gang: id.to_owned(),
            accelerators,
            rank: Rank::new(class, 0),
            preemptible: true,
            ..Hold::default()
        };
        self.submit_hold(hold, members);
    }

    pub fn submit_hold(&mut self, hold: Hold, members: &[usize]) {
        let gang = Gang {
            members: members.to_vec(),
            proposer_up: true,
            cancelled: false,
            held: BTreeSet::new(),
            last_request: self.origin,
            committed: false,
            hold: hold.clone(),
        };
        self.gangs.insert(hold.gang, gang);
    }

    /// Sets a reservation on each of `members`, without a gang.
    pub fn reserve(&mut self, instance: &str, accelerators: u32, members: &[usize]) {
        for index in members {
            let reserve = vec![Reservation::new(instance, 1, accelerators)];
            let hold = Hold { reserve, ..Hold::default() };
            let now = self.clock(*index);
            let (reply, _) = self.workers[*index].ledger.hold(&hold, now);
            assert_eq!(reply, HoldReply::Held);
        }
    }

    /// Cancels a gang at its lead and all other members, like an entry does.
    pub fn cancel(&mut self, id: &str) {
        let Some(gang) = self.gangs.get_mut(id) else { return };
        gang.cancelled = true;
        self.stop(id, Duration::ZERO);
    }

    /// Sends a command to every member to stop a gang within `grace`.
    pub fn stop(&mut self, id: &str, grace: Duration) {
        let Some(gang) = self.gangs.get(id) else { return };
        let stop = Stop {
            gang: id.to_owned(),
            epoch: gang.hold.epoch + 1,
            checkpoint: false,
            grace,
            reason: "stopped".to_owned(),
        };
        for to in gang.members.clone() {
            self.send(to, to, Message::Stop(stop.clone()));
        }
    }

    /// Returns the time by the worker's own clock.
    pub fn clock(&self, index: usize) -> Instant {
        let drift =
            self.elapsed.as_micros() as i64 * i64::from(self.workers[index].drift_per_mille) / 1000;
        self.origin + Duration::from_micros((self.elapsed.as_micros() as i64 + drift) as u64)
    }

    /// Crashes the agent, which loses its ledger. The worker's tasks keep running until their
    /// leases expire.
    pub fn crash(&mut self, index: usize) {
        self.workers[index].up = false;
        self.workers[index].paused = false;
        self.workers[index].pending_events.clear();
    }

    pub fn restart(&mut self, index: usize) {
        let now = self.clock(index);
        let worker = &mut self.workers[index];
        if worker.up {
            return;
        }
        worker.member.agent.incarnation += 1;
        worker.ledger = Ledger::new(worker.member.agent.clone(), ACCELERATORS, now);
        worker.up = true;
    }

    pub fn running_tasks(&self, id: &str) -> usize {
        self.workers.iter().filter(|worker| worker.tasks.contains_key(id)).count()
    }

    pub fn granted_workers(&self, id: &str) -> usize {
        let granted = |index: &usize| {
            let worker = &self.workers[*index];
            let report = worker.ledger.report(self.clock(*index));
            worker.up && report.grants.iter().any(|grant| grant.gang == id)
        };
        (0..WORKERS).filter(granted).count()
    }

    pub fn run(&mut self, span: Duration) {
        for _ in 0..span.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    /// Advances the time by [`STEP`]: runs the ticks, the proposers, the deliveries, the expiry of
    /// leases on the workers, and the checks.
    pub fn step(&mut self) {
        self.elapsed += STEP;
        for index in 0..WORKERS {
            self.tick(index);
        }
        self.propose();
        self.deliver_due();
        self.expire_tasks();
        self.check();
    }

    pub fn tick(&mut self, index: usize) {
        let now = self.clock(index);
        let worker = &mut self.workers[index];
        if worker.up && !worker.paused {
            let actions = worker.ledger.tick(now);
            self.perform(index, actions);
        }
    }

    /// Ends the task of `id` on the worker `index` with `event`.
    pub fn end_task(&mut self, index: usize, id: &str, event: WorkerEvent) {
        let Some(task) = self.workers[index].tasks.remove(id) else { return };
        self.report_event(index, id, task.epoch, event);
    }

    fn report_event(&mut self, index: usize, id: &str, epoch: u64, event: WorkerEvent) {
        let now = self.clock(index);
        let worker = &mut self.workers[index];
        if worker.paused {
            worker.pending_events.push((id.to_owned(), epoch, event));
        } else if worker.up {
            let actions = worker.ledger.handle_worker_event(id, epoch, event, now);
            self.perform(index, actions);
        }
    }

    /// Resumes a paused agent, which handles the worker's pending events before anything else.
    pub fn resume(&mut self, index: usize) {
        self.workers[index].paused = false;
        for (id, epoch, event) in std::mem::take(&mut self.workers[index].pending_events) {
            self.report_event(index, &id, epoch, event);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.workers[to].member.agent.incarnation;
        self.post(Packet { from, to, incarnation, message });
    }

    fn send_member(&mut self, from: usize, to: &Member, message: Message) {
        let incarnation = to.agent.incarnation;
        self.post(Packet { from, to: index_of(to), incarnation, message });
    }

    fn post(&mut self, packet: Packet) {
        match (self.network)(&packet) {
            Delivery::Pass => self.in_flight.push((0, packet)),
            Delivery::Drop => {}
            Delivery::Duplicate => {
                self.in_flight.push((0, packet.clone()));
                self.in_flight.push((3, packet));
            }
            Delivery::Delay(steps) => self.in_flight.push((steps, packet)),
        }
    }

    /// Delivers the packets that are due, and those without delay that are sent in response.
    fn deliver_due(&mut self) {
        // The limit grows with the number of packets, because a process that was paused receives
        // all packets that were sent to it in the meantime.
        for _ in 0..1000 + 10 * self.in_flight.len() {
            let due =
                |(steps, packet): &(usize, Packet)| *steps == 0 && !self.workers[packet.to].paused;
            let Some(position) = self.in_flight.iter().position(due) else {
                self.in_flight.iter_mut().for_each(|(steps, _)| *steps = steps.saturating_sub(1));
                return;
            };
            let (_, packet) = self.in_flight.remove(position);
            self.deliver(packet);
        }
        self.violations
            .push("packets still cause further packets after the limit of deliveries".to_owned());
    }

    pub fn deliver(&mut self, packet: Packet) {
        let Packet { from, to, incarnation, message } = packet;
        if let Message::Held(gang, epoch, reply) = message {
            return self.handle_hold_reply(from, &gang, epoch, reply);
        }
        let now = self.clock(to);
        let worker = &mut self.workers[to];
        if !worker.up || worker.member.agent.incarnation != incarnation {
            return;
        }
        let actions = match message {
            Message::Hold(hold) => {
                let (reply, actions) = worker.ledger.hold(&hold, now);
                self.send(to, to, Message::Held(hold.gang, hold.epoch, reply));
                actions
            }
            Message::Commit(commit) => worker.ledger.commit(&commit, now).1,
            Message::Release(gang, epoch) => worker.ledger.release(&gang, epoch, now).1,
            Message::Ready(ready) => worker.ledger.handle_ready(&ready, now).1,
            Message::Renew(lead, renew) => {
                let (reply, actions) = worker.ledger.renew(&renew, now);
                let member = worker.member.clone();
                self.perform(to, actions);
                return self.send(to, lead, Message::Renewed(member, renew, reply));
            }
            Message::Renewed(member, renew, reply) => {
                worker.ledger.handle_renew_reply(&member, &renew, reply, now)
            }
            Message::Stop(stop) => worker.ledger.stop(&stop, now).1,
            Message::Held(..) => Vec::new(),
        };
        self.perform(to, actions);
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendReady { to, ready } => {
                    self.send_member(index, &to, Message::Ready(ready));
                }
                Action::SendRenew { to, renew } => {
                    self.send_member(index, &to, Message::Renew(index, renew));
                }
                Action::SendStop { to, stop } => self.send_member(index, &to, Message::Stop(stop)),
                Action::Start { gang, epoch, lease, .. } => self.start(index, gang, epoch, lease),
                Action::Extend { gang, epoch, lease } => {
                    let expires = self.clock(index) + lease;
                    let task = self.workers[index].tasks.get_mut(&gang);
                    match task.filter(|task| task.epoch == epoch) {
                        Some(task) => task.expires = expires,
                        None => self.report_event(index, &gang, epoch, WorkerEvent::Stopped),
                    }
                }
                Action::Checkpoint { .. } => self.checkpoints += 1,
                Action::Throttle { .. } => {}
                Action::Kill { gang, epoch } => {
                    let worker = &mut self.workers[index];
                    if worker.ignores_stop && worker.ignored_stops.insert((gang.clone(), epoch)) {
                        continue;
                    }
                    worker.tasks.retain(|id, task| *id != gang || task.epoch != epoch);
                    self.report_event(index, &gang, epoch, WorkerEvent::Stopped);
                }
                Action::Ended { gang, end, .. } => self.ends.push((gang, end)),
            }
        }
    }

    fn start(&mut self, index: usize, gang: String, epoch: u64, lease: Duration) {
        self.started.insert(gang.clone());
        let expires = self.clock(index) + lease;
        let accelerators = self.gangs.get(&gang).map_or(0, |gang| gang.hold.accelerators);
        let task = Task { epoch, accelerators, expires };
        self.workers[index].tasks.insert(gang.clone(), task);
        self.report_event(index, &gang, epoch, WorkerEvent::Started);
    }

    /// Stops tasks whose lease has expired, as workers do with or without an agent.
    fn expire_tasks(&mut self) {
        for index in 0..WORKERS {
            let now = self.clock(index);
            let tasks = &self.workers[index].tasks;
            let expired = tasks.iter().filter(|(_, task)| task.expires <= now);
            for id in expired.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
                self.end_task(index, &id, WorkerEvent::Stopped);
            }
        }
    }

    /// Sends the holds of every active proposer and repeats them every 250 ms until its gang is
    /// committed, also after a refusal or without a reply.
    fn propose(&mut self) {
        let now = self.origin + self.elapsed;
        for id in self.gangs.keys().cloned().collect::<Vec<_>>() {
            let gang = self.gangs.get_mut(&id).unwrap();
            if !gang.proposer_up || gang.committed || gang.cancelled {
                continue;
            }
            let waited = now.saturating_duration_since(gang.last_request);
            if waited < Duration::from_millis(250) {
                continue;
            }
            gang.hold.epoch = gang.hold.epoch.max(1);
            gang.last_request = now;
            let (hold, members) = (gang.hold.clone(), gang.members.clone());
            for to in members {
                self.send(to, to, Message::Hold(hold.clone()));
            }
        }
    }

    fn handle_hold_reply(&mut self, from: usize, id: &str, epoch: u64, reply: HoldReply) {
        let Some(gang) = self.gangs.get_mut(id) else { return };
        if gang.hold.epoch != epoch || gang.committed || !gang.proposer_up || gang.cancelled {
            return;
        }
        let (gang_id, members) = (id.to_owned(), gang.members.clone());
        match reply {
            HoldReply::Held => {
                gang.held.insert(from);
            }
            HoldReply::Pending => {
                gang.held.remove(&from);
            }
            HoldReply::Refused(_) => {
                gang.held.clear();
                gang.hold.epoch += 1;
                for to in members {
                    self.send(to, to, Message::Release(gang_id.clone(), epoch));
                }
                return;
            }
        }
        if gang.held.len() < members.len() {
            return;
        }
        gang.committed = true;
        let committed_members = members.iter().map(|index| self.workers[*index].member.clone());
        let task: Arc<[u8]> = Arc::new([]);
        let commit = Commit { gang: gang_id, epoch, members: committed_members.collect(), task };
        for to in members {
            self.send(to, to, Message::Commit(commit.clone()));
        }
    }

    /// Makes the proposer of an ended gang try again, like an entry does after [`Action::Ended`].
    pub fn retry(&mut self, id: &str) {
        if let Some(gang) = self.gangs.get_mut(id).filter(|gang| gang.committed) {
            gang.committed = false;
            gang.held.clear();
            gang.hold.epoch += 1;
        }
    }

    /// Checks the invariants and records violations.
    pub fn check(&mut self) {
        for index in 0..WORKERS {
            self.check_worker(index);
        }
        let mut running = BTreeMap::<(String, u64), usize>::new();
        for worker in &self.workers {
            for (id, task) in &worker.tasks {
                *running.entry((id.clone(), task.epoch)).or_default() += 1;
            }
        }
        self.partial_since.retain(|key, _| running.contains_key(key));
        for ((id, epoch), count) in running {
            if count == self.gangs[&id].members.len() {
                self.partial_since.remove(&(id.clone(), epoch));
                if !self.fully_started.contains(&id) {
                    self.fully_started.push(id);
                }
                continue;
            }
            let since = *self.partial_since.entry((id.clone(), epoch)).or_insert(self.elapsed);
            if self.elapsed - since > MAX_PARTIAL_RUN {
                let span = self.elapsed - since;
                self.violations.push(format!(
                    "only a part of gang {id} ran for {span:?}, with a lease of {GANG_LEASE:?}"
                ));
            }
        }
    }

    fn check_worker(&mut self, index: usize) {
        let worker = &self.workers[index];
        let in_use: u32 = worker.tasks.values().map(|task| task.accelerators).sum();
        let report = worker.ledger.report(self.clock(index));
        let granted: u32 = report.grants.iter().map(|grant| grant.accelerators).sum();
        let reserved: u32 = report.reservations.iter().map(|r| r.accelerators).sum();
        let guaranteed = report.grants.iter().filter(|g| g.instance.is_some() || !g.preemptible);
        let guaranteed: u32 = guaranteed.map(|grant| grant.accelerators).sum();
        if in_use > ACCELERATORS || granted > ACCELERATORS || reserved + guaranteed > ACCELERATORS {
            self.violations.push(format!(
                "worker {index}: {in_use} in use, {granted} granted, {reserved} reserved, \
                 {guaranteed} guaranteed"
            ));
        }
    }
}
