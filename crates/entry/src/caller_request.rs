use std::time::Duration;

use poem::http::{HeaderMap, StatusCode};
use poem::{Body, Request};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::{PoolKind, Route, Tables};
use skylarkpulley_types::Digest;

use crate::caller_reply::CallerReply;

/// Header that names the team of a request.
pub const TEAM_HEADER: &str = "skylarkpulley-team";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with a shorter deadline than the route's, in milliseconds.
pub const DEADLINE_HEADER: &str = "skylarkpulley-deadline-ms";

/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;

/// Longest path with query, in bytes.
const PATH_LIMIT: usize = 4096;

/// Largest sum of header names and values, in bytes.
const HEADERS_LIMIT: usize = 16 * 1024;

/// A caller's request, checked against the tables and read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method, path, headers and body for the upstream.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<v1::Header>,
    /// The whole body.
    pub body: Vec<u8>,
    /// Route that the request belongs to.
    pub route: Route,
    /// Team that the request is charged to.
    pub team: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time for the whole request.
    pub deadline: Duration,
    /// What the members of the route's pool are.
    pub kind: PoolKind,
}

impl CallerRequest {
    /// Checks `request` against `tables` and reads its body within `timeout`.
    ///
    /// # Errors
    /// The reply for a request that is refused; nothing has run.
    pub async fn read(
        mut request: Request,
        tables: &Tables,
        timeout: Duration,
    ) -> Result<Self, CallerReply> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if path.len() > PATH_LIMIT {
            return Err(CallerReply::not_run(StatusCode::URI_TOO_LONG, "the path is too long"));
        }
        let route = tables.route_for(request.uri().path()).ok_or_else(|| {
            CallerReply::not_run(StatusCode::NOT_FOUND, "no route matches the path")
        })?;
        let pool = tables.pool(&route.pool).ok_or_else(|| {
            let text = format!("the pool \"{}\" of the route does not exist", route.pool);
            CallerReply::not_run(StatusCode::SERVICE_UNAVAILABLE, &text)
        })?;
        check_size(request.headers())?;
        let team = header(request.headers(), TEAM_HEADER).ok_or_else(|| {
            CallerReply::not_run(
                StatusCode::BAD_REQUEST,
                "the header Skylarkpulley-Team is missing",
            )
        })?;
        if pool.team(&team).is_none() {
            let text = format!("the team \"{team}\" does not use the pool \"{}\"", pool.name);
            return Err(CallerReply::not_run(StatusCode::FORBIDDEN, &text));
        }
        let key = read_key(request.headers(), route)?;
        let deadline = read_deadline(request.headers(), route)?;
        let headers = passed_headers(request.headers());
        let method = request.method().to_string();
        let body = read_body(request.take_body(), route.body_limit, timeout).await?;
        let (route, kind) = (route.clone(), pool.kind);
        Ok(Self { method, path, headers, body, route, team, key, deadline, kind })
    }

    /// Identifies the content, so that a key that is used again for another request is noticed.
    pub fn digest(&self) -> Digest {
        Digest::of(&[self.method.as_bytes(), self.path.as_bytes(), &self.body])
    }
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn check_size(headers: &HeaderMap) -> Result<(), CallerReply> {
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size > HEADERS_LIMIT {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(CallerReply::not_run(status, "the headers are too large"));
    }
    Ok(())
}

fn read_key(headers: &HeaderMap, route: &Route) -> Result<Option<String>, CallerReply> {
    let refuse = |text| Err(CallerReply::not_run(StatusCode::BAD_REQUEST, text));
    let Some(value) = headers.get(KEY_HEADER) else {
        if route.idempotent {
            return Ok(None);
        }
        return refuse("the route is not idempotent and needs the header Idempotency-Key");
    };
    if headers.get_all(KEY_HEADER).iter().count() > 1 {
        return refuse("more than one Idempotency-Key");
    }
    let valid =
        (1..=KEY_LIMIT).contains(&value.len()) && value.as_bytes().iter().all(u8::is_ascii_graphic);
    match value.to_str() {
        Ok(text) if valid => Ok(Some(text.to_owned())),
        _ => refuse("an Idempotency-Key has 1 to 128 visible ASCII characters"),
    }
}

fn read_deadline(headers: &HeaderMap, route: &Route) -> Result<Duration, CallerReply> {
    let Some(text) = header(headers, DEADLINE_HEADER) else { return Ok(route.deadline) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(route.deadline)),
        _ => {
            let text = format!("Skylarkpulley-Deadline-Ms \"{text}\" is not a positive number");
            Err(CallerReply::not_run(StatusCode::BAD_REQUEST, &text))
        }
    }
}

fn passed_headers(headers: &HeaderMap) -> Vec<v1::Header> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(v1::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

async fn read_body(body: Body, limit: u64, timeout: Duration) -> Result<Vec<u8>, CallerReply> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match tokio::time::timeout(timeout, body.into_bytes_limit(limit)).await {
        Ok(Ok(bytes)) => Ok(bytes.into()),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            let text = format!("the body exceeds {limit} bytes");
            Err(CallerReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &text))
        }
        Ok(Err(_)) => {
            Err(CallerReply::not_run(StatusCode::BAD_REQUEST, "the body could not be read"))
        }
        Err(_) => {
            Err(CallerReply::not_run(StatusCode::REQUEST_TIMEOUT, "the body came too slowly"))
        }
    }
}
