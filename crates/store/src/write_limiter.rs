use std::collections::VecDeque;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::WriteClass;

/// Limits of the writes of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// Writes that may be sent at once after an idle time, at least 1.
    pub burst: u32,
    /// Writes that may wait per class.
    pub max_queued: usize,
    /// Writes per second, above 0.
    pub rate: f64,
    /// Longest time that a write waits.
    pub max_wait: Duration,
}

impl Default for LimiterSettings {
    /// The store sustains several hundred writes a second; 20 for each of 12 entries stay below.
    fn default() -> Self {
        Self { burst: 20, max_queued: 256, rate: 20.0, max_wait: Duration::from_secs(30) }
    }
}

/// A write was refused because too many of its class wait.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{waiting} writes wait")]
pub struct QueueFull {
    /// Number of waiting writes.
    pub waiting: usize,
}

/// What a limiter decided; tickets are those that [`WriteLimiter::request`] returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimiterDecision {
    /// Writes to send now, in this order.
    pub granted: Vec<u64>,
    /// Writes that waited too long and must not be sent.
    pub expired: Vec<u64>,
    /// When to poll again; `None` when nothing waits.
    pub next: Option<Instant>,
}

/// Token bucket over all writes of a process, shared between the classes by weight: while several
/// classes wait, each gets at least its weight's part of the rate, so that a burst of one does not
/// starve the others. Within a class, writes go in order. No I/O and no clock.
#[derive(Clone, Debug)]
pub struct WriteLimiter {
    classes: [Class; WriteClass::ALL.len()],
    refilled: Instant,
    settings: LimiterSettings,
    tickets: u64,
    tokens: f64,
    /// Start tag of the last grant; a class that becomes busy starts from here.
    virtual_time: f64,
}

#[derive(Clone, Debug, Default)]
struct Class {
    /// Start tag of the next grant.
    tag: f64,
    waiting: VecDeque<Waiting>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Instant,
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
        let class = &mut self.classes[class.index()];
        if class.waiting.len() >= self.settings.max_queued {
            return Err(QueueFull { waiting: class.waiting.len() });
        }
        if class.waiting.is_empty() {
            class.tag = class.tag.max(virtual_time);
        }
        self.tickets += 1;
        class.waiting.push_back(Waiting { since: now, ticket: self.tickets });
        Ok(self.tickets)
    }

    /// Returns the token of a granted write that was not sent.
    pub fn return_token(&mut self) {
        self.tokens = (self.tokens + 1.0).min(f64::from(self.settings.burst));
    }

    /// Grants what the rate allows and drops what has waited too long.
    pub fn poll(&mut self, now: Instant) -> LimiterDecision {
        let mut polled = LimiterDecision::default();
        self.expire(now, &mut polled);
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let refill = elapsed * self.settings.rate;
        self.tokens = (self.tokens + refill).min(f64::from(self.settings.burst));
        self.refilled = now;
        // A rounding error below one nanosecond of refill must not delay a grant.
        while self.tokens >= 1.0 - 1e-9 {
            let Some(ticket) = self.take() else { break };
            self.tokens -= 1.0;
            polled.granted.push(ticket);
        }
        polled.next = self.next(now);
        polled
    }

    /// Takes the first write of the class with the lowest tag; the more important one on a tie.
    fn take(&mut self) -> Option<u64> {
        let busy = WriteClass::ALL.iter().filter(|class| !self.class(**class).waiting.is_empty());
        let next = *busy.min_by(|a, b| self.class(**a).tag.total_cmp(&self.class(**b).tag))?;
        let class = &mut self.classes[next.index()];
        self.virtual_time = class.tag;
        class.tag += 1.0 / f64::from(next.weight());
        class.waiting.pop_front().map(|waiting| waiting.ticket)
    }

    fn expire(&mut self, now: Instant, polled: &mut LimiterDecision) {
        for class in &mut self.classes {
            while let Some(first) = class.waiting.front() {
                if now < first.since + self.settings.max_wait {
                    break;
                }
                polled.expired.push(first.ticket);
                class.waiting.pop_front();
            }
        }
    }

    fn next(&self, now: Instant) -> Option<Instant> {
        let fronts = self.classes.iter().filter_map(|class| class.waiting.front());
        let expiry = fronts.map(|first| first.since + self.settings.max_wait).min()?;
        let refill = (1.0 - self.tokens).max(0.0) / self.settings.rate;
        // Rounded up, so that the token is there when the time comes.
        let refill = Duration::from_secs_f64(refill) + Duration::from_nanos(1);
        Some(expiry.min(now + refill))
    }

    fn class(&self, class: WriteClass) -> &Class {
        &self.classes[class.index()]
    }
}
