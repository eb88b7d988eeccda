use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_admin::{JobState, JobView, Preemption, SubmitRequest};
use skylarkpulley_placement::{JobSpec, Preemption as CorePreemption};
use skylarkpulley_proto::v1;

/// A job as entries copy it to each other and to the store. There is no common wall clock, so times
/// are ages at the moment of the copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id of the job; its gang has the same name.
    pub id: String,
    /// Grows with every change; the higher one wins a merge.
    pub revision: u64,
    /// Pool that the job's route leads to.
    pub pool: String,
    /// Priority class of the route.
    pub class: u8,
    /// What was submitted.
    pub request: SubmitRequest,
    /// Where the job stands.
    pub state: JobState,
    /// Why, in words.
    pub detail: String,
    /// Highest epoch used for its gang.
    pub epoch: u64,
    /// Agents of its members, the lead first.
    pub members: Vec<String>,
    /// Time since submission, in milliseconds.
    pub age_ms: u64,
    /// Run time that the last checkpoint preserves, in milliseconds.
    pub progress_ms: u64,
}

impl JobRecord {
    /// Returns the record of a job that was just submitted.
    pub fn new(id: &str, pool: &str, class: u8, request: SubmitRequest) -> Self {
        Self {
            id: id.to_owned(),
            revision: 1,
            pool: pool.to_owned(),
            class,
            request,
            state: JobState::Queued,
            detail: "submitted".to_owned(),
            epoch: 0,
            members: Vec::new(),
            age_ms: 0,
            progress_ms: 0,
        }
    }

    /// Reports whether the job needs nothing more.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, JobState::Cancelled | JobState::Done | JobState::Failed)
    }

    /// Reports whether this record replaces `other` of the same job. An end is final: a change that
    /// another entry made before it heard of the end has no effect.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.is_ended(), record.revision, record.state);
        key(self) > key(other)
    }

    /// Returns the job as the placement core takes it, `held` after the record was received.
    pub fn to_spec(&self, held: Duration) -> JobSpec {
        let request = &self.request;
        JobSpec {
            id: self.id.clone(),
            team: request.team.clone(),
            kind: request.kind.clone(),
            class: self.class,
            shape: request.shape,
            cores: request.cores,
            memory_mib: request.memory_mib,
            run_time: Duration::from_millis(request.run_time_ms),
            preemption: match request.preemption {
                Preemption::Checkpoint => CorePreemption::Checkpoint,
                Preemption::Stop => CorePreemption::Stop,
                Preemption::Never => CorePreemption::Never,
            },
            claim: request.claim.clone(),
            urgent: request.urgent,
            waited: Duration::from_millis(self.age_ms) + held,
            progress: Duration::from_millis(self.progress_ms),
            epoch: self.epoch,
        }
    }

    /// Returns the job for the operators' interface.
    pub fn to_view(&self, held: Duration) -> JobView {
        JobView {
            id: self.id.clone(),
            route: self.request.route.clone(),
            team: self.request.team.clone(),
            kind: self.request.kind.clone(),
            shape: self.request.shape,
            state: self.state,
            age_ms: self.aged(held),
            members: self.members.clone(),
            detail: self.detail.clone(),
        }
    }

    /// Returns the copy for another entry, `held` after the record was received.
    pub fn to_copy(&self, held: Duration) -> v1::JobCopy {
        let aged = Self { age_ms: self.aged(held), ..self.clone() };
        v1::JobCopy {
            id: self.id.clone(),
            revision: self.revision,
            value: serde_json::to_vec(&aged).unwrap_or_default(),
        }
    }

    /// Reads a copy.
    pub fn from_copy(copy: &v1::JobCopy) -> Option<Self> {
        serde_json::from_slice(&copy.value).ok()
    }

    fn aged(&self, held: Duration) -> u64 {
        self.age_ms.saturating_add(u64::try_from(held.as_millis()).unwrap_or(u64::MAX))
    }
}
