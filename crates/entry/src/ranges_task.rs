use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_keys::{AgentEndpoint, Candidate, RangeMap};
use skylarkpulley_proto::v1;
use skylarkpulley_store::{Store, WriteClass};
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::{AgentId, rank_nodes};
use tokio::sync::mpsc;

use crate::hub::{Hub, MemberEvent, agent_id};
use crate::range_view::RangeView;

/// Key of the store row that contains the key range map.
pub const RANGES_ROW: &str = "key-ranges";

/// Interval at which the row is read and the live agents are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// An agent that has sent no message for this long is no longer considered live.
const SILENCE_LIMIT: Duration = Duration::from_millis(2500);

/// An entry for which less than half of the agents in the map are live may itself be isolated from
/// the network. It waits this long before it proposes a map without the other agents.
const ISOLATION_DELAY: Duration = Duration::from_secs(15);

/// State of an agent that can own key ranges.
struct AgentState {
    candidate: Candidate,
    /// Time of the last Hello or report.
    last_message: Instant,
    /// States of its key ranges in its last report.
    notes: Vec<v1::RangeNote>,
    /// Whether a later incarnation of the agent has joined.
    superseded: bool,
}

/// Adapts the assignment of key ranges to the live agents. Entries coordinate only through
/// compare-and-set on the store row.
pub struct RangesTask {
    agents: BTreeMap<AgentId, AgentState>,
    hub: Arc<Hub>,
    /// Time since which less than half of the agents in the map are live.
    isolated_since: Option<Instant>,
    started: Instant,
    store: Arc<dyn Store>,
}

impl RangesTask {
    /// Returns the task of the entry that `hub` belongs to.
    pub fn new(hub: Arc<Hub>, store: Arc<dyn Store>) -> Self {
        let started = hub.clock.now();
        Self { agents: BTreeMap::new(), hub, isolated_since: None, started, store }
    }

    /// Runs until the process stops.
    pub async fn run(mut self, mut members: mpsc::UnboundedReceiver<MemberEvent>) {
        let mut tick = tokio::time::interval(CHECK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = members.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                _ = tick.tick() => self.check().await,
            }
        }
    }

    fn handle_event(&mut self, event: MemberEvent) {
        let hello = event.hello();
        if hello.kind() != v1::PoolKind::Upstream {
            return;
        }
        let agent = agent_id(hello);
        let now = self.hub.clock.now();
        for (existing, state) in &mut self.agents {
            state.superseded |= agent.supersedes(existing);
        }
        let state = self.agents.entry(agent.clone()).or_insert_with(|| AgentState {
            candidate: Candidate::new(AgentEndpoint::new(agent, &hello.control), &hello.domain),
            last_message: now,
            notes: Vec::new(),
            superseded: false,
        });
        match event {
            MemberEvent::Joined { .. } => state.last_message = now,
            MemberEvent::Leaving { .. } => state.candidate.leaving = true,
            MemberEvent::Closed { .. } => {}
            MemberEvent::Report { report, .. } => {
                state.last_message = now;
                state.notes.clone_from(&report.ranges);
            }
        }
    }

    /// Reads the current map and, if this entry is the preferred one, proposes a change of it.
    async fn check(&mut self) {
        let now = self.hub.clock.now();
        self.agents.retain(|_, state| {
            !state.superseded && now.saturating_duration_since(state.last_message) < SILENCE_LIMIT
        });
        let Ok(row) = self.store.get(RANGES_ROW).await else { return };
        let version = row.as_ref().map_or(0, |row| row.version);
        if let Some(view) = row.and_then(|row| RangeView::from_json(&row.value)) {
            self.hub.update_ranges(view);
        }
        if !self.is_preferred() || !self.may_propose(now) {
            return;
        }
        if let Some(plan) = self.plan() {
            self.propose(version, &plan).await;
        }
    }

    /// Returns whether this entry is the one that proposes maps. If entries have different views
    /// and more than one proposes, compare-and-set lets one of them win.
    fn is_preferred(&self) -> bool {
        let entries = self.hub.entries.borrow();
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        rank_nodes(RANGES_ROW, &names).first().is_none_or(|name| *name == self.hub.name)
    }

    /// Returns whether the entry has been running long enough to receive a report from every live
    /// agent, and is not isolated or has been isolated for [`ISOLATION_DELAY`].
    fn may_propose(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.started) < SILENCE_LIMIT {
            return false;
        }
        let ranges = self.hub.ranges.borrow();
        let assigned_agents: BTreeSet<&AgentId> = ranges
            .map()
            .into_iter()
            .flat_map(|map| &map.ranges)
            .flat_map(|range| range.owner.iter().chain(&range.witness))
            .map(|endpoint| &endpoint.agent)
            .collect();
        let live_count =
            assigned_agents.iter().filter(|agent| self.agents.contains_key(**agent)).count();
        if 2 * live_count >= assigned_agents.len() {
            self.isolated_since = None;
            return true;
        }
        let isolated_since = *self.isolated_since.get_or_insert(now);
        now.saturating_duration_since(isolated_since) >= ISOLATION_DELAY
    }

    /// Returns the next map, or `None` if the current one needs no change.
    fn plan(&self) -> Option<RangeMap> {
        use v1::range_note::State;
        let candidates: Vec<Candidate> =
            self.agents.values().map(|state| state.candidate.clone()).collect();
        let ranges = self.hub.ranges.borrow();
        let Some(map) = ranges.map() else { return RangeMap::initial(&candidates) };
        let ranges_reported_as = |expected: State| {
            let notes = self.agents.values().flat_map(|state| &state.notes);
            notes.filter(move |note| note.state() == expected).filter_map(|note| {
                let index = usize::try_from(note.index).ok()?;
                (map.range(index)?.epoch == note.epoch).then_some((index, note.epoch))
            })
        };
        if let Some((index, epoch)) = ranges_reported_as(State::Lost).next() {
            return map.seal(index, epoch);
        }
        if let Some((index, _)) = ranges_reported_as(State::SealExpired).next() {
            return map.unseal(index);
        }
        let serving: BTreeSet<usize> =
            ranges_reported_as(State::Serving).map(|(index, _)| index).collect();
        map.plan(&candidates, &serving)
    }

    async fn propose(&self, version: u64, plan: &RangeMap) {
        let Ok(json) = serde_json::to_vec(plan) else { return };
        let write = self.store.put(RANGES_ROW, version, json.clone().into(), WriteClass::KeyRanges);
        // After a conflict or an unanswered write the next read shows which map is stored.
        if write.await.is_err() {
            return;
        }
        self.record(plan);
        if let Some(view) = RangeView::from_json(&json) {
            self.hub.update_ranges(view);
        }
    }

    fn record(&self, plan: &RangeMap) {
        let sealed_count = plan.ranges.iter().filter(|range| range.sealed).count();
        let (event, detail) = match sealed_count {
            0 => (Event::RangeAssigned, format!("map version {}", plan.version)),
            n => (Event::RangeSealed, format!("map version {}, {n} ranges sealed", plan.version)),
        };
        self.hub.decisions.record(self.hub.clock.now(), event, RANGES_ROW, &detail);
    }
}
