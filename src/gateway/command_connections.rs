//! Connections for commands to endpoints. They are kept after a command, so that a later one can be
//! sent to the same life of an endpoint and to no other.

use super::{
    connection::{CloseMode, Pool, PooledConnection},
    platform::GrantConnection,
    send::{READY_TIMEOUT, closes_connection, keep_alive_timeout},
};
use crate::{collections::Map, http_client::HttpError, response_head};
use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

/// Largest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Most connections to one endpoint that are kept.
const MAX_KEPT: u32 = 16;
/// Longest wait for a kept connection that another command uses.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks for a kept connection while waiting.
const WAIT_STEP: Duration = Duration::from_millis(5);

/// A response to a command.
#[derive(Debug)]
pub struct CommandResponse {
    /// The complete response.
    pub response: Response<Bytes>,
    /// Whether the connection carried an earlier command. The response may then be a late copy of
    /// an earlier one.
    pub is_reused: bool,
}

/// Kept connections by address. Connections are closed after a rejection.
#[derive(Clone, Debug, Default)]
pub struct CommandConnections {
    endpoints: Arc<Mutex<Map<SocketAddr, Arc<Kept>>>>,
}

/// The kept connections to one address.
#[derive(Debug)]
struct Kept {
    pool: Pool,
    /// Commands that use a connection now.
    in_use: AtomicUsize,
    last_used: Mutex<Instant>,
}

/// Time after the last command for which the state of an address is kept.
const ADDRESS_EXPIRY: Duration = Duration::from_secs(60);

/// Counts a command as one that uses a connection, until it is dropped.
struct InUse<'a>(&'a AtomicUsize);

impl<'a> InUse<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InUse<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CommandConnections {
    /// Sends a command to `addr` on a connection that `connection` allows, and reads the whole
    /// response within `limit`. A command is never sent twice.
    ///
    /// # Errors
    /// [`HttpError`] if there is no complete response; [`HttpError::Connect`] if no allowed
    /// connection is open.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        connection: GrantConnection,
        limit: Duration,
    ) -> Result<CommandResponse, HttpError> {
        let kept = self.kept(addr);
        match timeout(limit, exchange(&kept, req, connection, limit)).await {
            Ok(response) => response,
            Err(_) => Err(HttpError::Timeout(limit)),
        }
    }

    fn kept(&self, addr: SocketAddr) -> Arc<Kept> {
        let mut endpoints = self
            .endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if !endpoints.contains_key(&addr) {
            endpoints.retain(|_, kept| now - kept.last_used() < ADDRESS_EXPIRY);
        }
        let kept = endpoints.entry(addr).or_insert_with(|| {
            Arc::new(Kept {
                // A command that counts as lost must not be carried out later.
                pool: Pool::new(addr, MAX_KEPT, Arc::default()).with_close_mode(CloseMode::Reset),
                in_use: AtomicUsize::new(0),
                last_used: Mutex::new(now),
            })
        });
        *kept
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
        Arc::clone(kept)
    }
}

impl Kept {
    fn last_used(&self) -> Instant {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection that `allowed` permits.
    async fn take(
        &self,
        allowed: GrantConnection,
        limit: Duration,
    ) -> Result<PooledConnection, HttpError> {
        let waits_until = Instant::now() + MAX_WAIT;
        loop {
            if allowed != GrantConnection::New
                && let Some(connection) = self.pool.take_idle()
            {
                return Ok(connection);
            }
            if allowed != GrantConnection::Kept {
                return self.pool.connect(limit).await.map_err(connect_error);
            }
            let is_in_use = self.in_use.load(Ordering::Relaxed) > 0;
            if !is_in_use || Instant::now() >= waits_until {
                return Err(HttpError::Connect("no connection is kept".into()));
            }
            sleep(WAIT_STEP).await;
        }
    }
}

async fn exchange(
    kept: &Kept,
    mut req: Request<Full<Bytes>>,
    allowed: GrantConnection,
    limit: Duration,
) -> Result<CommandResponse, HttpError> {
    let (response, mut sender, is_reused, _in_use) = loop {
        let PooledConnection {
            mut sender, idle, ..
        } = kept.take(allowed, limit).await?;
        let in_use = InUse::new(&kept.in_use);
        match sender.try_send_request(req).await {
            Ok(response) => break (response, sender, idle.is_some(), in_use),
            // hyper returns the request only if no byte of it was written.
            Err(mut e) => match e.take_message() {
                Some(unsent) if idle.is_some() => req = unsent,
                Some(_) => return Err(HttpError::Connect(e.error().to_string())),
                None => return Err(HttpError::Incomplete(e.error().to_string())),
            },
        }
    };
    let (parts, body) = response.into_parts();
    response_head::check(&parts).map_err(|e| HttpError::Incomplete(e.to_string()))?;
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|e| HttpError::Incomplete(e.to_string()))?;
    let response = Response::from_parts(parts, body.to_bytes());
    let ready = timeout(
        READY_TIMEOUT,
        std::future::poll_fn(|cx| sender.poll_ready(cx)),
    );
    let is_success = response.status().is_success();
    if is_success && !closes_connection(response.headers()) && ready.await.is_ok_and(|r| r.is_ok())
    {
        let keep_alive = keep_alive_timeout(response.headers());
        kept.pool.put_idle(sender, Vec::new(), keep_alive, 1);
    }
    Ok(CommandResponse {
        response,
        is_reused,
    })
}

fn connect_error(e: io::Error) -> HttpError {
    if e.kind() == io::ErrorKind::ConnectionRefused {
        HttpError::Refused
    } else {
        HttpError::Connect(e.to_string())
    }
}

/// A command with a JSON body.
///
/// # Errors
/// [`HttpError::Connect`] if the path is not valid in a request.
pub fn command_request(
    addr: SocketAddr,
    path: &str,
    body: impl Into<Bytes>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::post(path)
        .header(header::HOST, addr.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
        .map_err(|e| HttpError::Connect(e.to_string()))
}
