//! Tests of the write limiter, the circuit breaker and the store that both protect.

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

fn new_limiter(now: Instant) -> WriteLimiter {
    let settings = LimiterSettings { burst: 5, max_queued: 100, rate: 10.0, max_wait: 60 * SECOND };
    WriteLimiter::new(now, settings)
}

/// Guards against a burst of writes of job rows that delays an edit of the tables or starves the
/// writes of entry rows.
#[test]
fn limiter_burst_of_one_class() {
    let now = Instant::now();
    let mut limiter = new_limiter(now);
    let mut classes = BTreeMap::new();
    for _ in 0..100 {
        classes.insert(limiter.request(now, WriteClass::Jobs).unwrap(), WriteClass::Jobs);
    }
    assert_eq!(limiter.poll(now).granted.len(), 5);
    let tables_ticket = limiter.request(now, WriteClass::Tables).unwrap();
    for _ in 0..20 {
        let ticket = limiter.request(now, WriteClass::EntryRows).unwrap();
        classes.insert(ticket, WriteClass::EntryRows);
    }
    let first = limiter.poll(now + SECOND / 10).granted;
    assert_eq!(first, [tables_ticket]);
    let next = limiter.poll(now + 4 * SECOND / 10).granted;
    let next: Vec<WriteClass> = next.iter().map(|ticket| classes[ticket]).collect();
    // The weights of 4 and 2 give two job rows for each entry row.
    assert_eq!(next.iter().filter(|class| **class == WriteClass::EntryRows).count(), 1, "{next:?}");
}

/// Guards against a rate above the limit, a ticket that is lost or decided twice, and a queued write
/// that is never granted or expired.
#[test]
fn limiter_rate_and_progress() {
    fn property(events: Vec<(u8, u8)>) -> bool {
        let start = Instant::now();
        let (mut now, mut limiter) = (start, new_limiter(start));
        let (mut waiting, mut granted) = (BTreeMap::new(), 0);
        for (class, delay_ms) in events {
            let class = WriteClass::ALL[usize::from(class) % 5];
            match limiter.request(now, class) {
                Ok(ticket) => assert!(waiting.insert(ticket, class).is_none()),
                Err(error) => assert_eq!(error.waiting, 100),
            }
            now += Duration::from_millis(u64::from(delay_ms));
            let decision = limiter.poll(now);
            granted += decision.granted.len();
            let decided = decision.granted.iter().chain(&decision.expired);
            decided.for_each(|ticket| assert!(waiting.remove(ticket).is_some()));
            let allowed = 5.0 + (now - start).as_secs_f64() * 10.0;
            if granted as f64 > allowed + 1e-6 || decision.next.is_some() == waiting.is_empty() {
                return false;
            }
        }
        // Every queued write is granted or expires when the limiter is polled only at the times that
        // it returns.
        for _ in 0..waiting.len() {
            let Some(next) = limiter.poll(now).next else { break };
            now = next;
            let decision = limiter.poll(now);
            decision.granted.iter().chain(&decision.expired).for_each(|ticket| {
                waiting.remove(ticket);
            });
        }
        waiting.is_empty()
    }
    let generator = Gen::from_size_and_seed(300, 11);
    QuickCheck::new().rng(generator).tests(200).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against unbounded queueing times and unbounded queues.
#[test]
fn limiter_bounds() {
    let now = Instant::now();
    let settings = LimiterSettings { burst: 1, max_queued: 2, rate: 0.1, max_wait: SECOND };
    let mut limiter = WriteLimiter::new(now, settings);
    let tickets: Vec<_> = (0..3).map(|_| limiter.request(now, WriteClass::Jobs)).collect();
    assert!(tickets[0].is_ok() && tickets[1].is_ok() && tickets[2].is_err());
    assert!(
        limiter.request(now, WriteClass::Tables).is_ok(),
        "the queue of another class must not be full"
    );
    assert_eq!(limiter.poll(now).granted.len(), 1);
    let decision = limiter.poll(now + SECOND);
    assert_eq!((decision.granted.len(), decision.expired.len(), decision.next), (0, 2, None));
}

/// A circuit breaker with a simulated clock.
struct Fixture {
    circuit: Circuit,
    now: Instant,
}

impl Fixture {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self { circuit: Circuit::new(now, CircuitSettings::default(), seed), now }
    }

    /// Makes a call that takes `latency` and ends with `outcome`, if the circuit breaker admits it.
    /// Reports whether it did.
    fn call(&mut self, latency: Duration, outcome: CallOutcome) -> bool {
        let Ok(permit) = self.circuit.admit(self.now, false) else { return false };
        self.now += latency;
        self.circuit.record(self.now, permit, outcome);
        true
    }

    /// Makes `count` calls that are answered after `latency`.
    fn answer_calls(&mut self, count: usize, latency: Duration) {
        for _ in 0..count {
            self.call(latency, CallOutcome::Answered);
        }
    }

    /// Makes calls that fail until the circuit breaker opens.
    fn open(&mut self) {
        while self.circuit.state() != CircuitState::Down {
            self.call(Duration::ZERO, CallOutcome::Failed);
        }
    }
}

