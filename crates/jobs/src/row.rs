use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::TaskKey;

/// Why a row cannot be read.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("row {key:?}: {detail}")]
pub struct RowsError {
    /// Key of the row.
    pub key: String,
    /// What is wrong.
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
    /// Which table.
    pub kind: RowKind,
    /// Id of the job.
    pub key: String,
    /// JSON of the row; `None` deletes it.
    pub value: Option<Vec<u8>>,
}

/// Durable state of one task that has been started at least once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRow {
    /// Address of the worker of the last run.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub address: String,
    /// Boot of the worker of the last run.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub boot: u64,
    /// Checkpoint to resume from.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Whether the task is done.
    #[serde(default, skip_serializing_if = "is_false")]
    pub done: bool,
    /// Runs that failed.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub failures: u32,
    /// The task.
    pub key: TaskKey,
    /// Number of the last run.
    pub run: u32,
    /// Whether the last run has not ended.
    #[serde(default, skip_serializing_if = "is_false")]
    pub running: bool,
    /// Worker of the last run.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub worker: String,
}

/// Durable state of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressRow {
    /// Whether its caller cancelled it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub cancelled: bool,
    /// When the last task ended, milliseconds since 1970; `None` while the job is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_ms: Option<u64>,
    /// Whether a task has failed too often.
    #[serde(default, skip_serializing_if = "is_false")]
    pub failed: bool,
    /// Whether a task has started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub started: bool,
    /// Tasks that were started at least once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskRow>,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}
