use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use skylarkpulley_types::{AgentId, Digest};

use crate::{AgentEndpoint, Candidate, KeyRange};

/// Number of key ranges.
pub const RANGE_COUNT: usize = 64;

/// Maximum number of ranges that one plan moves only to balance the load. A moved range does not
/// serve until its snapshot is copied, and a joining agent must not interrupt many ranges at once.
const MAX_BALANCE_MOVES_PER_PLAN: usize = 4;

/// Returns the range that `key` belongs to.
pub fn range_of(key: &str) -> usize {
    (Digest::of(&[key.as_bytes()]).0 % RANGE_COUNT as u64) as usize
}

/// Assignment of all key ranges; the value of the store row `key-ranges`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeMap {
    /// Increases by one with every change.
    pub version: u64,
    /// One assignment per range, indexed by range number.
    pub ranges: Vec<KeyRange>,
}

impl RangeMap {
    /// Returns the first map for `agents`, or `None` when there is no agent to own a range.
    pub fn initial(agents: &[Candidate]) -> Option<Self> {
        let unassigned = Self { version: 0, ranges: vec![KeyRange::default(); RANGE_COUNT] };
        unassigned.plan(agents, &BTreeSet::new())
    }

    /// Returns the next map for the live `agents`, or `None` when this map needs no change.
    ///
    /// `serving` contains the ranges whose owner reports that it serves the epoch of this map. While
    /// both agents of a range are live, it is moved only when it is in `serving`, because its
    /// witness then has all records.
    pub fn plan(&self, agents: &[Candidate], serving: &BTreeSet<usize>) -> Option<Self> {
        let mut planner = Planner::new(self, agents);
        for index in 0..RANGE_COUNT {
            planner.replace_lost(index);
        }
        for index in serving.iter().copied().filter(|index| *index < RANGE_COUNT) {
            planner.hand_over(index);
        }
        planner.balance(serving);
        planner.finish(self.version)
    }

    /// Returns the map with range `index` marked as sealed, or `None` when it is sealed already or
    /// no longer has the epoch at which the loss was detected. The epoch does not change, because
    /// the owner already answers from the journal.
    pub fn seal(&self, index: usize, epoch: u64) -> Option<Self> {
        self.with_edited_range(index, |range| {
            if range.epoch != epoch || range.sealed {
                return false;
            }
            range.sealed = true;
            true
        })
    }

    /// Returns the map without the seal of range `index`, or `None` when it is not sealed. From then
    /// on, keys without a record are treated as never used.
    pub fn unseal(&self, index: usize) -> Option<Self> {
        self.with_edited_range(index, |range| {
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
        let assigned = |range: &KeyRange| range.owned_by(agent) || range.witnessed_by(agent);
        (0..self.ranges.len()).filter(|index| assigned(&self.ranges[*index])).collect()
    }

    /// Returns the map with range `index` changed by `edit`, or `None` when `edit` returns false.
    fn with_edited_range(
        &self,
        index: usize,
        edit: impl FnOnce(&mut KeyRange) -> bool,
    ) -> Option<Self> {
        let mut next = self.clone();
        if !edit(next.ranges.get_mut(index)?) {
            return None;
        }
        next.version += 1;
        Some(next)
    }
}

/// Number of ranges that an agent owns and witnesses.
#[derive(Clone, Copy, Default)]
struct Load {
    owned: usize,
    witnessed: usize,
}

/// Changes to a range map that are being computed.
struct Planner<'a> {
    current: &'a [KeyRange],
    ranges: Vec<KeyRange>,
    agents: BTreeMap<&'a AgentId, &'a Candidate>,
    load: BTreeMap<AgentId, Load>,
}

impl<'a> Planner<'a> {
    fn new(map: &'a RangeMap, agents: &'a [Candidate]) -> Self {
        let mut planner = Self {
            current: &map.ranges,
            ranges: map.ranges.clone(),
            agents: agents.iter().map(|agent| (&agent.endpoint.agent, agent)).collect(),
            load: BTreeMap::new(),
        };
        planner.count_load();
        planner
    }

    fn count_load(&mut self) {
        for index in 0..self.ranges.len() {
            self.update_load(index, |count| *count += 1);
        }
    }

