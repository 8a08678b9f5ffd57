//! Connections to one endpoint. Each carries one exchange at a time.

use super::idle::{IdleLimit, MAX_IDLE};
use crate::http_client::{
    CONNECT_TIMEOUT, KEEPALIVE_INTERVAL, KEEPALIVE_RETRIES, TCP_USER_TIMEOUT,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// The sending side of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle time after which a connection is closed if the endpoint does not state its own limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the idle time that an endpoint states which is left unused, since a request may be on
/// its way when the endpoint closes the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Idle connections that are kept.
const MAX_KEPT: usize = 8;
/// Share of the connections that an endpoint accepts which all daemons together keep idle.
const KEPT_SHARE: usize = 2;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
    /// Longest idle time that the endpoint allows.
    limit: Duration,
}

/// A connection and how long it was idle; not at all if it is new.
pub struct Taken {
    /// The connection.
    pub sender: Sender,
    /// Its idle time, if it was kept.
    pub idle: Option<Duration>,
}

/// Idle connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    /// Connections that the endpoint accepts from all daemons.
    max_connections: usize,
    limit: Arc<IdleLimit>,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Creates an empty pool of connections to `addr`, which accepts `max_connections` from all
    /// daemons.
    pub fn new(addr: SocketAddr, max_connections: u32, limit: Arc<IdleLimit>) -> Self {
        Self {
            addr,
            max_connections: max_connections as usize,
            limit,
            idle: Mutex::default(),
        }
    }

    /// An idle connection that is ready for an exchange.
    pub fn take(&self) -> Option<Taken> {
        let longest = self.limit.longest();
        let mut idle = self.idle();
        while let Some(kept) = idle.pop() {
            let time = kept.since.elapsed();
            if time > kept.limit.min(longest) {
                // The rest has been idle for longer.
                idle.clear();
                return None;
            }
            if kept.sender.is_ready() {
                return Some(Taken {
                    sender: kept.sender,
                    idle: Some(time),
                });
            }
        }
        None
    }

    /// A kept connection was lost when it was used.
    pub fn lost_after(&self, idle: Duration) {
        self.limit.lost_after(idle);
    }

    /// Opens a connection within `left`.
    ///
    /// # Errors
    /// If there is none in time. Nothing of a request was sent.
    pub async fn connect(&self, left: Duration) -> io::Result<Taken> {
        let connecting = TcpStream::connect(self.addr);
        let stream = timeout(left.min(CONNECT_TIMEOUT), connecting).await??;
        detect_loss(&stream)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "request", error:% = e; "Endpoint connection ended.");
            }
        });
        Ok(Taken { sender, idle: None })
    }

    /// Keeps a connection whose exchange has ended, once it is ready for the next one. The endpoint
    /// has stated that it closes it after `stated`, and `daemons` share the endpoint.
    pub fn keep(&self, sender: Sender, stated: Option<Duration>, daemons: usize) {
        let share = self.max_connections / KEPT_SHARE / daemons.max(1);
        let mut idle = self.idle();
        if !sender.is_closed() && idle.len() < share.clamp(1, MAX_KEPT) {
            let stated = stated.map(|stated| stated.saturating_sub(IDLE_MARGIN));
            idle.push(Idle {
                sender,
                since: Instant::now(),
                limit: stated.unwrap_or(DEFAULT_IDLE).min(MAX_IDLE),
            });
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Has the system report a peer that is gone without a word, whatever the time that an endpoint takes
/// to answer.
pub fn detect_loss(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)
}
