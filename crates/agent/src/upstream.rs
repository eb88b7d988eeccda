use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// An announcement is void when it is not repeated within this time; upstreams repeat it every
/// 500 ms, so two may be lost.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_millis(1500);

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AnnouncedState {
    /// It takes no new requests and finishes those it has.
    Leaving,
    /// It takes requests.
    Serving,
}

/// Body of `POST /announce`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Address "ip:port" of the upstream.
    pub address: String,
    /// Whether it takes requests.
    pub state: AnnouncedState,
    /// Start counter of the upstream; higher is newer.
    pub incarnation: u64,
}

/// The agent's knowledge of its upstream, from announcements alone.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    last: Option<(Announcement, Instant)>,
}

impl Upstream {
    /// Returns the state before any announcement.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an announcement and reports whether it was accepted. One of an older incarnation,
    /// or `serving` after `leaving` of the same incarnation, arrived late and is ignored.
    pub fn announce(&mut self, announcement: &Announcement, now: Instant) -> bool {
        if let Some((last, _)) = &self.last {
            let late = announcement.incarnation < last.incarnation;
            let revived = announcement.incarnation == last.incarnation
                && last.state == AnnouncedState::Leaving
                && announcement.state == AnnouncedState::Serving;
            if late || revived {
                return false;
            }
        }
        self.last = Some((announcement.clone(), now));
        true
    }

    /// Returns the address while the upstream takes requests.
    pub fn serving(&self, now: Instant) -> Option<&str> {
        let (last, at) = self.last.as_ref()?;
        let fresh = now.saturating_duration_since(*at) < ANNOUNCEMENT_LIFETIME;
        (fresh && last.state == AnnouncedState::Serving).then_some(last.address.as_str())
    }

    /// Returns the incarnation last announced, 0 before any announcement.
    pub fn incarnation(&self) -> u64 {
        self.last.as_ref().map_or(0, |(last, _)| last.incarnation)
    }
}
