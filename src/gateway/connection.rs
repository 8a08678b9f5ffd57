//! Connections to one endpoint. Each carries one exchange at a time.

use crate::http_client::{CONNECT_TIMEOUT, PEER_LOST_AFTER, PROBE_EVERY, PROBES};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// The sending side of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle time after which a connection is closed, well before an endpoint's own idle limit.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Idle connections that are kept.
const MAX_KEPT: usize = 8;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Idle connections to one endpoint.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<Idle>>,
}

impl Pool {
    /// Creates an empty pool of connections to `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
        }
    }

    /// An idle connection that is ready for an exchange.
    pub fn take(&self) -> Option<Sender> {
        let mut idle = self.idle();
        while let Some(kept) = idle.pop() {
            if kept.since.elapsed() > MAX_IDLE {
                // The rest has been idle for longer.
                idle.clear();
                return None;
            }
            if kept.sender.is_ready() {
                return Some(kept.sender);
            }
        }
        None
    }

    /// Opens a connection within `left`.
    ///
    /// # Errors
    /// If there is none in time. Nothing of a request was sent.
    pub async fn connect(&self, left: Duration) -> io::Result<Sender> {
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
        Ok(sender)
    }

    /// Keeps a connection whose exchange has ended, once it is ready for the next one.
    pub fn keep(&self, sender: Sender) {
        let mut idle = self.idle();
        if !sender.is_closed() && idle.len() < MAX_KEPT {
            idle.push(Idle {
                sender,
                since: Instant::now(),
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
    socket.set_tcp_user_timeout(Some(PEER_LOST_AFTER))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
