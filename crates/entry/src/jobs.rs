use std::sync::Arc;
use std::time::Duration;

use poem::http::StatusCode;
use skylarkpulley_admin::{Durability, JobView, SubmitReply, SubmitRequest};
use skylarkpulley_placement::{HoldResult, Status};
use skylarkpulley_proto::v1;
use skylarkpulley_store::{Row, Store};
use skylarkpulley_types::{AgentId, Digest};
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::caller_reply::CallerReply;
use crate::caller_request::CallerRequest;
use crate::hub::{Hub, MemberEvent};
use crate::placement_task::PlacementTask;

/// Time in which a submitted job must be recorded somewhere else than in this process.
const RECORD_LIMIT: Duration = Duration::from_millis(1500);

/// Messages to the task that owns jobs and placers.
#[derive(Debug)]
pub(crate) enum Command {
    Cancel(String, oneshot::Sender<Option<JobView>>),
    Copies(u64, oneshot::Sender<(Vec<v1::JobCopy>, u64)>),
    Drain(String, oneshot::Sender<Option<u32>>),
    Get(String, oneshot::Sender<Option<JobView>>),
    List(oneshot::Sender<Vec<JobView>>),
    Held {
        pool: String,
        job: String,
        epoch: u64,
        worker: AgentId,
        result: HoldResult,
    },
    /// All rows of the store have been taken in.
    Loaded,
    Merge(Vec<v1::JobCopy>),
    /// Rows of jobs with their versions, as the store has them.
    Rows(Vec<(v1::JobCopy, u64)>),
    Saved {
        id: String,
        revision: u64,
        version: Option<u64>,
    },
    Status(oneshot::Sender<Vec<(String, Status)>>),
    Submit {
        id: String,
        request: SubmitRequest,
        reply: oneshot::Sender<Submitted>,
    },
}

/// Answer of the task to a submission.
#[derive(Debug)]
pub(crate) enum Submitted {
    /// The job waits; `change` is its place in the order of changes.
    Queued { change: u64 },
    /// The id is known already.
    Repeated,
    /// The job can never run.
    Refused { reason: String, needed: String },
    /// The route or team does not exist.
    Unknown(String),
}

/// How far other places have the jobs of this entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recorded {
    /// Changes up to this one are at another entry.
    pub copied: u64,
    /// Ids of jobs that the store has, latest last, bounded.
    pub stored: Vec<String>,
}

/// Result of a submission.
#[derive(Debug)]
pub enum SubmitOutcome {
    /// The decision about the job.
    Decided(SubmitReply),
    /// The job could be recorded nowhere, so it was not accepted.
    NotRecorded,
    /// The request names something that does not exist.
    Invalid(String),
}

/// Handle to the task that owns jobs and placers.
#[derive(Clone)]
pub struct Jobs {
    changed: Arc<Notify>,
    commands: mpsc::UnboundedSender<Command>,
    recorded: watch::Sender<Recorded>,
    store: Arc<dyn Store>,
}

