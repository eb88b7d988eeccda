use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::records::{Records, Waiter};
use crate::{AgentEndpoint, CopyRequest};

/// Role of this agent in a range.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Role {
    #[default]
    None,
    Owner,
    Witness,
}

/// Progress of an owner towards serving its range.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Not the owner, replaced by a newer epoch, or without a witness.
    #[default]
    Idle,
    /// Fetches the records from the witness, page by page.
    Fencing {
        after: Option<String>,
        sent: Instant,
    },
    /// Waits for the journal, because neither agent has the records.
    Loading {
        sent: Instant,
    },
    /// Sends the snapshot to the witness; the next part starts after the key `after`.
    Syncing {
        after: Option<String>,
        started: bool,
    },
    Serving,
}

/// A copy that the witness has not acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct PendingCopy {
    pub(crate) copy: CopyRequest,
    pub(crate) revisions: Vec<(String, u64)>,
    pub(crate) sent: Instant,
}

/// State of one range on this agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeState {
    /// Highest epoch that this agent has accepted.
    pub(crate) epoch: u64,
    pub(crate) role: Role,
    /// The other agent of the range.
    pub(crate) peer: Option<AgentEndpoint>,
    /// True when this agent has every record of earlier epochs.
    pub(crate) complete: bool,
    /// Set while the range is sealed, because keys of earlier epochs may be missing: the age of the
    /// seal and the time at which it had that age.
    pub(crate) seal: Option<(Duration, Instant)>,
    pub(crate) phase: Phase,
    pub(crate) records: Records,
    /// Records of a snapshot or of fence pages that have not arrived completely.
    pub(crate) staging: Option<Records>,
    /// Last sequence number sent (owner) or applied (witness) in this epoch.
    pub(crate) sequence: u64,
    pub(crate) pending_copy: Option<PendingCopy>,
    /// Keys that were changed or freed since their last copy to the witness.
    pub(crate) dirty: BTreeSet<String>,
    /// Keys whose attempt has no recorded outcome.
    pub(crate) in_progress: BTreeSet<String>,
    /// Finished keys that are in no journal batch yet.
    pub(crate) unjournaled: BTreeSet<String>,
}

impl RangeState {
    /// Returns the time since the range was sealed.
    pub(crate) fn seal_age(&self, now: Instant) -> Option<Duration> {
        self.seal.map(|(age, since)| age + now.saturating_duration_since(since))
    }

    /// Drops the records.
    pub(crate) fn clear_records(&mut self) {
        self.records = Records::default();
        self.complete = false;
    }

    /// Rebuilds the key sets that are derived from the records. With `journal`, every finished key
    /// is queued for the journal.
    pub(crate) fn rebuild_key_sets(&mut self, journal: bool) {
        self.in_progress.clear();
        self.dirty.clear();
        for tracked in self.records.iter_mut() {
            tracked.never_granted = false;
            let key = &tracked.record.key;
            if tracked.record.state.is_finished() {
                if journal {
                    self.unjournaled.insert(key.clone());
                }
            } else {
                self.in_progress.insert(key.clone());
            }
        }
    }

    /// Removes and returns the requests that wait for the witness.
    pub(crate) fn take_waiters(&mut self) -> Vec<Waiter> {
        self.records.iter_mut().flat_map(|tracked| std::mem::take(&mut tracked.waiters)).collect()
    }
}
