use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use skylarkpulley_routing::{
    Admission, AttemptResult, CancelResult, Decision, Hello, NextAction, Reason, Report, Request,
    RouterView, RoutingSettings,
};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::{AgentId, Outcome};
use tokio::sync::{mpsc, oneshot, watch};

use crate::attempt::AttemptEnd;
use crate::config_state::ConfigState;
use crate::dispatch::Dispatch;
use crate::hub::{Hub, MemberEvent, agent_id};

/// Longest time between two polls of the core while nothing happens.
const IDLE_POLL: Duration = Duration::from_millis(250);

/// What the router decided about a waiting request.
#[derive(Debug)]
pub enum Verdict {
    /// Send an attempt.
    Dispatch(Dispatch),
    /// The request has ended without a further attempt.
    Ended {
        /// What is proved.
        outcome: Outcome,
        /// Why.
        reason: String,
        /// True when load is the cause.
        overloaded: bool,
    },
}

/// The next verdict on one request.
#[derive(Debug)]
pub struct PendingVerdict(oneshot::Receiver<Verdict>);

impl PendingVerdict {
    /// Waits for the verdict.
    pub async fn wait(self) -> Verdict {
        self.0.await.unwrap_or_else(|_| Verdict::Ended {
            outcome: Outcome::NotRun,
            reason: "the request was cancelled while it waited".to_owned(),
            overloaded: false,
        })
    }
}

/// What follows an attempt.
#[derive(Debug)]
pub enum NextStep {
    /// The request has ended.
    Done {
        /// What the caller is told.
        outcome: Outcome,
        /// Why no attempt follows.
        reason: String,
    },
    /// The request waits for another attempt.
    Retry(PendingVerdict),
}

enum Command {
    Cancel(u64),
    Finish(u64, u32, AttemptResult, oneshot::Sender<NextStep>),
    Snapshot(oneshot::Sender<RouterView>),
    Submit(Request, oneshot::Sender<Verdict>),
}

/// Handle to the task that owns queues, membership and choice of upstreams.
#[derive(Clone, Debug)]
pub struct Router {
    commands: mpsc::UnboundedSender<Command>,
}

impl Router {
    /// Starts the task. `members` delivers the events of all sessions.
    pub fn new(hub: &Arc<Hub>, members: mpsc::UnboundedReceiver<MemberEvent>, seed: u64) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let task = RouterTask {
            controls: HashMap::new(),
            core: skylarkpulley_routing::Router::new(RoutingSettings::default(), seed),
            hub: Arc::clone(hub),
            sessions: HashMap::new(),
            waiting: HashMap::new(),
        };
        let config = hub.config.subscribe();
        tokio::spawn(task.run(inbox, members, config));
        Self { commands }
    }

    /// Submits a request and returns the first verdict on it.
    pub fn submit(&self, request: Request) -> PendingVerdict {
        let (reply, verdict) = oneshot::channel();
        // When the task is gone the verdict is a refusal.
        let _ = self.commands.send(Command::Submit(request, reply));
        PendingVerdict(verdict)
    }

    /// Reports the end of attempt number `attempt` and returns what follows.
    pub async fn finish(&self, id: u64, attempt: u32, result: AttemptResult) -> Option<NextStep> {
        let (reply, next) = oneshot::channel();
        self.commands.send(Command::Finish(id, attempt, result, reply)).ok()?;
        next.await.ok()
    }

    /// Takes a waiting request out of its queue.
    pub fn cancel(&self, id: u64) {
        let _ = self.commands.send(Command::Cancel(id));
    }

    /// Returns the state for the operators' interface.
    pub async fn snapshot(&self) -> Option<RouterView> {
        let (reply, view) = oneshot::channel();
        self.commands.send(Command::Snapshot(reply)).ok()?;
        view.await.ok()
    }
}

/// Takes a request out of its queue when the caller's connection is gone.
#[derive(Debug)]
pub struct CancelOnDrop {
    armed: bool,
    id: u64,
    router: Router,
}

