use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_ledger::{
    Action, Commit, End, Hold, Ledger, Member, Ready, Renew, RenewReply, Stop, WorkerEvent,
};
use skylarkpulley_proto::{AgentClients, v1};
use skylarkpulley_telemetry::{Decisions, Event};
use skylarkpulley_types::{AgentId, Clock};
use tokio::sync::{mpsc, oneshot, watch};

use crate::gang_convert::{
    from_hold_reply, from_ready, from_renew, from_renew_reply, from_report, from_stop, to_commit,
    to_hold, to_ready, to_renew, to_renew_reply, to_stop,
};
use crate::worker_client::{TaskView, WorkerClient, WorkerReply};

/// Time between two sweeps of the ledger.
const TICK: Duration = Duration::from_millis(50);

/// Sweeps between two looks at the worker's memory.
const USAGE_TICKS: u32 = 20;

/// Ends of gangs stay in reports for this long, so that no entry misses them.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Time for one message to another agent.
const CALL_LIMIT: Duration = Duration::from_millis(400);

enum Command {
    Commit(Commit, oneshot::Sender<v1::CommitReply>),
    Drain(oneshot::Sender<()>),
    Hold(Hold, oneshot::Sender<v1::HoldReply>),
    Ready(Ready, oneshot::Sender<bool>),
    Release(String, u64),
    Renew(Renew, oneshot::Sender<RenewReply>),
    Renewed(Member, Renew, RenewReply),
    SetAccelerators(u32),
    Stop(Stop, oneshot::Sender<bool>),
    Usage(Vec<TaskView>),
    Worker(String, u64, WorkerEvent, Option<TaskView>),
}

/// Handle to the task that alone grants the accelerators of the worker beside this agent.
#[derive(Clone, Debug)]
pub struct Gangs {
    commands: mpsc::Sender<Command>,
    state: watch::Receiver<v1::WorkerState>,
}

impl Gangs {
    /// Starts the task. The number of accelerators comes with the first configuration.
    pub fn new(
        agent: &AgentId,
        worker: Option<SocketAddr>,
        clients: Arc<AgentClients>,
        clock: Arc<dyn Clock>,
        decisions: Arc<Decisions>,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (publish, state) = watch::channel(v1::WorkerState::default());
        let now = clock.now();
        let task = GangsTask {
            agent: agent.clone(),
            calls: HashMap::new(),
            checkpoints: HashMap::new(),
            clients,
            clock,
            commands: commands.clone(),
            decisions,
            drained: Vec::new(),
            ended: VecDeque::new(),
            ledger: Ledger::new(agent.clone(), 0, now),
            publish,
            sizes: HashMap::new(),
            worker: worker.map(WorkerClient::new),
        };
        tokio::spawn(task.work(inbox));
        Self { commands, state }
    }

    /// Asks for accelerators, or for a change of reservations.
    pub async fn hold(&self, request: v1::HoldRequest) -> Option<v1::HoldReply> {
        self.ask(|reply| Command::Hold(to_hold(request), reply)).await
    }

    /// Turns a hold into a grant.
    pub async fn commit(&self, request: v1::CommitRequest) -> Option<v1::CommitReply> {
        self.ask(|reply| Command::Commit(to_commit(request), reply)).await
    }

    /// Ends a proposal that has not started.
    pub async fn release(&self, request: v1::ReleaseRequest) {
        let _ = self.commands.send(Command::Release(request.gang, request.epoch)).await;
    }

    /// Takes in a member's state at the lead.
    pub async fn ready(&self, request: v1::GangReadyRequest) -> Option<bool> {
        self.ask(|reply| Command::Ready(to_ready(request), reply)).await
    }

    /// Extends the gang lease at a member.
    pub async fn renew(&self, request: v1::GangRenewRequest) -> Option<v1::GangRenewReply> {
        let reply = self.ask(|reply| Command::Renew(to_renew(request), reply)).await?;
        Some(from_renew_reply(reply))
    }

    /// Ends a gang. Returns false when a newer proposal is in force.
    pub async fn stop(&self, request: v1::StopRequest) -> Option<bool> {
        self.ask(|reply| Command::Stop(to_stop(request), reply)).await
    }

    /// Puts the number of accelerators from the pools table in force.
    pub async fn set_accelerators(&self, accelerators: u32) {
        let _ = self.commands.send(Command::SetAccelerators(accelerators)).await;
    }

