//! Tests of the write limiter, the circuit and the store behind both.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use skylarkpulley_store::{
    CallOutcome, Circuit, CircuitSettings, CircuitState, Fault, GuardedStore, LimiterSettings,
    MemoryStore, Operation, Store, StoreError, WriteClass, WriteLimiter,
};
use skylarkpulley_types::{ManualClock, SystemClock};

const SECOND: Duration = Duration::from_secs(1);

fn limiter(now: Instant) -> WriteLimiter {
    let settings = LimiterSettings { burst: 5, max_queued: 100, rate: 10.0, max_wait: 60 * SECOND };
    WriteLimiter::new(now, settings)
}

/// Guards against a burst of job rows that delays an edit of the tables, or that stops the entry
/// rows altogether.
#[test]
fn limiter_burst_of_one_class() {
    let now = Instant::now();
    let mut limiter = limiter(now);
    let mut classes = BTreeMap::new();
    for _ in 0..100 {
        classes.insert(limiter.request(now, WriteClass::Jobs).unwrap(), WriteClass::Jobs);
    }
    assert_eq!(limiter.poll(now).granted.len(), 5);
    let tables = limiter.request(now, WriteClass::Tables).unwrap();
    for _ in 0..20 {
        let row = limiter.request(now, WriteClass::EntryRows).unwrap();
        classes.insert(row, WriteClass::EntryRows);
    }
    let first = limiter.poll(now + SECOND / 10).granted;
    assert_eq!(first, [tables]);
    let next = limiter.poll(now + 4 * SECOND / 10).granted;
    let next: Vec<WriteClass> = next.iter().map(|ticket| classes[ticket]).collect();
    // Weights 4 and 2: two job rows for each entry row.
    assert_eq!(next.iter().filter(|class| **class == WriteClass::EntryRows).count(), 1, "{next:?}");
}

/// Guards against a rate above the limit, a lost ticket, and a class that gets less than its share
/// while it waits.
#[test]
fn limiter_rate_and_shares() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let (mut now, mut limiter) = (start, limiter(start));
        let (mut waiting, mut granted) = (BTreeMap::new(), 0);
        for (class, wait) in events {
            let class = WriteClass::ALL[usize::from(class) % 5];
            match limiter.request(now, class) {
                Ok(ticket) => assert!(waiting.insert(ticket, class).is_none()),
                Err(full) => assert_eq!(full.waiting, 100),
            }
            now += Duration::from_millis(u64::from(wait));
            let polled = limiter.poll(now);
            granted += polled.granted.len();
            let ended = polled.granted.iter().chain(&polled.expired);
            ended.for_each(|ticket| assert!(waiting.remove(ticket).is_some()));
            let allowed = 5.0 + (now - start).as_secs_f64() * 10.0;
            if granted as f64 > allowed + 1e-6 || polled.next.is_some() == waiting.is_empty() {
                return false;
            }
        }
        // Everything ends, and polling at the announced times is enough for it.
        for _ in 0..waiting.len() {
            let Some(next) = limiter.poll(now).next else { break };
            now = next;
            let polled = limiter.poll(now);
            polled.granted.iter().chain(&polled.expired).for_each(|ticket| {
                waiting.remove(ticket);
            });
        }
        waiting.is_empty()
    }
    let size = Gen::from_size_and_seed(300, 11);
    QuickCheck::new().rng(size).tests(200).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against unbounded waiting and unbounded queues.
#[test]
fn limiter_bounds() {
    let now = Instant::now();
    let settings = LimiterSettings { burst: 1, max_queued: 2, rate: 0.1, max_wait: SECOND };
    let mut limiter = WriteLimiter::new(now, settings);
    let tickets: Vec<_> = (0..3).map(|_| limiter.request(now, WriteClass::Jobs)).collect();
    assert!(tickets[0].is_ok() && tickets[1].is_ok() && tickets[2].is_err());
    assert!(limiter.request(now, WriteClass::Tables).is_ok(), "another class is not full");
    assert_eq!(limiter.poll(now).granted.len(), 1);
    let polled = limiter.poll(now + SECOND);
    assert_eq!((polled.granted.len(), polled.expired.len(), polled.next), (0, 2, None));
}

/// A circuit and the time.
struct Bench {
    circuit: Circuit,
    now: Instant,
}

impl Bench {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self { circuit: Circuit::new(now, CircuitSettings::default(), seed), now }
    }

    /// Makes a call that takes `latency`, if it is sent.
    fn call(&mut self, latency: Duration, end: CallOutcome) -> bool {
        let Ok(permit) = self.circuit.admit(self.now, false) else { return false };
        self.now += latency;
        self.circuit.record(self.now, permit, end);
        true
    }

    fn answers(&mut self, count: usize, latency: Duration) {
        for _ in 0..count {
            self.call(latency, CallOutcome::Answered);
        }
    }

    fn open(&mut self) {
        while self.circuit.state() != CircuitState::Down {
            self.call(Duration::ZERO, CallOutcome::Failed);
        }
    }
}

