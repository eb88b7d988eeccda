use derive_more::{Display, Error};

/// Why a request was refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum Refusal {
    /// The agent has just started, and tasks of its previous incarnation may still be running.
    #[display("agent is starting; tasks of its previous incarnation may still be running")]
    Starting,
    /// The worker is draining and accepts no new holds.
    #[display("worker is draining and accepts no new holds")]
    Draining,
    /// The ledger has processed a higher epoch, or the proposal has ended.
    #[display("epoch {epoch} of {name} is fenced by epoch {seen}")]
    Stale {
        /// Name of the gang or instance.
        name: String,
        /// Epoch of the request.
        epoch: u64,
        /// Epoch that fences it.
        seen: u64,
    },
    /// Another proposal of the gang is already committed on this worker.
    #[display("gang {gang} is already committed at epoch {epoch}")]
    Committed {
        /// The gang.
        gang: String,
        /// Epoch of the committed proposal.
        epoch: u64,
    },
    /// The claim names an instance without a reservation on this worker.
    #[display("instance {instance} has no reservation on this worker")]
    NoReservation {
        /// The instance.
        instance: String,
    },
    /// Another gang has claimed the instance.
    #[display("instance {instance} is already claimed by gang {gang}")]
    Claimed {
        /// The instance.
        instance: String,
        /// The gang that has claimed it.
        gang: String,
    },
    /// The claim requests more accelerators than are reserved.
    #[display(
        "{requested} accelerators requested, but {reserved} are reserved for instance {instance}"
    )]
    ExceedsReservation {
        /// The instance.
        instance: String,
        /// Number of accelerators requested.
        requested: u32,
        /// Number of accelerators reserved.
        reserved: u32,
    },
    /// Reservations and guaranteed grants leave too few accelerators.
    #[display("{requested} accelerators requested, but {free} are not reserved or guaranteed")]
    InsufficientUnreserved {
        /// Number of accelerators requested.
        requested: u32,
        /// Number of accelerators that no reservation or guaranteed grant covers.
        free: u32,
    },
    /// Other grants leave too few accelerators.
    #[display("{requested} accelerators requested, but {free} are free")]
    InsufficientAccelerators {
        /// Number of accelerators requested.
        requested: u32,
        /// Number of accelerators that are free.
        free: u32,
    },
    /// There is no hold with the epoch of the commit.
    #[display("gang {gang} has no hold at epoch {epoch}")]
    NotHeld {
        /// The gang.
        gang: String,
        /// Epoch of the commit.
        epoch: u64,
    },
    /// The member list of the commit does not contain this incarnation of the agent.
    #[display("member list of gang {gang} does not contain this incarnation of the agent")]
    NotMember {
        /// The gang.
        gang: String,
    },
}
