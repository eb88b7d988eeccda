use std::time::Duration;

use skylarkpulley_jobs::{
    EndKind, Orders, RefusalKind, Resources, RunEnd, RunRefusal, RunReport, SharingRun, StartOrder,
    TaskId, WorkerPace, WorkerReport, WorkerStatus,
};
use skylarkpulley_proto::v1;

fn encode_run_id(task: &TaskId, run: u32) -> v1::TaskRun {
    v1::TaskRun { task: task.to_string(), run, checkpoint: String::new(), percent: 0 }
}

/// Encodes the report of an agent; the session adds its number.
pub fn encode_report(report: &WorkerReport) -> v1::WorkerUpdate {
    v1::WorkerUpdate {
        agent: report.agent.clone(),
        attempted: report.attempted.iter().map(|(task, run)| encode_run_id(task, *run)).collect(),
        ended: report.ended.iter().map(encode_end).collect(),
        ended_through: report.ended_through,
        ends_truncated: report.ends_truncated,
        inherited_lease_ms: millis(report.inherited_lease),
        lapsed: report.lapsed,
        left: report.left,
        listed: report.listed,
        pace: report.pace.as_ref().map(encode_pace),
        refused: report.refused.iter().map(encode_refusal).collect(),
        running: report
            .running
            .iter()
            .map(|run| v1::TaskRun {
                checkpoint: run.checkpoint.clone(),
                percent: u32::from(run.percent),
                ..encode_run_id(&run.task, run.run)
            })
            .collect(),
        sequence: 0,
        unreached: report.unreached,
        worker: report.worker.as_ref().map(encode_status),
    }
}

fn encode_pace(pace: &WorkerPace) -> v1::WorkerPace {
    v1::WorkerPace { boot: pace.incarnation, mean: pace.mean, variance: pace.variance }
}

fn decode_pace(pace: &v1::WorkerPace) -> WorkerPace {
    WorkerPace { incarnation: pace.boot, mean: pace.mean, variance: pace.variance }
}

fn encode_end(end: &RunEnd) -> v1::TaskEnd {
    let kind = match end.kind {
        EndKind::Done => v1::TaskEndKind::Done,
        EndKind::Failed => v1::TaskEndKind::Failed,
        EndKind::Stopped | EndKind::Fenced => v1::TaskEndKind::Stopped,
        EndKind::Lapsed => v1::TaskEndKind::Lapsed,
        EndKind::Broken => v1::TaskEndKind::Broken,
        EndKind::Alone => v1::TaskEndKind::Alone,
    };
    v1::TaskEnd {
        task: end.task.to_string(),
        run: end.run,
        kind: kind.into(),
        checkpoint: end.checkpoint.clone(),
    }
}

fn encode_refusal(refusal: &RunRefusal) -> v1::TaskRefusal {
    let kind = match refusal.kind {
        RefusalKind::Room => v1::TaskRefusalKind::Room,
        RefusalKind::Old => v1::TaskRefusalKind::Old,
        RefusalKind::Invalid => v1::TaskRefusalKind::Invalid,
        RefusalKind::Unhealthy => v1::TaskRefusalKind::Unhealthy,
        RefusalKind::Permit => v1::TaskRefusalKind::Permit,
        RefusalKind::Fenced => v1::TaskRefusalKind::Fenced,
    };
    v1::TaskRefusal { task: refusal.task.to_string(), run: refusal.run, kind: kind.into() }
}

fn encode_status(status: &WorkerStatus) -> v1::WorkerDescription {
    v1::WorkerDescription {
        address: status.address.clone(),
        id: status.id.clone(),
        boot: status.incarnation,
        pool: status.pool.clone(),
        domain: status.domain.clone(),
        rack: status.rack.clone(),
        labels: status.labels.clone(),
        accelerators: status.resources.accelerators,
        cores: status.resources.cores,
        memory: status.resources.memory,
        draining: status.draining,
        remaining_ms: status.remaining.map_or(0, |remaining| millis(remaining) + 1),
    }
}

/// Decodes the report of an agent. Entries that cannot be decoded are logged and ignored.
pub fn decode_report(update: v1::WorkerUpdate) -> WorkerReport {
    WorkerReport {
        agent: update.agent,
        attempted: update
            .attempted
            .into_iter()
            .filter_map(|run| Some((task_id(&run.task)?, run.run)))
            .collect(),
        ended: update.ended.into_iter().filter_map(decode_end).collect(),
        ended_through: update.ended_through,
        ends_truncated: update.ends_truncated,
        inherited_lease: Duration::from_millis(update.inherited_lease_ms),
        lapsed: update.lapsed,
        left: update.left,
        listed: update.listed,
        pace: update.pace.as_ref().map(decode_pace),
        refused: update.refused.into_iter().filter_map(decode_refusal).collect(),
        running: update.running.into_iter().filter_map(decode_run).collect(),
        unreached: update.unreached,
        worker: update.worker.map(decode_status),
    }
}

fn task_id(name: &str) -> Option<TaskId> {
    match name.parse() {
        Ok(task) => Some(task),
        Err(error) => {
            tracing::warn!(%error, "task id {name:?} is not valid; ignoring its entry");
            None
        }
    }
}

