use std::time::Duration;

use tokio::sync::oneshot;

use crate::calls::{JobAnswer, JobCall};

struct HeldCall {
    call: JobCall,
    received_at: Duration,
    reply: oneshot::Sender<JobAnswer>,
}

/// Calls whose answer is true only while this entry leads. Each waits for a call to the store that
/// confirms the leadership and was sent after it arrived: whatever another leader has accepted before
/// the call would have ended this leadership.
#[derive(Default)]
pub struct HeldCalls {
    calls: Vec<HeldCall>,
}

impl HeldCalls {
    /// Returns no calls.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a call that arrived at `received_at`.
    pub fn add(&mut self, call: JobCall, received_at: Duration, reply: oneshot::Sender<JobAnswer>) {
        self.calls.push(HeldCall { call, received_at, reply });
    }

    /// Returns the memory of the submissions among the calls.
    pub fn submitted_bytes(&self) -> usize {
        self.calls.iter().map(|held| held.call.memory_bytes()).sum()
    }

    /// Reports whether a call has arrived since the confirmation that was sent at `confirmed_at`.
    pub fn is_waiting(&self, confirmed_at: Duration) -> bool {
        self.calls.iter().any(|held| held.received_at > confirmed_at)
    }

    /// Removes and returns the calls that the confirmation sent at `confirmed_at` covers. Callers that
    /// have left are forgotten.
    pub fn take_confirmed(
        &mut self,
        confirmed_at: Duration,
    ) -> Vec<(JobCall, oneshot::Sender<JobAnswer>)> {
        self.calls.retain(|held| !held.reply.is_closed());
        let confirmed = self.calls.extract_if(.., |held| held.received_at <= confirmed_at);
        confirmed.map(|held| (held.call, held.reply)).collect()
    }

    /// Gives up all calls: the store does not confirm the leadership.
    pub fn give_up(&mut self) {
        for held in self.calls.drain(..) {
            // Sending fails when the caller has left, which needs no handling.
            let _ = held.reply.send(JobAnswer::NotLeading);
        }
    }
}
