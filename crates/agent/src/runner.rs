use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Metrics;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, oneshot, watch};

use crate::attempts::{Attempts, Received, not_run, unknown};
use crate::upstream::{Announcement, Upstream};
use crate::upstream_client::UpstreamClient;

/// Longest time budget of an attempt: the longest deadline that a route may have.
const MAX_BUDGET: Duration = Duration::from_secs(3600);

/// Messages to the task that owns the slots of the upstream.
enum Command {
    Announce(Announcement, oneshot::Sender<bool>),
    Drain(oneshot::Sender<()>),
    Ended(String, v1::RunReply),
    Lookup(String, oneshot::Sender<v1::LookupReply>),
    Run(v1::RunRequest, oneshot::Sender<v1::RunReply>),
    SetLimits(Limits),
    TimedOut(String),
}

/// Limits of one upstream from the pools table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts that run concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// Handle to the task that owns the slots of the upstream of this agent. Only this task grants
/// them.
#[derive(Clone, Debug)]
pub struct Runner {
    commands: mpsc::Sender<Command>,
    state: watch::Receiver<v1::UpstreamState>,
}

impl Runner {
    /// Starts the task. It refuses every attempt until [`Runner::set_limits`] is called.
    pub fn new(incarnation: u64, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (published_state, state) = watch::channel(v1::UpstreamState::default());
        let task = RunnerTask {
            attempts: Attempts::new(),
            clock,
            commands: commands.clone(),
            drain_waiters: Vec::new(),
            draining: false,
            failures: 0,
            http: UpstreamClient::new(),
            incarnation,
            limits: Limits { slots: 0, connections: 0 },
            metrics,
            published_state,
            running: 0,
            started: 0,
            upstream: Upstream::new(),
        };
        tokio::spawn(task.run(inbox));
        Self { commands, state }
    }

    /// Runs one attempt and waits for its result.
    pub async fn run(&self, request: v1::RunRequest) -> v1::RunReply {
        let attempt = request.attempt.clone();
        let (reply, result) = oneshot::channel();
        if self.commands.send(Command::Run(request, reply)).await.is_err() {
            return not_run(&attempt, v1::Refusal::Draining, "the agent is stopping");
        }
        result.await.unwrap_or_else(|_| unknown(&attempt, "the agent stopped during the attempt"))
    }

    /// Returns the state of an attempt. An attempt that was never received is barred from running.
    pub async fn look_up(&self, attempt: &str) -> Option<v1::LookupReply> {
        let (reply, result) = oneshot::channel();
        self.commands.send(Command::Lookup(attempt.to_owned(), reply)).await.ok()?;
        result.await.ok()
    }

    /// Records an announcement of the upstream and returns whether it was accepted.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let (reply, result) = oneshot::channel();
        let sent = self.commands.send(Command::Announce(announcement, reply)).await;
        sent.is_ok() && result.await.unwrap_or(false)
    }

    /// Sets the limits. Attempts that are running when a limit is lowered below their number are
    /// not interrupted.
    pub async fn set_limits(&self, limits: Limits) {
        let _ = self.commands.send(Command::SetLimits(limits)).await;
    }

    /// Refuses new attempts and waits until the running ones have ended.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        if self.commands.send(Command::Drain(reply)).await.is_ok() {
            let _ = drained.await;
        }
    }

    /// Returns the state for reports. Receivers are notified of every change.
    pub fn state(&self) -> watch::Receiver<v1::UpstreamState> {
        self.state.clone()
    }
}

struct RunnerTask {
    attempts: Attempts,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    drain_waiters: Vec<oneshot::Sender<()>>,
    draining: bool,
    /// Attempts that ended with a status of 500 or above, or without an answer.
    failures: u64,
    http: UpstreamClient,
    incarnation: u64,
    limits: Limits,
    metrics: Metrics,
    published_state: watch::Sender<v1::UpstreamState>,
    /// Attempts that the upstream is processing.
    running: u32,
    /// Attempts that were started in this incarnation of the agent.
    started: u64,
    upstream: Upstream,
}

