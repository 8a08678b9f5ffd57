//! Connections to one target. Each carries one exchange at a time.

use super::{
    exchange::{self, Exchange},
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

/// The sending side of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Time to wait for a connection; opening one takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again, so that it rarely meets a target's own
/// idle limit.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Time for a connection to become ready after its last exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Idle connections to one target.
///
/// The caller bounds the number of connections by bounding concurrent exchanges.
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

    /// Sends `req` on an idle or new connection and reads the whole answer.
    ///
    /// Dropping the future closes the connection.
    pub async fn send(&self, req: Request<Full<Bytes>>, id: &str) -> Exchange {
        let mut sender = match self.take().await {
            Some(sender) => sender,
            None => match self.connect().await {
                Some(sender) => sender,
                None => return Exchange::NotRun(Code::ConnectFailed),
            },
        };
        let (result, reusable) = exchange::exchange(&mut sender, req, id).await;
        if reusable && !sender.is_closed() {
            self.idle().push(Idle {
                sender,
                since: Instant::now(),
            });
        }
        result
    }

    /// Idle connections.
    pub fn idle_len(&self) -> usize {
        self.idle().len()
    }

    async fn take(&self) -> Option<Sender> {
        loop {
            let mut idle = self.idle().pop()?;
            if idle.since.elapsed() > MAX_IDLE {
                // The rest has been idle for longer.
                self.idle().clear();
                return None;
            }
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, idle.sender.ready()).await {
                return Some(idle.sender);
            }
        }
    }

    async fn connect(&self) -> Option<Sender> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
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

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
