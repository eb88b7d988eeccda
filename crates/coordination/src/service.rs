use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use skylarkpulley_jobs::JobTables;
use skylarkpulley_proto::v1;
use skylarkpulley_proto::v1::coordination_server::Coordination;
use tokio::sync::{Notify, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::calls::{JobAnswer, call_local_leader, decode_call, encode_answer};
use crate::convert::{decode_report, millis};
use crate::followers::Followers;
use crate::leader_message::LeaderMessage;
use crate::leadership::{Leadership, ReportedLeader};
use crate::operators::Operators;
use crate::records::Records;
use crate::store_health::StoreHealth;
use crate::tables_codec::TablesEncoder;
use crate::tables_lag::TablesLag;
use crate::tables_task::{PeerTables, is_newer, versions};

/// Number of updates that may wait for one agent. Further ones are dropped; an agent that receives
/// no updates ends the session.
const OUTBOUND_CAPACITY: usize = 16;

/// Longest time for which a forwarded call waits for the leader. The entry that forwards it has a
/// limit of its own.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Size of the parts in which the tables are sent to another entry. Calls on the same connection wait for
/// one part at most.
const TABLES_CHUNK_BYTES: usize = 16 << 10;

/// State that the tasks of one entry share.
pub struct Shared {
    /// Entries that follow this one.
    pub followers: Arc<Followers>,
    /// Results of the leader's calls to the store.
    pub health: Arc<StoreHealth>,
    /// Sends messages to the leader task while this entry is the leader.
    pub inbox: watch::Receiver<Option<mpsc::Sender<LeaderMessage>>>,
    /// Notified when a call to the leader fails.
    pub leader_failed: Arc<Notify>,
    /// The leadership as this entry knows it.
    pub leadership: watch::Receiver<Leadership>,
    /// Receives reports of other entries that have newer tables.
    pub newer_tables: mpsc::Sender<PeerTables>,
    /// Leadership with the highest epoch that another entry has reported.
    pub reported_leader: watch::Sender<ReportedLeader>,
    /// Decisions and metrics that the entry records.
    pub records: Records,
    /// Number of the next session.
    pub sessions: AtomicU64,
    /// Whether the entry is shutting down.
    pub shutting_down: AtomicBool,
    /// The current tables.
    pub tables: watch::Receiver<JobTables>,
    /// Encodes the tables for other entries.
    pub tables_encoder: TablesEncoder,
    /// Versions of the tables that the leader has and this entry has not.
    pub tables_lag: TablesLag,
}

impl Shared {
    /// Lets the tables of the entry at `address` be fetched if its versions `reported` are newer.
    pub fn report_tables(&self, address: &str, reported: (u64, u64)) {
        if is_newer(reported, versions(&self.tables.borrow())) {
            let report = PeerTables { address: address.to_owned(), versions: reported };
            // A full queue means that a fetch is already in progress.
            let _ = self.newer_tables.try_send(report);
        }
    }
}

/// The interface of an entry to other entries and to agents.
#[derive(Clone)]
pub struct CoordinationService {
    operators: Operators,
    shared: Arc<Shared>,
}

impl CoordinationService {
    /// Returns the service of the entry with this state.
    pub fn new(shared: Arc<Shared>, operators: Operators) -> Self {
        Self { operators, shared }
    }
}

#[tonic::async_trait]
impl Coordination for CoordinationService {
    type ReadTablesStream = tokio_stream::Iter<std::vec::IntoIter<Result<v1::TablesChunk, Status>>>;
    type WorkerSessionStream = ReceiverStream<Result<v1::CoordinatorUpdate, Status>>;

    async fn worker_session(
        &self,
        request: Request<Streaming<v1::WorkerUpdate>>,
    ) -> Result<Response<Self::WorkerSessionStream>, Status> {
        let inbox = self.shared.inbox.borrow().clone();
        let Some(inbox) = inbox else {
            return Err(Status::failed_precondition("this entry does not lead"));
        };
        let session = self.shared.sessions.fetch_add(1, Ordering::Relaxed);
        let (outbound, updates) = mpsc::channel(OUTBOUND_CAPACITY);
        let opened = inbox.send(LeaderMessage::Open { session, outbound }).await;
        if opened.is_err() {
            return Err(Status::failed_precondition("this entry does not lead"));
        }
        tokio::spawn(read_session(session, request.into_inner(), inbox));
        Ok(Response::new(ReceiverStream::new(updates)))
    }

    async fn job_call(
        &self,
        request: Request<v1::JobCallRequest>,
    ) -> Result<Response<v1::JobCallReply>, Status> {
        let Some(call) = decode_call(request.into_inner()) else {
            return Err(Status::invalid_argument(
                "job call has an unspecified kind or an invalid job",
            ));
        };
        let inbox = self.shared.inbox.borrow().clone();
        let answer = match inbox {
            Some(inbox) => call_local_leader(&inbox, call, CALL_TIMEOUT).await,
            None => JobAnswer::NotLeading,
        };
        Ok(Response::new(encode_answer(&answer)))
    }

    async fn ping(
        &self,
        request: Request<v1::PingRequest>,
    ) -> Result<Response<v1::PingReply>, Status> {
        let request = request.into_inner();
        let standby_rank = self.shared.followers.record_ping(&request);
        let leadership = self.shared.leadership.borrow().clone();
        self.shared.reported_leader.send_if_modified(|reported| {
            let higher = request.epoch > reported.epoch;
            if higher {
                *reported =
                    ReportedLeader { address: request.leader.clone(), epoch: request.epoch };
            }
            higher
        });
        let current = versions(&self.shared.tables.borrow());
        let reported = (request.tables_version, request.evacuations_version);
        self.shared.report_tables(&request.address, reported);
        if request.store_answers {
            self.shared.health.record_peer_success();
        }
        Ok(Response::new(v1::PingReply {
            epoch: leadership.epoch,
            leads: leadership.is_local,
            store_age_ms: millis(self.shared.health.confirmation_age()),
            tables_version: current.0,
            leaving: self.shared.shutting_down.load(Ordering::Relaxed),
            failing_ms: millis(
                self.shared.health.failing_for().max(self.shared.health.overdue_for()),
            ),
            standby_rank,
            evacuations_version: current.1,
        }))
    }

    async fn fetch_tables(
        &self,
        _request: Request<v1::FetchTablesRequest>,
    ) -> Result<Response<v1::FetchTablesReply>, Status> {
        let tables = self.shared.tables.borrow().clone();
        let bytes =
            serde_json::to_vec(&tables).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(v1::FetchTablesReply { version: tables.version, tables: bytes }))
    }

    async fn read_tables(
        &self,
        request: Request<v1::ReadTablesRequest>,
    ) -> Result<Response<Self::ReadTablesStream>, Status> {
        let request = request.into_inner();
        let known = (request.tables_version, request.evacuations_version);
        let encoded = self.shared.tables_encoder.encode(&self.shared.tables.borrow(), known);
        let encoded = encoded.map_err(|error| Status::internal(error.to_string()))?;
        let chunks: Vec<_> = encoded
            .chunks(TABLES_CHUNK_BYTES)
            .map(|chunk| Ok(v1::TablesChunk { data: chunk.to_vec() }))
            .collect();
        Ok(Response::new(tokio_stream::iter(chunks)))
    }

    async fn explain(
        &self,
        request: Request<v1::ExplainRequest>,
    ) -> Result<Response<v1::ExplainReply>, Status> {
        Ok(Response::new(self.operators.local_lines(&request.into_inner().id).await))
    }

    async fn system_status(
        &self,
        _request: Request<v1::SystemStatusRequest>,
    ) -> Result<Response<v1::SystemStatusReply>, Status> {
        let Some(status) = self.operators.local_status().await else {
            return Err(Status::failed_precondition("this entry does not lead"));
        };
        let status =
            serde_json::to_vec(&status).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(v1::SystemStatusReply { status }))
    }
}

async fn read_session(
    session: u64,
    mut updates: Streaming<v1::WorkerUpdate>,
    inbox: mpsc::Sender<LeaderMessage>,
) {
    while let Ok(Some(update)) = updates.message().await {
        let sequence = update.sequence;
        let report = Box::new(decode_report(update));
        let message = LeaderMessage::Report { session, sequence, report };
        if inbox.send(message).await.is_err() {
            return;
        }
    }
    // Sending fails when the leader has stopped, which needs no handling.
    let _ = inbox.send(LeaderMessage::Close { session }).await;
}
