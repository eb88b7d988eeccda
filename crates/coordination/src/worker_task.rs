use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use skylarkpulley_jobs::{
    AgentAction, AgentCore, AgentLimits, Listing, RenewalCall, StartAnswer, TaskId, WorkerReport,
    WorkerStatus,
};
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};

use crate::boot_time::BootClock;
use crate::session::{LeaderUpdate, run_session};
use crate::worker_control::{WorkerAddress, WorkerControl, WorkerError};

/// How long the worker may wait for the end of a run before it answers a listing. This is also the
/// time between two reads of the progress of its runs, each of which costs money.
const LISTING_WAIT: Duration = Duration::from_millis(1000);

/// Wait of a listing while serving and filling tasks share the worker: the length of the period
/// that a reading covers. A missed response objective stops the filling tasks after two readings at
/// most.
const SHARED_LISTING_WAIT: Duration = Duration::from_millis(500);

/// Wait of a listing while a stop has yet to be confirmed by a listing.
const STOP_LISTING_WAIT: Duration = Duration::from_millis(20);

/// Delay before the next listing while ends of runs are not yet acknowledged, because the worker
/// would answer at once with the same ends.
const ACK_DELAY: Duration = Duration::from_millis(150);

/// Delay before the next listing after the worker did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay before the next listing after the first failed one. A worker that crashes breaks the open
/// connection; the next one tells whether it is down.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Shortest suspension of the VM that is taken into account. The two clocks are not read at the same
/// moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Interval at which the task checks for actions and reports that have become due.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// The periodic message of a worker to its agent, or the message that it leaves.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// The worker is running.
    Present {
        /// The description that the worker gives of itself.
        status: WorkerStatus,
    },
    /// The worker with this id leaves permanently.
    Left {
        /// Id of the worker.
        id: String,
    },
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct WorkerAgentSettings {
    /// Lease times.
    pub limits: AgentLimits,
    /// Name of the VM.
    pub name: String,
}

/// The agent of a VM. Runs one task for each worker that announces itself on the VM.
pub struct WorkerAgent {
    /// Clock that counts suspensions of the VM.
    boot_clock: Arc<dyn Clock>,
    clock: Arc<dyn Clock>,
    control: Arc<dyn WorkerControl>,
    /// Number of workers that leave while no leader has stored it.
    leaving: watch::Sender<usize>,
    settings: WorkerAgentSettings,
    store: Arc<dyn Transactor>,
    workers: BTreeMap<String, mpsc::Sender<Announcement>>,
}

impl WorkerAgent {
    /// Returns an agent without workers.
    pub fn new(
        settings: WorkerAgentSettings,
        store: Arc<dyn Transactor>,
        control: Arc<dyn WorkerControl>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let workers = BTreeMap::new();
        let boot_clock = Arc::new(BootClock::new());
        let leaving = watch::Sender::new(0);
        Self { boot_clock, clock, control, leaving, settings, store, workers }
    }

    /// Returns the number of workers that leave while no leader has stored it. An agent that ends
    /// before it is 0 leaves their runs to the time limits of leases.
    pub fn leaving(&self) -> watch::Receiver<usize> {
        self.leaving.subscribe()
    }

    /// Returns the agent with another clock that counts suspensions of the VM.
    pub fn with_boot_clock(self, boot_clock: Arc<dyn Clock>) -> Self {
        Self { boot_clock, ..self }
    }

    /// Passes announcements to the tasks of their workers until the sender is dropped.
    pub async fn run(mut self, mut announcements: mpsc::Receiver<Announcement>) {
        while let Some(announcement) = announcements.recv().await {
            let id = match &announcement {
                Announcement::Present { status } => status.id.clone(),
                Announcement::Left { id } => id.clone(),
            };
            self.workers.retain(|_, sender| !sender.is_closed());
            if !self.workers.contains_key(&id) {
                if matches!(announcement, Announcement::Left { .. }) {
                    continue;
                }
                self.workers.insert(id.clone(), self.start_worker());
            }
            if let Some(sender) = self.workers.get(&id) {
                // Sending fails when the task has ended, which happens only after its worker has
                // left.
                let _ = sender.send(announcement).await;
            }
        }
    }

