use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::TaskKey;

/// Maximum number of workers in one request to the placement policy. Each worker makes its answer
/// slower.
pub const MAX_WORKERS_PER_CALL: usize = 30;

/// Part of a permit's validity that is reserved for the start itself.
const PERMIT_MARGIN: Duration = Duration::from_millis(700);

/// Time after which a request without an answer is sent again.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before a request that failed is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Id of a step of one occurrence of a job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Id of the job.
    pub job: String,
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

impl StepId {
    /// Returns the step that a task belongs to.
    pub fn new(job: &str, key: &TaskKey) -> Self {
        Self { job: job.to_owned(), occurrence: key.occurrence, step: key.step }
    }
}

/// A request to the placement policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceCall {
    /// The step to place.
    pub step: StepId,
    /// Workers that may be chosen, by id.
    pub workers: Vec<String>,
}

/// An answer of the placement policy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceAnswer {
    /// Permits by worker id.
    pub permits: BTreeMap<String, String>,
    /// For how long the permits are valid.
    pub valid: Duration,
}

#[derive(Clone, Debug)]
struct Permit {
    /// Incarnation of the worker; a permit does not outlive it.
    incarnation: u64,
    text: String,
    valid_until: Instant,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    permits: BTreeMap<String, Permit>,
    /// Workers that the policy has rejected for this step. Its decisions do not change.
    rejected: Vec<String>,
    /// When the open request was sent.
    requested_at: Option<Instant>,
}

/// Permits and rejections that the placement policy has given.
///
/// Load pattern: only an external service knows which workers may run a step. It is slow and
/// handles one request at a time, and its permits expire while a gang waits for free resources.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepId, StepAdvice>,
}

impl Advice {
    /// Returns a record without answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the permit for a worker if it is valid long enough for a start.
    pub fn permit(
        &self,
        step: &StepId,
        worker: &str,
        incarnation: u64,
        now: Instant,
    ) -> Option<&str> {
        let permit = self.steps.get(step)?.permits.get(worker)?;
        (permit.incarnation == incarnation && now < permit.valid_until)
            .then_some(permit.text.as_str())
    }

    /// Returns the next request about `workers`. Returns `None` while a request is open, or when
    /// the policy has rejected all of them.
    pub fn next_call(
        &mut self,
        step: &StepId,
        workers: &[String],
        now: Instant,
    ) -> Option<AdviceCall> {
        let advice = self.steps.entry(step.clone()).or_default();
        if advice.requested_at.is_some_and(|requested_at| now < requested_at + CALL_TIMEOUT) {
            return None;
        }
        let workers: Vec<String> = workers
            .iter()
            .filter(|id| !advice.rejected.contains(id))
            .take(MAX_WORKERS_PER_CALL)
            .cloned()
            .collect();
        if workers.is_empty() {
            return None;
        }
        advice.requested_at = Some(now);
        Some(AdviceCall { step: step.clone(), workers })
    }

    /// Records the answer to a request; `None` means that the policy did not answer. `incarnations`
    /// holds the incarnations of the workers that the request named.
    pub fn record_answer(
        &mut self,
        call: &AdviceCall,
        answer: Option<&AdviceAnswer>,
        incarnations: &BTreeMap<String, u64>,
        now: Instant,
    ) {
        let Some(advice) = self.steps.get_mut(&call.step) else { return };
        let Some(answer) = answer else {
            advice.requested_at = now.checked_sub(CALL_TIMEOUT.saturating_sub(RETRY_DELAY));
            return;
        };
        advice.requested_at = None;
        let valid_until = now + answer.valid.saturating_sub(PERMIT_MARGIN);
        for id in &call.workers {
            match (answer.permits.get(id), incarnations.get(id)) {
                (Some(text), Some(incarnation)) => {
                    let permit =
                        Permit { incarnation: *incarnation, text: text.clone(), valid_until };
                    advice.permits.insert(id.clone(), permit);
                }
                (None, _) => advice.rejected.push(id.clone()),
                (Some(_), None) => {}
            }
        }
    }

    /// Removes the permit of a worker that has rejected it.
    pub fn remove_permit(&mut self, step: &StepId, worker: &str) {
        if let Some(advice) = self.steps.get_mut(step) {
            advice.permits.remove(worker);
        }
    }

    /// Removes all steps of a job.
    pub fn remove_job(&mut self, job: &str) {
        self.steps.retain(|step, _| step.job != job);
    }
}
