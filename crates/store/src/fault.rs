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
    /// The service refuses the call, which takes no effect.
    Outage,
    /// The service answers correctly after a delay.
    Slow(Duration),
    /// The call takes no effect and is never answered.
    Hang,
    /// The connection breaks before the call takes effect.
    LostRequest,
    /// The call takes effect, but the connection breaks before the answer is received.
    LostAnswer,
    /// A read returns the state before the last write. Writes are unaffected.
    StaleRead,
    /// Another client writes this value just before the call. Reads are unaffected.
    Race(Bytes),
}

/// Faults to inject: queued faults for single calls, and one lasting fault that applies until it is
/// cleared. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    plan: Arc<Mutex<Plan>>,
}

#[derive(Debug, Default)]
struct Plan {
    queued: VecDeque<(Operation, Fault)>,
    lasting: Option<Fault>,
}

impl Faults {
    /// Returns a fault plan without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues `fault` for one call of kind `operation`, after the faults already queued for this
    /// kind.
    pub fn inject(&self, operation: Operation, fault: Fault) {
        self.with_plan(|plan| plan.queued.push_back((operation, fault)));
    }

    /// Applies `fault` to every call without a queued fault until it is replaced; `None` clears it.
    pub fn set(&self, fault: Option<Fault>) {
        self.with_plan(|plan| plan.lasting = fault);
    }

    /// Returns the fault for the next call of kind `operation` and removes it when it is queued.
    pub fn take(&self, operation: Operation) -> Option<Fault> {
        self.with_plan(|plan| {
            match plan.queued.iter().position(|(queued, _)| *queued == operation) {
                Some(position) => plan.queued.remove(position).map(|(_, fault)| fault),
                None => plan.lasting.clone(),
            }
        })
    }

    fn with_plan<T>(&self, change: impl FnOnce(&mut Plan) -> T) -> T {
        change(&mut self.plan.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