/// Guards against wrong transitions between up, slow and down.
#[test]
fn circuit_transitions() {
    let mut bench = Bench::new(1);
    let quick = Duration::from_millis(2);
    bench.call(quick, CallOutcome::Failed);
    bench.call(quick, CallOutcome::Failed);
    bench.call(quick, CallOutcome::Answered);
    bench.call(quick, CallOutcome::Failed);
    assert_eq!(bench.circuit.state(), CircuitState::Up, "failures were not consecutive");
    bench.answers(3, 10 * SECOND);
    assert_eq!(bench.circuit.state(), CircuitState::Slow);
    bench.answers(5, quick);
    assert_eq!(bench.circuit.state(), CircuitState::Up);
    bench.open();
    assert!(!bench.call(quick, CallOutcome::Answered), "no call before the probe");
    bench.now += SECOND;
    assert!(bench.call(quick, CallOutcome::Abandoned));
    assert!(bench.call(quick, CallOutcome::Answered), "an abandoned probe is replaced");
    assert_eq!(bench.circuit.state(), CircuitState::Slow);
}

/// Guards against a slow store that is filled by ordinary calls, so that no edit gets through.
#[test]
fn circuit_slow_keeps_room_for_urgent() {
    let mut bench = Bench::new(1);
    bench.answers(3, 10 * SECOND);
    let ordinary = (0..10).filter(|_| bench.circuit.admit(bench.now, false).is_ok()).count();
    let urgent = (0..10).filter(|_| bench.circuit.admit(bench.now, true).is_ok()).count();
    assert_eq!((ordinary, urgent), (4, 4));
}

/// Guards against an outage that is probed by every call, and against all processes meeting the
/// return of the store in the same moment.
#[test]
fn circuit_spreads_return() {
    const PROCESSES: u64 = 100;
    let mut benches: Vec<Bench> = (0..PROCESSES).map(Bench::new).collect();
    benches.iter_mut().for_each(Bench::open);
    let step = Duration::from_millis(100);
    // Each process wants to make a call every 100 ms; the store is back after 60 s.
    let (mut probes, mut first_calls) = (0, BTreeMap::new());
    for tick in 0..900 {
        for (at, bench) in benches.iter_mut().enumerate() {
            bench.now += step;
            let end = if tick < 600 { CallOutcome::Failed } else { CallOutcome::Answered };
            let sent = bench.call(Duration::ZERO, end);
            match tick {
                0..600 => probes += u64::from(sent),
                _ if sent => drop(first_calls.entry(at).or_insert(tick)),
                _ => {}
            }
        }
    }
    // Intervals of 0.5, 1, 2, 4, 8, 8, ... seconds are 11 probes a minute; jitter adds some.
    assert!(probes <= 16 * PROCESSES, "{probes} probes");
    assert_eq!(first_calls.len() as u64, PROCESSES, "a process did not notice the return");
    let mut per_tick = BTreeMap::new();
    first_calls.values().for_each(|tick| *per_tick.entry(tick).or_insert(0) += 1);
    let most = per_tick.values().max().unwrap();
    assert!(*most <= 8, "{most} processes of {PROCESSES} returned within 100 ms");
}

fn value() -> Bytes {
    Bytes::from_static(b"x")
}

/// Guards against calls that reach a store that is down, and against a conflict that counts as a
/// failure of the service.
#[tokio::test]
async fn guarded_store_suspends() {
    let (memory, clock) = (MemoryStore::new(), ManualClock::new());
    let store = GuardedStore::new(Arc::new(memory.clone()), Arc::new(clock.clone()), 1);
    store.put("jobs/a", 0, value(), WriteClass::Jobs).await.unwrap();
    for _ in 0..5 {
        let conflict = store.put("jobs/a", 0, value(), WriteClass::Jobs).await;
        assert!(matches!(conflict, Err(StoreError::Conflict { .. })), "{conflict:?}");
    }
    assert_eq!(store.state(), CircuitState::Up);
    (0..4).for_each(|_| memory.faults().inject(Operation::Read, Fault::Outage));
    for _ in 0..3 {
        assert!(matches!(store.get("jobs/a").await, Err(StoreError::Unavailable { .. })));
    }
    let write = store.put("jobs/b", 0, value(), WriteClass::Jobs).await;
    assert!(matches!(write, Err(StoreError::CircuitOpen { .. })), "{write:?}");
    assert!(matches!(store.get("jobs/a").await, Err(StoreError::CircuitOpen { .. })));
    clock.advance(SECOND);
    assert!(matches!(store.get("jobs/a").await, Err(StoreError::Unavailable { .. })));
    clock.advance(2 * SECOND);
    let mut states = store.states();
    assert!(store.get("jobs/a").await.unwrap().is_some());
    assert!(states.has_changed().unwrap());
    assert_eq!(
        (store.state(), *states.borrow_and_update()),
        (CircuitState::Slow, CircuitState::Slow)
    );
}

/// Guards against a limiter task that loses a write or a token when callers give up.
#[tokio::test]
async fn guarded_store_abandoned_waits() {
    let memory = MemoryStore::new();
    let limits = LimiterSettings { burst: 1, max_queued: 10, rate: 100.0, max_wait: 60 * SECOND };
    let circuit = CircuitSettings::default();
    let clock = Arc::new(SystemClock::new());
    let store = GuardedStore::with_settings(Arc::new(memory), clock, 1, limits, circuit);
    store.put("jobs/0", 0, value(), WriteClass::Jobs).await.unwrap();
    for at in 1..4 {
        let key = format!("jobs/{at}");
        let mut put = Box::pin(store.put(&key, 0, value(), WriteClass::Jobs));
        tokio::select! {
            biased;
            _ = &mut put => {}
            () = tokio::task::yield_now() => {}
        }
    }
    store.put("jobs/last", 0, value(), WriteClass::Jobs).await.unwrap();
    assert!(store.get("jobs/last").await.unwrap().is_some());
}
