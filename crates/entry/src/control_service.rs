use std::sync::Arc;

use skylarkpulley_proto::v1::entry_server::Entry;
use skylarkpulley_proto::{MIN_PROTOCOL_VERSION, PROTOCOL_VERSION, v1};
use tonic::{Request, Response, Status, Streaming};

use crate::config_task::ConfigTask;
use crate::hub::Hub;
use crate::jobs::Jobs;
use crate::session_service::{SessionStream, accept_session};

/// Control service of an entry, called by agents and other entries.
pub struct ControlService {
    config: ConfigTask,
    hub: Arc<Hub>,
    jobs: Jobs,
}

impl ControlService {
    /// Returns the service over the shared state of the entry.
    pub fn new(hub: Arc<Hub>, config: ConfigTask, jobs: Jobs) -> Self {
        Self { config, hub, jobs }
    }
}

#[tonic::async_trait]
impl Entry for ControlService {
    type SessionStream = SessionStream;

    async fn session(
        &self,
        request: Request<Streaming<v1::AgentMessage>>,
    ) -> Result<Response<SessionStream>, Status> {
        let stream =
            accept_session(Arc::clone(&self.hub), self.config.clone(), request.into_inner())
                .await?;
        Ok(Response::new(stream))
    }

    async fn peer(
        &self,
        request: Request<v1::PeerMessage>,
    ) -> Result<Response<v1::PeerReply>, Status> {
        let message = request.into_inner();
        if message.protocol < MIN_PROTOCOL_VERSION {
            let text = format!(
                "protocol {} of the peer is older than the supported {MIN_PROTOCOL_VERSION}",
                message.protocol
            );
            return Err(Status::failed_precondition(text));
        }
        self.jobs.merge(message.jobs);
        self.hub.add_discovered_entry(&message.control);
        let entries = self.hub.entry_addresses();
        let ranges = self.hub.ranges.borrow().clone();
        let config = self.config.answer_peer(message.config_version, message.config_digest).await;
        let config_version = self.hub.config.borrow().version();
        Ok(Response::new(v1::PeerReply {
            protocol: PROTOCOL_VERSION,
            name: self.hub.name.clone(),
            config_version,
            config,
            ranges: ranges.message().filter(|ranges| ranges.version > message.range_version),
            entries,
            jobs: Vec::new(),
        }))
    }
}
