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
use crate::worker_client::{TaskStatus, WorkerClient, WorkerReply};

/// Interval at which the ledger checks its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of ticks between two requests for the memory usage of the worker's tasks: one request per
/// second.
const TICKS_PER_USAGE_READ: u32 = 20;

/// Time for which reports include the end of a gang, so that no entry misses it.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

/// Timeout of one call to another agent.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Messages to the task that owns the ledger.
enum Command {
    Commit(Commit, oneshot::Sender<v1::CommitReply>),
    Drain(oneshot::Sender<()>),
    Hold(Hold, oneshot::Sender<v1::HoldReply>),
    Ready(Ready, oneshot::Sender<bool>),
    Release(String, u64),
    Renew(Renew, oneshot::Sender<RenewReply>),
    RenewReply(Member, Renew, RenewReply),
    SetAccelerators(u32),
    Stop(Stop, oneshot::Sender<bool>),
    Usage(Vec<TaskStatus>),
    WorkerEvent(String, u64, WorkerEvent, Option<TaskStatus>),
}

/// Handle to the task that owns the ledger. Only this task grants the accelerators of the worker of
/// this agent.
#[derive(Clone, Debug)]
pub struct Gangs {
    commands: mpsc::Sender<Command>,
    state: watch::Receiver<v1::WorkerState>,
}

impl Gangs {
    /// Starts the task. It has no accelerators to grant until the first configuration sets their
    /// number.
    pub fn new(
        agent: &AgentId,
        worker: Option<SocketAddr>,
        clients: Arc<AgentClients>,
        clock: Arc<dyn Clock>,
        decisions: Arc<Decisions>,
    ) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (published_state, state) = watch::channel(v1::WorkerState::default());
        let now = clock.now();
        let task = GangsTask {
            agent: agent.clone(),
            call_ends: HashMap::new(),
            checkpoint_progress: HashMap::new(),
            clients,
            clock,
            commands: commands.clone(),
            decisions,
            drain_waiters: Vec::new(),
            ended_gangs: VecDeque::new(),
            ledger: Ledger::new(agent.clone(), 0, now),
            published_state,
            requested_accelerators: HashMap::new(),
            worker: worker.map(WorkerClient::new),
        };
        tokio::spawn(task.run(inbox));
        Self { commands, state }
    }

    /// Requests accelerators for a gang, or only a change of reservations.
    pub async fn hold(&self, request: v1::HoldRequest) -> Option<v1::HoldReply> {
        self.call(|reply| Command::Hold(to_hold(request), reply)).await
    }

    /// Turns the hold of a gang into a grant.
    pub async fn commit(&self, request: v1::CommitRequest) -> Option<v1::CommitReply> {
        self.call(|reply| Command::Commit(to_commit(request), reply)).await
    }

    /// Releases the hold of a proposal that has not started.
    pub async fn release(&self, request: v1::ReleaseRequest) {
        let _ = self.commands.send(Command::Release(request.gang, request.epoch)).await;
    }

    /// Passes the state of a member to the ledger of the lead. Returns false if this agent does not
    /// lead the gang, or the member does not belong to it.
    pub async fn handle_ready(&self, request: v1::GangReadyRequest) -> Option<bool> {
        self.call(|reply| Command::Ready(to_ready(request), reply)).await
    }

    /// Extends the gang lease at a member.
    pub async fn renew(&self, request: v1::GangRenewRequest) -> Option<v1::GangRenewReply> {
        let reply = self.call(|reply| Command::Renew(to_renew(request), reply)).await?;
        Some(from_renew_reply(reply))
    }

    /// Stops a gang if this agent leads it, otherwise only this member. Returns false if a newer
    /// proposal of the gang has a grant.
    pub async fn stop(&self, request: v1::StopRequest) -> Option<bool> {
        self.call(|reply| Command::Stop(to_stop(request), reply)).await
    }

    /// Sets the number of accelerators to the value in the pools table.
    pub async fn set_accelerators(&self, accelerators: u32) {
        let _ = self.commands.send(Command::SetAccelerators(accelerators)).await;
    }

    /// Refuses new holds and waits until all grants have ended.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        if self.commands.send(Command::Drain(reply)).await.is_ok() {
            let _ = drained.await;
        }
    }

    /// Returns the state for reports. Receivers are notified of the changes that entries must learn
    /// immediately.
    pub fn state(&self) -> watch::Receiver<v1::WorkerState> {
        self.state.clone()
    }

    async fn call<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, result) = oneshot::channel();
        self.commands.send(command(reply)).await.ok()?;
        result.await.ok()
    }
}

