//! HTTP client for the operator ports of daemons.

use super::report::ErrorReport;
use crate::{
    config::{ChangeOutcome, ChangeRequest},
    http_client::{HttpClient, HttpError},
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Time limit for a report, per daemon.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for a change; the daemon resolves an in-doubt write within 5 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// Why a request gave no report or outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No daemon could be reached; nothing was changed.
    #[error("no daemon could be reached: {0}")]
    Unreachable(String),
    /// A daemon rejected the request with this status and reason.
    #[error("{1}")]
    Rejected(StatusCode, String),
    /// A daemon may have received a change, but its response was lost or unreadable.
    #[error("the outcome of the change sent to {0} is unknown: {1}")]
    Unknown(SocketAddr, HttpError),
}

/// A client that tries several daemons in turn.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: HttpClient,
    servers: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client of the daemons with these operator addresses.
    pub fn new(servers: Vec<SocketAddr>) -> Self {
        Self {
            http: HttpClient::new(),
            servers,
        }
    }

    /// A client of the daemon at `server` alone.
    pub fn at(&self, server: SocketAddr) -> Self {
        Self {
            http: self.http.clone(),
            servers: vec![server],
        }
    }

    /// The daemons.
    pub fn servers(&self) -> &[SocketAddr] {
        &self.servers
    }

    /// Gets a report from the first daemon that returns one.
    ///
    /// # Errors
    /// [`ClientError`] if no daemon does, or one rejects the request or sends a malformed report.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let mut failures = Vec::new();
        for &server in &self.servers {
            match self
                .http
                .send(Method::GET, server, path, Bytes::new(), READ_TIMEOUT)
                .await
            {
                Ok((StatusCode::OK, body)) => {
                    return serde_json::from_slice(&body).map_err(|e| {
                        ClientError::Unreachable(format!("{server} sent a malformed response: {e}"))
                    });
                }
                Ok((status, body)) if status.is_client_error() => {
                    return Err(ClientError::Rejected(status, reason_of(status, &body)));
                }
                Ok((status, body)) => {
                    failures.push(format!("{server}: {}", reason_of(status, &body)));
                }
                Err(e) => failures.push(format!("{server}: {e}")),
            }
        }
        Err(ClientError::Unreachable(failures.join("; ")))
    }

    /// Sends a change to the first daemon that accepts a connection. It is never retried once a
    /// daemon may have received it.
    ///
    /// # Errors
    /// [`ClientError`] if no daemon was reached, the request was rejected or its outcome is unknown.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ClientError> {
        let body = Bytes::from(serde_json::to_vec(request).expect("a request is valid JSON"));
        let mut failures = Vec::new();
        for &server in &self.servers {
            let response = self
                .http
                .send(
                    Method::POST,
                    server,
                    "/config/changes",
                    body.clone(),
                    CHANGE_TIMEOUT,
                )
                .await;
            match response {
                Ok((status, body)) => {
                    return serde_json::from_slice(&body).map_err(|_| {
                        let reason = reason_of(status, &body);
                        if status.is_client_error() {
                            ClientError::Rejected(status, reason)
                        } else {
                            ClientError::Unknown(server, HttpError::Incomplete(reason))
                        }
                    });
                }
                Err(e @ (HttpError::Refused | HttpError::Connect(_))) => {
                    failures.push(format!("{server}: {e}"));
                }
                Err(e) => return Err(ClientError::Unknown(server, e)),
            }
        }
        Err(ClientError::Unreachable(failures.join("; ")))
    }
}

fn reason_of(status: StatusCode, body: &[u8]) -> String {
    serde_json::from_slice::<ErrorReport>(body)
        .map_or_else(|_| status.to_string(), |report| report.error)
}
