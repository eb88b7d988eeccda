use std::time::Duration;

use serde::{Deserialize, Serialize};
use skylarkpulley_admin::{JobState, JobView, Preemption, SubmitRequest};
use skylarkpulley_placement::{JobSpec, Preemption as PlacementPreemption};
use skylarkpulley_proto::v1;

/// Record of a job that entries copy to each other and to the store. The processes share no wall
/// clock, so times are stored as ages at the time of the copy.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id of the job; its gang has the same name.
    pub id: String,
    /// Increases with every change; a merge keeps the higher revision, except that an end is final.
    pub revision: u64,
    /// Pool of the job's route.
    pub pool: String,
    /// Priority class of the route.
    pub class: u8,
    /// Request of the submitter.
    pub request: SubmitRequest,
    /// State of the job.
    pub state: JobState,
    /// Reason of the state, for operators.
    pub detail: String,
    /// Highest epoch of its placements.
    pub epoch: u64,
    /// Agents of its gang members, the lead first.
    pub members: Vec<String>,
    /// Time since submission, in milliseconds.
    pub age_ms: u64,
    /// Run time that the latest checkpoint preserves, in milliseconds.
    pub progress_ms: u64,
    /// Workers in a row that were lost soon after the job had started on them. Records of builds
    /// before this one have no such field.
    #[serde(default)]
    pub lost_starts: u32,
}

impl JobRecord {
    /// Reports whether `request` may be a repeat of the submission: it comes from the same team on
    /// the same route.
    pub fn is_repeated_by(&self, request: &SubmitRequest) -> bool {
        self.request.team == request.team && self.request.route == request.route
    }

    /// Returns the record of a newly submitted job.
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
            lost_starts: 0,
        }
    }

    /// Returns whether the job is cancelled, done or failed.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, JobState::Cancelled | JobState::Done | JobState::Failed)
    }

    /// Returns whether this record replaces `other` of the same job. An end is final: a change by
    /// another entry that had not received the end yet has no effect, whatever its revision.
    pub fn supersedes(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.is_ended(), record.revision, record.state);
        key(self) > key(other)
    }

    /// Converts the record for the placer; `since_received` is the time since it was received.
    pub fn to_spec(&self, since_received: Duration) -> JobSpec {
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
                Preemption::Checkpoint => PlacementPreemption::Checkpoint,
                Preemption::Stop => PlacementPreemption::Stop,
                Preemption::Never => PlacementPreemption::Never,
            },
            claim: request.claim.clone(),
            urgent: request.urgent,
            waited: Duration::from_millis(self.age_ms) + since_received,
            progress: Duration::from_millis(self.progress_ms),
            epoch: self.epoch,
            lost_starts: self.lost_starts,
        }
    }

    /// Converts the record for the operators' interface.
    pub fn to_view(&self, since_received: Duration) -> JobView {
        JobView {
            id: self.id.clone(),
            route: self.request.route.clone(),
            team: self.request.team.clone(),
            kind: self.request.kind.clone(),
            shape: self.request.shape,
            state: self.state,
            age_ms: self.current_age_ms(since_received),
            members: self.members.clone(),
            detail: self.detail.clone(),
        }
    }

    /// Returns a copy for another entry or the store, with the age at the time of the copy.
    pub fn to_copy(&self, since_received: Duration) -> v1::JobCopy {
        let copy = Self { age_ms: self.current_age_ms(since_received), ..self.clone() };
        v1::JobCopy {
            id: self.id.clone(),
            revision: self.revision,
            value: serde_json::to_vec(&copy).unwrap_or_default(),
        }
    }

    /// Decodes a copy, or returns `None` if it is not valid.
    pub fn from_copy(copy: &v1::JobCopy) -> Option<Self> {
        serde_json::from_slice(&copy.value).ok()
    }

    fn current_age_ms(&self, since_received: Duration) -> u64 {
        self.age_ms.saturating_add(u64::try_from(since_received.as_millis()).unwrap_or(u64::MAX))
    }
}
