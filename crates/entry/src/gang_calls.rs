use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_placement::{GangMember, HoldResult};
use skylarkpulley_proto::{PROTOCOL_VERSION, v1};
use skylarkpulley_types::AgentId;

use crate::hub::Hub;

/// Time in which a worker's agent must answer; another worker is chosen afterwards.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// Pause before a pending hold is asked for again; a hold lasts 1 s.
const PENDING_DELAY: Duration = Duration::from_millis(250);

/// What the holds of one try have in common.
#[derive(Clone, Debug)]
pub struct TrySpec {
    /// The job, which is also the name of its gang.
    pub job: String,
    /// Epoch of the try.
    pub epoch: u64,
    /// Class and order of submission, for wound-wait at the agents.
    pub rank: (u32, u64),
    /// Guarantee instance that is claimed.
    pub instance: Option<String>,
    /// Whether the work may be checkpointed or stopped.
    pub preemptible: bool,
    /// Declared memory on each worker in MiB.
    pub memory_mib: u64,
}

impl TrySpec {
    fn hold_request(&self, member: &GangMember, proposer: &str) -> v1::HoldRequest {
        v1::HoldRequest {
            protocol: PROTOCOL_VERSION,
            gang: self.job.clone(),
            epoch: self.epoch,
            accelerators: member.accelerators,
            class: self.rank.0,
            submitted_ms: self.rank.1,
            instance: self.instance.clone().unwrap_or_default(),
            preemptible: self.preemptible,
            evict: member.evict.clone(),
            incarnation: member.worker.incarnation,
            memory_mib: self.memory_mib,
            proposer: proposer.to_owned(),
            reserve: Vec::new(),
            unreserve: Vec::new(),
        }
    }
}

/// Asks one member for its accelerators once.
pub async fn hold_member(
    hub: &Arc<Hub>,
    control: &str,
    spec: &TrySpec,
    member: &GangMember,
) -> HoldResult {
    let Some(mut client) = hub.clients.client(control) else { return HoldResult::NoAnswer };
    let call = client.hold(spec.hold_request(member, &hub.name));
    match tokio::time::timeout(CALL_LIMIT, call).await {
        Ok(Ok(reply)) => to_result(reply.into_inner()),
        Ok(Err(_)) | Err(_) => {
            hub.clients.remove(control);
            HoldResult::NoAnswer
        }
    }
}

/// Waits until a pending hold may be asked for again.
pub async fn pending_delay() {
    tokio::time::sleep(PENDING_DELAY).await;
}

fn to_result(reply: v1::HoldReply) -> HoldResult {
    use v1::hold_reply::State;
    match reply.state() {
        State::Held => HoldResult::Held,
        State::Pending => HoldResult::Pending,
        State::Refused | State::Unspecified => {
            HoldResult::Refused { reason: reply.reason, highest_epoch: reply.seen }
        }
    }
}

/// Commits all members. A member that cannot be reached never becomes ready, and the lead then ends
/// the gang; so nothing has to be undone here.
pub async fn commit_gang(
    hub: &Arc<Hub>,
    spec: &TrySpec,
    members: Vec<(AgentId, String)>,
    task: Vec<u8>,
) {
    let list: Vec<v1::Member> = members
        .iter()
        .map(|(agent, control)| v1::Member { agent: Some(agent.into()), control: control.clone() })
        .collect();
    let commits = members.iter().map(|(_, control)| {
        let request = v1::CommitRequest {
            gang: spec.job.clone(),
            epoch: spec.epoch,
            members: list.clone(),
            task: task.clone(),
            memory_mib: spec.memory_mib,
        };
        async move {
            let Some(mut client) = hub.clients.client(control) else { return };
            // A lost commit is sent once more; agents take a repeated one for the first.
            for _ in 0..2 {
                let call = client.commit(request.clone());
                if matches!(tokio::time::timeout(CALL_LIMIT, call).await, Ok(Ok(_))) {
                    return;
                }
            }
        }
    });
    futures::future::join_all(commits).await;
}

/// Ends a gang, or a try that has not started, at the agent at `control`. Reports whether the agent
/// answered.
pub async fn stop_gang(hub: &Arc<Hub>, control: &str, request: v1::StopRequest) -> bool {
    let Some(mut client) = hub.clients.client(control) else { return false };
    let answered = tokio::time::timeout(CALL_LIMIT, client.stop(request)).await;
    matches!(answered, Ok(Ok(_)))
}

/// Sets or clears reservations on one worker.
pub async fn change_reservations(
    hub: &Arc<Hub>,
    control: &str,
    agent: &AgentId,
    epoch: u64,
    reserve: Vec<v1::Reservation>,
    unreserve: Vec<String>,
) -> bool {
    let Some(mut client) = hub.clients.client(control) else { return false };
    let request = v1::HoldRequest {
        protocol: PROTOCOL_VERSION,
        epoch,
        incarnation: agent.incarnation,
        proposer: hub.name.clone(),
        reserve,
        unreserve,
        ..v1::HoldRequest::default()
    };
    matches!(tokio::time::timeout(CALL_LIMIT, client.hold(request)).await, Ok(Ok(_)))
}
