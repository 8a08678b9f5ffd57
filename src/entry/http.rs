//! HTTP server for callers: a custom accept loop around a gotham handler.
//!
//! gotham's own server never returns, so it cannot be shut down gracefully.

use super::caller_connection;
use crate::{
    clock::Clock,
    routing::{
        front::Fronts,
        path::{RequestPath, RequestPathContext},
        prober,
        request::RequestHead,
        targets::Policies,
    },
    target_api::OUTCOME,
};
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    helpers::http::Body,
    service::call_handler,
    state::{FromState, State, client_addr},
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioTimer;
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    panic::AssertUnwindSafe,
    pin::Pin,
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// Time limit for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request head that is parsed, in bytes. A head up to this size can be refused with the
/// usual explanation; a larger one gets a bare 431.
const MAX_HEAD_BYTES: usize = 256 * 1024;
/// Most headers that are parsed, for the same reason as [`MAX_HEAD_BYTES`].
const MAX_PARSED_HEADERS: usize = 1_000;
/// Longest time during a stop in which open connections are still served, each response closing its
/// connection, before idle connections are closed. A caller that sends on an idle connection while it
/// is closed gets no response, so callers that send a few requests a second should have used all of
/// theirs by then.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Placeholder for a peer whose address is not known.
const UNKNOWN_PEER: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// How the shutdown of the caller server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request in flight completed.
    Complete,
    /// The stop time limit passed with requests still in flight.
    TimedOut,
}

/// Serves callers on a dedicated thread and runtime until `stop` turns true and every request in
/// flight has completed, or the stop time limit has passed.
///
/// # Errors
/// If the listener cannot be used or a thread cannot be started.
pub fn serve(
    cx: RequestPathContext,
    listener: std::net::TcpListener,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<ShutdownOutcome>> {
    serve_with(cx, Policies::default(), listener, stop)
}

/// Like [`serve`], with `policies` in place of the default ones, to measure alternatives.
///
/// # Errors
/// If the listener cannot be used or a thread cannot be started.
pub fn serve_with(
    cx: RequestPathContext,
    policies: Policies,
    listener: std::net::TcpListener,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<ShutdownOutcome>> {
    let fronts = Fronts::new(cx.link.clone(), cx.clock);
    serve_with_fronts(cx, policies, fronts, listener, stop)
}

/// Like [`serve_with`], with `fronts`, which holds the leases of the targets that do not check
/// grants and have this daemon as their front daemon.
///
/// # Errors
/// If the listener cannot be used or a thread cannot be started.
pub fn serve_with_fronts(
    cx: RequestPathContext,
    policies: Policies,
    fronts: Fronts,
    listener: std::net::TcpListener,
    stop: watch::Receiver<bool>,
) -> io::Result<JoinHandle<ShutdownOutcome>> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(cx.workers.max(1))
        .thread_name("request")
        .enable_all()
        .build()?;
    let listener = {
        let _entered = runtime.enter();
        TcpListener::from_std(listener)?
    };
    thread::Builder::new()
        .name("request-main".into())
        .spawn(move || {
            let stopped = runtime.block_on(run(&cx, policies, fronts, listener, stop));
            runtime.shutdown_timeout(Duration::from_millis(100));
            stopped
        })
}

async fn run(
    cx: &RequestPathContext,
    policies: Policies,
    fronts: Fronts,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) -> ShutdownOutcome {
    let path = RequestPath::new(cx, policies, fronts);
    if let Err(e) = prober::start(cx.directory.clone(), path.targets(), cx.clock, stop.clone()) {
        log::error!(target: "request", "Cannot start the prober; targets are not probed. error=\"{e}\"");
    }
    let server = Server {
        path,
        clock: cx.clock,
        stop: stop.clone(),
        closing: watch::Sender::new(false),
    };
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, addr)) => server.spawn(stream, addr),
                Err(e) => {
                    log::warn!(target: "request", "Cannot accept a caller connection. error=\"{e}\"");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = stop.wait_for(|&stop| stop) => break,
        }
    }
    server.stop(listener, cx.stop_timeout).await
}

