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

/// Longest interval between polls of the routing core while no event arrives.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Decision of the router on a waiting request.
#[derive(Debug)]
pub enum Verdict {
    /// Send the attempt.
    Dispatch(Dispatch),
    /// The request has ended without a further attempt.
    Ended {
        /// Proved outcome.
        outcome: Outcome,
        /// Reason, for the caller.
        reason: String,
        /// Whether the request was refused because of load.
        overloaded: bool,
    },
}

/// Receiver of the next verdict on one request.
#[derive(Debug)]
pub struct PendingVerdict(oneshot::Receiver<Verdict>);

impl PendingVerdict {
    /// Waits for the verdict. If the router drops the request without one, it has not run.
    pub async fn wait(self) -> Verdict {
        self.0.await.unwrap_or_else(|_| Verdict::Ended {
            outcome: Outcome::NotRun,
            reason: "the request was removed from its queue before an attempt was sent".to_owned(),
            overloaded: false,
        })
    }
}

/// Next step of a request after an attempt.
#[derive(Debug)]
pub enum NextStep {
    /// The request has ended.
    Done {
        /// Outcome that is reported to the caller.
        outcome: Outcome,
        /// Why no further attempt is made.
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

/// Handle to the task that owns the request queues and the membership, and selects upstreams.
#[derive(Clone, Debug)]
pub struct Router {
    commands: mpsc::UnboundedSender<Command>,
}

impl Router {
    /// Starts the task. `members` receives the events of all sessions.
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
        // If the task has ended, dropping the sender makes the verdict a refusal.
        let _ = self.commands.send(Command::Submit(request, reply));
        PendingVerdict(verdict)
    }

    /// Reports the result of attempt number `attempt` and returns the next step, or `None` if the
    /// router has stopped.
    pub async fn finish(&self, id: u64, attempt: u32, result: AttemptResult) -> Option<NextStep> {
        let (reply, next) = oneshot::channel();
        self.commands.send(Command::Finish(id, attempt, result, reply)).ok()?;
        next.await.ok()
    }

    /// Removes a waiting request from its queue.
    pub fn cancel(&self, id: u64) {
        let _ = self.commands.send(Command::Cancel(id));
    }

    /// Returns a snapshot for the operators' interface, or `None` if the router has stopped.
    pub async fn snapshot(&self) -> Option<RouterView> {
        let (reply, view) = oneshot::channel();
        self.commands.send(Command::Snapshot(reply)).ok()?;
        view.await.ok()
    }
}

/// Removes a request from its queue when it is dropped while armed, which happens when the caller's
/// connection is closed.
#[derive(Debug)]
pub struct CancelOnDrop {
    armed: bool,
    id: u64,
    router: Router,
}

impl CancelOnDrop {
    /// Returns an armed guard for request `id`.
    pub fn new(router: &Router, id: u64) -> Self {
        Self { armed: true, id, router: router.clone() }
    }

    /// Disarms the guard because the request has ended.
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

/// Converts the end of an attempt to the result that the routing core expects.
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
    /// Control addresses of the agents of upstreams.
    controls: HashMap<AgentId, String>,
    core: skylarkpulley_routing::Router,
    hub: Arc<Hub>,
    sessions: HashMap<AgentId, u64>,
    /// Receivers of the verdicts on waiting requests, by number of the request.
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
            let sleep = self.core.next_wake(now).map_or(MAX_POLL_INTERVAL, |at| {
                at.saturating_duration_since(now).min(MAX_POLL_INTERVAL)
            });
            tokio::select! {
                command = inbox.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                Some(event) = members.recv() => {
                    if event.hello().kind() != v1::PoolKind::Upstream {
                        continue;
                    }
                    self.handle_event(&event);
                }
                Ok(()) = config.changed() => self.apply_tables(&mut config),
                () = tokio::time::sleep(sleep) => {}
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
                self.reply_next_step(id, next, reply);
            }
            Command::Snapshot(reply) => drop(reply.send(self.core.snapshot(now))),
            Command::Submit(request, reply) => match self.core.submit(&request, now) {
                Admission::Queued { .. } => drop(self.waiting.insert(request.id, reply)),
                Admission::Refused { reason } => {
                    let _ = reply.send(ended_verdict(Outcome::NotRun, reason));
                }
            },
        }
    }

    fn cancel(&mut self, id: u64) {
        if let CancelResult::Ended(outcome) = self.core.cancel(id, self.hub.clock.now())
            && let Some(waiter) = self.waiting.remove(&id)
        {
            let _ = waiter.send(ended_verdict(outcome, Reason::Cancelled));
        }
    }

    fn reply_next_step(&mut self, id: u64, next: NextAction, reply: oneshot::Sender<NextStep>) {
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
                reason: "the router has no running attempt that this result belongs to".to_owned(),
            },
        };
        let _ = reply.send(step);
    }

    fn handle_event(&mut self, event: &MemberEvent) {
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
        let joining = Hello {
            agent: agent.clone(),
            session,
            pool: hello.pool.clone(),
            domain: hello.domain.clone(),
        };
        if !self.core.on_hello(&joining, now) {
            return;
        }
        self.controls.retain(|existing, _| existing.name != agent.name);
        self.sessions.retain(|existing, _| existing.name != agent.name);
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
                        let _ = waiter.send(ended_verdict(outcome, reason));
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

fn ended_verdict(outcome: Outcome, reason: Reason) -> Verdict {
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
