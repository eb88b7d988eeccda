use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use tokio::sync::oneshot;

/// How long the result of an attempt is kept for an entry that sends the attempt again over a new
/// connection, counted from the end of the attempt or of its time budget, whichever is later. An
/// entry stops sending when the budget is used up. The owner of an idempotency key asks about an
/// attempt for up to 10 minutes; an attempt that was forgotten by then would count as not run.
const RETENTION: Duration = Duration::from_secs(660);

/// Bounds the memory of recorded answers. The record of an attempt stays when its answer is
/// dropped: an attempt that was forgotten would run again when it is sent again.
const RETAINED_BYTES: usize = 16 * 1024 * 1024;

/// What is known of one attempt.
#[derive(Debug)]
enum Attempt {
    /// It was never received and will be refused if it arrives.
    Barred,
    Ended(v1::RunReply),
    Running {
        until: Instant,
        waiters: Vec<oneshot::Sender<v1::RunReply>>,
    },
}

/// Whether a received attempt is to be run.
#[derive(Debug)]
pub enum Received {
    /// It has ended or was barred; this is its result.
    Ended(v1::RunReply),
    /// It is new; run it.
    New,
    /// It runs already; the sender was added to those who wait for the result.
    Running,
}

/// Deduplicates attempts by id, so that an attempt that is sent twice runs once.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Bodies held, oldest first, with their sizes.
    answers: VecDeque<(String, usize)>,
    attempts: HashMap<String, Attempt>,
    bytes: usize,
    /// Attempts that do not run, by the time when they may be forgotten.
    ended: BTreeSet<(Instant, String)>,
}

impl Attempts {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an attempt. `waiter` is kept unless the attempt is new or has ended, in which cases
    /// it is handed back.
    pub fn receive(
        &mut self,
        id: &str,
        waiter: oneshot::Sender<v1::RunReply>,
    ) -> (Received, Option<oneshot::Sender<v1::RunReply>>) {
        match self.attempts.get_mut(id) {
            None => (Received::New, Some(waiter)),
            Some(Attempt::Barred) => (
                Received::Ended(not_run(id, v1::Refusal::Barred, "a lookup barred the attempt")),
                Some(waiter),
            ),
            Some(Attempt::Ended(reply)) => (Received::Ended(reply.clone()), Some(waiter)),
            Some(Attempt::Running { waiters, .. }) => {
                waiters.push(waiter);
                (Received::Running, None)
            }
        }
    }

    /// Records that a new attempt runs, with the first of those who wait for it. Its entry may send
    /// it again until `until`.
    pub fn start(&mut self, id: &str, until: Instant, waiter: oneshot::Sender<v1::RunReply>) {
        let running = Attempt::Running { until, waiters: vec![waiter] };
        self.attempts.insert(id.to_owned(), running);
    }

    /// Answers those who wait now, without ending the attempt: its budget is used up, but the
    /// upstream still works on it.
    pub fn time_out(&mut self, id: &str, reply: &v1::RunReply) {
        if let Some(Attempt::Running { waiters, .. }) = self.attempts.get_mut(id) {
            answer(std::mem::take(waiters), reply);
        }
    }

    /// Records the result of an attempt and answers those who wait.
    pub fn end(&mut self, id: &str, reply: &v1::RunReply, now: Instant) {
        let previous = self.attempts.insert(id.to_owned(), Attempt::Ended(reply.clone()));
        let mut until = now;
        if let Some(Attempt::Running { until: last, waiters }) = previous {
            answer(waiters, reply);
            until = until.max(last);
        }
        self.retain(id, until);
        if let Some(response) = &reply.response {
            self.bytes += response.body.len();
            self.answers.push_back((id.to_owned(), response.body.len()));
            self.drop_answers();
        }
    }

    /// Records that a new attempt was refused, so that a copy of it that arrives later is refused
    /// as well: its entry has been told that it was not run.
    pub fn refuse(&mut self, id: &str, reply: &v1::RunReply, until: Instant) {
        self.attempts.insert(id.to_owned(), Attempt::Ended(reply.clone()));
        self.retain(id, until);
    }

    /// Returns the state of an attempt. One that was never received is barred from now on, so that
    /// the caller may rely on it not having run.
    pub fn look_up(&mut self, id: &str, now: Instant) -> v1::LookupReply {
        use v1::lookup_reply::State;
        let (state, reply) = match self.attempts.get(id) {
            Some(Attempt::Ended(reply)) => (State::Ended, Some(reply.clone())),
            Some(Attempt::Running { .. }) => (State::Running, None),
            Some(Attempt::Barred) => (State::Barred, None),
            None => {
                self.attempts.insert(id.to_owned(), Attempt::Barred);
                self.retain(id, now);
                (State::Barred, None)
            }
        };
        v1::LookupReply { state: state.into(), reply }
    }

    /// Forgets attempts whose retention time has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended.first()
            && *at <= now
            && let Some((_, id)) = self.ended.pop_first()
        {
            self.attempts.remove(&id);
        }
        while let Some((id, size)) = self.answers.front()
            && !self.attempts.contains_key(id)
        {
            self.bytes -= size;
            self.answers.pop_front();
        }
    }

    fn retain(&mut self, id: &str, until: Instant) {
        self.ended.insert((until + RETENTION, id.to_owned()));
    }

    fn drop_answers(&mut self) {
        while self.bytes > RETAINED_BYTES
            && let Some((id, size)) = self.answers.pop_front()
        {
            self.bytes -= size;
            if let Some(Attempt::Ended(reply)) = self.attempts.get_mut(&id) {
                *reply = unknown(&id, "the attempt ran, and its answer is no longer held");
            }
        }
    }
}

fn answer(waiters: Vec<oneshot::Sender<v1::RunReply>>, reply: &v1::RunReply) {
    for waiter in waiters {
        // The entry may have gone; the result stays recorded.
        let _ = waiter.send(reply.clone());
    }
}

/// Returns the reply that states that an attempt was not run.
pub fn not_run(attempt: &str, refusal: v1::Refusal, reason: &str) -> v1::RunReply {
    v1::RunReply {
        attempt: attempt.to_owned(),
        outcome: v1::Outcome::NotRun.into(),
        reason: reason.to_owned(),
        response: None,
        refusal: refusal.into(),
    }
}

/// Returns the reply for an attempt that may or may not have run.
pub fn unknown(attempt: &str, reason: &str) -> v1::RunReply {
    v1::RunReply {
        attempt: attempt.to_owned(),
        outcome: v1::Outcome::Unknown.into(),
        reason: reason.to_owned(),
        response: None,
        refusal: v1::Refusal::Unspecified.into(),
    }
}
