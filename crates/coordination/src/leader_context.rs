use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_jobs::Limits;
use skylarkpulley_types::Clock;
use tokio::sync::{mpsc, watch};

use crate::followers::Followers;
use crate::leader_message::LeaderMessage;
use crate::leadership::ReportedLeader;
use crate::placement_policy::PlacementPolicy;
use crate::records::Records;
use crate::store_health::StoreHealth;
use crate::tables_task::TablesAvailability;

/// Time limits of the leadership, on which the safety of leases depends.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTimes {
    /// Leases are extended only while the store has confirmed the leadership within this time.
    pub confirmation_limit: Duration,
    /// For how long agents may extend leases, counted from the report that the leader answers.
    pub lease: Duration,
}

/// Dependencies of a leader, provided by its entry.
pub struct LeaderContext {
    /// When the source of the tables last answered this entry.
    pub availability: watch::Receiver<TablesAvailability>,
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Entries that follow this one.
    pub followers: Arc<Followers>,
    /// Results of calls to the store.
    pub health: Arc<StoreHealth>,
    /// Limits of the coordinator.
    pub limits: Limits,
    /// Sends messages to the leader itself.
    pub own_inbox: mpsc::WeakSender<LeaderMessage>,
    /// Service that decides which workers may run a step, if one is configured.
    pub policy: Option<Arc<dyn PlacementPolicy>>,
    /// Decisions and metrics that the entry records.
    pub records: Records,
    /// Leadership with the highest epoch that another entry has reported.
    pub reported_leader: watch::Receiver<ReportedLeader>,
    /// Time limits on which the safety of leases depends.
    pub times: LeaderTimes,
    /// Number of earlier leaders that have not answered this one.
    pub unanswered: watch::Receiver<usize>,
    /// Memory in bytes that submissions may take until they are stored.
    pub unstored_bytes: usize,
}
