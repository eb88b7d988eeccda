use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use skylarkpulley_types::{AgentId, Digest};

use crate::{AgentEndpoint, Candidate, KeyRange};

/// Number of key ranges.
pub const RANGE_COUNT: usize = 64;

/// Ranges moved per plan for balance alone. A moved range pauses for one snapshot, so that a
/// joining agent must not pause many ranges at once.
const MOVES_PER_PLAN: usize = 4;

/// Returns the range that `key` belongs to.
pub fn range_of(key: &str) -> usize {
    (Digest::of(&[key.as_bytes()]).0 % RANGE_COUNT as u64) as usize
}

/// Assignment of all key ranges; the value of the store row `key-ranges`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeMap {
    /// Grows by one with every change.
    pub version: u64,
    /// One entry per range, indexed by range number.
    pub ranges: Vec<KeyRange>,
}

impl RangeMap {
    /// Returns the first map for `agents`, or `None` when there is no agent to own a range.
    pub fn initial(agents: &[Candidate]) -> Option<Self> {
        let empty = Self { version: 0, ranges: vec![KeyRange::default(); RANGE_COUNT] };
        empty.plan(agents, &BTreeSet::new())
    }

    /// Returns the map that follows from the live `agents`, or `None` when this one stands.
    ///
    /// `settled` holds the ranges whose owner reports that it serves the epoch of this map. Only
    /// these are moved while both their agents live, because their witness is known to hold the
    /// records.
    pub fn plan(&self, agents: &[Candidate], settled: &BTreeSet<usize>) -> Option<Self> {
        let mut plan = Plan::new(self, agents);
        for index in 0..RANGE_COUNT {
            plan.replace_lost(index);
        }
        for index in settled.iter().copied().filter(|index| *index < RANGE_COUNT) {
            plan.hand_over(index);
        }
        plan.balance(settled);
        plan.finish(self.version)
    }

    /// Marks `index` as sealed when it still has the epoch at which the loss was found. The owner
    /// answers from the journal already, so that the epoch stays.
    pub fn seal(&self, index: usize, epoch: u64) -> Option<Self> {
        self.change(index, |range| {
            if range.epoch != epoch || range.sealed {
                return false;
            }
            range.sealed = true;
            true
        })
    }

    /// Ends the seal of `index`: keys that are not recorded count as never used from here on.
    pub fn unseal(&self, index: usize) -> Option<Self> {
        self.change(index, |range| {
            if !range.sealed {
                return false;
            }
            range.sealed = false;
            range.epoch += 1;
            range.reset_epoch = range.epoch;
            true
        })
    }

    /// Returns the assignment of range `index`.
    pub fn range(&self, index: usize) -> Option<&KeyRange> {
        self.ranges.get(index)
    }

    /// Returns the ranges that `agent` owns or witnesses.
    pub fn assigned_to(&self, agent: &AgentId) -> Vec<usize> {
        let held = |range: &KeyRange| range.owned_by(agent) || range.witnessed_by(agent);
        (0..self.ranges.len()).filter(|index| held(&self.ranges[*index])).collect()
    }

    fn change(&self, index: usize, edit: impl FnOnce(&mut KeyRange) -> bool) -> Option<Self> {
        let mut next = self.clone();
        if !edit(next.ranges.get_mut(index)?) {
            return None;
        }
        next.version += 1;
        Some(next)
    }
}

#[derive(Clone, Copy, Default)]
struct Load {
    owned: usize,
    witnessed: usize,
}

struct Plan<'a> {
    old: &'a [KeyRange],
    ranges: Vec<KeyRange>,
    agents: BTreeMap<&'a AgentId, &'a Candidate>,
    load: BTreeMap<AgentId, Load>,
}

impl<'a> Plan<'a> {
    fn new(map: &'a RangeMap, agents: &'a [Candidate]) -> Self {
        let mut plan = Self {
            old: &map.ranges,
            ranges: map.ranges.clone(),
            agents: agents.iter().map(|agent| (&agent.endpoint.agent, agent)).collect(),
            load: BTreeMap::new(),
        };
        plan.count();
        plan
    }

    fn count(&mut self) {
        for index in 0..self.ranges.len() {
            self.tally(index, |count| *count += 1);
        }
    }

    fn tally(&mut self, index: usize, step: impl Fn(&mut usize)) {
        let range = &self.ranges[index];
        if let Some(owner) = &range.owner {
            step(&mut self.load.entry(owner.agent.clone()).or_default().owned);
        }
        if let Some(witness) = &range.witness {
            step(&mut self.load.entry(witness.agent.clone()).or_default().witnessed);
        }
    }

    fn load(&self, agent: &AgentId) -> Load {
        self.load.get(agent).copied().unwrap_or_default()
    }

