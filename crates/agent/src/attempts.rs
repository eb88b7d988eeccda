use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;
use tokio::sync::oneshot;

/// Time for which the result of an attempt is kept, counted from the end of the attempt or the end
/// of its time budget, whichever is later. An entry may send the attempt again over a new
/// connection until the budget is used up. The owner of an idempotency key looks an attempt up for
/// as long as 10 minutes; an attempt whose record was removed earlier would be reported as not run.
const RESULT_RETENTION: Duration = Duration::from_secs(660);

/// Limit on the total size of the recorded answers. When it is exceeded, the oldest answers are
/// dropped, but the records of their attempts stay: an attempt without a record would run a second
/// time if its entry sent it again.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// State of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The attempt was looked up before it was received. It is refused if it arrives.
    Barred,
    /// The attempt ended or was refused, with this result.
    Ended(v1::RunReply),
    /// The upstream is processing the attempt.
    Running { budget_end: Instant, waiters: Vec<oneshot::Sender<v1::RunReply>> },
}

/// What to do with a received attempt.
#[derive(Debug)]
pub enum Received {
    /// The attempt has ended, was refused or is barred. Send this result to the caller.
    Ended(v1::RunReply),
    /// The attempt is new. Admit it or refuse it.
    New,
    /// The attempt is already running. The sender was added to the waiters for its result.
    Running,
}

/// Deduplicates attempts by id, so that an attempt that is sent several times runs only once.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Attempts whose answers are recorded, oldest first, with the sizes of the bodies.
    answers: VecDeque<(String, usize)>,
    attempts: HashMap<String, Attempt>,
    body_bytes: usize,
    /// Attempts that are not running, ordered by the time at which their records are removed.
    expirations: BTreeSet<(Instant, String)>,
}

impl Attempts {
    /// Returns an empty set of attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Classifies a received attempt. If the attempt is running, `waiter` is stored and receives
    /// the result later; otherwise it is returned to the caller.
    pub fn receive(
        &mut self,
        id: &str,
        waiter: oneshot::Sender<v1::RunReply>,
    ) -> (Received, Option<oneshot::Sender<v1::RunReply>>) {
        match self.attempts.get_mut(id) {
            None => (Received::New, Some(waiter)),
            Some(Attempt::Barred) => (
                Received::Ended(not_run(id, v1::Refusal::Barred, "barred by an earlier lookup")),
                Some(waiter),
            ),
            Some(Attempt::Ended(reply)) => (Received::Ended(reply.clone()), Some(waiter)),
            Some(Attempt::Running { waiters, .. }) => {
                waiters.push(waiter);
                (Received::Running, None)
            }
        }
    }

    /// Records that a new attempt is running, with its first waiter. Its entry may send it again
    /// until `budget_end`.
    pub fn start(&mut self, id: &str, budget_end: Instant, waiter: oneshot::Sender<v1::RunReply>) {
        let running = Attempt::Running { budget_end, waiters: vec![waiter] };
        self.attempts.insert(id.to_owned(), running);
    }

    /// Sends `reply` to the current waiters without ending the attempt: its time budget is used up,
    /// but the upstream is still processing it.
    pub fn time_out(&mut self, id: &str, reply: &v1::RunReply) {
        if let Some(Attempt::Running { waiters, .. }) = self.attempts.get_mut(id) {
            send_to_waiters(std::mem::take(waiters), reply);
        }
    }

    /// Records the result of an attempt and sends it to the waiters.
    pub fn end(&mut self, id: &str, reply: &v1::RunReply, now: Instant) {
        let previous = self.attempts.insert(id.to_owned(), Attempt::Ended(reply.clone()));
        let mut retained_from = now;
        if let Some(Attempt::Running { budget_end: end, waiters }) = previous {
            send_to_waiters(waiters, reply);
            retained_from = retained_from.max(end);
        }
        self.schedule_expiry(id, retained_from);
        if let Some(response) = &reply.response {
            self.body_bytes += response.body.len();
            self.answers.push_back((id.to_owned(), response.body.len()));
            self.drop_oldest_answers();
        }
    }

    /// Records that a new attempt was refused. A copy that arrives later gets the same reply,
    /// because the entry has been told that the attempt was not run.
    pub fn refuse(&mut self, id: &str, reply: &v1::RunReply, budget_end: Instant) {
        self.attempts.insert(id.to_owned(), Attempt::Ended(reply.clone()));
        self.schedule_expiry(id, budget_end);
    }

    /// Returns the state of an attempt. An attempt that was never received is barred from then on,
    /// so that the caller can rely on the reply that it has not run and never will.
    pub fn look_up(&mut self, id: &str, now: Instant) -> v1::LookupReply {
        use v1::lookup_reply::State;
        let (state, reply) = match self.attempts.get(id) {
            Some(Attempt::Ended(reply)) => (State::Ended, Some(reply.clone())),
            Some(Attempt::Running { .. }) => (State::Running, None),
            Some(Attempt::Barred) => (State::Barred, None),
            None => {
                self.attempts.insert(id.to_owned(), Attempt::Barred);
                self.schedule_expiry(id, now);
                (State::Barred, None)
            }
        };
        v1::LookupReply { state: state.into(), reply }
    }

    /// Removes the records of attempts whose retention time has passed.
    pub fn expire(&mut self, now: Instant) {
        while let Some((expires_at, _)) = self.expirations.first()
            && *expires_at <= now
            && let Some((_, id)) = self.expirations.pop_first()
        {
            self.attempts.remove(&id);
        }
        while let Some((id, size)) = self.answers.front()
            && !self.attempts.contains_key(id)
        {
            self.body_bytes -= size;
            self.answers.pop_front();
        }
    }

    fn schedule_expiry(&mut self, id: &str, retained_from: Instant) {
        self.expirations.insert((retained_from + RESULT_RETENTION, id.to_owned()));
    }

    fn drop_oldest_answers(&mut self) {
        while self.body_bytes > MAX_ANSWER_BYTES
            && let Some((id, size)) = self.answers.pop_front()
        {
            self.body_bytes -= size;
            if let Some(Attempt::Ended(reply)) = self.attempts.get_mut(&id) {
                *reply = unknown(&id, "the attempt ran, but its answer was dropped to free memory");
            }
        }
    }
}

fn send_to_waiters(waiters: Vec<oneshot::Sender<v1::RunReply>>, reply: &v1::RunReply) {
    for waiter in waiters {
        // The waiter may have been dropped, for example because its entry disconnected. The result
        // stays recorded.
        let _ = waiter.send(reply.clone());
    }
}

/// Returns the reply for an attempt that was not run.
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
