use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use skylarkpulley_connections::{ControlListener, control_server};
use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::MAX_MESSAGE_BYTES;
use skylarkpulley_proto::v1::coordination_server::CoordinationServer;
use skylarkpulley_store::Transactor;
use skylarkpulley_types::Clock;
use tokio::sync::{Notify, mpsc, watch};

use crate::calls::JobService;
use crate::entry_settings::EntrySettings;
use crate::followers::Followers;
use crate::leadership::{Leadership, ReportedLeader};
use crate::metered_store::MeteredStore;
use crate::operators::Operators;
use crate::peer::PeerClients;
use crate::placement_policy::PlacementPolicy;
use crate::records::Records;
use crate::role::Role;
use crate::service::{CoordinationService, Shared};
use crate::store_health::StoreHealth;
use crate::tables_codec::TablesEncoder;
use crate::tables_lag::TablesLag;
use crate::tables_task::{TablesAvailability, TablesSource, follow_tables};

/// A leader whose calls to the store have failed for this long is not ready. By then another entry
/// has taken over, if one can.
const STORE_FAILURE_LIMIT: Duration = Duration::from_millis(1500);

/// Time without an answer from the source after which the tables may be outdated.
const TABLES_MAX_AGE: Duration = Duration::from_secs(5);

/// An entry, which is either the leader or follows it.
pub struct Entry {
    availability: watch::Receiver<TablesAvailability>,
    operators: Operators,
    service: JobService,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    tables: watch::Receiver<JobTables>,
}

impl Entry {
    /// Starts the tasks of an entry on an open `listener`.
    pub fn start(
        settings: EntrySettings,
        listener: ControlListener,
        store: Arc<dyn Transactor>,
        source: Arc<dyn TablesSource>,
        policy: Option<Arc<dyn PlacementPolicy>>,
        clock: Arc<dyn Clock>,
        records: Records,
    ) -> Self {
        let store = Arc::new(MeteredStore::new(store, records.metrics.clone()));
        let (inbox_sender, inbox) = watch::channel(None);
        let (leadership_sender, leadership) = watch::channel(Leadership::default());
        let (tables_sender, tables) = watch::channel(JobTables::default());
        let (availability_sender, availability) = watch::channel(TablesAvailability::new());
        let (stop, stopped) = watch::channel(false);
        let (newer_tables, newer_tables_receiver) = mpsc::channel(4);
        let (reported_sender, reported_leader) = watch::channel(ReportedLeader::default());
        let peers = Arc::new(PeerClients::new());
        let leader_failed = Arc::new(Notify::new());
        let shared = Arc::new(Shared {
            health: Arc::new(StoreHealth::new()),
            inbox: inbox.clone(),
            followers: Arc::new(Followers::new()),
            leader_failed: leader_failed.clone(),
            leadership: leadership.clone(),
            newer_tables,
            records,
            reported_leader: reported_sender,
            sessions: AtomicU64::new(1),
            shutting_down: AtomicBool::new(false),
            tables: tables.clone(),
            tables_encoder: TablesEncoder::new(),
            tables_lag: TablesLag::new(),
        });
        tokio::spawn(follow_tables(
            source,
            peers.clone(),
            tables_sender,
            availability_sender,
            newer_tables_receiver,
        ));
        let operators =
            Operators::new(&settings.name, clock.clone(), peers.clone(), shared.clone());
        let service = CoordinationService::new(shared.clone(), operators.clone());
        let service = CoordinationServer::new(service)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        tokio::spawn(async move {
            let incoming = listener.connections();
            if let Err(error) =
                control_server().add_service(service).serve_with_incoming(incoming).await
            {
                tracing::error!(%error, "control listener failed; peers and agents cannot connect");
            }
        });
        let role = Role {
            availability: availability.clone(),
            clock,
            inbox: inbox_sender,
            leadership: leadership_sender,
            peers: peers.clone(),
            policy,
            rank: 0,
            reached_epoch: 0,
            reported_leader,
            settings,
            shared: shared.clone(),
            stop: stopped,
            store,
            tables: tables.clone(),
        };
        tokio::spawn(role.run());
        let service =
            JobService::new(availability.clone(), inbox, leader_failed, leadership, peers);
        Self { availability, operators, service, shared, stop, tables }
    }

    /// Returns the interface for operators.
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// Returns the decisions and metrics that the entry records.
    pub fn records(&self) -> &Records {
        &self.shared.records
    }

    /// Returns the interface for callers' requests.
    pub fn service(&self) -> JobService {
        self.service.clone()
    }

    /// Returns the current tables.
    pub fn tables(&self) -> watch::Receiver<JobTables> {
        self.tables.clone()
    }

    /// Returns the time since the source of the tables last answered this entry; `None` before its first
    /// answer.
    pub fn tables_age(&self) -> Option<Duration> {
        self.availability.borrow().confirmed_at.map(|at| at.elapsed())
    }

    /// Reports whether the tables must not decide about requests: there are none, the leader has had
    /// newer ones for a while, or neither the leader nor their source answers, so that there may be
    /// newer ones.
    pub fn has_outdated_tables(&self) -> bool {
        let version = self.tables.borrow().version;
        version == 0
            || self.service.is_isolated()
            || self.shared.tables_lag.is_outdated(version, Instant::now())
    }

    /// Reports whether this entry can serve callers: its tables are not outdated, it knows a leader
    /// that answers, and is not shutting down. If it is the leader itself, the source of its tables
    /// must have answered recently, and the store must answer.
    pub fn is_ready(&self) -> bool {
        if self.shared.shutting_down.load(Ordering::Relaxed) || self.has_outdated_tables() {
            return false;
        }
        let leadership = self.service.leadership();
        if leadership.address.is_empty() || !leadership.reachable {
            return false;
        }
        // A follower learns of newer tables from the leader, even when the store does not answer, so
        // the time since the store has answered is not checked.
        !leadership.is_local
            || (self
                .availability
                .borrow()
                .confirmed_at
                .is_some_and(|at| at.elapsed() < TABLES_MAX_AGE)
                && self.shared.health.failing_for() < STORE_FAILURE_LIMIT)
    }

    /// Gives up the leadership and makes the entry not ready. Open calls continue.
    pub fn begin_shutdown(&self) {
        self.shared.shutting_down.store(true, Ordering::Relaxed);
        self.stop.send_replace(true);
    }
}
