use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use skylarkpulley_jobs::{JobTables, Limits};
use skylarkpulley_proto::MESSAGE_LIMIT;
use skylarkpulley_proto::v1::coordination_server::CoordinationServer;
use skylarkpulley_store::Transactor;
use skylarkpulley_types::Clock;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

use crate::calls::JobService;
use crate::leadership::{Leadership, SeenLeader};
use crate::metered_store::MeteredStore;
use crate::operators::Operators;
use crate::peer::PeerClients;
use crate::placement_policy::PlacementPolicy;
use crate::records::Records;
use crate::role::Role;
use crate::service::{CoordinationService, Shared};
use crate::store_health::StoreHealth;
use crate::tables_task::{TablesAge, TablesSource, follow_tables};

/// A leader whose calls to the store fail for this long is not ready; others have taken over by then
/// if they can.
const STORE_LOST: Duration = Duration::from_millis(1500);

/// Silence after which the tables are not known to be the newest.
const TABLES_STALE: Duration = Duration::from_secs(5);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address of the listener for other entries and agents.
    pub control: SocketAddr,
    /// Limits of the coordinator.
    pub limits: Limits,
    /// Name of the VM.
    pub name: String,
    /// Leases are extended only while the store confirmed the leadership within this time.
    pub max_confirmation_age: Duration,
    /// For how long leases may be extended.
    pub lease: Duration,
}

/// One entry: follows the leader, or leads.
pub struct Entry {
    age: watch::Receiver<TablesAge>,
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
        listener: TcpListener,
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
        let (age_sender, age) = watch::channel(TablesAge { answers: false, confirmed: None });
        let (stop, stopped) = watch::channel(false);
        let (newer, newer_receiver) = mpsc::channel(4);
        let (seen_sender, seen) = watch::channel(SeenLeader::default());
        let peers = Arc::new(PeerClients::new());
        let shared = Arc::new(Shared {
            health: Arc::new(StoreHealth::new()),
            inbox: inbox.clone(),
            leaving: AtomicBool::new(false),
            leadership: leadership.clone(),
            newer,
            pings: Mutex::new(BTreeMap::new()),
            records,
            seen: seen_sender,
            sessions: AtomicU64::new(1),
            tables: tables.clone(),
        });
        tokio::spawn(follow_tables(
            source,
            peers.clone(),
            tables_sender,
            age_sender,
            newer_receiver,
        ));
        let operators =
            Operators::new(&settings.name, clock.clone(), peers.clone(), shared.clone());
        let service = CoordinationService::new(shared.clone(), operators.clone());
        let service = CoordinationServer::new(service)
            .max_decoding_message_size(MESSAGE_LIMIT)
            .max_encoding_message_size(MESSAGE_LIMIT);
        tokio::spawn(async move {
            let incoming = TcpListenerStream::new(listener);
            if let Err(error) = Server::builder()
                .tcp_nodelay(true)
                .add_service(service)
                .serve_with_incoming(incoming)
                .await
            {
                tracing::error!(%error, "control listener ended");
            }
        });
        let role = Role {
            age: age.clone(),
            clock,
            inbox: inbox_sender,
            leadership: leadership_sender,
            peers: peers.clone(),
            policy,
            seen,
            settings,
            shared: shared.clone(),
            stop: stopped,
            store,
            tables: tables.clone(),
        };
        tokio::spawn(role.run());
        let service = JobService::new(age.clone(), inbox, leadership, peers);
        Self { age, operators, service, shared, stop, tables }
    }

    /// Returns the interface for operators.
    pub fn operators(&self) -> &Operators {
        &self.operators
    }

    /// Returns what the entry records.
    pub fn records(&self) -> &Records {
        &self.shared.records
    }

    /// Returns the interface for callers' requests.
    pub fn service(&self) -> JobService {
        self.service.clone()
    }

    /// Returns the tables in force.
    pub fn tables(&self) -> watch::Receiver<JobTables> {
        self.tables.clone()
    }

    /// Reports whether callers are served well here: the tables are known, and so is a leader that
    /// answers.
    pub fn is_ready(&self) -> bool {
        if self.shared.leaving.load(Ordering::Relaxed) || self.tables.borrow().version == 0 {
            return false;
        }
        let leadership = self.service.leadership();
        if leadership.address.is_empty() || !leadership.reachable {
            return false;
        }
        // While the leader is reachable it names newer tables, also when the store does not answer.
        !leadership.is_local
            || (self.age.borrow().confirmed.is_some_and(|at| at.elapsed() < TABLES_STALE)
                && self.shared.health.failing_for() < STORE_LOST)
    }

    /// Gives the leadership up and makes the entry not ready; open calls go on.
    pub fn begin_shutdown(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        self.stop.send_replace(true);
    }
}
