use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::clock_reading::{ClockReading, MAX_CLOCK_DRIFT};
use crate::late_starts::{LATE_CALL_LIMIT, LateStarts};
use crate::pacing::is_shared;
use crate::run_calls::RunCalls;
use crate::updates::Updates;
use crate::{
    AgentAction, AgentLimits, Listing, Orders, Pacer, RefusalKind, RenewalCall, RunEnd, RunRefusal,
    RunReport, SharingRun, StartAnswer, StartOrder, TaskId, WorkerPace, WorkerReport, WorkerStatus,
};

/// Delay before a call that was not answered is sent again. Longer than a round trip, and short
/// compared with the time within which a gang must be complete.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay before a start that was not answered is sent again. A gang of 25 forms only if every one
/// of its starts is carried out within a few seconds, and a repeated start of a run that is there
/// has no effect.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay before an answered stop is sent again because the worker still lists the run.
const STOP_REPEAT_DELAY: Duration = Duration::from_millis(1500);

/// A worker that has not answered for this long counts as unreached: its leases may have lapsed.
const UNREACHED_AFTER: Duration = Duration::from_millis(1500);

/// A listing proves contact with the worker only up to this time after its request; read later, it
/// says nothing about the present. Twice the longest wait of a listing.
const LISTING_VALIDITY: Duration = Duration::from_millis(2000);

/// Orders that answer a report older than this start no runs. The coordinator sends orders every
/// second, and a successor that this agent cannot reach may have cancelled a job in the meantime.
const ORDERS_VALIDITY: Duration = Duration::from_millis(2500);

/// Maximum number of starts, of stops and of changes of speed that are open at a time. A worker serves
/// 64 connections, which the renewal of its leases needs as well; 262 starts that were sent at once
/// exhausted the descriptors of a worker.
pub const MAX_OPEN_CALLS: usize = 16;

/// Time for which an agent reports that its worker has left, unless a leader has stored it before.
/// Leaders of earlier builds never tell that they have.
const MAX_DEPARTURE_TIME: Duration = Duration::from_secs(600);

type RunKey = (TaskId, u32);

/// Sans-IO core of the agent of one worker. It carries out the coordinator's orders, extends leases
/// no longer than the coordinator allows, and reports only what is certain.
#[derive(Debug)]
pub struct AgentCore {
    /// Announcement of a later incarnation that the worker has not confirmed.
    announced: Option<WorkerStatus>,
    /// When the report that the current orders answer was sent.
    answered_report: Option<Instant>,
    calls: BTreeMap<RunKey, RunCalls>,
    clock: Option<ClockReading>,
    /// Whether it is stored that the worker has left.
    departure_stored: bool,
    /// Whether no process listened at the worker's address at the last call.
    down: bool,
    ended: BTreeMap<u64, RunEnd>,
    /// Whether the last listing may have left out ends.
    ends_truncated: bool,
    epoch: u64,
    /// Whether runs of an earlier incarnation may still start here. Nothing is reported until they
    /// are fenced.
    fencing_earlier: bool,
    /// Whether it is certain that nothing runs at the worker any more.
    gone: bool,
    granted_lease: Option<(Instant, Duration)>,
    /// Whether the current incarnation has answered a listing.
    has_listing: bool,
    /// Whether orders for the worker were received.
    has_orders: bool,
    incarnation: u64,
    /// Until when leases may last that starts for an earlier incarnation have extended in the current
    /// one.
    inherited_leases: Option<Instant>,
    /// When the current incarnation became known.
    known_since: Instant,
    /// When a lapse was reported that the coordinator has not answered yet.
    lapse_reported: Option<Instant>,
    /// Number of the last renewal call.
    last_call: u64,
    last_contact: Option<Instant>,
    /// Latest end of a lease that was sent to the worker, on its clock.
    latest_deadline: Option<f64>,
    late_starts: LateStarts,
    /// Number of the last renewal call when the worker said that it leaves.
    leave_call: u64,
    left_at: Option<Instant>,
    limits: AgentLimits,
    /// When the listings that have not been read were requested, by the number of their call.
    listing_requests: BTreeMap<u64, Instant>,
    name: String,
    /// Number of changes of speed that are open.
    open_paces: usize,
    orders: Orders,
    /// What the leaders have learned about the speed of the worker, and its labels then.
    pace: Option<(WorkerPace, Vec<String>)>,
    pacer: Pacer,
    refused: BTreeMap<RunKey, RefusalKind>,
    running: BTreeMap<RunKey, RunReport>,
    status: Option<WorkerStatus>,
    /// Number of the last renewal call when a start was sent that no listing has followed.
    unconfirmed_start: Option<u64>,
    updates: Updates,
}

