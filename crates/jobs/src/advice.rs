use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::TaskKey;

/// Most workers that one question names; the answer takes longer with each.
pub const ADVICE_WORKERS: usize = 30;

/// Part of a permit's life that is kept for the start itself.
const PERMIT_MARGIN: Duration = Duration::from_millis(700);

/// A question that has no answer is asked again after this time.
const ASK_AGAIN: Duration = Duration::from_secs(5);

/// Pause after a question that was not answered.
const PAUSE: Duration = Duration::from_millis(500);

/// A step of one occurrence.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepId {
    /// Id of the job.
    pub job: String,
    /// Occurrence.
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

/// A question to the placement policy.
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
    until: Instant,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    asked: Option<Instant>,
    permits: BTreeMap<String, Permit>,
    /// Workers that the policy has turned down; its verdict does not change.
    turned_down: Vec<String>,
}

/// What the placement policy has said.
///
/// Load pattern: only an outside service knows which workers may run a step, it is slow and handles
/// one question at a time, and its permits expire while a gang waits for room.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    steps: BTreeMap<StepId, StepAdvice>,
}

impl Advice {
    /// Returns an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the permit for a worker that is valid long enough for a start.
    pub fn permit(
        &self,
        step: &StepId,
        worker: &str,
        incarnation: u64,
        now: Instant,
    ) -> Option<&str> {
        let permit = self.steps.get(step)?.permits.get(worker)?;
        (permit.incarnation == incarnation && now < permit.until).then_some(permit.text.as_str())
    }

    /// Returns the question to ask about `workers`, unless one is open or nothing new can come of it.
    pub fn ask(&mut self, step: &StepId, workers: &[String], now: Instant) -> Option<AdviceCall> {
        let known = self.steps.entry(step.clone()).or_default();
        if known.asked.is_some_and(|asked| now < asked + ASK_AGAIN) {
            return None;
        }
        let workers: Vec<String> = workers
            .iter()
            .filter(|id| !known.turned_down.contains(id))
            .take(ADVICE_WORKERS)
            .cloned()
            .collect();
        if workers.is_empty() {
            return None;
        }
        known.asked = Some(now);
        Some(AdviceCall { step: step.clone(), workers })
    }

    /// Takes in an answer, `None` when there was none. `incarnations` are the incarnations of the workers that the
    /// question named.
    pub fn take(
        &mut self,
        call: &AdviceCall,
        answer: Option<&AdviceAnswer>,
        incarnations: &BTreeMap<String, u64>,
        now: Instant,
    ) {
        let Some(known) = self.steps.get_mut(&call.step) else { return };
        let Some(answer) = answer else {
            known.asked = now.checked_sub(ASK_AGAIN.saturating_sub(PAUSE));
            return;
        };
        known.asked = None;
        let until = now + answer.valid.saturating_sub(PERMIT_MARGIN);
        for id in &call.workers {
            match (answer.permits.get(id), incarnations.get(id)) {
                (Some(text), Some(incarnation)) => {
                    let permit = Permit { incarnation: *incarnation, text: text.clone(), until };
                    known.permits.insert(id.clone(), permit);
                }
                (None, _) => known.turned_down.push(id.clone()),
                (Some(_), None) => {}
            }
        }
    }

    /// Forgets the permit of a worker, which has rejected it.
    pub fn reject(&mut self, step: &StepId, worker: &str) {
        if let Some(known) = self.steps.get_mut(step) {
            known.permits.remove(worker);
        }
    }

    /// Forgets all steps of a job.
    pub fn forget(&mut self, job: &str) {
        self.steps.retain(|step, _| step.job != job);
    }
}
