//! The rule by which connections get memory and places, and by which they are closed.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};
use skylarkpulley_connections::{
    CloseCause, ConnectionId, ListenerKind, MemoryBudget, Phase, RequestLimits, ShortOfMemory,
};

const BODY: usize = 262_144;
const BUFFER: usize = 8192;

fn peer(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A budget of which bodies may use 1 MiB; a quarter is kept for heads.
const BODIES: usize = (4 << 20) / 3;

/// A budget with an injected clock.
struct Rig {
    budget: MemoryBudget,
    now: Instant,
}

impl Rig {
    fn new(total: usize, places: usize) -> Self {
        Self { budget: MemoryBudget::new(total, places), now: Instant::now() }
    }

    fn open(&mut self) -> ConnectionId {
        self.open_from(1).expect("a place").0
    }

    fn open_from(&mut self, number: u8) -> Option<(ConnectionId, Option<ConnectionId>)> {
        self.budget.open(peer(number), ListenerKind::Requests, self.now)
    }

    /// Opens a connection that has sent a part of a head.
    fn open_head(&mut self, number: u8) -> Option<(ConnectionId, Option<ConnectionId>)> {
        let opened = self.open_from(number)?;
        self.budget.receive(opened.0, 10, self.now).expect("memory");
        Some(opened)
    }

    /// Opens a connection that reads a body.
    fn open_body(&mut self, bytes: usize) -> Result<ConnectionId, ShortOfMemory> {
        let id = self.open();
        self.budget.receive(id, 100, self.now)?;
        self.budget.enter(id, Phase::Serving, self.now);
        self.budget.hold(id, bytes, self.now)?;
        self.budget.enter(id, Phase::Body, self.now);
        Ok(id)
    }

    /// Lets time pass, with checks as often as in the programs. Returns what they close.
    fn pass(&mut self, time: f64, stopping: bool) -> Vec<(ConnectionId, CloseCause)> {
        let steps = (time / 0.25).round() as u32;
        let step = |rig: &mut Self| {
            rig.now += seconds(0.25);
            rig.sweep(stopping)
        };
        (0..steps).flat_map(|_| step(self)).collect()
    }

    fn sweep(&mut self, stopping: bool) -> Vec<(ConnectionId, CloseCause)> {
        self.budget.sweep(self.now, &RequestLimits::default(), stopping)
    }
}

/// Guards against memory that stays taken after a request or a connection has ended.
#[test]
fn hold_returned() {
    let mut rig = Rig::new(1 << 20, 10);
    let id = rig.open_body(BODY).expect("memory");
    assert_eq!(rig.budget.held(), BUFFER + BODY);
    rig.budget.enter(id, Phase::Idle, rig.now);
    assert_eq!(rig.budget.held(), BUFFER);
    rig.budget.close(id);
    rig.budget.close(id);
    assert_eq!((rig.budget.held(), rig.budget.connections()), (0, 0));
}

/// Guards against closing clients that still send, and against refusing a request although stalled
/// connections hold the memory: the one that holds most is closed.
#[test]
fn hold_short() {
    let mut rig = Rig::new(BODIES, 10);
    let small = rig.open_body(BODY).expect("memory");
    let large = rig.open_body(2 * BODY).expect("memory");
    assert_eq!(rig.open_body(BODY), Err(ShortOfMemory), "both still send");
    assert_eq!(rig.budget.connections(), 3);
    rig.now += seconds(2.0);
    rig.budget.receive(small, 100, rig.now).expect("memory");
    let id = rig.open();
    assert_eq!(rig.budget.hold(id, BODY, rig.now), Ok(vec![large]));
    assert_eq!(rig.budget.hold(id, 2 * BODY, rig.now), Err(ShortOfMemory), "none is stalled");
}

/// Guards against closing a stalled connection although the request is refused all the same.
#[test]
fn hold_larger_than_total() {
    let mut rig = Rig::new(1 << 20, 10);
    rig.open_body(BODY).expect("memory");
    rig.now += seconds(3.0);
    let id = rig.open();
    assert_eq!(rig.budget.hold(id, 1 << 21, rig.now), Err(ShortOfMemory));
    assert_eq!(rig.budget.connections(), 2);
}

/// Guards against closing a connection whose request is being carried out.
#[test]
fn hold_serving() {
    let mut rig = Rig::new(BODIES, 10);
    let id = rig.open_body(3 * BODY).expect("memory");
    rig.budget.enter(id, Phase::Serving, rig.now);
    rig.now += seconds(60.0);
    assert_eq!(rig.open_body(BODY), Err(ShortOfMemory));
    assert!(!rig.sweep(true).iter().any(|(closed, _)| *closed == id));
}

/// Guards against heads that grow without being counted.
#[test]
fn receive_head() {
    let mut rig = Rig::new(16 * BUFFER, 10);
    let id = rig.open();
    let received = (0..100).take_while(|_| rig.budget.receive(id, BUFFER, rig.now).is_ok()).count();
    assert!((2..16).contains(&received), "{received} buffers received");
    assert!(rig.budget.held() <= 16 * BUFFER);
}

/// Guards against silent connections that take all places.
#[test]
fn open_full() {
    let mut rig = Rig::new(1 << 20, 2);
    let (first, _) = rig.open_head(1).expect("a place");
    rig.open_head(1).expect("a place");
    assert_eq!(rig.open_from(1), None, "none is stalled or idle");
    rig.now += seconds(2.0);
    let (_, victim) = rig.open_from(1).expect("a place");
    assert_eq!(victim, Some(first));
}

/// Guards against clients that keep all places by sending a request now and then.
#[test]
fn open_idle() {
    let mut rig = Rig::new(1 << 20, 3);
    let served = rig.open();
    rig.budget.enter(served, Phase::Serving, rig.now);
    let first = rig.open();
    rig.now += seconds(0.5);
    let second = rig.open();
    rig.budget.enter(first, Phase::Idle, rig.now + seconds(0.1));
    rig.now += seconds(0.2);
    assert_eq!(rig.open_head(1).expect("a place").1, Some(second), "idle for longer");
    assert_eq!(rig.open_head(1).expect("a place").1, Some(first));
    assert_eq!(rig.open_head(1), None, "a request is in progress on each");
}

/// Guards against clients that keep all places with heads that arrive byte by byte.
#[test]
fn open_slow_head() {
    let mut rig = Rig::new(1 << 20, 1);
    let (slow, _) = rig.open_head(1).expect("a place");
    for _ in 0..4 {
        assert_eq!(rig.open_head(1), None, "an ordinary head is complete by then");
        assert_eq!(rig.pass(0.5, false), []);
        rig.budget.receive(slow, 1, rig.now).expect("memory");
    }
    assert_eq!(rig.open_head(1).expect("a place").1, Some(slow));
}

/// Guards against clients that keep all memory with bodies that arrive at just over the minimum rate.
#[test]
fn hold_long_body() {
    let mut rig = Rig::new(BODIES, 10);
    let first = rig.open_body(2 * BODY - 2 * BUFFER).expect("memory");
    rig.now += seconds(0.25);
    let second = rig.open_body(2 * BODY - 2 * BUFFER).expect("memory");
    for _ in 0..4 {
        assert_eq!(rig.pass(1.0, false), []);
        for id in [first, second] {
            rig.budget.receive(id, 5000, rig.now).expect("memory");
        }
    }
    assert!(rig.open_body(BODY).is_err(), "both have arrived for less than 5 s");
    assert_eq!(rig.pass(0.75, false), []);
    rig.budget.receive(second, 5000, rig.now).expect("memory");
    let id = rig.open();
    assert_eq!(rig.budget.hold(id, BODY, rig.now), Ok(vec![first]));
    assert_eq!(rig.sweep(true), [], "a shutdown leaves them time");
}

/// Guards against large bodies that leave no memory for ordinary submissions.
#[test]
fn hold_small_body() {
    let mut rig = Rig::new(BODIES, 10);
    rig.open_body(4 * BODY - BUFFER).expect("memory");
    assert!(rig.open_body(BUFFER + 1).is_err(), "a quarter is kept for heads and small bodies");
    rig.open_body(BUFFER).expect("memory for a small body");
}

/// Guards against cutting off an answer that the client is reading, and against waiting for a client
/// that does not read.
#[test]
fn open_unread_answer() {
    let mut rig = Rig::new(1 << 20, 1);
    let id = rig.open();
    rig.budget.send(id, true, rig.now);
    rig.now += seconds(1.5);
    assert_eq!(rig.open_head(1), None, "the answer is being written");
    rig.budget.send(id, true, rig.now);
    rig.now += seconds(1.5);
    assert_eq!(rig.open_head(1), None, "the client reads");
    rig.now += seconds(0.5);
    assert_eq!(rig.open_head(1).expect("a place").1, Some(id));
}

/// Guards against checks that find no place because clients hold all of them, and the reverse.
#[test]
fn open_checks() {
    let mut rig = Rig::new(1 << 20, 2);
    rig.open_head(1).expect("a place");
    rig.open_head(1).expect("a place");
    let open_check = |rig: &mut Rig| {
        let opened = rig.budget.open(peer(1), ListenerKind::Checks, rig.now);
        opened.inspect(|(id, _)| drop(rig.budget.receive(*id, 10, rig.now)))
    };
    for _ in 0..16 {
        assert!(open_check(&mut rig).is_some_and(|(_, victim)| victim.is_none()));
    }
    assert_eq!(open_check(&mut rig), None, "places for checks are limited");
    assert_eq!(rig.open_from(1), None, "checks use no places of requests");
}

/// Guards against one peer that takes the places of others, and against limiting a load balancer
/// through which all callers come.
#[test]
fn open_peers() {
    let mut rig = Rig::new(1 << 20, 10);
    rig.open_head(2).expect("a place");
    let (oldest, _) = rig.open_head(1).expect("a place");
    for _ in 0..8 {
        rig.open_head(1).expect("a place");
    }
    assert_eq!(rig.open_from(1), None, "a peer does not displace itself");
    for _ in 0..4 {
        let (_, victim) = rig.open_head(2).expect("a place");
        assert!(victim.is_some_and(|id| id >= oldest), "the larger peer yields");
    }
    assert_eq!(rig.open_from(2), None, "half of the places each");
    assert_eq!(rig.open_from(1), None, "half of the places each");
}

/// Guards against closing clients within the documented times, and against keeping others.
#[test]
fn sweep_times() {
    let mut rig = Rig::new(1 << 20, 10);
    let idle = rig.open();
    let head = rig.open();
    rig.budget.receive(head, 10, rig.now).expect("memory");
    assert_eq!(rig.pass(9.75, false), []);
    rig.budget.receive(head, 10, rig.now).expect("memory");
    assert_eq!(rig.pass(0.25, false), [(head, CloseCause::HeadTime)]);
    assert_eq!(rig.pass(4.75, false), []);
    assert_eq!(rig.pass(0.25, false), [(idle, CloseCause::Idle)]);
}

/// Guards against closing all clients after the process was suspended.
#[test]
fn sweep_suspended() {
    let mut rig = Rig::new(1 << 20, 10);
    rig.open();
    rig.open_body(BODY).expect("memory");
    assert_eq!(rig.pass(1.0, false), []);
    rig.now += seconds(60.0);
    assert_eq!(rig.sweep(true), []);
    assert_eq!(rig.pass(0.5, true), []);
}

/// Guards against limits that never apply in a process that is too busy to check in time.
#[test]
fn sweep_overloaded() {
    let mut rig = Rig::new(1 << 20, 10);
    let idle = rig.open();
    let mut closed = Vec::new();
    for _ in 0..80 {
        rig.now += seconds(1.1);
        closed.extend(rig.sweep(false));
    }
    assert_eq!(closed, [(idle, CloseCause::Idle)]);
}

/// Guards against complete heads whose buffers the server keeps while the budget counts them as free,
/// and against bodies that leave no memory to requests without one.
#[test]
fn held_while_idle() {
    let mut rig = Rig::new(1 << 20, 10);
    let id = rig.open();
    rig.budget.receive(id, 16_384, rig.now).expect("memory");
    let held = rig.budget.held();
    rig.budget.enter(id, Phase::Serving, rig.now);
    rig.budget.enter(id, Phase::Idle, rig.now);
    assert_eq!(rig.budget.held(), held);
    let mut rig = Rig::new(100_000, 10);
    rig.open_body(60_000).expect("memory");
    assert!(rig.open_body(10_000).is_err(), "a quarter is kept for heads");
    let head = rig.open();
    rig.budget.receive(head, 10, rig.now).expect("memory for a head");
}

/// Guards against bodies that arrive byte by byte for ever, and against closing those of clients on
/// slow links.
#[test]
fn sweep_slow_bodies() {
    let mut rig = Rig::new(1 << 20, 10);
    let slow = rig.open_body(BODY).expect("memory");
    let steady = rig.open_body(BODY).expect("memory");
    for second in 1..=30 {
        let closed = rig.pass(1.0, false);
        if rig.budget.connections() == 2 {
            rig.budget.receive(slow, 100, rig.now).expect("memory");
        }
        rig.budget.receive(steady, 4200, rig.now).expect("memory");
        let expected = if second == 5 { vec![(slow, CloseCause::SlowBody)] } else { Vec::new() };
        assert_eq!(closed, expected, "after {second} s");
    }
}

/// Guards against clients that send for ever after their last answer, and against places that are kept
/// for them.
#[test]
fn sweep_closing() {
    let mut rig = Rig::new(1 << 20, 3);
    let [silent, sending, yielding] = [(); 3].map(|()| {
        let id = rig.open();
        rig.budget.enter(id, Phase::Closing, rig.now);
        id
    });
    rig.now += seconds(0.25);
    rig.budget.receive(silent, 10, rig.now).expect("memory");
    rig.budget.receive(sending, 10, rig.now).expect("memory");
    assert_eq!(rig.open_head(1).expect("a place").1, Some(yielding));
    let mut closed = Vec::new();
    for _ in 0..20 {
        closed.extend(rig.pass(0.5, false));
        drop(rig.budget.receive(sending, 10, rig.now));
    }
    let expected = [(silent, CloseCause::Idle), (sending, CloseCause::Idle)];
    assert_eq!(closed[..2], expected);
}

/// Guards against a shutdown that waits for stalled clients.
#[test]
fn sweep_stopping() {
    let mut rig = Rig::new(1 << 20, 10);
    let body = rig.open_body(BODY).expect("memory");
    assert_eq!(rig.pass(2.0, false), []);
    assert_eq!(rig.sweep(true), [(body, CloseCause::Stalled)]);
}

/// Guards against bytes that are counted twice or never returned, over random sequences of calls.
#[test]
fn held_within_total() {
    fn property(calls: Vec<(u8, u8, u16)>) -> bool {
        let mut rig = Rig::new(1 << 20, 8);
        let mut open: Vec<ConnectionId> = Vec::new();
        for (call, connection, bytes) in calls {
            rig.now += seconds(0.3);
            let id = open.get(usize::from(connection) % open.len().max(1)).copied().unwrap_or(0);
            let bytes = usize::from(bytes) * 4;
            match call % 7 {
                0 | 1 => open.extend(rig.open_from(connection % 3).map(|new| new.0)),
                2 => drop(rig.budget.receive(id, bytes, rig.now)),
                3 => drop(rig.budget.hold(id, bytes, rig.now)),
                4 => rig.budget.enter(id, Phase::Body, rig.now),
                5 => rig.budget.enter(id, Phase::Idle, rig.now),
                _ => drop(rig.sweep(false)),
            }
            if rig.budget.held() > 1 << 20 || rig.budget.connections() > 8 {
                return false;
            }
        }
        open.into_iter().for_each(|id| rig.budget.close(id));
        (rig.budget.held(), rig.budget.connections()) == (0, 0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}
