//! Calls to agents that hold, commit and stop gangs and change reservations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use skylarkpulley_admin::JobState;
use skylarkpulley_placement::{Event as PlacementEvent, GangMember, HoldResult, PreemptMode};
use skylarkpulley_proto::v1;
use skylarkpulley_telemetry::Event;
use skylarkpulley_types::AgentId;

use super::PoolPlacer;
use crate::gang_calls::{
    PlacementSpec, change_reservations, commit_gang, hold_member, pending_delay, stop_gang,
};
use crate::job_command::JobCommand;
use crate::job_record::JobRecord;
use crate::job_registry::JobRegistry;

/// A placement of a gang that has not started yet.
pub(super) struct GangPlacement {
    committed: bool,
    /// Agents that hold the capacity of their member.
    held: BTreeSet<AgentId>,
    members: Vec<GangMember>,
    spec: PlacementSpec,
}

impl PoolPlacer {
    #[expect(clippy::too_many_arguments, reason = "the fields of one decision and its context")]
    pub(super) fn place(
        &mut self,
        job: &str,
        epoch: u64,
        members: Vec<GangMember>,
        instance: Option<String>,
        reason: &str,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        let Some(tracked) = registry.get(job) else { return };
        let request = &tracked.record.request;
        let names: Vec<String> = members.iter().map(|member| member.worker.name.clone()).collect();
        let detail = format!("epoch {epoch} on {}: {reason}", names.join(", "));
        let spec = PlacementSpec {
            job: job.to_owned(),
            epoch,
            rank: (u32::from(tracked.record.class), tracked.change),
            instance,
            preemptible: request.preemption != skylarkpulley_admin::Preemption::Never,
            memory_mib: request.memory_mib,
        };
        self.record(Event::JobPlaced, job, &detail, now);
        registry.edit(job, now, |record| {
            record.state = JobState::Starting;
            record.detail = detail;
            record.epoch = record.epoch.max(epoch);
            record.members = names;
        });
        for member in &members {
            let control = controls.get(&member.worker).cloned().unwrap_or_default();
            self.spawn_hold(control, spec.clone(), member.clone());
        }
        let placement = GangPlacement { committed: false, held: BTreeSet::new(), members, spec };
        self.placements.insert(job.to_owned(), placement);
    }

    /// Handles an agent's answer to a hold, or its absence.
    pub fn handle_hold_result(
        &mut self,
        job: &str,
        epoch: u64,
        worker: &AgentId,
        result: HoldResult,
        now: Instant,
    ) {
        if let Some(placement) = self.placements.get_mut(job)
            && placement.spec.epoch == epoch
            && result == HoldResult::Held
        {
            placement.held.insert(worker.clone());
        }
        self.unsynced.insert(job.to_owned());
        let event = PlacementEvent::HoldAnswered {
            job: job.to_owned(),
            epoch,
            worker: worker.clone(),
            result,
        };
        self.placer.handle(event, now);
    }

    /// Requests the hold of one member until the agent grants or refuses it, or does not answer.
    /// When the placer releases the placement, the agent refuses its epoch, which ends a pending
    /// hold.
    fn spawn_hold(&self, control: String, spec: PlacementSpec, member: GangMember) {
        let hub = Arc::clone(&self.hub);
        let commands = self.commands.clone();
        let pool = self.name.clone();
        tokio::spawn(async move {
            loop {
                let result = hold_member(&hub, &control, &spec, &member).await;
                let pending = result == HoldResult::Pending;
                let answer = JobCommand::HoldAnswered {
                    pool: pool.clone(),
                    job: spec.job.clone(),
                    epoch: spec.epoch,
                    worker: member.worker.clone(),
                    result,
                };
                if commands.send(answer).is_err() || !pending {
                    return;
                }
                pending_delay().await;
            }
        });
    }

    /// Commits every placement whose members all hold their capacity.
    pub(super) fn commit_held(
        &mut self,
        registry: &mut JobRegistry,
        controls: &BTreeMap<AgentId, String>,
        now: Instant,
    ) {
        for placement in self.placements.values_mut() {
            if placement.committed || placement.held.len() < placement.members.len() {
                continue;
            }
            placement.committed = true;
            let Some(tracked) = registry.get(&placement.spec.job) else { continue };
            let task = task_json(&tracked.record);
            let members: Vec<(AgentId, String)> = placement
                .members
                .iter()
                .map(|member| {
                    let control = controls.get(&member.worker).cloned().unwrap_or_default();
                    (member.worker.clone(), control)
                })
                .collect();
            let spec = placement.spec.clone();
            let hub = Arc::clone(&self.hub);
            hub.decisions.record(
                now,
                Event::JobPlaced,
                &spec.job,
                "all members hold their capacity; the gang is committed",
            );
            tokio::spawn(async move { commit_gang(&hub, &spec, members, task).await });
        }
    }

    pub(super) fn stop(
        &self,
        job: &str,
        epoch: u64,
        members: &[AgentId],
        mode: Option<PreemptMode>,
        reason: &str,
        controls: &BTreeMap<AgentId, String>,
    ) {
        let (checkpoint, grace) = match mode {
            Some(PreemptMode::Checkpoint { grace }) => (true, grace),
            Some(PreemptMode::Stop) | None => (false, Duration::ZERO),
        };
        let request = v1::StopRequest {
            gang: job.to_owned(),
            epoch,
            checkpoint,
            grace_ms: u64::try_from(grace.as_millis()).unwrap_or(u64::MAX),
            reason: reason.to_owned(),
        };
        let controls: Vec<String> =
            members.iter().filter_map(|agent| controls.get(agent).cloned()).collect();
        let hub = Arc::clone(&self.hub);
        let lead_only = mode.is_some();
        tokio::spawn(async move {
            // The lead ends the whole gang. All members are called if the lead does not answer.
            if lead_only
                && let Some(lead) = controls.first()
                && stop_gang(&hub, lead, request.clone()).await
            {
                return;
            }
            let calls = controls.iter().map(|control| stop_gang(&hub, control, request.clone()));
            futures::future::join_all(calls).await;
        });
    }

    pub(super) fn stop_duplicates(&mut self, controls: &BTreeMap<AgentId, String>, now: Instant) {
        for (job, epoch, other_epoch, members) in std::mem::take(&mut self.duplicates) {
            let reason =
                format!("epoch {epoch} is stopped because epoch {other_epoch} runs as well");
            self.record(Event::CommandFenced, &job, &reason, now);
            self.stop(&job, epoch, &members, None, &reason, controls);
        }
    }

    pub(super) fn change_reservations(
        &self,
        worker: &AgentId,
        epoch: u64,
        reserve: Vec<v1::Reservation>,
        unreserve: Vec<String>,
        controls: &BTreeMap<AgentId, String>,
    ) {
        let Some(control) = controls.get(worker).cloned() else { return };
        let (hub, worker) = (Arc::clone(&self.hub), worker.clone());
        tokio::spawn(async move {
            // No retry is needed: the placer compares reports with its plan and repeats a change
            // that was lost.
            change_reservations(&hub, &control, &worker, epoch, reserve, unreserve).await;
        });
    }
}

/// Returns the task that the workers of a gang receive.
fn task_json(record: &JobRecord) -> Vec<u8> {
    let task = serde_json::json!({
        "accelerators": record.request.shape.accelerators,
        "kind": record.request.kind,
        "memory": record.request.memory_mib,
        "resume_ms": record.progress_ms,
        "run_ms": record.request.run_time_ms,
        "team": record.request.team,
    });
    task.to_string().into_bytes()
}
