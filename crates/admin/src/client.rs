use std::time::Duration;

use reqwest::{Method, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    AdminError, ApplyReply, ApplyRequest, DrainReply, ErrorReply, Explanation, JobView, Status,
    SubmitReply, SubmitRequest, TablesView,
};

/// One answer of the store may take 10 s.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(12);
/// Entries are at most a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one entry's admin API. Sends each request once, on its own connection.
#[derive(Clone, Debug)]
pub struct Client {
    base: Url,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// Returns a client of the entry at `address`, such as `http://10.0.0.1:7400`.
    pub fn new(address: &str) -> Result<Self, AdminError> {
        let invalid = || AdminError::InvalidAddress { address: address.to_owned() };
        let base = Url::parse(address).map_err(|_| invalid())?;
        if base.scheme() != "http" || !base.has_host() {
            return Err(invalid());
        }
        // HTTP clients repeat a request when a reused connection turns out to be closed. Without
        // idle connections, and with the retry policy off, a write is sent at most once.
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .map_err(|_| invalid())?;
        Ok(Self { base, http, timeout: DEFAULT_TIMEOUT })
    }

    /// Sets how long an answer may take.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the system as the entry sees it.
    pub async fn status(&self) -> Result<Status, AdminError> {
        self.send(Method::GET, &["v1", "status"], None::<&()>).await
    }

    /// Returns the tables in force.
    pub async fn tables(&self) -> Result<TablesView, AdminError> {
        self.send(Method::GET, &["v1", "tables"], None::<&()>).await
    }

    /// Proposes an edit of both tables. A lost answer is resolved by reading the tables back: an
    /// edit that is not found there remains [`AdminError::LostAnswer`], since it may still arrive.
    pub async fn apply(&self, edit: &ApplyRequest) -> Result<ApplyReply, AdminError> {
        let lost = match self.send(Method::PUT, &["v1", "tables"], Some(edit)).await {
            Err(error @ AdminError::LostAnswer { .. }) => error,
            answer => return answer,
        };
        let Ok(view) = self.tables().await else {
            return Err(lost);
        };
        match view.edits.iter().find(|record| record.edit_id == edit.edit_id) {
            Some(record) => Ok(ApplyReply::Accepted { version: record.version }),
            None => Err(lost),
        }
    }

    /// Returns what the processes recorded about request, job or member `id`.
    pub async fn explain(&self, id: &str) -> Result<Explanation, AdminError> {
        self.send(Method::GET, &["v1", "explain", id], None::<&()>).await
    }

    /// Queues a job.
    pub async fn submit(&self, job: &SubmitRequest) -> Result<SubmitReply, AdminError> {
        self.send(Method::POST, &["v1", "jobs"], Some(job)).await
    }

    /// Returns job `id`.
    pub async fn job(&self, id: &str) -> Result<JobView, AdminError> {
        self.send(Method::GET, &["v1", "jobs", id], None::<&()>).await
    }

    /// Cancels job `id`.
    pub async fn cancel(&self, id: &str) -> Result<JobView, AdminError> {
        self.send(Method::DELETE, &["v1", "jobs", id], None::<&()>).await
    }

    /// Stops new work for the upstream or worker whose agent is called `member`.
    pub async fn drain(&self, member: &str) -> Result<DrainReply, AdminError> {
        self.send(Method::POST, &["v1", "drain", member], None::<&()>).await
    }

    /// Reports whether the entry's process works.
    pub async fn live(&self) -> Result<bool, AdminError> {
        self.probe("livez").await
    }

    /// Reports whether the entry accepts requests.
    pub async fn ready(&self) -> Result<bool, AdminError> {
        self.probe("readyz").await
    }

    async fn probe(&self, path: &str) -> Result<bool, AdminError> {
        let response = self.exchange(Method::GET, &[path], None::<&()>).await?;
        Ok(response.status().is_success())
    }

    async fn send<B, A>(
        &self,
        method: Method,
        path: &[&str],
        body: Option<&B>,
    ) -> Result<A, AdminError>
    where
        B: Serialize + Sync + ?Sized,
        A: DeserializeOwned,
    {
        let request = format!("{method} /{}", path.join("/"));
        let response = self.exchange(method.clone(), path, body).await?;
        let status = response.status();
        let bytes =
            response.bytes().await.map_err(|error| self.failure(&method, &request, &error))?;
        // A conflict and a rejection are answers of the API; their bodies have the answer's type.
        let refusal = matches!(status, StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY);
        if (status.is_success() || refusal)
            && let Ok(answer) = serde_json::from_slice(&bytes)
        {
            return Ok(answer);
        }
        let detail = match serde_json::from_slice::<ErrorReply>(&bytes) {
            Ok(reply) => reply.error,
            Err(_) => format!("{} bytes that are not an answer of the admin API", bytes.len()),
        };
        if status == StatusCode::NOT_FOUND {
            return Err(AdminError::NotFound { detail });
        }
        let address = self.base.to_string();
        // A gateway's error, or an unreadable success, does not tell whether a write took effect.
        let ambiguous = status.is_success() || status.is_server_error();
        if ambiguous && method != Method::GET && status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(AdminError::LostAnswer { address, request, detail });
        }
        Err(AdminError::ErrorStatus { address, request, status: status.as_u16(), detail })
    }

    async fn exchange<B: Serialize + Sync + ?Sized>(
        &self,
        method: Method,
        path: &[&str],
        body: Option<&B>,
    ) -> Result<Response, AdminError> {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().extend(path);
        }
        let request = format!("{method} {}", url.path());
        let mut builder = self.http.request(method.clone(), url).timeout(self.timeout);
        if let Some(body) = body {
            builder = builder.json(body);
        }
        builder.send().await.map_err(|error| self.failure(&method, &request, &error))
    }

    fn failure(&self, method: &Method, request: &str, error: &reqwest::Error) -> AdminError {
        let address = self.base.to_string();
        let detail = describe(error);
        if *method == Method::GET || error.is_connect() || error.is_builder() {
            return AdminError::Unreachable { address, detail };
        }
        AdminError::LostAnswer { address, request: request.to_owned(), detail }
    }
}

/// Joins an error with its causes; the outer one alone names only the URL.
fn describe(error: &reqwest::Error) -> String {
    let mut parts =
        vec![if error.is_timeout() { "timed out" } else { "request failed" }.to_owned()];
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        parts.push(cause.to_string());
        source = cause.source();
    }
    parts.dedup();
    parts.join(": ")
}
