use derive_more::Display;

use crate::WorkerStatus;

/// Why the runs of a worker are known to have ended without a report of their ends.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LossCause {
    /// The worker ended without having announced that it drains.
    #[display("the worker crashed")]
    Crashed,
    /// The agent has not reached the worker until all its leases had lapsed.
    #[display("its leases lapsed while its agent could not reach it")]
    Lapsed,
    /// The worker drained and left.
    #[display("the worker has left")]
    Left,
    /// The agent has not reported until all leases of the worker had lapsed.
    #[display("its agent is silent and its leases have lapsed")]
    Silent,
}

impl LossCause {
    /// Returns why a worker with this last status is gone for certain.
    pub fn of_departure(status: &WorkerStatus) -> Self {
        if status.draining { Self::Left } else { Self::Crashed }
    }
}
