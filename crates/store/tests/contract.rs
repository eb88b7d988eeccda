//! Contract of the table service, as one table of cases that runs against the in-memory store, the
//! same behind limiter and circuit, and the HTTP client with the stand-in service.

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

/// Time-out for the calls that are never answered in time. All other calls have 15 s, so that a
/// busy machine does not change the result.
const HASTY: Duration = Duration::from_secs(1);

/// One implementation under test.
struct Subject {
    faults: Faults,
    /// The same rows with the short time-out.
    hasty: Arc<dyn Store>,
    name: &'static str,
    service: Option<TableService>,
    store: Arc<dyn Store>,
}

/// Puts limiter and circuit in front of `store`, with limits that the cases do not reach.
fn guarded(store: MemoryStore) -> Arc<dyn Store> {
    let limits = LimiterSettings { burst: 1000, ..LimiterSettings::default() };
    let circuit = CircuitSettings { failures: u32::MAX, ..CircuitSettings::default() };
    let clock = Arc::new(SystemClock::new());
    Arc::new(GuardedStore::with_settings(Arc::new(store), clock, 1, limits, circuit))
}

async fn subjects() -> Vec<Subject> {
    let (memory, other) = (MemoryStore::new(), MemoryStore::new());
    let service = TableService::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let http = |call_timeout| HttpSettings { call_timeout, ..HttpSettings::default() };
    let http = |call_timeout| HttpStore::new(&service.url(), http(call_timeout)).unwrap();
    vec![
        Subject {
            faults: memory.faults().clone(),
            hasty: Arc::new(memory.clone().with_timeout(HASTY)),
            name: "memory",
            service: None,
            store: Arc::new(memory),
        },
        Subject {
            faults: other.faults().clone(),
            hasty: guarded(other.clone().with_timeout(HASTY)),
            name: "guarded",
            service: None,
            store: guarded(other),
        },
        Subject {
            faults: service.faults().clone(),
            hasty: Arc::new(http(HASTY)),
            name: "http",
            store: Arc::new(http(HttpSettings::default().call_timeout)),
            service: Some(service),
        },
    ]
}

fn text(value: &str) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

/// Name of an error variant, so that both implementations are compared without their details.
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

/// Guards against versions that are reused, a compare-and-set that compares nothing, and lists
/// that are unsorted or contain other prefixes.
#[tokio::test]
async fn store_plain_calls() {
    for Subject { name, store, .. } in subjects().await {
        assert_eq!(store.get("jobs/b").await, Ok(None), "{name}");
        let first = store.put("jobs/b", 0, text("one"), CLASS).await.unwrap();
        assert_eq!(store.put("jobs/b", first, text("two"), CLASS).await, Ok(first + 1), "{name}");
        let row = store.get("jobs/b").await.unwrap().unwrap();
        assert_eq!((row.version, &row.value[..]), (first + 1, &b"two"[..]), "{name}");

        store.put("jobs/a", 0, Bytes::from_static(&[0, 255, 10]), CLASS).await.unwrap();
        store.put("keys/1/2", 0, text("other"), CLASS).await.unwrap();
        let listed = store.list("jobs/").await.unwrap();
        let keys: Vec<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
        assert_eq!(keys, ["jobs/a", "jobs/b"], "{name}");
        assert_eq!(&listed[0].1.value[..], &[0, 255, 10], "{name}");

        store.delete("jobs/b", first + 1, CLASS).await.unwrap();
        let again = store.put("jobs/b", 0, text("three"), CLASS).await.unwrap();
        assert!(again > first + 1, "{name}: version {again} was used before");
    }
}

/// Guards against a wrong expected version that is accepted, and against errors that name other
/// versions than those compared.
#[tokio::test]
async fn store_wrong_version() {
    for Subject { name, store, .. } in subjects().await {
        let version = store.put("tables", 0, text("one"), CLASS).await.unwrap();
        let cases = [
            (store.put("tables", 0, text("x"), CLASS).await.map(|_| ()), 0, version),
            (
                store.put("tables", version + 1, text("x"), CLASS).await.map(|_| ()),
                version + 1,
                version,
            ),
            (store.put("absent", 7, text("x"), CLASS).await.map(|_| ()), 7, 0),
            (store.delete("tables", version + 1, CLASS).await, version + 1, version),
            (store.delete("absent", 7, CLASS).await, 7, 0),
        ];
        for (at, (answer, expected, found)) in cases.into_iter().enumerate() {
            let Err(StoreError::Conflict { expected: e, found: f, .. }) = answer else {
                panic!("{name} case {at}: {answer:?}");
            };
            assert_eq!((e, f), (expected, found), "{name} case {at}");
        }
        assert_eq!(&store.get("tables").await.unwrap().unwrap().value[..], b"one", "{name}");
    }
}

/// Guards against keys that a URL would alter.
#[tokio::test]
async fn store_invalid_key() {
    for Subject { name, store, .. } in subjects().await {
        for key in ["", "a b", "a/../b", "a//b", "/a", "a?b", "ü", "a%2f"] {
            let read = store.get(key).await.unwrap_err();
            let write = store.put(key, 0, text("x"), CLASS).await.unwrap_err();
            assert_eq!((kind(&read), kind(&write)), ("invalid key", "invalid key"), "{name} {key}");
        }
    }
}