    fn live(&self, endpoint: Option<&AgentEndpoint>) -> Option<&'a Candidate> {
        self.agents.get(&endpoint?.agent).copied()
    }

    fn set(&mut self, index: usize, owner: Option<AgentEndpoint>, witness: Option<AgentEndpoint>) {
        self.tally(index, |count| *count -= 1);
        let range = &mut self.ranges[index];
        (range.owner, range.witness) = (owner, witness);
        range.epoch = self.old[index].epoch + 1;
        self.tally(index, |count| *count += 1);
    }

    /// Chooses the least loaded agent that stays, in another domain than `other` where possible.
    fn pick(&self, other: Option<&Candidate>, owner: bool) -> Option<AgentEndpoint> {
        let domain = other.map(|other| &other.domain);
        let stays = self.agents.values().filter(|agent| {
            !agent.leaving && other.is_none_or(|other| other.endpoint.agent != agent.endpoint.agent)
        });
        let best = stays.min_by_key(|agent| {
            let load = self.load(&agent.endpoint.agent);
            let first = if owner { load.owned } else { load.witnessed };
            (Some(&agent.domain) == domain, first, load.owned + load.witnessed, &agent.endpoint)
        })?;
        Some(best.endpoint.clone())
    }

    fn pick_witness(&self, owner: &Candidate) -> Option<AgentEndpoint> {
        self.pick(Some(owner), false)
    }

    fn replace_lost(&mut self, index: usize) {
        let range = &self.ranges[index];
        let owner = self.live(range.owner.as_ref());
        let witness = self.live(range.witness.as_ref());
        match (owner, witness) {
            (Some(_), Some(_)) => {}
            (Some(owner), None) => {
                if let Some(witness) = self.pick_witness(owner) {
                    self.set(index, Some(owner.endpoint.clone()), Some(witness));
                }
            }
            (None, Some(heir)) => {
                let witness = self.pick_witness(heir);
                self.set(index, Some(heir.endpoint.clone()), witness);
            }
            (None, None) => self.assign(index),
        }
    }

    /// Gives a range without live agents to new ones. Its history is lost unless it is new.
    fn assign(&mut self, index: usize) {
        let Some(owner) = self.pick(None, true) else { return };
        let witness = self.agents.get(&owner.agent).and_then(|owner| self.pick_witness(owner));
        self.set(index, Some(owner), witness);
        let range = &mut self.ranges[index];
        if range.epoch == 1 {
            range.reset_epoch = 1;
        } else {
            range.sealed = true;
        }
    }

    /// Moves a settled range away from an agent that leaves, or out of a shared failure domain.
    fn hand_over(&mut self, index: usize) {
        let range = &self.ranges[index];
        let (Some(owner), Some(witness)) =
            (self.live(range.owner.as_ref()), self.live(range.witness.as_ref()))
        else {
            return;
        };
        if range.epoch != self.old[index].epoch {
            return;
        }
        if owner.leaving && !witness.leaving {
            let next = self.pick_witness(witness);
            // Without a third agent the leaving owner serves as witness for as long as it lives.
            let next = next.unwrap_or_else(|| owner.endpoint.clone());
            return self.set(index, Some(witness.endpoint.clone()), Some(next));
        }
        let apart = |endpoint: &AgentEndpoint| self.agents[&endpoint.agent].domain != owner.domain;
        let Some(next) = self.pick_witness(owner) else { return };
        if witness.leaving || (!apart(&witness.endpoint) && apart(&next)) {
            self.set(index, Some(owner.endpoint.clone()), Some(next));
        }
    }

    /// Evens out ownership, a few ranges at a time. An agent first becomes witness of a range and
    /// swaps with the owner once the range has settled.
    fn balance(&mut self, settled: &BTreeSet<usize>) {
        let mut moves = 0;
        for index in settled.iter().copied().filter(|index| *index < RANGE_COUNT) {
            if moves == MOVES_PER_PLAN {
                return;
            }
            moves += usize::from(self.balance_range(index));
        }
    }

    fn balance_range(&mut self, index: usize) -> bool {
        let range = &self.ranges[index];
        let (Some(owner), Some(witness)) =
            (self.live(range.owner.as_ref()), self.live(range.witness.as_ref()))
        else {
            return false;
        };
        if range.epoch != self.old[index].epoch || owner.leaving || witness.leaving {
            return false;
        }
        let owned = self.load(&owner.endpoint.agent).owned;
        if self.load(&witness.endpoint.agent).owned + 1 < owned {
            self.set(index, Some(witness.endpoint.clone()), Some(owner.endpoint.clone()));
            return true;
        }
        let Some(next) = self.lightest_owner(owner) else { return false };
        if self.load(&next.agent).owned + 1 >= owned || next == witness.endpoint {
            return false;
        }
        self.set(index, Some(owner.endpoint.clone()), Some(next.clone()));
        // Counts the swap that follows, so that one plan does not name `next` too often.
        self.load.entry(next.agent).or_default().owned += 1;
        self.load.entry(owner.endpoint.agent.clone()).or_default().owned -= 1;
        true
    }

    fn lightest_owner(&self, owner: &Candidate) -> Option<AgentEndpoint> {
        let other =
            self.agents.values().filter(|agent| !agent.leaving && agent.domain != owner.domain);
        let best =
            other.min_by_key(|agent| (self.load(&agent.endpoint.agent).owned, &agent.endpoint))?;
        Some(best.endpoint.clone())
    }

    fn finish(self, version: u64) -> Option<RangeMap> {
        if self.ranges == self.old {
            return None;
        }
        Some(RangeMap { version: version + 1, ranges: self.ranges })
    }
}
