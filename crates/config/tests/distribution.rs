//! Tests of the distribution from several entries to agents over a network that loses, duplicates
//! and reorders messages, with restarts of entries and agents.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::document;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use skylarkpulley_config::{ApplyOutcome, Delta, Distributor, Document, Replica, Rows};
use skylarkpulley_types::Digest;

const ENTRIES: [&str; 3] = ["e0", "e1", "e2"];
const AGENTS: usize = 4;

/// One event of a generated sequence. Indices are reduced modulo the number of agents, entries or
/// messages.
#[derive(Clone, Debug)]
enum Event {
    /// An operator's edit sets or removes a row in the store.
    Edit {
        key: u8,
        text: Option<u8>,
    },
    /// An entry reads the store.
    Poll {
        entry: u8,
    },
    /// The entry `to` requests the configuration of the entry `from`.
    Exchange {
        from: u8,
        to: u8,
    },
    /// An agent reports its version and digest to all entries.
    Report {
        agent: u8,
    },
    /// An entry sends the deltas that are due.
    Send {
        entry: u8,
    },
    /// A message in flight is delivered; with `keep`, a copy of it stays in flight.
    Deliver {
        message: u8,
        keep: bool,
    },
    /// A message in flight is lost.
    Lose {
        message: u8,
    },
    RestartAgent {
        agent: u8,
    },
    RestartEntry {
        entry: u8,
    },
    Wait {
        ms: u16,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 22 {
            0..=2 => Self::Edit { key: a % 6, text: Option::arbitrary(g) },
            3..=4 => Self::Poll { entry: a },
            5 => Self::Exchange { from: a, to: b },
            6..=8 => Self::Report { agent: a },
            9..=11 => Self::Send { entry: a },
            12..=16 => Self::Deliver { message: a, keep: bool::arbitrary(g) },
            17 => Self::Lose { message: a },
            18 => Self::RestartAgent { agent: a },
            19 => Self::RestartEntry { entry: a },
            _ => Self::Wait { ms: u16::arbitrary(g) % 2000 },
        }
    }
}

/// A message in flight.
enum Message {
    Config { agent: usize, delta: Arc<Delta> },
    Report { agent: usize, digest: Digest, entry: usize, version: u64 },
}

