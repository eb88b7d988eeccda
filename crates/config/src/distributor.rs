use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_types::{Digest, rank_nodes};

use crate::{ApplyOutcome, Delta, Document, History};

/// Versions from which a delta can be made. At 7.6 changes a minute this is half an hour; a process
/// that was cut off for longer receives the whole document.
const HISTORY: usize = 256;

/// Time that an entry leaves to each entry ranked before it for a process. It exceeds the 1 s
/// interval of reports, so that a version sent by another entry has been reported by then.
const RANK_DELAY: Duration = Duration::from_millis(1500);

/// Highest number of such delays; bounds the time until a process is served by someone.
const RANK_LIMIT: u32 = 2;

/// Time after which a process that has not reported the version sent to it is served again. It
/// exceeds the interval of reports and two network delays.
const RESEND_AFTER: Duration = Duration::from_millis(1500);

/// Decides which process an entry sends the configuration to, and from which version.
///
/// Every process reports version and digest to all entries. Per process the entries are ranked by
/// rendezvous hashing; the first sends a new version at once, the others only when the process
/// still has not reported it after their delay. So one change is normally sent to each process
/// once, however many entries there are.
#[derive(Clone, Debug)]
pub struct Distributor {
    changed: Instant,
    /// Deltas to the current version by start, shared between processes.
    deltas: BTreeMap<u64, Arc<Delta>>,
    entries: Vec<String>,
    history: History,
    name: String,
    peers: BTreeMap<String, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    digest: Digest,
    rank: u32,
    reported: Instant,
    sent: Option<Sent>,
    since: Instant,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
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
            history: History::new(HISTORY),
            name: name.to_owned(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the current document.
    pub fn document(&self) -> &Document {
        self.history.document()
    }

    /// Sets the names of the live entries; this entry need not be among them.
    pub fn set_entries(&mut self, names: &[&str]) {
        self.entries = names.iter().map(|name| (*name).to_owned()).collect();
        if !names.contains(&self.name.as_str()) {
            self.entries.push(self.name.clone());
        }
        self.entries.sort();
        self.entries.dedup();
        for (name, peer) in &mut self.peers {
            peer.rank = rank(name, &self.name, &self.entries);
        }
    }

    /// Takes over a document read from the store.
    pub fn install(&mut self, now: Instant, document: Document) -> ApplyOutcome {
        let applied = self.history.install(document);
        self.note(now, applied)
    }

    /// Applies a delta received from another entry.
    pub fn apply(&mut self, now: Instant, delta: &Delta) -> ApplyOutcome {
        let applied = self.history.apply(delta);
        self.note(now, applied)
    }

    /// Takes a report of the process `peer`: the version and digest it holds. The first report
    /// makes the process known.
    pub fn record_report(&mut self, now: Instant, peer: &str, version: u64, digest: Digest) {
        if let Some(known) = self.peers.get_mut(peer) {
            (known.version, known.digest, known.reported) = (version, digest, now);
            return;
        }
        let rank = rank(peer, &self.name, &self.entries);
        let known = Peer { digest, rank, reported: now, sent: None, since: now, version };
        self.peers.insert(peer.to_owned(), known);
    }

    /// Forgets a process whose session has ended.
    pub fn remove(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Returns up to `limit` processes to serve now, each with what to send, and notes that it has
    /// been sent.
    pub fn take_due_sends(&mut self, now: Instant, limit: usize) -> Vec<(String, Arc<Delta>)> {
        let mut due = Vec::new();
        if self.document().version() == 0 {
            return due;
        }
        let (current, digest) = (self.document().version(), self.document().digest());
        for (name, peer) in &mut self.peers {
            if due.len() == limit {
                break;
            }
            let Some(from) = peer.due(now, self.changed, current, digest) else { continue };
            let history = &self.history;
            let delta = self.deltas.entry(from).or_insert_with(|| {
                let delta = history.delta_from(from);
                Arc::new(delta.unwrap_or_else(|| Delta::full(history.document())))
            });
            peer.sent = Some(Sent { at: now, to: current });
            due.push((name.clone(), Arc::clone(delta)));
        }
        due
    }

    /// Returns what to answer to an entry that holds `version` with `digest`; `None` when it needs
    /// nothing.
    pub fn delta_for(&self, version: u64, digest: Digest) -> Option<Delta> {
        let document = self.document();
        if version == document.version() && version > 0 && digest != document.digest() {
            return Some(Delta::full(document));
        }
        self.history.delta_from(version)
    }

    /// Returns how many known processes have reported the current version and digest, and how many
    /// are known.
    pub fn progress(&self) -> (usize, usize) {
        let current = (self.document().version(), self.document().digest());
        let done = self.peers.values().filter(|peer| (peer.version, peer.digest) == current);
        (done.count(), self.peers.len())
    }

    fn note(&mut self, now: Instant, applied: ApplyOutcome) -> ApplyOutcome {
        if applied == ApplyOutcome::Applied {
            self.changed = now;
            self.deltas.clear();
        }
        applied
    }
}

impl Peer {
    /// Returns the version from which to serve the process now, 0 for the whole document.
    fn due(&self, now: Instant, changed: Instant, current: u64, digest: Digest) -> Option<u64> {
        let damaged = self.version == current && self.digest != digest;
        if self.version >= current && !damaged {
            return None;
        }
        // A process that has just appeared is left to the first entry in the same way.
        if now < changed.max(self.since) + RANK_DELAY * self.rank {
            return None;
        }
        match self.sent {
            Some(sent) if sent.to == current => {
                let waited = now >= sent.at + RESEND_AFTER;
                // A report after the delta that does not show it: the delta did not apply.
                let refused = self.reported > sent.at;
                (waited && refused).then_some(0)
            }
            _ if damaged => Some(0),
            _ => Some(self.version),
        }
    }
}

fn rank(peer: &str, name: &str, entries: &[String]) -> u32 {
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let rank = rank_nodes(peer, &entries).iter().position(|entry| *entry == name);
    rank.map_or(RANK_LIMIT, |rank| (rank as u32).min(RANK_LIMIT))
}