    fn start_worker(&self) -> mpsc::Sender<Announcement> {
        let (sender, announcements) = mpsc::channel(16);
        let core = AgentCore::new(&self.settings.name, self.settings.limits, self.clock.now());
        let (outgoing, report) = watch::channel(WorkerReport::default());
        let (updates, incoming) = mpsc::channel(16);
        tokio::spawn(run_session(self.store.clone(), self.boot_clock.clone(), report, updates));
        let task = WorkerTask {
            boot_clock: self.boot_clock.clone(),
            clock: self.clock.clone(),
            control: self.control.clone(),
            core,
            failed_listings: 0,
            is_held: false,
            leaving: self.leaving.clone(),
            outgoing,
            suspended: Duration::ZERO,
            worker: None,
        };
        tokio::spawn(task.run(announcements, incoming));
        sender
    }
}

/// Outcome of a call to the worker, or the end of a delay before the next listing.
enum CallOutcome {
    Listing(u64, Result<Listing, WorkerError>),
    Pace(TaskId, u32, u8, Result<(), WorkerError>),
    Paused,
    Start(TaskId, u32, StartAnswer),
    Stop(TaskId, u32, Result<(), WorkerError>),
}

type Calls = FuturesUnordered<BoxFuture<'static, CallOutcome>>;

struct WorkerTask {
    boot_clock: Arc<dyn Clock>,
    clock: Arc<dyn Clock>,
    control: Arc<dyn WorkerControl>,
    core: AgentCore,
    /// Listings that failed since the last successful one.
    failed_listings: u32,
    /// Whether the present incarnation of the worker gets no work yet.
    is_held: bool,
    leaving: watch::Sender<usize>,
    outgoing: watch::Sender<WorkerReport>,
    /// Time for which the VM has been suspended so far.
    suspended: Duration,
    worker: Option<WorkerAddress>,
}

/// What a worker's task waits for.
enum Input {
    Announcement(Option<Announcement>),
    Outcome(CallOutcome),
    Tick,
    Update(LeaderUpdate),
}

impl WorkerTask {
    async fn run(
        self,
        announcements: mpsc::Receiver<Announcement>,
        incoming: mpsc::Receiver<LeaderUpdate>,
    ) {
        let leaving = self.leaving.clone();
        let was_leaving = self.serve(announcements, incoming).await;
        if was_leaving {
            leaving.send_modify(|count| *count -= 1);
        }
    }

    /// Serves the worker until nothing depends on its agent any more. Returns whether the worker is
    /// counted as leaving.
    async fn serve(
        mut self,
        mut announcements: mpsc::Receiver<Announcement>,
        mut incoming: mpsc::Receiver<LeaderUpdate>,
    ) -> bool {
        let mut is_leaving = false;
        let mut calls: Calls = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut listing_open = false;
        loop {
            let input = tokio::select! {
                announcement = announcements.recv() => Input::Announcement(announcement),
                Some(update) = incoming.recv() => Input::Update(update),
                Some(outcome) = calls.next(), if !calls.is_empty() => Input::Outcome(outcome),
                _ = tick.tick() => Input::Tick,
            };
            self.observe_suspension();
            match input {
                Input::Announcement(Some(announcement)) => self.handle_announcement(announcement),
                Input::Announcement(None) => return is_leaving,
                Input::Outcome(outcome) => {
                    listing_open &= !self.handle_outcome(outcome, &mut calls);
                }
                Input::Tick => {}
                Input::Update(update) => self.handle_update(update),
            }
            self.log_held();
            let now = self.clock.now();
            if self.core.is_leaving() != is_leaving {
                is_leaving = !is_leaving;
                self.count_leaving(is_leaving);
            }
            if self.core.is_done(now) {
                return is_leaving;
            }
            let left = self.core.has_left(now);
            if let Some(worker) = self.address().filter(|_| !left) {
                if !listing_open {
                    listing_open = true;
                    self.request_listing(&worker, &mut calls);
                }
                for action in self.core.actions(now) {
                    self.call(&worker, action, &mut calls);
                }
            }
            let next = self.core.report(now);
            self.outgoing.send_if_modified(|current| {
                let changed = *current != next;
                *current = next;
                changed
            });
        }
    }

