use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use skylarkpulley_routing::{AttemptResult, CancelResult, Decision, NextAction, RoutingSettings};
use skylarkpulley_types::{Clock, Outcome};

use crate::rig::{Rig, Sent, agent};

const UPSTREAMS: usize = 4;
const ROUTES: [&str; 3] = ["settle", "check", "bulk"];
const TEAMS: [&str; 3] = ["a", "b", "c"];

/// One event; the numbers are taken modulo what is there.
#[derive(Clone, Debug)]
enum Step {
    Submit(u8, u8),
    Finish(u8, u8),
    Cancel(u8),
    Advance(u16),
    Report(u8, u8),
    Leave(u8),
    Restart(u8),
    Close(u8),
    /// One or two slots, with or without the route `bulk`.
    Edit(bool, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 32 {
            0..12 => Self::Submit(a, b),
            12..22 => Self::Finish(a, b),
            22..24 => Self::Cancel(a),
            24..27 => Self::Advance(u16::arbitrary(g) % 300),
            27..29 => Self::Report(a, b),
            29 => Self::Leave(a),
            30 if a % 4 == 0 => Self::Edit(bool::arbitrary(g), bool::arbitrary(g)),
            30 => Self::Restart(a),
            _ => Self::Close(a),
        }
    }
}

/// What a caller of the router knows, kept independently of it.
struct Model {
    rig: Rig,
    slots: usize,
    running: Vec<Sent>,
    /// Class and team of waiting requests.
    waiting: BTreeMap<u64, (usize, usize)>,
    open: HashSet<u64>,
    ended: HashSet<u64>,
    tried: HashSet<u64>,
    maybe_run: HashSet<u64>,
    refused: HashSet<u64>,
    incarnations: [u64; UPSTREAMS],
    sessions: [u64; UPSTREAMS],
    usable: [bool; UPSTREAMS],
    /// Refused a run as not serving and has not reported since.
    refusing: [bool; UPSTREAMS],
    last: HashMap<(usize, usize), u64>,
}

impl Model {
    fn new() -> Self {
        Self {
            rig: Rig::new(UPSTREAMS),
            slots: 2,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            open: HashSet::new(),
            ended: HashSet::new(),
            tried: HashSet::new(),
            maybe_run: HashSet::new(),
            refused: HashSet::new(),
            incarnations: [1; UPSTREAMS],
            sessions: [1; UPSTREAMS],
            usable: [true; UPSTREAMS],
            refusing: [false; UPSTREAMS],
            last: HashMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Submit(route, team) => self.submit(*route as usize % 3, *team as usize % 3),
            Step::Finish(index, result) => self.finish(*index as usize, *result)?,
            Step::Cancel(index) => self.cancel(*index as usize)?,
            Step::Advance(millis) => self.rig.advance(u64::from(*millis)),
            Step::Report(index, slots) => self.report(*index as usize % UPSTREAMS, *slots),
            Step::Leave(index) => {
                let index = *index as usize % UPSTREAMS;
                self.rig.router.on_leaving(&agent(index, self.incarnations[index]));
                self.usable[index] = false;
            }
            Step::Edit(small, bulk) => {
                let mut tables = self.rig.tables.clone();
                self.slots = if *small { 1 } else { 2 };
                tables.pools[0].slots = self.slots as u32;
                tables.routes.retain(|route| *bulk || route.name != "bulk");
                self.rig.router.apply_tables(&tables, self.rig.clock.now());
            }
            Step::Restart(index) => self.restart(*index as usize % UPSTREAMS),
            Step::Close(index) => {
                let index = *index as usize % UPSTREAMS;
                let agent = agent(index, self.incarnations[index]);
                self.rig.router.on_closed(&agent, self.sessions[index]);
                self.usable[index] = false;
            }
        }
        self.poll()
    }

    fn submit(&mut self, route: usize, team: usize) {
        match self.rig.submit(ROUTES[route], TEAMS[team]) {
            Ok(id) => {
                self.open.insert(id);
                self.waiting.insert(id, (route, team));
            }
            Err(_) => {
                self.refused.insert(self.rig.submitted);
            }
        }
    }

