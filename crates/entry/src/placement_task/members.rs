//! Sessions and reports of the workers' agents.

use std::sync::Arc;
use std::time::Instant;

use skylarkpulley_placement::Event as PlacementEvent;
use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::AgentId;
use tokio::sync::mpsc;

use super::{PlacementTask, WorkerInfo, worker_joined_event};
use crate::hub::{MemberEvent, agent_id};

/// Limit on member events that are handled before the next decision; bounds its delay.
const MAX_EVENTS_PER_DECISION: usize = 256;

impl PlacementTask {
    /// Handles an event and those queued behind it, so that a burst of reports leads to one
    /// decision.
    pub(super) fn handle_events(
        &mut self,
        first: MemberEvent,
        queued: &mut mpsc::UnboundedReceiver<MemberEvent>,
    ) {
        self.handle_event(first);
        for _ in 0..MAX_EVENTS_PER_DECISION {
            match queued.try_recv() {
                Ok(event) => self.handle_event(event),
                Err(_) => return,
            }
        }
    }

    fn handle_event(&mut self, event: MemberEvent) {
        if event.hello().kind() != v1::PoolKind::Worker {
            return;
        }
        let now = self.hub.clock.now();
        let agent = agent_id(event.hello());
        match event {
            MemberEvent::Joined { session, hello } => self.join(agent, session, hello, now),
            MemberEvent::Leaving { hello } => {
                let event = PlacementEvent::Drain { worker: agent.name, draining: true };
                self.notify_placer(&hello.pool, event, now);
            }
            MemberEvent::Closed { session, hello, silent } => {
                self.leave(&agent, session, &hello, silent, now);
            }
            MemberEvent::Report { hello, report, .. } => {
                let Some(state) = report.worker.clone() else { return };
                self.report(&agent, &hello, state, now);
            }
        }
    }

    fn join(&mut self, agent: AgentId, session: u64, hello: Arc<v1::Hello>, now: Instant) {
        if self.workers.keys().any(|existing| existing.supersedes(&agent)) {
            return;
        }
        let superseded: Vec<AgentId> =
            self.workers.keys().filter(|existing| agent.supersedes(existing)).cloned().collect();
        for previous in superseded {
            self.workers.remove(&previous);
            self.controls.remove(&previous);
            self.notify_placer(&hello.pool, PlacementEvent::WorkerLost { agent: previous }, now);
        }
        self.hub.decisions.record(now, Event::AgentJoined, &agent.name, &agent.to_string());
        let state = self.workers.get(&agent).and_then(|info| info.state.clone());
        self.controls.insert(agent.clone(), hello.control.clone());
        self.workers.insert(agent, WorkerInfo { hello, session, state });
    }

    fn leave(
        &mut self,
        agent: &AgentId,
        session: u64,
        hello: &v1::Hello,
        silent: bool,
        now: Instant,
    ) {
        if self.workers.get(agent).is_none_or(|info| info.session != session) {
            return;
        }
        self.workers.remove(agent);
        self.controls.remove(agent);
        let detail = if silent { "silent" } else { "session closed" };
        self.hub.decisions.record(now, Event::AgentSilent, &agent.name, detail);
        self.notify_placer(&hello.pool, PlacementEvent::WorkerLost { agent: agent.clone() }, now);
    }

    fn report(&mut self, agent: &AgentId, hello: &v1::Hello, state: v1::WorkerState, now: Instant) {
        // The agent learns the worker's accelerators from the configuration; without one it reports
        // 0.
        if state.accelerators == 0 {
            return;
        }
        let Some(info) = self.workers.get_mut(agent) else { return };
        let is_first_report = info.state.is_none();
        info.state = Some(state.clone());
        let drained = self.drained.contains(&agent.name);
        let Some(placer) = self.pools.get_mut(&hello.pool) else { return };
        if is_first_report {
            placer.handle(worker_joined_event(agent, hello, &state), now);
            if drained {
                let event = PlacementEvent::Drain { worker: agent.name.clone(), draining: true };
                placer.handle(event, now);
            }
        }
        placer.handle_report(agent, &state, now);
    }

    fn notify_placer(&mut self, pool: &str, event: PlacementEvent, now: Instant) {
        if let Some(placer) = self.pools.get_mut(pool) {
            placer.handle(event, now);
        }
    }
}
