use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{CrashRecord, Exposure, TaskKey};

/// A stored row that cannot be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("row {key:?}: {detail}")]
pub struct RowsError {
    /// Key of the row.
    pub key: String,
    /// Cause.
    pub detail: String,
}

/// The tables in which the coordinator keeps its rows.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RowKind {
    /// The submission, written once.
    Job,
    /// The state of its tasks.
    Progress,
}

/// A row to write or to delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowChange {
    /// Table of the row.
    pub kind: RowKind,
    /// Id of the job, or the key of a further row of its state.
    pub key: String,
    /// JSON of the row; `None` deletes it.
    pub value: Option<Vec<u8>>,
}

/// A worker that a row names.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkerRow {
    /// Id.
    pub id: String,
    /// Incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Address at which it answers.
    pub address: String,
}

/// Durable state of one task that was started at least once. Stored as an array, so that the state
/// of a job with a thousand tasks fits into one row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedTask", into = "PackedTask")]
pub struct TaskRow {
    /// Checkpoint to resume from.
    pub checkpoint: String,
    /// Whether the task is done.
    pub done: bool,
    /// Runs that failed.
    pub failures: u32,
    /// The task.
    pub key: TaskKey,
    /// Number of the last run.
    pub run: u32,
    /// Worker of the last run, as an index into the row's workers, while that run has not ended.
    pub worker: Option<usize>,
}

/// Occurrence, step, index, run, done, failures, worker, checkpoint.
type PackedTask = (u32, u32, u32, u32, u8, u32, Option<usize>, String);

impl From<PackedTask> for TaskRow {
    fn from(packed: PackedTask) -> Self {
        let (occurrence, step, index, run, done, failures, worker, checkpoint) = packed;
        let key = TaskKey { occurrence, step, index };
        Self { checkpoint, done: done != 0, failures, key, run, worker }
    }
}

impl From<TaskRow> for PackedTask {
    fn from(row: TaskRow) -> Self {
        let TaskKey { occurrence, step, index } = row.key;
        let done = u8::from(row.done);
        (occurrence, step, index, row.run, done, row.failures, row.worker, row.checkpoint)
    }
}

/// Crashes of workers under one task. Stored as an array, like [`TaskRow`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedCrash", into = "PackedCrash")]
pub struct CrashRow {
    /// The task.
    pub key: TaskKey,
    /// The crashes.
    pub record: CrashRecord,
}

/// Occurrence, step, index, crashes, unshared.
type PackedCrash = (u32, u32, u32, u32, u32);

impl From<PackedCrash> for CrashRow {
    fn from((occurrence, step, index, crashes, unshared): PackedCrash) -> Self {
        let record = CrashRecord { crashes, unshared };
        Self { key: TaskKey { occurrence, step, index }, record }
    }
}

impl From<CrashRow> for PackedCrash {
    fn from(row: CrashRow) -> Self {
        let TaskKey { occurrence, step, index } = row.key;
        (occurrence, step, index, row.record.crashes, row.record.unshared)
    }
}

/// Losses of one task and what was seen beside them. Stored as an array, like [`TaskRow`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "PackedExposure", into = "PackedExposure")]
pub struct ExposureRow {
    /// The losses.
    pub exposure: Exposure,
    /// The task.
    pub key: TaskKey,
}

/// Occurrence, step, index, losses, exposed time, other crashes, observed time of workers.
type PackedExposure = (u32, u32, u32, u32, u64, u32, u64);

impl From<PackedExposure> for ExposureRow {
    fn from(packed: PackedExposure) -> Self {
        let (occurrence, step, index, losses, exposed_ms, others, worker_ms) = packed;
        let exposure = Exposure { exposed_ms, losses, others, worker_ms };
        Self { exposure, key: TaskKey { occurrence, step, index } }
    }
}

impl From<ExposureRow> for PackedExposure {
    fn from(row: ExposureRow) -> Self {
        let TaskKey { occurrence, step, index } = row.key;
        let Exposure { exposed_ms, losses, others, worker_ms } = row.exposure;
        (occurrence, step, index, losses, exposed_ms, others, worker_ms)
    }
}

/// Durable state of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressRow {
    /// Whether its caller cancelled it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// Crashes of workers under tasks of the job.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRow>,
    /// When the last task ended, milliseconds since 1970; `None` while the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Losses of tasks of the job; left out by earlier builds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub exposures: Vec<ExposureRow>,
    /// Whether a task has failed as often as its route allows.
    #[serde(default, skip_serializing_if = "is_false")]
    pub failed: bool,
    /// Runs of gangs that were counted as failed and of which members have not ended: occurrence,
    /// step and number of the run. A gang counts one failure per run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<(u32, u32, u32)>,
    /// Number of further rows with the state that does not fit into this one.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub further: usize,
    /// Whether a task has started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// Tasks that were started at least once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRow>,
    /// Workers of runs that have not ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<WorkerRow>,
}

fn is_zero(value: &usize) -> bool {
    *value == 0
}

fn is_false(value: &bool) -> bool {
    !value
}