    /// Takes no new holds and waits until all grants have ended.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        if self.commands.send(Command::Drain(reply)).await.is_ok() {
            let _ = drained.await;
        }
    }

    /// Returns the state that reports carry, updated on every change.
    pub fn state(&self) -> watch::Receiver<v1::WorkerState> {
        self.state.clone()
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}

struct GangsTask {
    agent: AgentId,
    /// End of the last call to the worker for each gang; the next one waits for it.
    calls: HashMap<String, oneshot::Receiver<()>>,
    /// Run time that the last checkpoint of each gang preserves, in milliseconds.
    checkpoints: HashMap<String, u64>,
    clients: Arc<AgentClients>,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    decisions: Arc<Decisions>,
    drained: Vec<oneshot::Sender<()>>,
    ended: VecDeque<(Instant, v1::GangEnd)>,
    ledger: Ledger,
    publish: watch::Sender<v1::WorkerState>,
    /// Accelerators of each gang on this worker.
    sizes: HashMap<String, u32>,
    worker: Option<WorkerClient>,
}

impl GangsTask {
    async fn work(mut self, mut inbox: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut ticks = 0;
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = tick.tick() => {
                    let actions = self.ledger.tick(self.clock.now());
                    self.perform(actions);
                    ticks += 1;
                    if ticks % USAGE_TICKS == 0 {
                        self.read_usage();
                    }
                }
            }
            self.publish_state();
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        let actions = match command {
            Command::Commit(commit, reply) => {
                let (result, actions) = self.ledger.commit(&commit, now);
                let reason = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
                let _ = reply.send(v1::CommitReply { committed: result.is_ok(), reason });
                actions
            }
            Command::Drain(reply) => {
                self.ledger.drain();
                self.drained.push(reply);
                Vec::new()
            }
            Command::Hold(hold, reply) => self.hold(&hold, reply, now),
            Command::Ready(ready, reply) => {
                let (known, actions) = self.ledger.handle_ready(&ready, now);
                let _ = reply.send(known);
                actions
            }
            Command::Release(gang, epoch) => self.ledger.release(&gang, epoch, now).1,
            Command::Renew(renew, reply) => {
                let (answer, actions) = self.ledger.renew(&renew, now);
                let _ = reply.send(answer);
                actions
            }
            Command::Renewed(member, renew, reply) => {
                self.ledger.handle_renew_reply(&member, &renew, reply, now)
            }
            Command::SetAccelerators(accelerators) => {
                self.ledger.set_accelerators(accelerators);
                Vec::new()
            }
            Command::Stop(stop, reply) => {
                let (known, actions) = self.ledger.stop(&stop, now);
                let _ = reply.send(known);
                actions
            }
            Command::Usage(tasks) => {
                let usage = tasks.iter().map(|task| (task.id.as_str(), task.memory));
                usage
                    .flat_map(|(id, memory)| self.ledger.record_memory_usage(id, memory, now))
                    .collect()
            }
            Command::Worker(gang, epoch, event, view) => {
                self.worker_event(&gang, epoch, event, view, now)
            }
        };
        self.perform(actions);
    }

    fn hold(
        &mut self,
        hold: &Hold,
        reply: oneshot::Sender<v1::HoldReply>,
        now: Instant,
    ) -> Vec<Action> {
        let (answer, actions) = self.ledger.hold(hold, now);
        if !hold.gang.is_empty() {
            self.sizes.insert(hold.gang.clone(), hold.accelerators);
            let detail = format!("epoch {} asks {}: {answer:?}", hold.epoch, hold.accelerators);
            self.decisions.record(now, Event::JobPlaced, &hold.gang, &detail);
        }
        let state = from_report(self.ledger.report(now), Vec::new());
        let _ = reply.send(from_hold_reply(&answer, state));
        actions
    }

    fn worker_event(
        &mut self,
        gang: &str,
        epoch: u64,
        event: WorkerEvent,
        view: Option<TaskView>,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(view) = view {
            self.checkpoints.insert(gang.to_owned(), view.checkpoint_ms);
        }
        if event == WorkerEvent::Failed {
            // The lead does not learn which member failed; this report blames the right worker.
            self.note_end(gang, epoch, v1::gang_end::End::Failed, Some(self.agent.clone()), now);
        }
        self.ledger.handle_worker_event(gang, epoch, event, now)
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendReady { to, ready } => self.send_ready(to, ready),
                Action::SendRenew { to, renew } => self.send_renew(to, renew),
                Action::SendStop { to, stop } => self.send_stop(to, stop),
                Action::Start { gang, epoch, lease, task } => {
                    let detail = format!("epoch {epoch}, first lease");
                    self.decisions.record(self.clock.now(), Event::JobStarted, &gang, &detail);
                    let size = self.sizes.get(&gang).copied().unwrap_or(0);
                    let (clock, until) = (Arc::clone(&self.clock), self.clock.now() + lease);
                    self.call_worker(gang, epoch, move |worker, gang| async move {
                        let lease = until.saturating_duration_since(clock.now());
                        worker.start(&gang, epoch, lease, size, &task).await
                    });
                }
                Action::Extend { gang, epoch, lease } => {
                    let (clock, until) = (Arc::clone(&self.clock), self.clock.now() + lease);
                    self.call_worker(gang, epoch, move |worker, gang| async move {
                        let lease = until.saturating_duration_since(clock.now());
                        worker.renew(&gang, epoch, lease).await
                    });
                }
                Action::Checkpoint { gang, epoch } => self.checkpoint(gang, epoch),
                Action::Throttle { gang, epoch } => {
                    self.call_worker(gang, epoch, move |worker, gang| async move {
                        worker.command(&gang, epoch, "throttle").await
                    });
                }
                Action::Kill { gang, epoch } => self.kill(gang, epoch),
                Action::Ended { gang, epoch, end, reason } => {
                    self.gang_ended(&gang, epoch, &end, &reason);
                }
            }
        }
    }

    fn send_ready(&self, to: Member, ready: Ready) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        let local = to.agent == self.agent;
        tokio::spawn(async move {
            if local {
                let (reply, _) = oneshot::channel();
                let _ = commands.send(Command::Ready(ready, reply)).await;
                return;
            }
            let Some(mut client) = clients.client(&to.control) else { return };
            let call = client.gang_ready(from_ready(&ready));
            if !matches!(tokio::time::timeout(CALL_LIMIT, call).await, Ok(Ok(_))) {
                clients.remove(&to.control);
            }
        });
    }

    fn send_renew(&self, to: Member, renew: Renew) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        let local = to.agent == self.agent;
        tokio::spawn(async move {
            let reply = if local {
                let (reply, answer) = oneshot::channel();
                let _ = commands.send(Command::Renew(renew.clone(), reply)).await;
                answer.await.ok()
            } else {
                call_renew(&clients, &to, &renew).await
            };
            if let Some(reply) = reply {
                let _ = commands.send(Command::Renewed(to, renew, reply)).await;
            }
        });
    }

    fn send_stop(&self, to: Member, stop: Stop) {
        let (clients, commands) = (Arc::clone(&self.clients), self.commands.clone());
        let local = to.agent == self.agent;
        tokio::spawn(async move {
            if local {
                let (reply, _) = oneshot::channel();
                let _ = commands.send(Command::Stop(stop, reply)).await;
                return;
            }
            let Some(mut client) = clients.client(&to.control) else { return };
            // A lost stop is made good by the lease, which is no longer renewed.
            let _ = tokio::time::timeout(CALL_LIMIT, client.stop(from_stop(stop))).await;
        });
    }

    /// Calls the worker and passes what the task's state means to the ledger. The calls for one gang
    /// reach the worker in the order of the decisions: a renewal or stop that overtakes the start
    /// finds no task, and its accelerators would be granted again before the start arrives.
    fn call_worker<F>(
        &mut self,
        gang: String,
        epoch: u64,
        call: impl FnOnce(WorkerClient, String) -> F + Send + 'static,
    ) where
        F: Future<Output = WorkerReply> + Send,
    {
        let Some(worker) = self.worker.clone() else { return };
        let commands = self.commands.clone();
        let (ended, end) = oneshot::channel();
        let previous = self.calls.insert(gang.clone(), end);
        tokio::spawn(async move {
            if let Some(previous) = previous {
                // A call that was dropped has ended as well.
                let _ = previous.await;
            }
            let _ended: oneshot::Sender<()> = ended;
            let (event, view) = match call(worker, gang.clone()).await {
                WorkerReply::NoAnswer => (WorkerEvent::NoAnswer, None),
                WorkerReply::Task(view) if view.epoch == epoch => {
                    (view.event().unwrap_or(WorkerEvent::Started), Some(view))
                }
                WorkerReply::Task(_) | WorkerReply::Unknown => (WorkerEvent::Stopped, None),
            };
            let _ = commands.send(Command::Worker(gang, epoch, event, view)).await;
        });
    }

    fn checkpoint(&self, gang: String, epoch: u64) {
        let Some(worker) = self.worker.clone() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            // A checkpoint takes as long as it takes; the grace period ends it if need be.
            if let WorkerReply::Task(view) = worker.checkpoint(&gang, epoch).await {
                let event = view.event().unwrap_or(WorkerEvent::Checkpointed);
                let _ = commands.send(Command::Worker(gang, epoch, event, Some(view))).await;
            }
        });
    }

    fn kill(&mut self, gang: String, epoch: u64) {
        let detail = format!("epoch {epoch} is told to stop");
        self.decisions.record(self.clock.now(), Event::LeaseLapsed, &gang, &detail);
        self.call_worker(gang, epoch, move |worker, gang| async move {
            worker.command(&gang, epoch, "stop").await
        });
    }

    fn gang_ended(&mut self, gang: &str, epoch: u64, end: &End, reason: &str) {
        let now = self.clock.now();
        let detail = format!("epoch {epoch}: {reason}");
        self.decisions.record(now, Event::JobEnded, gang, &detail);
        let end = match end {
            End::Finished => v1::gang_end::End::Finished,
            End::Stopped => v1::gang_end::End::Stopped,
            End::Failed | End::NotReady => v1::gang_end::End::Lapsed,
        };
        self.note_end(gang, epoch, end, None, now);
    }

    fn note_end(
        &mut self,
        gang: &str,
        epoch: u64,
        end: v1::gang_end::End,
        failed: Option<AgentId>,
        now: Instant,
    ) {
        let ended = v1::GangEnd {
            gang: gang.to_owned(),
            epoch,
            end: end.into(),
            failed: failed.as_ref().map(v1::AgentId::from),
            progress_ms: self.checkpoints.remove(gang).unwrap_or(0),
        };
        self.ended.push_back((now, ended));
    }

    fn read_usage(&self) {
        let Some(worker) = self.worker.clone() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            if let Some(tasks) = worker.usage().await {
                let _ = commands.send(Command::Usage(tasks)).await;
            }
        });
    }

    fn publish_state(&mut self) {
        let now = self.clock.now();
        let old = |at: &Instant| now.saturating_duration_since(*at) >= ENDED_RETENTION;
        while self.ended.front().is_some_and(|(at, _)| old(at)) {
            self.ended.pop_front();
        }
        let ended = self.ended.iter().map(|(_, ended)| ended.clone()).collect();
        let report = self.ledger.report(now);
        if report.grants.is_empty() {
            self.sizes.clear();
            self.calls.retain(|_, end| end.try_recv() == Err(oneshot::error::TryRecvError::Empty));
            for waiter in self.drained.drain(..) {
                let _ = waiter.send(());
            }
        }
        let state = from_report(report, ended);
        self.publish.send_if_modified(|current| {
            let changed = is_changed(current, &state);
            *current = state;
            changed
        });
    }
}

/// Reports whether entries need to know at once. Run times and memory grow all the time and go with
/// the next regular report.
pub fn is_changed(old: &v1::WorkerState, new: &v1::WorkerState) -> bool {
    let key = |grant: &v1::Grant| (grant.gang.clone(), grant.epoch, grant.running);
    old.serving != new.serving
        || old.accelerators != new.accelerators
        || old.ended != new.ended
        || old.reservations != new.reservations
        || !old.grants.iter().map(key).eq(new.grants.iter().map(key))
}

async fn call_renew(clients: &AgentClients, to: &Member, renew: &Renew) -> Option<RenewReply> {
    let mut client = clients.client(&to.control)?;
    let call = client.gang_renew(from_renew(renew));
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(reply)) => Some(to_renew_reply(reply.into_inner())),
        Ok(Err(_)) | Err(_) => {
            clients.remove(&to.control);
            None
        }
    }
}