/// Guards against wrong transitions between the states up, slow and down.
#[test]
fn circuit_transitions() {
    let mut fixture = Fixture::new(1);
    let quick = Duration::from_millis(2);
    fixture.call(quick, CallOutcome::Failed);
    fixture.call(quick, CallOutcome::Failed);
    fixture.call(quick, CallOutcome::Answered);
    fixture.call(quick, CallOutcome::Failed);
    assert_eq!(fixture.circuit.state(), CircuitState::Up, "the failures were not consecutive");
    fixture.answer_calls(3, 10 * SECOND);
    assert_eq!(fixture.circuit.state(), CircuitState::Slow);
    fixture.answer_calls(5, quick);
    assert_eq!(fixture.circuit.state(), CircuitState::Up);
    fixture.open();
    assert!(
        !fixture.call(quick, CallOutcome::Answered),
        "a call was sent before the time of the probe"
    );
    fixture.now += SECOND;
    assert!(fixture.call(quick, CallOutcome::Abandoned));
    assert!(
        fixture.call(quick, CallOutcome::Answered),
        "an abandoned probe must be followed by another one"
    );
    assert_eq!(fixture.circuit.state(), CircuitState::Slow);
}

/// Guards against ordinary calls that use up the limit of a slow store, so that no edit of the tables
/// is sent.
#[test]
fn circuit_slow_admits_urgent_calls() {
    let mut fixture = Fixture::new(1);
    fixture.answer_calls(3, 10 * SECOND);
    let ordinary = (0..10).filter(|_| fixture.circuit.admit(fixture.now, false).is_ok()).count();
    let urgent = (0..10).filter(|_| fixture.circuit.admit(fixture.now, true).is_ok()).count();
    assert_eq!((ordinary, urgent), (4, 4));
}

/// Guards against probes at the rate of the calls during an outage, and against all processes
/// sending their first calls at the same time after the recovery.
#[test]
fn circuit_spreads_recovery() {
    const PROCESSES: u64 = 100;
    let mut fixtures: Vec<Fixture> = (0..PROCESSES).map(Fixture::new).collect();
    fixtures.iter_mut().for_each(Fixture::open);
    let step = Duration::from_millis(100);
    // Each process attempts a call every 100 ms; the store recovers after 60 s.
    let (mut probes, mut first_calls) = (0, BTreeMap::new());
    for tick in 0..900 {
        for (index, fixture) in fixtures.iter_mut().enumerate() {
            fixture.now += step;
            let outcome = if tick < 600 { CallOutcome::Failed } else { CallOutcome::Answered };
            let sent = fixture.call(Duration::ZERO, outcome);
            match tick {
                0..600 => probes += u64::from(sent),
                _ if sent => drop(first_calls.entry(index).or_insert(tick)),
                _ => {}
            }
        }
    }
    // Intervals of 0.5, 1, 2, 4, 8, 8, ... seconds give 11 probes per minute; jitter adds some.
    assert!(
        probes <= 16 * PROCESSES,
        "{probes} probes by {PROCESSES} processes in 60 s, at most 16 per process are allowed on average"
    );
    assert_eq!(first_calls.len() as u64, PROCESSES, "a process did not notice the recovery");
    let mut processes_per_tick = BTreeMap::new();
    first_calls.values().for_each(|tick| *processes_per_tick.entry(tick).or_insert(0) += 1);
    let max_processes = processes_per_tick.values().max().unwrap();
    assert!(
        *max_processes <= 8,
        "{max_processes} of {PROCESSES} processes sent their first call within the same 100 ms"
    );
}

fn value() -> Bytes {
    Bytes::from_static(b"x")
}

/// Guards against calls that are sent to a store that is down, and against a conflict that counts as
/// a failure of the service.
#[tokio::test]
async fn guarded_store_opens_circuit() {
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

/// Guards against a limiter task that loses a write or a token when callers cancel their writes.
#[tokio::test]
async fn guarded_store_cancelled_writes() {
    let memory = MemoryStore::new();
    let limits = LimiterSettings { burst: 1, max_queued: 10, rate: 100.0, max_wait: 60 * SECOND };
    let circuit = CircuitSettings::default();
    let clock = Arc::new(SystemClock::new());
    let store = GuardedStore::with_settings(Arc::new(memory), clock, 1, limits, circuit);
    store.put("jobs/0", 0, value(), WriteClass::Jobs).await.unwrap();
    for index in 1..4 {
        let key = format!("jobs/{index}");
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
