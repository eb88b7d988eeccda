use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    CallOutcome, Circuit, CircuitSettings, CircuitState, LimiterSettings, Permit, Row, Store,
    StoreError, WriteClass, WriteLimiter,
};

/// Capacity of the channel to the limiter task. Further writes wait until it has free capacity.
const REQUEST_CAPACITY: usize = 64;

/// A store protected by a write limiter and a circuit breaker. Neither sends a call twice.
pub struct GuardedStore {
    circuit: Mutex<Circuit>,
    clock: Arc<dyn Clock>,
    inner: Arc<dyn Store>,
    limiter: mpsc::Sender<Request>,
    states: watch::Sender<CircuitState>,
}

/// Request to send a write, answered with the reason when the write is refused.
struct Request {
    answer: oneshot::Sender<Result<(), String>>,
    class: WriteClass,
}

impl GuardedStore {
    /// Returns `inner` protected by a limiter and a circuit breaker with default settings. `seed`
    /// jitters the probes and must differ between processes. Must be called within a tokio
    /// runtime, because the limiter runs as a task, which ends when the store is dropped.
    pub fn new(inner: Arc<dyn Store>, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let (limiter, circuit) = (LimiterSettings::default(), CircuitSettings::default());
        Self::with_settings(inner, clock, seed, limiter, circuit)
    }

    /// Works like [`GuardedStore::new`] with the given settings.
    pub fn with_settings(
        inner: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        seed: u64,
        limiter: LimiterSettings,
        circuit: CircuitSettings,
    ) -> Self {
        let now = clock.now();
        let (sender, requests) = mpsc::channel(REQUEST_CAPACITY);
        let limiter = WriteLimiter::new(now, limiter);
        tokio::spawn(run_limiter(limiter, Arc::clone(&clock), requests));
        let circuit = Mutex::new(Circuit::new(now, circuit, seed));
        let states = watch::Sender::new(CircuitState::Up);
        Self { circuit, clock, inner, limiter: sender, states }
    }

    /// Returns the health of the store as observed by this process.
    pub fn state(&self) -> CircuitState {
        lock(&self.circuit).state()
    }

    /// Subscribes to changes of the health of the store, for logs and metrics.
    pub fn states(&self) -> watch::Receiver<CircuitState> {
        self.states.subscribe()
    }

    async fn call<T>(
        &self,
        key: &str,
        urgent: bool,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let permit = lock(&self.circuit).admit(self.clock.now(), urgent);
        let permit = permit.map_err(|retry_in| circuit_open(key, retry_in))?;
        let mut guard =
            CallGuard { outcome: CallOutcome::Abandoned, permit: Some(permit), store: self };
        let answer = call.await;
        guard.outcome = match &answer {
            Err(error) if error.is_outage() => CallOutcome::Failed,
            _ => CallOutcome::Answered,
        };
        answer
    }

    /// Waits until the limiter grants a write. A write that the circuit breaker would refuse now is
    /// refused without waiting.
    async fn wait_for_limiter(&self, key: &str, class: WriteClass) -> Result<(), StoreError> {
        let retry_in = lock(&self.circuit).retry_in(self.clock.now(), is_urgent(class));
        if let Some(retry_in) = retry_in {
            return Err(circuit_open(key, retry_in));
        }
        let throttled = |detail| StoreError::Throttled { key: key.to_owned(), class, detail };
        let (answer, answer_receiver) = oneshot::channel();
        let stopped = || throttled("the limiter task has stopped".to_owned());
        self.limiter.send(Request { answer, class }).await.map_err(|_| stopped())?;
        answer_receiver.await.map_err(|_| stopped())?.map_err(throttled)
    }
}

/// Returns the permit to the circuit breaker, also when the caller drops the future of the call.
struct CallGuard<'a> {
    outcome: CallOutcome,
    permit: Option<Permit>,
    store: &'a GuardedStore,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let mut circuit = lock(&self.store.circuit);
        circuit.record(self.store.clock.now(), permit, self.outcome);
        let state = circuit.state();
        self.store.states.send_if_modified(|previous| std::mem::replace(previous, state) != state);
    }
}

/// Edits of the tables and takeovers of key ranges must reach a slow store even when ordinary calls
/// use up the limit of calls in progress.
fn is_urgent(class: WriteClass) -> bool {
    matches!(class, WriteClass::Tables | WriteClass::KeyRanges)
}

fn lock(circuit: &Mutex<Circuit>) -> std::sync::MutexGuard<'_, Circuit> {
    circuit.lock().unwrap_or_else(PoisonError::into_inner)
}

fn circuit_open(key: &str, retry_in: std::time::Duration) -> StoreError {
    StoreError::CircuitOpen { key: key.to_owned(), retry_in }
}

/// Answers requests until all senders are dropped.
async fn run_limiter(
    mut limiter: WriteLimiter,
    clock: Arc<dyn Clock>,
    mut requests: mpsc::Receiver<Request>,
) {
    let mut waiting = BTreeMap::new();
    loop {
        let now = clock.now();
        let decision = limiter.poll(now);
        for ticket in decision.granted {
            let answer: Option<oneshot::Sender<_>> = waiting.remove(&ticket);
            // The token of a caller that has given up is used for the next write.
            if answer.is_none_or(|answer| answer.send(Ok(())).is_err()) {
                limiter.return_token();
            }
        }
        for ticket in decision.expired {
            if let Some(answer) = waiting.remove(&ticket) {
                answer.send(Err("it was queued for longer than the maximum wait".to_owned())).ok();
            }
        }
        let pause = decision.next.map(|next| next.saturating_duration_since(now));
        let timer = async {
            match pause {
                Some(pause) => tokio::time::sleep(pause).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            request = requests.recv() => {
                let Some(Request { answer, class }) = request else { return };
                match limiter.request(clock.now(), class) {
                    Ok(ticket) => drop(waiting.insert(ticket, answer)),
                    Err(error) => drop(answer.send(Err(error.to_string()))),
                }
            }
            () = timer => {}
        }
    }
}

#[async_trait]
impl Store for GuardedStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.call(key, false, self.inner.get(key)).await
    }

    async fn put(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        class: WriteClass,
    ) -> Result<u64, StoreError> {
        self.wait_for_limiter(key, class).await?;
        self.call(key, is_urgent(class), self.inner.put(key, expected, value, class)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError> {
        self.call(prefix, false, self.inner.list(prefix)).await
    }

    async fn delete(&self, key: &str, expected: u64, class: WriteClass) -> Result<(), StoreError> {
        self.wait_for_limiter(key, class).await?;
        self.call(key, is_urgent(class), self.inner.delete(key, expected, class)).await
    }
}
