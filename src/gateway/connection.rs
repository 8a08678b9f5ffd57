//! Pool of HTTP/1.1 connections to one endpoint. Each connection carries one exchange at a time.

mod endpoint_stream;
mod open;

use super::idle::{IdleLimit, MAX_IDLE};
use crate::http_client::{
    CONNECT_TIMEOUT, KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES, TCP_USER_TIMEOUT,
};
use bytes::Bytes;
use endpoint_stream::EndpointStream;
pub use endpoint_stream::MIN_RECEIVE_WINDOW;
use http::HeaderValue;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use open::OpenConnections;
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Sending half of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Longest idle time of a pooled connection if the endpoint does not advertise one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the idle time that an endpoint advertises, because a request may already be in
/// transit when the endpoint closes the connection, and the time may be rounded to whole seconds.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Size of a connection's read buffer, which bounds the head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Time between attempts to connect while it is unclear whether the endpoint's machine is there.
const PROBE_INTERVAL: Duration = TCP_USER_TIMEOUT;
/// Unanswered attempts in a row after which it counts as gone.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Most idle connections in a pool.
const MAX_POOLED: usize = 8;
/// All daemons together keep at most one in this many of the connections that an endpoint accepts
/// idle.
const POOLED_SHARE_DIVISOR: usize = 2;
/// Rejected requests after which a connection is closed, which bounds the ids that are kept for it.
const MAX_REJECTED: usize = 64;

/// Connections to the endpoints of a service, counted for metrics.
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    opened: AtomicU64,
    reused: AtomicU64,
}

impl ConnectionCounts {
    /// Number of connections that were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Number of times that an idle connection was used again.
    pub fn reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    rejected: Vec<HeaderValue>,
    since: Instant,
    /// Longest idle time after which the connection may be reused.
    idle_limit: Duration,
}

/// How the connections of a pool are closed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloseMode {
    /// What was written is still delivered.
    #[default]
    Graceful,
    /// What was written and not acknowledged is discarded, also if the process ends. A network that
    /// is cut off would deliver it once it is back.
    Reset,
}

/// A connection for one exchange, either new or from the pool.
pub struct PooledConnection {
    /// Sending half of the connection.
    pub sender: Sender,
    /// How long the connection was idle in the pool; `None` if it is new.
    pub idle: Option<Duration>,
    /// Ids of the requests that were rejected on the connection. A retry carries the id of the
    /// first attempt, so a late copy of the rejection would be taken for the response to it.
    pub rejected: Vec<HeaderValue>,
}

/// Pool of idle connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    /// Connections that the endpoint accepts from all daemons together.
    max_connections: usize,
    close_mode: CloseMode,
    idle_limit: Arc<IdleLimit>,
    counts: Arc<ConnectionCounts>,
    idle: Mutex<Vec<IdleConnection>>,
    open: OpenConnections,
}

impl Pool {
    /// Creates an empty pool for the endpoint at `addr`, which accepts `max_connections` from all
    /// daemons together.
    pub fn new(addr: SocketAddr, max_connections: u32, idle_limit: Arc<IdleLimit>) -> Self {
        Self {
            addr,
            max_connections: max_connections as usize,
            close_mode: CloseMode::default(),
            idle_limit,
            counts: Arc::default(),
            idle: Mutex::default(),
            open: OpenConnections::default(),
        }
    }

    /// Counts connections here.
    pub fn with_counts(mut self, counts: Arc<ConnectionCounts>) -> Self {
        self.counts = counts;
        self
    }

    /// Closes connections in this way.
    pub fn with_close_mode(mut self, close_mode: CloseMode) -> Self {
        self.close_mode = close_mode;
        self
    }

    /// Takes the connection with the shortest idle time that is ready for an exchange out of the
    /// pool.
    pub fn take_idle(&self) -> Option<PooledConnection> {
        self.take_idle_if(|_| true)
    }

    /// Like [`Self::take_idle`], for a request with this id. Connections on which a request with
    /// the same id was rejected stay in the pool.
    pub fn take_idle_for(&self, id: &HeaderValue) -> Option<PooledConnection> {
        self.take_idle_if(|pooled| !pooled.rejected.contains(id))
    }

