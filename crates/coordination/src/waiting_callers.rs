use skylarkpulley_jobs::Coordinator;
use tokio::sync::oneshot;

use crate::calls::JobAnswer;

struct WaitingCaller {
    /// Memory that its submission takes; 0 if it is a repeat, or not a submission.
    bytes: usize,
    id: String,
    reply: oneshot::Sender<JobAnswer>,
    submitted: bool,
    version: u64,
}

/// Callers whose answer waits until the state of their job is stored.
#[derive(Default)]
pub struct WaitingCallers {
    callers: Vec<WaitingCaller>,
}

impl WaitingCallers {
    /// Returns no callers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of callers.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns the memory of the submissions that are not stored. They count until they are stored or
    /// withdrawn, also when the caller has left.
    pub fn submitted_bytes(&self) -> usize {
        self.callers.iter().map(|caller| caller.bytes).sum()
    }

    /// Adds a caller that is answered once `version` of the job `id`, which it has cancelled, is stored.
    pub fn add_cancellation(
        &mut self,
        id: String,
        version: u64,
        reply: oneshot::Sender<JobAnswer>,
    ) {
        self.callers.push(WaitingCaller { bytes: 0, id, reply, submitted: false, version });
    }

    /// Adds a caller that is answered once `version` of the job `id`, which it has submitted, is stored.
    /// `bytes` is the memory that the job takes; 0 if it was submitted before.
    pub fn add_submission(
        &mut self,
        id: String,
        version: u64,
        bytes: usize,
        reply: oneshot::Sender<JobAnswer>,
    ) {
        self.callers.push(WaitingCaller { bytes, id, reply, submitted: true, version });
    }

    /// Returns the ids of the jobs that callers have submitted.
    pub fn submitted(&self) -> Vec<String> {
        let submitted = self.callers.iter().filter(|caller| caller.submitted);
        submitted.map(|caller| caller.id.clone()).collect()
    }

    /// Gives `answer` to all callers of the job `id`.
    pub fn answer(&mut self, id: &str, answer: &JobAnswer) {
        self.answer_where(answer, |caller| caller.id == id);
    }

    /// Answers the callers whose version is stored.
    pub fn answer_stored(&mut self, coordinator: &Coordinator) {
        self.answer_where(&JobAnswer::Done, |caller| {
            coordinator.is_durable(&caller.id, caller.version)
        });
    }

    fn answer_where(&mut self, answer: &JobAnswer, is_answered: impl Fn(&WaitingCaller) -> bool) {
        let callers = std::mem::take(&mut self.callers);
        let (answered, waiting) = callers.into_iter().partition(is_answered);
        self.callers = waiting;
        for caller in answered {
            // Sending fails when the caller has left, which needs no handling.
            let _ = caller.reply.send(answer.clone());
        }
    }
}
