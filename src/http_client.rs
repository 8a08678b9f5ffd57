//! HTTP client for control traffic: the platform, grants, health checks and the operator port.

use crate::response_head;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{error::Error, io, net::SocketAddr, time::Duration};

/// Largest response body that is accepted by default, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Idle connections kept in the pool for each address.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Connect timeout of clients with loss detection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed when sent data is not acknowledged for this time.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle time before the first keepalive probe, and interval between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which a connection is closed.
pub(crate) const KEEPALIVE_RETRIES: u32 = 2;

/// Why a request got no complete response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// Nothing listens at the address, so nothing was sent.
    #[error("the connection was refused")]
    Refused,
    /// No connection was established, so nothing was sent.
    #[error("could not connect: {0}")]
    Connect(String),
    /// The request may have been received.
    #[error("no complete response: {0}")]
    Incomplete(String),
    /// The response body is larger than this many bytes.
    #[error("the response is larger than {0} bytes")]
    TooLarge(usize),
    /// No response within the time limit; the request may have been received.
    #[error("no response within {0:?}")]
    Timeout(Duration),
}

/// An HTTP/1.1 client with a connection pool. It never retries a request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client that detects lost connections only by the time limit of a request.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self::with_connector(connector, MAX_IDLE_CONNECTIONS)
    }

    /// Creates a client that closes connections whose peer no longer acknowledges data or keepalive
    /// probes, so that requests with a long time limit fail soon after the peer is lost.
    pub fn with_loss_detection() -> Self {
        Self::with_connector(Self::loss_detecting_connector(), MAX_IDLE_CONNECTIONS)
    }

    /// Like [`Self::with_loss_detection`], but with a new connection for each request, so that a
    /// second response that the server sends late cannot be taken for that to the next request.
    pub fn without_connection_reuse() -> Self {
        Self::with_connector(Self::loss_detecting_connector(), 0)
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

    fn with_connector(connector: HttpConnector, max_idle: usize) -> Self {
        let inner = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self {
            inner,
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }

    /// Accepts response bodies of at most so many bytes.
    pub fn with_max_response_bytes(self, max_response_bytes: usize) -> Self {
        Self {
            max_response_bytes,
            ..self
        }
    }

    /// Sends a request with a JSON body and reads the whole response within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete response.
    pub async fn send(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let response = self.call(method, addr, path, body, timeout).await?;
        let (parts, body) = response.into_parts();
        Ok((parts.status, body))
    }

    /// Like [`Self::send`], but also returns the response headers.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete response.
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

    /// Sends any request and reads the whole response within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete response.
    pub async fn request(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, HttpError> {
        match tokio::time::timeout(timeout, self.exchange(req)).await {
            Ok(response) => response,
            Err(_) => Err(HttpError::Timeout(timeout)),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, HttpError> {
        let response = self.inner.request(req).await.map_err(|e| {
            if e.is_connect() && is_refusal(&e) {
                HttpError::Refused
            } else if e.is_connect() {
                HttpError::Connect(e.to_string())
            } else {
                HttpError::Incomplete(e.to_string())
            }
        })?;
        let (parts, body) = response.into_parts();
        response_head::check(&parts).map_err(|e| HttpError::Incomplete(e.to_string()))?;
        let body = Limited::new(body, self.max_response_bytes)
            .collect()
            .await
            .map_err(|e| {
                if e.is::<LengthLimitError>() {
                    HttpError::TooLarge(self.max_response_bytes)
                } else {
                    HttpError::Incomplete(e.to_string())
                }
            })?;
        Ok(Response::from_parts(parts, body.to_bytes()))
    }
}

/// Whether the cause is the system's `ECONNREFUSED`: nothing listens at the address.
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
