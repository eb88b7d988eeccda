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

/// Store row with the key range map.
pub const RANGES_ROW: &str = "key-ranges";

/// Time between two reads of the row and two looks at the members.
const INTERVAL: Duration = Duration::from_secs(1);

/// An agent that has not been heard of for this long is gone.
const GONE_AFTER: Duration = Duration::from_millis(2500);

/// An entry that sees less than half of the agents in the map may itself be cut off; it waits this
/// long before it takes the others for gone.
const ISOLATION_WAIT: Duration = Duration::from_secs(15);

struct Holder {
    candidate: Candidate,
    heard: Instant,
    notes: Vec<v1::RangeNote>,
    /// Another run of the agent with a later incarnation has joined.
    superseded: bool,
}

/// Keeps the assignment of key ranges in step with the live agents, through the store alone.
pub struct RangesTask {
    holders: BTreeMap<AgentId, Holder>,
    hub: Arc<Hub>,
    isolated: Option<Instant>,
    started: Instant,
    store: Arc<dyn Store>,
}

impl RangesTask {
    /// Returns the task of one entry.
    pub fn new(hub: Arc<Hub>, store: Arc<dyn Store>) -> Self {
        let started = hub.clock.now();
        Self { holders: BTreeMap::new(), hub, isolated: None, started, store }
    }

    /// Runs until the process stops.
    pub async fn run(mut self, mut members: mpsc::UnboundedReceiver<MemberEvent>) {
        let mut tick = tokio::time::interval(INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = members.recv() => match event {
                    Some(event) => self.member(event),
                    None => return,
                },
                _ = tick.tick() => self.review().await,
            }
        }
    }

    fn member(&mut self, event: MemberEvent) {
        let hello = event.hello();
        if hello.kind() != v1::PoolKind::Upstream {
            return;
        }
        let agent = agent_id(hello);
        let now = self.hub.clock.now();
        for (known, holder) in &mut self.holders {
            holder.superseded |= agent.supersedes(known);
        }
        let holder = self.holders.entry(agent.clone()).or_insert_with(|| Holder {
            candidate: Candidate::new(AgentEndpoint::new(agent, &hello.control), &hello.domain),
            heard: now,
            notes: Vec::new(),
            superseded: false,
        });
        match event {
            MemberEvent::Joined { .. } => holder.heard = now,
            MemberEvent::Leaving { .. } => holder.candidate.leaving = true,
            MemberEvent::Closed { .. } => {}
            MemberEvent::Report { report, .. } => {
                holder.heard = now;
                holder.notes.clone_from(&report.ranges);
            }
        }
    }

    async fn review(&mut self) {
        let now = self.hub.clock.now();
        self.holders.retain(|_, holder| {
            !holder.superseded && now.saturating_duration_since(holder.heard) < GONE_AFTER
        });
        let Ok(row) = self.store.get(RANGES_ROW).await else { return };
        let version = row.as_ref().map_or(0, |row| row.version);
        if let Some(view) = row.and_then(|row| RangeView::from_json(&row.value)) {
            self.hub.update_ranges(view);
        }
        if !self.is_preferred() || !self.may_judge(now) {
            return;
        }
        if let Some(plan) = self.plan() {
            self.propose(version, &plan).await;
        }
    }

    /// One entry proposes; when views differ, compare-and-set lets one of them win.
    fn is_preferred(&self) -> bool {
        let entries = self.hub.entries.borrow();
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        rank_nodes(RANGES_ROW, &names).first().is_none_or(|name| *name == self.hub.name)
    }

    fn may_judge(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.started) < GONE_AFTER {
            return false;
        }
        let ranges = self.hub.ranges.borrow();
        let named: BTreeSet<&AgentId> = ranges
            .map()
            .into_iter()
            .flat_map(|map| &map.ranges)
            .flat_map(|range| range.owner.iter().chain(&range.witness))
            .map(|place| &place.agent)
            .collect();
        let seen = named.iter().filter(|agent| self.holders.contains_key(**agent)).count();
        if 2 * seen >= named.len() {
            self.isolated = None;
            return true;
        }
        let since = *self.isolated.get_or_insert(now);
        now.saturating_duration_since(since) >= ISOLATION_WAIT
    }

    fn plan(&self) -> Option<RangeMap> {
        use v1::range_note::State;
        let candidates: Vec<Candidate> =
            self.holders.values().map(|holder| holder.candidate.clone()).collect();
        let ranges = self.hub.ranges.borrow();
        let Some(map) = ranges.map() else { return RangeMap::initial(&candidates) };
        let noted = |wanted: State| {
            let notes = self.holders.values().flat_map(|holder| &holder.notes);
            notes.filter(move |note| note.state() == wanted).filter_map(|note| {
                let index = usize::try_from(note.index).ok()?;
                (map.range(index)?.epoch == note.epoch).then_some((index, note.epoch))
            })
        };
        if let Some((index, epoch)) = noted(State::Lost).next() {
            return map.seal(index, epoch);
        }
        if let Some((index, _)) = noted(State::SealExpired).next() {
            return map.unseal(index);
        }
        let settled: BTreeSet<usize> = noted(State::Serving).map(|(index, _)| index).collect();
        map.plan(&candidates, &settled)
    }

    async fn propose(&self, version: u64, plan: &RangeMap) {
        let Ok(json) = serde_json::to_vec(plan) else { return };
        let put = self.store.put(RANGES_ROW, version, json.clone().into(), WriteClass::KeyRanges);
        // After a conflict or a lost answer the next read shows which map won.
        if put.await.is_err() {
            return;
        }
        self.record(plan);
        if let Some(view) = RangeView::from_json(&json) {
            self.hub.update_ranges(view);
        }
    }

    fn record(&self, plan: &RangeMap) {
        let sealed = plan.ranges.iter().filter(|range| range.sealed).count();
        let (event, detail) = match sealed {
            0 => (Event::RangeAssigned, format!("map version {}", plan.version)),
            n => (Event::RangeSealed, format!("map version {}, {n} sealed", plan.version)),
        };
        self.hub.decisions.record(self.hub.clock.now(), event, RANGES_ROW, &detail);
    }
}
