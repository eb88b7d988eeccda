//! The records of the jobs of a pool: submission to the placer and updates of their states.

use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_placement::Event as PlacementEvent;
use skylarkpulley_telemetry::Event;

use super::PoolPlacer;
use crate::job_record::JobRecord;
use crate::job_registry::{JobRegistry, TrackedJob};

/// Delay after a takeover before jobs that another entry may have started are submitted to the
/// placer. By then their gangs appear in reports: a silent session lasts at most 2.5 s, and the
/// next report takes 1 s.
const TAKEOVER_DELAY: Duration = Duration::from_millis(3500);

/// Interval at which the records of jobs in progress are brought up to date even without an event,
/// because their states can also change with time alone.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the ends of gangs are remembered. It exceeds the 30 s for which reports repeat
/// them.
const ENDED_GANG_RETENTION: Duration = Duration::from_secs(60);

impl PoolPlacer {
    /// Submits new jobs to the placer and cancels those whose records have ended.
    pub fn apply_job_changes(&mut self, registry: &mut JobRegistry, now: Instant) {
        let is_own = |tracked: &&TrackedJob| tracked.record.pool == self.name;
        let mut ids: Vec<String> = registry
            .changed_after(self.cursor)
            .filter(is_own)
            .map(|tracked| tracked.record.id.clone())
            .collect();
        self.cursor = registry.changes();
        ids.extend(self.deferred.iter().cloned());
        for id in ids {
            let Some(tracked) = registry.get(&id) else { continue };
            if tracked.record.is_ended() {
                self.submitted.remove(&id);
                self.deferred.remove(&id);
                self.in_progress.remove(&id);
                self.cancel_ended(&id, now);
            } else if !self.submitted.contains(&id) {
                if !self.may_submit(&tracked.record, now) {
                    self.deferred.insert(id);
                    continue;
                }
                let age = now.saturating_duration_since(tracked.received);
                self.placer.handle(PlacementEvent::Submit(tracked.record.to_spec(age)), now);
                self.deferred.remove(&id);
                self.unsynced.insert(id.clone());
                self.submitted.insert(id);
            }
        }
    }

    /// Returns whether any placement that another entry made for the job would be visible in
    /// reports by now, so that the job cannot be started twice.
    fn may_submit(&self, record: &JobRecord, now: Instant) -> bool {
        let has_reported =
            |name: &String| self.report_times.get(name).is_some_and(|time| *time > self.started);
        record.state == JobState::Queued
            || now.saturating_duration_since(self.started) >= TAKEOVER_DELAY
            || (!record.members.is_empty() && record.members.iter().all(has_reported))
    }

    /// Cancels at the placer a job whose record has ended, unless its gang is already stopping.
    fn cancel_ended(&mut self, id: &str, now: Instant) {
        if self.placer.explain(id).is_some_and(|job| job.state != "stopping") {
            self.placer.handle(PlacementEvent::Cancel { job: id.to_owned() }, now);
        }
    }

    /// Copies reported ends and checkpoints of gangs to the job records.
    pub(super) fn record_ends(&mut self, registry: &mut JobRegistry, now: Instant) {
        for (id, progress) in std::mem::take(&mut self.progress) {
            registry.edit(&id, now, |record| record.progress_ms = record.progress_ms.max(progress));
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < ENDED_GANG_RETENTION;
        for (id, at) in std::mem::take(&mut self.finished) {
            match registry.get(&id) {
                Some(tracked) if tracked.record.is_ended() => {}
                Some(_) => {
                    self.record(Event::JobEnded, &id, "done", now);
                    self.placements.remove(&id);
                    registry.edit(&id, now, |record| {
                        record.state = JobState::Done;
                        record.detail = "done".to_owned();
                    });
                }
                // The record may not have arrived from another entry or the store yet.
                None if is_recent(&at) => drop(self.finished.insert(id, at)),
                None => {}
            }
        }
    }

    /// Updates the records of jobs whose state at the placer may have changed.
    pub(super) fn sync_records(&mut self, registry: &mut JobRegistry, now: Instant) {
        let mut ids = std::mem::take(&mut self.unsynced);
        if now.saturating_duration_since(self.synced) >= SYNC_INTERVAL {
            self.synced = now;
            ids.extend(self.in_progress.iter().cloned());
            self.ended.retain(|_, at| now.saturating_duration_since(*at) < ENDED_GANG_RETENTION);
        }
        for id in ids {
            let Some(tracked) = registry.get(&id) else { continue };
            if tracked.record.is_ended() {
                self.cancel_ended(&id, now);
            } else if self.submitted.contains(&id) {
                let recorded_state = tracked.record.state;
                self.sync_record(&id, recorded_state, registry, now);
            }
        }
    }

    fn sync_record(
        &mut self,
        id: &str,
        recorded_state: JobState,
        registry: &mut JobRegistry,
        now: Instant,
    ) {
        let Some(status) = self.placer.explain(id) else {
            // The placer has removed a job that has not ended; it is submitted again.
            self.submitted.remove(id);
            self.deferred.insert(id.to_owned());
            return;
        };
        let state = match status.state {
            "running" => JobState::Running,
            "stopping" => JobState::Stopping,
            "holding" | "committing" => JobState::Starting,
            _ => JobState::Queued,
        };
        if state == JobState::Queued {
            self.in_progress.remove(id);
        } else {
            self.in_progress.insert(id.to_owned());
        }
        let recorded_losses = registry.get(id).map(|tracked| tracked.record.lost_starts);
        if recorded_losses != Some(status.lost_starts) {
            registry.edit(id, now, |record| record.lost_starts = status.lost_starts);
        }
        if state == recorded_state {
            return;
        }
        let event = match state {
            JobState::Running => Some(Event::JobStarted),
            JobState::Queued if recorded_state != JobState::Starting => Some(Event::JobRequeued),
            _ => None,
        };
        if let Some(event) = event {
            self.record(event, id, &state.to_string(), now);
        }
        if state != JobState::Starting {
            self.placements.remove(id);
        }
        registry.edit(id, now, |record| {
            record.state = state;
            record.detail = state.to_string();
            record.epoch = record.epoch.max(status.epoch);
            record.members = status.members.iter().map(|(agent, _)| agent.name.clone()).collect();
        });
    }
}
