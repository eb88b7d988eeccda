use std::time::{Duration, Instant};

use crate::late_starts::LATE_CALL_LIMIT;

/// Interval at which leases are extended.
const EXTENSION_INTERVAL: Duration = Duration::from_millis(900);

/// Time after the answer to a listing within which an update may follow it. A worker takes longer to
/// start again.
const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(50);

/// Longest time between the request of a listing and its answer that confirms the incarnation: the
/// wait of a listing and a round trip. An answer that was read later may have waited unread.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1200);

/// Calls that acknowledge ends or extend leases at a worker.
///
/// Such an update is meant for one incarnation, because the numbers of ends and the clock start anew
/// with each. A worker that starts again under its id carries out updates that were meant for the
/// earlier incarnation: it forgets ends that nobody has read, and its leases last longer than its
/// agent knows. So an update is sent only directly after an answer of the incarnation, and listings,
/// which may be open for a second, contain none. An update without an answer may still be carried
/// out later, so that the next incarnation is not safe to use for a time.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// Highest number of an end whose acknowledgement the current incarnation has answered.
    acked: u64,
    /// When the current incarnation answered a listing, until the next call is sent.
    confirmed: Option<Instant>,
    /// When the leases of the current incarnation were extended.
    extended: Option<Instant>,
    /// Highest number of an end that the current incarnation has listed; `None` while it is not known
    /// which ends it listed before.
    last_end: Option<u64>,
    /// Number of ends that the current incarnation has forgotten unread.
    missing_ends: u64,
    /// Number of the renewal call of the open update, and the number that it acknowledges.
    open: Option<(u64, u64)>,
    /// When the current incarnation can be used.
    safe_from: Option<Instant>,
    /// When the last update without an answer ended.
    unanswered: Option<Instant>,
}

impl Updates {
    /// Returns the state before the first call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the highest number of an end whose acknowledgement was answered.
    pub fn acked(&self) -> u64 {
        self.acked
    }

    /// Returns the time for which the current incarnation cannot be used yet.
    pub fn held_time(&self, now: Instant) -> Duration {
        self.safe_from.map_or(Duration::ZERO, |from| from.saturating_duration_since(now))
    }

    /// Records the numbers of the ends in a listing, which are assigned one after the other.
    pub fn record_ends(&mut self, numbers: &[u64]) {
        let (Some(first), Some(last)) = (numbers.iter().min(), numbers.iter().max()) else {
            return;
        };
        if let Some(known) = self.last_end {
            self.missing_ends += first.saturating_sub(known + 1);
        }
        self.last_end = self.last_end.max(Some(*last));
    }

    /// Returns the number of ends that were forgotten unread since the last call.
    pub fn take_missing_ends(&mut self) -> u64 {
        std::mem::take(&mut self.missing_ends)
    }

    /// Reports whether the leases should be extended again.
    pub fn is_extension_due(&self, now: Instant) -> bool {
        self.extended.is_none_or(|extended| now >= extended + EXTENSION_INTERVAL)
    }

    /// Reports whether the worker is certain to be the current incarnation still.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed.is_some_and(|confirmed| now <= confirmed + CONFIRMATION_VALIDITY)
    }

    /// Reports whether no update for an earlier incarnation can reach the current one any more.
    pub fn is_safe(&self, now: Instant) -> bool {
        self.safe_from.is_none_or(|safe_from| now >= safe_from)
    }

    /// Records that a renewal call is sent; with the number that it acknowledges if it is an update.
    pub fn record_call(&mut self, number: u64, update: Option<u64>) {
        self.confirmed = None;
        self.open = update.map(|acked| (number, acked));
    }

    /// Records the answer of the current incarnation to the renewal call `number`.
    pub fn record_answer(&mut self, now: Instant, number: u64, requested: Option<Instant>) {
        if let Some((_, acked)) = self.open.take_if(|(open, _)| *open == number) {
            self.acked = self.acked.max(acked);
            self.extended = Some(now);
            return;
        }
        let is_prompt = requested.is_some_and(|requested| now <= requested + MAX_ANSWER_TIME);
        self.confirmed = Some(now).filter(|_| is_prompt);
    }

    /// Records that the renewal call `number` had no answer, although the worker may have received it.
    pub fn record_unanswered(&mut self, now: Instant, number: u64) {
        if self.open.take_if(|(open, _)| *open == number).is_some() {
            self.unanswered = Some(now);
        }
    }

    /// Records that the worker did not receive the renewal call `number`.
    pub fn record_unsent(&mut self, number: u64) {
        self.open.take_if(|(open, _)| *open == number);
    }

    /// Forgets that the worker was the current incarnation: the VM was suspended in the meantime.
    pub fn unconfirm(&mut self) {
        self.confirmed = None;
    }

    /// Records that a later incarnation is the current one. `is_first` tells whether no earlier one is
    /// known, so that this one may have listed ends before.
    pub fn switch_incarnation(&mut self, now: Instant, is_first: bool) {
        if self.open.is_some() {
            self.unanswered = Some(now);
        }
        let safe_from = self.unanswered.map(|unanswered| unanswered + LATE_CALL_LIMIT);
        let last_end = (!is_first).then_some(0);
        *self = Self { last_end, safe_from, unanswered: self.unanswered, ..Self::new() };
    }
}
