use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::pacing::is_shared;
use crate::{
    AgentAction, AgentLimits, Listing, Orders, Pacer, RefusalKind, RenewalCall, RunEnd, RunRefusal,
    RunReport, SharingRun, StartAnswer, TaskId, WorkerReport, WorkerStatus,
};

/// A worker's clock may run this much slower than true time; twice the 2% that is stated, so that
/// rounding cannot matter.
const DRIFT: f64 = 0.04;

/// Pause before a call that was not answered is sent again. Longer than a round trip, short against
/// the time in which a gang must be complete.
const RETRY: Duration = Duration::from_millis(300);

/// A stop that was answered is sent again when the run is still listed after this time.
const STOP_AGAIN: Duration = Duration::from_millis(1500);

/// A worker that has not answered for this long may have lost its leases.
const UNREACHED: Duration = Duration::from_millis(1500);

/// A listing that is read later than this after it was asked for tells nothing of the present: the
/// longest wait of a listing, and as long again.
const LISTING_VALID: Duration = Duration::from_millis(2000);

/// Orders that answer an older report start nothing: the coordinator sends them every second, and a
/// job may have been cancelled meanwhile by a successor that this agent does not hear.
const ORDERS_VALID: Duration = Duration::from_millis(2500);

/// Time after the last message of a worker that leaves until its runs count as gone.
const LEAVING: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct ClockReading {
    ms: f64,
    received: Instant,
}

/// What is under way for one run.
#[derive(Clone, Copy, Debug, Default)]
struct Attempt {
    /// Listings of calls with a higher number settle the run, once a stop was answered.
    fenced: Option<u64>,
    /// When the next start may be sent.
    start_after: Option<Instant>,
    starting: bool,
    /// When the next stop may be sent.
    stop_after: Option<Instant>,
    stopping: bool,
    /// Its run has been reported as lapsed; it must be fenced before anything is extended.
    suspect: bool,
    uncertain: bool,
    verdict: Option<RefusalKind>,
}

type RunKey = (TaskId, u32);

/// Sans-IO core of the agent of one worker: carries out the coordinator's orders, extends leases no
/// longer than the coordinator allows, and reports what is certain.
#[derive(Debug)]
pub struct AgentCore {
    attempts: BTreeMap<RunKey, Attempt>,
    incarnation: u64,
    /// Runs of an earlier incarnation may still be started here; nothing is reported until they are fenced.
    cleaning: bool,
    clock: Option<ClockReading>,
    ended: BTreeMap<u64, RunEnd>,
    epoch: u64,
    furthest: Option<f64>,
    granted: Option<(Instant, Duration)>,
    /// When the listings that have not been read were asked for, by their numbers.
    asked: BTreeMap<u64, Instant>,
    holds: u64,
    /// When a lapse was reported that the coordinator has not answered yet.
    lapsed: Option<Instant>,
    left: Option<Instant>,
    limits: AgentLimits,
    listed: bool,
    name: String,
    orders: Orders,
    /// When the report was sent that the last orders answer.
    ordered: Option<Instant>,
    pacer: Pacer,
    reached: Option<Instant>,
    refused: BTreeMap<RunKey, RefusalKind>,
    running: BTreeMap<RunKey, RunReport>,
    since: Instant,
    status: Option<WorkerStatus>,
}

impl Attempt {
    /// Reports whether a start may still be carried out.
    fn is_open(&self) -> bool {
        self.starting || self.uncertain
    }
}

impl AgentCore {
    /// Returns the core of the agent on the VM `name`.
    pub fn new(name: &str, limits: AgentLimits, now: Instant) -> Self {
        Self {
            attempts: BTreeMap::new(),
            incarnation: 0,
            cleaning: false,
            clock: None,
            ended: BTreeMap::new(),
            epoch: 0,
            furthest: None,
            granted: None,
            asked: BTreeMap::new(),
            holds: 0,
            lapsed: None,
            left: None,
            limits,
            listed: false,
            name: name.to_owned(),
            orders: Orders::default(),
            ordered: None,
            pacer: Pacer::new(),
            reached: None,
            refused: BTreeMap::new(),
            running: BTreeMap::new(),
            since: now,
            status: None,
        }
    }

    /// Takes in what the worker says of itself; a report of an earlier incarnation is ignored.
    pub fn announce(&mut self, now: Instant, status: &WorkerStatus) {
        if status.incarnation < self.incarnation {
            return;
        }
        self.admit_incarnation(now, status.incarnation);
        let draining = self.status.as_ref().is_some_and(|known| known.draining);
        self.status = Some(status.clone());
        if let Some(known) = &mut self.status {
            // An incarnation that drains never serves again; a late report must not undo that.
            known.draining |= draining;
        }
    }

