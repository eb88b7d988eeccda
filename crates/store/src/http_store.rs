use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use reqwest::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, RequestBuilder, Response, StatusCode, Url};

use crate::store::check_key;
use crate::wire::{ListedRow, Mismatch, Written};
use crate::{Row, Store, StoreError, WriteClass};

/// Time-outs of the HTTP client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpSettings {
    /// Time-out for opening a connection.
    pub connect_timeout: Duration,
    /// Time-out for a whole call. It exceeds the 10 s that a slow store takes to response, so that a
    /// slow response does not become a lost one.
    pub call_timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_secs(2), call_timeout: Duration::from_secs(15) }
    }
}

/// HTTP client of the table service. Every call opens a new connection, because the client library
/// sends a call again when the service has just closed a pooled connection.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base_url: Url,
    client: Client,
    settings: HttpSettings,
}

impl HttpStore {
    /// Returns a client of the service at the URL `base`, such as `http://127.0.0.1:4000`.
    pub fn new(base: &str, settings: HttpSettings) -> Result<Self, StoreError> {
        let address = base.to_owned();
        let invalid = |detail: String| StoreError::InvalidAddress { address, detail };
        let url = match Url::parse(base) {
            Ok(url) if url.scheme() == "http" => url,
            Ok(_) => return Err(invalid("the URL scheme must be http".to_owned())),
            Err(error) => return Err(invalid(error.to_string())),
        };
        let client = Client::builder()
            .connect_timeout(settings.connect_timeout)
            .http1_only()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(settings.call_timeout)
            .build()
            .map_err(|error| invalid(error.to_string()))?;
        Ok(Self { base_url: url, client, settings })
    }

    fn row_url(&self, key: &str) -> Result<Url, StoreError> {
        check_key(key)?;
        let mut url = self.base_url.clone();
        url.set_path(&format!("/rows/{key}"));
        Ok(url)
    }

    async fn read(&self, key: &str, url: Url) -> Result<(Response, Bytes), StoreError> {
        let failed = |error: reqwest::Error| self.read_error(key, &error);
        let mut response = self.client.get(url).send().await.map_err(failed)?;
        // `Response::bytes` would consume the response, whose headers are still needed.
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(failed)? {
            body.extend_from_slice(&chunk);
        }
        Ok((response, body.into()))
    }

    async fn write(
        &self,
        key: &str,
        expected: u64,
        request: RequestBuilder,
    ) -> Result<Bytes, StoreError> {
        let lost =
            |detail: String| StoreError::LostAnswer { key: key.to_owned(), expected, detail };
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Err(unavailable(key, error_chain(&error)));
            }
            Err(error) => return Err(lost(error_chain(&error))),
        };
        let status = response.status();
        let body = response.bytes().await.map_err(|error| lost(error_chain(&error)))?;
        match status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(body),
            StatusCode::PRECONDITION_FAILED => {
                let mismatch: Mismatch = parse(key, &body)?;
                let key = key.to_owned();
                Err(StoreError::Conflict { key, expected, found: mismatch.found })
            }
            // By protocol these statuses mean that the write had no effect. After any other error
            // status the write may have taken effect.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(unavailable(key, format!("HTTP status {status}")))
            }
            _ => Err(lost(format!("HTTP status {status}"))),
        }
    }

    fn read_error(&self, key: &str, error: &reqwest::Error) -> StoreError {
        if error.is_timeout() && !error.is_connect() {
            return StoreError::TimedOut { key: key.to_owned(), limit: self.settings.call_timeout };
        }
        unavailable(key, error_chain(error))
    }
}

fn unavailable(key: &str, detail: String) -> StoreError {
    StoreError::Unavailable { key: key.to_owned(), detail }
}

fn error_chain(error: &reqwest::Error) -> String {
    use std::error::Error as _;

    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

fn malformed(key: &str, detail: impl ToString) -> StoreError {
    StoreError::Malformed { key: key.to_owned(), detail: detail.to_string() }
}

fn parse<T: serde::de::DeserializeOwned>(key: &str, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| malformed(key, error))
}

/// Adds the header that makes a write conditional on version `expected`.
fn conditional(request: RequestBuilder, expected: u64) -> RequestBuilder {
    match expected {
        0 => request.header(IF_NONE_MATCH, "*"),
        _ => request.header(IF_MATCH, format!("\"{expected}\"")),
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let (response, value) = self.read(key, self.row_url(key)?).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(unavailable(key, format!("HTTP status {status}"))),
        }
        let etag = response.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
        let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
        let version = version
            .ok_or_else(|| malformed(key, "the ETag header is missing or is not a version"))?;
        Ok(Some(Row::new(version, value)))
    }

    async fn put(
        &self,
        key: &str,
        expected: u64,
        value: Bytes,
        _class: WriteClass,
    ) -> Result<u64, StoreError> {
        let request = self.client.put(self.row_url(key)?).body(value);
        let body = self.write(key, expected, conditional(request, expected)).await?;
        // The status shows that the write took effect, but its version is unknown and must be read
        // back.
        let written: Written = serde_json::from_slice(&body).map_err(|error| {
            StoreError::LostAnswer { key: key.to_owned(), expected, detail: error.to_string() }
        })?;
        Ok(written.version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError> {
        let mut url = self.base_url.clone();
        url.set_path("/rows");
        url.query_pairs_mut().append_pair("prefix", prefix);
        let (response, body) = self.read(prefix, url).await?;
        if response.status() != StatusCode::OK {
            return Err(unavailable(prefix, format!("HTTP status {}", response.status())));
        }
        let rows: Vec<ListedRow> = parse(prefix, &body)?;
        let rows = rows.into_iter().map(|row| {
            row.decode().ok_or_else(|| malformed(prefix, "the value of a row is not base64"))
        });
        rows.collect()
    }

    async fn delete(&self, key: &str, expected: u64, _class: WriteClass) -> Result<(), StoreError> {
        let request = self.client.delete(self.row_url(key)?);
        let request = request.header(IF_MATCH, format!("\"{expected}\""));
        self.write(key, expected, request).await.map(|_| ())
    }
}
