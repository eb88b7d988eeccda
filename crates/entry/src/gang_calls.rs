use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_placement::{GangMember, HoldResult};
use skylarkpulley_proto::{PROTOCOL_VERSION, v1};
use skylarkpulley_types::AgentId;

use crate::hub::Hub;

/// Time limit of a call to an agent. A hold that is not answered in time counts as unanswered, and
/// the placer chooses another worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before a pending hold is requested again. It is well below the 1 s for which a hold lasts.
const PENDING_DELAY: Duration = Duration::from_millis(250);

/// Values that all holds of one placement have in common.
#[derive(Clone, Debug)]
pub struct PlacementSpec {
    /// Id of the job; its gang has the same name.
    pub job: String,
    /// Epoch of the placement.
    pub epoch: u64,
    /// Priority class and position in the order of submissions, by which agents resolve conflicts
    /// between gangs (wound-wait).
    pub rank: (u32, u64),
    /// Guarantee instance that the gang claims.
    pub instance: Option<String>,
    /// Whether the gang may be preempted.
    pub preemptible: bool,
    /// Declared memory on each worker in MiB.
    pub memory_mib: u64,
}

impl PlacementSpec {
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

/// Requests the hold of one member once.
pub async fn hold_member(
    hub: &Arc<Hub>,
    control: &str,
    spec: &PlacementSpec,
    member: &GangMember,
) -> HoldResult {
    let Some(mut client) = hub.clients.client(control) else { return HoldResult::NoAnswer };
    let call = client.hold(spec.hold_request(member, &hub.name));
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(reply)) => hold_result(reply.into_inner()),
        Ok(Err(_)) | Err(_) => {
            hub.clients.remove(control);
            HoldResult::NoAnswer
        }
    }
}

/// Waits until a pending hold may be requested again.
pub async fn pending_delay() {
    tokio::time::sleep(PENDING_DELAY).await;
}

fn hold_result(reply: v1::HoldReply) -> HoldResult {
    use v1::hold_reply::State;
    match reply.state() {
        State::Held => HoldResult::Held,
        State::Pending => HoldResult::Pending,
        State::Refused | State::Unspecified => {
            HoldResult::Refused { reason: reply.reason, highest_epoch: reply.seen }
        }
    }
}

/// Commits all members. If a member cannot be reached, it never becomes ready and the lead ends the
/// gang, so a failure needs no rollback here.
pub async fn commit_gang(
    hub: &Arc<Hub>,
    spec: &PlacementSpec,
    members: Vec<(AgentId, String)>,
    task: Vec<u8>,
) {
    let member_list: Vec<v1::Member> = members
        .iter()
        .map(|(agent, control)| v1::Member { agent: Some(agent.into()), control: control.clone() })
        .collect();
    let commits = members.iter().map(|(_, control)| {
        let request = v1::CommitRequest {
            gang: spec.job.clone(),
            epoch: spec.epoch,
            members: member_list.clone(),
            task: task.clone(),
            memory_mib: spec.memory_mib,
        };
        async move {
            let Some(mut client) = hub.clients.client(control) else { return };
            // An unanswered commit is sent once more; agents treat a repeated commit as the first.
            for _ in 0..2 {
                let call = client.commit(request.clone());
                if matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
                    return;
                }
            }
        }
    });
    futures::future::join_all(commits).await;
}

/// Stops a running gang, or a placement that has not started, at the agent at `control`. Returns
/// whether the agent answered.
pub async fn stop_gang(hub: &Arc<Hub>, control: &str, request: v1::StopRequest) -> bool {
    let Some(mut client) = hub.clients.client(control) else { return false };
    let answered = tokio::time::timeout(CALL_TIMEOUT, client.stop(request)).await;
    matches!(answered, Ok(Ok(_)))
}

/// Sets and clears reservations on one worker. Returns whether the agent answered.
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
    matches!(tokio::time::timeout(CALL_TIMEOUT, client.hold(request)).await, Ok(Ok(_)))
}
