use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Metrics;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, oneshot, watch};

use crate::attempts::{Attempts, Received, not_run, unknown};
use crate::http_run::HttpRun;
use crate::upstream::{Announcement, Upstream};

/// Longest deadline of a route.
const LONGEST_BUDGET: Duration = Duration::from_secs(3600);

/// Messages to the task that owns the upstream's slots.
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
    /// Requests that run at once.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
}

/// Handle to the task that alone grants the slots of the upstream beside this agent.
#[derive(Clone, Debug)]
pub struct Runner {
    commands: mpsc::Sender<Command>,
    state: watch::Receiver<v1::UpstreamState>,
}

impl Runner {
    /// Starts the task. Until [`Runner::set_limits`] is called it refuses every run.
    pub fn new(incarnation: u64, clock: Arc<dyn Clock>, metrics: Metrics) -> Self {
        let (commands, inbox) = mpsc::channel(1024);
        let (publish, state) = watch::channel(v1::UpstreamState::default());
        let task = RunnerTask {
            attempts: Attempts::new(),
            clock,
            commands: commands.clone(),
            drained: Vec::new(),
            draining: false,
            failures: 0,
            http: HttpRun::new(),
            incarnation,
            limits: Limits { slots: 0, connections: 0 },
            metrics,
            publish,
            running: 0,
            runs: 0,
            upstream: Upstream::new(),
        };
        tokio::spawn(task.work(inbox));
        Self { commands, state }
    }

    /// Runs one attempt and waits for its result.
    pub async fn run(&self, request: v1::RunRequest) -> v1::RunReply {
        let attempt = request.attempt.clone();
        let (reply, result) = oneshot::channel();
        if self.commands.send(Command::Run(request, reply)).await.is_err() {
            return not_run(&attempt, v1::Refusal::Draining, "the agent is stopping");
        }
        result.await.unwrap_or_else(|_| unknown(&attempt, "the agent stopped during the run"))
    }

    /// Returns what is known of an attempt; one that was never received is barred.
    pub async fn look_up(&self, attempt: &str) -> Option<v1::LookupReply> {
        let (reply, result) = oneshot::channel();
        self.commands.send(Command::Lookup(attempt.to_owned(), reply)).await.ok()?;
        result.await.ok()
    }

    /// Takes in an announcement and reports whether it was accepted.
    pub async fn announce(&self, announcement: Announcement) -> bool {
        let (reply, result) = oneshot::channel();
        let sent = self.commands.send(Command::Announce(announcement, reply)).await;
        sent.is_ok() && result.await.unwrap_or(false)
    }

    /// Puts new limits in force; runs beyond a lowered limit end normally.
    pub async fn set_limits(&self, limits: Limits) {
        let _ = self.commands.send(Command::SetLimits(limits)).await;
    }

    /// Refuses new runs and waits until those under way have ended.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        if self.commands.send(Command::Drain(reply)).await.is_ok() {
            let _ = drained.await;
        }
    }

    /// Returns the state that reports carry, updated on every change.
    pub fn state(&self) -> watch::Receiver<v1::UpstreamState> {
        self.state.clone()
    }
}

struct RunnerTask {
    attempts: Attempts,
    clock: Arc<dyn Clock>,
    commands: mpsc::Sender<Command>,
    drained: Vec<oneshot::Sender<()>>,
    draining: bool,
    failures: u64,
    http: HttpRun,
    incarnation: u64,
    limits: Limits,
    metrics: Metrics,
    publish: watch::Sender<v1::UpstreamState>,
    running: u32,
    runs: u64,
    upstream: Upstream,
}

impl RunnerTask {
    async fn work(mut self, mut inbox: mpsc::Receiver<Command>) {
        // Announcements expire without any message, so the state is also refreshed by time.
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
                self.drained.push(reply);
                self.notify_drained();
            }
            Command::Ended(attempt, reply) => self.end(&attempt, &reply, now),
            Command::Lookup(attempt, reply) => {
                let _ = reply.send(self.attempts.look_up(&attempt, now));
            }
            Command::Run(request, reply) => self.receive(request, reply, now),
            Command::SetLimits(limits) => self.limits = limits,
            Command::TimedOut(attempt) => {
                let reply = unknown(&attempt, "the upstream did not answer in time");
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
            let text = "addressed to another incarnation of the agent";
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
        let until = now + Duration::from_millis(request.budget_ms).min(LONGEST_BUDGET);
        let address = match self.check_capacity(now) {
            Ok(address) => address,
            Err((refusal, reason)) => {
                self.metrics.count("run.refused");
                let refused = not_run(&request.attempt, refusal, reason);
                self.attempts.refuse(&request.attempt, &refused, until);
                let _ = reply.send(refused);
                return;
            }
        };
        self.attempts.start(&request.attempt, until, reply);
        self.running += 1;
        self.runs += 1;
        self.metrics.count("run.started");
        self.spawn_run(address, request);
    }

    fn check_capacity(&self, now: Instant) -> Result<String, (v1::Refusal, &'static str)> {
        if self.draining {
            return Err((v1::Refusal::Draining, "the agent is draining"));
        }
        let Some(address) = self.upstream.serving(now) else {
            return Err((v1::Refusal::NotServing, "the upstream is not serving"));
        };
        // Every run has a connection of its own, so both limits bound the number of runs.
        if self.running >= self.limits.slots.min(self.limits.connections) {
            return Err((v1::Refusal::Full, "all slots are in use"));
        }
        Ok(address.to_owned())
    }

    fn spawn_run(&self, address: String, request: v1::RunRequest) {
        let commands = self.commands.clone();
        let http = self.http.clone();
        let budget = Duration::from_millis(request.budget_ms);
        let attempt = request.attempt.clone();
        tokio::spawn(async move {
            let run = http.run(&address, request);
            tokio::pin!(run);
            // The slot stays taken while the upstream works, even after the entry was answered.
            let reply = match tokio::time::timeout(budget, &mut run).await {
                Ok(reply) => reply,
                Err(_) => {
                    let _ = commands.send(Command::TimedOut(attempt.clone())).await;
                    run.await
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
            for waiter in self.drained.drain(..) {
                let _ = waiter.send(());
            }
        }
    }

    fn publish_state(&self) {
        let state = v1::UpstreamState {
            serving: !self.draining && self.upstream.serving(self.clock.now()).is_some(),
            upstream_incarnation: self.upstream.incarnation(),
            slots_used: self.running,
            connections_used: self.running,
            runs: self.runs,
            failures: self.failures,
        };
        self.publish.send_if_modified(|current| {
            let changed = *current != state;
            *current = state;
            changed
        });
    }
}
