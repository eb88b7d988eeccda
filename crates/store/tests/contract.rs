//! Contract of the table service. The same cases run against the in-memory store, the in-memory store
//! behind a write limiter and a circuit breaker, and the HTTP client with the stand-in service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use skylarkpulley_standins::TableService;
use skylarkpulley_store::{
    CircuitSettings, Fault, Faults, GuardedStore, HttpSettings, HttpStore, LimiterSettings,
    MemoryStore, Operation, Resolution, Store, StoreError, WriteClass, put_resolved, resolve_put,
};
use skylarkpulley_types::SystemClock;

const CLASS: WriteClass = WriteClass::Jobs;

/// Time-out of calls that are expected to time out. All other calls have a time-out of 15 s, so that
/// a busy machine does not change the result.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// One implementation under test.
struct Subject {
    faults: Faults,
    /// The same rows, accessed with [`SHORT_TIMEOUT`].
    low_timeout: Arc<dyn Store>,
    name: &'static str,
    service: Option<TableService>,
    store: Arc<dyn Store>,
}

/// Wraps `store` with a limiter and a circuit breaker whose limits the cases do not reach.
fn guarded(store: MemoryStore) -> Arc<dyn Store> {
    let limits = LimiterSettings { burst: 1000, ..LimiterSettings::default() };
    let circuit = CircuitSettings { failures: u32::MAX, ..CircuitSettings::default() };
    let clock = Arc::new(SystemClock::new());
    Arc::new(GuardedStore::with_settings(Arc::new(store), clock, 1, limits, circuit))
}

async fn subjects() -> Vec<Subject> {
    let (memory, guarded_memory) = (MemoryStore::new(), MemoryStore::new());
    let service = TableService::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let settings = |call_timeout| HttpSettings { call_timeout, ..HttpSettings::default() };
    let http = |call_timeout| HttpStore::new(&service.url(), settings(call_timeout)).unwrap();
    vec![
        Subject {
            faults: memory.faults().clone(),
            low_timeout: Arc::new(memory.clone().with_timeout(SHORT_TIMEOUT)),
            name: "memory",
            service: None,
            store: Arc::new(memory),
        },
        Subject {
            faults: guarded_memory.faults().clone(),
            low_timeout: guarded(guarded_memory.clone().with_timeout(SHORT_TIMEOUT)),
            name: "guarded",
            service: None,
            store: guarded(guarded_memory),
        },
        Subject {
            faults: service.faults().clone(),
            low_timeout: Arc::new(http(SHORT_TIMEOUT)),
            name: "http",
            store: Arc::new(http(HttpSettings::default().call_timeout)),
            service: Some(service),
        },
    ]
}

fn bytes(value: &str) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

/// Name of an error variant, by which the implementations are compared, because their details
/// differ.
fn kind(error: &StoreError) -> &'static str {
    match error {
        StoreError::Conflict { .. } => "conflict",
        StoreError::LostAnswer { .. } => "lost answer",
        StoreError::Indeterminate { .. } => "indeterminate",
        StoreError::Unavailable { .. } => "unavailable",
        StoreError::TimedOut { .. } => "timed out",
        StoreError::CircuitOpen { .. } => "circuit open",
        StoreError::Throttled { .. } => "throttled",
        StoreError::InvalidAddress { .. } => "invalid address",
        StoreError::InvalidKey { .. } => "invalid key",
        StoreError::Malformed { .. } => "malformed",
    }
}

/// Guards against versions that are reused, updates that do not add 1 to the version, values that are
/// altered, and lists that are unsorted or contain keys without the prefix.
#[tokio::test]
async fn store_plain_calls() {
    for Subject { name, store, .. } in subjects().await {
        assert_eq!(store.get("jobs/b").await, Ok(None), "{name}");
        let first = store.put("jobs/b", 0, bytes("one"), CLASS).await.unwrap();
        assert_eq!(store.put("jobs/b", first, bytes("two"), CLASS).await, Ok(first + 1), "{name}");
        let row = store.get("jobs/b").await.unwrap().unwrap();
        assert_eq!((row.version, &row.value[..]), (first + 1, &b"two"[..]), "{name}");

        store.put("jobs/a", 0, Bytes::from_static(&[0, 255, 10]), CLASS).await.unwrap();
        store.put("keys/1/2", 0, bytes("other"), CLASS).await.unwrap();
        let listed = store.list("jobs/").await.unwrap();
        let keys: Vec<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(keys, ["jobs/a", "jobs/b"], "{name}");
        assert_eq!(&listed[0].1.value[..], &[0, 255, 10], "{name}");

        store.delete("jobs/b", first + 1, CLASS).await.unwrap();
        let recreated = store.put("jobs/b", 0, bytes("three"), CLASS).await.unwrap();
        assert!(recreated > first + 1, "{name}: version {recreated} was used before");
    }
}

