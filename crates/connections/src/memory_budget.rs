use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::RequestLimits;

/// Memory that a connection holds once it has sent a byte: the least read buffer of hyper.
pub(crate) const BASE_BYTES: usize = 8192;

/// Minimum rate of a body in bytes per second. Clients on slow links send more.
const MIN_BODY_RATE: f64 = 4096.0;

/// After the process has not run for this time, the rate of a body before it says nothing about the
/// client.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// A longer time between two checks means that the process did not run. It could not receive anything
/// then, so that the time does not count.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A body below the minimum rate for this time counts as stalled.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A connection on which nothing was received, or could be sent, for this time counts as stalled.
const SILENCE: Duration = Duration::from_secs(2);

/// Longest time for which a connection is read after its last answer. A body of the default limit takes
/// this time at 26 KB/s.
const MAX_CLOSING: Duration = Duration::from_secs(10);

/// Time between two checks. Longer pauses count as one of them.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a head that is not complete yields to others. Ordinary clients send it in one piece.
const LONG_HEAD: Duration = Duration::from_secs(2);

/// Time after which a body that is not complete yields to others. A body of the default limit is complete
/// by then at 52 KB/s.
const LONG_BODY: Duration = Duration::from_secs(5);

/// Part of the budget that large bodies leave to heads and small bodies, as a divisor. Ordinary requests
/// are then answered while large bodies hold all that they may.
const HEAD_SHARE: usize = 4;

/// Identifies a connection within a process.
pub type ConnectionId = u64;

/// Places for checks beside those for requests. A balancer and the operators of an entry have a few
/// connections each.
const CHECK_PLACES: usize = 16;

/// Whose connections a listener accepts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ListenerKind {
    /// The balancer's checks and operators. They have places of their own, so that the process does not
    /// fail its checks because clients take all others.
    Checks,
    /// Clients.
    #[default]
    Requests,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits for the next request.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The handler runs and does not read a body.
    Serving,
    /// The handler reads the body of a request.
    Body,
    /// The last answer was sent, and what the client still sends is discarded.
    Closing,
}

/// Reason for which a connection is closed.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum CloseCause {
    /// No request within the idle time.
    #[display("idle")]
    Idle,
    /// The head was not complete in time.
    #[display("head-time")]
    HeadTime,
    /// The body arrived too slowly.
    #[display("slow-body")]
    SlowBody,
    /// It was stalled, or its request took long, while others needed its memory or its place.
    #[display("stalled")]
    Stalled,
    /// There was no place for it.
    #[display("refused")]
    Refused,
    /// There was no memory for its head.
    #[display("memory")]
    Memory,
}

/// No memory is left, and no stalled connection holds enough of it.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("unfinished requests hold all memory that they may use")]
pub struct ShortOfMemory;

#[derive(Debug)]
struct Connection {
    /// Largest buffer so far. The server keeps it until the connection is closed.
    buffer: usize,
    head_bytes: usize,
    held: usize,
    /// Time of the last byte that was received or, while an answer is written, sent.
    last_active: Instant,
    listener: ListenerKind,
    peer: IpAddr,
    phase: Phase,
    phase_since: Instant,
    /// Start of the first of the latest windows in which the rate was below the minimum.
    slow_since: Option<Instant>,
    window: (Instant, usize),
    /// Whether a part of an answer is waiting until the client reads.
    writing: bool,
}

impl Connection {
    /// Reports whether no request and no answer is in progress.
    fn idle(&self) -> bool {
        self.phase == Phase::Idle && !self.writing
    }

