use std::time::Duration;

use reqwest::{Method, Response, StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    AdminError, ApplyReply, ApplyRequest, DrainReply, ErrorReply, Explanation, JobView, Status,
    SubmitReply, SubmitRequest, TablesView,
};

/// Time limit of one request unless [`Client::with_timeout`] sets another. It exceeds the 10 s that
/// the store may take to answer the entry.
const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit of establishing a connection. The network delay to an entry is at most a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client for the admin API of one entry. It sends each request once, on a connection of its own.
#[derive(Clone, Debug)]
pub struct Client {
    base: Url,
    http: reqwest::Client,
    timeout: Duration,
}

impl Client {
    /// Returns a client for the entry at `address`, such as `http://10.0.0.1:7400`.
    pub fn new(address: &str) -> Result<Self, AdminError> {
        let invalid = || AdminError::InvalidAddress { address: address.to_owned() };
        let base = Url::parse(address).map_err(|_| invalid())?;
        if base.scheme() != "http" || !base.has_host() {
            return Err(invalid());
        }
        // An HTTP client may repeat a request if a reused connection has been closed by the server.
        // Without idle connections and without retries, a write is sent at most once.
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .map_err(|_| invalid())?;
        Ok(Self { base, http, timeout: DEFAULT_REQUEST_TIMEOUT })
    }

    /// Sets the time limit of one request.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the status of the system as known to the entry.
    pub async fn status(&self) -> Result<Status, AdminError> {
        self.request_json(Method::GET, &["v1", "status"], None::<&()>).await
    }

    /// Returns the entry's current tables.
    pub async fn tables(&self) -> Result<TablesView, AdminError> {
        self.request_json(Method::GET, &["v1", "tables"], None::<&()>).await
    }

    /// Sends an edit of both tables. If the answer is lost, reads the tables to see whether the
    /// edit was accepted. If they do not list the edit, or cannot be read, the result is
    /// [`AdminError::LostAnswer`], because the edit may still take effect later.
    pub async fn apply(&self, edit: &ApplyRequest) -> Result<ApplyReply, AdminError> {
        let lost_answer = match self.request_json(Method::PUT, &["v1", "tables"], Some(edit)).await
        {
            Err(error @ AdminError::LostAnswer { .. }) => error,
            answer => return answer,
        };
        let Ok(view) = self.tables().await else {
            return Err(lost_answer);
        };
        match view.edits.iter().find(|record| record.edit_id == edit.edit_id) {
            Some(record) => Ok(ApplyReply::Accepted { version: record.version }),
            None => Err(lost_answer),
        }
    }

    /// Returns the decisions that the processes recorded about the request, job or member `id`.
    pub async fn explain(&self, id: &str) -> Result<Explanation, AdminError> {
        self.request_json(Method::GET, &["v1", "explain", id], None::<&()>).await
    }

    /// Submits a job to the queue.
    pub async fn submit(&self, job: &SubmitRequest) -> Result<SubmitReply, AdminError> {
        self.request_json(Method::POST, &["v1", "jobs"], Some(job)).await
    }

    /// Returns job `id`.
    pub async fn job(&self, id: &str) -> Result<JobView, AdminError> {
        self.request_json(Method::GET, &["v1", "jobs", id], None::<&()>).await
    }

    /// Cancels job `id`.
    pub async fn cancel(&self, id: &str) -> Result<JobView, AdminError> {
        self.request_json(Method::DELETE, &["v1", "jobs", id], None::<&()>).await
    }

    /// Drains the upstream or worker whose agent is named `member`: it receives no new work.
    pub async fn drain(&self, member: &str) -> Result<DrainReply, AdminError> {
        self.request_json(Method::POST, &["v1", "drain", member], None::<&()>).await
    }

    /// Reports whether the entry's process is running and answers.
    pub async fn live(&self) -> Result<bool, AdminError> {
        self.probe("livez").await
    }

    /// Reports whether the entry is ready to accept requests.
    pub async fn ready(&self) -> Result<bool, AdminError> {
        self.probe("readyz").await
    }

    /// Reports whether `path` is answered with a success status.
    async fn probe(&self, path: &str) -> Result<bool, AdminError> {
        let response = self.send(Method::GET, &[path], None::<&()>).await?;
        Ok(response.status().is_success())
    }

    /// Sends one request and decodes its JSON answer.
    async fn request_json<B, A>(
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
        let response = self.send(method.clone(), path, body).await?;
        let status = response.status();
        let bytes = response
            .bytes()
            .await
            .map_err(|error| self.transport_error(&method, &request, &error))?;
        // A conflict (409) and a rejection (422) have a body of the same type as a success.
        let is_refusal = matches!(status, StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY);
        if (status.is_success() || is_refusal)
            && let Ok(answer) = serde_json::from_slice(&bytes)
        {
            return Ok(answer);
        }
        let detail = match serde_json::from_slice::<ErrorReply>(&bytes) {
            Ok(reply) => reply.error,
            Err(_) => format!("{} bytes that are not a document of the admin API", bytes.len()),
        };
        if status == StatusCode::NOT_FOUND {
            return Err(AdminError::NotFound { detail });
        }
        let address = self.base.to_string();
        // After a gateway's error, or a success whose body cannot be decoded, it is unknown whether
        // the write took effect.
        let is_ambiguous = status.is_success() || status.is_server_error();
        if is_ambiguous && method != Method::GET && status != StatusCode::SERVICE_UNAVAILABLE {
            return Err(AdminError::LostAnswer { address, request, detail });
        }
        Err(AdminError::ErrorStatus { address, request, status: status.as_u16(), detail })
    }

    /// Sends one request and returns the response, whatever its status.
    async fn send<B: Serialize + Sync + ?Sized>(
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
        builder.send().await.map_err(|error| self.transport_error(&method, &request, &error))
    }

    /// Returns the error for a request that got no complete response. Only a write that may have
    /// been sent is a lost answer.
    fn transport_error(
        &self,
        method: &Method,
        request: &str,
        error: &reqwest::Error,
    ) -> AdminError {
        let address = self.base.to_string();
        let detail = describe_causes(error);
        if *method == Method::GET || error.is_connect() || error.is_builder() {
            return AdminError::Unreachable { address, detail };
        }
        AdminError::LostAnswer { address, request: request.to_owned(), detail }
    }
}

/// Describes an error with its causes, because the text of the error itself names only the URL.
fn describe_causes(error: &reqwest::Error) -> String {
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
