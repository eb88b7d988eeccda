use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use skylarkpulley_jobs::{
    Coordinator, JobAccess, JobTables, RowKind, Submission, Timestamp, WorkerReport,
};
use skylarkpulley_proto::v1;
use skylarkpulley_store::TransactError;
use skylarkpulley_telemetry::Event;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::Status;

use crate::boot_time::boot_time;
use crate::calls::{JobAnswer, JobCall};
use crate::convert::{encode_orders, millis};
use crate::held_calls::HeldCalls;
use crate::journal::{CommitOutcome, Journal};
use crate::leader_context::LeaderContext;
use crate::leader_message::LeaderMessage;
use crate::plan_pause::plan_pause;
use crate::tables_task::TablesAvailability;
use crate::timestamp::timestamp;
use crate::waiting_callers::WaitingCallers;

/// Interval at which the coordinator handles what has become due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a write after which the leadership is confirmed by a read.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(1500);

/// Time between two confirmations while calls fail or are late, so that it is noticed soon when the
/// store answers again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The store counts as down when calls have failed for this long. New work is then refused at once
/// instead of waiting, unless the store answers another entry, which then takes over.
const STORE_FAILURE_LIMIT: Duration = Duration::from_millis(400);

/// The store also counts as down, with the same consequence, when calls have had no answer for this
/// long. A slow store takes up to a second.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(1300);

/// New work is also refused when a write has had no outcome for this long, whatever other entries
/// report, because a takeover takes less time.
const WRITE_STUCK_LIMIT: Duration = Duration::from_millis(2000);

/// Time between two confirmations while no follower is heard: the leader may be cut off, and its
/// agents need to know soon.
const CUT_OFF_CONFIRM_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two writes while an earlier leader does not answer this one. That entry sees by
/// these writes that this leader works, and does not replace it.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which calls to the store have failed or are late after which agents look for a
/// successor. A store that is 80 times slower than usual answers a read within 0.35 s.
const UNCONFIRMED_AFTER: Duration = Duration::from_millis(400);

/// Number of look-ups of the leader's record a second that all agents together may make while the
/// store does not confirm the leadership. The smallest store serves 2,000 reads a second.
const SEARCH_RATE: u64 = 400;

/// How long the report of another entry that the store answers it remains valid: two pings.
const PEER_REPORT_VALIDITY: Duration = Duration::from_millis(800);

/// Delay after which callers are asked to retry while the store is down.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Delay after which callers are asked to retry while submissions that are not stored take all memory
/// that they may. A usual write takes 15 ms, one to a slow store about a second.
const UNSTORED_RETRY_AFTER: Duration = Duration::from_secs(1);

struct Session {
    acked: u64,
    outbound: mpsc::Sender<Result<v1::CoordinatorUpdate, Status>>,
    worker: String,
}

enum StoreCall {
    Commit(CommitOutcome),
    Confirm(Result<CommitOutcome, TransactError>),
    /// A write without rows.
    Heartbeat(CommitOutcome),
}

/// Runs the coordinator while this entry is the leader.
pub struct Leader {
    confirmed_at: Duration,
    context: LeaderContext,
    coordinator: Coordinator,
    epoch: u64,
    held_calls: HeldCalls,
    /// Number of the latest session that has reported for each worker.
    latest_sessions: HashMap<String, u64>,
    sessions: HashMap<u64, Session>,
    /// When the tables were last confirmed, since the VM started and by the clock of the coordinator.
    tables_read: Option<(Duration, Instant)>,
    store_called: Instant,
    /// Whether the last updates named this entry as the leader.
    told_leads: bool,
    waiting_callers: WaitingCallers,
    write_started: Option<Instant>,
}

/// Why the leadership ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeadershipEnd {
    /// Another entry is the leader.
    Deposed,
    /// The entry was told to stop leading.
    Stopped,
}

