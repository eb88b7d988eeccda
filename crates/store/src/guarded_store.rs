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

/// Requests that may be on their way to the limiter's task.
const REQUESTS: usize = 64;

/// A store behind a write limiter and a circuit breaker. Neither sends a call twice.
pub struct GuardedStore {
    circuit: Mutex<Circuit>,
    clock: Arc<dyn Clock>,
    inner: Arc<dyn Store>,
    limiter: mpsc::Sender<Request>,
    states: watch::Sender<CircuitState>,
}

/// A write that asks to be sent; answered with the reason of a refusal.
struct Request {
    answer: oneshot::Sender<Result<(), String>>,
    class: WriteClass,
}

impl GuardedStore {
    /// Returns `inner` behind a limiter and a circuit with default settings. `seed` spreads the
    /// probes and must differ between processes. Must be called within a tokio runtime: the
    /// limiter runs as a task that ends with the store.
    pub fn new(inner: Arc<dyn Store>, clock: Arc<dyn Clock>, seed: u64) -> Self {
        let (limiter, circuit) = (LimiterSettings::default(), CircuitSettings::default());
        Self::with_settings(inner, clock, seed, limiter, circuit)
    }

    /// Like [`GuardedStore::new`] with other settings.
    pub fn with_settings(
        inner: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        seed: u64,
        limiter: LimiterSettings,
        circuit: CircuitSettings,
    ) -> Self {
        let now = clock.now();
        let (sender, requests) = mpsc::channel(REQUESTS);
        let limiter = WriteLimiter::new(now, limiter);
        tokio::spawn(run_limiter(limiter, Arc::clone(&clock), requests));
        let circuit = Mutex::new(Circuit::new(now, circuit, seed));
        let states = watch::Sender::new(CircuitState::Up);
        Self { circuit, clock, inner, limiter: sender, states }
    }

    /// Returns the health of the store as seen by this process.
    pub fn state(&self) -> CircuitState {
        lock(&self.circuit).state()
    }

    /// Returns a receiver of the health of the store, for logs and metrics.
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
        let mut open = OpenCall { end: CallOutcome::Abandoned, permit: Some(permit), store: self };
        let answer = call.await;
        open.end = match &answer {
            Err(error) if error.is_outage() => CallOutcome::Failed,
            _ => CallOutcome::Answered,
        };
        answer
    }

    /// Waits for the limiter; a write that the circuit would refuse does not wait.
    async fn wait(&self, key: &str, class: WriteClass) -> Result<(), StoreError> {
        let refusal = lock(&self.circuit).refusal(self.clock.now(), is_urgent(class));
        if let Some(retry_in) = refusal {
            return Err(circuit_open(key, retry_in));
        }
        let throttled = |detail| StoreError::Throttled { key: key.to_owned(), class, detail };
        let (answer, answered) = oneshot::channel();
        let stopped = || throttled("the limiter has stopped".to_owned());
        self.limiter.send(Request { answer, class }).await.map_err(|_| stopped())?;
        answered.await.map_err(|_| stopped())?.map_err(throttled)
    }
}

/// Hands the permit back, also when the caller drops the call.
struct OpenCall<'a> {
    end: CallOutcome,
    permit: Option<Permit>,
    store: &'a GuardedStore,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        let Some(permit) = self.permit.take() else { return };
        let mut circuit = lock(&self.store.circuit);
        circuit.record(self.store.clock.now(), permit, self.end);
        let state = circuit.state();
        self.store.states.send_if_modified(|known| std::mem::replace(known, state) != state);
    }
}

/// Edits and takeovers must get through to a slow store although other calls fill it.
fn is_urgent(class: WriteClass) -> bool {
    matches!(class, WriteClass::Tables | WriteClass::KeyRanges)
}

fn lock(circuit: &Mutex<Circuit>) -> std::sync::MutexGuard<'_, Circuit> {
    circuit.lock().unwrap_or_else(PoisonError::into_inner)
}

fn circuit_open(key: &str, retry_in: std::time::Duration) -> StoreError {
    StoreError::CircuitOpen { key: key.to_owned(), retry_in }
}

/// Answers requests until all senders are gone.
async fn run_limiter(
    mut limiter: WriteLimiter,
    clock: Arc<dyn Clock>,
    mut requests: mpsc::Receiver<Request>,
) {
    let mut waiting = BTreeMap::new();
    loop {
        let now = clock.now();
        let polled = limiter.poll(now);
        for ticket in polled.granted {
            let answer: Option<oneshot::Sender<_>> = waiting.remove(&ticket);
            // A caller that has given up leaves its turn to the next one.
            if answer.is_none_or(|answer| answer.send(Ok(())).is_err()) {
                limiter.return_token();
            }
        }
        for ticket in polled.expired {
            if let Some(answer) = waiting.remove(&ticket) {
                answer.send(Err("waited too long".to_owned())).ok();
            }
        }
        let pause = polled.next.map(|next| next.saturating_duration_since(now));
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
                    Err(full) => drop(answer.send(Err(full.to_string()))),
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
        self.wait(key, class).await?;
        self.call(key, is_urgent(class), self.inner.put(key, expected, value, class)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError> {
        self.call(prefix, false, self.inner.list(prefix)).await
    }

    async fn delete(&self, key: &str, expected: u64, class: WriteClass) -> Result<(), StoreError> {
        self.wait(key, class).await?;
        self.call(key, is_urgent(class), self.inner.delete(key, expected, class)).await
    }
}
