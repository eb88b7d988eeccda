use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use skylarkpulley_proto::{AgentClients, v1};
use skylarkpulley_telemetry::{Decisions, Metrics};
use skylarkpulley_types::{AgentId, Clock};
use tokio::sync::{mpsc, watch};

use crate::config_state::ConfigState;
use crate::range_view::RangeView;

/// What a session tells about its agent.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A session was opened.
    Joined { session: u64, hello: Arc<v1::Hello> },
    /// The agent takes no new work.
    Leaving { hello: Arc<v1::Hello> },
    /// A session ended; `silent` when it was given up for lack of messages.
    Left { session: u64, hello: Arc<v1::Hello>, silent: bool },
    /// The agent reported its state.
    Report { session: u64, hello: Arc<v1::Hello>, report: Arc<v1::Report> },
}

impl MemberEvent {
    /// Returns the message that identifies the agent.
    pub fn hello(&self) -> &v1::Hello {
        match self {
            Self::Joined { hello, .. }
            | Self::Leaving { hello, .. }
            | Self::Left { hello, .. }
            | Self::Report { hello, .. } => hello,
        }
    }
}

/// Returns the identity in `hello`; sessions without one are refused.
pub fn agent_id(hello: &v1::Hello) -> AgentId {
    hello.agent.clone().unwrap_or_default().into()
}

/// An entry that takes part, as this entry knows it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryAddress {
    /// Name from its settings.
    pub name: String,
    /// Address of its control listener.
    pub control: String,
    /// Version of the tables in force there.
    pub config: u64,
}

/// Connects the tasks of one entry: what is in force, who is there, and whom to notify.
pub struct Hub {
    /// Connections to agents.
    pub clients: AgentClients,
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Configuration in force.
    pub config: watch::Sender<ConfigState>,
    /// Record of decisions.
    pub decisions: Decisions,
    /// Live entries, this one included, in order of name.
    pub entries: watch::Sender<Vec<EntryAddress>>,
    /// Differs between runs of the entry.
    pub incarnation: u64,
    /// Metrics.
    pub metrics: Metrics,
    /// Name of this entry.
    pub name: String,
    /// Key range map in force.
    pub ranges: watch::Sender<RangeView>,
    /// Control addresses of entries that have made themselves known.
    callers: mpsc::UnboundedSender<SocketAddr>,
    listeners: Vec<mpsc::UnboundedSender<MemberEvent>>,
    sessions: AtomicU64,
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
        callers: mpsc::UnboundedSender<SocketAddr>,
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
            callers,
            listeners,
            sessions: AtomicU64::new(1),
        }
    }

    /// Returns a number for a new session, unique within this process.
    pub fn next_session(&self) -> u64 {
        self.sessions.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id of a new job, unique among all entries.
    pub fn new_job_id(&self) -> String {
        let number = self.sessions.fetch_add(1, Ordering::Relaxed);
        format!("job-{}-{:x}-{number}", self.name, self.incarnation)
    }

    /// Sends `event` to every listener.
    pub fn notify(&self, event: MemberEvent) {
        for listener in &self.listeners {
            // A listener that is gone belongs to a stopping process.
            let _ = listener.send(event.clone());
        }
    }

    /// Notes the address of an entry that has made itself known.
    pub fn note_entry(&self, control: &str) {
        if let Ok(address) = control.parse() {
            let _ = self.callers.send(address);
        }
    }

    /// Puts a key range map in force unless it is older than the current one.
    pub fn accept_ranges(&self, view: RangeView) -> bool {
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

/// Decisions that are kept for `explain`; at about 200 bytes each, 4 MB.
const DECISION_LIMIT: usize = 20_000;
