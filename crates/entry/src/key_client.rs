use std::time::{Duration, Instant};

use skylarkpulley_keys::{AgentEndpoint, range_of};
use skylarkpulley_proto::v1;

use crate::dispatch::Dispatch;
use crate::hub::Hub;

/// Time for one call to the owner of a key range; the copy to the witness is included.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a range that could not be reached is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tries of a message that ends a reservation. When all fail, the owner asks the target's agent.
const MAX_END_CALLS: u32 = 3;

/// Answer to a reservation.
#[derive(Clone, Debug)]
pub enum ReserveResult {
    /// The key was answered before.
    Answered(v1::Response),
    /// The records of the key's range are full; the key was never granted.
    Full,
    /// The attempt may run.
    Granted,
    /// Another attempt holds the key.
    InProgress,
    /// The key was used for a request with other content.
    Mismatch,
    /// The range cannot be reached; earlier attempts with the key cannot be ruled out.
    Unavailable(String),
    /// An earlier attempt may or may not have run.
    Unknown,
}

/// One attempt's reservation of an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyReservation {
    /// The attempt that reserves.
    pub attempt: String,
    /// Content of the request.
    pub digest: u64,
    /// The caller's key, within the scope of its route.
    pub key: String,
}

impl KeyReservation {
    /// Reserves the key until `deadline` for a run on `dispatch`. Without one no run follows, and the
    /// claim names the owner itself, which lets the key go if this entry dies.
    pub async fn reserve(
        &self,
        hub: &Hub,
        dispatch: Option<&Dispatch>,
        deadline: Instant,
    ) -> ReserveResult {
        let mut reason = "the key range has no owner yet".to_owned();
        loop {
            let left = deadline.saturating_duration_since(hub.clock.now());
            if left.is_zero() {
                return ReserveResult::Unavailable(reason);
            }
            match self.try_reserve(hub, dispatch, left).await {
                Ok(reserved) => return reserved,
                Err(error) => reason = error,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn try_reserve(
        &self,
        hub: &Hub,
        dispatch: Option<&Dispatch>,
        left: Duration,
    ) -> Result<ReserveResult, String> {
        let (range, epoch, place) = self.range(hub).ok_or("the key range has no owner yet")?;
        let owner = place.control.clone();
        let target = dispatch.map_or(&place.agent, |dispatch| &dispatch.agent);
        let target_control = dispatch.map_or(&owner, |dispatch| &dispatch.control);
        let mut client = hub.clients.client(&owner).ok_or("invalid owner address")?;
        let call = client.reserve_key(v1::ReserveKeyRequest {
            range,
            epoch,
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            request_digest: self.digest,
            target: Some(target.into()),
            target_control: target_control.clone(),
            budget_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        });
        let reply = match tokio::time::timeout(CALL_TIMEOUT.min(left), call).await {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => {
                hub.clients.remove(&owner);
                return Err(format!("the key's owner: {}", status.message()));
            }
            Err(_) => {
                // The connection may be silent; the message is safe to repeat over a new one.
                hub.clients.remove(&owner);
                return Err("the key's owner did not answer".to_owned());
            }
        };
        match (reply.state(), reply.response) {
            (v1::KeyState::Granted, _) => Ok(ReserveResult::Granted),
            (v1::KeyState::InProgress, _) => Ok(ReserveResult::InProgress),
            (v1::KeyState::Answered, Some(response)) => Ok(ReserveResult::Answered(response)),
            (v1::KeyState::Full, _) => Ok(ReserveResult::Full),
            (v1::KeyState::Mismatch, _) => Ok(ReserveResult::Mismatch),
            (v1::KeyState::Unknown | v1::KeyState::Answered, _) => Ok(ReserveResult::Unknown),
            (v1::KeyState::NotOwner | v1::KeyState::Unspecified, _) => {
                Err("the key range is being handed over".to_owned())
            }
        }
    }

    /// Records the result of the attempt; without a response the key becomes unknown.
    pub async fn complete(&self, hub: &Hub, response: Option<v1::Response>) {
        for _ in 0..MAX_END_CALLS {
            let Some((range, _, AgentEndpoint { control: owner, .. })) = self.range(hub) else {
                return;
            };
            let Some(mut client) = hub.clients.client(&owner) else { return };
            let call = client.complete_key(v1::CompleteKeyRequest {
                range,
                key: self.key.clone(),
                attempt: self.attempt.clone(),
                response: response.clone(),
            });
            if matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
                return;
            }
            hub.clients.remove(&owner);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Gives the key free again: the attempt was proved not to have run.
    pub async fn release(&self, hub: &Hub) {
        for _ in 0..MAX_END_CALLS {
            let Some((range, _, AgentEndpoint { control: owner, .. })) = self.range(hub) else {
                return;
            };
            let Some(mut client) = hub.clients.client(&owner) else { return };
            let call = client.release_key(v1::ReleaseKeyRequest {
                range,
                key: self.key.clone(),
                attempt: self.attempt.clone(),
            });
            if matches!(tokio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(_))) {
                return;
            }
            hub.clients.remove(&owner);
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns number, epoch and owner of the key's range.
    fn range(&self, hub: &Hub) -> Option<(u32, u64, AgentEndpoint)> {
        let index = range_of(&self.key);
        let ranges = hub.ranges.borrow();
        let range = ranges.map()?.range(index)?;
        let owner = range.owner.as_ref()?;
        Some((u32::try_from(index).ok()?, range.epoch, owner.clone()))
    }
}