impl CancelOnDrop {
    /// Returns an armed guard for the request called `id`.
    pub fn new(router: &Router, id: u64) -> Self {
        Self { armed: true, id, router: router.clone() }
    }

    /// Lets the request be: it has ended.
    pub fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.armed {
            self.router.cancel(self.id);
        }
    }
}

/// Classifies the end of an attempt for the routing core.
pub fn classify(end: &AttemptEnd) -> AttemptResult {
    match (end.outcome, &end.response, end.refusal) {
        (Outcome::Answered, Some(response), _) if response.status >= 500 => AttemptResult::Errored,
        (Outcome::Answered, _, _) => AttemptResult::Answered,
        (Outcome::NotRun, _, v1::Refusal::Full) => AttemptResult::Full,
        (Outcome::NotRun, _, v1::Refusal::Draining | v1::Refusal::NotServing) => {
            AttemptResult::Leaving
        }
        (Outcome::NotRun, _, _) => AttemptResult::Unreachable,
        (Outcome::Unknown, _, _) => AttemptResult::Unknown,
    }
}

struct RouterTask {
    controls: HashMap<AgentId, String>,
    core: skylarkpulley_routing::Router,
    hub: Arc<Hub>,
    sessions: HashMap<AgentId, u64>,
    waiting: HashMap<u64, oneshot::Sender<Verdict>>,
}

