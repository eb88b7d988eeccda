//! Sessions between agents and the leader.

use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_coordination::Entry;
use skylarkpulley_proto::v1;
use skylarkpulley_proto::v1::coordination_client::CoordinationClient;
use skylarkpulley_store::MemoryTransactor;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::{Channel, Endpoint};

use crate::rig::{start, until_ready};

/// One session of the agent of the worker `w`.
pub struct Session {
    reports: mpsc::Sender<v1::WorkerUpdate>,
    updates: Streaming<v1::CoordinatorUpdate>,
}

/// Returns a client of an entry that leads.
pub fn client(entry: &Entry) -> CoordinationClient<Channel> {
    let address = format!("http://{}", entry.service().leadership().address);
    let endpoint = Endpoint::from_shared(address).expect("an address");
    CoordinationClient::new(endpoint.connect_lazy())
}

impl Session {
    pub async fn open(client: &mut CoordinationClient<Channel>) -> Self {
        let (reports, stream) = mpsc::channel(4);
        let session = client.worker_session(ReceiverStream::new(stream));
        let updates = session.await.expect("a session").into_inner();
        Self { reports, updates }
    }

    /// Sends a report and waits for its answer; `None` when the leader has closed the session.
    pub async fn report(&mut self, sequence: u64, lapsed: bool) -> Option<v1::CoordinatorUpdate> {
        let update = v1::WorkerUpdate {
            lapsed,
            listed: true,
            sequence,
            worker: Some(v1::WorkerDescription {
                accelerators: 8,
                address: "10.0.0.1:1".to_owned(),
                boot: 1,
                id: "w".to_owned(),
                pool: "renders".to_owned(),
                ..v1::WorkerDescription::default()
            }),
            ..v1::WorkerUpdate::default()
        };
        self.reports.send(update).await.ok()?;
        loop {
            let update = self.updates.message().await.ok()??;
            if update.acked >= sequence {
                return Some(update);
            }
        }
    }
}

/// Guards against a report that is delayed on an earlier session of an agent and arrives after the
/// reports of a later session (mix 14014 of novias-vc). It reported that the leases had lapsed, and
/// the runs that had been started since then were started a second time on other workers.
#[tokio::test]
async fn report_of_earlier_session() {
    let store = Arc::new(MemoryTransactor::new());
    let (entry, _) = start("entry-1", store).await;
    until_ready(&entry).await;
    let mut client = client(&entry);
    let mut earlier = Session::open(&mut client).await;
    assert!(earlier.report(1, false).await.is_some());
    let mut later = Session::open(&mut client).await;
    assert!(later.report(1, false).await.is_some());
    let delayed = tokio::time::timeout(Duration::from_secs(20), earlier.report(2, true)).await;
    assert!(
        delayed.expect("the session ends").is_none(),
        "a report on a superseded session is not answered"
    );
    assert!(later.report(2, false).await.is_some());
}