    /// Returns the address of the worker, also while a later incarnation at it is not announced yet.
    fn address(&mut self) -> Option<WorkerAddress> {
        if let Some(status) = self.core.status() {
            let (address, id) = (status.address.clone(), status.id.clone());
            self.worker = Some(WorkerAddress { address, id });
        }
        self.worker.clone()
    }

    fn count_leaving(&self, is_leaving: bool) {
        self.leaving.send_modify(|count| if is_leaving { *count += 1 } else { *count -= 1 });
    }

    /// Ages what the agent holds by the time for which the VM was suspended since the last call.
    fn observe_suspension(&mut self) {
        let suspended = self.suspended_time();
        let since_last = suspended.saturating_sub(self.suspended);
        if since_last < MIN_SUSPENSION {
            return;
        }
        tracing::info!(length = ?since_last, "VM was suspended; leases count from before");
        self.suspended = suspended;
        self.core.record_suspension(since_last);
    }

    fn suspended_time(&self) -> Duration {
        self.boot_clock.now().saturating_duration_since(self.clock.now())
    }

    fn handle_update(&mut self, update: LeaderUpdate) {
        let LeaderUpdate { epoch, lease, orders, sent_at } = update;
        // The core measures by the monotonic clock, so that a time before a suspension is earlier
        // there by its length.
        let sent_at = sent_at.and_then(|sent_at| {
            self.clock.now().checked_sub(self.boot_clock.now().saturating_duration_since(sent_at))
        });
        if !self.core.handle_orders(epoch, orders, sent_at, lease) {
            tracing::debug!(
                epoch,
                known = self.core.epoch(),
                "ignoring orders of an older epoch than the latest one"
            );
        }
    }

    fn handle_announcement(&mut self, announcement: Announcement) {
        let now = self.clock.now();
        match announcement {
            Announcement::Present { status } => {
                let (id, address) = (&status.id, &status.address);
                if self.core.status().is_none() {
                    let event = Event::AgentJoined;
                    let (code, event) = (event.code(), event.name());
                    tracing::info!(
                        code,
                        event,
                        id,
                        boot = status.incarnation,
                        address,
                        pool = status.pool
                    );
                }
                self.core.announce(now, &status);
            }
            Announcement::Left { .. } => self.core.leave(now),
        }
    }

    fn log_missing_ends(&mut self) {
        let count = self.core.take_missing_ends();
        if count > 0 {
            let (code, event) = (Event::EndsMissing.code(), Event::EndsMissing.name());
            let (id, boot) = self.worker_name();
            tracing::warn!(code, event, id, boot, count);
        }
    }

    /// Logs when the present incarnation of the worker begins to be held back.
    fn log_held(&mut self) {
        let held = self.core.held_time(self.clock.now());
        let was_held = std::mem::replace(&mut self.is_held, !held.is_zero());
        if self.is_held && !was_held {
            let (code, event) = (Event::IncarnationHeld.code(), Event::IncarnationHeld.name());
            let (id, boot) = self.worker_name();
            tracing::warn!(code, event, id, boot, ?held);
        }
    }

    /// Returns id and incarnation of the worker.
    fn worker_name(&self) -> (Option<&str>, Option<u64>) {
        let status = self.core.status();
        (status.map(|status| status.id.as_str()), status.map(|status| status.incarnation))
    }

