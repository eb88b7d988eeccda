use std::time::Duration;

use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use reqwest::{Client, Method, Response};
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, v1};

use crate::attempts::{not_run, unknown};

/// Longest time for which an attempt that the upstream does not answer occupies its slot.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);

/// Size of the largest body that is passed on. It leaves 64 KiB of the message limit for headers.
const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - 64 * 1024;

/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Sends attempts to the upstream over HTTP, each at most once and on a connection of its own.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client,
}

impl UpstreamClient {
    /// Returns a client that never repeats a request. It does not reuse idle connections, because
    /// an HTTP client library may send a request again if a reused connection turns out to be
    /// closed.
    pub fn new() -> Self {
        let client = Client::builder()
            .connect_timeout(Duration::from_secs(1))
            .http1_only()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .timeout(ATTEMPT_TIMEOUT)
            .build()
            .expect("a client without TLS depends on no system resource that can be missing");
        Self { client }
    }

    /// Sends `request` to the upstream at `address` and returns the result of the attempt.
    pub async fn run(&self, address: &str, request: v1::RunRequest) -> v1::RunReply {
        let attempt = request.attempt.clone();
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return not_run(
                &attempt,
                v1::Refusal::Invalid,
                "the HTTP method of the request is not valid",
            );
        };
        let builder = self
            .client
            .request(method, format!("http://{address}{}", request.path))
            .headers(to_header_map(&request.headers))
            .body(request.body);
        match builder.send().await {
            Ok(response) => Self::read_response(&attempt, response).await,
            Err(error) if error.is_connect() => {
                let text = "the agent could not connect to the upstream";
                not_run(&attempt, v1::Refusal::Unreachable, text)
            }
            Err(error) if error.is_builder() => {
                not_run(&attempt, v1::Refusal::Invalid, "the request is not valid HTTP")
            }
            Err(error) => unknown(&attempt, &format!("the upstream sent no answer: {error}")),
        }
    }

    async fn read_response(attempt: &str, mut response: Response) -> v1::RunReply {
        // Without a Content-Length or Transfer-Encoding the body ends where the connection ends,
        // and a truncated answer cannot be distinguished from a complete one.
        let is_framed = response.headers().contains_key(CONTENT_LENGTH)
            || response.headers().contains_key(TRANSFER_ENCODING)
            || matches!(response.status().as_u16(), 204 | 304);
        if !is_framed {
            return unknown(attempt, "the answer states no length, so it may be truncated");
        }
        let status = u32::from(response.status().as_u16());
        let headers = from_header_map(response.headers());
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() > MAX_BODY_BYTES => {
                    return unknown(attempt, "the body of the answer exceeds the size limit");
                }
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(error) => {
                    return unknown(
                        attempt,
                        &format!("the connection failed before the end of the answer: {error}"),
                    );
                }
            }
        }
        v1::RunReply {
            attempt: attempt.to_owned(),
            outcome: v1::Outcome::Answered.into(),
            reason: String::new(),
            response: Some(v1::Response { status, headers, body }),
            refusal: v1::Refusal::Unspecified.into(),
        }
    }
}

impl Default for UpstreamClient {
    fn default() -> Self {
        Self::new()
    }
}

fn to_header_map(headers: &[v1::Header]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_str(&header.value);
        if let (Ok(name), Ok(value)) = (name, value)
            && !HOP_BY_HOP_HEADERS.contains(&name.as_str())
        {
            map.append(name, value);
        }
    }
    map
}

fn from_header_map(map: &HeaderMap) -> Vec<v1::Header> {
    map.iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(v1::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}
