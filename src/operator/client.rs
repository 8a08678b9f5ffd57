//! Talks to the operator ports of daemons.

use super::report::ErrorReport;
use crate::{
    config::{ChangeOutcome, ChangeRequest},
    http_client::{HttpClient, HttpError},
};
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, time::Duration};

/// Time for a report.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a change; the daemon settles a lost answer within 5 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// Why there is no report or outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// No daemon could be reached; nothing was changed.
    #[error("no daemon could be reached: {0}")]
    Unreachable(String),
    /// A daemon answered that it cannot give what was asked for.
    #[error("{1}")]
    Rejected(StatusCode, String),
    /// A daemon may have received a change, but its answer was lost.
    #[error("the change was sent to {0}, but there is no answer: {1}")]
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

    /// Gets a report from the first daemon that gives it.
    ///
    /// # Errors
    /// [`ClientError`] if no daemon does.
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
                        ClientError::Unreachable(format!("{server} gave a malformed answer: {e}"))
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

    /// Sends a change to the first daemon that can be connected to. It is sent only once.
    ///
    /// # Errors
    /// [`ClientError`] if no daemon was reached or the outcome was lost.
    pub async fn change(&self, request: &ChangeRequest) -> Result<ChangeOutcome, ClientError> {
        let body = Bytes::from(serde_json::to_vec(request).expect("a request is valid JSON"));
        let mut failures = Vec::new();
        for &server in &self.servers {
            let answer = self
                .http
                .send(
                    Method::POST,
                    server,
                    "/config/changes",
                    body.clone(),
                    CHANGE_TIMEOUT,
                )
                .await;
            match answer {
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

/// Encodes `text` for a path or a query.
pub fn escape(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            byte => format!("%{byte:02X}"),
        })
        .collect()
}