    fn take_idle_if(
        &self,
        is_usable: impl Fn(&IdleConnection) -> bool,
    ) -> Option<PooledConnection> {
        let current_limit = self.idle_limit.current();
        let mut idle = self.idle();
        let mut at = idle.len();
        while at > 0 {
            at -= 1;
            let idle_time = idle[at].since.elapsed();
            if idle_time > idle[at].idle_limit.min(current_limit) {
                // The connections before it have been idle for longer.
                idle.drain(..=at);
                return None;
            }
            if !idle[at].sender.is_ready() {
                idle.remove(at);
            } else if is_usable(&idle[at]) {
                let pooled = idle.remove(at);
                self.counts.reused.fetch_add(1, Ordering::Relaxed);
                return Some(PooledConnection {
                    sender: pooled.sender,
                    idle: Some(idle_time),
                    rejected: pooled.rejected,
                });
            }
        }
        None
    }

    /// Records that a pooled connection was lost on use after `idle`, and closes the others, which
    /// the endpoint has probably lost as well: another one may have started at its address.
    pub fn record_loss(&self, idle: Duration) {
        self.idle().clear();
        self.idle_limit.record_loss(idle);
    }

    /// Whether a connection proves that the process at the address has been the same for `age`, and
    /// that it may be another than the one before.
    pub fn has_spanned(&self, age: Duration) -> bool {
        self.open.span(age)
    }

    /// Opens a new connection within `left`.
    ///
    /// # Errors
    /// If the connection cannot be opened in time. Nothing of the request was sent then.
    pub async fn connect(&self, left: Duration) -> io::Result<PooledConnection> {
        let connecting = TcpStream::connect(self.addr);
        let stream = timeout(left.min(CONNECT_TIMEOUT), connecting).await??;
        self.counts.opened.fetch_add(1, Ordering::Relaxed);
        let stream = EndpointStream::new(stream)?;
        if self.close_mode == CloseMode::Reset {
            stream.reset_on_close()?;
        }
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let open = self.open.add();
        tokio::spawn(async move {
            let _open = open;
            if let Err(e) = connection.await {
                log::debug!(target: "request", error:% = e; "Endpoint connection ended.");
            }
        });
        Ok(PooledConnection {
            sender,
            idle: None,
            rejected: Vec::new(),
        })
    }

    /// Completes when the machine at the address is gone: it neither takes nor refuses connections. An
    /// endpoint that only reads nothing is waited for.
    pub async fn wait_until_lost(&self) {
        let mut unanswered = 0;
        while unanswered < MAX_UNANSWERED_PROBES {
            if unanswered == 0 {
                sleep(PROBE_INTERVAL).await;
            }
            match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await {
                Err(_) => unanswered += 1,
                Ok(Err(e)) if is_unreachable(e.kind()) => unanswered += 1,
                // Other errors are of a peer that is there, or of this process.
                Ok(_) => unanswered = 0,
            }
        }
    }

    /// Returns a connection to the pool after an exchange, or drops it if the pool is full or too
    /// many requests were rejected on it.
    ///
    /// `rejected` are the ids of those requests. `advertised` is the idle time after which the endpoint
    /// closes the connection, if it stated one. `daemons` is the number of daemons that share the
    /// endpoint.
    pub fn put_idle(
        &self,
        sender: Sender,
        rejected: Vec<HeaderValue>,
        advertised: Option<Duration>,
        daemons: usize,
    ) {
        let share = self.max_connections / POOLED_SHARE_DIVISOR / daemons.max(1);
        let mut idle = self.idle();
        let is_usable = !sender.is_closed() && rejected.len() < MAX_REJECTED;
        if is_usable && idle.len() < share.clamp(1, MAX_POOLED) {
            let advertised =
                advertised.map(|advertised| advertised.saturating_sub(IDLE_TIMEOUT_MARGIN));
            idle.push(IdleConnection {
                sender,
                rejected,
                since: Instant::now(),
                idle_limit: advertised.unwrap_or(DEFAULT_IDLE_TIMEOUT).min(MAX_IDLE),
            });
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether an attempt to connect failed because the machine did not answer it.
fn is_unreachable(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut
    )
}

/// Enables the TCP user time-out and keep-alive probes, so that the system reports a peer that is
/// lost without closing the connection, however long the endpoint takes to respond.
pub fn enable_loss_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}