impl RunnerTask {
    async fn run(mut self, mut inbox: mpsc::Receiver<Command>) {
        // An announcement expires without a message, so the state is also refreshed periodically.
        let mut tick = tokio::time::interval(Duration::from_millis(250));
        loop {
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = tick.tick() => self.attempts.expire(self.clock.now()),
            }
            self.publish_state();
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Announce(announcement, reply) => {
                let _ = reply.send(self.upstream.announce(&announcement, now));
            }
            Command::Drain(reply) => {
                self.draining = true;
                self.drain_waiters.push(reply);
                self.notify_drained();
            }
            Command::Ended(attempt, reply) => self.end(&attempt, &reply, now),
            Command::Lookup(attempt, reply) => {
                let _ = reply.send(self.attempts.look_up(&attempt, now));
            }
            Command::Run(request, reply) => self.receive(request, reply, now),
            Command::SetLimits(limits) => self.limits = limits,
            Command::TimedOut(attempt) => {
                let reply = unknown(
                    &attempt,
                    "the upstream did not answer within the time budget of the attempt",
                );
                self.attempts.time_out(&attempt, &reply);
            }
        }
    }

    fn receive(
        &mut self,
        request: v1::RunRequest,
        reply: oneshot::Sender<v1::RunReply>,
        now: Instant,
    ) {
        if request.incarnation != self.incarnation {
            let text = "the attempt is addressed to another incarnation of the agent";
            let refused = not_run(&request.attempt, v1::Refusal::Incarnation, text);
            let _ = reply.send(refused);
            return;
        }
        let (received, reply) = self.attempts.receive(&request.attempt, reply);
        let Some(reply) = reply else { return };
        match received {
            Received::Ended(result) => drop(reply.send(result)),
            Received::New => self.admit(request, reply, now),
            Received::Running => {}
        }
    }

    fn admit(
        &mut self,
        request: v1::RunRequest,
        reply: oneshot::Sender<v1::RunReply>,
        now: Instant,
    ) {
        let budget_end = now + Duration::from_millis(request.budget_ms).min(MAX_BUDGET);
        let address = match self.check_admission(now) {
            Ok(address) => address,
            Err((refusal, reason)) => {
                self.metrics.count("run.refused");
                let refused = not_run(&request.attempt, refusal, reason);
                self.attempts.refuse(&request.attempt, &refused, budget_end);
                let _ = reply.send(refused);
                return;
            }
        };
        self.attempts.start(&request.attempt, budget_end, reply);
        self.running += 1;
        self.started += 1;
        self.metrics.count("run.started");
        self.spawn_attempt(address, request);
    }

    fn check_admission(&self, now: Instant) -> Result<String, (v1::Refusal, &'static str)> {
        if self.draining {
            return Err((v1::Refusal::Draining, "the agent is draining"));
        }
        let Some(address) = self.upstream.serving_address(now) else {
            return Err((v1::Refusal::NotServing, "the upstream is not announced as serving"));
        };
        // Each attempt uses a connection of its own, so both limits apply to the number of
        // attempts.
        if self.running >= self.limits.slots.min(self.limits.connections) {
            return Err((v1::Refusal::Full, "all slots or connections of the upstream are in use"));
        }
        Ok(address.to_owned())
    }

    fn spawn_attempt(&self, address: String, request: v1::RunRequest) {
        let commands = self.commands.clone();
        let http = self.http.clone();
        let budget = Duration::from_millis(request.budget_ms);
        let attempt = request.attempt.clone();
        tokio::spawn(async move {
            let result = http.run(&address, request);
            tokio::pin!(result);
            // The attempt occupies its slot until the upstream has ended it, even if the entry has
            // already received a reply.
            let reply = match tokio::time::timeout(budget, &mut result).await {
                Ok(reply) => reply,
                Err(_) => {
                    let _ = commands.send(Command::TimedOut(attempt.clone())).await;
                    result.await
                }
            };
            let _ = commands.send(Command::Ended(attempt, reply)).await;
        });
    }

    fn end(&mut self, attempt: &str, reply: &v1::RunReply, now: Instant) {
        self.running -= 1;
        let failed = reply.response.as_ref().is_none_or(|response| response.status >= 500);
        if failed {
            self.failures += 1;
            self.metrics.count("run.failed");
        }
        self.attempts.end(attempt, reply, now);
        self.notify_drained();
    }

    fn notify_drained(&mut self) {
        if self.running == 0 {
            for waiter in self.drain_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    fn publish_state(&self) {
        let state = v1::UpstreamState {
            serving: !self.draining && self.upstream.serving_address(self.clock.now()).is_some(),
            upstream_incarnation: self.upstream.incarnation(),
            slots_used: self.running,
            connections_used: self.running,
            runs: self.started,
            failures: self.failures,
        };
        self.published_state.send_if_modified(|current| {
            let changed = *current != state;
            *current = state;
            changed
        });
    }
}
