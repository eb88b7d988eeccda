use derive_more::{Display, Error};

/// Why a request is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Refusal {
    /// The agent has just started, and tasks of its predecessor may still run.
    #[display("the agent has just started; tasks of its predecessor may still run")]
    Starting,
    /// The worker takes no new work.
    #[display("the worker is draining")]
    Draining,
    /// The ledger has seen a higher epoch, or the proposal has ended.
    #[display("epoch {epoch} of {name} is fenced by epoch {seen}")]
    Stale {
        /// Gang or instance.
        name: String,
        /// Epoch of the request.
        epoch: u64,
        /// Epoch that fences it.
        seen: u64,
    },
    /// Another proposal of the gang is committed here.
    #[display("gang {gang} is committed at epoch {epoch}")]
    Committed {
        /// The gang.
        gang: String,
        /// Epoch of the committed proposal.
        epoch: u64,
    },
    /// The claim names an instance without a reservation on this worker.
    #[display("no reservation for {instance} on this worker")]
    NoReservation {
        /// The instance.
        instance: String,
    },
    /// The instance is claimed by another gang.
    #[display("{instance} is claimed by gang {gang}")]
    Claimed {
        /// The instance.
        instance: String,
        /// The gang that holds it.
        gang: String,
    },
    /// The claim is larger than the reservation.
    #[display("{asked} accelerators asked, {reserved} reserved for {instance}")]
    ExceedsReservation {
        /// The instance.
        instance: String,
        /// Accelerators asked for.
        asked: u32,
        /// Accelerators reserved.
        reserved: u32,
    },
    /// Reservations and firm grants leave too few accelerators.
    #[display("{asked} accelerators asked, {free} are not covered by reservations")]
    InsufficientUnreserved {
        /// Accelerators asked for.
        asked: u32,
        /// Accelerators that no reservation covers.
        free: u32,
    },
    /// Other grants leave too few accelerators.
    #[display("{asked} accelerators asked, {free} are free")]
    InsufficientAccelerators {
        /// Accelerators asked for.
        asked: u32,
        /// Accelerators that are free.
        free: u32,
    },
    /// The commit finds no hold of its epoch.
    #[display("gang {gang} has no hold at epoch {epoch}")]
    NotHeld {
        /// The gang.
        gang: String,
        /// Epoch of the commit.
        epoch: u64,
    },
    /// The commit's member list does not name this run of the agent.
    #[display("gang {gang} does not name this agent as a member")]
    NotMember {
        /// The gang.
        gang: String,
    },
}
