use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_types::{Digest, rank_nodes};

use crate::{ApplyOutcome, Delta, Document, History};

/// Number of earlier versions from which a delta can be made. At 7.6 changes per minute these cover
/// half an hour; a process that was disconnected for longer receives the whole document.
const HISTORY_VERSIONS: usize = 256;

/// Time that an entry waits per entry ranked before it for a process. It exceeds the 1 s interval of
/// reports, so that the process reports a version sent by another entry before the delay ends.
const RANK_DELAY: Duration = Duration::from_millis(1500);

/// Maximum rank, and therefore maximum number of [`RANK_DELAY`] periods that an entry waits. It
/// bounds the time until a process is sent a change when the first entries in its ranking fail.
const MAX_RANK: u32 = 2;

/// Time after which a change is sent again to a process that has not reported its version. It
/// exceeds the interval of reports plus two network delays.
const RESEND_AFTER: Duration = Duration::from_millis(1500);

/// Decides which process an entry sends the configuration to, and from which version.
///
/// Every process reports its version and digest to all entries. For each process, the entries are
/// ranked by rendezvous hashing. The first entry sends a new version at once; each of the others
/// sends it only if the process has not reported it after a delay that depends on the rank of the
/// entry. One change is therefore normally sent to each process once, regardless of the number of
/// entries.
#[derive(Clone, Debug)]
pub struct Distributor {
    /// Time at which the current document was installed.
    changed: Instant,
    /// Deltas to the current version by the version to which they are applied, shared between
    /// processes.
    deltas: BTreeMap<u64, Arc<Delta>>,
    entries: Vec<String>,
    history: History,
    name: String,
    peers: BTreeMap<String, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    digest: Digest,
    /// Number of entries ranked before this one for the process, at most [`MAX_RANK`].
    rank: u32,
    /// Time of the last report.
    reported: Instant,
    sent: Option<SentDelta>,
    /// Time of the first report.
    since: Instant,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct SentDelta {
    at: Instant,
    to: u64,
}

impl Distributor {
    /// Returns a distributor without a document for the entry called `name`.
    pub fn new(now: Instant, name: &str) -> Self {
        Self {
            changed: now,
            deltas: BTreeMap::new(),
            entries: vec![name.to_owned()],
            history: History::new(HISTORY_VERSIONS),
            name: name.to_owned(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        self.history.document()
    }

    /// Sets the names of the live entries. This entry is added when it is not among them.
    pub fn set_entries(&mut self, names: &[&str]) {
        self.entries = names.iter().map(|name| (*name).to_owned()).collect();
        if !names.contains(&self.name.as_str()) {
            self.entries.push(self.name.clone());
        }
        self.entries.sort();
        self.entries.dedup();
        for (name, peer) in &mut self.peers {
            peer.rank = entry_rank(name, &self.name, &self.entries);
        }
    }

    /// Installs a document read from the store unless its version is not higher than the current
    /// one.
    pub fn install(&mut self, now: Instant, document: Document) -> ApplyOutcome {
        let outcome = self.history.install(document);
        self.record_outcome(now, outcome)
    }

    /// Applies a delta received from another entry.
    pub fn apply(&mut self, now: Instant, delta: &Delta) -> ApplyOutcome {
        let outcome = self.history.apply(delta);
        self.record_outcome(now, outcome)
    }

    /// Records the version and digest that the process `peer` reports. The first report adds the
    /// process to those that are sent changes.
    pub fn record_report(&mut self, now: Instant, peer: &str, version: u64, digest: Digest) {
        if let Some(registered) = self.peers.get_mut(peer) {
            (registered.version, registered.digest, registered.reported) = (version, digest, now);
            return;
        }
        let rank = entry_rank(peer, &self.name, &self.entries);
        let new_peer = Peer { digest, rank, reported: now, sent: None, since: now, version };
        self.peers.insert(peer.to_owned(), new_peer);
    }

    /// Removes a process whose session has ended.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Returns up to `limit` processes to which a delta must be sent now, each with its delta, and
    /// records the deltas as sent.
    pub fn take_due_sends(&mut self, now: Instant, limit: usize) -> Vec<(String, Arc<Delta>)> {
        let mut sends = Vec::new();
        if self.document().version() == 0 {
            return sends;
        }
        let (current, digest) = (self.document().version(), self.document().digest());
        for (name, peer) in &mut self.peers {
            if sends.len() == limit {
                break;
            }
            let Some(from) = peer.delta_start(now, self.changed, current, digest) else { continue };
            let history = &self.history;
            let delta = self.deltas.entry(from).or_insert_with(|| {
                let delta = history.delta_from(from);
                Arc::new(delta.unwrap_or_else(|| Delta::full(history.document())))
            });
            peer.sent = Some(SentDelta { at: now, to: current });
            sends.push((name.clone(), Arc::clone(delta)));
        }
        sends
    }

    /// Returns the delta for an entry whose document has `version` and `digest`; `None` when that
    /// document needs no change.
    pub fn delta_for(&self, version: u64, digest: Digest) -> Option<Delta> {
        let document = self.document();
        if version == document.version() && version > 0 && digest != document.digest() {
            return Some(Delta::full(document));
        }
        self.history.delta_from(version)
    }

    /// Returns the number of processes that have reported the current version and digest, and the
    /// number of all processes that have reported.
    pub fn progress(&self) -> (usize, usize) {
        let current = (self.document().version(), self.document().digest());
        let up_to_date = self.peers.values().filter(|peer| (peer.version, peer.digest) == current);
        (up_to_date.count(), self.peers.len())
    }

    fn record_outcome(&mut self, now: Instant, outcome: ApplyOutcome) -> ApplyOutcome {
        if outcome == ApplyOutcome::Applied {
            self.changed = now;
            self.deltas.clear();
        }
        outcome
    }
}

impl Peer {
    /// Returns the version from which the delta to send now starts, 0 for the whole document; `None`
    /// when nothing must be sent now.
    fn delta_start(
        &self,
        now: Instant,
        changed: Instant,
        current: u64,
        digest: Digest,
    ) -> Option<u64> {
        let wrong_digest = self.version == current && self.digest != digest;
        if self.version >= current && !wrong_digest {
            return None;
        }
        // The delay counts from the first report of the process when that is later than the change,
        // so that the first entry in the ranking also serves new processes.
        if now < changed.max(self.since) + RANK_DELAY * self.rank {
            return None;
        }
        match self.sent {
            Some(sent) if sent.to == current => {
                let resend_due = now >= sent.at + RESEND_AFTER;
                // A report after the sending that does not have the version shows that the delta was
                // not applied.
                let not_applied = self.reported > sent.at;
                (resend_due && not_applied).then_some(0)
            }
            _ if wrong_digest => Some(0),
            _ => Some(self.version),
        }
    }
}

/// Returns the number of entries ranked before the entry `name` for the process `peer`, at most
/// [`MAX_RANK`].
fn entry_rank(peer: &str, name: &str, entries: &[String]) -> u32 {
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let rank = rank_nodes(peer, &entries).iter().position(|entry| *entry == name);
    rank.map_or(MAX_RANK, |rank| (rank as u32).min(MAX_RANK))
}
