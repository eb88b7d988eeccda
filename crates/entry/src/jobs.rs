use std::sync::Arc;
use std::time::Duration;

use poem::http::StatusCode;
use skylarkpulley_admin::{Durability, JobView, SubmitReply, SubmitRequest};
use skylarkpulley_placement::Status;
use skylarkpulley_proto::v1;
use skylarkpulley_store::Store;
use skylarkpulley_types::Digest;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::caller_reply::CallerReply;
use crate::caller_request::CallerRequest;
use crate::hub::{Hub, MemberEvent};
use crate::job_command::{JobCommand, SubmitAnswer};
use crate::job_row::{job_row_key, row_to_copy};
use crate::placement_task::PlacementTask;
use crate::recorded_changes::RecordedChanges;

/// Time within which a submitted job must be recorded outside this process, and time limit for
/// reading a job from the store.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Result of a submission.
#[derive(Debug)]
pub enum SubmitOutcome {
    /// The job was accepted or refused.
    Decided(SubmitReply),
    /// The job could not be recorded outside this process and was therefore not accepted.
    NotRecorded,
    /// The request names a route, pool or team that does not exist.
    Invalid(String),
}

/// Handle to the task that owns jobs and placers.
#[derive(Clone)]
pub struct Jobs {
    changed: Arc<Notify>,
    commands: mpsc::UnboundedSender<JobCommand>,
    recorded: watch::Sender<RecordedChanges>,
    store: Arc<dyn Store>,
}

