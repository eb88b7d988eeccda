use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use skylarkpulley_proto::{AgentClients, v1};
use skylarkpulley_telemetry::{Decisions, Metrics};
use skylarkpulley_types::{AgentId, Clock};
use tokio::sync::{mpsc, watch};

use crate::config_state::ConfigState;
use crate::range_view::RangeView;

/// Event in the session of an agent.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A session was opened.
    Joined { session: u64, hello: Arc<v1::Hello> },
    /// The agent accepts no new work.
    Leaving { hello: Arc<v1::Hello> },
    /// A session ended; `silent` when the entry ended it because no message arrived in time.
    Closed { session: u64, hello: Arc<v1::Hello>, silent: bool },
    /// The agent reported its state.
    Report { session: u64, hello: Arc<v1::Hello>, report: Arc<v1::Report> },
}

impl MemberEvent {
    /// Returns the message that identifies the agent.
    pub fn hello(&self) -> &v1::Hello {
        match self {
            Self::Joined { hello, .. }
            | Self::Leaving { hello, .. }
            | Self::Closed { hello, .. }
            | Self::Report { hello, .. } => hello,
        }
    }
}

/// Returns the identity in `hello`; sessions without one are refused.
pub fn agent_id(hello: &v1::Hello) -> AgentId {
    hello.agent.clone().unwrap_or_default().into()
}

/// A live entry.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// Name from its settings.
    pub name: String,
    /// Address of its control listener.
    pub control: String,
    /// Version of its configuration when it last answered.
    pub config: u64,
}

/// State that the tasks of one entry share: current configuration and key ranges, live entries,
/// connections to agents, and the receivers of member events.
pub struct Hub {
    /// Connections to agents.
    pub clients: AgentClients,
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Current configuration.
    pub config: watch::Sender<ConfigState>,
    /// Record of decisions.
    pub decisions: Decisions,
    /// Live entries, this one included, in order of name.
    pub entries: watch::Sender<Vec<EntryAddress>>,
    /// Differs between lifetimes of the entry.
    pub incarnation: u64,
    /// Metrics.
    pub metrics: Metrics,
    /// Name of this entry.
    pub name: String,
    /// Current key range map.
    pub ranges: watch::Sender<RangeView>,
    /// Receives the control addresses of other entries.
    discovered_entries: mpsc::UnboundedSender<SocketAddr>,
    listeners: Vec<mpsc::UnboundedSender<MemberEvent>>,
    /// Source of session numbers and of the numbers in job ids.
    sequence: AtomicU64,
}

impl Hub {
    /// Returns the hub of the entry called `name`. Member events go to every listener.
    pub fn new(
        name: &str,
        incarnation: u64,
        clients: AgentClients,
        clock: Arc<dyn Clock>,
        metrics: Metrics,
        listeners: Vec<mpsc::UnboundedSender<MemberEvent>>,
        discovered_entries: mpsc::UnboundedSender<SocketAddr>,
    ) -> Self {
        Self {
            clients,
            clock,
            config: watch::Sender::new(ConfigState::new()),
            decisions: Decisions::new(DECISION_LIMIT),
            entries: watch::Sender::new(Vec::new()),
            incarnation,
            metrics,
            name: name.to_owned(),
            ranges: watch::Sender::new(RangeView::new()),
            discovered_entries,
            listeners,
            sequence: AtomicU64::new(1),
        }
    }

    /// Returns a number for a new session, unique within this process.
    pub fn next_session(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a new job, unique among all entries.
    pub fn new_job_id(&self) -> String {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        format!("job-{}-{:x}-{number}", self.name, self.incarnation)
    }

    /// Sends `event` to every listener.
    pub fn notify(&self, event: MemberEvent) {
        for listener in &self.listeners {
            // A listener is dropped only while the process stops.
            let _ = listener.send(event.clone());
        }
    }

    /// Adds the control address of another entry to those that [`crate::peers::Peers`] calls; an
    /// address that does not parse is ignored.
    pub fn add_discovered_entry(&self, control: &str) {
        if let Ok(address) = control.parse() {
            let _ = self.discovered_entries.send(address);
        }
    }

    /// Replaces the key range map if `view` is newer, and returns whether it was.
    pub fn update_ranges(&self, view: RangeView) -> bool {
        self.ranges.send_if_modified(|current| {
            let newer = view.version() > current.version();
            if newer {
                *current = view;
            }
            newer
        })
    }

    /// Returns the control addresses of the live entries.
    pub fn entry_addresses(&self) -> Vec<String> {
        self.entries.borrow().iter().map(|entry| entry.control.clone()).collect()
    }
}

/// Number of decisions that are kept for `explain`. At about 200 bytes each they take 4 MB.
const DECISION_LIMIT: usize = 20_000;