/// Simulated agents, entries, network and store.
struct Simulation {
    agents: Vec<Replica>,
    entries: Vec<Distributor>,
    in_flight: Vec<Message>,
    now: Instant,
    /// Every version that was ever stored.
    published: BTreeMap<u64, Document>,
    /// Number of deltas sent by entries.
    sends: usize,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            agents: vec![Replica::new(); AGENTS],
            entries: Vec::new(),
            in_flight: Vec::new(),
            now,
            published: BTreeMap::from([(0, Document::default())]),
            sends: 0,
        };
        simulation.entries = ENTRIES.iter().map(|name| simulation.new_entry(name)).collect();
        simulation
    }

    fn new_entry(&self, name: &str) -> Distributor {
        let mut entry = Distributor::new(self.now, name);
        entry.set_entries(&ENTRIES);
        entry
    }

    fn latest(&self) -> &Document {
        self.published.values().last().unwrap()
    }

    fn edit(&mut self, key: u8, text: Option<u8>) {
        let mut rows: Rows = self.latest().rows().clone();
        let key = format!("pool/{key}");
        match text {
            Some(text) => rows.insert(key, text.to_string().into()),
            None => rows.remove(&key),
        };
        let version = self.latest().version() + 1;
        self.published.insert(version, Document::new(version, rows));
    }

    fn poll(&mut self, entry: usize) {
        let document = self.latest().clone();
        self.entries[entry].install(self.now, document);
    }

    fn report(&mut self, agent: usize) {
        let document = self.agents[agent].document();
        let (version, digest) = (document.version(), document.digest());
        for entry in 0..ENTRIES.len() {
            self.in_flight.push(Message::Report { agent, digest, entry, version });
        }
    }

    fn send(&mut self, entry: usize) {
        for (name, delta) in self.entries[entry].take_due_sends(self.now, 100) {
            let agent = name[1..].parse().unwrap();
            self.in_flight.push(Message::Config { agent, delta });
            self.sends += 1;
        }
    }

    fn deliver(&mut self, index: usize) {
        match &self.in_flight[index] {
            Message::Config { agent, delta } => {
                self.agents[*agent].apply(delta);
            }
            Message::Report { agent, digest, entry, version } => {
                let name = format!("a{agent}");
                self.entries[*entry].record_report(self.now, &name, *version, *digest);
            }
        }
    }

    fn step(&mut self, event: &Event) {
        let entry_index = |index: u8| usize::from(index) % ENTRIES.len();
        let agent_index = |index: u8| usize::from(index) % AGENTS;
        match *event {
            Event::Edit { key, text } => self.edit(key, text),
            Event::Poll { entry: index } => self.poll(entry_index(index)),
            Event::Exchange { from, to } => {
                let document = self.entries[entry_index(to)].document();
                let (version, digest) = (document.version(), document.digest());
                if let Some(delta) = self.entries[entry_index(from)].delta_for(version, digest) {
                    self.entries[entry_index(to)].apply(self.now, &delta);
                }
            }
            Event::Report { agent: index } => self.report(agent_index(index)),
            Event::Send { entry: index } => self.send(entry_index(index)),
            Event::Deliver { message, keep } if !self.in_flight.is_empty() => {
                let index = usize::from(message) % self.in_flight.len();
                self.deliver(index);
                if !keep {
                    self.in_flight.remove(index);
                }
            }
            Event::Lose { message } if !self.in_flight.is_empty() => {
                self.in_flight.remove(usize::from(message) % self.in_flight.len());
            }
            Event::Deliver { .. } | Event::Lose { .. } => {}
            Event::RestartAgent { agent: index } => {
                self.agents[agent_index(index)] = Replica::new()
            }
            Event::RestartEntry { entry: index } => {
                self.entries[entry_index(index)] = self.new_entry(ENTRIES[entry_index(index)]);
            }
            Event::Wait { ms } => self.now += Duration::from_millis(ms.into()),
        }
    }

    /// Simulates one second in which all agents report, all entries poll the store and send, and all
    /// messages are delivered.
    fn run_second_without_faults(&mut self) {
        self.now += Duration::from_secs(1);
        (0..AGENTS).for_each(|agent| self.report(agent));
        (0..ENTRIES.len()).for_each(|entry| self.poll(entry));
        for index in 0..self.in_flight.len() {
            self.deliver(index);
        }
        self.in_flight.clear();
        (0..ENTRIES.len()).for_each(|entry| self.send(entry));
        for index in 0..self.in_flight.len() {
            self.deliver(index);
        }
        self.in_flight.clear();
    }

    /// Checks that every process has exactly a published document and that its version is not lower
    /// than in `versions` unless the event restarted the process.
    fn check(&self, versions: &[u64], event: &Event) -> Result<(), String> {
        let documents = self.documents();
        for (process, document) in documents.iter().enumerate() {
            if self.published.get(&document.version()) != Some(*document) {
                return Err(format!(
                    "{event:?}: process {process} has a document that was not published"
                ));
            }
            let restarted = match event {
                Event::RestartAgent { agent } => usize::from(*agent) % AGENTS == process,
                Event::RestartEntry { entry } => {
                    AGENTS + usize::from(*entry) % ENTRIES.len() == process
                }
                _ => false,
            };
            if document.version() < versions[process] && !restarted {
                return Err(format!(
                    "{event:?}: process {process} returned to the lower version {}",
                    document.version()
                ));
            }
        }
        Ok(())
    }

    fn documents(&self) -> Vec<&Document> {
        let agents = self.agents.iter().map(Replica::document);
        agents.chain(self.entries.iter().map(Distributor::document)).collect()
    }

    fn versions(&self) -> Vec<u64> {
        self.documents().into_iter().map(Document::version).collect()
    }
}