impl Jobs {
    /// Starts the task. `members` receives the events of all sessions.
    pub fn new(
        hub: &Arc<Hub>,
        store: Arc<dyn Store>,
        members: mpsc::UnboundedReceiver<MemberEvent>,
        seed: u64,
    ) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let jobs = Self {
            changed: Arc::new(Notify::new()),
            commands: commands.clone(),
            recorded: watch::Sender::new(RecordedChanges::default()),
            store: Arc::clone(&store),
        };
        let task = PlacementTask::new(
            Arc::clone(hub),
            store,
            commands,
            jobs.recorded.clone(),
            Arc::clone(&jobs.changed),
            seed,
        );
        tokio::spawn(task.run(inbox, members));
        jobs
    }

    /// Submits the job in the body of a caller's request on a route of a worker pool.
    pub async fn submit_request(&self, id: &str, request: &CallerRequest) -> CallerReply {
        let mut job: SubmitRequest = match serde_json::from_slice(&request.body) {
            Ok(job) => job,
            Err(error) => {
                let text = format!("the request body is not a valid job: {error}");
                return CallerReply::not_run(StatusCode::BAD_REQUEST, &text);
            }
        };
        job.route.clone_from(&request.route.name);
        job.team.clone_from(&request.team);
        let id = match &request.key {
            // The id is derived from the key, so that a repeated request refers to the same job.
            Some(key) => {
                format!("job-{}", Digest::of(&[job.route.as_bytes(), key.as_bytes()]))
            }
            None => format!("job-{id}"),
        };
        match self.submit(&id, job).await {
            SubmitOutcome::Decided(reply) => to_caller_reply(&reply),
            SubmitOutcome::NotRecorded => {
                let text =
                    "job not accepted: recording it in the store and at other entries failed";
                CallerReply::not_run(StatusCode::SERVICE_UNAVAILABLE, text)
            }
            SubmitOutcome::Invalid(reason) => {
                CallerReply::not_run(StatusCode::BAD_REQUEST, &reason)
            }
        }
    }

    /// Submits a job under `id` and waits until it is recorded outside this process.
    pub async fn submit(&self, id: &str, request: SubmitRequest) -> SubmitOutcome {
        let (reply, answer) = oneshot::channel();
        let command = JobCommand::Submit { id: id.to_owned(), request, reply };
        if self.commands.send(command).is_err() {
            return SubmitOutcome::NotRecorded;
        }
        match answer.await {
            Ok(SubmitAnswer::Queued { change }) => self.wait_recorded(id, change).await,
            Ok(SubmitAnswer::Repeated) => SubmitOutcome::Decided(SubmitReply::Accepted {
                id: id.to_owned(),
                durability: Durability::Copied,
            }),
            Ok(SubmitAnswer::Refused { reason, needed }) => {
                SubmitOutcome::Decided(SubmitReply::Refused { reason, needed })
            }
            Ok(SubmitAnswer::Invalid(reason)) => SubmitOutcome::Invalid(reason),
            Err(_) => SubmitOutcome::NotRecorded,
        }
    }

    /// Waits until the job is recorded outside this process; cancels it after [`RECORD_TIMEOUT`].
    async fn wait_recorded(&self, id: &str, change: u64) -> SubmitOutcome {
        let mut recorded = self.recorded.subscribe();
        let is_recorded = |recorded: &RecordedChanges| {
            recorded.copied >= change || recorded.stored.iter().any(|stored| stored == id)
        };
        let result = tokio::time::timeout(RECORD_TIMEOUT, recorded.wait_for(is_recorded)).await;
        if !matches!(result, Ok(Ok(_))) {
            drop(result);
            self.cancel(id).await;
            return SubmitOutcome::NotRecorded;
        }
        drop(result);
        let stored = self.recorded.borrow().stored.iter().any(|stored| stored == id);
        let durability = if stored { Durability::Stored } else { Durability::Copied };
        SubmitOutcome::Decided(SubmitReply::Accepted { id: id.to_owned(), durability })
    }

    /// Cancels a job and returns it, or `None` if it does not exist.
    pub async fn cancel(&self, id: &str) -> Option<JobView> {
        if let Some(view) = self.request(|reply| JobCommand::Cancel(id.to_owned(), reply)).await? {
            return Some(view);
        }
        self.read_row(id).await?;
        self.request(|reply| JobCommand::Cancel(id.to_owned(), reply)).await?
    }

    /// Returns a job, or `None` if it does not exist.
    pub async fn get(&self, id: &str) -> Option<JobView> {
        if let Some(view) = self.request(|reply| JobCommand::Get(id.to_owned(), reply)).await? {
            return Some(view);
        }
        self.read_row(id).await?;
        self.request(|reply| JobCommand::Get(id.to_owned(), reply)).await?
    }

    /// Returns the jobs that have not ended.
    pub async fn list(&self) -> Vec<JobView> {
        self.request(JobCommand::List).await.unwrap_or_default()
    }

    /// Reads the row of a job from the store: another entry may have stored the job but not copied
    /// it to this one yet.
    async fn read_row(&self, id: &str) -> Option<()> {
        let key = job_row_key(id);
        let read = tokio::time::timeout(RECORD_TIMEOUT, self.store.get(&key)).await;
        let row = read.ok()?.ok()??;
        self.commands.send(JobCommand::Rows(vec![row_to_copy(&row)])).ok()
    }

    /// Returns the state of the pools that this entry places for.
    pub async fn status(&self) -> Vec<(String, Status)> {
        self.request(JobCommand::Status).await.unwrap_or_default()
    }

    /// Drains a worker and returns the number of its grants, or `None` if no worker has this name.
    pub async fn drain(&self, worker: &str) -> Option<u32> {
        self.request(|reply| JobCommand::Drain(worker.to_owned(), reply)).await?
    }

    /// Returns copies of jobs that changed after `change`, for another entry, and the number of the
    /// last change among them.
    pub async fn copies_after(&self, change: u64) -> (Vec<v1::JobCopy>, u64) {
        self.request(|reply| JobCommand::Copies(change, reply))
            .await
            .unwrap_or((Vec::new(), change))
    }

    /// Merges copies of jobs from another entry.
    pub fn merge(&self, copies: Vec<v1::JobCopy>) {
        if !copies.is_empty() {
            let _ = self.commands.send(JobCommand::Merge(copies));
        }
    }

    /// Records that another entry has confirmed all changes up to `change`.
    pub fn note_copied(&self, change: u64) {
        self.recorded.send_if_modified(|recorded| {
            let newer = change > recorded.copied;
            recorded.copied = recorded.copied.max(change);
            newer
        });
    }

    /// Waits until a job changes at this entry.
    pub async fn wait_changed(&self) {
        self.changed.notified().await;
    }

    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> JobCommand,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}

fn to_caller_reply(reply: &SubmitReply) -> CallerReply {
    let body = serde_json::to_vec(reply).unwrap_or_default();
    match reply {
        SubmitReply::Accepted { .. } => CallerReply::answered(v1::Response {
            status: 202,
            headers: vec![v1::Header {
                name: "content-type".to_owned(),
                value: "application/json".to_owned(),
            }],
            body,
        }),
        SubmitReply::Refused { reason, needed } => {
            let text = format!("{reason}; {needed}");
            CallerReply::not_run(StatusCode::UNPROCESSABLE_ENTITY, &text)
        }
    }
}
