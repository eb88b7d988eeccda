//! Conversions between the types of the key table and the protocol messages about keys.

use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_keys::{
    AgentEndpoint, CopyReply, CopyRequest, FenceReply, FenceRequest, KeyRecord, KeyReply,
    LookupResult, RecordState, ReserveRequest, Response,
};
use skylarkpulley_proto::v1;
use skylarkpulley_types::Digest;

/// Converts a duration to whole milliseconds, the unit of durations in the protocol.
pub fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub fn to_range_index(index: u32) -> usize {
    usize::try_from(index).unwrap_or(usize::MAX)
}

pub fn from_range_index(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

fn to_endpoint(agent: Option<v1::AgentId>, control: &str) -> AgentEndpoint {
    AgentEndpoint::new(agent.unwrap_or_default().into(), control)
}

pub fn to_response(response: v1::Response) -> Response {
    Response {
        status: u16::try_from(response.status).unwrap_or(0),
        headers: response.headers.into_iter().map(|header| (header.name, header.value)).collect(),
        body: response.body,
    }
}

pub fn from_response(response: &Response) -> v1::Response {
    let header =
        |(name, value): &(String, String)| v1::Header { name: name.clone(), value: value.clone() };
    v1::Response {
        status: u32::from(response.status),
        headers: response.headers.iter().map(header).collect(),
        body: response.body.clone(),
    }
}

pub fn to_reserve(request: v1::ReserveKeyRequest) -> ReserveRequest {
    ReserveRequest {
        range: to_range_index(request.range),
        epoch: request.epoch,
        target: to_endpoint(request.target, &request.target_control),
        key: request.key,
        attempt: request.attempt,
        digest: Digest(request.request_digest),
        budget: Duration::from_millis(request.budget_ms),
    }
}

pub fn from_key_reply(reply: KeyReply) -> v1::ReserveKeyReply {
    let (state, response, epoch) = match reply {
        KeyReply::Granted => (v1::KeyState::Granted, None, 0),
        KeyReply::InProgress => (v1::KeyState::InProgress, None, 0),
        KeyReply::Answered(response) => (v1::KeyState::Answered, Some(from_response(&response)), 0),
        KeyReply::Mismatch => (v1::KeyState::Mismatch, None, 0),
        KeyReply::Full => (v1::KeyState::Full, None, 0),
        KeyReply::NotOwner { epoch } => (v1::KeyState::NotOwner, None, epoch),
        _ => (v1::KeyState::Unknown, None, 0),
    };
    v1::ReserveKeyReply { state: state.into(), response, epoch }
}

pub fn to_record(record: v1::KeyRecord) -> KeyRecord {
    let state = match (record.state(), record.response) {
        (v1::KeyState::Granted, _) => RecordState::Granted,
        (v1::KeyState::Answered, Some(response)) => {
            RecordState::Answered(Arc::new(to_response(response)))
        }
        (v1::KeyState::Unspecified, _) => RecordState::Released,
        (_, _) => RecordState::Unknown,
    };
    KeyRecord {
        target: to_endpoint(record.target, &record.target_control),
        key: record.key,
        attempt: record.attempt,
        digest: Digest(record.request_digest),
        state,
        age: Duration::from_millis(record.age_ms),
        budget: Duration::from_millis(record.budget_ms),
    }
}

pub fn from_record(record: &KeyRecord) -> v1::KeyRecord {
    let (state, response) = match &record.state {
        RecordState::Granted => (v1::KeyState::Granted, None),
        RecordState::Answered(response) => (v1::KeyState::Answered, Some(from_response(response))),
        RecordState::Unknown => (v1::KeyState::Unknown, None),
        RecordState::Released => (v1::KeyState::Unspecified, None),
    };
    v1::KeyRecord {
        key: record.key.clone(),
        attempt: record.attempt.clone(),
        request_digest: record.digest.0,
        state: state.into(),
        response,
        target: Some((&record.target.agent).into()),
        target_control: record.target.control.clone(),
        age_ms: to_ms(record.age),
        budget_ms: to_ms(record.budget),
    }
}

pub fn to_copy(request: v1::CopyKeysRequest) -> CopyRequest {
    CopyRequest {
        range: to_range_index(request.range),
        epoch: request.epoch,
        owner: request.owner.unwrap_or_default().into(),
        sequence: request.sequence,
        snapshot_start: request.start,
        snapshot_end: request.end,
        seal_age: request.seal_ms.map(Duration::from_millis),
        records: request.records.into_iter().map(to_record).collect(),
    }
}

pub fn from_copy(copy: &CopyRequest) -> v1::CopyKeysRequest {
    v1::CopyKeysRequest {
        range: from_range_index(copy.range),
        epoch: copy.epoch,
        owner: Some((&copy.owner).into()),
        records: copy.records.iter().map(from_record).collect(),
        sequence: copy.sequence,
        start: copy.snapshot_start,
        end: copy.snapshot_end,
        seal_ms: copy.seal_age.map(to_ms),
    }
}

pub fn to_copy_reply(copy: &CopyRequest, reply: v1::CopyKeysReply) -> CopyReply {
    CopyReply {
        range: copy.range,
        epoch: copy.epoch,
        sequence: copy.sequence,
        accepted: reply.accepted,
        witness_epoch: reply.seen,
    }
}

pub fn to_fence(request: v1::FenceRangeRequest) -> FenceRequest {
    FenceRequest {
        range: to_range_index(request.range),
        epoch: request.epoch,
        after: request.after,
    }
}

pub fn from_fence(fence: &FenceRequest) -> v1::FenceRangeRequest {
    v1::FenceRangeRequest {
        range: from_range_index(fence.range),
        epoch: fence.epoch,
        after: fence.after.clone(),
    }
}

pub fn from_fence_reply(reply: &FenceReply) -> v1::FenceRangeReply {
    v1::FenceRangeReply {
        complete: reply.complete,
        seen: reply.witness_epoch,
        records: reply.records.iter().map(from_record).collect(),
        more: reply.more,
        seal_ms: reply.seal_age.map(to_ms),
    }
}

pub fn to_fence_reply(fence: &FenceRequest, reply: v1::FenceRangeReply) -> FenceReply {
    FenceReply {
        range: fence.range,
        epoch: fence.epoch,
        after: fence.after.clone(),
        witness_epoch: reply.seen,
        complete: reply.complete,
        seal_age: reply.seal_ms.map(Duration::from_millis),
        records: reply.records.into_iter().map(to_record).collect(),
        more: reply.more,
    }
}

/// Converts the reply of a target to a lookup into the result for the key table.
pub fn to_lookup_result(reply: v1::LookupReply) -> LookupResult {
    use v1::lookup_reply::State;
    match (reply.state(), reply.reply) {
        (State::Running, _) => LookupResult::Running,
        (State::Barred, _) => LookupResult::NotRun,
        (State::Ended, Some(ended)) => match (ended.outcome(), ended.response) {
            (v1::Outcome::Answered, Some(response)) => {
                LookupResult::Answered(Arc::new(to_response(response)))
            }
            (v1::Outcome::NotRun, _) => LookupResult::NotRun,
            (_, _) => LookupResult::Unknown,
        },
        (_, _) => LookupResult::Unknown,
    }
}