/// Guards against a write with a wrong expected version that is accepted, and against conflict
/// errors that name other versions than those compared.
#[tokio::test]
async fn store_wrong_version() {
    for Subject { name, store, .. } in subjects().await {
        let version = store.put("tables", 0, bytes("one"), CLASS).await.unwrap();
        let cases = [
            (store.put("tables", 0, bytes("x"), CLASS).await.map(|_| ()), 0, version),
            (
                store.put("tables", version + 1, bytes("x"), CLASS).await.map(|_| ()),
                version + 1,
                version,
            ),
            (store.put("absent", 7, bytes("x"), CLASS).await.map(|_| ()), 7, 0),
            (store.delete("tables", version + 1, CLASS).await, version + 1, version),
            (store.delete("absent", 7, CLASS).await, 7, 0),
        ];
        for (case, (answer, expected, found)) in cases.into_iter().enumerate() {
            let Err(StoreError::Conflict { expected: e, found: f, .. }) = answer else {
                panic!("{name} case {case}: {answer:?}");
            };
            assert_eq!((e, f), (expected, found), "{name} case {case}");
        }
        assert_eq!(&store.get("tables").await.unwrap().unwrap().value[..], b"one", "{name}");
    }
}

/// Guards against keys that would be changed in a URL.
#[tokio::test]
async fn store_invalid_key() {
    for Subject { name, store, .. } in subjects().await {
        for key in ["", "a b", "a/../b", "a//b", "/a", "a?b", "ü", "a%2f"] {
            let read = store.get(key).await.unwrap_err();
            let write = store.put(key, 0, bytes("x"), CLASS).await.unwrap_err();
            assert_eq!((kind(&read), kind(&write)), ("invalid key", "invalid key"), "{name} {key}");
        }
    }
}

/// Guards against a fault that is reported as another one, in particular against a write that took
/// effect, or may have taken effect, and is reported as having had no effect.
#[tokio::test]
async fn store_single_fault() {
    futures::future::join_all(subjects().await.into_iter().map(single_fault)).await;
}

async fn single_fault(subject: Subject) {
    let Subject { name, store, low_timeout, faults, service } = subject;
    let slow = Fault::Slow(Duration::from_millis(20));
    let longer_than_timeout = Fault::Slow(Duration::from_secs(30));
    // Fault, result of a write, whether the write took effect, result of a read.
    let table = [
        (Fault::Outage, "unavailable", false, "unavailable"),
        (Fault::Hang, "lost answer", false, "timed out"),
        (Fault::LostRequest, "lost answer", false, "unavailable"),
        (Fault::LostAnswer, "lost answer", true, "unavailable"),
        (Fault::Race(bytes("rival")), "conflict", false, "ok"),
        (slow, "ok", true, "ok"),
        (longer_than_timeout.clone(), "lost answer", true, "timed out"),
        (Fault::StaleRead, "ok", true, "ok"),
    ];
    for (case, (fault, write, effect, read)) in table.iter().enumerate() {
        let times_out = *fault == Fault::Hang || *fault == longer_than_timeout;
        let subject = if times_out { &low_timeout } else { &store };
        let key = format!("jobs/{case}");
        let version = store.put(&key, 0, bytes("old"), CLASS).await.unwrap();
        let writes_before = service.as_ref().map(|service| service.writes());

        faults.inject(Operation::Write, fault.clone());
        let answer = subject.put(&key, version, bytes("new"), CLASS).await;
        let answer = answer.as_ref().map_or_else(kind, |_| "ok");
        assert_eq!(answer, *write, "{name}: write under {fault:?}");
        let row = store.get(&key).await.unwrap().unwrap();
        assert_eq!(row.value == "new", *effect, "{name}: effect under {fault:?}");
        let writes_after = service.as_ref().map(|service| service.writes());
        assert_eq!(
            writes_after,
            writes_before.map(|writes| writes + 1),
            "{name}: not exactly one write was sent under {fault:?}"
        );

        faults.inject(Operation::Read, fault.clone());
        let answer = subject.get(&key).await;
        let answer = answer.as_ref().map_or_else(kind, |_| "ok");
        assert_eq!(answer, *read, "{name}: read under {fault:?}");
    }
}

