use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use skylarkpulley_proto::v1;

use crate::standby::{Standby, standby_rank};

/// An entry that has sent no ping for this long no longer follows this one. Pings are sent every
/// 0.3 s and may be late by a time-out and a new connection.
const PEER_SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Time without any ping after which this entry may be cut off from the others. Two close watchers
/// or more send one every 0.3 s each.
const CUT_OFF_AFTER: Duration = Duration::from_millis(700);

/// An entry that has sent a ping.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    /// Processor time that it may use, in thousandths of a core.
    pub cores: u64,
    /// When the last ping arrived.
    pub last_ping: Instant,
    /// Name of the entry.
    pub name: String,
    /// Version of its tables.
    pub version: u64,
}

/// Entries that follow this one, by the address that they announce.
#[derive(Debug, Default)]
pub struct Followers {
    pings: Mutex<BTreeMap<String, PeerEntry>>,
}

impl Followers {
    /// Returns no followers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the entries that have sent a ping within [`PEER_SILENCE_LIMIT`], by address.
    pub fn recent(&self) -> BTreeMap<String, PeerEntry> {
        let mut pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        remove_silent(&mut pings);
        pings.clone()
    }

    /// Records a ping. Returns the number of entries that should take over before its sender does.
    pub fn record_ping(&self, ping: &v1::PingRequest) -> u64 {
        let entry = PeerEntry {
            cores: ping.cores,
            last_ping: Instant::now(),
            name: ping.name.clone(),
            version: ping.tables_version,
        };
        let mut pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        pings.insert(ping.address.clone(), entry);
        remove_silent(&mut pings);
        let peers: Vec<Standby> =
            pings.iter().map(|(address, entry)| Standby { address, cores: entry.cores }).collect();
        standby_rank(&peers, &Standby { address: &ping.address, cores: ping.cores })
    }

    /// Reports whether there were followers and none of them has sent a ping for
    /// [`CUT_OFF_AFTER`].
    pub fn are_silent(&self) -> bool {
        let pings = self.pings.lock().unwrap_or_else(PoisonError::into_inner);
        let latest = pings.values().map(|entry| entry.last_ping).max();
        latest.is_some_and(|latest| {
            let silent = latest.elapsed();
            silent >= CUT_OFF_AFTER && silent < PEER_SILENCE_LIMIT
        })
    }
}

fn remove_silent(pings: &mut BTreeMap<String, PeerEntry>) {
    pings.retain(|_, entry| entry.last_ping.elapsed() < PEER_SILENCE_LIMIT);
}