impl Jobs {
    /// Starts the task. `members` delivers the events of all sessions.
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
            recorded: watch::Sender::new(Recorded::default()),
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
        tokio::spawn(task.work(inbox, members));
        jobs
    }

    /// Submits the job in the body of a caller's request on a route of a worker pool.
    pub async fn submit_request(&self, id: &str, request: &CallerRequest) -> CallerReply {
        let mut job: SubmitRequest = match serde_json::from_slice(&request.body) {
            Ok(job) => job,
            Err(error) => {
                let text = format!("the body is not a job: {error}");
                return CallerReply::not_run(StatusCode::BAD_REQUEST, &text);
            }
        };
        job.route.clone_from(&request.route.name);
        job.team.clone_from(&request.team);
        let id = match &request.key {
            // A repeated key names the same job.
            Some(key) => {
                format!("job-{}", Digest::of(&[job.route.as_bytes(), key.as_bytes()]))
            }
            None => format!("job-{id}"),
        };
        match self.submit(&id, job).await {
            SubmitOutcome::Decided(reply) => to_caller_reply(&reply),
            SubmitOutcome::NotRecorded => {
                let text = "the job could be recorded neither in the store nor at another entry";
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
        let command = Command::Submit { id: id.to_owned(), request, reply };
        if self.commands.send(command).is_err() {
            return SubmitOutcome::NotRecorded;
        }
        match answer.await {
            Ok(Submitted::Queued { change }) => self.wait_recorded(id, change).await,
            Ok(Submitted::Repeated) => SubmitOutcome::Decided(SubmitReply::Accepted {
                id: id.to_owned(),
                durability: Durability::Copied,
            }),
            Ok(Submitted::Refused { reason, needed }) => {
                SubmitOutcome::Decided(SubmitReply::Refused { reason, needed })
            }
            Ok(Submitted::Unknown(reason)) => SubmitOutcome::Invalid(reason),
            Err(_) => SubmitOutcome::NotRecorded,
        }
    }

    async fn wait_recorded(&self, id: &str, change: u64) -> SubmitOutcome {
        let mut recorded = self.recorded.subscribe();
        let done = |recorded: &Recorded| {
            recorded.copied >= change || recorded.stored.iter().any(|stored| stored == id)
        };
        let waited = tokio::time::timeout(RECORD_LIMIT, recorded.wait_for(done)).await;
        if !matches!(waited, Ok(Ok(_))) {
            drop(waited);
            self.cancel(id).await;
            return SubmitOutcome::NotRecorded;
        }
        drop(waited);
        let stored = self.recorded.borrow().stored.iter().any(|stored| stored == id);
        let durability = if stored { Durability::Stored } else { Durability::Copied };
        SubmitOutcome::Decided(SubmitReply::Accepted { id: id.to_owned(), durability })
    }

    /// Cancels a job and returns it, or `None` when it is unknown.
    pub async fn cancel(&self, id: &str) -> Option<JobView> {
        if let Some(view) = self.ask(|reply| Command::Cancel(id.to_owned(), reply)).await? {
            return Some(view);
        }
        self.read_row(id).await?;
        self.ask(|reply| Command::Cancel(id.to_owned(), reply)).await?
    }

    /// Returns a job, or `None` when it is unknown.
    pub async fn get(&self, id: &str) -> Option<JobView> {
        if let Some(view) = self.ask(|reply| Command::Get(id.to_owned(), reply)).await? {
            return Some(view);
        }
        self.read_row(id).await?;
        self.ask(|reply| Command::Get(id.to_owned(), reply)).await?
    }

    /// Returns the jobs that have not ended.
    pub async fn list(&self) -> Vec<JobView> {
        self.ask(Command::List).await.unwrap_or_default()
    }

    /// Takes in a job that another entry stored and has not copied to this one yet.
    async fn read_row(&self, id: &str) -> Option<()> {
        let key = row_key(id);
        let read = tokio::time::timeout(RECORD_LIMIT, self.store.get(&key)).await;
        let row = read.ok()?.ok()??;
        self.commands.send(Command::Rows(vec![to_copy(&row)])).ok()
    }

    /// Returns the state of the pools that this entry places for.
    pub async fn status(&self) -> Vec<(String, Status)> {
        self.ask(Command::Status).await.unwrap_or_default()
    }

    /// Takes a worker out of use and returns the number of its tasks, or `None` when it is unknown.
    pub async fn drain(&self, worker: &str) -> Option<u32> {
        self.ask(|reply| Command::Drain(worker.to_owned(), reply)).await?
    }

    /// Returns copies of the jobs that changed after `change`, for another entry.
    pub async fn copies_after(&self, change: u64) -> (Vec<v1::JobCopy>, u64) {
        self.ask(|reply| Command::Copies(change, reply)).await.unwrap_or((Vec::new(), change))
    }

    /// Takes in copies from another entry.
    pub fn merge(&self, copies: Vec<v1::JobCopy>) {
        if !copies.is_empty() {
            let _ = self.commands.send(Command::Merge(copies));
        }
    }

    /// Notes that another entry has all changes up to `change`.
    pub fn note_copied(&self, change: u64) {
        self.recorded.send_if_modified(|recorded| {
            let newer = change > recorded.copied;
            recorded.copied = recorded.copied.max(change);
            newer
        });
    }

    /// Waits until a job changed here.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).ok()?;
        answer.await.ok()
    }
}

/// Key of the store row of a job.
pub(crate) fn row_key(id: &str) -> String {
    format!("jobs/{id}")
}

/// Returns the record in a row, with the row's version.
pub(crate) fn to_copy(row: &Row) -> (v1::JobCopy, u64) {
    let copy = v1::JobCopy { value: row.value.to_vec(), ..v1::JobCopy::default() };
    (copy, row.version)
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
