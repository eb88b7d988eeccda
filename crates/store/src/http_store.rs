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
    /// Time to open a connection.
    pub connect_timeout: Duration,
    /// Time for a whole call. Longer than the 10 s that a slow store takes, so that a slow answer
    /// is not turned into a lost one.
    pub call_timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { connect_timeout: Duration::from_secs(2), call_timeout: Duration::from_secs(15) }
    }
}

/// Client of the table service over HTTP. Every call uses a connection of its own: a pooled
/// connection that the service has just closed would make the client library send a call again.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base: Url,
    client: Client,
    settings: HttpSettings,
}

impl HttpStore {
    /// Returns a client of the service at `base`, such as `http://127.0.0.1:4000`.
    pub fn new(base: &str, settings: HttpSettings) -> Result<Self, StoreError> {
        let address = base.to_owned();
        let invalid = |detail: String| StoreError::InvalidAddress { address, detail };
        let url = match Url::parse(base) {
            Ok(url) if url.scheme() == "http" => url,
            Ok(_) => return Err(invalid("not an http URL".to_owned())),
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
        Ok(Self { base: url, client, settings })
    }

    fn row_url(&self, key: &str) -> Result<Url, StoreError> {
        check_key(key)?;
        let mut url = self.base.clone();
        url.set_path(&format!("/rows/{key}"));
        Ok(url)
    }

    async fn read(&self, key: &str, url: Url) -> Result<(Response, Bytes), StoreError> {
        let failed = |error: reqwest::Error| self.read_error(key, &error);
        let mut answer = self.client.get(url).send().await.map_err(failed)?;
        // The body is collected by hand, so that the headers stay at hand.
        let mut body = Vec::new();
        while let Some(chunk) = answer.chunk().await.map_err(failed)? {
            body.extend_from_slice(&chunk);
        }
        Ok((answer, body.into()))
    }

    async fn write(
        &self,
        key: &str,
        expected: u64,
        request: RequestBuilder,
    ) -> Result<Bytes, StoreError> {
        let lost =
            |detail: String| StoreError::LostAnswer { key: key.to_owned(), expected, detail };
        let answer = match request.send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Err(unavailable(key, error_text(&error)));
            }
            Err(error) => return Err(lost(error_text(&error))),
        };
        let status = answer.status();
        let body = answer.bytes().await.map_err(|error| lost(error_text(&error)))?;
        match status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(body),
            StatusCode::PRECONDITION_FAILED => {
                let mismatch: Mismatch = parse(key, &body)?;
                let key = key.to_owned();
                Err(StoreError::Conflict { key, expected, found: mismatch.found })
            }
            // By protocol these have no effect; any other error status may follow an effect.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(unavailable(key, format!("status {status}")))
            }
            _ => Err(lost(format!("status {status}"))),
        }
    }

    fn read_error(&self, key: &str, error: &reqwest::Error) -> StoreError {
        if error.is_timeout() && !error.is_connect() {
            return StoreError::TimedOut { key: key.to_owned(), limit: self.settings.call_timeout };
        }
        unavailable(key, error_text(error))
    }
}

fn unavailable(key: &str, detail: String) -> StoreError {
    StoreError::Unavailable { key: key.to_owned(), detail }
}

fn error_text(error: &reqwest::Error) -> String {
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
        let (answer, value) = self.read(key, self.row_url(key)?).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => return Ok(None),
            status => return Err(unavailable(key, format!("status {status}"))),
        }
        let etag = answer.headers().get(ETAG).and_then(|etag| etag.to_str().ok());
        let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
        let version = version.ok_or_else(|| malformed(key, "no version in the ETag header"))?;
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
        // The status says that the write took effect; its version must be read back.
        let written: Written = serde_json::from_slice(&body).map_err(|error| {
            StoreError::LostAnswer { key: key.to_owned(), expected, detail: error.to_string() }
        })?;
        Ok(written.version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(String, Row)>, StoreError> {
        let mut url = self.base.clone();
        url.set_path("/rows");
        url.query_pairs_mut().append_pair("prefix", prefix);
        let (answer, body) = self.read(prefix, url).await?;
        if answer.status() != StatusCode::OK {
            return Err(unavailable(prefix, format!("status {}", answer.status())));
        }
        let rows: Vec<ListedRow> = parse(prefix, &body)?;
        let rows = rows
            .into_iter()
            .map(|row| row.decode().ok_or_else(|| malformed(prefix, "a value is not base64")));
        rows.collect()
    }

    async fn delete(&self, key: &str, expected: u64, _class: WriteClass) -> Result<(), StoreError> {
        let request = self.client.delete(self.row_url(key)?);
        let request = request.header(IF_MATCH, format!("\"{expected}\""));
        self.write(key, expected, request).await.map(|_| ())
    }
}
