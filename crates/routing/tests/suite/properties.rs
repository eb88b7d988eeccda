use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use skylarkpulley_routing::{AttemptResult, CancelResult, Decision, NextAction, RoutingSettings};
use skylarkpulley_types::{Clock, Outcome};

use crate::rig::{Dispatch, Rig, agent};

const UPSTREAMS: usize = 4;
const ROUTES: [&str; 3] = ["settle", "check", "bulk"];
const TEAMS: [&str; 3] = ["a", "b", "c"];

/// One event; indices are taken modulo the number of available items.
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

/// Model of the router's expected state, kept independently of it.
struct Model {
    rig: Rig,
    slots: usize,
    running: Vec<Dispatch>,
    /// Class and team of waiting requests.
    waiting: BTreeMap<u64, (usize, usize)>,
    open: HashSet<u64>,
    ended: HashSet<u64>,
    retried: HashSet<u64>,
    possibly_run: HashSet<u64>,
    refused: HashSet<u64>,
    incarnations: [u64; UPSTREAMS],
    sessions: [u64; UPSTREAMS],
    in_service: [bool; UPSTREAMS],
    /// Whether each upstream refused an attempt as not serving and has not reported since.
    not_serving: [bool; UPSTREAMS],
    last_dispatched: HashMap<(usize, usize), u64>,
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
            retried: HashSet::new(),
            possibly_run: HashSet::new(),
            refused: HashSet::new(),
            incarnations: [1; UPSTREAMS],
            sessions: [1; UPSTREAMS],
            in_service: [true; UPSTREAMS],
            not_serving: [false; UPSTREAMS],
            last_dispatched: HashMap::new(),
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
                self.in_service[index] = false;
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
                self.in_service[index] = false;
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
        let dispatch = self.running.swap_remove(index % self.running.len());
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
            self.possibly_run.insert(dispatch.id);
        }
        if result == AttemptResult::Leaving && dispatch.agent == self.current(&dispatch) {
            self.not_serving[upstream_index(&dispatch)] = true;
        }
        let at_most_once = self.waiting.get(&dispatch.id).is_some_and(|(class, _)| *class == 0);
        match self.rig.finish(&dispatch, result) {
            NextAction::Ended { outcome, .. } => self.end(dispatch.id, outcome)?,
            NextAction::Retry { .. } | NextAction::Requeued { .. } => {
                if at_most_once && self.possibly_run.contains(&dispatch.id) {
                    return Err(format!("{} may run twice", dispatch.id));
                }
                // The order within a team is checked only for requests without an earlier attempt.
                self.retried.insert(dispatch.id);
            }
            NextAction::Ignored => return Err(format!("result of {} was ignored", dispatch.id)),
        }
        match self.rig.finish(&dispatch, AttemptResult::Answered) {
            NextAction::Ignored => Ok(()),
            next => Err(format!("repeated result of {}: {next:?}", dispatch.id)),
        }
    }

    fn current(&self, dispatch: &Dispatch) -> skylarkpulley_types::AgentId {
        agent(upstream_index(dispatch), self.incarnations[upstream_index(dispatch)])
    }

    fn end(&mut self, id: u64, outcome: Outcome) -> Result<(), String> {
        if !self.open.remove(&id) || !self.ended.insert(id) {
            return Err(format!("{id} ended twice"));
        }
        self.waiting.remove(&id);
        if outcome == Outcome::NotRun && self.possibly_run.contains(&id) {
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
        self.not_serving[index] = false;
        self.rig.report(&agent, self.sessions[index], true, 1, slots);
    }

    fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        self.sessions[index] += 1;
        let agent = agent(index, self.incarnations[index]);
        assert!(self.rig.hello(&agent, self.sessions[index]));
        self.rig.report(&agent, self.sessions[index], true, 1, 0);
        (self.in_service[index], self.not_serving[index]) = (true, false);
    }

    fn poll(&mut self) -> Result<(), String> {
        for decision in self.rig.poll() {
            match decision {
                Decision::Dispatch { id, agent, attempt, reason, .. } => {
                    self.dispatch(Dispatch { id, agent, attempt, reason })?;
                }
                Decision::End { id, outcome, .. } => {
                    if self.running.iter().any(|dispatch| dispatch.id == id) {
                        return Err(format!("{id} ended while it runs"));
                    }
                    self.end(id, outcome)?;
                }
                Decision::Silent { agent, .. } => self.in_service[agent_index(&agent.name)] = false,
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

    fn dispatch(&mut self, dispatch: Dispatch) -> Result<(), String> {
        let id = dispatch.id;
        if self.refused.contains(&id) || !self.open.contains(&id) {
            return Err(format!("{id} was refused or has ended"));
        }
        if self.running.iter().any(|other| other.id == id) {
            return Err(format!("{id} was dispatched while it was running"));
        }
        let upstream = upstream_index(&dispatch);
        if !self.in_service[upstream]
            || self.not_serving[upstream]
            || dispatch.agent != self.current(&dispatch)
        {
            return Err(format!("{} must not receive requests", dispatch.agent));
        }
        let running =
            self.running.iter().filter(|other| other.agent.name == dispatch.agent.name).count();
        if running >= self.slots {
            return Err(format!("{} has {running} attempts", dispatch.agent));
        }
        let (class, team) = self.waiting[&id];
        if !self.retried.contains(&id) {
            let previous = self.last_dispatched.insert((class, team), id).unwrap_or(0);
            if previous > id {
                return Err(format!("{id} was overtaken by {previous}"));
            }
        }
        self.running.push(dispatch);
        Ok(())
    }

    /// Finishes all attempts and advances the clock until every request has ended.
    fn finish_all(&mut self) -> Result<(), String> {
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

fn upstream_index(dispatch: &Dispatch) -> usize {
    agent_index(&dispatch.agent.name)
}

fn agent_index(name: &str) -> usize {
    name[6..].parse().expect("agent name")
}

/// Guards random sequences of events against requests that are dispatched twice at a time, end
/// twice or never, run after their refusal, run a second time or are reported as not run although
/// they may have run; against more attempts than slots; against requests sent to upstreams that are
/// out of service; and against a wrong order within a team.
#[test]
fn router_invariants() {
    fn property(steps: Vec<Step>) -> TestResult {
        let mut model = Model::new();
        let run = |model: &mut Model| {
            steps.iter().try_for_each(|step| model.apply(step))?;
            model.finish_all()
        };
        run(&mut model).map_or_else(TestResult::error, |()| TestResult::passed())
    }
    let generator = Gen::from_size_and_seed(400, 11);
    QuickCheck::new().rng(generator).tests(400).quickcheck(property as fn(Vec<Step>) -> TestResult);
}

/// Guards against a less urgent class that is served before a more urgent one, and against team
/// shares that differ by more than two requests, for random mixes of waiting requests.
#[test]
fn poll_order_of_mixes() {
    fn property(mix: Vec<(u8, u8)>) -> TestResult {
        let settings = RoutingSettings {
            starvation_timeout: Duration::from_secs(3600),
            ..RoutingSettings::default()
        };
        let mut rig = Rig::with_settings(1, settings);
        rig.relax_limits();
        rig.set_service_times();
        let mut requests = HashMap::new();
        for (route, team) in mix {
            let (route, team) = (route as usize % 3, team as usize % 2);
            if let Ok(id) = rig.submit(ROUTES[route], TEAMS[team]) {
                requests.insert(id, (route, team));
            }
        }
        let mut remaining = requests.clone();
        let mut served = [0_i32; 2];
        let mut class = 0;
        while !remaining.is_empty() {
            let dispatches = rig.poll_dispatches();
            for dispatch in &dispatches {
                let (route, team) = remaining.remove(&dispatch.id).expect("dispatched once");
                if remaining.values().any(|(other, _)| *other < route) {
                    return TestResult::error(format!("{} was served too early", dispatch.id));
                }
                if route != class {
                    (class, served) = (route, [0, 0]);
                }
                served[team] += 1;
                let both = (0..2).all(|team| remaining.values().any(|key| *key == (route, team)));
                if both && (served[0] - served[1]).abs() > 2 {
                    return TestResult::error(format!("shares differ: {served:?}"));
                }
            }
            rig.clock.advance(Duration::from_millis(100));
            rig.send_reports();
            for dispatch in &dispatches {
                rig.finish(dispatch, AttemptResult::Answered);
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
