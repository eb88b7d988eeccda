use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use poem::http::StatusCode;
use poem::{Endpoint, Request, Response};
use skylarkpulley_tables::PoolKind;

use crate::caller_reply::CallerReply;
use crate::caller_request::CallerRequest;
use crate::hub::Hub;
use crate::jobs::Jobs;
use crate::request_task::RequestTask;
use crate::router_task::{CancelOnDrop, Router};

/// Answers callers over HTTP.
pub struct Callers {
    /// Shared state of the entry.
    pub hub: Arc<Hub>,
    /// Prefix of request ids, unique to this incarnation of the entry.
    pub prefix: String,
    /// Jobs of worker pools.
    pub jobs: Jobs,
    /// Request queues and selection of upstreams.
    pub router: Router,
    /// Limit on concurrently open requests.
    pub open_limit: usize,
    /// Time in which a caller must have sent the whole request.
    pub read_timeout: Duration,
    /// Number of open requests.
    pub open: Arc<AtomicUsize>,
    /// Number of the next request.
    pub sequence: AtomicU64,
}

/// Counts as one open request until it is dropped.
struct OpenRequestGuard(Arc<AtomicUsize>);

impl OpenRequestGuard {
    fn new(open: &Arc<AtomicUsize>, limit: usize) -> Option<Self> {
        let before = open.fetch_add(1, Ordering::AcqRel);
        let guard = Self(Arc::clone(open));
        (before < limit).then_some(guard)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Endpoint for Callers {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let number = self.sequence.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.prefix);
        Ok(self.serve(&id, number, request).await.into_response(&id))
    }
}

impl Callers {
    async fn serve(&self, id: &str, number: u64, request: Request) -> CallerReply {
        let start = self.hub.clock.now();
        let Some(open) = OpenRequestGuard::new(&self.open, self.open_limit) else {
            return CallerReply::unread(
                &request,
                "the entry has reached its limit of open requests",
            );
        };
        let Some(tables) = self.hub.config.borrow().tables() else {
            return CallerReply::unread(&request, "the entry has no configuration yet");
        };
        let request = match CallerRequest::read(request, &tables, self.read_timeout).await {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        if request.kind == PoolKind::Worker {
            return self.jobs.submit_request(id, &request).await;
        }
        let task = RequestTask {
            hub: Arc::clone(&self.hub),
            router: self.router.clone(),
            id: id.to_owned(),
            number,
            start,
            request,
        };
        // The task keeps running after the caller closes its connection, which drops this future.
        // Dropping the guard removes the request from its queue if it is still waiting.
        let cancel_guard = CancelOnDrop::new(&self.router, number);
        let task = tokio::spawn(async move {
            let _open = open;
            task.run().await
        });
        let reply = task.await;
        cancel_guard.disarm();
        reply.unwrap_or_else(|_| {
            CallerReply::unknown(
                StatusCode::INTERNAL_SERVER_ERROR,
                "an internal fault ended the processing of the request",
            )
        })
    }
}