impl AgentCore {
    /// Returns the core of the agent on the VM `name`.
    pub fn new(name: &str, limits: AgentLimits, now: Instant) -> Self {
        Self {
            announced: None,
            answered_report: None,
            calls: BTreeMap::new(),
            clock: None,
            departure_stored: false,
            down: false,
            ended: BTreeMap::new(),
            ends_truncated: false,
            epoch: 0,
            fencing_earlier: false,
            gone: false,
            granted_lease: None,
            has_listing: false,
            has_orders: false,
            incarnation: 0,
            inherited_leases: None,
            known_since: now,
            lapse_reported: None,
            last_call: 0,
            last_contact: None,
            latest_deadline: None,
            late_starts: LateStarts::new(),
            leave_call: 0,
            left_at: None,
            limits,
            listing_requests: BTreeMap::new(),
            name: name.to_owned(),
            open_paces: 0,
            orders: Orders::default(),
            pace: None,
            pacer: Pacer::new(),
            refused: BTreeMap::new(),
            running: BTreeMap::new(),
            status: None,
            unconfirmed_start: None,
            updates: Updates::new(),
        }
    }

    /// Handles an announcement of the worker. One of an earlier incarnation is ignored, and one of a
    /// later incarnation waits for the worker's own listing while the worker answers: another writer
    /// may have sent it.
    pub fn announce(&mut self, now: Instant, status: &WorkerStatus) {
        if status.incarnation < self.incarnation {
            return;
        }
        let answers = self.has_listing && self.is_reached(now);
        if status.incarnation > self.incarnation && answers {
            self.announced = Some(status.clone());
            return;
        }
        self.switch_incarnation(now, status.incarnation);
        let earlier = self.status.replace(status.clone());
        if let (Some(current), Some(earlier)) = (&mut self.status, earlier) {
            // An incarnation that drains never serves again; a late announcement must not revert
            // that.
            current.draining |= earlier.draining;
            if self.has_listing {
                // A process does not change its address.
                current.address = earlier.address;
            }
        }
    }

    /// Records that the worker has said that it leaves. The message may be old, and the worker may still
    /// run tasks, so that this alone proves nothing.
    pub fn leave(&mut self, now: Instant) {
        if self.left_at.is_some() {
            return;
        }
        self.left_at = Some(now);
        self.leave_call = self.last_call;
        self.gone |= self.down;
        if let Some(status) = &mut self.status {
            status.draining = true;
            status.remaining = Some(Duration::ZERO);
        }
    }

    /// Records that another worker answers at the address of this one, which has therefore ended.
    pub fn record_replaced(&mut self, now: Instant) {
        self.leave(now);
        self.gone = true;
    }

    /// Reports whether the worker has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    /// Reports whether the worker has left and nothing can run there any more: no process listens at
    /// its address, another worker answers there, a listing that was requested after its last message
    /// shows no runs, or all leases have lapsed.
    pub fn has_left(&self, now: Instant) -> bool {
        self.is_leaving() && (self.gone || self.is_lapsed(now))
    }

