//! A worker in memory, with the agent beside it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use skylarkpulley_coordination::{
    Announcement, BootClock, WorkerAddress, WorkerAgent, WorkerAgentSettings, WorkerControl,
    WorkerError,
};
use skylarkpulley_jobs::{
    AgentLimits, Listing, RenewalCall, Resources, RunReport, StartAnswer, StartOrder, TaskId,
    WorkerStatus,
};
use skylarkpulley_store::Transactor;
use skylarkpulley_types::{Clock, SystemClock};
use tokio::sync::mpsc;

/// An order that a worker has received.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Extension of the leases, with the epoch.
    Renewal(u64),
    /// Start of a run, with the epoch.
    Start(u64, String, u32),
}

impl Order {
    pub fn epoch(&self) -> u64 {
        match self {
            Self::Renewal(epoch) | Self::Start(epoch, ..) => *epoch,
        }
    }
}

/// A worker whose runs never end.
pub struct EndlessWorker {
    announcements: mpsc::Sender<Announcement>,
    born: Instant,
    /// Whether the process has ended, so that nothing listens at its address.
    down: AtomicBool,
    id: String,
    orders: Mutex<Vec<Order>>,
    /// Renewal calls with the waits that they request.
    renewals: Mutex<Vec<(RenewalCall, Duration)>>,
    running: Mutex<Vec<RunReport>>,
}

impl EndlessWorker {
    /// Starts an agent beside a new worker.
    pub async fn start(store: Arc<dyn Transactor>) -> Arc<Self> {
        Self::start_with(store, Arc::new(BootClock::new())).await
    }

    /// Starts an agent with the given clock that counts suspensions, beside a new worker.
    pub async fn start_with(store: Arc<dyn Transactor>, boot_clock: Arc<dyn Clock>) -> Arc<Self> {
        Self::start_named("w", "10.0.0.1:1", store, boot_clock).await
    }

    /// Starts an agent beside a new worker with the given id and address.
    pub async fn start_named(
        id: &str,
        address: &str,
        store: Arc<dyn Transactor>,
        boot_clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let (sender, announcements) = mpsc::channel(4);
        let worker = Arc::new(Self {
            announcements: sender.clone(),
            born: Instant::now(),
            down: AtomicBool::new(false),
            id: id.to_owned(),
            orders: Mutex::default(),
            renewals: Mutex::default(),
            running: Mutex::default(),
        });
        let longest = Duration::from_secs(6);
        let limits = AgentLimits { extension: longest, longest };
        let settings = WorkerAgentSettings { limits, name: "agent-1".to_owned() };
        let clock = Arc::new(SystemClock::new());
        let agent =
            WorkerAgent::new(settings, store, worker.clone(), clock).with_boot_clock(boot_clock);
        tokio::spawn(agent.run(announcements));
        let status = WorkerStatus {
            address: address.to_owned(),
            domain: "domain-1".to_owned(),
            draining: false,
            id: id.to_owned(),
            incarnation: 1,
            labels: Vec::new(),
            pool: "renders".to_owned(),
            rack: String::new(),
            remaining: None,
            resources: Resources { accelerators: 8, cores: 64_000, memory: 65_536 },
        };
        let announcing = worker.clone();
        tokio::spawn(async move {
            while !announcing.down.load(Ordering::Relaxed) {
                let announcement = Announcement::Present { status: status.clone() };
                if sender.send(announcement).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        });
        worker
    }

    /// Says that the worker leaves, and ends its process.
    pub async fn leave(&self) {
        self.down.store(true, Ordering::Relaxed);
        let left = Announcement::Left { id: self.id.clone() };
        self.announcements.send(left).await.expect("the agent runs");
    }

    /// Returns the orders so far.
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the renewal calls so far, with the waits that they request.
    pub fn renewals(&self) -> Vec<(RenewalCall, Duration)> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits for an order that `matches`.
    pub async fn await_order(&self, matches: impl Fn(&Order) -> bool) {
        while !self.orders().iter().any(&matches) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn record(&self, order: Order) {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner).push(order);
    }
}

#[async_trait]
impl WorkerControl for EndlessWorker {
    async fn start(
        &self,
        _worker: &WorkerAddress,
        epoch: u64,
        order: &StartOrder,
        _deadline_ms: Option<u64>,
    ) -> StartAnswer {
        self.record(Order::Start(epoch, order.task.to_string(), order.run));
        let report = RunReport {
            checkpoint: String::new(),
            percent: 1,
            run: order.run,
            task: order.task.clone(),
        };
        self.running.lock().unwrap_or_else(PoisonError::into_inner).push(report);
        StartAnswer::Started
    }

    async fn stop(
        &self,
        _worker: &WorkerAddress,
        _epoch: u64,
        _task: &TaskId,
        _run: u32,
    ) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn pace(
        &self,
        _worker: &WorkerAddress,
        _epoch: u64,
        _task: &TaskId,
        _run: u32,
        _percent: u8,
    ) -> Result<(), WorkerError> {
        Ok(())
    }

    async fn renew_leases(
        &self,
        _worker: &WorkerAddress,
        call: &RenewalCall,
        wait: Duration,
    ) -> Result<Listing, WorkerError> {
        self.renewals.lock().unwrap_or_else(PoisonError::into_inner).push((*call, wait));
        if self.down.load(Ordering::Relaxed) {
            let detail = "nothing listens".to_owned();
            let id = self.id.clone();
            return Err(WorkerError { id, detail, down: true, received: false, replaced: false });
        }
        if call.deadline_ms.is_some() {
            self.record(Order::Renewal(call.epoch));
        }
        tokio::time::sleep(wait.min(Duration::from_millis(100))).await;
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Ok(Listing {
            clock_ms: u64::try_from(self.born.elapsed().as_millis()).unwrap_or(0),
            ended: Vec::new(),
            ends_truncated: false,
            incarnation: 1,
            readings: Default::default(),
            running,
        })
    }
}
