//! A caller's connection, which a stop closes without cutting off a request that has arrived, and
//! whose request ends when the caller closes it.
//!
//! hyper closes a connection on which no request head is complete, even if the head has begun or
//! lies unread in the socket. A daemon with little processor time has many such requests.
//!
//! hyper gets the bytes of one request at a time. What a caller sends ahead is read into a buffer, from
//! which a server may begin requests ([`SentAhead`]).

mod ahead;
mod head;
mod pipeline;
mod stream;

pub use ahead::{BegunRequest, BoxFuture, ReadAt, SentAhead};
pub use head::{HeadScanner, Parsed, parse as parse_head};
pub use pipeline::HeldAhead;
pub use stream::StreamEvent;

use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::rt::TokioIo;
use pipeline::{Call, Pipeline};
use socket2::SockRef;
use std::{
    error::Error,
    future::{Future, poll_fn},
    pin::pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    task::Poll,
    time::Duration,
};
use stream::{CallerStream, Progress};
use tokio::{io::Interest, net::TcpStream, sync::watch, time::sleep};

/// Time between two checks whether the caller of a request in flight has closed its connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a request ended without a response.
#[derive(Debug, thiserror::Error)]
enum ServiceError {
    /// The caller closed its connection.
    #[error("the caller closed its connection")]
    CallerGone,
    /// hyper read another request than the one that has begun.
    #[error("the request differs from the one that has begun")]
    Mismatch,
    /// The service failed.
    #[error(transparent)]
    Failed(Box<dyn Error + Send + Sync>),
}

/// Serves a connection until it ends. Once `closing` turns true, an idle connection is closed, and
/// another one after the response to the request that has begun to arrive. `service` must send that
/// response with `connection: close`.
///
/// # Errors
/// hyper's error if the connection fails.
pub async fn serve<S, B>(
    stream: impl Into<Arc<TcpStream>>,
    service: S,
    builder: &http1::Builder,
    closing: watch::Receiver<bool>,
) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    serve_observed(stream, service, builder, closing, |_| ()).await
}

/// Like [`serve`], and tells `observer` what happens on the stream.
///
/// # Errors
/// hyper's error if the connection fails.
pub async fn serve_observed<S, B, O>(
    stream: impl Into<Arc<TcpStream>>,
    service: S,
    builder: &http1::Builder,
    closing: watch::Receiver<bool>,
    observer: O,
) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    O: Fn(StreamEvent) + Unpin,
{
    serve_ahead(stream, service, None, builder, closing, observer).await
}

/// Like [`serve_observed`], and runs requests that were sent ahead as `ahead` says.
///
/// # Errors
/// hyper's error if the connection fails.
pub async fn serve_ahead<S, B, O>(
    stream: impl Into<Arc<TcpStream>>,
    service: S,
    ahead: Option<SentAhead<Response<B>>>,
    builder: &http1::Builder,
    mut closing: watch::Receiver<bool>,
    observer: O,
) -> hyper::Result<()>
where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    O: Fn(StreamEvent) + Unpin,
{
    let stream = stream.into();
    let ahead = ahead.map(Arc::new);
    let pipeline = Arc::new(Mutex::new(Pipeline::new(ahead.is_some())));
    let calls = Calls {
        socket: Arc::clone(&stream),
        pipeline: Arc::clone(&pipeline),
        ahead: ahead.clone(),
    };
    let service = service_fn(move |req| calls.call(&service, req));
    let progress = Arc::new(Progress::default());
    let io = CallerStream {
        stream,
        progress: Arc::clone(&progress),
        pipeline: Arc::clone(&pipeline),
        ahead,
        reported: HeldAhead::default(),
        unflushed: false,
        observer,
    };
    let mut connection = pin!(builder.serve_connection(TokioIo::new(io), service));
    let closed = async {
        // An error means that the sender was dropped, which is a stop as well.
        let _ = closing.wait_for(|&closing| closing).await;
    };
    tokio::select! {
        result = &mut connection => return result,
        () = closed => {}
    }
    progress.read_at_once.store(true, Ordering::Relaxed);
    let polled = poll_fn(|cx| Poll::Ready(connection.as_mut().poll(cx))).await;
    if let Poll::Ready(result) = polled {
        return result;
    }
    let has_unanswered =
        progress.unanswered.load(Ordering::Relaxed) || lock(&pipeline).has_unanswered();
    if !has_unanswered {
        connection.as_mut().graceful_shutdown();
    }
    connection.await
}

/// Serves hyper's calls of the service.
struct Calls<R> {
    socket: Arc<TcpStream>,
    pipeline: Arc<Mutex<Pipeline<R>>>,
    ahead: Option<Arc<SentAhead<R>>>,
}

impl<B: Send + 'static> Calls<Response<B>> {
    fn call<S>(
        &self,
        service: &S,
        mut req: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<B>, ServiceError>> + use<S, B>
    where
        S: Service<Request<Incoming>, Response = Response<B>>,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let ahead = self.ahead.clone();
        let call = lock(&self.pipeline).call(&mut req, ahead.as_deref());
        let serving = match call {
            Call::Arrived => Ok(Serving::Arrived(service.call(req))),
            Call::Begun(begun) => Ok(Serving::Begun(begun)),
            Call::Mismatch => Err(ServiceError::Mismatch),
        };
        let (pipeline, socket) = (Arc::clone(&self.pipeline), Arc::clone(&self.socket));
        async move {
            let serving = serving?;
            let deliver = ahead.as_deref().map(|ahead| &ahead.deliver);
            let response = async {
                match (serving, deliver) {
                    (Serving::Arrived(running), _) => {
                        running.await.map_err(|e| ServiceError::Failed(e.into()))
                    }
                    (Serving::Begun(begun), Some(deliver)) => Ok(deliver(begun).await),
                    (Serving::Begun(begun), None) => Ok(begun.await),
                }
            };
            let mut response = tokio::select! {
                biased;
                response = response => response?,
                () = closed_by_caller(&socket) => return Err(ServiceError::CallerGone),
            };
            let mut pipeline = lock(&pipeline);
            if let Some(ahead) = &ahead {
                pipeline.close_if_last(&mut response, ahead);
            }
            pipeline.answer();
            Ok(response)
        }
    }
}

/// A request that is being served.
enum Serving<F, R> {
    /// hyper read it before it began.
    Arrived(F),
    /// It began before hyper read it.
    Begun(BegunRequest<R>),
}

/// Locks the state of a connection, even if a task that panicked held the lock.
fn lock<R>(pipeline: &Mutex<Pipeline<R>>) -> MutexGuard<'_, Pipeline<R>> {
    pipeline.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the connection be reset when it is closed. The system would otherwise keep output that the
/// caller does not take.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(target: "request", error:% = e; "Caller connection cannot be reset.");
    }
}

/// Completes when the caller has closed the connection, whatever lies unread in the socket.
async fn closed_by_caller(stream: &TcpStream) {
    loop {
        sleep(CLOSE_CHECK_INTERVAL).await;
        let mut readiness = pin!(stream.ready(Interest::READABLE));
        let polled = poll_fn(|cx| Poll::Ready(readiness.as_mut().poll(cx))).await;
        if let Poll::Ready(Ok(ready)) = polled
            && ready.is_read_closed()
        {
            return;
        }
    }
}
