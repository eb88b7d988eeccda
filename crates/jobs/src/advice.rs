use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;

use crate::TaskKey;

/// Maximum number of workers in one request to the placement policy. Each worker makes its answer
/// slower.
pub const MAX_WORKERS_PER_CALL: usize = 30;

/// Part of a permit's validity that is reserved for the start itself.
const PERMIT_MARGIN: Duration = Duration::from_millis(700);

/// Time after which the open request counts as lost. The client of the policy gives up a request
/// earlier and reports that it failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before a request that failed is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Id of a step of one occurrence of a job.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{job}.{occurrence}.{step}")]
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
    /// Time before which no further request is sent, because the last one failed.
    retry_at: Option<Instant>,
}

/// Permits and rejections that the placement policy has given.
///
/// Load pattern: only an external service knows which workers may run a step. It is slow and
/// handles one request at a time, and its permits expire while a gang waits for free resources. After
/// a burst, more steps wait than it can answer for. Requests that wait in its queue can be neither
/// reordered nor withdrawn, so that one request is open at a time; the next one is chosen from what
/// the last round of planning asked for, in its order.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// The step of the open request, and when the request was sent.
    open: Option<(StepId, Instant)>,
    steps: BTreeMap<StepId, StepAdvice>,
    /// Requests that the current round of planning has asked for, the most urgent first.
    wanted: Vec<AdviceCall>,
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

    /// Reports whether the policy has rejected a worker for the step.
    pub fn is_rejected(&self, step: &StepId, worker: &str) -> bool {
        self.steps.get(step).is_some_and(|advice| advice.rejected.iter().any(|id| id == worker))
    }

    /// Forgets the requests that were asked for. Each round of planning asks anew, so that nothing is
    /// asked about steps that no longer wait.
    pub fn clear_wanted(&mut self) {
        self.wanted.clear();
    }

    /// Asks for permits of the step for some of `workers`. Steps that are more urgent ask first.
    pub fn want(&mut self, step: &StepId, workers: &[String]) {
        if self.wanted.iter().any(|call| call.step == *step) {
            return;
        }
        let rejected = &self.steps.entry(step.clone()).or_default().rejected;
        let workers: Vec<String> = workers
            .iter()
            .filter(|id| !rejected.contains(id))
            .take(MAX_WORKERS_PER_CALL)
            .cloned()
            .collect();
        if !workers.is_empty() {
            self.wanted.push(AdviceCall { step: step.clone(), workers });
        }
    }

    /// Returns the next request; `None` while one is open, or when nothing is wanted.
    pub fn next_call(&mut self, now: Instant) -> Option<AdviceCall> {
        if self.open.as_ref().is_some_and(|(_, sent_at)| now < *sent_at + CALL_TIMEOUT) {
            return None;
        }
        let may_ask = |call: &AdviceCall| {
            let advice = self.steps.get(&call.step);
            advice.and_then(|advice| advice.retry_at).is_none_or(|retry_at| now >= retry_at)
        };
        let index = self.wanted.iter().position(may_ask)?;
        let call = self.wanted.remove(index);
        self.open = Some((call.step.clone(), now));
        Some(call)
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
        if self.open.as_ref().is_some_and(|(step, _)| *step == call.step) {
            self.open = None;
        }
        let Some(advice) = self.steps.get_mut(&call.step) else { return };
        let Some(answer) = answer else {
            advice.retry_at = Some(now + RETRY_DELAY);
            return;
        };
        advice.retry_at = None;
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

    /// Describes the requests about a step: how many workers the policy has rejected for it, whether
    /// its request is open, waits for its turn or failed, and which step's request is open.
    pub fn describe(&self, step: &StepId, now: Instant) -> String {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis();
        let advice = self.steps.get(step);
        let rejected = advice.map_or(0, |advice| advice.rejected.len());
        let retrying = advice.and_then(|advice| advice.retry_at).is_some_and(|at| now < at);
        let open = self.open.as_ref().map(|(open, sent_at)| (open == step, open, age(*sent_at)));
        let request = match open {
            Some((true, _, age)) => format!("asked {age} ms ago"),
            _ if retrying => "the last request failed".to_owned(),
            _ if self.wanted.iter().any(|call| call.step == *step) => match open {
                Some((_, other, age)) => {
                    format!("waits to ask, {other} was asked about {age} ms ago")
                }
                None => "waits to ask".to_owned(),
            },
            _ => "asks for no worker".to_owned(),
        };
        format!("rejected {rejected}, {request}")
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
        self.wanted.retain(|call| call.step.job != job);
    }
}