struct GangsTask {
    agent: AgentId,
    /// Signals the end of the latest call to the worker for each gang; the next call waits for it.
    call_ends: HashMap<String, oneshot::Receiver<()>>,
    /// Run time that is preserved by the last checkpoint of each gang, in milliseconds.
    checkpoint_progress: HashMap<String, u64>,
    clients: Arc<AgentClients>,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    decisions: Arc<Decisions>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    ended_gangs: VecDeque<(Instant, v1::GangEnd)>,
    ledger: Ledger,
    published_state: watch::Sender<v1::WorkerState>,
    /// Accelerators that each gang has requested on this worker.
    requested_accelerators: HashMap<String, u32>,
    worker: Option<WorkerClient>,
}

impl GangsTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
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
                    if ticks % TICKS_PER_USAGE_READ == 0 {
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
                self.drain_waiters.push(reply);
                Vec::new()
            }
            Command::Hold(hold, reply) => self.hold(&hold, reply, now),
            Command::Ready(ready, reply) => {
                let (accepted, actions) = self.ledger.handle_ready(&ready, now);
                let _ = reply.send(accepted);
                actions
            }
            Command::Release(gang, epoch) => self.ledger.release(&gang, epoch, now).1,
            Command::Renew(renew, reply) => {
                let (answer, actions) = self.ledger.renew(&renew, now);
                let _ = reply.send(answer);
                actions
            }
            Command::RenewReply(member, renew, reply) => {
                self.ledger.handle_renew_reply(&member, &renew, reply, now)
            }
            Command::SetAccelerators(accelerators) => {
                self.ledger.set_accelerators(accelerators);
                Vec::new()
            }
            Command::Stop(stop, reply) => {
                let (is_current, actions) = self.ledger.stop(&stop, now);
                let _ = reply.send(is_current);
                actions
            }
            Command::Usage(tasks) => {
                let usage = tasks.iter().map(|task| (task.id.as_str(), task.memory));
                usage
                    .flat_map(|(id, memory)| self.ledger.record_memory_usage(id, memory, now))
                    .collect()
            }
            Command::WorkerEvent(gang, epoch, event, status) => {
                self.handle_worker_event(&gang, epoch, event, status, now)
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
            self.requested_accelerators.insert(hold.gang.clone(), hold.accelerators);
            let detail = format!(
                "epoch {} requests {} accelerators: {answer:?}",
                hold.epoch, hold.accelerators
            );
            self.decisions.record(now, Event::JobPlaced, &hold.gang, &detail);
        }
        let state = from_report(self.ledger.report(now), Vec::new());
        let _ = reply.send(from_hold_reply(&answer, state));
        actions
    }

    fn handle_worker_event(
        &mut self,
        gang: &str,
        epoch: u64,
        event: WorkerEvent,
        status: Option<TaskStatus>,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(status) = status {
            self.checkpoint_progress.insert(gang.to_owned(), status.checkpoint_ms);
        }
        if event == WorkerEvent::Failed {
            // The lead is not told which member failed, so this agent reports that its own worker
            // did.
            self.record_gang_end(
                gang,
                epoch,
                v1::gang_end::End::Failed,
                Some(self.agent.clone()),
                now,
            );
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
                    let detail =
                        format!("epoch {epoch}: the worker is told to start the task; first lease");
                    self.decisions.record(self.clock.now(), Event::JobStarted, &gang, &detail);
                    let accelerators = self.requested_accelerators.get(&gang).copied().unwrap_or(0);
                    let (clock, until) = (Arc::clone(&self.clock), self.clock.now() + lease);
                    self.call_worker(gang, epoch, move |worker, gang| async move {
                        let lease = until.saturating_duration_since(clock.now());
                        worker.start(&gang, epoch, lease, accelerators, &task).await
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
                    self.handle_gang_end(&gang, epoch, &end, &reason);
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
            if !matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
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
                request_renewal(&clients, &to, &renew).await
            };
            if let Some(reply) = reply {
                let _ = commands.send(Command::RenewReply(to, renew, reply)).await;
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
            // If the call is lost, the member stops when its lease expires, because the lead no
            // longer renews it.
            let _ = tokio::time::timeout(CALL_TIMEOUT, client.stop(from_stop(stop))).await;
        });
    }

    /// Calls the worker and passes the resulting event to the ledger. The calls for one gang reach
    /// the worker in the order in which the ledger issued them. If a renewal or stop overtook the
    /// start, the worker would reply that it has no such task, and the accelerators would be
    /// granted to another gang before the start arrives.
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
        let (call_guard, call_end) = oneshot::channel();
        let previous_end = self.call_ends.insert(gang.clone(), call_end);
        tokio::spawn(async move {
            if let Some(previous_end) = previous_end {
                // The channel closes without a message when the previous call has ended.
                let _ = previous_end.await;
            }
            // Dropped at the end of this call, which lets the next call begin.
            let _call_guard: oneshot::Sender<()> = call_guard;
            let (event, status) = match call(worker, gang.clone()).await {
                WorkerReply::NoAnswer => (WorkerEvent::NoAnswer, None),
                WorkerReply::Task(status) if status.epoch == epoch => {
                    (status.event().unwrap_or(WorkerEvent::Started), Some(status))
                }
                WorkerReply::Task(_) | WorkerReply::Unknown => (WorkerEvent::Stopped, None),
            };
            let _ = commands.send(Command::WorkerEvent(gang, epoch, event, status)).await;
        });
    }

    fn checkpoint(&self, gang: String, epoch: u64) {
        let Some(worker) = self.worker.clone() else { return };
        let commands = self.commands.clone();
        tokio::spawn(async move {
            // No timeout is needed here: if the checkpoint takes too long, the grace period ends
            // and the ledger stops the task.
            if let WorkerReply::Task(status) = worker.checkpoint(&gang, epoch).await {
                let event = status.event().unwrap_or(WorkerEvent::Checkpointed);
                let _ = commands.send(Command::WorkerEvent(gang, epoch, event, Some(status))).await;
            }
        });
    }

    fn kill(&mut self, gang: String, epoch: u64) {
        let detail = format!("epoch {epoch}: the worker is told to stop the task");
        self.decisions.record(self.clock.now(), Event::LeaseLapsed, &gang, &detail);
        self.call_worker(gang, epoch, move |worker, gang| async move {
            worker.command(&gang, epoch, "stop").await
        });
    }

    fn handle_gang_end(&mut self, gang: &str, epoch: u64, end: &End, reason: &str) {
        let now = self.clock.now();
        let detail = format!("epoch {epoch}: {reason}");
        self.decisions.record(now, Event::JobEnded, gang, &detail);
        let end = match end {
            End::Finished => v1::gang_end::End::Finished,
            End::Stopped => v1::gang_end::End::Stopped,
            End::Failed | End::NotReady => v1::gang_end::End::Lapsed,
        };
        self.record_gang_end(gang, epoch, end, None, now);
    }

    fn record_gang_end(
        &mut self,
        gang: &str,
        epoch: u64,
        end: v1::gang_end::End,
        failed: Option<AgentId>,
        now: Instant,
    ) {
        let end = v1::GangEnd {
            gang: gang.to_owned(),
            epoch,
            end: end.into(),
            failed: failed.as_ref().map(v1::AgentId::from),
            progress_ms: self.checkpoint_progress.remove(gang).unwrap_or(0),
        };
        self.ended_gangs.push_back((now, end));
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
        let is_expired =
            |ended_at: &Instant| now.saturating_duration_since(*ended_at) >= ENDED_RETENTION;
        while self.ended_gangs.front().is_some_and(|(ended_at, _)| is_expired(ended_at)) {
            self.ended_gangs.pop_front();
        }
        let ended = self.ended_gangs.iter().map(|(_, end)| end.clone()).collect();
        let report = self.ledger.report(now);
        if report.grants.is_empty() {
            self.requested_accelerators.clear();
            self.call_ends.retain(|_, call_end| {
                call_end.try_recv() == Err(oneshot::error::TryRecvError::Empty)
            });
            for waiter in self.drain_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
        let state = from_report(report, ended);
        self.published_state.send_if_modified(|current| {
            let changed = needs_immediate_report(current, &state);
            *current = state;
            changed
        });
    }
}

/// Returns whether the change must be reported to the entries immediately. Run times and memory
/// usage change constantly and are only included in the next regular report.
pub fn needs_immediate_report(old: &v1::WorkerState, new: &v1::WorkerState) -> bool {
    let reported_state = |grant: &v1::Grant| (grant.gang.clone(), grant.epoch, grant.running);
    old.serving != new.serving
        || old.accelerators != new.accelerators
        || old.ended != new.ended
        || old.reservations != new.reservations
        || !old.grants.iter().map(reported_state).eq(new.grants.iter().map(reported_state))
}

async fn request_renewal(clients: &AgentClients, to: &Member, renew: &Renew) -> Option<RenewReply> {
    let mut client = clients.client(&to.control)?;
    let call = client.gang_renew(from_renew(renew));
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => Some(to_renew_reply(reply.into_inner())),
        Ok(Err(_)) | Err(_) => {
            clients.remove(&to.control);
            None
        }
    }
}
