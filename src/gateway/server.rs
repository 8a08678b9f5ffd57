//! Accepts connections of callers, and stops without cutting off a request.

use super::{forward::Forwarder, model::CallerLimits};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time after a stop for which connections are still accepted: the balancer needs two checks, one
/// a second, to send callers elsewhere.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);
/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Most headers of a request that are parsed.
const MAX_HEADERS: usize = 256;

/// Serves callers until `stop` turns true and the requests in flight have ended, or `stop_limit`
/// has passed since then.
pub async fn serve(
    forwarder: Forwarder,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    stop_limit: Duration,
) {
    let server = Server {
        forwarder,
        stopping: Arc::default(),
        graceful: GracefulShutdown::new(),
    };
    tokio::select! {
        () = server.accept_all(&listener) => {}
        // An error means that the main thread is gone, which is a stop as well.
        _ = stop.wait_for(|stop| *stop) => {}
    }
    server.stopping.store(true, Ordering::Relaxed);
    log::info!(target: "request", connections = server.graceful.count(); "Stopping.");
    // The time limit ends the accepting; there is no other end.
    let _ = timeout(ROTATION_TIME.min(stop_limit), server.accept_all(&listener)).await;
    // Connections that wait in the backlog would be reset when the listener closes.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        server.spawn(stream);
    }
    drop(listener);
    let left = stop_limit.saturating_sub(ROTATION_TIME);
    if timeout(left, server.graceful.shutdown()).await.is_err() {
        log::warn!(target: "request", "Stopped with requests in flight.");
    }
}

#[derive(Debug)]
struct Server {
    forwarder: Forwarder,
    stopping: Arc<AtomicBool>,
    graceful: GracefulShutdown,
}

impl Server {
    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(stream),
                Err(e) => {
                    log::warn!(target: "request", error:% = e; "Connection not accepted.");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!(target: "request", error:% = e; "Caller is gone already.");
            return;
        }
        let limits = self.forwarder.view.load().limits;
        let (forwarder, stopping) = (self.forwarder.clone(), Arc::clone(&self.stopping));
        let service = service_fn(move |req: Request<Incoming>| {
            let (forwarder, stopping) = (forwarder.clone(), Arc::clone(&stopping));
            async move {
                let answer = forwarder.handle(req).await;
                Ok::<_, Infallible>(closing(answer, stopping.load(Ordering::Relaxed)))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_time(&limits))
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(stream), service);
        let watched = self.graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = watched.await {
                log::debug!(target: "request", error:% = e; "Caller connection ended.");
            }
        });
    }
}

/// Time to wait for a head. It covers the idle time before the head as well, with a margin for
/// callers that send at its very end.
fn head_time(limits: &CallerLimits) -> Duration {
    let idle: Duration = limits.idle_timeout.into();
    idle.max(limits.header_timeout.into()) + Duration::from_secs(1)
}

fn closing(mut answer: Response<Full<Bytes>>, stopping: bool) -> Response<Full<Bytes>> {
    if stopping {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}
