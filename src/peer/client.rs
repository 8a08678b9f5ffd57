//! Client for requests to other daemons, with one HTTP/2 connection per daemon.

use super::{
    codec::{self, CodecError},
    message::{PeerReply, PeerRequest},
    server::{CONNECTION_WINDOW, MAX_STREAMS, STREAM_WINDOW},
};
use crate::collections::Map;
use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::Mutex as AsyncMutex,
    time::{Instant, timeout},
};

/// Limit for the TCP connection and the HTTP/2 handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// After a failed connection attempt, requests to the peer fail without a new attempt for this
/// time.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Why a request got no usable reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The request was not sent, so the peer has not received it.
    #[error("the request was not sent: {0}")]
    NotSent(Arc<str>),
    /// The peer may have received the request.
    #[error("the reply is missing or incomplete: {0}")]
    Incomplete(Arc<str>),
    /// No reply within the time limit; the peer may have received the request.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
    /// The peer replied that it could not understand or serve the request.
    #[error("the peer rejected the request: {0}")]
    Rejected(Arc<str>),
}

/// A connection pool with one connection per daemon. Clones share the pool, which must be used on
/// a single runtime.
#[derive(Clone, Debug, Default)]
pub struct PeerClient {
    peers: Arc<Mutex<Map<SocketAddr, Arc<Peer>>>>,
}

#[derive(Debug, Default)]
struct Peer {
    connection: AsyncMutex<Connection>,
}

#[derive(Debug, Default)]
struct Connection {
    sender: Option<SendRequest<Bytes>>,
    /// Identifies the connection, so that a failed request discards only the connection it used.
    id: u64,
    failed_at: Option<Instant>,
}

impl PeerClient {
    /// Sends `request` to the daemon at `addr` and waits at most `limit` for the reply.
    ///
    /// # Errors
    /// [`PeerError`] if there is no reply or the peer rejected the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        limit: Duration,
    ) -> Result<PeerReply, PeerError> {
        let frame = codec::encode(request).map_err(|e| PeerError::NotSent(error_text(&e)))?;
        let peer = self.peer(addr);
        let started = Instant::now();
        let (sender, id) = match timeout(limit, peer.sender(addr)).await {
            Ok(connected) => connected?,
            Err(_) => return Err(PeerError::NotSent("not connected in time".into())),
        };
        let left = limit.saturating_sub(started.elapsed());
        let result = match timeout(left, exchange(sender, frame)).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::Timeout(limit)),
        };
        match result {
            Ok(PeerReply::Error(reason)) => Err(PeerError::Rejected(reason)),
            Ok(reply) => Ok(reply),
            Err(e) => {
                peer.discard(id).await;
                Err(e)
            }
        }
    }

    /// Drops the connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|addr, _| keep(addr));
    }

    fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(addr).or_default())
    }
}

impl Peer {
    /// Returns a sender on the open connection, or opens a new one.
    async fn sender(&self, addr: SocketAddr) -> Result<(SendRequest<Bytes>, u64), PeerError> {
        let mut connection = self.connection.lock().await;
        if let Some(sender) = connection.sender.clone() {
            if let Ok(sender) = sender.ready().await {
                return Ok((sender, connection.id));
            }
            connection.sender = None;
        }
        if connection
            .failed_at
            .is_some_and(|at| at.elapsed() < RECONNECT_PAUSE)
        {
            return Err(PeerError::NotSent(
                "the previous connection attempt has just failed".into(),
            ));
        }
        match connect(addr).await {
            Ok(sender) => {
                connection.id += 1;
                connection.failed_at = None;
                connection.sender = Some(sender.clone());
                Ok((sender, connection.id))
            }
            Err(e) => {
                connection.failed_at = Some(Instant::now());
                Err(e)
            }
        }
    }

    /// Drops connection `id` after a failed request, since it may be half-open.
    async fn discard(&self, id: u64) {
        let mut connection = self.connection.lock().await;
        if connection.id == id {
            connection.sender = None;
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
    let attempt = async {
        let io = TcpStream::connect(addr)
            .await
            .map_err(|e| PeerError::NotSent(e.to_string().into()))?;
        let _ = io.set_nodelay(true);
        h2::client::Builder::new()
            .initial_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_concurrent_streams(MAX_STREAMS)
            .enable_push(false)
            .handshake(io)
            .await
            .map_err(|e| PeerError::NotSent(e.to_string().into()))
    };
    let (sender, connection) = timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| PeerError::NotSent("connecting timed out".into()))??;
    tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!(target: "peer", to:% = addr, error:% = e; "Peer connection failed.");
        }
    });
    Ok(sender)
}

async fn exchange(mut sender: SendRequest<Bytes>, frame: Bytes) -> Result<PeerReply, PeerError> {
    let req = Request::builder()
        .method(Method::POST)
        .uri("http://fireflygauge/")
        .body(())
        .expect("the request is valid");
    let (reply, mut body) = sender
        .send_request(req, false)
        .map_err(|e| PeerError::NotSent(e.to_string().into()))?;
    codec::write_frame(&mut body, frame)
        .await
        .map_err(incomplete)?;
    let reply = reply
        .await
        .map_err(|e| PeerError::Incomplete(e.to_string().into()))?;
    let frame = codec::read_frame(&mut reply.into_body())
        .await
        .map_err(incomplete)?;
    codec::decode(&frame).map_err(incomplete)
}

fn incomplete(e: CodecError) -> PeerError {
    PeerError::Incomplete(error_text(&e))
}

fn error_text(e: &CodecError) -> Arc<str> {
    e.to_string().into()
}