    fn stalled(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_active) >= SILENCE;
        match self.phase {
            Phase::Serving => false,
            Phase::Body => silent || self.slow_since.is_some(),
            Phase::Closing => true,
            Phase::Head | Phase::Idle => silent,
        }
    }

    /// Reports whether the connection is closed when another one needs its place or its memory.
    fn yields(&self, now: Instant) -> bool {
        let in_phase = now.saturating_duration_since(self.phase_since);
        self.stalled(now)
            || self.phase == Phase::Head && in_phase >= LONG_HEAD
            || self.phase == Phase::Body && in_phase >= LONG_BODY
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.phase_since = now;
        self.last_active = now;
        self.slow_since = None;
        self.window = (now, 0);
    }

    /// Leaves out a time in which the process did not run.
    fn skip(&mut self, pause: Duration, now: Instant) {
        if pause > Duration::ZERO {
            self.last_active = (self.last_active + pause).min(now);
            self.phase_since = (self.phase_since + pause).min(now);
            self.window.0 = (self.window.0 + pause).min(now);
            if pause >= LONG_PAUSE {
                self.slow_since = None;
                self.window = (now, 0);
            }
            self.slow_since = self.slow_since.map(|since| (since + pause).min(now));
        }
    }

    /// Returns why the connection has to be closed at `now`.
    fn expired(&self, now: Instant, limits: &RequestLimits) -> Option<CloseCause> {
        let (in_phase, silent) = (
            now.saturating_duration_since(self.phase_since),
            now.saturating_duration_since(self.last_active),
        );
        let slow = self.slow_since.map(|since| now.saturating_duration_since(since));
        let slow = slow.unwrap_or_default();
        match self.phase {
            Phase::Idle if silent >= limits.idle_timeout => Some(CloseCause::Idle),
            Phase::Head if in_phase >= limits.head_timeout => Some(CloseCause::HeadTime),
            Phase::Body if slow >= limits.slow_body_timeout => Some(CloseCause::SlowBody),
            Phase::Closing if silent >= SILENCE || in_phase >= MAX_CLOSING => {
                Some(CloseCause::Idle)
            }
            _ => None,
        }
    }
}

/// Memory and places of all connections of a process, and the rule by which connections are refused
/// or closed when there are too few. Connections that it closes are no longer part of it; the caller
/// closes their sockets.
#[derive(Debug)]
pub struct MemoryBudget {
    checked_at: Option<Instant>,
    connections: BTreeMap<ConnectionId, Connection>,
    held: usize,
    max_connections: usize,
    next: ConnectionId,
    total: usize,
}

impl MemoryBudget {
    /// Returns a budget of `total` bytes for at most `max_connections` connections.
    pub fn new(total: usize, max_connections: usize) -> Self {
        let connections = BTreeMap::new();
        Self { checked_at: None, connections, held: 0, max_connections, next: 0, total }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a connection from `peer`. Returns its id, and the connection of the same kind of listener
    /// that is closed for it if there is no other place; `None` if there is none. A stalled or long one is
    /// closed first, then the one that is idle longest. Otherwise a peer with more than half of the places
    /// yields to one with less, so that no peer locks out another.
    pub fn open(
        &mut self,
        peer: IpAddr,
        listener: ListenerKind,
        now: Instant,
    ) -> Option<(ConnectionId, Option<ConnectionId>)> {
        let places = match listener {
            ListenerKind::Checks => CHECK_PLACES,
            ListenerKind::Requests => self.max_connections,
        };
        let mut victim = None;
        if self.of(listener).count() >= places {
            let yielding = self.longest(listener, |other| other.yields(now));
            let id = yielding
                .or_else(|| self.longest(listener, Connection::idle))
                .or_else(|| self.oldest_of_largest_peer(listener, places, peer))?;
            self.close(id);
            victim = Some(id);
        }
        let id = self.next;
        self.next += 1;
        let connection = Connection {
            buffer: BASE_BYTES,
            head_bytes: 0,
            held: 0,
            last_active: now,
            listener,
            peer,
            phase: Phase::Idle,
            phase_since: now,
            slow_since: None,
            window: (now, 0),
            writing: false,
        };
        self.connections.insert(id, connection);
        Some((id, victim))
    }

    fn of(&self, listener: ListenerKind) -> impl Iterator<Item = (&ConnectionId, &Connection)> {
        self.connections.iter().filter(move |(_, connection)| connection.listener == listener)
    }

    /// Returns the matching connection on which nothing has happened for the longest time.
    fn longest(
        &self,
        listener: ListenerKind,
        matches: impl Fn(&Connection) -> bool,
    ) -> Option<ConnectionId> {
        let matching = self.of(listener).filter(|(_, connection)| matches(connection));
        matching.min_by_key(|(_, connection)| connection.last_active).map(|(id, _)| *id)
    }

    /// Returns the oldest connection of the peer that has more than half of the places, if it is not
    /// `newcomer`. Connections whose request is served are left out.
    fn oldest_of_largest_peer(
        &self,
        listener: ListenerKind,
        places: usize,
        newcomer: IpAddr,
    ) -> Option<ConnectionId> {
        let mut counts: BTreeMap<IpAddr, usize> = BTreeMap::new();
        for (_, connection) in self.of(listener) {
            *counts.entry(connection.peer).or_default() += 1;
        }
        let (largest, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if largest == newcomer || count * 2 <= places {
            return None;
        }
        let mut others = self.of(listener);
        let oldest =
            others.find(|(_, other)| other.peer == largest && other.phase != Phase::Serving);
        oldest.map(|(id, _)| *id)
    }

    /// Removes a connection and returns what it holds to the budget.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.held -= connection.held;
        }
    }