#[derive(Debug)]
struct Server {
    path: RequestPath,
    clock: Clock,
    stop: watch::Receiver<bool>,
    /// Tells the connections to close; each has a receiver until it has ended.
    closing: watch::Sender<bool>,
}

impl Server {
    fn spawn(&self, stream: TcpStream, addr: SocketAddr) {
        // With Nagle's algorithm, responses would wait for the peer's delayed acknowledgements.
        let _ = stream.set_nodelay(true);
        let (path, clock, stop) = (self.path.clone(), self.clock, self.stop.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            let (path, stop) = (path.clone(), stop.clone());
            let state = State::from_request(req, addr);
            async move {
                let handler = CallerHandler(AssertUnwindSafe((path.clone(), clock)));
                let response = call_handler(handler, AssertUnwindSafe(state)).await?;
                let response = or_internal_error(&path, response);
                gotham::anyhow::Ok(close_if_stopping(response, *stop.borrow()))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_PARSED_HEADERS);
        let closing = self.closing.subscribe();
        tokio::spawn(async move {
            let served = caller_connection::serve(stream, service, &builder, closing);
            if let Err(e) = served.await {
                log::debug!(target: "request", "Caller connection failed. error=\"{e}\"");
            }
        });
    }

    async fn stop(self, listener: TcpListener, limit: Duration) -> ShutdownOutcome {
        log::info!(target: "request", "Stopping the caller server. connections={}", self.closing.receiver_count());
        let stopping = async {
            // Connections in the accept backlog would be reset when the listener closes.
            while let Ok(Ok((stream, addr))) = timeout(Duration::ZERO, listener.accept()).await {
                self.spawn(stream, addr);
            }
            drop(listener);
            // Ends early if no connection is left.
            let _ = timeout(SHUTDOWN_GRACE, self.closing.closed()).await;
            self.closing.send_replace(true);
            self.closing.closed().await;
            self.path.wait_until_idle().await;
        };
        match timeout(limit.max(SHUTDOWN_GRACE * 2), stopping).await {
            Ok(()) => ShutdownOutcome::Complete,
            Err(_) => {
                log::warn!(target: "request", "Stop time limit reached with requests still in flight.");
                ShutdownOutcome::TimedOut
            }
        }
    }
}

/// The gotham handler for callers' requests.
#[derive(Debug)]
struct CallerHandler(AssertUnwindSafe<(RequestPath, Clock)>);

impl NewHandler for CallerHandler {
    type Instance = Self;

    fn new_handler(&self) -> gotham::anyhow::Result<Self> {
        Ok(Self(AssertUnwindSafe(self.0.0.clone())))
    }
}

impl Handler for CallerHandler {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let AssertUnwindSafe((path, clock)) = self.0;
        Box::pin(async move {
            let peer = client_addr(&state).map_or(UNKNOWN_PEER, |addr| addr.ip());
            let head = RequestHead {
                method: Method::take_from(&mut state),
                uri: Uri::take_from(&mut state),
                headers: HeaderMap::take_from(&mut state),
                peer,
                arrived: clock.now(),
            };
            let body = Body::take_from(&mut state);
            let response = path.handle(head, body).await;
            Ok((state, response.map(full_body)))
        })
    }
}

fn full_body(body: bytes::Bytes) -> Body {
    Body::new(Full::new(body).map_err(|never| match never {}))
}

/// Replaces gotham's bare response to a panic, which lacks the outcome header, with an internal
/// error.
fn or_internal_error(path: &RequestPath, response: Response<Body>) -> Response<Body> {
    if response.headers().contains_key(OUTCOME) {
        return response;
    }
    path.internal_error().map(full_body)
}

fn close_if_stopping(mut response: Response<Body>, stopping: bool) -> Response<Body> {
    if stopping {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
