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

/// Streams that one connection may have open at once.
pub const MAX_STREAMS: u32 = 256;
/// Bytes in flight to one stream before its receiver has read them.
pub const STREAM_WINDOW: u32 = 1024 * 1024;
/// Bytes in flight on one connection; a single slow stream cannot use it up.
pub const CONNECTION_WINDOW: u32 = 8 * STREAM_WINDOW;
/// Time for the h2 handshake and for reading one request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without requests for this time is closed, which removes half-open ones.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A pending answer.
pub type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Answers requests of one kind.
pub type Handler<Q, A> = Arc<dyn Fn(Q) -> Pending<A> + Send + Sync>;

/// Serves `listener` until `stop` turns true, then finishes the open streams.
pub async fn serve(
    listener: TcpListener,
    handler: Handler<PeerRequest, PeerReply>,
    mut stop: watch::Receiver<bool>,
) {
    let for_connections = stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((io, from)) => {
                    let handler = Arc::clone(&handler);
                    connections.spawn(serve_connection(io, from, handler, for_connections.clone()));
                }
                Err(e) => {
                    log::warn!(target: "peer", error:% = e; "Cannot accept a connection.");
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
    // An error means that the sender is gone, which is a stop as well.
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
            log::warn!(target: "peer", from:%, error:% = e; "Handshake failed.");
        }
        Err(_) => log::warn!(target: "peer", from:%; "Handshake timed out."),
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
                    streams.spawn(answer(req, respond, from, Arc::clone(&handler)));
                }
                Some(Err(e)) => {
                    log::debug!(target: "peer", from:%, error:% = e; "Connection broke off.");
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

/// Answers one request. A reset by the other side drops the answer in progress.
async fn answer(
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
            log::warn!(target: "peer", from:%, error:% = e; "Request rejected.");
            PeerReply::Error(e.to_string().into())
        }
    };
    if let Err(e) = send_reply(&mut respond, &reply).await {
        log::debug!(target: "peer", to:% = from, error:% = e; "Reply not delivered.");
    }
}

async fn read_request(req: Request<RecvStream>) -> Result<PeerRequest, CodecError> {
    let mut body = req.into_body();
    let frame = timeout(READ_TIMEOUT, codec::read_frame(&mut body))
        .await
        .map_err(|_| CodecError::Broken("the request took too long to arrive".into()))??;
    codec::decode(&frame)
}

async fn send_reply(
    respond: &mut SendResponse<Bytes>,
    reply: &PeerReply,
) -> Result<(), CodecError> {
    let frame = codec::encode(reply).or_else(|e| {
        log::error!(target: "peer", error:% = e; "Reply cannot be sent.");
        codec::encode(&PeerReply::Error(e.to_string().into()))
    })?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    codec::write_frame(&mut stream, frame).await
}
