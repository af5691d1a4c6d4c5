//! The HTTP client of the object API.

use std::sync::Arc;
use std::time::Duration;

use ntex::client::error::ClientError;
use ntex::client::{Client as HttpClient, ClientResponse};
use ntex::http::StatusCode;
use ntex::time::Millis;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::wire::{Changes, Hosts, Object, PutReply, PutRequest};

/// The maximum size of a response in bytes: a full watch of large objects.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The reason why a call failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The object has another version; holds the current object, `None` if it doesn't exist.
    #[error("the object has another version")]
    Conflict(Option<Object>),
    /// No valid response arrived; a write may have taken effect.
    #[error("the platform's store is unavailable: {0}")]
    Unavailable(String),
}

impl From<ClientError> for StoreError {
    fn from(err: ClientError) -> Self {
        Self::Unavailable(err.to_string())
    }
}

/// A client of the object API, for use on one thread.
#[derive(Debug)]
pub struct StoreClient {
    http: HttpClient,
    base: Arc<str>,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client of the platform at `base`, such as `http://127.0.0.1:8600`.
    pub async fn new(base: &str, timeout: Duration) -> Self {
        let http = HttpClient::new().await;
        Self { http, base: Arc::from(base.trim_end_matches('/')), timeout }
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    fn to_millis(duration: Duration) -> Millis {
        Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, StoreError> {
        let req = self.http.get(self.url(path)).timeout(Self::to_millis(timeout));
        let res = req.send().await?;
        match res.status() {
            StatusCode::OK => Ok(Some(read_body(&res).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(StoreError::Unavailable(status.to_string())),
        }
    }

    /// Reads an object; returns `None` if it doesn't exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if no valid response arrived.
    pub async fn read(&self, key: &str) -> Result<Option<Object>, StoreError> {
        self.get(&format!("/v1/objects/{key}"), self.timeout).await
    }

    /// Writes an object if it has version `expect`, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if the object has another version, and
    /// [`StoreError::Unavailable`] if no valid response arrived, in which case the write may have
    /// taken effect.
    pub async fn write(&self, key: &str, expect: u64, value: Arc<str>) -> Result<u64, StoreError> {
        let req = self.http.put(self.url(&format!("/v1/objects/{key}")));
        let req = req.timeout(Self::to_millis(self.timeout));
        let res = req.send_json(&PutRequest { expect, value }).await?;
        match res.status() {
            StatusCode::OK => Ok(read_body::<PutReply>(&res).await?.version),
            StatusCode::CONFLICT => Err(StoreError::Conflict(read_body(&res).await?)),
            status => Err(StoreError::Unavailable(status.to_string())),
        }
    }

    /// Waits up to `wait` for objects written after `revision`.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if no valid response arrived.
    pub async fn watch(&self, revision: u64, wait: Duration) -> Result<Changes, StoreError> {
        let path = format!("/v1/watch?after={revision}&wait_ms={}", wait.as_millis());
        let changes = self.get(&path, self.timeout + wait).await?;
        changes
            .ok_or_else(|| StoreError::Unavailable("the watch endpoint was not found".to_owned()))
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if no valid response arrived.
    pub async fn hosts(&self) -> Result<Hosts, StoreError> {
        Ok(self.get("/v1/hosts", self.timeout).await?.unwrap_or_default())
    }
}

async fn read_body<T: DeserializeOwned>(res: &ClientResponse) -> Result<T, StoreError> {
    let result = res.body().limit(MAX_BODY_BYTES).await;
    let bytes = result.map_err(|err| StoreError::Unavailable(err.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|err| StoreError::Unavailable(err.to_string()))
}
