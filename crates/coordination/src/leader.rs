use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures::FutureExt;
use futures::future::BoxFuture;
use skylarkpulley_jobs::{
    AdviceAnswer, AdviceCall, Coordinator, DecisionKind, JobTables, Limits, Moment, RowKind,
    Submission, Summary, WorkerReport,
};
use skylarkpulley_proto::v1;
use skylarkpulley_store::TransactError;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::Status;

use crate::boot_time::boot_time;
use crate::calls::{JobAnswer, JobCall};
use crate::convert::{encode_orders, millis};
use crate::journal::{CommitOutcome, Journal};
use crate::leadership::ReportedLeader;
use crate::placement_policy::PlacementPolicy;
use crate::records::Records;
use crate::store_health::StoreHealth;

/// Time between two looks at what is due with time.
const TICK: Duration = Duration::from_millis(200);

/// Time without a write after which the leadership is confirmed by a read.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1500);

/// Time between two confirmations while they fail, so that the store's return is noticed soon.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Calls that fail for this long mean that the store is down: new work is refused at once instead
/// of being held, unless the store answers another entry, which then takes over.
const STORE_DOWN: Duration = Duration::from_millis(400);

/// Calls that stay without an answer for this long mean the same; a slow store takes up to a
/// second.
const STORE_SILENT: Duration = Duration::from_millis(1300);

/// A write without an outcome for this long means the same, whatever others say; a takeover takes
/// less.
const STORE_STUCK: Duration = Duration::from_millis(2000);

/// Word of another entry that the store answers it holds for this long; two pings.
const OTHERS_HOLD: Duration = Duration::from_millis(800);

/// When callers should come back while the store is down.
const STORE_RETRY: Duration = Duration::from_secs(2);

/// Times of the leadership, which the safety of leases rests on.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTimes {
    /// Leases are extended only while the store confirmed the leadership within this time.
    pub max_confirmation_age: Duration,
    /// For how long leases may be extended.
    pub lease: Duration,
}

/// Input of the leader.
pub enum LeaderMessage {
    /// A caller's request.
    Call {
        /// The request.
        call: JobCall,
        /// Where the answer goes.
        reply: oneshot::Sender<JobAnswer>,
    },
    /// An agent has opened a session.
    Open {
        /// Number of the session.
        session: u64,
        /// Where its updates go.
        outbound: mpsc::Sender<Result<v1::CoordinatorUpdate, Status>>,
    },
    /// A report of an agent.
    Report {
        /// Number of the session.
        session: u64,
        /// Number of the message.
        sequence: u64,
        /// The content.
        report: Box<WorkerReport>,
        /// Whether the worker is gone for good.
        left: bool,
    },
    /// The placement policy has answered, or has not.
    Advice {
        /// The question.
        call: Box<AdviceCall>,
        /// The answer.
        answer: Option<AdviceAnswer>,
    },
    /// The predecessor is known not to lead any more.
    PredecessorEnded,
    /// An operator asks for the state.
    Summary {
        /// Where the answer goes.
        reply: oneshot::Sender<Summary>,
    },
    /// A session has ended.
    Close {
        /// Number of the session.
        session: u64,
    },
}

struct Session {
    acked: u64,
    outbound: mpsc::Sender<Result<v1::CoordinatorUpdate, Status>>,
    worker: String,
}

struct Waiting {
    id: String,
    reply: oneshot::Sender<JobAnswer>,
    submitted: bool,
    version: u64,
}

enum StoreCall {
    Commit(CommitOutcome),
    Confirm(Result<CommitOutcome, TransactError>),
}

/// What a leader needs from its entry.
pub struct LeaderContext {
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// Limits of the coordinator.
    pub limits: Limits,
    /// The leader's own input.
    pub own: mpsc::WeakSender<LeaderMessage>,
    /// Service that knows which workers may run a step, if there is one.
    pub policy: Option<Arc<dyn PlacementPolicy>>,
    /// What the entry records.
    pub records: Records,
    /// Leadership with the highest epoch that another entry has named.
    pub reported_leader: watch::Receiver<ReportedLeader>,
    /// Times that the safety of leases rests on.
    pub times: LeaderTimes,
}

/// Runs the coordinator while this entry leads.
pub struct Leader {
    confirmed: Duration,
    context: LeaderContext,
    core: Coordinator,
    epoch: u64,
    last_call: Instant,
    /// Latest session that has reported for each worker.
    latest: HashMap<String, u64>,
    sessions: HashMap<u64, Session>,
    store_since: Option<Instant>,
    waiting: Vec<Waiting>,
}

