use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use skylarkpulley_jobs::{
    AgentAction, AgentCore, AgentLimits, Listing, RenewalCall, StartAnswer, TaskId, WorkerStatus,
};
use skylarkpulley_store::Transactor;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};

use crate::session::{Incoming, Outgoing, run_session};
use crate::worker_control::{WorkerAddress, WorkerControl, WorkerError};

/// How long the worker may wait for an end before it answers a listing. Also the time between two
/// looks at the progress of its runs; each look is paid.
const HOLD_WAIT: Duration = Duration::from_millis(1000);

/// Wait of a listing while serving and filling tasks share the worker: the length of the span that
/// a reading covers. A missed response objective stops the filling tasks after two readings at
/// most.
const SHARED_WAIT: Duration = Duration::from_millis(500);

/// Wait of a listing while a stop waits to be settled.
const SETTLE_WAIT: Duration = Duration::from_millis(20);

/// Pause before the next listing while ends wait to be acknowledged, which would come again at
/// once.
const ACK_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a worker did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);

/// What a worker announced to its agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Announcement {
    /// The worker is there.
    Present {
        /// What it says of itself.
        status: WorkerStatus,
    },
    /// The worker with this id leaves for good.
    Left {
        /// Its id.
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

/// The agent of a VM: one task for each worker that announces itself there.
pub struct WorkerAgent {
    /// Id and boot of the latest worker at each address.
    addresses: BTreeMap<String, (String, u64)>,
    clock: Arc<dyn Clock>,
    control: Arc<dyn WorkerControl>,
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
        let (addresses, workers) = (BTreeMap::new(), BTreeMap::new());
        Self { addresses, clock, control, settings, store, workers }
    }

    /// Passes announcements on until their sender is gone.
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
            if let Announcement::Present { status } = &announcement {
                self.end_earlier(status).await;
            }
            if let Some(sender) = self.workers.get(&id) {
                // The task ends only after its worker has left.
                let _ = sender.send(announcement).await;
            }
        }
    }

    /// Ends the tasks of earlier boots at the address of a worker: two cannot share it.
    async fn end_earlier(&mut self, status: &WorkerStatus) {
        let place = (status.id.clone(), status.incarnation);
        let known = self.addresses.insert(status.address.clone(), place);
        let Some((id, boot)) = known.filter(|(id, _)| *id != status.id) else { return };
        if boot > status.incarnation {
            self.addresses.insert(status.address.clone(), (id, boot));
            return;
        }
        if let Some(sender) = self.workers.get(&id) {
            // The task may have ended.
            let _ = sender.send(Announcement::Left { id }).await;
        }
    }

    fn start_worker(&self) -> mpsc::Sender<Announcement> {
        let (sender, announcements) = mpsc::channel(16);
        let core = AgentCore::new(&self.settings.name, self.settings.limits, self.clock.now());
        let (outgoing, report) = watch::channel(Outgoing::default());
        let (updates, incoming) = mpsc::channel(16);
        tokio::spawn(run_session(self.store.clone(), report, updates));
        let task = WorkerTask {
            clock: self.clock.clone(),
            control: self.control.clone(),
            core,
            outgoing,
            worker: None,
        };
        tokio::spawn(task.run(announcements, incoming));
        sender
    }
}

/// Outcome of a call to the worker.
enum CallEnd {
    Hold(u64, Result<Listing, WorkerError>),
    Pace(TaskId, u32, u8, Result<(), WorkerError>),
    Paused,
    Start(TaskId, u32, StartAnswer),
    Stop(TaskId, u32, Result<(), WorkerError>),
}

type Calls = FuturesUnordered<BoxFuture<'static, CallEnd>>;

struct WorkerTask {
    clock: Arc<dyn Clock>,
    control: Arc<dyn WorkerControl>,
    core: AgentCore,
    outgoing: watch::Sender<Outgoing>,
    worker: Option<WorkerAddress>,
}

