use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_keys::Attempt;
use skylarkpulley_proto::v1::agent_server::Agent;
use skylarkpulley_proto::{MIN_PROTOCOL_VERSION, v1};
use skylarkpulley_telemetry::{Decisions, Event};
use skylarkpulley_types::{AgentId, Clock};
use tonic::{Request, Response, Status};

use crate::attempts::not_run;
use crate::gangs_task::Gangs;
use crate::key_convert::{
    from_fence_reply, from_key_reply, to_copy, to_fence, to_range_index, to_reserve, to_response,
};
use crate::keys_task::Keys;
use crate::runner::Runner;

type Reply<T> = Result<Response<T>, Status>;

/// Control interface of an agent, which entries and other agents call.
pub struct AgentService {
    /// Name and incarnation of this agent.
    pub agent: AgentId,
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Record of decisions.
    pub decisions: Arc<Decisions>,
    /// Handle to the accelerators of the worker, or `None` for the agent of an upstream.
    pub gangs: Option<Gangs>,
    /// Handle to the idempotency-key records.
    pub keys: Keys,
    /// Handle to the slots of the upstream, or `None` for the agent of a worker.
    pub runner: Option<Runner>,
}

impl AgentService {
    fn gangs(&self) -> Result<&Gangs, Status> {
        self.gangs.as_ref().ok_or_else(|| Status::failed_precondition("this agent has no worker"))
    }
}

fn check_protocol(protocol: u32) -> Result<(), Status> {
    if protocol < MIN_PROTOCOL_VERSION {
        let text =
            format!("protocol {protocol} of the sender is older than {MIN_PROTOCOL_VERSION}");
        return Err(Status::failed_precondition(text));
    }
    Ok(())
}

fn stopping() -> Status {
    Status::unavailable("the agent is stopping")
}

#[tonic::async_trait]
impl Agent for AgentService {
    async fn run(&self, request: Request<v1::RunRequest>) -> Reply<v1::RunReply> {
        let request = request.into_inner();
        check_protocol(request.protocol)?;
        let reply = match &self.runner {
            Some(runner) => runner.run(request).await,
            None => {
                let text = "this agent has no upstream";
                not_run(&request.attempt, v1::Refusal::NotServing, text)
            }
        };
        Ok(Response::new(reply))
    }

    async fn lookup(&self, request: Request<v1::LookupRequest>) -> Reply<v1::LookupReply> {
        let request = request.into_inner();
        if request.incarnation != self.agent.incarnation {
            let state = v1::lookup_reply::State::WrongIncarnation.into();
            return Ok(Response::new(v1::LookupReply { state, reply: None }));
        }
        let runner = self.runner.as_ref().ok_or_else(stopping)?;
        runner.look_up(&request.attempt).await.map(Response::new).ok_or_else(stopping)
    }

    async fn reserve_key(
        &self,
        request: Request<v1::ReserveKeyRequest>,
    ) -> Reply<v1::ReserveKeyReply> {
        let request = to_reserve(request.into_inner());
        let reply = self.keys.reserve(request).await.ok_or_else(stopping)?;
        Ok(Response::new(from_key_reply(reply)))
    }

    async fn complete_key(
        &self,
        request: Request<v1::CompleteKeyRequest>,
    ) -> Reply<v1::CompleteKeyReply> {
        let request = request.into_inner();
        let attempt = Attempt {
            range: to_range_index(request.range),
            key: request.key,
            attempt: request.attempt,
        };
        let response = request.response.map(to_response);
        self.keys.complete(attempt, response).await.ok_or_else(stopping)?;
        Ok(Response::new(v1::CompleteKeyReply {}))
    }

    async fn release_key(
        &self,
        request: Request<v1::ReleaseKeyRequest>,
    ) -> Reply<v1::ReleaseKeyReply> {
        let request = request.into_inner();
        let attempt = Attempt {
            range: to_range_index(request.range),
            key: request.key,
            attempt: request.attempt,
        };
        let reply = self.keys.release(attempt).await.ok_or_else(stopping)?;
        let released = reply == skylarkpulley_keys::KeyReply::Released;
        Ok(Response::new(v1::ReleaseKeyReply { released }))
    }

