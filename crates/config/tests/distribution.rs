//! Distribution between several entries and agents over a network that loses, repeats and reorders
//! messages, with restarts of both.

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

/// One event of a generated run; indices are reduced to the ranges in use.
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
    /// One entry asks another for its configuration.
    Exchange {
        from: u8,
        to: u8,
    },
    /// An agent reports to all entries.
    Report {
        agent: u8,
    },
    /// An entry sends what is due.
    Send {
        entry: u8,
    },
    /// A message in flight is delivered; `keep` leaves a copy in flight.
    Deliver {
        at: u8,
        keep: bool,
    },
    /// A message in flight is lost.
    Lose {
        at: u8,
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
            12..=16 => Self::Deliver { at: a, keep: bool::arbitrary(g) },
            17 => Self::Lose { at: a },
            18 => Self::RestartAgent { agent: a },
            19 => Self::RestartEntry { entry: a },
            _ => Self::Wait { ms: u16::arbitrary(g) % 2000 },
        }
    }
}

enum Message {
    Config { agent: usize, delta: Arc<Delta> },
    Report { agent: usize, digest: Digest, entry: usize, version: u64 },
}

struct World {
    agents: Vec<Replica>,
    entries: Vec<Distributor>,
    flight: Vec<Message>,
    now: Instant,
    /// Every version that the store ever held.
    published: BTreeMap<u64, Document>,
    sends: usize,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let mut world = Self {
            agents: vec![Replica::new(); AGENTS],
            entries: Vec::new(),
            flight: Vec::new(),
            now,
            published: BTreeMap::from([(0, Document::default())]),
            sends: 0,
        };
        world.entries = ENTRIES.iter().map(|name| world.entry(name)).collect();
        world
    }

    fn entry(&self, name: &str) -> Distributor {
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
            self.flight.push(Message::Report { agent, digest, entry, version });
        }
    }

    fn send(&mut self, entry: usize) {
        for (name, delta) in self.entries[entry].take_due_sends(self.now, 100) {
            let agent = name[1..].parse().unwrap();
            self.flight.push(Message::Config { agent, delta });
            self.sends += 1;
        }
    }

    fn deliver(&mut self, at: usize) {
        match &self.flight[at] {
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
        let entry = |at: u8| usize::from(at) % ENTRIES.len();
        let agent = |at: u8| usize::from(at) % AGENTS;
        match *event {
            Event::Edit { key, text } => self.edit(key, text),
            Event::Poll { entry: at } => self.poll(entry(at)),
            Event::Exchange { from, to } => {
                let document = self.entries[entry(to)].document();
                let (version, digest) = (document.version(), document.digest());
                if let Some(delta) = self.entries[entry(from)].delta_for(version, digest) {
                    self.entries[entry(to)].apply(self.now, &delta);
                }
            }
            Event::Report { agent: at } => self.report(agent(at)),
            Event::Send { entry: at } => self.send(entry(at)),
            Event::Deliver { at, keep } if !self.flight.is_empty() => {
                let at = usize::from(at) % self.flight.len();
                self.deliver(at);
                if !keep {
                    self.flight.remove(at);
                }
            }
            Event::Lose { at } if !self.flight.is_empty() => {
                self.flight.remove(usize::from(at) % self.flight.len());
            }
            Event::Deliver { .. } | Event::Lose { .. } => {}
            Event::RestartAgent { agent: at } => self.agents[agent(at)] = Replica::new(),
            Event::RestartEntry { entry: at } => {
                self.entries[entry(at)] = self.entry(ENTRIES[entry(at)]);
            }
            Event::Wait { ms } => self.now += Duration::from_millis(ms.into()),
        }
    }

    /// One second without faults.
    fn settle(&mut self) {
        self.now += Duration::from_secs(1);
        (0..AGENTS).for_each(|agent| self.report(agent));
        (0..ENTRIES.len()).for_each(|entry| self.poll(entry));
        for at in 0..self.flight.len() {
            self.deliver(at);
        }
        self.flight.clear();
        (0..ENTRIES.len()).for_each(|entry| self.send(entry));
        for at in 0..self.flight.len() {
            self.deliver(at);
        }
        self.flight.clear();
    }

    /// Checks that every process holds exactly a document that was published.
    fn check(&self, versions: &[u64], event: &Event) -> Result<(), String> {
        let held = self.documents();
        for (at, document) in held.iter().enumerate() {
            if self.published.get(&document.version()) != Some(*document) {
                return Err(format!("{event:?}: process {at} holds a mixed document"));
            }
            let restarted = match event {
                Event::RestartAgent { agent } => usize::from(*agent) % AGENTS == at,
                Event::RestartEntry { entry } => AGENTS + usize::from(*entry) % ENTRIES.len() == at,
                _ => false,
            };
            if document.version() < versions[at] && !restarted {
                return Err(format!("{event:?}: process {at} fell to {}", document.version()));
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

/// Guards against a process that reverts, holds a mixture of versions, or never catches up.
#[test]
fn distribution_never_reverts_and_converges() {
    fn property(events: Vec<Event>) -> TestResult {
        let mut world = World::new();
        for event in &events {
            let before = world.versions();
            world.step(event);
            if let Err(error) = world.check(&before, event) {
                return TestResult::error(error);
            }
        }
        world.edit(0, Some(1));
        // Two refused sends of the slowest rank fit into this time.
        (0..8).for_each(|_| world.settle());
        let latest = world.latest();
        let done = world.documents().into_iter().all(|document| document == latest);
        TestResult::from_bool(done)
    }
    let size = Gen::from_size_and_seed(200, 7);
    QuickCheck::new().rng(size).tests(400).quickcheck(property as fn(Vec<Event>) -> TestResult);
}

/// Guards against several entries sending the same change to the same agent.
#[test]
fn distributor_sends_once() {
    let mut world = World::new();
    (0..4).for_each(|_| world.settle());
    world.edit(0, Some(1));
    (0..6).for_each(|_| world.settle());
    assert_eq!(world.sends, AGENTS);
    for agent in &world.agents {
        assert_eq!(agent.document(), world.latest());
    }
}

/// Guards against a change that waits for an entry that is gone.
#[test]
fn distributor_covers_lost_entry() {
    let mut world = World::new();
    (0..4).for_each(|_| world.settle());
    world.edit(0, Some(1));
    // Only one entry works, and it does not know yet that the others are gone.
    for _ in 0..5 {
        world.now += Duration::from_secs(1);
        (0..AGENTS).for_each(|agent| world.report(agent));
        world.poll(1);
        (0..world.flight.len()).for_each(|at| world.deliver(at));
        world.flight.clear();
        world.send(1);
        (0..world.flight.len()).for_each(|at| world.deliver(at));
        world.flight.clear();
    }
    assert!(world.agents.iter().all(|agent| agent.document() == world.latest()));
}

/// Guards against a damaged document that is never replaced, and against a refused delta that is
/// sent again and again.
#[test]
fn distributor_repairs_damage() {
    let now = Instant::now();
    let mut entry = Distributor::new(now, "e0");
    entry.install(now, document(1, &[("pool/a", "1"), ("pool/b", "1")]));
    entry.install(now, document(2, &[("pool/a", "2"), ("pool/b", "1")]));
    let mut agent = Replica::new();
    agent.install(document(1, &[("pool/a", "1"), ("pool/b", "damaged")]));
    entry.record_report(now, "a0", 1, agent.document().digest());
    let due = entry.take_due_sends(now, 10);
    assert_eq!((due[0].1.from, agent.apply(&due[0].1)), (1, ApplyOutcome::FullDocumentRequired));
    assert!(entry.take_due_sends(now, 10).is_empty());
    let later = now + Duration::from_secs(2);
    entry.record_report(later, "a0", 1, agent.document().digest());
    let due = entry.take_due_sends(later, 10);
    assert_eq!((due[0].1.from, agent.apply(&due[0].1)), (0, ApplyOutcome::Applied));
    assert_eq!(agent.document(), entry.document());
    entry.record_report(later, "a0", 2, agent.document().digest());
    assert_eq!((entry.progress(), entry.take_due_sends(later, 10).len()), ((1, 1), 0));
}