    fn finish(&mut self, index: usize, result: u8) -> Result<(), String> {
        if self.running.is_empty() {
            return Ok(());
        }
        let sent = self.running.swap_remove(index % self.running.len());
        let result = match result % 16 {
            0..9 => AttemptResult::Answered,
            9 => AttemptResult::Errored,
            10 | 11 => AttemptResult::Full,
            12 => AttemptResult::Leaving,
            13 => AttemptResult::Unreachable,
            14 => AttemptResult::Unknown,
            _ => AttemptResult::Withdrawn,
        };
        if matches!(
            result,
            AttemptResult::Answered | AttemptResult::Errored | AttemptResult::Unknown
        ) {
            self.maybe_run.insert(sent.id);
        }
        if result == AttemptResult::Leaving && sent.agent == self.current(&sent) {
            self.refusing[slot(&sent)] = true;
        }
        let settle = self.waiting.get(&sent.id).is_some_and(|(class, _)| *class == 0);
        match self.rig.finish(&sent, result) {
            NextAction::Ended { outcome, .. } => self.end(sent.id, outcome)?,
            NextAction::Retry { .. } | NextAction::Requeued { .. } => {
                if settle && self.maybe_run.contains(&sent.id) {
                    return Err(format!("{} may run twice", sent.id));
                }
                // Order within the team is checked for requests that were not tried.
                self.tried.insert(sent.id);
            }
            NextAction::Ignored => return Err(format!("result of {} was ignored", sent.id)),
        }
        match self.rig.finish(&sent, AttemptResult::Answered) {
            NextAction::Ignored => Ok(()),
            next => Err(format!("repeated result of {}: {next:?}", sent.id)),
        }
    }

    fn current(&self, sent: &Sent) -> skylarkpulley_types::AgentId {
        agent(slot(sent), self.incarnations[slot(sent)])
    }

    fn end(&mut self, id: u64, outcome: Outcome) -> Result<(), String> {
        if !self.open.remove(&id) || !self.ended.insert(id) {
            return Err(format!("{id} ended twice"));
        }
        self.waiting.remove(&id);
        if outcome == Outcome::NotRun && self.maybe_run.contains(&id) {
            return Err(format!("{id} may have run"));
        }
        Ok(())
    }

    fn cancel(&mut self, index: usize) -> Result<(), String> {
        let ids: Vec<u64> = self.waiting.keys().copied().collect();
        if ids.is_empty() {
            return Ok(());
        }
        let id = ids[index % ids.len()];
        match self.rig.cancel(id) {
            CancelResult::Ended(outcome) => self.end(id, outcome),
            CancelResult::Running => Ok(()),
            CancelResult::Unknown => Err(format!("{id} is open")),
        }
    }

    fn report(&mut self, index: usize, slots: u8) {
        let agent = agent(index, self.incarnations[index]);
        let slots = u32::from(slots) % 3;
        self.refusing[index] = false;
        self.rig.report(&agent, self.sessions[index], true, 1, slots);
    }

    fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.sessions[index] += 1;
        let agent = agent(index, self.incarnations[index]);
        assert!(self.rig.hello(&agent, self.sessions[index]));
        self.rig.report(&agent, self.sessions[index], true, 1, 0);
        (self.usable[index], self.refusing[index]) = (true, false);
    }

    fn poll(&mut self) -> Result<(), String> {
        for decision in self.rig.poll() {
            match decision {
                Decision::Dispatch { id, agent, attempt, reason, .. } => {
                    self.dispatch(Sent { id, agent, attempt, reason })?;
                }
                Decision::End { id, outcome, .. } => {
                    if self.running.iter().any(|sent| sent.id == id) {
                        return Err(format!("{id} ended while it runs"));
                    }
                    self.end(id, outcome)?;
                }
                Decision::Silent { agent, .. } => self.usable[index_of(&agent.name)] = false,
                _ => {}
            }
        }
        match self.rig.router.next_wake(self.rig.clock.now()) {
            Some(wake) if wake <= self.rig.clock.now() => Err("wake-up in the past".to_owned()),
            _ if self.rig.router.open_requests() != self.open.len() => {
                Err("open requests differ".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn dispatch(&mut self, sent: Sent) -> Result<(), String> {
        let id = sent.id;
        if self.refused.contains(&id) || !self.open.contains(&id) {
            return Err(format!("{id} was refused or has ended"));
        }
        if self.running.iter().any(|other| other.id == id) {
            return Err(format!("{id} is in two places"));
        }
        let slot = slot(&sent);
        if !self.usable[slot] || self.refusing[slot] || sent.agent != self.current(&sent) {
            return Err(format!("{} gets no new work", sent.agent));
        }
        let used = self.running.iter().filter(|other| other.agent.name == sent.agent.name).count();
        if used >= self.slots {
            return Err(format!("{} has {used} attempts", sent.agent));
        }
        let (class, team) = self.waiting[&id];
        if !self.tried.contains(&id) {
            let last = self.last.insert((class, team), id).unwrap_or(0);
            if last > id {
                return Err(format!("{id} was overtaken by {last}"));
            }
        }
        self.running.push(sent);
        Ok(())
    }

    /// Lets time pass until every request has ended.
    fn drain(&mut self) -> Result<(), String> {
        for _ in 0..200 {
            while !self.running.is_empty() {
                self.finish(0, 0)?;
                self.poll()?;
            }
            self.rig.advance(50);
            self.poll()?;
        }
        if self.open.is_empty() { Ok(()) } else { Err(format!("still open: {:?}", self.open)) }
    }
}

fn slot(sent: &Sent) -> usize {
    index_of(&sent.agent.name)
}

fn index_of(name: &str) -> usize {
    name[6..].parse().expect("agent name")
}

/// Guards all interleavings against: a request in two places, that ends twice or never, that runs
/// after its refusal or a second time, is reported as not run although it may have run; more
/// attempts than slots; work for upstreams that are gone; a lost order within a team.
#[test]
fn router_invariants() {
    fn property(steps: Vec<Step>) -> TestResult {
        let mut model = Model::new();
        let run = |model: &mut Model| {
            steps.iter().try_for_each(|step| model.apply(step))?;
            model.drain()
        };
        run(&mut model).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    let generator = Gen::from_size_and_seed(400, 11);
    QuickCheck::new().rng(generator).tests(400).quickcheck(property as fn(Vec<Step>) -> TestResult);
}

/// Guards against a less urgent class that is served before a more urgent one, and against team
/// shares that differ by more than one request, for any mix of waiting requests.
#[test]
fn poll_order_of_mixes() {
    fn property(mix: Vec<(u8, u8)>) -> TestResult {
        let settings = RoutingSettings {
            starvation_timeout: Duration::from_secs(3600),
            ..RoutingSettings::default()
        };
        let mut rig = Rig::with_settings(1, settings);
        rig.relax();
        rig.teach();
        let mut owner = HashMap::new();
        for (route, team) in mix {
            let (route, team) = (route as usize % 3, team as usize % 2);
            if let Ok(id) = rig.submit(ROUTES[route], TEAMS[team]) {
                owner.insert(id, (route, team));
            }
        }
        let mut left = owner.clone();
        let mut served = [0_i32; 2];
        let mut class = 0;
        while !left.is_empty() {
            let round = rig.sent();
            for sent in &round {
                let (route, team) = left.remove(&sent.id).expect("sent once");
                if left.values().any(|(other, _)| *other < route) {
                    return TestResult::error(format!("{} was served too early", sent.id));
                }
                if route != class {
                    (class, served) = (route, [0, 0]);
                }
                served[team] += 1;
                let both = (0..2).all(|team| left.values().any(|key| *key == (route, team)));
                if both && (served[0] - served[1]).abs() > 2 {
                    return TestResult::error(format!("shares differ: {served:?}"));
                }
            }
            rig.clock.advance(Duration::from_millis(100));
            rig.heartbeat();
            for sent in &round {
                rig.finish(sent, AttemptResult::Answered);
            }
        }
        TestResult::passed()
    }
    let generator = Gen::from_size_and_seed(60, 5);
    QuickCheck::new()
        .rng(generator)
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8)>) -> TestResult);
}