/// Guards against stale reads that return a state that the row never had, and against writes that
/// compare with a stale version.
#[tokio::test]
async fn store_stale_reads() {
    for Subject { name, store, faults, .. } in subjects().await {
        let first = store.put("tables", 0, bytes("one"), CLASS).await.unwrap();
        faults.inject(Operation::Read, Fault::StaleRead);
        assert_eq!(store.get("tables").await, Ok(None), "{name}");
        let second = store.put("tables", first, bytes("two"), CLASS).await.unwrap();
        faults.set(Some(Fault::StaleRead));
        assert_eq!(store.get("tables").await.unwrap().unwrap().version, first, "{name}");
        assert_eq!(store.list("tab").await.unwrap()[0].1.version, first, "{name}");
        assert_eq!(
            store.put("tables", second, bytes("three"), CLASS).await,
            Ok(second + 1),
            "{name}"
        );
    }
}

/// Guards against an outage that loses rows, and against failures after its end.
#[tokio::test]
async fn store_outage_ends() {
    for Subject { name, store, faults, .. } in subjects().await {
        let version = store.put("tables", 0, bytes("one"), CLASS).await.unwrap();
        faults.set(Some(Fault::Outage));
        for _ in 0..3 {
            assert_eq!(kind(&store.get("tables").await.unwrap_err()), "unavailable", "{name}");
            assert_eq!(kind(&store.list("").await.unwrap_err()), "unavailable", "{name}");
            let write = store.put("tables", version, bytes("two"), CLASS).await.unwrap_err();
            assert_eq!(kind(&write), "unavailable", "{name}");
            let delete = store.delete("tables", version, CLASS).await.unwrap_err();
            assert_eq!(kind(&delete), "unavailable", "{name}");
        }
        faults.set(None);
        assert_eq!(store.get("tables").await.unwrap().unwrap().version, version, "{name}");
    }
}

/// Guards against an invalid address that is reported only at the first call.
#[test]
fn http_store_invalid_address() {
    for address in ["", "127.0.0.1:4000", "ftp://127.0.0.1", "mailto:a"] {
        let error = HttpStore::new(address, HttpSettings::default()).unwrap_err();
        assert_eq!(kind(&error), "invalid address", "{address}");
    }
}

/// Guards against a refused connection that is reported as a lost answer, which would leave the
/// outcome of every write during an outage unknown.
#[tokio::test]
async fn http_store_refused_connection() {
    let mut service = TableService::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let store = HttpStore::new(&service.url(), HttpSettings::default()).unwrap();
    service.stop().await;
    let write = store.put("tables", 0, bytes("one"), CLASS).await.unwrap_err();
    assert_eq!(kind(&write), "unavailable", "{write}");
    assert_eq!(kind(&store.get("tables").await.unwrap_err()), "unavailable");
}

