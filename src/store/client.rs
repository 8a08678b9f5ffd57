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

/// Why a read of the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store did not answer, or answered that it is unavailable.
    #[error("the store is unavailable: {0}")]
    Unavailable(String),
    /// The answer could not be understood.
    #[error("the store's answer is malformed: {0}")]
    Malformed(String),
}

impl From<HttpError> for StoreError {
    fn from(e: HttpError) -> Self {
        Self::Unavailable(e.to_string())
    }
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect; the new version of every written row.
    Committed(Vec<(Arc<str>, u64)>),
    /// It did not take effect because of these rows.
    Conflict(Vec<Row>),
    /// It did not take effect: the store was not reached or refused it.
    Unavailable,
    /// It may have taken effect, now or later. Settle it by reading back its operation id.
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
    /// Creates a client of the platform at `addr` that waits `timeout` for each answer.
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
    /// [`StoreError`] if the store gave no usable answer.
    pub async fn read_row(&self, name: &str) -> Result<Option<Row>, StoreError> {
        match self.get(&format!("/rows/{name}")).await? {
            Some(body) => parse(&body).map(Some),
            None => Ok(None),
        }
    }

    /// Reads all rows whose names start with `prefix`, in order of name.
    ///
    /// # Errors
    /// [`StoreError`] if the store gave no usable answer.
    pub async fn read_rows(&self, prefix: &str) -> Result<Vec<Row>, StoreError> {
        match self.get(&format!("/rows?prefix={prefix}")).await? {
            Some(body) => parse(&body),
            None => Ok(Vec::new()),
        }
    }

    /// Reads the object with this hash; `None` if it does not exist.
    ///
    /// # Errors
    /// [`StoreError`] if the store gave no usable answer.
    pub async fn read_object(&self, hash: &str) -> Result<Option<Bytes>, StoreError> {
        self.get(&format!("/objects/{hash}")).await
    }

    /// Keeps `body` under `hash`. Repeating it is harmless.
    ///
    /// # Errors
    /// [`StoreError`] if the store did not confirm it.
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

    /// Reads the platform's lagging list of VMs.
    ///
    /// # Errors
    /// [`StoreError`] if the platform gave no usable answer.
    pub async fn read_vms(&self) -> Result<Vec<Vm>, StoreError> {
        match self.get("/vms").await? {
            Some(body) => parse(&body),
            None => Ok(Vec::new()),
        }
    }

    /// Commits a transaction.
    pub async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let body = serde_json::to_vec(transaction).expect("a transaction is valid JSON");
        let answer = self
            .http
            .send(Method::POST, self.addr, "/transactions", body, self.timeout)
            .await;
        match answer {
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