impl Leader {
    /// Restores the coordinator from the stored rows, at the start of a leadership.
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
        let progress: BTreeMap<String, Vec<u8>> =
            journal.load(RowKind::Progress).await?.into_iter().collect();
        let now = timestamp(clock.as_ref());
        let mut coordinator = Coordinator::new(context.limits, tables, now);
        for (key, value) in jobs {
            if let Err(error) = coordinator.restore(&key, &value, &progress, now) {
                tracing::error!(%error, "stored job {key:?} cannot be restored; ignoring it");
            }
        }
        let store_called = clock.now();
        Ok(Self {
            confirmed_at: journal.confirmed_at(),
            context,
            coordinator,
            epoch: journal.epoch(),
            held_calls: HeldCalls::new(),
            latest_sessions: HashMap::new(),
            sessions: HashMap::new(),
            tables_read: None,
            store_called,
            told_leads: true,
            waiting_callers: WaitingCallers::new(),
            write_started: None,
        })
    }

    /// Runs until another entry is the leader or `stop` is true.
    pub async fn run(
        mut self,
        journal: Journal,
        mut inbox: mpsc::Receiver<LeaderMessage>,
        mut tables: watch::Receiver<JobTables>,
        mut stop: watch::Receiver<bool>,
    ) -> LeadershipEnd {
        let mut idle_journal = Some(journal);
        let mut store_call: Option<BoxFuture<'static, (Journal, StoreCall)>> = None;
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut plan_after = tokio::time::Instant::now();
        let mut availability = self.context.availability.clone();
        self.apply_tables(&mut tables, &mut availability);
        loop {
            let plan_due = self.coordinator.is_plan_due();
            tokio::select! {
                message = inbox.recv() => match message {
                    Some(message) => {
                        self.handle_message(message);
                        // Handles all waiting messages before the next placement.
                        while let Ok(message) = inbox.try_recv() {
                            self.handle_message(message);
                        }
                    }
                    None => return LeadershipEnd::Stopped,
                },
                (journal, outcome) = async {
                    store_call.as_mut().expect("a store call is open").await
                }, if store_call.is_some() =>
                {
                    store_call = None;
                    self.write_started = None;
                    self.update_confirmation(&journal);
                    let deposed = match outcome {
                        StoreCall::Commit(end) => {
                            self.end_write(end);
                            end == CommitOutcome::Deposed
                        }
                        StoreCall::Confirm(Ok(end)) | StoreCall::Heartbeat(end) => {
                            end == CommitOutcome::Deposed
                        }
                        StoreCall::Confirm(Err(error)) => {
                            tracing::debug!(
                                %error,
                                "store did not confirm the leadership; confirming it again"
                            );
                            false
                        }
                    };
                    if deposed {
                        return LeadershipEnd::Deposed;
                    }
                    idle_journal = Some(journal);
                    self.answer_confirmed();
                }
                _ = tick.tick() => {
                    let now = self.now();
                    self.coordinator.tick(now);
                    self.audit(now);
                    self.refuse_stuck_submissions();
                    self.announce_confirmation();
                    if !self.is_confirmed() {
                        self.held_calls.give_up();
                    }
                    self.update_gauges();
                }
                Ok(()) = tables.changed() => self.apply_tables(&mut tables, &mut availability),
                Ok(()) = availability.changed() => {
                    self.apply_tables(&mut tables, &mut availability);
                }
                Ok(()) = stop.changed() => {}
                () = tokio::time::sleep_until(plan_after), if plan_due => {}
            }
            if *stop.borrow() && store_call.is_none() {
                return LeadershipEnd::Stopped;
            }
            let started = tokio::time::Instant::now();
            if self.coordinator.is_plan_due() && started >= plan_after {
                let now = self.now();
                self.coordinator.place(now);
                let took = started.elapsed();
                plan_after = started + took + plan_pause(took);
            }
            if let Some(journal) = idle_journal.take() {
                self.start_store_call(journal, &mut idle_journal, &mut store_call);
            }
            self.query_policy();
            self.waiting_callers.answer_stored(&self.coordinator);
            self.record_decisions();
            self.send_changed_orders();
        }
    }

    /// Applies the current tables, and when they were read.
    fn apply_tables(
        &mut self,
        tables: &mut watch::Receiver<JobTables>,
        availability: &mut watch::Receiver<TablesAvailability>,
    ) {
        // The time is taken first, so that the tables are at least as new.
        let read_at = availability.borrow_and_update().read_at;
        // `changed` has already marked the tables as seen, so the coordinator compares the versions.
        self.coordinator.set_tables(&tables.borrow_and_update());
        let known = self.tables_read.map(|(at, _)| at);
        let Some(read_at) = read_at.filter(|at| known.is_none_or(|known| *at > known)) else {
            return;
        };
        let now = self.now();
        let age = boot_time().saturating_sub(read_at);
        let Some(monotonic) = now.monotonic.checked_sub(age) else { return };
        self.tables_read = Some((read_at, monotonic));
        self.coordinator.confirm_tables(Timestamp { monotonic, ..now });
        self.check_tables();
    }

    /// Lets the coordinator hold back starts if the tables may be outdated. Their age counts
    /// suspensions of the VM, during which a failure domain may have been evacuated.
    fn check_tables(&mut self) {
        let now = self.now();
        let aged = self.tables_read.map(|(at, instant)| instant + boot_time().saturating_sub(at));
        let monotonic = aged.map_or(now.monotonic, |aged| aged.max(now.monotonic));
        self.coordinator.check_tables(Timestamp { monotonic, ..now });
    }

    /// Sends the next question to the placement policy, if none is open.
    fn query_policy(&mut self) {
        let now = self.now();
        let Some(call) = self.coordinator.next_advice_call(now) else { return };
        let (Some(policy), Some(inbox)) =
            (self.context.policy.clone(), self.context.own_inbox.upgrade())
        else {
            tracing::error!(
                job = call.step.job,
                "no placement policy is configured; dropping a question about the job"
            );
            return;
        };
        tokio::spawn(async move {
            let answer = match policy.advise(&call).await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    tracing::warn!(
                        %error,
                        job = call.step.job,
                        "placement policy did not answer; its advice is missing"
                    );
                    None
                }
            };
            // Sending fails when the leadership has ended, which needs no handling.
            let _ = inbox.send(LeaderMessage::Advice { call: Box::new(call), answer }).await;
        });
    }

    fn now(&self) -> Timestamp {
        timestamp(self.context.clock.as_ref())
    }

    fn update_confirmation(&mut self, journal: &Journal) {
        self.confirmed_at = journal.confirmed_at();
    }

    /// Starts a write of rows if one is due, otherwise a write that shows an earlier leader that this
    /// one works, otherwise a confirmation; if none is due, the journal stays idle.
    fn start_store_call(
        &mut self,
        mut journal: Journal,
        idle_journal: &mut Option<Journal>,
        store_call: &mut Option<BoxFuture<'static, (Journal, StoreCall)>>,
    ) {
        let now = self.context.clock.now();
        if !self.coordinator.has_predecessor(self.now()) {
            journal.end_predecessors();
        }
        if let Some(rows) = self.coordinator.begin_commit() {
            self.write_started = Some(now);
            self.store_called = now;
            let commit = journal.commit(rows);
            *store_call =
                Some(commit.map(|(journal, end)| (journal, StoreCall::Commit(end))).boxed());
            return;
        }
        let health = &self.context.health;
        let failing = !health.failing_for().max(health.overdue_for()).is_zero();
        let since_call = now.saturating_duration_since(self.store_called);
        let unanswered = *self.context.unanswered.borrow() > 0;
        if unanswered && !failing && since_call >= HEARTBEAT_INTERVAL {
            self.store_called = now;
            let heartbeat = journal.commit(Vec::new());
            *store_call =
                Some(heartbeat.map(|(journal, end)| (journal, StoreCall::Heartbeat(end))).boxed());
            return;
        }
        let interval = if failing {
            PROBE_INTERVAL
        } else if self.held_calls.is_waiting(self.confirmed_at) {
            Duration::ZERO
        } else if self.context.followers.are_silent() {
            CUT_OFF_CONFIRM_INTERVAL
        } else {
            CONFIRM_INTERVAL
        };
        if since_call < interval {
            *idle_journal = Some(journal);
            return;
        }
        self.store_called = now;
        let confirm = journal.confirm();
        *store_call =
            Some(confirm.map(|(journal, end)| (journal, StoreCall::Confirm(end))).boxed());
    }

    fn handle_message(&mut self, message: LeaderMessage) {
        let now = self.now();
        match message {
            LeaderMessage::Call { call, reply } => self.handle_call(now, call, reply),
            LeaderMessage::Advice { call, answer } => {
                self.coordinator.handle_advice(now, &call, answer.as_ref());
            }
            LeaderMessage::PredecessorsEnded => self.coordinator.end_predecessor(now),
            LeaderMessage::Summary { reply } => {
                // Sending fails when the operator has left, which needs no handling.
                let _ = reply.send(self.coordinator.summary(now));
            }
            LeaderMessage::Explain { id, reply } => {
                // Sending fails when the operator has left, which needs no handling.
                let _ = reply.send(self.coordinator.explain_waiting(now, &id));
            }
            LeaderMessage::Open { session, outbound } => {
                self.sessions
                    .insert(session, Session { acked: 0, outbound, worker: String::new() });
            }
            LeaderMessage::Report { session, sequence, report } => {
                self.handle_report(now, session, sequence, &report);
            }
            LeaderMessage::Close { session } => {
                self.latest_sessions.retain(|_, latest| *latest != session);
                if let Some(closed) = self.sessions.remove(&session)
                    && !self.sessions.values().any(|other| other.worker == closed.worker)
                {
                    self.coordinator.end_session(&closed.worker);
                }
            }
        }
    }

    fn handle_report(&mut self, now: Timestamp, number: u64, sequence: u64, report: &WorkerReport) {
        if self.is_superseded(number, report) {
            // Dropping the sender of its updates closes the session.
            self.sessions.remove(&number);
            return;
        }
        self.coordinator.report(now, report);
        let Some(session) = self.sessions.get_mut(&number) else { return };
        session.acked = sequence;
        if let Some(status) = &report.worker {
            session.worker.clone_from(&status.id);
            self.latest_sessions.insert(status.id.clone(), number);
        }
        self.send_update(number);
    }

    /// Reports whether the agent has opened a later session for the same worker. Reports that still
    /// arrive on the earlier session were delayed on a broken path and are older than those of the
    /// later one.
    fn is_superseded(&self, number: u64, report: &WorkerReport) -> bool {
        let Some(status) = &report.worker else { return false };
        let superseded =
            self.latest_sessions.get(&status.id).is_some_and(|latest| *latest > number);
        if superseded {
            tracing::info!(
                id = status.id,
                session = number,
                "ignoring a report of an earlier session and closing that session"
            );
        }
        superseded
    }

    fn send_update(&mut self, number: u64) {
        self.check_tables();
        let may_extend = self.may_extend();
        let search_spread_ms = self.sessions.len() as u64 * 1000 / SEARCH_RATE;
        let Some(session) = self.sessions.get(&number) else { return };
        let mut update = encode_orders(&self.coordinator.orders(&session.worker));
        update.epoch = self.epoch;
        update.acked = session.acked;
        update.leads = may_extend && self.is_confirmed();
        update.lease_ms = if may_extend { millis(self.context.times.lease) } else { 0 };
        update.search_spread_ms = search_spread_ms;
        // An agent that receives no updates ends its session when its silence limit has passed.
        if session.outbound.try_send(Ok(update)).is_err() {
            tracing::debug!(
                worker = session.worker,
                "update dropped: the queue of the session is full or closed"
            );
        }
    }

    /// Reports whether agents may extend leases. A successor relies on this entry to extend none
    /// after it has answered the successor's ping.
    fn may_extend(&self) -> bool {
        let deposed = self.context.reported_leader.borrow().epoch > self.epoch;
        let age = boot_time().saturating_sub(self.confirmed_at);
        !deposed && age < self.context.times.confirmation_limit
    }

    /// Reports whether the store answers this entry. If it does not, another entry may lead, while
    /// this one may still extend leases.
    fn is_confirmed(&self) -> bool {
        let health = &self.context.health;
        health.failing_for().max(health.overdue_for()) < UNCONFIRMED_AFTER
    }

    /// Tells all agents when the store no longer confirms the leadership, or does so again.
    fn announce_confirmation(&mut self) {
        let leads = self.may_extend() && self.is_confirmed();
        if leads == self.told_leads {
            return;
        }
        self.told_leads = leads;
        let event = Event::LeadershipDoubted;
        let (agents, age) = (self.sessions.len(), boot_time().saturating_sub(self.confirmed_at));
        tracing::info!(
            code = event.code(),
            event = event.name(),
            epoch = self.epoch,
            agents,
            age = millis(age),
            confirmed = leads
        );
        let numbers: Vec<u64> = self.sessions.keys().copied().collect();
        for number in numbers {
            self.send_update(number);
        }
    }

    fn send_changed_orders(&mut self) {
        let changed_workers = self.coordinator.take_changed_workers();
        let numbers: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, session)| changed_workers.contains(&session.worker))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            self.send_update(number);
        }
    }

    fn handle_call(&mut self, now: Timestamp, call: JobCall, reply: oneshot::Sender<JobAnswer>) {
        if self.lacks_memory(&call) {
            // Sending fails when the caller has left, which needs no handling.
            let _ = reply.send(unstored_answer());
            return;
        }
        if self.is_confirmed() && self.needs_confirmation(&call) {
            self.held_calls.add(call, boot_time(), reply);
            return;
        }
        self.answer_call(now, call, reply, false);
    }

    /// Answers the calls for which the leadership is confirmed.
    fn answer_confirmed(&mut self) {
        let now = self.now();
        for (call, reply) in self.held_calls.take_confirmed(self.confirmed_at) {
            self.answer_call(now, call, reply, true);
        }
    }

    /// Reports whether the answer to a call is true only if this entry still leads. That a job does not
    /// exist, or that its id is in use, needs a confirmation sent after the call arrived. States and
    /// numbers of jobs may be as old as the confirmations that are sent all the time.
    fn needs_confirmation(&self, call: &JobCall) -> bool {
        let age = boot_time().saturating_sub(self.confirmed_at);
        let outdated = age > CONFIRM_INTERVAL * 2;
        match call {
            JobCall::Submit(..) => self.is_denied(call),
            JobCall::Cancel(id, _) => self.is_denied(call) || self.coordinator.view(id).is_none(),
            JobCall::State(id, _) => {
                outdated || self.is_denied(call) || self.coordinator.view(id).is_none()
            }
            JobCall::Pending(_) => outdated,
        }
    }

    fn is_denied(&self, call: &JobCall) -> bool {
        call.access().is_some_and(|(id, access)| self.coordinator.is_denied(id, &access))
    }

    /// Answers a call. `confirmed` tells whether the leadership was confirmed after it arrived.
    fn answer_call(
        &mut self,
        now: Timestamp,
        call: JobCall,
        reply: oneshot::Sender<JobAnswer>,
        confirmed: bool,
    ) {
        if let Some(answer) = self.deny(&call, confirmed) {
            // Sending fails when the caller has left, which needs no handling.
            let _ = reply.send(answer);
            return;
        }
        let stuck = self.is_stuck();
        let answer = match call {
            // The first copy of a repeated submission may be part of the stuck write, so that a
            // repeat must not be refused.
            JobCall::Submit(job, _) if stuck && self.coordinator.view(&job.id).is_none() => {
                store_down_answer()
            }
            JobCall::Cancel(..) if stuck => store_down_answer(),
            JobCall::Submit(job, _) => {
                let id = job.id.clone();
                let is_repeat = self.coordinator.view(&id).is_some();
                let bytes = if is_repeat { 0 } else { job.memory_bytes() };
                match self.coordinator.submit(now, *job) {
                    Submission::Refused { reason, retry } => JobAnswer::Refused { reason, retry },
                    Submission::Accepted { version } => {
                        self.waiting_callers.add_submission(id, version, bytes, reply);
                        return;
                    }
                }
            }
            JobCall::Cancel(id, _) => match self.coordinator.cancel(now, &id) {
                Some(version) => {
                    self.waiting_callers.add_cancellation(id, version, reply);
                    return;
                }
                None => absent_answer(confirmed),
            },
            JobCall::State(id, _) => match self.coordinator.view(&id) {
                Some(view) => JobAnswer::State(view.state),
                None => absent_answer(confirmed),
            },
            JobCall::Pending(route) => JobAnswer::Pending(
                u64::try_from(self.coordinator.pending(&route)).unwrap_or(u64::MAX),
            ),
        };
        // Sending fails when the caller has left, which needs no handling.
        let _ = reply.send(answer);
    }

    /// Returns the answer to a call about a job of another team or route: that of a job that does not
    /// exist, so that callers cannot find out the ids of others. `None` if the call is allowed.
    fn deny(&mut self, call: &JobCall, confirmed: bool) -> Option<JobAnswer> {
        if !self.is_denied(call) {
            return None;
        }
        let (id, access) = call.access()?;
        let answer = match call {
            // An id names one job, so that the submission cannot be accepted.
            JobCall::Submit(..) if confirmed => JobAnswer::Taken,
            _ => absent_answer(confirmed),
        };
        let event = Event::RequestDenied;
        let JobAccess { open, route, team } = access;
        let route = route.name;
        let detail = format!("route {route}, open {open}, team {team}, answer {answer:?}");
        self.context.records.metrics.count(event.name());
        self.context.records.decisions.record(self.context.clock.now(), event, id, &detail);
        Some(answer)
    }

    /// Reports whether there is no memory for a submission until the store has taken others. Their
    /// callers may have left, so that the limits on connections do not count them.
    fn lacks_memory(&self, call: &JobCall) -> bool {
        let JobCall::Submit(job, _) = call else { return false };
        let held = self.waiting_callers.submitted_bytes() + self.held_calls.submitted_bytes();
        if held == 0 || held + job.memory_bytes() <= self.context.unstored_bytes {
            return false;
        }
        // A repeat takes no further memory, and its first copy may be part of an open write.
        let is_repeat = self.coordinator.view(&job.id).is_some() && !self.is_denied(call);
        !is_repeat
    }

    fn is_stuck(&self) -> bool {
        let now = self.context.clock.now();
        let stuck = self
            .write_started
            .is_some_and(|since| now.saturating_duration_since(since) > WRITE_STUCK_LIMIT);
        let peer_answered = self.context.health.peer_success_age() < PEER_REPORT_VALIDITY;
        let health = &self.context.health;
        let down = health.failing_for() > STORE_FAILURE_LIMIT
            || health.overdue_for() > STORE_SILENCE_LIMIT;
        stuck || (down && !peer_answered)
    }

    fn end_write(&mut self, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Deposed => {}
            CommitOutcome::Rejected => {
                let now = self.now();
                if let Some(id) = self.coordinator.reject_commit(now) {
                    self.waiting_callers.answer(&id, &JobAnswer::Unknown);
                }
            }
            CommitOutcome::Stored => self.coordinator.end_commit(),
        }
    }

    /// Refuses submissions that wait behind a stuck write and were never part of a write.
    fn refuse_stuck_submissions(&mut self) {
        if !self.is_stuck() {
            return;
        }
        for id in self.waiting_callers.submitted() {
            if self.coordinator.withdraw(&id) {
                // Repeats of the submission wait for the same row and get the same answer.
                self.waiting_callers.answer(&id, &store_down_answer());
            }
        }
    }

    /// Logs broken rules of the coordinator's state. Release builds leave it out for its cost.
    fn audit(&mut self, now: Timestamp) {
        if cfg!(debug_assertions) {
            for violation in self.coordinator.audit(now) {
                tracing::error!(%violation, "audit of the coordinator found a broken rule");
            }
        }
    }

    fn update_gauges(&self) {
        let (agents, callers) = (self.sessions.len(), self.waiting_callers.len());
        let steps = self.coordinator.wait_counts();
        let evacuated = self.coordinator.evacuated_domains();
        let slow = self.coordinator.slow_workers(self.now());
        self.context.records.update_gauges(agents, callers, steps, evacuated, slow, self.epoch);
        self.context.records.update_shares(self.coordinator.share_counts());
    }

    fn record_decisions(&mut self) {
        let now = self.context.clock.now();
        for decision in self.coordinator.take_decisions() {
            self.context.records.record(now, &decision, self.epoch);
        }
        self.context.records.count_refusals(&self.coordinator.take_refusals());
    }
}

/// Answers that a job does not exist, unless another entry may have accepted it.
fn absent_answer(confirmed: bool) -> JobAnswer {
    if confirmed { JobAnswer::Absent } else { JobAnswer::NotLeading }
}

fn unstored_answer() -> JobAnswer {
    let reason = "submissions that are not stored take all memory that they may".to_owned();
    JobAnswer::Refused { reason, retry: UNSTORED_RETRY_AFTER }
}

fn store_down_answer() -> JobAnswer {
    JobAnswer::Refused { reason: "the store is down".to_owned(), retry: STORE_RETRY_AFTER }
}
