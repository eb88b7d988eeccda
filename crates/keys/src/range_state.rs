use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::records::{Records, Waiting};
use crate::{AgentEndpoint, CopyRequest};

/// Part that this agent plays in a range.
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
    /// Not an owner, deposed, or without a witness.
    #[default]
    Idle,
    /// Collects the records from the witness, page by page.
    Fencing {
        after: Option<String>,
        sent: Instant,
    },
    /// Waits for the journal, because neither agent holds the records.
    Loading {
        sent: Instant,
    },
    /// Sends the snapshot to the witness; the next part starts after this key.
    Syncing {
        after: Option<String>,
        started: bool,
    },
    Serving,
}

/// A copy that the witness has not acknowledged.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) copy: CopyRequest,
    pub(crate) changes: Vec<(String, u64)>,
    pub(crate) sent: Instant,
}

/// State of one range on this agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct RangeState {
    /// Highest epoch accepted.
    pub(crate) epoch: u64,
    pub(crate) role: Role,
    /// The other agent of the range.
    pub(crate) peer: Option<AgentEndpoint>,
    /// True when no record of an earlier epoch is missing here.
    pub(crate) complete: bool,
    /// Set while earlier keys may be missing: age of the seal at a point in time.
    pub(crate) seal: Option<(Duration, Instant)>,
    pub(crate) phase: Phase,
    pub(crate) records: Records,
    /// Parts of a snapshot or of fence pages that are not complete yet.
    pub(crate) staging: Option<Records>,
    /// Last sequence sent (owner) or applied (witness) in this epoch.
    pub(crate) sequence: u64,
    pub(crate) flight: Option<Flight>,
    /// Keys whose current record the witness does not hold.
    pub(crate) dirty: BTreeSet<String>,
    /// Keys in progress.
    pub(crate) open: BTreeSet<String>,
    /// Finished keys that are not in the journal.
    pub(crate) unjournaled: BTreeSet<String>,
}

impl RangeState {
    pub(crate) fn seal_age(&self, now: Instant) -> Option<Duration> {
        self.seal.map(|(age, since)| age + now.saturating_duration_since(since))
    }

    /// Forgets the records.
    pub(crate) fn clear_records(&mut self) {
        self.records = Records::default();
        self.complete = false;
    }

    /// Rebuilds the key sets that are derived from the records.
    pub(crate) fn index(&mut self, journal: bool) {
        self.open.clear();
        self.dirty.clear();
        for entry in self.records.iter_mut() {
            entry.proposed = false;
            let key = &entry.record.key;
            if entry.record.state.is_finished() {
                if journal {
                    self.unjournaled.insert(key.clone());
                }
            } else {
                self.open.insert(key.clone());
            }
        }
    }

    pub(crate) fn take_waiting(&mut self) -> Vec<Waiting> {
        self.records.iter_mut().flat_map(|entry| std::mem::take(&mut entry.waiting)).collect()
    }
}