    /// Records the next phase of a connection. A connection that is idle again holds only its buffer.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.enter(phase, now);
        if phase == Phase::Idle {
            let excess = connection.held.saturating_sub(connection.buffer);
            connection.held -= excess;
            connection.head_bytes = 0;
            self.held -= excess;
        }
    }

    /// Records that `bytes` were received, and reserves the buffer for the next ones of a head. Returns
    /// the connections that are closed for it.
    ///
    /// # Errors
    /// [`ShortOfMemory`] when there is no memory for the buffer.
    pub fn receive(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<ConnectionId>, ShortOfMemory> {
        let connection = self.connections.get_mut(&id).ok_or(ShortOfMemory)?;
        if connection.phase == Phase::Idle {
            connection.enter(Phase::Head, now);
        }
        connection.last_active = now;
        connection.window.1 += bytes;
        if connection.phase != Phase::Head {
            return Ok(Vec::new());
        }
        connection.head_bytes += bytes;
        // The buffer doubles as it grows.
        let buffer = connection.head_bytes.saturating_sub(BASE_BYTES / 2) * 2;
        let needed = BASE_BYTES + buffer.next_multiple_of(BASE_BYTES);
        connection.buffer = connection.buffer.max(needed);
        let missing = needed.saturating_sub(connection.held);
        self.hold(id, missing, now)
    }

    /// Records that a part of an answer was sent; `waiting` tells whether a further part is waiting until
    /// the client reads.
    pub fn send(&mut self, id: ConnectionId, waiting: bool, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.last_active = now;
            connection.writing = waiting;
        }
    }

    /// Adds `bytes` to what a connection holds. If too few are left, stalled connections and then those
    /// whose requests take long are closed and returned, each with the ones first that hold most.
    ///
    /// # Errors
    /// [`ShortOfMemory`] when closing all of them would not suffice. None is closed then.
    pub fn hold(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Instant,
    ) -> Result<Vec<ConnectionId>, ShortOfMemory> {
        let connection = self.connections.get(&id).ok_or(ShortOfMemory)?;
        let small = connection.held + bytes <= connection.buffer + BASE_BYTES;
        let reserved =
            if small || connection.phase == Phase::Head { 0 } else { self.total / HEAD_SHARE };
        let mut victims = Vec::new();
        let mut excess = (self.held + bytes).saturating_sub(self.total - reserved);
        if excess > 0 {
            let mut yielding: Vec<(bool, usize, ConnectionId)> = (self.connections.iter())
                .filter(|(other, connection)| **other != id && connection.yields(now))
                .map(|(other, connection)| (connection.stalled(now), connection.held, *other))
                .filter(|(_, held, _)| *held > 0)
                .collect();
            if yielding.iter().map(|(_, held, _)| held).sum::<usize>() < excess {
                return Err(ShortOfMemory);
            }
            yielding.sort_unstable_by(|a, b| b.cmp(a));
            for (_, held, other) in yielding {
                if excess == 0 {
                    break;
                }
                self.close(other);
                victims.push(other);
                excess = excess.saturating_sub(held);
            }
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
            self.held += bytes;
        }
        Ok(victims)
    }

    /// Closes the connections whose time is over; while the process shuts down, stalled ones as well.
    pub fn sweep(
        &mut self,
        now: Instant,
        limits: &RequestLimits,
        stopping: bool,
    ) -> Vec<(ConnectionId, CloseCause)> {
        let interval = self.checked_at.map(|earlier| now.saturating_duration_since(earlier));
        self.checked_at = Some(now);
        let pause = interval.filter(|interval| *interval > MAX_CHECK_INTERVAL).unwrap_or_default();
        let pause = pause.saturating_sub(CHECK_INTERVAL);
        let mut closed = Vec::new();
        for (id, connection) in &mut self.connections {
            connection.skip(pause, now);
            let elapsed = now.saturating_duration_since(connection.window.0);
            if elapsed >= RATE_WINDOW {
                let least = MIN_BODY_RATE * elapsed.as_secs_f64();
                let slow = (connection.window.1 as f64) < least;
                let since = connection.slow_since.unwrap_or(connection.window.0);
                connection.slow_since = slow.then_some(since);
                connection.window = (now, 0);
            }
            let stalled = stopping && connection.stalled(now);
            let cause = connection.expired(now, limits);
            if let Some(cause) = cause.or(stalled.then_some(CloseCause::Stalled)) {
                closed.push((*id, cause));
            }
        }
        for (id, _) in &closed {
            self.close(*id);
        }
        closed
    }
}
