//! Reports of workers: the starts and ends of gangs, and gangs that were started twice.

use std::time::{Duration, Instant};

use skylarkpulley_placement::{Event as PlacementEvent, GangEnd};
use skylarkpulley_proto::v1;
use skylarkpulley_types::AgentId;

use super::PoolPlacer;
use crate::worker_report::to_report;

impl PoolPlacer {
    /// Handles a worker's report: its state, and the starts and ends of gangs.
    pub fn handle_report(&mut self, agent: &AgentId, state: &v1::WorkerState, now: Instant) {
        self.report_times.insert(agent.name.clone(), now);
        for grant in state.grants.iter().filter(|grant| grant.running) {
            self.detect_duplicate(agent, grant, now);
        }
        let event = PlacementEvent::WorkerReport { agent: agent.clone(), report: to_report(state) };
        self.placer.handle(event, now);
        for grant in &state.grants {
            self.unsynced.insert(grant.gang.clone());
            if grant.running {
                let event =
                    PlacementEvent::GangStarted { job: grant.gang.clone(), epoch: grant.epoch };
                self.placer.handle(event, now);
            }
        }
        for ended in &state.ended {
            self.handle_gang_end(agent, ended, now);
        }
    }

    /// Detects a job that two entries with different views have started twice, and marks the
    /// placement with the lower epoch to be stopped.
    fn detect_duplicate(&mut self, agent: &AgentId, grant: &v1::Grant, now: Instant) {
        let Some(status) = self.placer.explain(&grant.gang) else { return };
        let (job, members) = (grant.gang.clone(), status.members);
        if status.state == "running" && grant.epoch < status.epoch {
            self.duplicates.push((job, grant.epoch, status.epoch, vec![agent.clone()]));
        } else if status.state != "waiting" && grant.epoch > status.epoch {
            let agents = members.into_iter().map(|(agent, _)| agent).collect();
            self.placements.remove(&job);
            self.duplicates.push((job.clone(), status.epoch, grant.epoch, agents));
            // The placer takes over the placement with the higher epoch from this report.
            let end = GangEnd::Stopped;
            self.placer.handle(PlacementEvent::GangEnded { job, epoch: status.epoch, end }, now);
        }
    }

    fn handle_gang_end(&mut self, agent: &AgentId, ended: &v1::GangEnd, now: Instant) {
        use v1::gang_end::End;
        let key = (ended.gang.clone(), ended.epoch);
        if self.ended.insert(key, now).is_some() {
            return;
        }
        self.unsynced.insert(ended.gang.clone());
        if ended.end() == End::Finished {
            self.finished.insert(ended.gang.clone(), now);
        }
        if ended.progress_ms > 0 {
            self.progress.push((ended.gang.clone(), ended.progress_ms));
            let event = PlacementEvent::Checkpointed {
                job: ended.gang.clone(),
                epoch: ended.epoch,
                progress: Duration::from_millis(ended.progress_ms),
            };
            self.placer.handle(event, now);
        }
        let end = match ended.end() {
            End::Finished => GangEnd::Finished,
            End::Failed => GangEnd::Failed {
                worker: ended.failed.clone().map_or_else(|| agent.clone(), AgentId::from),
            },
            End::Stopped => GangEnd::Stopped,
            End::Lapsed | End::Unspecified => GangEnd::LeaseLapsed,
        };
        let event = PlacementEvent::GangEnded { job: ended.gang.clone(), epoch: ended.epoch, end };
        self.placer.handle(event, now);
    }
}
