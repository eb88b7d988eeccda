use std::time::{Duration, Instant};

use skylarkpulley_keys::{AgentEndpoint, range_of};
use skylarkpulley_proto::v1;

use crate::dispatch::Dispatch;
use crate::hub::Hub;

/// Time limit of one call to the owner of a key range, including its copy to the witness.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a call to the owner is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limit on calls that end one reservation. If all of them fail, the owner asks the target's agent
/// for the outcome.
const MAX_END_CALLS: u32 = 3;

/// Result of a reservation.
#[derive(Clone, Debug)]
pub enum ReserveResult {
    /// An earlier attempt with the key was answered; this is its answer.
    Answered(v1::Response),
    /// The key's range has reached its limit of records; the key was never granted.
    Full,
    /// The attempt may run.
    Granted,
    /// Another attempt has reserved the key.
    InProgress,
    /// The key was used for a request with different content.
    Mismatch,
    /// The owner of the key's range cannot be reached, or the range has none; earlier attempts with
    /// the key cannot be ruled out.
    Unavailable(String),
    /// An earlier attempt may or may not have run.
    Unknown,
}

/// One attempt's reservation of an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyReservation {
    /// Id of the attempt that reserves the key.
    pub attempt: String,
    /// Digest of the request's content.
    pub digest: u64,
    /// Name of the route and the caller's key, separated by a slash.
    pub key: String,
}

impl KeyReservation {
    /// Reserves the key for the attempt of `dispatch`; repeats the call until `deadline`. Without a
    /// dispatch no attempt follows: the reservation then names the owner as the target, so that the
    /// owner can release the key if this entry fails.
    pub async fn reserve(
        &self,
        hub: &Hub,
        dispatch: Option<&Dispatch>,
        deadline: Instant,
    ) -> ReserveResult {
        let mut reason = "no owner is assigned to the range of the idempotency key".to_owned();
        loop {
            let remaining = deadline.saturating_duration_since(hub.clock.now());
            if remaining.is_zero() {
                return ReserveResult::Unavailable(reason);
            }
            match self.try_reserve(hub, dispatch, remaining).await {
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
        remaining: Duration,
    ) -> Result<ReserveResult, String> {
        let (range, epoch, endpoint) =
            self.range(hub).ok_or("no owner is assigned to the range of the idempotency key")?;
        let owner = endpoint.control.clone();
        let target = dispatch.map_or(&endpoint.agent, |dispatch| &dispatch.agent);
        let target_control = dispatch.map_or(&owner, |dispatch| &dispatch.control);
        let mut client =
            hub.clients.client(&owner).ok_or("the address of the key's owner is not valid")?;
        let call = client.reserve_key(v1::ReserveKeyRequest {
            range,
            epoch,
            key: self.key.clone(),
            attempt: self.attempt.clone(),
            request_digest: self.digest,
            target: Some(target.into()),
            target_control: target_control.clone(),
            budget_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        });
        let reply = match tokio::time::timeout(CALL_TIMEOUT.min(remaining), call).await {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => {
                hub.clients.remove(&owner);
                return Err(format!("the call to the key's owner failed: {}", status.message()));
            }
            Err(_) => {
                // The connection may be broken without an error. The call is idempotent and can be
                // repeated over a new connection.
                hub.clients.remove(&owner);
                return Err("the key's owner did not answer in time".to_owned());
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
                Err("the called agent does not own the range of the key; ownership is changing"
                    .to_owned())
            }
        }
    }

    /// Records the result of the attempt. Without a response the key gets the state `Unknown`.
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

    /// Releases the key after the attempt was proved not to have run.
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

    /// Returns the index, epoch and owner of the key's range.
    fn range(&self, hub: &Hub) -> Option<(u32, u64, AgentEndpoint)> {
        let index = range_of(&self.key);
        let ranges = hub.ranges.borrow();
        let range = ranges.map()?.range(index)?;
        let owner = range.owner.as_ref()?;
        Some((u32::try_from(index).ok()?, range.epoch, owner.clone()))
    }
}
