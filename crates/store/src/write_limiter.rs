use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::WriteClass;

/// Limits for the writes of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Writes that may be sent at once after an idle period, at least 1.
    pub burst: u32,
    /// Maximum number of queued writes per class.
    pub max_queued: usize,
    /// Writes per second, above 0.
    pub rate: f64,
    /// Maximum time for which a write is queued.
    pub max_wait: Duration,
}

impl Default for LimiterSettings {
    /// The store sustains several hundred writes per second. 20 writes per second from each of 12
    /// entries (240 in total) stay below that.
    fn default() -> Self {
        Self { burst: 20, max_queued: 256, rate: 20.0, max_wait: Duration::from_secs(30) }
    }
}

/// A write was refused because the queue of its class is full.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{waiting} writes of the class are queued, which is the limit")]
pub struct QueueFull {
    /// Number of queued writes.
    pub waiting: usize,
}

/// Decision of a limiter about queued writes, which are identified by the tickets that
/// [`WriteLimiter::request`] returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimiterDecision {
    /// Writes to send now, in this order.
    pub granted: Vec<u64>,
    /// Writes that were queued for longer than [`LimiterSettings::max_wait`] and must not be sent.
    pub expired: Vec<u64>,
    /// When to poll again; `None` when no write is queued.
    pub next: Option<Instant>,
}

/// Token bucket for all writes of a process with weighted fair queueing between the classes.
///
/// While writes of several classes are queued, each of these classes gets at least its weighted
/// share of the rate, so that a burst of one class does not starve the others. Within a class,
/// writes are granted in the order of their requests. The limiter performs no I/O and reads no
/// clock.
#[derive(Clone, Debug)]
pub struct WriteLimiter {
    classes: [ClassQueue; WriteClass::ALL.len()],
    /// Time up to which tokens have been added.
    refilled: Instant,
    settings: LimiterSettings,
    /// Number of tickets issued; the last ticket.
    tickets: u64,
    tokens: f64,
    /// Start tag of the last grant. A class that was idle continues from this tag, so that it gets no
    /// credit for its idle time.
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct ClassQueue {
    /// Start tag of the next grant.
    tag: f64,
    waiting: VecDeque<QueuedWrite>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedWrite {
    queued_at: Instant,
    ticket: u64,
}

impl WriteLimiter {
    /// Returns a limiter with a full bucket.
    pub fn new(now: Instant, settings: LimiterSettings) -> Self {
        Self {
            classes: Default::default(),
            refilled: now,
            settings,
            tickets: 0,
            tokens: f64::from(settings.burst),
            virtual_time: 0.0,
        }
    }

    /// Queues a write and returns its ticket.
    pub fn request(&mut self, now: Instant, class: WriteClass) -> Result<u64, QueueFull> {
        let virtual_time = self.virtual_time;
        let queue = &mut self.classes[class.index()];
        if queue.waiting.len() >= self.settings.max_queued {
            return Err(QueueFull { waiting: queue.waiting.len() });
        }
        if queue.waiting.is_empty() {
            queue.tag = queue.tag.max(virtual_time);
        }
        self.tickets += 1;
        queue.waiting.push_back(QueuedWrite { queued_at: now, ticket: self.tickets });
        Ok(self.tickets)
    }

    /// Adds the token of a granted write that was not sent back to the bucket.
    pub fn return_token(&mut self) {
        self.tokens = (self.tokens + 1.0).min(f64::from(self.settings.burst));
    }

    /// Grants the writes that the rate allows and removes those that were queued for too long.
    pub fn poll(&mut self, now: Instant) -> LimiterDecision {
        let mut decision = LimiterDecision::default();
        self.expire(now, &mut decision);
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let refill = elapsed * self.settings.rate;
        self.tokens = (self.tokens + refill).min(f64::from(self.settings.burst));
        self.refilled = now;
        // Tolerates a rounding error of less than one nanosecond of refill, which must not delay a
        // grant.
        while self.tokens >= 1.0 - 1e-9 {
            let Some(ticket) = self.grant_next() else { break };
            self.tokens -= 1.0;
            decision.granted.push(ticket);
        }
        decision.next = self.next_poll(now);
        decision
    }

    /// Removes and returns the first write of the class with the lowest start tag; of the more
    /// important class when tags are equal.
    fn grant_next(&mut self) -> Option<u64> {
        let backlogged =
            WriteClass::ALL.iter().filter(|class| !self.queue(**class).waiting.is_empty());
        let next =
            *backlogged.min_by(|a, b| self.queue(**a).tag.total_cmp(&self.queue(**b).tag))?;
        let queue = &mut self.classes[next.index()];
        self.virtual_time = queue.tag;
        queue.tag += 1.0 / f64::from(next.weight());
        queue.waiting.pop_front().map(|write| write.ticket)
    }

    fn expire(&mut self, now: Instant, decision: &mut LimiterDecision) {
        for queue in &mut self.classes {
            while let Some(first) = queue.waiting.front() {
                if now < first.queued_at + self.settings.max_wait {
                    break;
                }
                decision.expired.push(first.ticket);
                queue.waiting.pop_front();
            }
        }
    }

    fn next_poll(&self, now: Instant) -> Option<Instant> {
        let fronts = self.classes.iter().filter_map(|queue| queue.waiting.front());
        let expiry = fronts.map(|first| first.queued_at + self.settings.max_wait).min()?;
        let refill = (1.0 - self.tokens).max(0.0) / self.settings.rate;
        // Rounded up, so that the token is available at the returned time.
        let refill = Duration::from_secs_f64(refill) + Duration::from_nanos(1);
        Some(expiry.min(now + refill))
    }

    fn queue(&self, class: WriteClass) -> &ClassQueue {
        &self.classes[class.index()]
    }
}
