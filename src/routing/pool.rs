//! Connection pool for one target. Each connection carries one exchange at a time.

use super::{
    exchange::{self, ExchangeResult, Sender},
    refusal::Code,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{net::TcpStream, time::timeout};

/// Timeout for opening a connection, which takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed, so that the target's own idle timeout rarely closes
/// it first.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Time for an idle connection to become ready for the next exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
}

/// Idle connections to one target.
///
/// The caller bounds the number of connections by bounding concurrent exchanges.
#[derive(Debug)]
pub struct Pool {
    addr: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection that is ready for one exchange.
#[derive(Debug)]
pub struct Connection<'a> {
    pool: &'a Pool,
    sender: Sender,
}

impl Connection<'_> {
    /// Sends `req`, whose `x-request-id` is `id`, and reads the complete response within `left`.
    ///
    /// The connection returns to the pool if it can be reused. Dropping the future closes it.
    pub async fn exchange(
        mut self,
        req: Request<Full<Bytes>>,
        id: &str,
        left: Duration,
    ) -> ExchangeResult {
        match timeout(left, exchange::exchange(&mut self.sender, req, id)).await {
            Ok((result, reusable)) => {
                if reusable && !self.sender.is_closed() {
                    self.pool.check_in(self.sender);
                }
                result
            }
            Err(_) => ExchangeResult::MayHaveRun(Code::Timeout),
        }
    }
}

impl Pool {
    /// Creates an empty pool of connections to `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::default(),
        }
    }

    /// An idle or new connection; `None` if none could be opened within `left`. No request data is
    /// sent.
    pub async fn connection(&self, left: Duration) -> Option<Connection<'_>> {
        let sender = match self.checkout().await {
            Some(sender) => sender,
            None => self.connect(left.min(CONNECT_TIMEOUT)).await?,
        };
        Some(Connection { pool: self, sender })
    }

    /// Closes connections that have been idle for longer than `max_idle`.
    pub fn close_idle(&self, max_idle: Duration) {
        self.idle().retain(|idle| idle.since.elapsed() <= max_idle);
    }

    fn check_in(&self, sender: Sender) {
        self.idle().push(IdleConnection {
            sender,
            since: Instant::now(),
        });
    }

    async fn checkout(&self) -> Option<Sender> {
        loop {
            let mut idle = self.idle().pop()?;
            if idle.since.elapsed() > MAX_IDLE_TIME {
                // The other connections have been idle even longer.
                self.idle().clear();
                return None;
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, idle.sender.ready()).await {
                return Some(idle.sender);
            }
        }
    }

    async fn connect(&self, limit: Duration) -> Option<Sender> {
        let connected = timeout(limit, TcpStream::connect(self.addr)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "request", "Target connection ended. error=\"{e}\"");
            }
        });
        Some(sender)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
