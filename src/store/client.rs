//! Client of the platform's store.

use super::{CommitReply, Row, Transaction};
use crate::{
    http_client::{HttpClient, HttpError},
    world::Vm,
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Why a request to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store did not respond, or responded with an error status.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The response or the content of a row or object could not be parsed.
    #[error("the store's response is malformed: {0}")]
    Malformed(String),
}

impl From<HttpError> for StoreError {
    fn from(e: HttpError) -> Self {
        Self::Unavailable(e.to_string())
    }
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; name and new version of every written row.
    Committed(Vec<(Arc<str>, u64)>),
    /// It did not take effect; these rows do not have the required versions.
    Conflict(Vec<Row>),
    /// It did not take effect: the store was not reached or refused it.
    Unavailable,
    /// In doubt: it may have taken effect, or may still do so later. Callers resolve it by reading
    /// back its operation id.
    Unknown,
}

/// Client of the platform's table service, object store and VM list.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client of the platform at `addr` that waits at most `timeout` for each response.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
            timeout,
        }
    }

    /// Reads one row; `None` if it does not exist.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not return a valid response.
    pub async fn read_row(&self, name: &str) -> Result<Option<Row>, StoreError> {
        match self.get(&format!("/rows/{name}")).await? {
            Some(body) => parse(&body).map(Some),
            None => Ok(None),
        }
    }

    /// Reads all rows whose names start with `prefix`, in order of name.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not return a valid response.
    pub async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        match self.get(&format!("/rows?prefix={prefix}")).await? {
            Some(body) => parse(&body),
            None => Ok(Vec::new()),
        }
    }

    /// Reads the object with this hash; `None` if it does not exist.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not return a valid response.
    pub async fn read_object(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        self.get(&format!("/objects/{hash}")).await
    }

    /// Stores `body` under `hash`. Idempotent.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not confirm the write.
    pub async fn write_object(&self, hash: &str, body: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{hash}");
        let (status, _) = self
            .http
            .send(Method::PUT, self.addr, &path, body, self.timeout)
            .await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(StoreError::Unavailable(status.to_string()))
        }
    }

    /// Reads the platform's list of VMs, which may be out of date.
    ///
    /// # Errors
    /// [`StoreError`] if the platform did not return a valid response.
    pub async fn read_vms(&self) -> Result<Vec<Vm>, StoreError> {
        match self.get("/vms").await? {
            Some(body) => parse(&body),
            None => Ok(Vec::new()),
        }
    }

    /// Sends a transaction once. Retrying is up to the caller.
    pub async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let body = serde_json::to_vec(transaction).expect("a transaction is valid JSON");
        let response = self
            .http
            .send(Method::POST, self.addr, "/transactions", body, self.timeout)
            .await;
        match response {
            Ok((StatusCode::SERVICE_UNAVAILABLE, _))
            | Err(HttpError::Refused | HttpError::Connect(_)) => CommitOutcome::Unavailable,
            Ok((_, body)) => match parse(&body) {
                Ok(CommitReply::Committed(versions)) => CommitOutcome::Committed(versions),
                Ok(CommitReply::Conflict(rows)) => CommitOutcome::Conflict(rows),
                Err(_) => CommitOutcome::Unknown,
            },
            Err(_) => CommitOutcome::Unknown,
        }
    }

    async fn get(&self, path: &str) -> Result<Option<Bytes>, StoreError> {
        let (status, body) = self
            .http
            .send(Method::GET, self.addr, path, Bytes::new(), self.timeout)
            .await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(StoreError::Unavailable(other.to_string())),
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|e| StoreError::Malformed(e.to_string()))
}
