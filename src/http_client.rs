//! Small HTTP client for control traffic: the platform, grants, health and operators.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{error::Error, io, net::SocketAddr, time::Duration};

/// Largest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time to open a connection, where a loss is detected.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which data without an acknowledgement ends a connection.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between probes of a silent connection.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection ends.
pub(crate) const KEEPALIVE_RETRIES: u32 = 2;

/// Why a control request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Nothing listens at the address, so nothing was sent.
    #[error("the connection was refused")]
    Refused,
    /// No connection was made, so nothing was sent.
    #[error("could not connect: {0}")]
    Connect(String),
    /// The request may have been received.
    #[error("no complete answer: {0}")]
    Incomplete(String),
    /// No answer within the time limit; the request may have been received.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

/// A pooled HTTP/1.1 client that never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self::over(connector, MAX_IDLE_CONNECTIONS)
    }

    /// Creates a client that gives connections up on which the other side acknowledges nothing.
    /// Calls that wait long for their answer then end soon after the other side is lost.
    pub fn with_loss_detection() -> Self {
        Self::over(Self::loss_detecting_connector(), MAX_IDLE_CONNECTIONS)
    }

    /// Like [`Self::with_loss_detection`], with a new connection for each call. A second answer that
    /// the other side sends late then cannot be taken for the answer to the next call.
    pub fn without_connection_reuse() -> Self {
        Self::over(Self::loss_detecting_connector(), 0)
    }

    fn loss_detecting_connector() -> HttpConnector {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector
    }

    fn over(connector: HttpConnector, max_idle: usize) -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete answer.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let answer = self.call(method, addr, path, body, timeout).await?;
        let (parts, body) = answer.into_parts();
        Ok((parts.status, body))
    }

    /// Like [`Self::send`], with the headers of the answer.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete answer.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .map_err(|e| HttpError::Connect(e.to_string()))?;
        self.request(req, timeout).await
    }

    /// Sends any request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete answer.
    pub async fn request(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(HttpError::Timeout(timeout)),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, HttpError> {
        let answer = self.inner.request(req).await.map_err(|e| {
            if e.is_connect() && is_refusal(&e) {
                HttpError::Refused
            } else if e.is_connect() {
                HttpError::Connect(e.to_string())
            } else {
                HttpError::Incomplete(e.to_string())
            }
        })?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|e| HttpError::Incomplete(e.to_string()))?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Whether the system reported that nothing listens.
fn is_refusal(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(e) = cause {
        let io = e.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = e.source();
    }
    false
}
