use std::time::Duration;

use poem::Request;
use poem::http::{HeaderMap, StatusCode};
use skylarkpulley_connections::{BodyError, read_body};
use skylarkpulley_proto::v1;
use skylarkpulley_tables::{PoolKind, Route, Tables};
use skylarkpulley_types::Digest;

use crate::caller_reply::CallerReply;

/// Header that names the team of a request.
pub const TEAM_HEADER: &str = "skylarkpulley-team";

/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with a deadline in milliseconds; it can only shorten the route's.
pub const DEADLINE_HEADER: &str = "skylarkpulley-deadline-ms";

/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;

/// Longest path including the query, in bytes.
const PATH_LIMIT: usize = 4096;

/// Largest total size of all header names and values, in bytes.
const HEADERS_LIMIT: usize = 16 * 1024;

/// A caller's request, checked against the tables and read completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method for the upstream.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers to forward to the upstream.
    pub headers: Vec<v1::Header>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Route that matches the path.
    pub route: Route,
    /// Team to which the request is charged.
    pub team: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Time from acceptance within which the request must end.
    pub deadline: Duration,
    /// Whether the route's pool consists of upstreams or workers.
    pub kind: PoolKind,
}

impl CallerRequest {
    /// Checks `request` against `tables` and reads its body within `timeout`.
    ///
    /// # Errors
    /// The reply to a refused request, which has not run.
    pub async fn read(
        mut request: Request,
        tables: &Tables,
        timeout: Duration,
    ) -> Result<Self, CallerReply> {
        let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if path.len() > PATH_LIMIT {
            return Err(CallerReply::not_run(
                StatusCode::URI_TOO_LONG,
                "the path with its query is longer than the limit",
            ));
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
        let headers = forwarded_headers(request.headers());
        let method = request.method().to_string();
        let body = read_whole_body(&mut request, route.body_limit, timeout).await?;
        let (route, kind) = (route.clone(), pool.kind);
        Ok(Self { method, path, headers, body, route, team, key, deadline, kind })
    }

    /// Returns a digest of method, path and body. It reveals an idempotency key that is reused for
    /// a different request.
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
        return Err(CallerReply::not_run(
            status,
            "names and values of the headers are longer than the limit",
        ));
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
        return refuse("the request has more than one Idempotency-Key header");
    }
    let valid =
        (1..=KEY_LIMIT).contains(&value.len()) && value.as_bytes().iter().all(u8::is_ascii_graphic);
    match value.to_str() {
        Ok(text) if valid => Ok(Some(text.to_owned())),
        _ => refuse("the Idempotency-Key must consist of 1 to 128 visible ASCII characters"),
    }
}

fn read_deadline(headers: &HeaderMap, route: &Route) -> Result<Duration, CallerReply> {
    let Some(text) = header(headers, DEADLINE_HEADER) else { return Ok(route.deadline) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms).min(route.deadline)),
        _ => {
            let text = format!("Skylarkpulley-Deadline-Ms \"{text}\" is not a positive integer");
            Err(CallerReply::not_run(StatusCode::BAD_REQUEST, &text))
        }
    }
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<v1::Header> {
    headers
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(v1::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

async fn read_whole_body(
    request: &mut Request,
    limit: u64,
    timeout: Duration,
) -> Result<Vec<u8>, CallerReply> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match tokio::time::timeout(timeout, read_body(request, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes.into()),
        Ok(Err(BodyError::TooLarge)) => {
            let text = format!("the body exceeds {limit} bytes");
            Err(CallerReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &text))
        }
        Ok(Err(BodyError::Incomplete)) => {
            Err(CallerReply::not_run(StatusCode::BAD_REQUEST, "reading the request body failed"))
        }
        Ok(Err(BodyError::Busy)) => {
            let text = "other requests hold the memory for bodies";
            Err(CallerReply::unread(request, text))
        }
        Err(_) => Err(CallerReply::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "the request body did not arrive within the read timeout",
        )),
    }
}
