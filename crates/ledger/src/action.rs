use std::sync::Arc;
use std::time::Duration;

use crate::{Member, Ready, Renew, Stop};

/// Why a gang has ended, as its lead sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// A member's task finished, and no task of the gang runs any more.
    Finished,
    /// A member failed or did not answer.
    Failed,
    /// Not every member became ready in time.
    NotReady,
    /// The gang was stopped or evicted.
    Stopped,
}

/// What the agent has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send to the lead.
    SendReady {
        /// The lead.
        to: Member,
        /// The message.
        ready: Ready,
    },
    /// Send to a member and pass its answer to `Ledger::handle_renew_reply`.
    SendRenew {
        /// The member.
        to: Member,
        /// The message.
        renew: Renew,
    },
    /// Send to a member.
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
        /// Time until the worker stops the task unless it is renewed.
        lease: Duration,
        /// Description of the task.
        task: Arc<[u8]>,
    },
    /// Extend the task's lease on the worker. When the worker has no such task, report
    /// `WorkerEvent::Stopped`.
    Extend {
        /// The task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
        /// Time until the worker stops the task unless it is renewed.
        lease: Duration,
    },
    /// Ask the task for a checkpoint.
    Checkpoint {
        /// The task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Slow the task down, because it uses more memory than declared.
    Throttle {
        /// The task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Stop the task. Repeated until the worker reports its end.
    Kill {
        /// The task.
        gang: String,
        /// Epoch of the task.
        epoch: u64,
    },
    /// Tell the entries that the gang led here has ended.
    Ended {
        /// The gang.
        gang: String,
        /// Its epoch.
        epoch: u64,
        /// How it ended.
        end: End,
        /// Details for logs and the submitter.
        reason: String,
    },
}