impl WorkerTask {
    async fn run(
        mut self,
        mut announcements: mpsc::Receiver<Announcement>,
        mut incoming: mpsc::Receiver<Incoming>,
    ) {
        let mut calls: Calls = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut holding = false;
        loop {
            tokio::select! {
                announcement = announcements.recv() => match announcement {
                    Some(announcement) => self.announce(announcement),
                    None => return,
                },
                Some(update) = incoming.recv() => {
                    let Incoming { epoch, lease, orders, sent } = update;
                    if !self.core.handle_orders(epoch, orders, sent, lease) {
                        tracing::debug!(epoch, known = self.core.epoch(), "orders of an old leader");
                    }
                }
                Some(end) = calls.next(), if !calls.is_empty() => {
                    holding &= !self.take(end, &mut calls);
                }
                _ = tick.tick() => {}
            }
            let now = self.clock.now();
            if let Some(worker) = self.worker.clone() {
                if !holding {
                    holding = true;
                    self.hold(&worker, &mut calls);
                }
                for action in self.core.actions(now) {
                    self.call(&worker, action, &mut calls);
                }
            }
            let left = self.core.has_left(now);
            let next = Outgoing { left, report: self.core.report(now) };
            self.outgoing.send_if_modified(|current| {
                let changed = *current != next;
                *current = next;
                changed
            });
            if left {
                // The session sends the last report once more before the task ends.
                tokio::time::sleep(TICK).await;
                return;
            }
        }
    }

    fn announce(&mut self, announcement: Announcement) {
        let now = self.clock.now();
        match announcement {
            Announcement::Present { status } => {
                let (id, address) = (status.id.clone(), status.address.clone());
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
                if self
                    .core
                    .status()
                    .is_some_and(|current| current.incarnation == status.incarnation)
                {
                    self.worker = Some(WorkerAddress { address, id });
                }
            }
            Announcement::Left { .. } => self.core.leave(now),
        }
    }

    fn hold(&mut self, worker: &WorkerAddress, calls: &mut Calls) {
        let call: RenewalCall = self.core.next_renewal(self.clock.now());
        let wait = match (self.core.awaits_listing(), self.core.is_shared()) {
            (true, _) => SETTLE_WAIT,
            (false, true) => SHARED_WAIT,
            (false, false) => HOLD_WAIT,
        };
        let (control, worker) = (self.control.clone(), worker.clone());
        calls.push(Box::pin(async move {
            CallEnd::Hold(call.number, control.renew_leases(&worker, &call, wait).await)
        }));
    }

    fn call(&mut self, worker: &WorkerAddress, action: AgentAction, calls: &mut Calls) {
        let (control, worker, epoch) = (self.control.clone(), worker.clone(), self.core.epoch());
        match action {
            AgentAction::Pace(task, run, percent) => calls.push(Box::pin(async move {
                let answer = control.pace(&worker, epoch, &task, run, percent).await;
                CallEnd::Pace(task, run, percent, answer)
            })),
            AgentAction::Start(order) => {
                let deadline = self.core.deadline(self.clock.now());
                calls.push(Box::pin(async move {
                    let answer = control.start(&worker, epoch, &order, deadline).await;
                    CallEnd::Start(order.task, order.run, answer)
                }));
            }
            AgentAction::Stop(task, run) => calls.push(Box::pin(async move {
                let answer = control.stop(&worker, epoch, &task, run).await;
                CallEnd::Stop(task, run, answer)
            })),
        }
    }

    /// Takes in the end of a call; reports whether the next listing may be asked for.
    fn take(&mut self, end: CallEnd, calls: &mut Calls) -> bool {
        let now = self.clock.now();
        match end {
            CallEnd::Hold(number, Ok(listing)) => {
                self.core.handle_listing(now, number, &listing);
                if self.core.has_ends() {
                    pause(ACK_PAUSE, calls);
                    return false;
                }
                true
            }
            CallEnd::Hold(_, Err(error)) => {
                tracing::debug!(%error, "worker not reached");
                pause(RETRY_PAUSE, calls);
                false
            }
            CallEnd::Pace(task, run, percent, answer) => {
                let (code, event) = (Event::RunPaced.code(), Event::RunPaced.name());
                match &answer {
                    Ok(()) => tracing::info!(code, event, id = %task, run, percent),
                    Err(error) => tracing::warn!(code, event, id = %task, run, percent, %error),
                }
                self.core.handle_pace_answer(&task, run, answer.is_ok());
                false
            }
            CallEnd::Paused => true,
            CallEnd::Start(task, run, answer) => {
                if answer != StartAnswer::Started {
                    tracing::warn!(id = %task, run, ?answer, "start not carried out");
                }
                self.core.handle_start_answer(now, &task, run, answer);
                false
            }
            CallEnd::Stop(task, run, answer) => {
                if let Err(error) = &answer {
                    tracing::warn!(id = %task, run, %error, "stop not answered");
                }
                self.core.handle_stop_answer(now, &task, run, answer.is_ok());
                false
            }
        }
    }
}

fn pause(length: Duration, calls: &mut Calls) {
    calls.push(Box::pin(async move {
        tokio::time::sleep(length).await;
        CallEnd::Paused
    }));
}
