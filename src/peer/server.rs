//! Accepts connections of other daemons and answers their requests.

use super::{
    codec::{self, CodecError},
    message::{PeerReply, PeerRequest},
};
use bytes::Bytes;
use h2::{
    RecvStream,
    server::{Connection, SendResponse},
};
use http::{Request, Response};
use std::{
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Concurrent streams per connection.
pub const MAX_STREAMS: u32 = 256;
/// Flow-control window of a stream, in bytes.
pub const STREAM_WINDOW: u32 = 1024 * 1024;
/// Flow-control window of a connection, in bytes: larger than that of a stream, so that one slow
/// stream cannot exhaust it.
pub const CONNECTION_WINDOW: u32 = 8 * STREAM_WINDOW;
/// Limit for the HTTP/2 handshake, and for reading one request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without open streams for this time is closed, which removes half-open connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most open connections. Each daemon of a fleet keeps one to the controller, and the largest fleets
/// have some thousand daemons.
const MAX_CONNECTIONS: usize = 4_096;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A boxed future that can be sent between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Handles requests of one type and returns their replies; must not block.
pub type Handler<Q, A> = Arc<dyn Fn(Q) -> BoxFuture<A> + Send + Sync>;

/// Serves `listener` until `stop` becomes true, then waits for the open streams to finish.
pub async fn serve(
    listener: TcpListener,
    handler: Handler<PeerRequest, PeerReply>,
    mut stop: watch::Receiver<bool>,
) {
    let connection_stop = stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((_, from)) if connections.len() >= MAX_CONNECTIONS => {
                    log::debug!(target: "peer", from:%; "Peer connection refused: too many are open.");
                }
                Ok((io, from)) => {
                    let handler = Arc::clone(&handler);
                    connections.spawn(serve_connection(io, from, handler, connection_stop.clone()));
                }
                Err(e) => {
                    log::warn!(target: "peer", error:% = e; "Accepting a peer connection failed.");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Waits until the daemon stops.
pub(crate) async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which counts as a stop.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection(
    io: TcpStream,
    from: SocketAddr,
    handler: Handler<PeerRequest, PeerReply>,
    stop: watch::Receiver<bool>,
) {
    let _ = io.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(io);
    match timeout(READ_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => accept_streams(connection, from, handler, stop).await,
        Ok(Err(e)) => {
            log::warn!(target: "peer", from:%, error:% = e; "HTTP/2 handshake failed.");
        }
        Err(_) => log::warn!(target: "peer", from:%; "HTTP/2 handshake timed out."),
    }
}

async fn accept_streams(
    mut connection: Connection<TcpStream, Bytes>,
    from: SocketAddr,
    handler: Handler<PeerRequest, PeerReply>,
    mut stop: watch::Receiver<bool>,
) {
    let mut streams = JoinSet::new();
    let mut closing = false;
    let mut idle = Instant::now() + IDLE_TIMEOUT;
    loop {
        tokio::select! {
            stream = connection.accept() => match stream {
                Some(Ok((req, respond))) => {
                    streams.spawn(handle_stream(req, respond, from, Arc::clone(&handler)));
                }
                Some(Err(e)) => {
                    log::debug!(target: "peer", from:%, error:% = e; "Peer connection failed.");
                    break;
                }
                None => break,
            },
            Some(_) = streams.join_next() => idle = Instant::now() + IDLE_TIMEOUT,
            () = stopped(&mut stop), if !closing => {
                closing = true;
                connection.graceful_shutdown();
            }
            () = sleep_until(idle), if streams.is_empty() && !closing => {
                closing = true;
                connection.graceful_shutdown();
                idle = Instant::now() + IDLE_TIMEOUT;
            }
            () = sleep_until(idle), if streams.is_empty() && closing => break,
        }
    }
    streams.shutdown().await;
}

/// Answers one request. If the peer resets the stream, the handler's future is dropped.
async fn handle_stream(
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
    handler: Handler<PeerRequest, PeerReply>,
) {
    let reply = match read_request(req).await {
        Ok(request) => tokio::select! {
            reply = handler(request) => reply,
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
        },
        Err(e) => {
            log::warn!(target: "peer", from:%, error:% = e; "Invalid request rejected.");
            PeerReply::Error(e.to_string().into())
        }
    };
    if let Err(e) = send_reply(&mut respond, &reply).await {
        log::debug!(target: "peer", to:% = from, error:% = e; "Reply could not be sent.");
    }
}

async fn read_request(req: Request<RecvStream>) -> Result<PeerRequest, CodecError> {
    let mut body = req.into_body();
    let frame = timeout(READ_TIMEOUT, codec::read_frame(&mut body))
        .await
        .map_err(|_| CodecError::StreamFailed("the request was not received in time".into()))??;
    codec::decode(&frame)
}

async fn send_reply(
    respond: &mut SendResponse<Bytes>,
    reply: &PeerReply,
) -> Result<(), CodecError> {
    let frame = codec::encode(reply).or_else(|e| {
        log::error!(target: "peer", error:% = e; "Reply could not be encoded; sending an error instead.");
        codec::encode(&PeerReply::Error(e.to_string().into()))
    })?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    codec::write_frame(&mut stream, frame).await
}