    /// Applies `step` to the counts of the owner and the witness of range `index`.
    fn update_load(&mut self, index: usize, step: impl Fn(&mut usize)) {
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

    /// Assigns range `index` at the next epoch.
    fn reassign(
        &mut self,
        index: usize,
        owner: Option<AgentEndpoint>,
        witness: Option<AgentEndpoint>,
    ) {
        self.update_load(index, |count| *count -= 1);
        let range = &mut self.ranges[index];
        (range.owner, range.witness) = (owner, witness);
        range.epoch = self.current[index].epoch + 1;
        self.update_load(index, |count| *count += 1);
    }

    /// Returns the least loaded agent that is not leaving, where possible in another failure domain
    /// than `other`. With `owner`, owned ranges count first, otherwise witnessed ranges.
    fn choose_agent(&self, other: Option<&Candidate>, owner: bool) -> Option<AgentEndpoint> {
        let domain = other.map(|other| &other.domain);
        let staying = self.agents.values().filter(|agent| {
            !agent.leaving && other.is_none_or(|other| other.endpoint.agent != agent.endpoint.agent)
        });
        let least_loaded = staying.min_by_key(|agent| {
            let load = self.load(&agent.endpoint.agent);
            let role_load = if owner { load.owned } else { load.witnessed };
            (Some(&agent.domain) == domain, role_load, load.owned + load.witnessed, &agent.endpoint)
        })?;
        Some(least_loaded.endpoint.clone())
    }

    fn choose_witness(&self, owner: &Candidate) -> Option<AgentEndpoint> {
        self.choose_agent(Some(owner), false)
    }

    /// Replaces the agents of a range that are no longer live. A live witness becomes the owner.
    fn replace_lost(&mut self, index: usize) {
        let range = &self.ranges[index];
        let owner = self.live(range.owner.as_ref());
        let witness = self.live(range.witness.as_ref());
        match (owner, witness) {
            (Some(_), Some(_)) => {}
            (Some(owner), None) => {
                if let Some(witness) = self.choose_witness(owner) {
                    self.reassign(index, Some(owner.endpoint.clone()), Some(witness));
                }
            }
            (None, Some(promoted)) => {
                let witness = self.choose_witness(promoted);
                self.reassign(index, Some(promoted.endpoint.clone()), witness);
            }
            (None, None) => self.assign_new_agents(index),
        }
    }

    /// Assigns new agents to a range without live agents. Its records are lost, and the range is
    /// sealed, unless this is its first assignment.
    fn assign_new_agents(&mut self, index: usize) {
        let Some(owner) = self.choose_agent(None, true) else { return };
        let witness = self.agents.get(&owner.agent).and_then(|owner| self.choose_witness(owner));
        self.reassign(index, Some(owner), witness);
        let range = &mut self.ranges[index];
        if range.epoch == 1 {
            range.reset_epoch = 1;
        } else {
            range.sealed = true;
        }
    }

    /// Moves a serving range away from a leaving agent, or its witness out of the failure domain of
    /// the owner.
    fn hand_over(&mut self, index: usize) {
        let range = &self.ranges[index];
        let (Some(owner), Some(witness)) =
            (self.live(range.owner.as_ref()), self.live(range.witness.as_ref()))
        else {
            return;
        };
        if range.epoch != self.current[index].epoch {
            return;
        }
        if owner.leaving && !witness.leaving {
            let next = self.choose_witness(witness);
            // Without a third agent, the leaving owner acts as witness until it exits.
            let next = next.unwrap_or_else(|| owner.endpoint.clone());
            return self.reassign(index, Some(witness.endpoint.clone()), Some(next));
        }
        let in_other_domain =
            |endpoint: &AgentEndpoint| self.agents[&endpoint.agent].domain != owner.domain;
        let Some(next) = self.choose_witness(owner) else { return };
        if witness.leaving || (!in_other_domain(&witness.endpoint) && in_other_domain(&next)) {
            self.reassign(index, Some(owner.endpoint.clone()), Some(next));
        }
    }

    /// Balances the number of owned ranges, a few ranges per plan. An agent first becomes the
    /// witness of a range, and swaps roles with the owner once the range is served again.
    fn balance(&mut self, serving: &BTreeSet<usize>) {
        let mut moves = 0;
        for index in serving.iter().copied().filter(|index| *index < RANGE_COUNT) {
            if moves == MAX_BALANCE_MOVES_PER_PLAN {
                return;
            }
            moves += usize::from(self.balance_range(index));
        }
    }

    /// Moves range `index` towards a less loaded owner, and reports whether it was changed.
    fn balance_range(&mut self, index: usize) -> bool {
        let range = &self.ranges[index];
        let (Some(owner), Some(witness)) =
            (self.live(range.owner.as_ref()), self.live(range.witness.as_ref()))
        else {
            return false;
        };
        if range.epoch != self.current[index].epoch || owner.leaving || witness.leaving {
            return false;
        }
        let owned = self.load(&owner.endpoint.agent).owned;
        if self.load(&witness.endpoint.agent).owned + 1 < owned {
            self.reassign(index, Some(witness.endpoint.clone()), Some(owner.endpoint.clone()));
            return true;
        }
        let Some(next) = self.least_loaded_owner(owner) else { return false };
        if self.load(&next.agent).owned + 1 >= owned || next == witness.endpoint {
            return false;
        }
        self.reassign(index, Some(owner.endpoint.clone()), Some(next.clone()));
        // Counts the later swap of roles already, so that one plan does not choose `next` too often.
        self.load.entry(next.agent).or_default().owned += 1;
        self.load.entry(owner.endpoint.agent.clone()).or_default().owned -= 1;
        true
    }

    /// Returns the agent that owns the fewest ranges, is not leaving and is in another failure domain
    /// than `owner`.
    fn least_loaded_owner(&self, owner: &Candidate) -> Option<AgentEndpoint> {
        let candidates =
            self.agents.values().filter(|agent| !agent.leaving && agent.domain != owner.domain);
        let least_loaded = candidates
            .min_by_key(|agent| (self.load(&agent.endpoint.agent).owned, &agent.endpoint))?;
        Some(least_loaded.endpoint.clone())
    }

    /// Returns the planned map, or `None` when it equals the current one.
    fn finish(self, version: u64) -> Option<RangeMap> {
        if self.ranges == self.current {
            return None;
        }
        Some(RangeMap { version: version + 1, ranges: self.ranges })
    }
}
