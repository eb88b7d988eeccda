use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::{JobEntry, Placement};
use super::{Coordinator, DecisionKind, DomainSummary, Timestamp};
use crate::{FleetWorker, TaskId};

/// Part of the time limit of an evacuation that is not available to the age of the tables: agents
/// carry out orders to start for 2.5 s, and a call to a worker takes up to 0.35 s when it is repeated
/// once.
const AFTER_ORDER: Duration = Duration::from_millis(3000);

/// Lower limit of the age of the tables at which starts are held back. The source is read every
/// second, so that starts would be held back all the time with a lower one.
const MIN_TABLES_AGE: Duration = Duration::from_millis(1500);

impl Coordinator {
    /// Records that the tables were the newest ones of their source at `now`. Starts are ordered
    /// again if they were held back because the tables may have been outdated.
    ///
    /// Load pattern: failure domains are evacuated while a leader is cut off from the store.
    pub fn confirm_tables(&mut self, now: Timestamp) {
        let confirmed = self.tables_confirmed.max(Some(now.monotonic));
        self.tables_confirmed = confirmed;
        if !std::mem::take(&mut self.starts_held) {
            return;
        }
        let waiting = self.fleet.workers.iter().filter(|(_, worker)| {
            worker.runs.keys().any(|task| self.placement(task).is_some_and(|run| !run.listed))
        });
        let waiting: Vec<String> = waiting.map(|(id, _)| id.clone()).collect();
        self.changed_workers.extend(waiting);
    }

    /// Holds back starts if the tables have not been confirmed for too long. Only a confirmation
    /// ends that. Orders to keep or stop runs do not depend on it.
    pub fn check_tables(&mut self, now: Timestamp) {
        let Some(limit) = self.limits.evacuation else { return };
        let max_age = limit.saturating_sub(AFTER_ORDER).max(MIN_TABLES_AGE);
        let age = self.tables_confirmed.map(|at| now.monotonic.saturating_duration_since(at));
        if age.is_none_or(|age| age > max_age) {
            self.starts_held = true;
        }
    }

    /// Reports whether the start of a run may have been ordered before, but is not ordered now.
    pub(super) fn is_held(
        &self,
        worker: &FleetWorker,
        entry: &JobEntry,
        placement: &Placement,
    ) -> bool {
        (self.starts_held || worker.evacuated)
            && !placement.listed
            && entry.durable_version >= placement.version
    }

    /// Closes and opens workers after a change of the evacuated failure domains, withdraws starts on
    /// the closed ones, and records the change. `before` holds the domains before the change.
    pub(super) fn apply_evacuations(&mut self, before: &BTreeSet<String>) {
        let current = self.tables.evacuated.clone();
        if current.domains == *before {
            return;
        }
        let ids: Vec<String> = self.fleet.workers.keys().cloned().collect();
        for id in &ids {
            self.update_evacuated(id);
            self.withdraw_evacuated_starts(id, false);
        }
        self.plan_due = true;
        let version = current.version;
        let summaries = self.domain_summaries();
        for summary in summaries.iter().filter(|summary| !before.contains(&summary.domain)) {
            let DomainSummary { domain, runs, workers } = summary;
            let detail = format!("store version {version}; {workers} workers, {runs} runs go on");
            self.record_decision(domain, DecisionKind::DomainEvacuated, detail);
        }
        for domain in before.difference(&current.domains) {
            let detail = format!("store version {version}");
            self.record_decision(domain, DecisionKind::DomainReturned, detail);
        }
    }

    /// Updates whether the failure domain of a worker is evacuated.
    pub(super) fn update_evacuated(&mut self, id: &str) {
        let Some(worker) = self.fleet.workers.get_mut(id) else { return };
        let evacuated = self.tables.evacuated.contains(&worker.status.domain);
        if std::mem::replace(&mut worker.evacuated, evacuated) != evacuated {
            self.plan_due = true;
            self.changed_workers.insert(id.to_owned());
        }
    }

    /// Withdraws the starts that a worker in an evacuated failure domain does not list. Runs that it
    /// lists continue: they hold resources that nothing else may use, and stopping them would lose
    /// their work. `after_listing` tells whether the worker has just listed its runs. Before that, a
    /// run that an earlier coordinator has placed may have started.
    pub(super) fn withdraw_evacuated_starts(&mut self, id: &str, after_listing: bool) {
        let Some(worker) = self.fleet.workers.get(id).filter(|worker| worker.evacuated) else {
            return;
        };
        let is_unlisted = |task: &&TaskId| {
            self.placement(task)
                .is_some_and(|run| !run.listed && !run.stopping && (after_listing || !run.restored))
        };
        let unlisted: Vec<TaskId> = worker.runs.keys().filter(is_unlisted).cloned().collect();
        for task in unlisted {
            self.stop_run(&task, "its failure domain is evacuated");
        }
    }

    /// Returns the evacuated failure domains with their workers and the runs that go on there.
    pub(super) fn domain_summaries(&self) -> Vec<DomainSummary> {
        let domains = self.tables.evacuated.domains.iter();
        let summary = |domain: &String| {
            let workers = || {
                let workers = self.fleet.workers.values();
                workers.filter(|worker| worker.status.domain == *domain)
            };
            let runs = workers().flat_map(|worker| worker.runs.keys());
            let going_on = |task: &&TaskId| self.placement(task).is_some_and(|run| !run.stopping);
            DomainSummary {
                domain: domain.clone(),
                runs: runs.filter(going_on).count(),
                workers: workers().count(),
            }
        };
        domains.map(summary).collect()
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_domains(&self) -> usize {
        self.tables.evacuated.domains.len()
    }
}
