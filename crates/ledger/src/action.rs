use std::sync::Arc;
use std::time::Duration;

use crate::{Member, Ready, Renew, Stop};

/// Why a gang ended, as determined by its lead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// A member's task finished, and no task of the gang is running any more.
    Finished,
    /// A member failed or did not confirm the lease in time.
    Failed,
    /// Not every member became ready in time.
    NotReady,
    /// The gang was stopped or evicted.
    Stopped,
}

/// Side effect that the agent must perform for the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the member's state to the lead.
    SendReady {
        /// The lead.
        to: Member,
        /// The message.
        ready: Ready,
    },
    /// Send a lease renewal to a member and pass its reply to `Ledger::handle_renew_reply`.
    SendRenew {
        /// The member.
        to: Member,
        /// The message.
        renew: Renew,
    },
    /// Send a stop command to a member.
    SendStop {
        /// The member.
        to: Member,
        /// The message.
        stop: Stop,
    },
    /// Start the task on the worker.
    Start {
        /// Id of the gang and of the task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
        /// Time after which the worker stops the task unless the lease is renewed.
        lease: Duration,
        /// Description of the task.
        task: Arc<[u8]>,
    },
    /// Extend the task's lease on the worker. If the worker has no such task, report
    /// `WorkerEvent::Stopped`.
    Extend {
        /// Id of the gang and of the task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
        /// Time after which the worker stops the task unless the lease is renewed.
        lease: Duration,
    },
    /// Ask the task to write a checkpoint.
    Checkpoint {
        /// Id of the gang and of the task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Throttle the task, because it uses more memory than it declared.
    Throttle {
        /// Id of the gang and of the task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Stop the task. The action is repeated until the worker reports the task's end.
    Kill {
        /// Id of the gang and of the task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Inform the entries that a gang led by this agent has ended.
    Ended {
        /// The gang.
        gang: String,
        /// Its epoch.
        epoch: u64,
        /// How it ended.
        end: End,
        /// Explanation for the logs and the submitter.
        reason: String,
    },
}