    /// Reports whether the worker has left and nothing depends on this agent any more. Until then it
    /// tells each leader that the worker has left, since one that knows it may end before the rows
    /// hold it.
    pub fn is_done(&self, now: Instant) -> bool {
        let expired = self.left_at.is_some_and(|left_at| now >= left_at + MAX_DEPARTURE_TIME);
        self.has_left(now) && (self.departure_stored || expired)
    }

    /// Handles orders of the coordinator; returns `false` if their epoch is outdated. The orders
    /// answer the report that was sent at `sent`, and extend the leases by `lease` from then. Orders
    /// for another incarnation answer a report that did not name this one: the coordinator counts it
    /// as silent, so that they extend no lease.
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
        if self.status.as_ref().is_none_or(|status| status.id != orders.worker)
            || orders.incarnation != self.incarnation
        {
            return true;
        }
        self.departure_stored |= orders.departure_stored;
        if let (Some(pace), Some(status)) = (orders.pace, &self.status) {
            self.pace = Some((pace, status.labels.clone()));
        }
        if let Some(sent) = sent
            && !lease.is_zero()
            && self.granted_lease.is_none_or(|(at, length)| sent + lease > at + length)
        {
            self.granted_lease = Some((sent, lease));
        }
        if !std::mem::replace(&mut self.has_orders, true) {
            self.adopt_starts(sent.unwrap_or(self.known_since), &orders);
        }
        self.ended = self.ended.split_off(&orders.ended_through.saturating_add(1));
        self.orders = orders;
        self.answered_report = sent.or(self.answered_report);
        if self.lapse_reported.is_some_and(|lapsed| sent.is_some_and(|sent| sent >= lapsed)) {
            self.lapse_reported = None;
        }
        let ordered_runs = self.ordered_runs();
        self.refused.retain(|run, _| ordered_runs.contains(run));
        true
    }

    /// Records that the VM was suspended for `length`, which the clock of the agent does not count:
    /// what was granted or observed before is older by that time. Readings of the worker's clock stay,
    /// because the worker may have been suspended as well.
    pub fn record_suspension(&mut self, length: Duration) {
        let requests = self.listing_requests.values_mut();
        let granted = self.granted_lease.iter_mut().map(|(sent, _)| sent);
        let observed = self.answered_report.iter_mut().chain(&mut self.last_contact);
        for time in requests.chain(granted).chain(observed) {
            *time -= length;
        }
        self.updates.unconfirm();
    }

    /// Treats the starts in the first orders as sent without an answer, because an earlier process
    /// of this agent may have sent them.
    fn adopt_starts(&mut self, at: Instant, orders: &Orders) {
        let starts = orders.start.iter().map(StartOrder::key);
        for key in starts.chain(orders.held.iter().cloned()) {
            self.calls.entry(key.clone()).or_default().start_uncertain = true;
            self.late_starts.record(key, at);
        }
    }

    /// Returns the highest epoch that was received.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the calls to make now.
    pub fn actions(&mut self, now: Instant) -> Vec<AgentAction> {
        if !self.has_listing || self.has_left(now) {
            return Vec::new();
        }
        let mut actions = self.start_actions(now);
        actions.extend(self.stop_actions(now));
        actions.extend(self.pace_actions());
        actions
    }

    fn pace_actions(&mut self) -> Vec<AgentAction> {
        let sharing = self.listed_sharing();
        let changes = self.pacer.changes(&sharing, MAX_OPEN_CALLS.saturating_sub(self.open_paces));
        self.open_paces += changes.len();
        changes
            .into_iter()
            .map(|(task, run, percent)| AgentAction::Pace(task, run, percent))
            .collect()
    }

    /// Returns the runs that share the worker according to the orders and that the worker lists.
    fn listed_sharing(&self) -> Vec<SharingRun> {
        let listed = |run: &&SharingRun| self.running.contains_key(&(run.task.clone(), run.run));
        self.orders.sharing.iter().filter(listed).cloned().collect()
    }

    /// Reports whether filling and serving tasks share the worker, so that a listing should not
    /// wait long.
    pub fn is_shared(&self) -> bool {
        is_shared(&self.orders.sharing)
    }

    /// Handles the outcome of a change of speed. One that was not answered is repeated.
    pub fn handle_pace_answer(&mut self, task: &TaskId, run: u32, answered: bool) {
        self.open_paces = self.open_paces.saturating_sub(1);
        if !answered {
            self.pacer.record_unanswered(task, run);
        }
    }

    /// Handles the outcome of a start.
    pub fn handle_start_answer(
        &mut self,
        now: Instant,
        task: &TaskId,
        run: u32,
        answer: StartAnswer,
    ) {
        let key = (task.clone(), run);
        let calls = self.calls.entry(key.clone()).or_default();
        calls.starting = false;
        let unanswered = answer == StartAnswer::Unanswered;
        let delay = if unanswered { START_RETRY_DELAY } else { CALL_RETRY_DELAY };
        calls.start_after = Some(now + delay);
        match answer {
            // A run that was reported as lapsed is fenced, whatever the worker answers to its
            // start.
            _ if calls.reported_lapsed => calls.start_uncertain = true,
            StartAnswer::Started => {
                self.calls.remove(&key);
                let report =
                    RunReport { checkpoint: String::new(), percent: 0, run, task: task.clone() };
                self.running.entry(key).or_insert(report);
            }
            StartAnswer::Refused(kind) => {
                // An earlier start may be unanswered, or the run may have ended here. A stop and a
                // listing decide that before the refusal is reported.
                if calls.start_uncertain || kind == RefusalKind::Old {
                    calls.refusal = Some(kind);
                } else {
                    self.calls.remove(&key);
                    self.refused.insert(key, kind);
                }
            }
            StartAnswer::Late | StartAnswer::Outdated => {}
            StartAnswer::Down => self.record_down(),
            StartAnswer::Unanswered => {
                calls.start_uncertain = true;
                self.late_starts.record(key, now);
            }
        }
    }

    /// Handles the outcome of a stop.
    pub fn handle_stop_answer(&mut self, now: Instant, task: &TaskId, run: u32, answered: bool) {
        let last_call = self.last_call;
        let Some(calls) = self.calls.get_mut(&(task.clone(), run)) else { return };
        calls.stopping = false;
        calls.stop_after = Some(now + if answered { STOP_REPEAT_DELAY } else { CALL_RETRY_DELAY });
        if answered {
            // The first answer suffices; a later one must not demand a further listing.
            calls.fenced_at.get_or_insert(last_call);
        }
    }

    /// Records that no process listens at the worker's address. The worker counts as unreached until
    /// it answers a listing.
    pub fn record_down(&mut self) {
        self.down = true;
        self.gone |= self.is_leaving();
    }

    /// Returns the parameters of the next listing, which is an update if one is due and the worker is
    /// certain to be the current incarnation.
    pub fn next_renewal(&mut self, now: Instant) -> RenewalCall {
        self.last_call += 1;
        self.listing_requests.insert(self.last_call, now);
        let (epoch, number) = (self.epoch, self.last_call);
        let (acked, deadline_ms) = if self.is_update_due(now) {
            (self.unsent_ack().unwrap_or(0), self.deadline(now))
        } else {
            (0, None)
        };
        let call = RenewalCall { acked, deadline_ms, epoch, number };
        self.updates.record_call(number, call.is_update().then_some(acked));
        call
    }

    /// Reports whether the next listing is an update and need not be delayed.
    pub fn is_update_due(&self, now: Instant) -> bool {
        self.updates.is_confirmed(now) && self.has_pending_update(now)
    }

    /// Reports whether the worker should answer the next listing at once: the incarnation is not known,
    /// or an update waits for the answer.
    pub fn awaits_answer(&self, now: Instant) -> bool {
        !self.has_listing || self.has_pending_update(now)
    }

    fn has_pending_update(&self, now: Instant) -> bool {
        let extends = self.updates.is_extension_due(now) && self.lease_end(now).is_some();
        self.updates.is_safe(now) && (self.unsent_ack().is_some() || extends)
    }

    /// Returns the number up to which ends can be acknowledged, if the worker does not know it.
    fn unsent_ack(&self) -> Option<u64> {
        let stored = self.orders.ended_through;
        let is_current = self.orders.incarnation == self.incarnation;
        Some(stored).filter(|stored| is_current && *stored > self.updates.acked())
    }

    /// Handles a renewal call without an answer. `received` tells whether the worker may have received
    /// it.
    pub fn handle_failed_renewal(&mut self, now: Instant, number: u64, received: bool) {
        if received {
            self.updates.record_unanswered(now, number);
        } else {
            self.updates.record_unsent(number);
        }
    }

    /// Returns the end of the leases on the worker's clock for the next update or start, or `None` when
    /// no lease may be extended.
    pub fn deadline(&mut self, now: Instant) -> Option<u64> {
        let deadline = self.lease_end(now)?;
        self.latest_deadline =
            Some(self.latest_deadline.map_or(deadline, |latest| latest.max(deadline)));
        // Positive and far below 2^53.
        Some(deadline as u64)
    }

    /// Returns the end to which leases may be extended. A worker that does not answer gets no
    /// extensions, so that its leases are certain to lapse.
    fn lease_end(&self, now: Instant) -> Option<f64> {
        if !self.is_reached(now) || self.lapse_reported.is_some() || self.has_unordered_starts() {
            return None;
        }
        let (sent, lease) = self.granted_lease?;
        let clock = self.clock?;
        let limit = clock.earliest_at(sent) + lease.as_secs_f64() * 1000.0;
        let worker_now = clock.earliest_at(now);
        let deadline = limit.min(worker_now + self.limits.extension.as_secs_f64() * 1000.0).floor();
        (deadline > worker_now).then_some(deadline)
    }

    /// Handles the listing with which the worker answers the renewal call `number`.
    pub fn handle_listing(&mut self, now: Instant, number: u64, listing: &Listing) {
        if listing.incarnation < self.incarnation {
            return;
        }
        self.switch_incarnation(now, listing.incarnation);
        if self.status.is_none() {
            let confirmed = |status: &mut WorkerStatus| status.incarnation == listing.incarnation;
            self.status = self.announced.take_if(confirmed);
        }
        let unread = self.listing_requests.split_off(&(number + 1));
        let requested_at = std::mem::replace(&mut self.listing_requests, unread).remove(&number);
        self.last_contact =
            Some(requested_at.map_or(now, |requested_at| now.min(requested_at + LISTING_VALIDITY)));
        self.updates.record_answer(now, number, requested_at);
        let numbers: Vec<u64> = listing.ended.iter().map(|(number, _)| *number).collect();
        self.updates.record_ends(&numbers);
        self.unconfirmed_start = self.unconfirmed_start.filter(|call| *call >= number);
        self.has_listing = true;
        self.down = false;
        self.clock = Some(ClockReading { ms: listing.clock_ms as f64, received: now });
        self.running =
            listing.running.iter().map(|run| ((run.task.clone(), run.run), run.clone())).collect();
        let sharing = self.listed_sharing();
        self.pacer.observe(&sharing, &listing.readings);
        let acked =
            if self.orders.incarnation == self.incarnation { self.orders.ended_through } else { 0 };
        self.ended = listing.ended.iter().filter(|(number, _)| *number > acked).cloned().collect();
        self.late_starts.expire(now);
        self.ends_truncated = listing.ends_truncated;
        self.resolve_ended();
        if !self.ends_truncated {
            self.resolve_fenced(number);
        }
        let idle = self.calls.is_empty() && self.running.is_empty();
        self.fencing_earlier &= !idle;
        let after_leave = self.is_leaving() && number > self.leave_call;
        self.gone |= after_leave && idle && !self.ends_truncated;
    }

    /// Returns the time for which the current incarnation gets no work, because it may still carry out
    /// an update for an earlier one.
    pub fn held_time(&self, now: Instant) -> Duration {
        self.updates.held_time(now)
    }

    /// Returns the number of ends that the worker has forgotten unread since the last call.
    pub fn take_missing_ends(&mut self) -> u64 {
        self.updates.take_missing_ends()
    }

    /// Reports whether ends wait to be acknowledged. A further listing would repeat them.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Reports whether an answered stop waits for a later listing.
    pub fn awaits_listing(&self) -> bool {
        self.calls.values().any(|calls| calls.fenced_at.is_some())
    }

    /// Returns the report for the coordinator.
    pub fn report(&mut self, now: Instant) -> WorkerReport {
        let lapsed = self.is_lapsed(now);
        if lapsed {
            self.lapse_reported = Some(now);
            for calls in self.calls.values_mut().filter(|calls| calls.may_start()) {
                calls.reported_lapsed = true;
            }
        }
        let left = self.has_left(now);
        let usable = !self.fencing_earlier && self.updates.is_safe(now);
        let reportable = left || (self.has_listing && usable);
        let uncertain = self.calls.iter().filter(|(_, calls)| calls.start_uncertain);
        WorkerReport {
            agent: self.name.clone(),
            attempted: uncertain.map(|(run, _)| run.clone()).collect(),
            ended: self.ended.values().cloned().collect(),
            ended_through: self.ended.keys().next_back().copied().unwrap_or(0),
            ends_truncated: self.ends_truncated,
            inherited_lease: self.inherited_lease(now),
            lapsed,
            left,
            listed: reportable,
            pace: self.known_pace(),
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
            worker: if reportable { self.status.clone() } else { None },
        }
    }

    /// Returns what is known about the speed of the worker. A machine that is labelled otherwise than
    /// when it was learned may be another one.
    fn known_pace(&self) -> Option<WorkerPace> {
        let (pace, labels) = self.pace.as_ref()?;
        self.status.as_ref().is_some_and(|status| status.labels == *labels).then_some(*pace)
    }

    /// Returns the worker's status, also while it is not reported.
    pub fn status(&self) -> Option<&WorkerStatus> {
        self.status.as_ref()
    }

    /// Returns the time for which inherited leases may last, in full seconds, so that the report does
    /// not change all the time.
    fn inherited_lease(&self, now: Instant) -> Duration {
        let left = self.inherited_leases.map(|until| until.saturating_duration_since(now));
        left.filter(|left| !left.is_zero())
            .map_or(Duration::ZERO, |left| Duration::from_secs(left.as_secs() + 1))
    }

    /// Reports whether the worker is unreached and all its leases are certain to have lapsed.
    fn is_lapsed(&self, now: Instant) -> bool {
        if self.is_reached(now) || self.inherited_leases.is_some_and(|until| now <= until) {
            return false;
        }
        match (self.latest_deadline, self.clock) {
            (Some(deadline), Some(clock)) => clock.earliest_at(now) > deadline,
            _ => now > self.known_since + self.limits.longest.mul_f64(1.0 + MAX_CLOCK_DRIFT),
        }
    }

    /// Reports whether the worker may still carry out a start that the coordinator does not expect.
    /// The lease of such a start has expired unless the leases of the worker are extended first.
    fn has_unordered_starts(&self) -> bool {
        if self.calls.is_empty() {
            return false;
        }
        let ordered_runs = self.ordered_runs();
        let has_orders = !self.orders.worker.is_empty();
        self.calls.iter().any(|(run, calls)| {
            calls.may_start()
                && (calls.reported_lapsed || (has_orders && !ordered_runs.contains(run)))
        })
    }

    fn is_reached(&self, now: Instant) -> bool {
        let last_contact = self.last_contact.unwrap_or(self.known_since);
        !self.down && now.saturating_duration_since(last_contact) < UNREACHED_AFTER
    }

    fn switch_incarnation(&mut self, now: Instant, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        let is_first = self.incarnation == 0;
        if !is_first {
            self.fencing_earlier = true;
            self.calls.retain(|_, calls| calls.start_uncertain || calls.starting);
            for calls in self.calls.values_mut() {
                *calls = RunCalls {
                    start_uncertain: true,
                    starting: calls.starting,
                    ..RunCalls::default()
                };
            }
            self.late_starts.expire(now);
            self.inherit_leases(now);
            for run in self.late_starts.runs() {
                self.calls.entry(run.clone()).or_default().start_uncertain = true;
            }
        }
        self.incarnation = incarnation;
        self.clock = None;
        self.departure_stored = false;
        self.down = false;
        self.gone = false;
        self.ended.clear();
        self.ends_truncated = false;
        self.latest_deadline = None;
        self.lapse_reported = None;
        self.left_at = None;
        self.has_listing = false;
        self.orders = Orders::default();
        self.pacer = Pacer::new();
        self.last_contact = None;
        self.refused.clear();
        self.running.clear();
        self.known_since = now;
        self.status = None;
        self.updates.switch_incarnation(now, is_first);
    }

    /// Records until when leases may last in the current incarnation because it carries out starts for
    /// the earlier one. The deadline in a start is far in the future on the clock of a later
    /// incarnation, which starts anew.
    fn inherit_leases(&mut self, now: Instant) {
        let is_open = self.calls.values().any(|calls| calls.starting);
        let unanswered = self.late_starts.latest().max(is_open.then_some(now));
        let carried_out = unanswered.map(|at| at + LATE_CALL_LIMIT);
        let answered = self.unconfirmed_start.take().map(|_| now);
        let longest = self.limits.longest.mul_f64(1.0 + MAX_CLOCK_DRIFT);
        let until = carried_out.max(answered).map(|at| at + longest);
        self.inherited_leases = self.inherited_leases.max(until);
    }

    fn ordered_runs(&self) -> BTreeSet<RunKey> {
        let start = self.orders.start.iter().map(|order| (order.task.clone(), order.run));
        start
            .chain(self.orders.keep.iter().cloned())
            .chain(self.orders.stop.iter().cloned())
            .collect()
    }

    fn has_ended(&self, key: &RunKey) -> bool {
        self.ended.values().any(|end| end.task == key.0 && end.run == key.1)
    }

    fn start_actions(&mut self, now: Instant) -> Vec<AgentAction> {
        let valid = self.answered_report.is_some_and(|at| now < at + ORDERS_VALIDITY);
        let leases_uncertain = !self.is_reached(now) || self.lapse_reported.is_some();
        let unusable = self.fencing_earlier || !self.updates.is_safe(now);
        if unusable || !valid || leases_uncertain || self.has_unordered_starts() {
            return Vec::new();
        }
        if self.status.as_ref().is_some_and(|status| status.draining) {
            self.refuse_draining();
            return Vec::new();
        }
        let open = self.calls.values().filter(|calls| calls.starting).count();
        let mut due: Vec<(Option<Instant>, &StartOrder)> = Vec::new();
        for order in self.orders.start.iter().filter(|order| self.is_unsettled(&order.key())) {
            let calls = self.calls.get(&order.key());
            if calls.is_some_and(|calls| calls.starting || calls.refusal.is_some()) {
                continue;
            }
            let after = calls.and_then(|calls| calls.start_after);
            if after.is_none_or(|after| now >= after) {
                due.push((after, order));
            }
        }
        // Those that were tried last come last, so that unanswered starts do not hold up the others.
        due.sort_by_key(|(after, _)| *after);
        let sent: Vec<StartOrder> = due
            .into_iter()
            .take(MAX_OPEN_CALLS.saturating_sub(open))
            .map(|(_, order)| order.clone())
            .collect();
        for order in &sent {
            self.calls.entry(order.key()).or_default().starting = true;
            self.unconfirmed_start = Some(self.last_call);
        }
        sent.into_iter().map(AgentAction::Start).collect()
    }

    /// Reports whether a start may still have to be sent: the worker has not carried it out, ended it
    /// or refused it.
    fn is_unsettled(&self, run: &RunKey) -> bool {
        !self.running.contains_key(run) && !self.refused.contains_key(run) && !self.has_ended(run)
    }

    /// Refuses the starts on a draining worker. A start that may still be carried out is fenced first.
    fn refuse_draining(&mut self) {
        let runs: Vec<RunKey> = self.orders.start.iter().map(StartOrder::key).collect();
        for run in runs {
            if !self.is_unsettled(&run) {
                continue;
            }
            match self.calls.get_mut(&run) {
                None => {
                    self.refused.insert(run, RefusalKind::Fenced);
                }
                Some(calls) if !calls.starting => calls.refusal = Some(RefusalKind::Fenced),
                Some(_) => {}
            }
        }
    }

    fn stop_actions(&mut self, now: Instant) -> Vec<AgentAction> {
        let ordered_runs = self.ordered_runs();
        let stop_unordered = self.fencing_earlier || !self.orders.worker.is_empty();
        let unordered = self
            .running
            .keys()
            .chain(self.calls.keys())
            .filter(|run| stop_unordered && !ordered_runs.contains(*run));
        let refused =
            self.calls.iter().filter(|(_, calls)| calls.refusal.is_some() || calls.reported_lapsed);
        let runs: BTreeSet<RunKey> = unordered
            .chain(self.orders.stop.iter())
            .chain(refused.map(|(run, _)| run))
            .cloned()
            .collect();
        let open = self.calls.values().filter(|calls| calls.stopping).count();
        let mut due: Vec<(Option<Instant>, RunKey)> = Vec::new();
        for run in runs {
            if self.refused.contains_key(&run) || self.has_ended(&run) {
                continue;
            }
            let calls = self.calls.get(&run);
            let after = calls.and_then(|calls| calls.stop_after);
            if !calls.is_some_and(|calls| calls.stopping) && after.is_none_or(|after| now >= after)
            {
                due.push((after, run));
            }
        }
        due.sort();
        due.truncate(MAX_OPEN_CALLS.saturating_sub(open));
        let mut actions = Vec::new();
        for (_, run) in due {
            self.calls.entry(run.clone()).or_default().stopping = true;
            actions.push(AgentAction::Stop(run.0, run.1));
        }
        actions
    }

    /// Concludes the calls for runs whose end is listed, also if a stop had no answer: the worker
    /// starts no run of this number again. They are not stopped again, and an earlier incarnation
    /// counts as fenced only once there are no calls.
    fn resolve_ended(&mut self) {
        let ended: BTreeSet<RunKey> =
            self.ended.values().map(|end| (end.task.clone(), end.run)).collect();
        self.calls.retain(|run, calls| calls.starting || !ended.contains(run));
    }

    /// Concludes the runs whose stop was answered before the renewal call `number` was made and
    /// that the worker does not list. A run that is still ordered and has not ended counts as
    /// refused. The listing must contain all ends, since an end that it leaves out looks like a run
    /// that never started.
    fn resolve_fenced(&mut self, number: u64) {
        let ordered_runs = self.ordered_runs();
        let resolved: Vec<(RunKey, RunCalls)> = self
            .calls
            .iter()
            .filter(|(run, calls)| {
                calls.fenced_at.is_some_and(|call| call < number)
                    && !calls.starting
                    && !self.running.contains_key(*run)
            })
            .map(|(run, calls)| (run.clone(), *calls))
            .collect();
        for (run, calls) in resolved {
            self.calls.remove(&run);
            if !self.has_ended(&run) && ordered_runs.contains(&run) {
                self.refused.insert(run, calls.refusal.unwrap_or(RefusalKind::Fenced));
            }
        }
    }
}
