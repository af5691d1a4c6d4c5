//! The client of the object API.

use std::sync::Arc;
use std::time::Duration;

use ntex::client::error::ClientError;
use ntex::client::{Client as HttpClient, ClientResponse};
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::wire::{Changes, Hosts, Object, PutReply, PutRequest};

/// The largest answer accepted, in bytes: a full watch of large objects.
const BODY_LIMIT: usize = 64 << 20;

/// Why a call did not succeed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The object has another version; here it is, unless it does not exist.
    #[error("the object has another version")]
    Conflict(Option<Object>),
    /// No proper answer came; a write may have taken effect.
    #[error("the platform's store is unavailable: {0}")]
    Unavailable(String),
}

impl From<ClientError> for StoreError {
    fn from(err: ClientError) -> Self {
        Self::Unavailable(err.to_string())
    }
}

/// A client that belongs to one thread.
#[derive(Debug)]
pub struct Client {
    http: HttpClient,
    base: Arc<str>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the platform at `base`, such as `http://127.0.0.1:8600`.
    pub async fn new(base: &str, timeout: Duration) -> Self {
        let http = HttpClient::new().await;
        Self { http, base: Arc::from(base.trim_end_matches('/')), timeout }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn millis(duration: Duration) -> Millis {
        Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, StoreError> {
        let req = self.http.get(self.url(path)).timeout(Self::millis(timeout));
        let res = req.send().await?;
        match res.status() {
            StatusCode::OK => Ok(Some(body(&res).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(StoreError::Unavailable(status.to_string())),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.get(&format!("/v1/objects/{key}"), self.timeout).await
    }

    /// Writes an object if it has the expected version, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if it has another version, and
    /// [`StoreError::Unavailable`] if no answer came, in which case the write may have taken
    /// effect.
    pub async fn write(&self, key: &str, expect: u64, value: Arc<str>) -> Result<u64, StoreError> {
        let req = self.http.put(self.url(&format!("/v1/objects/{key}")));
        let req = req.timeout(Self::millis(self.timeout));
        let res = req.send_json(&PutRequest { expect, value }).await?;
        match res.status() {
            StatusCode::OK => Ok(body::<PutReply>(&res).await?.version),
            StatusCode::CONFLICT => Err(StoreError::Conflict(body(&res).await?)),
            status => Err(StoreError::Unavailable(status.to_string())),
        }
    }

    /// Waits up to `wait` for objects written after `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn watch(&self, revision: u64, wait: Duration) -> Result<Changes, StoreError> {
        let path = format!("/v1/watch?after={revision}&wait_ms={}", wait.as_millis());
        let changes = self.get(&path, self.timeout + wait).await?;
        changes.ok_or_else(|| StoreError::Unavailable("no watch".to_owned()))
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn hosts(&self) -> Result<Hosts, StoreError> {
        Ok(self.get("/v1/hosts", self.timeout).await?.unwrap_or_default())
    }
}

async fn body<T: DeserializeOwned>(res: &ClientResponse) -> Result<T, StoreError> {
    let text = res.body().limit(BODY_LIMIT).await;
    let bytes = text.map_err(|err| StoreError::Unavailable(err.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|err| StoreError::Unavailable(err.to_string()))
}