    /// Takes in that the worker leaves for good.
    pub fn leave(&mut self, now: Instant) {
        self.left.get_or_insert(now);
    }

    /// Reports whether the worker is gone and its runs with it.
    pub fn has_left(&self, now: Instant) -> bool {
        self.left.is_some_and(|left| now >= left + LEAVING)
    }

    /// Takes in orders of the coordinator. `sent` is when the report was sent that they answer and
    /// that extends the leases by `lease`.
    pub fn handle_orders(
        &mut self,
        epoch: u64,
        orders: Orders,
        sent: Option<Instant>,
        lease: Duration,
    ) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        if let Some(sent) = sent
            && !lease.is_zero()
            && self.granted.is_none_or(|(at, length)| sent + lease > at + length)
        {
            self.granted = Some((sent, lease));
        }
        if self.status.as_ref().is_none_or(|status| status.id != orders.worker)
            || orders.incarnation != self.incarnation
        {
            return true;
        }
        self.ended = self.ended.split_off(&(orders.ended_through + 1));
        self.orders = orders;
        self.ordered = sent.or(self.ordered);
        if self.lapsed.is_some_and(|lapsed| sent.is_some_and(|sent| sent >= lapsed)) {
            self.lapsed = None;
        }
        let mentioned = self.mentioned();
        self.refused.retain(|run, _| mentioned.contains(run));
        true
    }

    /// Returns the highest epoch seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the calls to make now.
    pub fn actions(&mut self, now: Instant) -> Vec<AgentAction> {
        if !self.listed {
            return Vec::new();
        }
        let mut actions = self.starts(now);
        actions.extend(self.stops(now));
        actions.extend(self.paces());
        actions
    }

    fn paces(&mut self) -> Vec<AgentAction> {
        let sharing = self.listed_sharing();
        let changes = self.pacer.changes(&sharing);
        changes
            .into_iter()
            .map(|(task, run, percent)| AgentAction::Pace(task, run, percent))
            .collect()
    }

    /// Returns the runs that share the worker, as far as it lists them.
    fn listed_sharing(&self) -> Vec<SharingRun> {
        let listed = |run: &&SharingRun| self.running.contains_key(&(run.task.clone(), run.run));
        self.orders.sharing.iter().filter(listed).cloned().collect()
    }

    /// Reports whether filling tasks run beside serving ones, so that a listing should not wait long.
    pub fn is_shared(&self) -> bool {
        is_shared(&self.orders.sharing)
    }

    /// Takes in that a change of speed was not answered.
    pub fn handle_pace_answer(&mut self, task: &TaskId, run: u32, answered: bool) {
        if !answered {
            self.pacer.fail(task, run);
        }
    }

    /// Takes in the outcome of a start.
    pub fn handle_start_answer(
        &mut self,
        now: Instant,
        task: &TaskId,
        run: u32,
        answer: StartAnswer,
    ) {
        let key = (task.clone(), run);
        let attempt = self.attempts.entry(key.clone()).or_default();
        attempt.starting = false;
        attempt.start_after = Some(now + RETRY);
        match answer {
            // A run that counts as lapsed is fenced, whatever the worker says of its start.
            _ if attempt.suspect => attempt.uncertain = true,
            StartAnswer::Started => {
                self.attempts.remove(&key);
                let report =
                    RunReport { checkpoint: String::new(), percent: 0, run, task: task.clone() };
                self.running.entry(key).or_insert(report);
            }
            StartAnswer::Refused(kind) => {
                // An earlier call without an answer, or a run that has ended here, is settled by a
                // stop and a listing before the refusal is reported.
                if attempt.uncertain || kind == RefusalKind::Old {
                    attempt.verdict = Some(kind);
                } else {
                    self.attempts.remove(&key);
                    self.refused.insert(key, kind);
                }
            }
            StartAnswer::Late | StartAnswer::Outdated => {}
            StartAnswer::Unanswered => attempt.uncertain = true,
        }
    }

    /// Takes in the outcome of a stop.
    pub fn handle_stop_answer(&mut self, now: Instant, task: &TaskId, run: u32, answered: bool) {
        let holds = self.holds;
        let Some(attempt) = self.attempts.get_mut(&(task.clone(), run)) else { return };
        attempt.stopping = false;
        attempt.stop_after = Some(now + if answered { STOP_AGAIN } else { RETRY });
        if answered {
            attempt.fenced = Some(holds);
        }
    }

    /// Returns the parameters of the next call that extends the leases.
    pub fn next_renewal(&mut self, now: Instant) -> RenewalCall {
        self.holds += 1;
        self.asked.insert(self.holds, now);
        RenewalCall {
            acked: if self.orders.incarnation == self.incarnation {
                self.orders.ended_through
            } else {
                0
            },
            deadline_ms: self.deadline(now),
            epoch: self.epoch,
            number: self.holds,
        }
    }

    /// Returns the end of the leases on the worker's clock; `None` when nothing may be extended. A
    /// worker that does not answer is not sent extensions, so that its leases lapse for certain.
    pub fn deadline(&mut self, now: Instant) -> Option<u64> {
        if !self.is_reached(now) || self.lapsed.is_some() || self.has_strays() {
            return None;
        }
        let (sent, lease) = self.granted?;
        let clock = self.clock?;
        let limit = earliest(clock, sent) + lease.as_secs_f64() * 1000.0;
        let here = earliest(clock, now);
        let deadline = limit.min(here + self.limits.extension.as_secs_f64() * 1000.0).floor();
        if deadline <= here {
            return None;
        }
        self.furthest = Some(self.furthest.map_or(deadline, |furthest| furthest.max(deadline)));
        // Positive and far below 2^53.
        Some(deadline as u64)
    }

    /// Takes in what the worker lists, in answer to the call `number`.
    pub fn handle_listing(&mut self, now: Instant, number: u64, listing: &Listing) {
        if listing.incarnation < self.incarnation {
            return;
        }
        self.admit_incarnation(now, listing.incarnation);
        let unread = self.asked.split_off(&(number + 1));
        let asked = std::mem::replace(&mut self.asked, unread).remove(&number);
        self.reached = Some(asked.map_or(now, |asked| now.min(asked + LISTING_VALID)));
        self.listed = true;
        self.clock = Some(ClockReading { ms: listing.clock_ms as f64, received: now });
        self.running =
            listing.running.iter().map(|run| ((run.task.clone(), run.run), run.clone())).collect();
        let sharing = self.listed_sharing();
        self.pacer.observe(&sharing, &listing.readings);
        let acked =
            if self.orders.incarnation == self.incarnation { self.orders.ended_through } else { 0 };
        self.ended = listing.ended.iter().filter(|(number, _)| *number > acked).cloned().collect();
        self.settle(number);
        if self.cleaning && self.attempts.is_empty() && self.running.is_empty() {
            self.cleaning = false;
        }
    }

    /// Reports whether ends wait to be acknowledged, so that a further listing would bring them again.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Reports whether a stop waits for a listing.
    pub fn awaits_listing(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.fenced.is_some())
    }

    /// Returns the report for the coordinator.
    pub fn report(&mut self, now: Instant) -> WorkerReport {
        let lapsed = self.is_lapsed(now);
        if lapsed {
            self.lapsed = Some(now);
            for attempt in self.attempts.values_mut().filter(|attempt| attempt.is_open()) {
                attempt.suspect = true;
            }
        }
        let open = self.listed && !self.cleaning;
        WorkerReport {
            agent: self.name.clone(),
            ended: self.ended.values().cloned().collect(),
            ended_through: self.ended.keys().next_back().copied().unwrap_or(0),
            lapsed,
            listed: open,
            refused: self
                .refused
                .iter()
                .map(|((task, run), kind)| RunRefusal {
                    kind: *kind,
                    run: *run,
                    task: task.clone(),
                })
                .collect(),
            running: self.running.values().cloned().collect(),
            unreached: !self.is_reached(now),
            worker: if open { self.status.clone() } else { None },
        }
    }

    /// Returns the worker's status, also while it is not reported.
    pub fn status(&self) -> Option<&WorkerStatus> {
        self.status.as_ref()
    }

    /// Reports whether all leases at a worker that cannot be reached have certainly lapsed.
    fn is_lapsed(&self, now: Instant) -> bool {
        if self.is_reached(now) {
            return false;
        }
        match (self.furthest, self.clock) {
            (Some(furthest), Some(clock)) => earliest(clock, now) > furthest,
            _ => now > self.since + self.limits.longest.mul_f64(1.0 + DRIFT),
        }
    }

    /// Reports whether a start may still be carried out that the coordinator does not count on. It
    /// would find its lease passed, unless the leases of the worker were extended first.
    fn has_strays(&self) -> bool {
        if self.attempts.is_empty() {
            return false;
        }
        let mentioned = self.mentioned();
        let known = !self.orders.worker.is_empty();
        self.attempts.iter().any(|(run, attempt)| {
            attempt.is_open() && (attempt.suspect || (known && !mentioned.contains(run)))
        })
    }

    fn is_reached(&self, now: Instant) -> bool {
        let last = self.reached.unwrap_or(self.since);
        now.saturating_duration_since(last) < UNREACHED
    }

    fn admit_incarnation(&mut self, now: Instant, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        if self.incarnation != 0 {
            self.cleaning = true;
            self.attempts.retain(|_, attempt| attempt.uncertain || attempt.starting);
            for attempt in self.attempts.values_mut() {
                *attempt =
                    Attempt { uncertain: true, starting: attempt.starting, ..Attempt::default() };
            }
        }
        self.incarnation = incarnation;
        self.clock = None;
        self.ended.clear();
        self.furthest = None;
        self.lapsed = None;
        self.left = None;
        self.listed = false;
        self.orders = Orders::default();
        self.pacer = Pacer::new();
        self.reached = None;
        self.refused.clear();
        self.running.clear();
        self.since = now;
        self.status = None;
    }

    fn mentioned(&self) -> BTreeSet<RunKey> {
        let start = self.orders.start.iter().map(|order| (order.task.clone(), order.run));
        start
            .chain(self.orders.keep.iter().cloned())
            .chain(self.orders.stop.iter().cloned())
            .collect()
    }

    fn has_ended(&self, key: &RunKey) -> bool {
        self.ended.values().any(|end| end.task == key.0 && end.run == key.1)
    }

    fn starts(&mut self, now: Instant) -> Vec<AgentAction> {
        let valid = self.ordered.is_some_and(|at| now < at + ORDERS_VALID);
        let lost = !self.is_reached(now) || self.lapsed.is_some();
        if self.cleaning || !valid || lost || self.has_strays() {
            return Vec::new();
        }
        let draining = self.status.as_ref().is_some_and(|status| status.draining);
        let mut actions = Vec::new();
        for order in self.orders.start.clone() {
            let key = (order.task.clone(), order.run);
            if self.running.contains_key(&key)
                || self.refused.contains_key(&key)
                || self.has_ended(&key)
            {
                continue;
            }
            if draining {
                self.refuse_draining(key);
                continue;
            }
            let attempt = self.attempts.entry(key).or_default();
            let early = attempt.start_after.is_some_and(|after| now < after);
            if attempt.starting || attempt.verdict.is_some() || early {
                continue;
            }
            attempt.starting = true;
            actions.push(AgentAction::Start(order));
        }
        actions
    }

    /// Refuses a start on a worker that leaves; one that may be carried out late is settled first.
    fn refuse_draining(&mut self, run: RunKey) {
        match self.attempts.get_mut(&run) {
            None => {
                self.refused.insert(run, RefusalKind::Fenced);
            }
            Some(attempt) if !attempt.starting => attempt.verdict = Some(RefusalKind::Fenced),
            Some(_) => {}
        }
    }

    fn stops(&mut self, now: Instant) -> Vec<AgentAction> {
        let mentioned = self.mentioned();
        let known = self.cleaning || !self.orders.worker.is_empty();
        let strays = self
            .running
            .keys()
            .chain(self.attempts.keys())
            .filter(|run| known && !mentioned.contains(*run));
        let refused = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.verdict.is_some() || attempt.suspect);
        let runs: BTreeSet<RunKey> = strays
            .chain(self.orders.stop.iter())
            .chain(refused.map(|(run, _)| run))
            .cloned()
            .collect();
        let mut actions = Vec::new();
        for run in runs {
            if self.refused.contains_key(&run) || self.has_ended(&run) {
                continue;
            }
            let attempt = self.attempts.entry(run.clone()).or_default();
            let early = attempt.stop_after.is_some_and(|after| now < after);
            if attempt.stopping || early {
                continue;
            }
            attempt.stopping = true;
            actions.push(AgentAction::Stop(run.0, run.1));
        }
        actions
    }

    /// Settles the runs whose stop was answered before the call `number` was made.
    fn settle(&mut self, number: u64) {
        let mentioned = self.mentioned();
        let settled: Vec<(RunKey, Attempt)> = self
            .attempts
            .iter()
            .filter(|(run, attempt)| {
                attempt.fenced.is_some_and(|fenced| fenced < number)
                    && !attempt.starting
                    && !self.running.contains_key(*run)
            })
            .map(|(run, attempt)| (run.clone(), *attempt))
            .collect();
        for (run, attempt) in settled {
            self.attempts.remove(&run);
            if !self.has_ended(&run) && mentioned.contains(&run) {
                self.refused.insert(run, attempt.verdict.unwrap_or(RefusalKind::Fenced));
            }
        }
    }
}

/// Returns the lowest value that the worker's clock can have shown at `at`.
fn earliest(clock: ClockReading, at: Instant) -> f64 {
    let after = at.saturating_duration_since(clock.received).as_secs_f64() * 1000.0;
    let before = clock.received.saturating_duration_since(at).as_secs_f64() * 1000.0;
    clock.ms + after * (1.0 - DRIFT) - before * (1.0 + DRIFT)
}