    fn request_listing(&mut self, worker: &WorkerAddress, calls: &mut Calls) {
        let now = self.clock.now();
        let call: RenewalCall = self.core.next_renewal(now);
        let wait = match (self.core.awaits_listing(), self.core.is_shared()) {
            _ if call.is_update() || self.core.awaits_answer(now) => Duration::ZERO,
            (true, _) => STOP_LISTING_WAIT,
            (false, true) => SHARED_LISTING_WAIT,
            (false, false) => LISTING_WAIT,
        };
        let (control, worker) = (self.control.clone(), worker.clone());
        calls.push(Box::pin(async move {
            CallOutcome::Listing(call.number, control.renew_leases(&worker, &call, wait).await)
        }));
    }

    fn call(&mut self, worker: &WorkerAddress, action: AgentAction, calls: &mut Calls) {
        let (control, worker, epoch) = (self.control.clone(), worker.clone(), self.core.epoch());
        match action {
            AgentAction::Pace(task, run, percent) => calls.push(Box::pin(async move {
                let answer = control.pace(&worker, epoch, &task, run, percent).await;
                CallOutcome::Pace(task, run, percent, answer)
            })),
            AgentAction::Start(order) => {
                let deadline = self.core.deadline(self.clock.now());
                calls.push(Box::pin(async move {
                    let answer = control.start(&worker, epoch, &order, deadline).await;
                    CallOutcome::Start(order.task, order.run, answer)
                }));
            }
            AgentAction::Stop(task, run) => calls.push(Box::pin(async move {
                let answer = control.stop(&worker, epoch, &task, run).await;
                CallOutcome::Stop(task, run, answer)
            })),
        }
    }

    /// Handles the outcome of a call. Returns whether the next listing may be requested.
    fn handle_outcome(&mut self, outcome: CallOutcome, calls: &mut Calls) -> bool {
        let now = self.clock.now();
        match outcome {
            CallOutcome::Listing(number, Ok(listing)) => {
                self.failed_listings = 0;
                self.core.handle_listing(now, number, &listing);
                self.log_missing_ends();
                if self.core.has_ends() && !self.core.is_update_due(now) {
                    add_delay(ACK_DELAY, calls);
                    return false;
                }
                true
            }
            CallOutcome::Listing(number, Err(error)) => {
                tracing::debug!(%error, "worker did not answer a listing; requesting it again");
                self.core.handle_failed_renewal(now, number, error.received);
                if error.down {
                    self.core.record_down();
                }
                if error.replaced {
                    self.core.record_replaced(now);
                }
                self.failed_listings += 1;
                let first = self.failed_listings == 1 && !error.down;
                add_delay(if first { FIRST_RETRY_DELAY } else { RETRY_DELAY }, calls);
                false
            }
            CallOutcome::Pace(task, run, percent, answer) => {
                let (code, event) = (Event::RunPaced.code(), Event::RunPaced.name());
                match &answer {
                    Ok(()) => tracing::info!(code, event, id = %task, run, percent),
                    Err(error) => tracing::warn!(code, event, id = %task, run, percent, %error),
                }
                self.core.handle_pace_answer(&task, run, answer.is_ok());
                false
            }
            CallOutcome::Paused => true,
            CallOutcome::Start(task, run, answer) => {
                if answer != StartAnswer::Started {
                    let boot = self.core.status().map(|status| status.incarnation);
                    tracing::warn!(id = %task, run, boot, ?answer, "worker did not start the run");
                }
                self.core.handle_start_answer(now, &task, run, answer);
                false
            }
            CallOutcome::Stop(task, run, answer) => {
                if let Err(error) = &answer {
                    tracing::warn!(
                        id = %task,
                        run,
                        %error,
                        "stop not confirmed by the worker; the run may continue"
                    );
                    if error.down {
                        self.core.record_down();
                    }
                }
                self.core.handle_stop_answer(now, &task, run, answer.is_ok());
                false
            }
        }
    }
}

fn add_delay(length: Duration, calls: &mut Calls) {
    calls.push(Box::pin(async move {
        tokio::time::sleep(length).await;
        CallOutcome::Paused
    }));
}
