use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time after which an announcement that is not repeated expires. Upstreams repeat it every 500 ms,
/// so two consecutive announcements may be lost.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1500);

/// Highest incarnation that is accepted. JSON numbers are exact up to this value.
const MAX_INCARNATION: u64 = 1 << 53;

/// State of an upstream according to its announcement.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AnnouncedState {
    /// The upstream accepts no new requests and finishes the ones that it has accepted.
    Leaving,
    /// The upstream accepts requests.
    Serving,
}

/// Body of `POST /announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address "ip:port" of the upstream.
    pub address: String,
    /// Whether the upstream accepts requests.
    pub state: AnnouncedState,
    /// Incarnation of the upstream. It increases with every start.
    pub incarnation: u64,
}

/// State of the upstream of this agent, derived only from its announcements.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    latest: Option<(Announcement, Instant)>,
}

impl Upstream {
    /// Returns the state before the first announcement.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an announcement and returns whether it was accepted. An announcement of an older
    /// incarnation, or `serving` after `leaving` of the same incarnation, arrived late and is
    /// ignored. One whose values are out of range is ignored as well: it would hide the upstream's
    /// own announcements.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) -> bool {
        let address = announcement.address.parse::<SocketAddr>();
        if announcement.incarnation > MAX_INCARNATION
            || address.map_or(true, |address| address.port() == 0)
        {
            return false;
        }
        if let Some((latest, _)) = &self.latest {
            let is_older = announcement.incarnation < latest.incarnation;
            let is_late = announcement.incarnation == latest.incarnation
                && latest.state == AnnouncedState::Leaving
                && announcement.state == AnnouncedState::Serving;
            if is_older || is_late {
                return false;
            }
        }
        self.latest = Some((announcement.clone(), now));
        true
    }

    /// Returns the address of the upstream if it accepts requests, otherwise `None`.
    pub fn serving_address(&self, now: Instant) -> Option<&str> {
        let (latest, received_at) = self.latest.as_ref()?;
        let is_valid = now.saturating_duration_since(*received_at) < ANNOUNCEMENT_LIFETIME;
        (is_valid && latest.state == AnnouncedState::Serving).then_some(latest.address.as_str())
    }

    /// Returns the incarnation that was announced last, or 0 before the first announcement.
    pub fn incarnation(&self) -> u64 {
        self.latest.as_ref().map_or(0, |(latest, _)| latest.incarnation)
    }
}
