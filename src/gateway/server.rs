//! HTTP server for callers, with a graceful stop.

use super::{
    caller_connections::{CallerConnections, ConnectionHandle},
    forward::Forwarder,
    model::CallerLimits,
    sent_ahead::Conditions,
    stop::{self, Stop, StopSchedule},
};
use crate::{
    clock::Millis,
    entry::caller_connection::{self, BegunRequest, BoxFuture, SentAhead},
};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{Empty, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioTimer;
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::{sleep, timeout},
};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Most headers of a request; hyper rejects requests with more.
const MAX_HEADERS: usize = 256;

/// Serves callers until `stop` turns true. Then waits until the requests in flight have ended, for
/// at most `stop_limit`, and tells the request path the times of the stop.
pub async fn serve(
    forwarder: Forwarder,
    listener: TcpListener,
    connections: CallerConnections,
    mut stop: watch::Receiver<bool>,
    stop_limit: Millis,
    stop_state: watch::Sender<Option<Stop>>,
) {
    let clock = forwarder.clock;
    let server = Server {
        forwarder,
        connections,
        closing: watch::Sender::new(false),
    };
    tokio::select! {
        () = server.accept_all(&listener) => {}
        // An error means that the sender was dropped, which is a stop as well.
        _ = stop.wait_for(|stop| *stop) => {}
    }
    let now = clock.now();
    let schedule = StopSchedule::new(now, stop_limit);
    stop_state.send_replace(Some(Stop::new(schedule)));
    log::info!(target: "request", connections = server.closing.receiver_count(),
        accepts_for:% = schedule.accept_until.since(now),
        closes_in:% = schedule.close_at.since(now), ends_in:% = schedule.end.since(now);
        "Stopping.");
    // This always ends by time-out, as the server accepts until it is cancelled.
    let accepting = server.accept_all(&listener);
    let _ = timeout(clock.until(schedule.accept_until), accepting).await;
    // Connections in the backlog would be reset when the listener closes, so they are accepted.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        server.spawn(stream);
    }
    drop(listener);
    sleep(clock.until(schedule.close_at)).await;
    server.closing.send_replace(true);
    if !stop::finish(&stop_state, &server.closing, schedule, clock).await {
        log::warn!(target: "request", connections = server.closing.receiver_count();
            "Stop time limit reached; the connections left are closed.");
    }
}

#[derive(Debug)]
struct Server {
    forwarder: Forwarder,
    connections: CallerConnections,
    /// Tells the connections to close; each has a receiver until it has ended.
    closing: watch::Sender<bool>,
}

impl Server {
    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.spawn(stream);
                    // Connections that were closed for this one end before the next is accepted.
                    yield_now().await;
                }
                Err(e) => {
                    log::warn!(target: "request", error:% = e; "Caller connection could not be accepted.");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(target: "request", error:% = e; "Caller connection already closed.");
            return;
        }
        let Some(mut connection) = self.connections.admit() else {
            return;
        };
        let limits = self.forwarder.view.load().limits;
        let forwarder = self.forwarder.clone();
        let handle = connection.handle.clone();
        let service = {
            let (forwarder, handle) = (forwarder.clone(), handle.clone());
            service_fn(move |req: Request<Incoming>| {
                let (forwarder, handle) = (forwarder.clone(), handle.clone());
                // hyper keeps room for the future in each connection, also in an idle one.
                Box::pin(async move {
                    handle.output_taken().await;
                    let response = forwarder.handle(req, Some(&handle)).await;
                    handle.respond();
                    Ok::<_, Infallible>(response)
                })
            })
        };
        let ahead = sent_ahead(forwarder, handle);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout(&limits))
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADERS);
        let closing = self.closing.subscribe();
        tokio::spawn(async move {
            let handle = connection.handle.clone();
            let observer = move |event| handle.observe(event);
            let stream = Arc::new(stream);
            let served = caller_connection::serve_ahead(
                Arc::clone(&stream),
                service,
                Some(ahead),
                &builder,
                closing,
                observer,
            );
            tokio::select! {
                ended = served => if let Err(e) = ended {
                    log::debug!(target: "request", error:% = e; "Caller connection ended.");
                },
                () = connection.closed() => caller_connection::reset_on_close(&stream),
            }
        });
    }
}

/// Time limit for a request head. It includes the idle time before the request, with a margin for
/// callers that send at the end of the idle time.
fn head_timeout(limits: &CallerLimits) -> Duration {
    let idle: Duration = limits.idle_timeout.into();
    idle.max(limits.header_timeout.into()) + Duration::from_secs(1)
}

/// How the requests that were sent ahead on a connection are run.
fn sent_ahead(forwarder: Forwarder, handle: ConnectionHandle) -> SentAhead<Response<Full<Bytes>>> {
    let routes = forwarder.clone();
    let stop = forwarder.stop.clone();
    let delivering = handle.clone();
    SentAhead {
        is_idempotent: Box::new(move |uri, headers| routes.is_idempotent(uri, headers)),
        begin: Box::new(move |req, begun| begin_ahead(&forwarder, &handle, req, begun)),
        deliver: Box::new(move |begun| Box::pin(deliver(begun, delivering.clone()))),
        closes: Box::new(move || stop.borrow().is_some()),
    }
}

/// Begins a request that was sent ahead, unless it has to wait.
fn begin_ahead(
    forwarder: &Forwarder,
    handle: &ConnectionHandle,
    req: Request<()>,
    begun: usize,
) -> Option<BoxFuture<Response<Full<Bytes>>>> {
    let conditions = Conditions {
        begun,
        is_stopping: forwarder.stop.borrow().is_some(),
        is_output_blocked: handle.is_output_blocked(),
        is_connection_memory_half_free: handle.is_memory_half_free(),
        is_body_memory_half_free: forwarder.body_memory.is_half_free(),
    };
    if let Some(reason) = conditions.hold_reason() {
        log::debug!(target: "request", path:% = req.uri().path(), reason:%, begun;
            "Request that was sent ahead has to wait.");
        return None;
    }
    let (forwarder, at_work) = (forwarder.clone(), handle.begin_ahead());
    Some(Box::pin(async move {
        let response = forwarder.handle(req.map(|()| Empty::new()), None).await;
        drop(at_work);
        response
    }))
}

/// Waits for the response to a request that was sent ahead, once its turn has come.
async fn deliver(
    begun: BegunRequest<Response<Full<Bytes>>>,
    handle: ConnectionHandle,
) -> Response<Full<Bytes>> {
    handle.output_taken().await;
    handle.begin_work();
    let response = begun.await;
    handle.respond();
    response
}