/// Why the leadership ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeadershipEnd {
    /// Another entry leads.
    Deposed,
    /// The entry was told to stop leading.
    Stopped,
}

impl Leader {
    /// Loads the rows of a leadership that has just begun.
    ///
    /// # Errors
    /// [`TransactError`] when the store does not answer.
    pub async fn load(
        journal: &Journal,
        context: LeaderContext,
        tables: JobTables,
    ) -> Result<Self, TransactError> {
        let clock = context.clock.clone();
        let jobs = journal.load(RowKind::Job).await?;
        let mut progress: HashMap<String, Vec<u8>> =
            journal.load(RowKind::Progress).await?.into_iter().collect();
        let now = moment(clock.as_ref());
        let mut core = Coordinator::new(context.limits, tables, now);
        for (key, value) in jobs {
            let state = progress.remove(&key);
            if let Err(error) = core.restore(&key, &value, state.as_deref(), now) {
                tracing::error!(%error, "job left out");
            }
        }
        let last_call = clock.now();
        Ok(Self {
            confirmed: journal.confirmed(),
            context,
            core,
            epoch: journal.epoch(),
            last_call,
            latest: HashMap::new(),
            sessions: HashMap::new(),
            store_since: None,
            waiting: Vec::new(),
        })
    }

    /// Leads until another entry does or `stop` turns true.
    pub async fn run(
        mut self,
        journal: Journal,
        mut inbox: mpsc::Receiver<LeaderMessage>,
        mut tables: watch::Receiver<JobTables>,
        mut stop: watch::Receiver<bool>,
    ) -> LeadershipEnd {
        let mut idle = Some(journal);
        let mut call: Option<BoxFuture<'static, (Journal, StoreCall)>> = None;
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => {
                        self.take(message);
                        // Decides once for a burst of messages.
                        while let Ok(message) = inbox.try_recv() {
                            self.take(message);
                        }
                    }
                    None => return LeadershipEnd::Stopped,
                },
                (journal, outcome) = async { call.as_mut().expect("a call is open").await },
                    if call.is_some() =>
                {
                    call = None;
                    self.store_since = None;
                    self.note_confirmed(&journal);
                    let deposed = match outcome {
                        StoreCall::Commit(end) => {
                            if end == CommitOutcome::Stored {
                                self.core.end_commit();
                            }
                            end == CommitOutcome::Deposed
                        }
                        StoreCall::Confirm(Ok(end)) => end == CommitOutcome::Deposed,
                        StoreCall::Confirm(Err(error)) => {
                            tracing::debug!(%error, "leadership not confirmed");
                            false
                        }
                    };
                    if deposed {
                        return LeadershipEnd::Deposed;
                    }
                    idle = Some(journal);
                }
                _ = tick.tick() => {
                    let now = self.now();
                    self.core.tick(now);
                    self.refuse_stuck();
                    self.note_load();
                }
                Ok(()) = tables.changed() => {
                    let tables = tables.borrow_and_update().clone();
                    self.core.set_tables(&tables);
                }
                Ok(()) = stop.changed() => {}
            }
            if *stop.borrow() && call.is_none() {
                return LeadershipEnd::Stopped;
            }
            if self.core.is_plan_due() {
                let now = self.now();
                self.core.place(now);
            }
            if let Some(journal) = idle.take() {
                self.next_store_call(journal, &mut idle, &mut call);
            }
            self.ask_policy();
            self.answer_waiting();
            self.log_decisions();
            self.push_orders();
        }
    }

    /// Puts the open questions to the placement policy.
    fn ask_policy(&mut self) {
        for call in self.core.take_advice_calls() {
            let (Some(policy), Some(inbox)) =
                (self.context.policy.clone(), self.context.own.upgrade())
            else {
                tracing::error!(job = call.step.job, "no placement policy in the settings");
                continue;
            };
            tokio::spawn(async move {
                let answer = match policy.advise(&call).await {
                    Ok(answer) => Some(answer),
                    Err(error) => {
                        tracing::warn!(%error, job = call.step.job, "no advice");
                        None
                    }
                };
                // The leadership may have ended.
                let _ = inbox.send(LeaderMessage::Advice { call: Box::new(call), answer }).await;
            });
        }
    }

    fn now(&self) -> Moment {
        moment(self.context.clock.as_ref())
    }

    fn note_confirmed(&mut self, journal: &Journal) {
        self.confirmed = journal.confirmed();
    }

    fn next_store_call(
        &mut self,
        journal: Journal,
        idle: &mut Option<Journal>,
        call: &mut Option<BoxFuture<'static, (Journal, StoreCall)>>,
    ) {
        let now = self.context.clock.now();
        if let Some(rows) = self.core.begin_commit() {
            self.store_since = Some(now);
            self.last_call = now;
            let commit = journal.commit(rows);
            *call = Some(commit.map(|(journal, end)| (journal, StoreCall::Commit(end))).boxed());
            return;
        }
        let health = &self.context.health;
        let failing = !health.failing_for().max(health.overdue_for()).is_zero();
        let interval = if failing { PROBE_INTERVAL } else { CONFIRM_INTERVAL };
        if now.saturating_duration_since(self.last_call) < interval {
            *idle = Some(journal);
            return;
        }
        self.last_call = now;
        let confirm = journal.confirm();
        *call = Some(confirm.map(|(journal, end)| (journal, StoreCall::Confirm(end))).boxed());
    }

    fn take(&mut self, message: LeaderMessage) {
        let now = self.now();
        match message {
            LeaderMessage::Call { call, reply } => self.take_call(now, call, reply),
            LeaderMessage::Advice { call, answer } => {
                self.core.handle_advice(now, &call, answer.as_ref());
            }
            LeaderMessage::PredecessorEnded => self.core.end_predecessor(now),
            LeaderMessage::Summary { reply } => {
                // The operator may have left.
                let _ = reply.send(self.core.summary(now));
            }
            LeaderMessage::Open { session, outbound } => {
                self.sessions
                    .insert(session, Session { acked: 0, outbound, worker: String::new() });
            }
            LeaderMessage::Report { session, sequence, report, left } => {
                self.take_report(now, session, sequence, &report, left);
            }
            LeaderMessage::Close { session } => {
                self.latest.retain(|_, latest| *latest != session);
                if let Some(closed) = self.sessions.remove(&session)
                    && !self.sessions.values().any(|other| other.worker == closed.worker)
                {
                    self.core.end_session(&closed.worker);
                }
            }
        }
    }

    fn take_report(
        &mut self,
        now: Moment,
        number: u64,
        sequence: u64,
        report: &WorkerReport,
        left: bool,
    ) {
        if self.is_superseded(number, report) {
            // Dropping it closes the session.
            self.sessions.remove(&number);
            return;
        }
        if let Some(status) = report.worker.as_ref().filter(|_| left) {
            self.core.remove_worker(now, &status.id, status.incarnation);
        } else {
            self.core.report(now, report);
        }
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.acked = sequence;
        if let Some(status) = &report.worker {
            session.worker.clone_from(&status.id);
            self.latest.insert(status.id.clone(), number);
        }
        self.push(number);
    }

    /// Reports whether the agent has opened a later session for the same worker. What still arrives
    /// on the earlier one waited on a broken path and is older than what the later one has said.
    fn is_superseded(&self, number: u64, report: &WorkerReport) -> bool {
        let Some(status) = &report.worker else { return false };
        let later = self.latest.get(&status.id).is_some_and(|latest| *latest > number);
        if later {
            tracing::info!(
                id = status.id,
                session = number,
                "report of an earlier session left out"
            );
        }
        later
    }

    fn push(&mut self, number: u64) {
        // A successor counts on this entry extending no lease once it has answered its ping.
        let deposed = self.context.reported_leader.borrow().epoch > self.epoch;
        let confirmed =
            boot_time().saturating_sub(self.confirmed) < self.context.times.max_confirmation_age;
        let fresh = confirmed && !deposed;
        let Some(session) = self.sessions.get(&number) else { return };
        let mut update = encode_orders(&self.core.orders(&session.worker));
        update.epoch = self.epoch;
        update.acked = session.acked;
        update.leads = fresh;
        update.lease_ms = if fresh { millis(self.context.times.lease) } else { 0 };
        // A session that does not take its updates is ended by its silence limit.
        if session.outbound.try_send(Ok(update)).is_err() {
            tracing::debug!(worker = session.worker, "update not taken");
        }
    }

    fn push_orders(&mut self) {
        let touched = self.core.take_changed_workers();
        let numbers: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| touched.contains(&session.worker))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.push(number);
        }
    }

    fn take_call(&mut self, now: Moment, call: JobCall, reply: oneshot::Sender<JobAnswer>) {
        let stuck = self.is_stuck();
        let answer = match call {
            // A repeat of a submission that may be part of the stuck write must not be refused.
            JobCall::Submit(job) if stuck && self.core.view(&job.id).is_none() => store_down(),
            JobCall::Cancel(_) if stuck => store_down(),
            JobCall::Submit(job) => {
                let id = job.id.clone();
                match self.core.submit(now, *job) {
                    Submission::Refused { reason, retry } => JobAnswer::Refused { reason, retry },
                    Submission::Accepted { version } => {
                        self.wait(id, version, true, reply);
                        return;
                    }
                }
            }
            JobCall::Cancel(id) => match self.core.cancel(now, &id) {
                Some(version) => {
                    self.wait(id, version, false, reply);
                    return;
                }
                None => self.absent(),
            },
            JobCall::State(id) => match self.core.view(&id) {
                Some(view) => JobAnswer::State(view.state),
                None => self.absent(),
            },
            JobCall::Pending(route) => {
                JobAnswer::Pending(u64::try_from(self.core.pending(&route)).unwrap_or(u64::MAX))
            }
        };
        // The caller may have left.
        let _ = reply.send(answer);
    }

    /// Says that a job does not exist only while no other entry can have accepted it.
    fn absent(&self) -> JobAnswer {
        let age = boot_time().saturating_sub(self.confirmed);
        if age > CONFIRM_INTERVAL * 2 {
            return JobAnswer::NotLeading;
        }
        JobAnswer::Absent
    }

    fn wait(
        &mut self,
        id: String,
        version: u64,
        submitted: bool,
        reply: oneshot::Sender<JobAnswer>,
    ) {
        self.waiting.push(Waiting { id, reply, submitted, version });
    }

    fn is_stuck(&self) -> bool {
        let now = self.context.clock.now();
        let stuck = self
            .store_since
            .is_some_and(|since| now.saturating_duration_since(since) > STORE_STUCK);
        let others = self.context.health.peer_success_age() < OTHERS_HOLD;
        let health = &self.context.health;
        let down = health.failing_for() > STORE_DOWN || health.overdue_for() > STORE_SILENT;
        stuck || (down && !others)
    }

    fn answer_waiting(&mut self) {
        let mut rest = Vec::new();
        for waiting in self.waiting.drain(..) {
            if self.core.is_durable(&waiting.id, waiting.version) {
                // The caller may have left.
                let _ = waiting.reply.send(JobAnswer::Done);
            } else {
                rest.push(waiting);
            }
        }
        self.waiting = rest;
    }

    /// Refuses submissions that wait behind a stuck write and were never sent to the store.
    fn refuse_stuck(&mut self) {
        if !self.is_stuck() {
            return;
        }
        let mut withdrawn = BTreeSet::new();
        for waiting in &self.waiting {
            if waiting.submitted && self.core.withdraw(&waiting.id) {
                withdrawn.insert(waiting.id.clone());
            }
        }
        // Repeats of a withdrawn submission wait for the same row and get the same answer.
        for waiting in std::mem::take(&mut self.waiting) {
            if withdrawn.contains(&waiting.id) {
                // The caller may have left.
                let _ = waiting.reply.send(store_down());
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn note_load(&self) {
        let metrics = &self.context.records.metrics;
        let gauges = [("agents", self.sessions.len()), ("callers-waiting", self.waiting.len())];
        for (name, value) in gauges {
            metrics.gauge(name, u64::try_from(value).unwrap_or(u64::MAX));
        }
        metrics.gauge("epoch", self.epoch);
    }

    fn log_decisions(&mut self) {
        for decision in self.core.take_decisions() {
            let event = match decision.kind {
                DecisionKind::Accepted => Event::JobSubmitted,
                DecisionKind::Refused => Event::JobRefused,
                DecisionKind::Placed => Event::JobPlaced,
                DecisionKind::RunEnded => Event::RunEnded,
                DecisionKind::Stopped => Event::JobPreempted,
                DecisionKind::Ended => Event::JobEnded,
                DecisionKind::Quarantined => Event::WorkerQuarantined,
                DecisionKind::Lost => Event::WorkerLost,
                DecisionKind::Silent => Event::AgentSilent,
            };
            let detail = format!("{}; epoch {}", decision.detail, self.epoch);
            let records = &self.context.records;
            records.metrics.count(event.name());
            records.decisions.record(self.context.clock.now(), event, &decision.id, &detail);
        }
    }
}

fn store_down() -> JobAnswer {
    JobAnswer::Refused { reason: "the store is down".to_owned(), retry: STORE_RETRY }
}

/// Returns the time on both clocks.
pub fn moment(clock: &dyn Clock) -> Moment {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment { at: clock.now(), wall_ms: millis(wall) }
}
