//! Conversions between the types of the ledger and the protocol messages about gangs.

use std::time::Duration;

use skylarkpulley_ledger::{
    Commit, Hold, HoldReply, Member, MemberState, Rank, Ready, Refusal, Renew, RenewReply, Report,
    Reservation, Stop,
};
use skylarkpulley_proto::v1;

use crate::key_convert::to_ms;

fn to_reservation(reservation: v1::Reservation) -> Reservation {
    Reservation::new(&reservation.instance, reservation.epoch, reservation.accelerators)
}

pub fn to_hold(request: v1::HoldRequest) -> Hold {
    Hold {
        gang: request.gang,
        epoch: request.epoch,
        accelerators: request.accelerators,
        rank: Rank::new(request.class, request.submitted_ms),
        instance: (!request.instance.is_empty()).then_some(request.instance),
        preemptible: request.preemptible,
        evict: request.evict,
        memory: request.memory_mib,
        reserve: request.reserve.into_iter().map(to_reservation).collect(),
        unreserve: request.unreserve,
    }
}

pub fn from_hold_reply(reply: &HoldReply, worker: v1::WorkerState) -> v1::HoldReply {
    use v1::hold_reply::State;
    let (state, reason, seen) = match reply {
        HoldReply::Held => (State::Held, String::new(), 0),
        HoldReply::Pending => (State::Pending, String::new(), 0),
        HoldReply::Refused(refusal) => {
            (State::Refused, refusal.to_string(), fencing_epoch(refusal))
        }
    };
    v1::HoldReply { state: state.into(), reason, worker: Some(worker), seen }
}

/// Returns the epoch that caused the refusal, or 0 if no epoch did.
fn fencing_epoch(refusal: &Refusal) -> u64 {
    match refusal {
        Refusal::Stale { seen, .. } => *seen,
        Refusal::Committed { epoch, .. } => *epoch,
        _ => 0,
    }
}

pub fn to_commit(request: v1::CommitRequest) -> Commit {
    let member =
        |member: v1::Member| Member::new(member.agent.unwrap_or_default().into(), &member.control);
    Commit {
        gang: request.gang,
        epoch: request.epoch,
        members: request.members.into_iter().map(member).collect(),
        task: request.task.into(),
    }
}

pub fn to_stop(request: v1::StopRequest) -> Stop {
    Stop {
        gang: request.gang,
        epoch: request.epoch,
        checkpoint: request.checkpoint,
        grace: Duration::from_millis(request.grace_ms),
        reason: request.reason,
    }
}

pub fn from_stop(stop: Stop) -> v1::StopRequest {
    v1::StopRequest {
        gang: stop.gang,
        epoch: stop.epoch,
        checkpoint: stop.checkpoint,
        grace_ms: to_ms(stop.grace),
        reason: stop.reason,
    }
}

fn from_state(state: MemberState) -> v1::MemberState {
    match state {
        MemberState::Ready => v1::MemberState::Ready,
        MemberState::Running => v1::MemberState::Running,
        MemberState::Leaving => v1::MemberState::Leaving,
        MemberState::Failed => v1::MemberState::Failed,
        MemberState::Finished => v1::MemberState::Finished,
        MemberState::Unknown => v1::MemberState::Unknown,
    }
}

fn to_state(state: v1::MemberState) -> MemberState {
    match state {
        v1::MemberState::Ready => MemberState::Ready,
        v1::MemberState::Running => MemberState::Running,
        v1::MemberState::Leaving => MemberState::Leaving,
        v1::MemberState::Failed => MemberState::Failed,
        v1::MemberState::Finished => MemberState::Finished,
        v1::MemberState::Unknown => MemberState::Unknown,
    }
}

pub fn to_ready(request: v1::GangReadyRequest) -> Ready {
    Ready {
        state: to_state(request.state()),
        gang: request.gang,
        epoch: request.epoch,
        member: request.member.unwrap_or_default().into(),
        stamp: request.stamp,
    }
}

pub fn from_ready(ready: &Ready) -> v1::GangReadyRequest {
    v1::GangReadyRequest {
        gang: ready.gang.clone(),
        epoch: ready.epoch,
        member: Some((&ready.member).into()),
        stamp: ready.stamp,
        state: from_state(ready.state).into(),
    }
}

pub fn to_renew(request: v1::GangRenewRequest) -> Renew {
    Renew {
        gang: request.gang,
        epoch: request.epoch,
        lease: Duration::from_millis(request.lease_ms),
        stamp: request.stamp,
        sequence: request.sequence,
    }
}

pub fn from_renew(renew: &Renew) -> v1::GangRenewRequest {
    v1::GangRenewRequest {
        gang: renew.gang.clone(),
        epoch: renew.epoch,
        lease_ms: to_ms(renew.lease),
        stamp: renew.stamp,
        sequence: renew.sequence,
    }
}

pub fn to_renew_reply(reply: v1::GangRenewReply) -> RenewReply {
    RenewReply { state: to_state(reply.state()), stamp: reply.stamp }
}

pub fn from_renew_reply(reply: RenewReply) -> v1::GangRenewReply {
    v1::GangRenewReply { state: from_state(reply.state).into(), stamp: reply.stamp }
}

/// Converts the report of the ledger to a message that also lists the gangs that ended recently.
pub fn from_report(report: Report, ended: Vec<v1::GangEnd>) -> v1::WorkerState {
    let memory_used_mib = report.grants.iter().map(|grant| grant.memory_used).sum();
    let grants = report.grants.into_iter().map(|grant| v1::Grant {
        gang: grant.gang,
        epoch: grant.epoch,
        accelerators: grant.accelerators,
        instance: grant.instance.unwrap_or_default(),
        preemptible: grant.preemptible,
        running: grant.running,
        lead: grant.lead.as_ref().map(v1::AgentId::from),
        running_ms: to_ms(grant.running_for),
        memory_used_mib: grant.memory_used,
    });
    let reservations = report.reservations.into_iter().map(|reservation| v1::Reservation {
        instance: reservation.instance,
        epoch: reservation.epoch,
        accelerators: reservation.accelerators,
    });
    v1::WorkerState {
        serving: report.serving,
        accelerators: report.accelerators,
        grants: grants.collect(),
        reservations: reservations.collect(),
        memory_used_mib,
        ended,
    }
}