/// Guards against a lost answer that is resolved wrongly, and against sending the write twice.
#[tokio::test]
async fn put_resolved_cases() {
    // Faults of the write, faults of the following reads, expected result.
    let table = [
        (vec![Fault::LostAnswer], vec![], "ok"),
        (vec![Fault::LostAnswer], vec![Fault::StaleRead, Fault::Outage], "ok"),
        (vec![Fault::LostAnswer], vec![Fault::Outage; 3], "lost answer"),
        (vec![Fault::LostRequest], vec![], "lost answer"),
        (vec![Fault::Race(bytes("rival"))], vec![], "conflict"),
        (vec![Fault::Outage], vec![], "unavailable"),
    ];
    for Subject { name, store, faults, service, .. } in subjects().await {
        for (case, (writes, reads, expected)) in table.iter().enumerate() {
            let key = format!("jobs/{case}");
            let version = store.put(&key, 0, bytes("old"), CLASS).await.unwrap();
            let writes_before = service.as_ref().map(|service| service.writes());
            writes.iter().for_each(|fault| faults.inject(Operation::Write, fault.clone()));
            reads.iter().for_each(|fault| faults.inject(Operation::Read, fault.clone()));
            let value = bytes(&format!("edit {case}"));
            let answer = put_resolved(&*store, &key, version, value, CLASS).await;
            let answer = answer.as_ref().map_or_else(kind, |_| "ok");
            assert_eq!(answer, *expected, "{name} case {case}");
            let writes_after = service.as_ref().map(|service| service.writes());
            assert_eq!(
                writes_after,
                writes_before.map(|writes| writes + 1),
                "{name} case {case}: not exactly one write was sent"
            );
        }
    }
}

/// Guards against reporting a write as refused although it may have been applied and overwritten,
/// and against reporting it as applied although another write was.
#[tokio::test]
async fn resolve_put_rivals() {
    for Subject { name, store, .. } in subjects().await {
        let mine = bytes("mine");
        let resolve = |expected| resolve_put(&*store, "tables", expected, &mine);
        assert_eq!(resolve(0).await, Ok(Resolution::Pending), "{name}");
        let version = store.put("tables", 0, bytes("other"), CLASS).await.unwrap();
        assert_eq!(resolve(0).await, Ok(Resolution::Indeterminate(version)), "{name}");
        assert_eq!(resolve(version).await, Ok(Resolution::Pending), "{name}");
        store.put("tables", version, bytes("rival"), CLASS).await.unwrap();
        assert_eq!(resolve(version).await, Ok(Resolution::Refused(version + 1)), "{name}");
        store.put("tables", version + 1, bytes("third"), CLASS).await.unwrap();
        assert_eq!(resolve(version).await, Ok(Resolution::Indeterminate(version + 2)), "{name}");
        store.put("tables", version + 2, mine.clone(), CLASS).await.unwrap();
        assert_eq!(resolve(version + 2).await, Ok(Resolution::Applied(version + 3)), "{name}");
    }
}

/// Guards against edits that are lost or applied twice when several clients write the same row while
/// answers and requests are lost.
#[tokio::test]
async fn put_resolved_concurrent_edits() {
    const WRITERS: usize = 4;
    const EDITS: usize = 10;
    for Subject { name, store, faults, .. } in subjects().await {
        for index in 0..10 {
            let fault = if index % 3 == 2 { Fault::LostRequest } else { Fault::LostAnswer };
            faults.inject(Operation::Write, fault);
        }
        let writers = (0..WRITERS).map(|writer| edit_row(Arc::clone(&store), writer, EDITS));
        let outcomes = futures::future::join_all(writers).await;
        let row = store.get("tables").await.unwrap().unwrap();
        let row = String::from_utf8(row.value.to_vec()).unwrap();
        for (edit, outcome) in outcomes.into_iter().flatten() {
            let applications = row.split(' ').filter(|applied| *applied == edit).count();
            let allowed = match outcome {
                "ok" => 1..=1,
                "conflict" | "unavailable" => 0..=0,
                _ => 0..=1,
            };
            assert!(
                allowed.contains(&applications),
                "{name}: edit {edit} was applied {applications} times, but its outcome was {outcome}"
            );
        }
    }
}

/// Appends edits to the row `tables` and returns the id and outcome of each.
async fn edit_row(
    store: Arc<dyn Store>,
    writer: usize,
    edits: usize,
) -> Vec<(String, &'static str)> {
    let mut outcomes = Vec::new();
    for edit in 0..edits {
        let id = format!("{writer}-{edit}");
        let row = store.get("tables").await.unwrap();
        let version = row.as_ref().map_or(0, |row| row.version);
        let mut value = row.map_or_else(Vec::new, |row| row.value.to_vec());
        value.extend(format!(" {id}").bytes());
        let answer = put_resolved(&*store, "tables", version, value.into(), CLASS).await;
        outcomes.push((id, answer.as_ref().map_or_else(kind, |_| "ok")));
    }
    outcomes
}
