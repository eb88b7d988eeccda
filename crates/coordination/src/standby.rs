use std::cmp::Reverse;
use std::time::Duration;

/// Number of entries that watch the leader closely. Enough that some of them remain after the loss
/// of a failure domain.
const CLOSE_WATCHERS: u64 = 6;

/// Time between two pings of an entry that watches the leader closely.
const CLOSE_PING_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two pings of the other entries. They notice the loss of the leader by their
/// callers' requests.
const DISTANT_PING_INTERVAL: Duration = Duration::from_millis(1000);

/// Delay of a takeover by an entry that does not watch closely: a close watcher needs two pings of
/// 0.5 s without an answer at most, and a few milliseconds for the takeover.
const DISTANT_TAKEOVER_DELAY: Duration = Duration::from_millis(350);

/// An entry that may take over from the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standby<'a> {
    /// Address of its control listener.
    pub address: &'a str,
    /// Processor time that it may use, in thousandths of a core.
    pub cores: u64,
}

impl Standby<'_> {
    /// Returns the key by which entries are ordered, the first to take over first.
    fn order(&self) -> (Reverse<u64>, &str) {
        (Reverse(self.cores), self.address)
    }
}

/// Returns the number of entries among `peers` that should take over before `own` does: those with
/// more processor time, then those with a lower address.
///
/// Load pattern: most of 55 entries have an eighth of a core, and the work of the leader grows with
/// the number of agents. An entry with little processor time that leads makes all work late, and
/// pings from all entries several times a second take a part of what the leader has.
pub fn standby_rank(peers: &[Standby], own: &Standby) -> u64 {
    let preferred = peers.iter().filter(|peer| peer.order() < own.order()).count();
    u64::try_from(preferred).unwrap_or(u64::MAX)
}

/// Returns the time until an entry of this rank pings the leader again.
pub fn ping_interval(rank: u64) -> Duration {
    if rank < CLOSE_WATCHERS { CLOSE_PING_INTERVAL } else { DISTANT_PING_INTERVAL }
}

/// Returns how long an entry of this rank leaves the takeover to others.
pub fn takeover_delay(rank: u64) -> Duration {
    if rank < CLOSE_WATCHERS { Duration::ZERO } else { DISTANT_TAKEOVER_DELAY }
}
