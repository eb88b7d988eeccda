use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use derive_more::{Display as DeriveDisplay, Error};
use serde::{Deserialize, Serialize};

/// Position of a task within its job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// Occurrence of the job, 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
}

/// Name of a task, unique in the deployment: `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Position within the job.
    pub key: TaskKey,
}

/// A task name that does not have the form `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, DeriveDisplay, Eq, Error, PartialEq)]
#[display("invalid task name {name:?}")]
pub struct TaskIdError {
    /// The name.
    pub name: String,
}

impl TaskId {
    /// Returns the name of the task `key` of `job`.
    pub fn new(job: &str, key: TaskKey) -> Self {
        Self { job: job.to_owned(), key }
    }
}

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let TaskKey { occurrence, step, index } = self.key;
        write!(f, "{}.{occurrence}.{step}.{index}", self.job)
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || TaskIdError { name: text.to_owned() };
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok()).ok_or_else(error);
        let index = number()?;
        let step = number()?;
        let occurrence = number()?;
        let job = parts.next().filter(|job| !job.is_empty()).ok_or_else(error)?;
        Ok(Self::new(job, TaskKey { occurrence, step, index }))
    }
}
