use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Event;

/// One decision about a request, job, worker or upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// Time of the decision.
    pub at: Instant,
    /// Kind of the decision.
    pub event: Event,
    /// Id of the request, job, worker or upstream concerned.
    pub id: String,
    /// Reason, as text for an operator.
    pub detail: String,
}

/// Bounded record of the decisions of this process. When it is full, the oldest decision is
/// dropped.
#[derive(Debug)]
pub struct Decisions {
    limit: usize,
    ring: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Returns an empty record that keeps the last `limit` decisions.
    pub fn new(limit: usize) -> Self {
        Self { limit, ring: Mutex::new(VecDeque::new()) }
    }

    /// Writes the log line of an observation, which is repeated and therefore not kept.
    pub fn log(&self, event: Event, id: &str, detail: &str) {
        tracing::info!(code = event.code(), event = event.name(), id, detail);
    }

    /// Records a decision and writes its log line.
    pub fn record(&self, at: Instant, event: Event, id: &str, detail: &str) {
        self.log(event, id, detail);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= self.limit {
            ring.pop_front();
        }
        ring.push_back(Decision { at, event, id: id.to_owned(), detail: detail.to_owned() });
    }

    /// Returns the decisions about `id` and about its parts, oldest first, each with its age at
    /// `now`. The id of a part is `id` followed by a dot and a suffix.
    pub fn explain(&self, id: &str, now: Instant) -> Vec<(Duration, Decision)> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter()
            .filter(|decision| {
                let suffix = decision.id.strip_prefix(id);
                suffix.is_some_and(|suffix| suffix.is_empty() || suffix.starts_with('.'))
            })
            .map(|decision| (now.saturating_duration_since(decision.at), decision.clone()))
            .collect()
    }
}
