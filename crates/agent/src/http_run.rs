use std::time::Duration;

use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use reqwest::{Client, Method, Response};
use skylarkpulley_proto::{MAX_MESSAGE_BYTES, v1};

use crate::attempts::{not_run, unknown};

/// Longest time that the slot of an unanswered run stays taken.
const RUN_LIMIT: Duration = Duration::from_secs(60);

/// Largest answer that is passed on; leaves room for headers within the message limit.
const ANSWER_LIMIT: usize = MAX_MESSAGE_BYTES - 64 * 1024;

/// Headers that describe one connection and are not passed on (RFC 9110, section 7.6.1).
const HOP_HEADERS: [&str; 9] = [
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

/// Runs requests on the upstream over HTTP, each at most once and on a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpRun {
    client: Client,
}

impl HttpRun {
    /// Returns a client that never repeats a request. Idle connections are not reused: a client
    /// library may send a request again when a reused connection turns out to be closed.
    pub fn new() -> Self {
        let client = Client::builder()
            .connect_timeout(Duration::from_secs(1))
            .http1_only()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .timeout(RUN_LIMIT)
            .build()
            .expect("a client without TLS needs nothing from the system");
        Self { client }
    }

    /// Sends `request` to the upstream at `address` and returns its result.
    pub async fn run(&self, address: &str, request: v1::RunRequest) -> v1::RunReply {
        let attempt = request.attempt.clone();
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return not_run(&attempt, v1::Refusal::Invalid, "the method is not valid");
        };
        let call = self
            .client
            .request(method, format!("http://{address}{}", request.path))
            .headers(to_header_map(&request.headers))
            .body(request.body);
        match call.send().await {
            Ok(response) => Self::read(&attempt, response).await,
            Err(error) if error.is_connect() => {
                let text = "no connection to the upstream could be opened";
                not_run(&attempt, v1::Refusal::Unreachable, text)
            }
            Err(error) if error.is_builder() => {
                not_run(&attempt, v1::Refusal::Invalid, "the request is not valid HTTP")
            }
            Err(error) => unknown(&attempt, &format!("the upstream gave no answer: {error}")),
        }
    }

    async fn read(attempt: &str, mut response: Response) -> v1::RunReply {
        // Without a length or chunks the end of the body is the end of the connection, and a
        // truncated answer could not be told from a whole one.
        let framed = response.headers().contains_key(CONTENT_LENGTH)
            || response.headers().contains_key(TRANSFER_ENCODING)
            || matches!(response.status().as_u16(), 204 | 304);
        if !framed {
            return unknown(attempt, "the answer has no length, so it may be truncated");
        }
        let status = u32::from(response.status().as_u16());
        let headers = from_header_map(response.headers());
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() > ANSWER_LIMIT => {
                    return unknown(attempt, "the answer exceeds the size limit");
                }
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => break,
                Err(error) => {
                    return unknown(attempt, &format!("the answer was cut off: {error}"));
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

impl Default for HttpRun {
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
            && !HOP_HEADERS.contains(&name.as_str())
        {
            map.append(name, value);
        }
    }
    map
}

fn from_header_map(map: &HeaderMap) -> Vec<v1::Header> {
    map.iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?.to_owned();
            Some(v1::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}
