use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;

/// Kind of call that a fault is injected into.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Operation {
    /// `get` and `list`.
    Read,
    /// `put` and `delete`.
    Write,
}

/// A fault of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The service refuses the call without effect.
    Outage,
    /// The service answers correctly after a delay.
    Slow(Duration),
    /// The call takes no effect and is never answered.
    Hang,
    /// The call is lost before it takes effect; the connection breaks.
    LostRequest,
    /// The call takes effect, its answer is lost; the connection breaks.
    LostAnswer,
    /// A read is answered with the state before the last write. Writes are unaffected.
    StaleRead,
    /// Another client writes this value just before the call. Reads are unaffected.
    Race(Bytes),
}

/// Faults to inject: queued ones for single calls, and one that lasts until it is cleared. Clones
/// share their state.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    inner: Arc<Mutex<Plan>>,
}

#[derive(Debug, Default)]
struct Plan {
    queued: VecDeque<(Operation, Fault)>,
    lasting: Option<Fault>,
}

impl Faults {
    /// Returns a plan without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies `fault` to the next call of kind `operation` that has no earlier queued fault.
    pub fn inject(&self, operation: Operation, fault: Fault) {
        self.with(|plan| plan.queued.push_back((operation, fault)));
    }

    /// Applies `fault` to every call without a queued fault, until it is replaced.
    pub fn set(&self, fault: Option<Fault>) {
        self.with(|plan| plan.lasting = fault);
    }

    /// Takes the fault for the next call of kind `operation`.
    pub fn take(&self, operation: Operation) -> Option<Fault> {
        self.with(|plan| match plan.queued.iter().position(|(queued, _)| *queued == operation) {
            Some(at) => plan.queued.remove(at).map(|(_, fault)| fault),
            None => plan.lasting.clone(),
        })
    }

    fn with<T>(&self, change: impl FnOnce(&mut Plan) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