/// Guards against a fault that is reported as another one, above all against a write that took
/// effect, or may have, and is reported as not done.
#[tokio::test]
async fn store_single_fault() {
    futures::future::join_all(subjects().await.into_iter().map(single_fault)).await;
}

async fn single_fault(subject: Subject) {
    let Subject { name, store, hasty, faults, service } = subject;
    let slow = Fault::Slow(Duration::from_millis(20));
    let stuck = Fault::Slow(Duration::from_secs(30));
    // Fault, result of a write, whether the write took effect, result of a read.
    let table = [
        (Fault::Outage, "unavailable", false, "unavailable"),
        (Fault::Hang, "lost answer", false, "timed out"),
        (Fault::LostRequest, "lost answer", false, "unavailable"),
        (Fault::LostAnswer, "lost answer", true, "unavailable"),
        (Fault::Race(text("rival")), "conflict", false, "ok"),
        (slow, "ok", true, "ok"),
        (stuck.clone(), "lost answer", true, "timed out"),
        (Fault::StaleRead, "ok", true, "ok"),
    ];
    for (at, (fault, write, effect, read)) in table.iter().enumerate() {
        let waits = *fault == Fault::Hang || *fault == stuck;
        let subject = if waits { &hasty } else { &store };
        let key = format!("jobs/{at}");
        let version = store.put(&key, 0, text("old"), CLASS).await.unwrap();
        let calls = service.as_ref().map(|service| service.writes());

        faults.inject(Operation::Write, fault.clone());
        let answer = subject.put(&key, version, text("new"), CLASS).await;
        let answer = answer.as_ref().map_or_else(kind, |_| "ok");
        assert_eq!(answer, *write, "{name}: write under {fault:?}");
        let row = store.get(&key).await.unwrap().unwrap();
        assert_eq!(row.value == "new", *effect, "{name}: effect under {fault:?}");
        let sent = service.as_ref().map(|service| service.writes());
        assert_eq!(sent, calls.map(|calls| calls + 1), "{name}: resent under {fault:?}");

        faults.inject(Operation::Read, fault.clone());
        let answer = subject.get(&key).await;
        let answer = answer.as_ref().map_or_else(kind, |_| "ok");
        assert_eq!(answer, *read, "{name}: read under {fault:?}");
    }
}

/// Guards against stale reads that show something the row never held, and against writes that
/// compare with a stale version.
#[tokio::test]
async fn store_stale_reads() {
    for Subject { name, store, faults, .. } in subjects().await {
        let first = store.put("tables", 0, text("one"), CLASS).await.unwrap();
        faults.inject(Operation::Read, Fault::StaleRead);
        assert_eq!(store.get("tables").await, Ok(None), "{name}");
        let second = store.put("tables", first, text("two"), CLASS).await.unwrap();
        faults.set(Some(Fault::StaleRead));
        assert_eq!(store.get("tables").await.unwrap().unwrap().version, first, "{name}");
        assert_eq!(store.list("tab").await.unwrap()[0].1.version, first, "{name}");
        assert_eq!(
            store.put("tables", second, text("three"), CLASS).await,
            Ok(second + 1),
            "{name}"
        );
    }
}

/// Guards against an outage that loses rows or goes on after its end.
#[tokio::test]
async fn store_outage_ends() {
    for Subject { name, store, faults, .. } in subjects().await {
        let version = store.put("tables", 0, text("one"), CLASS).await.unwrap();
        faults.set(Some(Fault::Outage));
        for _ in 0..3 {
            assert_eq!(kind(&store.get("tables").await.unwrap_err()), "unavailable", "{name}");
            assert_eq!(kind(&store.list("").await.unwrap_err()), "unavailable", "{name}");
            let write = store.put("tables", version, text("two"), CLASS).await.unwrap_err();
            assert_eq!(kind(&write), "unavailable", "{name}");
            let delete = store.delete("tables", version, CLASS).await.unwrap_err();
            assert_eq!(kind(&delete), "unavailable", "{name}");
        }
        faults.set(None);
        assert_eq!(store.get("tables").await.unwrap().unwrap().version, version, "{name}");
    }
}

/// Guards against an address that fails only at the first call.
#[test]
fn http_store_invalid_address() {
    for address in ["", "127.0.0.1:4000", "ftp://127.0.0.1", "mailto:a"] {
        let error = HttpStore::new(address, HttpSettings::default()).unwrap_err();
        assert_eq!(kind(&error), "invalid address", "{address}");
    }
}

/// Guards against a service that is gone being reported as a lost answer, which would leave every
/// write of an outage in doubt.
#[tokio::test]
async fn http_store_refused_connection() {
    let mut service = TableService::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    let store = HttpStore::new(&service.url(), HttpSettings::default()).unwrap();
    service.stop().await;
    let write = store.put("tables", 0, text("one"), CLASS).await.unwrap_err();
    assert_eq!(kind(&write), "unavailable", "{write}");
    assert_eq!(kind(&store.get("tables").await.unwrap_err()), "unavailable");
}

