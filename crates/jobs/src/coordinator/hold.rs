use std::sync::Arc;

use derive_more::Display;

use crate::{Resources, StepId};

/// Where resources are expected that are reserved for waiting tasks.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HoldKind {
    /// Runs end there by themselves.
    #[display("reserved where runs end")]
    RunEnds,
    /// Runs are ordered to stop there.
    #[display("reserved for stops")]
    Stops,
}

/// Resources that a round of planning has reserved for waiting tasks.
#[derive(Clone, Debug)]
pub struct Hold {
    pub kind: HoldKind,
    /// Resources of one task.
    pub resources: Resources,
    pub step: StepId,
    /// Worker of each task.
    pub workers: Vec<Arc<str>>,
}