    async fn copy_keys(&self, request: Request<v1::CopyKeysRequest>) -> Reply<v1::CopyKeysReply> {
        let copy = to_copy(request.into_inner());
        let reply = self.keys.copy(copy).await.ok_or_else(stopping)?;
        Ok(Response::new(v1::CopyKeysReply { accepted: reply.accepted, seen: reply.witness_epoch }))
    }

    async fn fence_range(
        &self,
        request: Request<v1::FenceRangeRequest>,
    ) -> Reply<v1::FenceRangeReply> {
        let fence = to_fence(request.into_inner());
        let reply = self.keys.fence(fence).await.ok_or_else(stopping)?;
        Ok(Response::new(from_fence_reply(&reply)))
    }

    async fn hold(&self, request: Request<v1::HoldRequest>) -> Reply<v1::HoldReply> {
        let request = request.into_inner();
        check_protocol(request.protocol)?;
        self.gangs()?.hold(request).await.map(Response::new).ok_or_else(stopping)
    }

    async fn commit(&self, request: Request<v1::CommitRequest>) -> Reply<v1::CommitReply> {
        let request = request.into_inner();
        self.gangs()?.commit(request).await.map(Response::new).ok_or_else(stopping)
    }

    async fn release(&self, request: Request<v1::ReleaseRequest>) -> Reply<v1::ReleaseReply> {
        self.gangs()?.release(request.into_inner()).await;
        Ok(Response::new(v1::ReleaseReply {}))
    }

    async fn gang_ready(
        &self,
        request: Request<v1::GangReadyRequest>,
    ) -> Reply<v1::GangReadyReply> {
        let accepted =
            self.gangs()?.handle_ready(request.into_inner()).await.ok_or_else(stopping)?;
        Ok(Response::new(v1::GangReadyReply { accepted }))
    }

    async fn gang_renew(
        &self,
        request: Request<v1::GangRenewRequest>,
    ) -> Reply<v1::GangRenewReply> {
        let request = request.into_inner();
        self.gangs()?.renew(request).await.map(Response::new).ok_or_else(stopping)
    }

    async fn stop(&self, request: Request<v1::StopRequest>) -> Reply<v1::StopReply> {
        let known = self.gangs()?.stop(request.into_inner()).await.ok_or_else(stopping)?;
        Ok(Response::new(v1::StopReply { known }))
    }

    async fn drain(&self, _: Request<v1::DrainRequest>) -> Reply<v1::DrainReply> {
        let mut remaining = 0;
        if let Some(runner) = self.runner.clone() {
            remaining += runner.state().borrow().slots_used;
            tokio::spawn(async move { runner.drain().await });
        }
        if let Some(gangs) = self.gangs.clone() {
            remaining += u32::try_from(gangs.state().borrow().grants.len()).unwrap_or(u32::MAX);
            tokio::spawn(async move { gangs.drain().await });
        }
        let text = format!("an operator drains this agent; {remaining} attempts or gangs remain");
        self.decisions.record(self.clock.now(), Event::AgentLeaving, &self.agent.name, &text);
        Ok(Response::new(v1::DrainReply { remaining }))
    }

    async fn explain(&self, request: Request<v1::ExplainRequest>) -> Reply<v1::ExplainReply> {
        let id = request.into_inner().id;
        let lines = self.decisions.explain(&id, self.clock.now());
        let to_line =
            |(age, decision): (Duration, skylarkpulley_telemetry::Decision)| v1::ExplainLine {
                age_ms: crate::key_convert::to_ms(age),
                code: u32::from(decision.event.code()),
                event: decision.event.name().to_owned(),
                detail: decision.detail,
            };
        let lines = lines.into_iter().map(to_line).collect();
        Ok(Response::new(v1::ExplainReply { lines, ..v1::ExplainReply::default() }))
    }
}
