use std::sync::Arc;
use std::time::Duration;

use skylarkpulley_config::{ApplyOutcome, Delta, Replica, join_rows};
use skylarkpulley_keys::RangeMap;
use skylarkpulley_proto::v1;
use skylarkpulley_tables::parse_accepted;
use skylarkpulley_telemetry::{Decisions, Event};
use skylarkpulley_types::{Clock, Digest};
use tokio::sync::{mpsc, watch};

use crate::gangs_task::Gangs;
use crate::keys_task::Keys;
use crate::runner::{Limits, Runner};

/// Interval at which the figures that change constantly are refreshed in the report.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Parts of the agent that the messages of entries change and whose state the reports show.
pub struct StateParts {
    /// Time source.
    pub clock: Arc<dyn Clock>,
    /// Record of decisions.
    pub decisions: Arc<Decisions>,
    /// Handle to the accelerators of the worker, or `None` for the agent of an upstream.
    pub gangs: Option<Gangs>,
    /// Handle to the idempotency-key records.
    pub keys: Keys,
    /// Name of the pool that the upstream or worker belongs to.
    pub pool: String,
    /// Handle to the slots of the upstream, or `None` for the agent of a worker.
    pub runner: Option<Runner>,
}

/// Applies the configuration and the key range maps from entries and keeps the report up to date,
/// until the channel of the messages closes.
pub async fn run_state(
    parts: StateParts,
    mut messages: mpsc::Receiver<v1::EntryMessage>,
    report: watch::Sender<v1::Report>,
) {
    let mut state = State { parts, range_version: 0, replica: Replica::new(), report };
    let mut upstream = state.parts.runner.as_ref().map(Runner::state);
    let mut worker = state.parts.gangs.as_ref().map(Gangs::state);
    let mut tick = tokio::time::interval(REFRESH_INTERVAL);
    let mut range_notes = state.parts.keys.range_notes();
    loop {
        tokio::select! {
            message = messages.recv() => match message {
                Some(message) => state.handle_message(message).await,
                None => return,
            },
            Ok(()) = wait_for_change(&mut upstream) => {}
            Ok(()) = wait_for_change(&mut worker) => {}
            Ok(()) = range_notes.changed() => {}
            // Run times and memory usage change without a notification.
            _ = tick.tick() => {}
        }
        let upstream = upstream.as_mut().map(|state| *state.borrow_and_update());
        let worker = worker.as_mut().map(|state| state.borrow_and_update().clone());
        let ranges = range_notes.borrow_and_update().clone();
        state.publish(upstream, worker, ranges);
    }
}

async fn wait_for_change<T>(
    receiver: &mut Option<watch::Receiver<T>>,
) -> Result<(), watch::error::RecvError> {
    match receiver {
        Some(receiver) => receiver.changed().await,
        None => std::future::pending().await,
    }
}

struct State {
    parts: StateParts,
    range_version: u64,
    report: watch::Sender<v1::Report>,
    replica: Replica,
}

impl State {
    async fn handle_message(&mut self, message: v1::EntryMessage) {
        match message.body {
            Some(v1::entry_message::Body::Config(config)) => self.apply_config(config).await,
            Some(v1::entry_message::Body::Ranges(ranges)) => self.apply_ranges(ranges).await,
            Some(v1::entry_message::Body::Ack(_)) | None => {}
        }
    }

    async fn apply_config(&mut self, config: v1::Config) {
        let delta = Delta {
            from: config.from,
            to: config.to,
            rows: config.rows.into_iter().map(|row| (row.key, row.text.into())).collect(),
            removed: config.removed,
            digest: Digest(config.digest),
        };
        match self.replica.apply(&delta) {
            ApplyOutcome::Applied => {}
            // The next report states version and digest, so that the entry sends what is missing.
            ApplyOutcome::FullDocumentRequired => {
                return self
                    .record(Event::ConfigResent, "a delta does not apply to the current version");
            }
            ApplyOutcome::Stale => return,
        }
        let text =
            format!("version {} of the tables is applied", self.replica.document().version());
        self.record(Event::ConfigApplied, &text);
        self.apply_tables().await;
    }

    async fn apply_tables(&self) {
        let Ok((routes, pools)) = join_rows(self.replica.document().rows()) else { return };
        let Ok(tables) = parse_accepted(routes.as_bytes(), pools.as_bytes()) else { return };
        let Some(pool) = tables.pool(&self.parts.pool) else { return };
        if let Some(runner) = &self.parts.runner {
            let limits = Limits { slots: pool.slots, connections: pool.connections };
            runner.set_limits(limits).await;
        }
        if let Some(gangs) = &self.parts.gangs {
            gangs.set_accelerators(pool.accelerators).await;
        }
    }

    async fn apply_ranges(&mut self, ranges: v1::KeyRanges) {
        if ranges.version <= self.range_version {
            return;
        }
        let Ok(map) = serde_json::from_slice::<RangeMap>(&ranges.map) else { return };
        self.range_version = ranges.version;
        self.parts.keys.apply_map(map).await;
    }

    fn publish(
        &self,
        upstream: Option<v1::UpstreamState>,
        worker: Option<v1::WorkerState>,
        ranges: Vec<v1::RangeNote>,
    ) {
        let report = v1::Report {
            sequence: 0,
            config_version: self.replica.document().version(),
            config_digest: self.replica.document().digest().0,
            range_version: self.range_version,
            upstream,
            worker,
            sent_ms: 0,
            ranges,
        };
        self.report.send_if_modified(|current| {
            let changed = needs_immediate_report(current, &report);
            *current = report;
            changed
        });
    }

    fn record(&self, event: Event, detail: &str) {
        self.parts.decisions.record(self.parts.clock.now(), event, "tables", detail);
    }
}

/// Returns whether the change must be reported to the entries immediately. Other changes are
/// included in the next regular report.
fn needs_immediate_report(old: &v1::Report, new: &v1::Report) -> bool {
    let serving = |report: &v1::Report| report.upstream.map(|state| state.serving);
    let worker = match (&old.worker, &new.worker) {
        (Some(old), Some(new)) => crate::gangs_task::needs_immediate_report(old, new),
        (old, new) => old.is_some() != new.is_some(),
    };
    worker
        || serving(old) != serving(new)
        || old.config_version != new.config_version
        || old.range_version != new.range_version
        || old.ranges != new.ranges
}
