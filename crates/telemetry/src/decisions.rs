use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Event;

/// One decision about a request, job, worker or upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// When it was made.
    pub at: Instant,
    /// What happened.
    pub event: Event,
    /// The request, job or member that it concerns.
    pub id: String,
    /// Why, in words for an operator.
    pub detail: String,
}

/// Bounded record of a process's own decisions; the oldest are dropped first.
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

    /// Records a decision and writes its log line.
    pub fn record(&self, at: Instant, event: Event, id: &str, detail: &str) {
        tracing::info!(code = event.code(), event = event.name(), id, detail);
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= self.limit {
            ring.pop_front();
        }
        ring.push_back(Decision { at, event, id: id.to_owned(), detail: detail.to_owned() });
    }

    /// Returns the decisions about `id` and about its parts, whose ids continue with a dot, oldest
    /// first, each with its age at `now`.
    pub fn explain(&self, id: &str, now: Instant) -> Vec<(Duration, Decision)> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter()
            .filter(|decision| {
                let rest = decision.id.strip_prefix(id);
                rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
            })
            .map(|decision| (now.saturating_duration_since(decision.at), decision.clone()))
            .collect()
    }
}