fn decode_run(run: v1::TaskRun) -> Option<RunReport> {
    Some(RunReport {
        checkpoint: run.checkpoint,
        percent: u8::try_from(run.percent).unwrap_or(100),
        run: run.run,
        task: task_id(&run.task)?,
    })
}

fn decode_end(end: v1::TaskEnd) -> Option<RunEnd> {
    let kind = match end.kind() {
        v1::TaskEndKind::Done => EndKind::Done,
        v1::TaskEndKind::Failed => EndKind::Failed,
        v1::TaskEndKind::Stopped => EndKind::Stopped,
        v1::TaskEndKind::Lapsed => EndKind::Lapsed,
        v1::TaskEndKind::Broken => EndKind::Broken,
        v1::TaskEndKind::Alone => EndKind::Alone,
        v1::TaskEndKind::Unspecified => {
            tracing::warn!(task = end.task, "run ended with an unspecified kind; ignoring the end");
            return None;
        }
    };
    Some(RunEnd { checkpoint: end.checkpoint, kind, run: end.run, task: task_id(&end.task)? })
}

fn decode_refusal(refusal: v1::TaskRefusal) -> Option<RunRefusal> {
    let kind = match refusal.kind() {
        v1::TaskRefusalKind::Room => RefusalKind::Room,
        v1::TaskRefusalKind::Old => RefusalKind::Old,
        v1::TaskRefusalKind::Invalid => RefusalKind::Invalid,
        v1::TaskRefusalKind::Unhealthy => RefusalKind::Unhealthy,
        v1::TaskRefusalKind::Permit => RefusalKind::Permit,
        v1::TaskRefusalKind::Fenced => RefusalKind::Fenced,
        v1::TaskRefusalKind::Unspecified => {
            tracing::warn!(
                task = refusal.task,
                "run refused with an unspecified kind; ignoring the refusal"
            );
            return None;
        }
    };
    Some(RunRefusal { kind, run: refusal.run, task: task_id(&refusal.task)? })
}

fn decode_status(worker: v1::WorkerDescription) -> WorkerStatus {
    WorkerStatus {
        address: worker.address,
        domain: worker.domain,
        draining: worker.draining,
        id: worker.id,
        incarnation: worker.boot,
        labels: worker.labels,
        pool: worker.pool,
        rack: worker.rack,
        remaining: worker.remaining_ms.checked_sub(1).map(Duration::from_millis),
        resources: Resources {
            accelerators: worker.accelerators,
            cores: worker.cores,
            memory: worker.memory,
        },
    }
}

/// Encodes the orders for an agent; the caller adds the epoch, the acknowledgement and the lease.
pub fn encode_orders(orders: &Orders) -> v1::CoordinatorUpdate {
    v1::CoordinatorUpdate {
        worker: orders.worker.clone(),
        boot: orders.incarnation,
        departure_stored: orders.departure_stored,
        ended_through: orders.ended_through,
        held: orders.held.iter().map(|(task, run)| encode_run_id(task, *run)).collect(),
        keep: orders.keep.iter().map(|(task, run)| encode_run_id(task, *run)).collect(),
        start: orders
            .start
            .iter()
            .map(|order| v1::TaskStart {
                task: order.task.to_string(),
                run: order.run,
                payload: order.payload.clone(),
                checkpoint: order.checkpoint.clone(),
                permit: order.permit.clone(),
            })
            .collect(),
        pace: orders.pace.as_ref().map(encode_pace),
        sharing: orders
            .sharing
            .iter()
            .map(|shared| v1::SharingRun {
                task: shared.task.to_string(),
                run: shared.run,
                response_ms: shared.response.map_or(0, millis),
            })
            .collect(),
        stop: orders.stop.iter().map(|(task, run)| encode_run_id(task, *run)).collect(),
        ..v1::CoordinatorUpdate::default()
    }
}

/// Decodes the orders for an agent. Entries that cannot be decoded are logged and ignored.
pub fn decode_orders(update: v1::CoordinatorUpdate) -> Orders {
    let runs = |runs: Vec<v1::TaskRun>| {
        runs.into_iter().filter_map(|run| Some((task_id(&run.task)?, run.run))).collect()
    };
    let start = update.start.into_iter().filter_map(|order| {
        Some(StartOrder {
            checkpoint: order.checkpoint,
            payload: order.payload,
            permit: order.permit,
            run: order.run,
            task: task_id(&order.task)?,
        })
    });
    let sharing = update.sharing.into_iter().filter_map(|shared| {
        let response = (shared.response_ms > 0).then(|| Duration::from_millis(shared.response_ms));
        Some(SharingRun { response, run: shared.run, task: task_id(&shared.task)? })
    });
    Orders {
        departure_stored: update.departure_stored,
        ended_through: update.ended_through,
        held: runs(update.held),
        incarnation: update.boot,
        keep: runs(update.keep),
        pace: update.pace.as_ref().map(decode_pace),
        sharing: sharing.collect(),
        start: start.collect(),
        stop: runs(update.stop),
        worker: update.worker,
    }
}

/// Returns the duration in whole milliseconds, at most `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