/// Guards against a lost answer that is resolved wrongly, and against a second write.
#[tokio::test]
async fn put_resolved_cases() {
    // Faults of the write, faults of the reads that follow, expected result.
    let table = [
        (vec![Fault::LostAnswer], vec![], "ok"),
        (vec![Fault::LostAnswer], vec![Fault::StaleRead, Fault::Outage], "ok"),
        (vec![Fault::LostAnswer], vec![Fault::Outage; 3], "lost answer"),
        (vec![Fault::LostRequest], vec![], "lost answer"),
        (vec![Fault::Race(text("rival"))], vec![], "conflict"),
        (vec![Fault::Outage], vec![], "unavailable"),
    ];
    for Subject { name, store, faults, service, .. } in subjects().await {
        for (at, (writes, reads, expected)) in table.iter().enumerate() {
            let key = format!("jobs/{at}");
            let version = store.put(&key, 0, text("old"), CLASS).await.unwrap();
            let calls = service.as_ref().map(|service| service.writes());
            writes.iter().for_each(|fault| faults.inject(Operation::Write, fault.clone()));
            reads.iter().for_each(|fault| faults.inject(Operation::Read, fault.clone()));
            let value = text(&format!("edit {at}"));
            let answer = put_resolved(&*store, &key, version, value, CLASS).await;
            let answer = answer.as_ref().map_or_else(kind, |_| "ok");
            assert_eq!(answer, *expected, "{name} case {at}");
            let sent = service.as_ref().map(|service| service.writes());
            assert_eq!(sent, calls.map(|calls| calls + 1), "{name} case {at}: resent");
        }
    }
}

/// Guards against telling a caller that a write was refused while it may have been applied and
/// overwritten, or that it was applied when another one was.
#[tokio::test]
async fn resolve_put_rivals() {
    for Subject { name, store, .. } in subjects().await {
        let mine = text("mine");
        let resolve = |expected| resolve_put(&*store, "tables", expected, &mine);
        assert_eq!(resolve(0).await, Ok(Resolution::Pending), "{name}");
        let version = store.put("tables", 0, text("other"), CLASS).await.unwrap();
        assert_eq!(resolve(0).await, Ok(Resolution::Indeterminate(version)), "{name}");
        assert_eq!(resolve(version).await, Ok(Resolution::Pending), "{name}");
        store.put("tables", version, text("rival"), CLASS).await.unwrap();
        assert_eq!(resolve(version).await, Ok(Resolution::Refused(version + 1)), "{name}");
        store.put("tables", version + 1, text("third"), CLASS).await.unwrap();
        assert_eq!(resolve(version).await, Ok(Resolution::Indeterminate(version + 2)), "{name}");
        store.put("tables", version + 2, mine.clone(), CLASS).await.unwrap();
        assert_eq!(resolve(version + 2).await, Ok(Resolution::Applied(version + 3)), "{name}");
    }
}

/// Guards against edits that are lost or applied twice when several clients write one row while
/// answers and requests get lost.
#[tokio::test]
async fn put_resolved_concurrent_edits() {
    const WRITERS: usize = 4;
    const EDITS: usize = 10;
    for Subject { name, store, faults, .. } in subjects().await {
        for at in 0..10 {
            let fault = if at % 3 == 2 { Fault::LostRequest } else { Fault::LostAnswer };
            faults.inject(Operation::Write, fault);
        }
        let writers = (0..WRITERS).map(|writer| edit_row(Arc::clone(&store), writer, EDITS));
        let ended = futures::future::join_all(writers).await;
        let row = store.get("tables").await.unwrap().unwrap();
        let row = String::from_utf8(row.value.to_vec()).unwrap();
        for (edit, end) in ended.into_iter().flatten() {
            let times = row.split(' ').filter(|applied| *applied == edit).count();
            let allowed = match end {
                "ok" => 1..=1,
                "conflict" | "unavailable" => 0..=0,
                _ => 0..=1,
            };
            assert!(
                allowed.contains(&times),
                "{name}: {edit} ended as {end}, applied {times} times"
            );
        }
    }
}

/// Appends edits to the row `tables` and returns how each ended.
async fn edit_row(
    store: Arc<dyn Store>,
    writer: usize,
    edits: usize,
) -> Vec<(String, &'static str)> {
    let mut ended = Vec::new();
    for edit in 0..edits {
        let id = format!("{writer}-{edit}");
        let row = store.get("tables").await.unwrap();
        let version = row.as_ref().map_or(0, |row| row.version);
        let mut value = row.map_or_else(Vec::new, |row| row.value.to_vec());
        value.extend(format!(" {id}").bytes());
        let answer = put_resolved(&*store, "tables", version, value.into(), CLASS).await;
        ended.push((id, answer.as_ref().map_or_else(kind, |_| "ok")));
    }
    ended
}