impl RouterTask {
    async fn run(
        mut self,
        mut inbox: mpsc::UnboundedReceiver<Command>,
        mut members: mpsc::UnboundedReceiver<MemberEvent>,
        mut config: watch::Receiver<ConfigState>,
    ) {
        self.apply_tables(&mut config);
        loop {
            let now = self.hub.clock.now();
            let idle = self
                .core
                .next_wake(now)
                .map_or(IDLE_POLL, |at| at.saturating_duration_since(now).min(IDLE_POLL));
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(event) = members.recv() => {
                    if event.hello().kind() != v1::PoolKind::Upstream {
                        continue;
                    }
                    self.member(&event);
                }
                Ok(()) = config.changed() => self.apply_tables(&mut config),
                () = tokio::time::sleep(idle) => {}
            }
            self.poll();
        }
    }

    fn apply_tables(&mut self, config: &mut watch::Receiver<ConfigState>) {
        let tables = config.borrow_and_update().tables();
        if let Some(tables) = tables {
            self.core.apply_tables(&tables, self.hub.clock.now());
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.hub.clock.now();
        match command {
            Command::Cancel(id) => self.cancel(id),
            Command::Finish(id, attempt, result, reply) => {
                let next = self.core.on_result(id, attempt, result, now);
                self.follow(id, next, reply);
            }
            Command::Snapshot(reply) => drop(reply.send(self.core.snapshot(now))),
            Command::Submit(request, reply) => match self.core.submit(&request, now) {
                Admission::Queued { .. } => drop(self.waiting.insert(request.id, reply)),
                Admission::Refused { reason } => {
                    let _ = reply.send(ended(Outcome::NotRun, reason));
                }
            },
        }
    }

    fn cancel(&mut self, id: u64) {
        if let CancelResult::Ended(outcome) = self.core.cancel(id, self.hub.clock.now())
            && let Some(waiter) = self.waiting.remove(&id)
        {
            let _ = waiter.send(ended(outcome, Reason::Cancelled));
        }
    }

    fn follow(&mut self, id: u64, next: NextAction, reply: oneshot::Sender<NextStep>) {
        let step = match next {
            NextAction::Ended { outcome, reason } => {
                NextStep::Done { outcome, reason: reason.to_string() }
            }
            NextAction::Retry { .. } | NextAction::Requeued { .. } => {
                let (waiter, verdict) = oneshot::channel();
                self.waiting.insert(id, waiter);
                NextStep::Retry(PendingVerdict(verdict))
            }
            NextAction::Ignored => NextStep::Done {
                outcome: Outcome::Unknown,
                reason: "the result belongs to no running attempt".to_owned(),
            },
        };
        let _ = reply.send(step);
    }

    fn member(&mut self, event: &MemberEvent) {
        let agent = agent_id(event.hello());
        let now = self.hub.clock.now();
        match event {
            MemberEvent::Joined { session, hello } => self.join(agent, *session, hello, now),
            MemberEvent::Leaving { .. } => drop(self.core.on_leaving(&agent)),
            MemberEvent::Closed { session, .. } => drop(self.core.on_closed(&agent, *session)),
            MemberEvent::Report { session, report, .. } => {
                self.core.on_report(&agent, *session, &to_report(report), now);
            }
        }
    }

    fn join(&mut self, agent: AgentId, session: u64, hello: &v1::Hello, now: Instant) {
        let joined = Hello {
            agent: agent.clone(),
            session,
            pool: hello.pool.clone(),
            domain: hello.domain.clone(),
        };
        if !self.core.on_hello(&joined, now) {
            return;
        }
        self.controls.retain(|known, _| known.name != agent.name);
        self.sessions.retain(|known, _| known.name != agent.name);
        self.controls.insert(agent.clone(), hello.control.clone());
        self.sessions.insert(agent, session);
    }

    fn poll(&mut self) {
        let now = self.hub.clock.now();
        for decision in self.core.poll(now) {
            match decision {
                Decision::Dispatch { id, agent, attempt, reason, waited, .. } => {
                    self.dispatch(id, &agent, attempt, &format!("{reason}, waited {waited:?}"));
                }
                Decision::End { id, outcome, reason } => {
                    if let Some(waiter) = self.waiting.remove(&id) {
                        let _ = waiter.send(ended(outcome, reason));
                    }
                }
                other => self.record(&other, now),
            }
        }
    }

    fn dispatch(&mut self, id: u64, agent: &AgentId, attempt: u32, reason: &str) {
        let control = self.controls.get(agent).cloned().unwrap_or_default();
        let dispatch =
            Dispatch { agent: agent.clone(), attempt, control, reason: reason.to_owned() };
        let sent = self
            .waiting
            .remove(&id)
            .is_some_and(|waiter| waiter.send(Verdict::Dispatch(dispatch)).is_ok());
        if !sent {
            self.core.on_result(id, attempt, AttemptResult::Withdrawn, self.hub.clock.now());
        }
    }

    fn record(&self, decision: &Decision, now: Instant) {
        let (event, agent, detail) = match decision {
            Decision::Joined { agent } => (Event::AgentJoined, agent, String::new()),
            Decision::Silent { agent, .. } => (Event::AgentSilent, agent, String::new()),
            Decision::Leaving { agent } => (Event::AgentLeaving, agent, String::new()),
            Decision::Ejected { agent, length, reason } => {
                (Event::UpstreamEjected, agent, format!("{reason}, for {length:?}"))
            }
            Decision::Returned { agent, reason } => {
                (Event::UpstreamReturned, agent, reason.to_string())
            }
            Decision::Dispatch { .. } | Decision::End { .. } => return,
        };
        self.hub.decisions.record(now, event, &agent.name, &format!("{agent} {detail}"));
    }
}

fn ended(outcome: Outcome, reason: Reason) -> Verdict {
    let overloaded =
        matches!(reason, Reason::QueueFull | Reason::WaitTooLong | Reason::DeadlineUnmeetable);
    Verdict::Ended { outcome, reason: reason.to_string(), overloaded }
}

fn to_report(report: &v1::Report) -> Report {
    let state = report.upstream.unwrap_or_default();
    Report {
        sequence: report.sequence,
        sent: (report.sent_ms > 0).then(|| Duration::from_millis(report.sent_ms)),
        serving: state.serving,
        upstream_incarnation: state.upstream_incarnation,
        slots_used: state.slots_used,
        connections_used: state.connections_used,
        runs: state.runs,
        failures: state.failures,
    }
}