/// Guards against a process that returns to a lower version, has a mixture of versions, or never
/// receives the latest version.
#[test]
fn distribution_never_reverts_and_converges() {
    fn property(events: Vec<Event>) -> TestResult {
        let mut simulation = Simulation::new();
        for event in &events {
            let before = simulation.versions();
            simulation.step(event);
            if let Err(error) = simulation.check(&before, event) {
                return TestResult::error(error);
            }
        }
        simulation.edit(0, Some(1));
        // This time is enough for two unsuccessful sends by the entry with the highest rank.
        (0..8).for_each(|_| simulation.run_second_without_faults());
        let latest = simulation.latest();
        let converged = simulation.documents().into_iter().all(|document| document == latest);
        TestResult::from_bool(converged)
    }
    let generator = Gen::from_size_and_seed(200, 7);
    QuickCheck::new()
        .rng(generator)
        .tests(400)
        .quickcheck(property as fn(Vec<Event>) -> TestResult);
}

/// Guards against several entries that send the same change to the same agent.
#[test]
fn distributor_sends_once() {
    let mut simulation = Simulation::new();
    (0..4).for_each(|_| simulation.run_second_without_faults());
    simulation.edit(0, Some(1));
    (0..6).for_each(|_| simulation.run_second_without_faults());
    assert_eq!(simulation.sends, AGENTS);
    for agent in &simulation.agents {
        assert_eq!(agent.document(), simulation.latest());
    }
}

/// Guards against a change that is never sent because the first entry in the ranking has failed.
#[test]
fn distributor_covers_lost_entry() {
    let mut simulation = Simulation::new();
    (0..4).for_each(|_| simulation.run_second_without_faults());
    simulation.edit(0, Some(1));
    // Only one entry runs, and it has not detected yet that the others have failed.
    for _ in 0..5 {
        simulation.now += Duration::from_secs(1);
        (0..AGENTS).for_each(|agent| simulation.report(agent));
        simulation.poll(1);
        (0..simulation.in_flight.len()).for_each(|index| simulation.deliver(index));
        simulation.in_flight.clear();
        simulation.send(1);
        (0..simulation.in_flight.len()).for_each(|index| simulation.deliver(index));
        simulation.in_flight.clear();
    }
    assert!(simulation.agents.iter().all(|agent| agent.document() == simulation.latest()));
}

/// Guards against a damaged document that is never replaced, and against a delta that is sent
/// repeatedly although the agent cannot apply it.
#[test]
fn distributor_repairs_damage() {
    let now = Instant::now();
    let mut entry = Distributor::new(now, "e0");
    entry.install(now, document(1, &[("pool/a", "1"), ("pool/b", "1")]));
    entry.install(now, document(2, &[("pool/a", "2"), ("pool/b", "1")]));
    let mut agent = Replica::new();
    agent.install(document(1, &[("pool/a", "1"), ("pool/b", "damaged")]));
    entry.record_report(now, "a0", 1, agent.document().digest());
    let sends = entry.take_due_sends(now, 10);
    assert_eq!(
        (sends[0].1.from, agent.apply(&sends[0].1)),
        (1, ApplyOutcome::FullDocumentRequired)
    );
    assert!(entry.take_due_sends(now, 10).is_empty());
    let later = now + Duration::from_secs(2);
    entry.record_report(later, "a0", 1, agent.document().digest());
    let sends = entry.take_due_sends(later, 10);
    assert_eq!((sends[0].1.from, agent.apply(&sends[0].1)), (0, ApplyOutcome::Applied));
    assert_eq!(agent.document(), entry.document());
    entry.record_report(later, "a0", 2, agent.document().digest());
    assert_eq!((entry.progress(), entry.take_due_sends(later, 10).len()), ((1, 1), 0));
}
