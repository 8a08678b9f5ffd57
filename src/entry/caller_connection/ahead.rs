//! Requests that begin before hyper reads them.

use http::{HeaderMap, Request, Uri};
use std::{
    fmt,
    future::Future,
    panic::resume_unwind,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};
use tokio::task::JoinHandle;

/// A future that can be moved between threads.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Whether requests may run beside the one with this target and these headers.
type IsIdempotent = dyn Fn(&Uri, &HeaderMap) -> bool + Send + Sync;
/// Begins a request while this many begun ones are unanswered; `None` if it has to wait.
type Begin<R> = dyn Fn(Request<()>, usize) -> Option<BoxFuture<R>> + Send + Sync;
/// Waits for the response to a begun request, all before which have been answered.
type Deliver<R> = dyn Fn(BegunRequest<R>) -> BoxFuture<R> + Send + Sync;
/// Whether responses close the connection from now on.
type Closes = dyn Fn() -> bool + Send + Sync;

/// How a server runs requests that were sent ahead. `R` is its response.
pub struct SentAhead<R> {
    /// Whether requests may run beside the one with this target and these headers, which has no body.
    pub is_idempotent: Box<IsIdempotent>,
    /// Begins a request while this many begun ones are unanswered; `None` if it has to wait.
    pub begin: Box<Begin<R>>,
    /// Waits for the response to a begun request, all before which have been answered.
    pub deliver: Box<Deliver<R>>,
    /// Whether responses close the connection from now on. The header is added to the last response
    /// whose request has begun.
    pub closes: Box<Closes>,
}

impl<R> fmt::Debug for SentAhead<R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SentAhead").finish_non_exhaustive()
    }
}

/// When the head of a request was complete. An extension of requests that hyper read later than that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadAt(pub Instant);

/// The task of a request that has begun; dropping it cancels the request.
#[derive(Debug)]
pub struct BegunRequest<R>(JoinHandle<R>);

impl<R: Send + 'static> BegunRequest<R> {
    /// Begins a request.
    pub(super) fn spawn(running: BoxFuture<R>) -> Self {
        Self(tokio::spawn(running))
    }
}

impl<R> Future for BegunRequest<R> {
    type Output = R;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<R> {
        match ready!(Pin::new(&mut self.0).poll(cx)) {
            Ok(response) => Poll::Ready(response),
            Err(e) => match e.try_into_panic() {
                Ok(panic) => resume_unwind(panic),
                // Only dropping this or the runtime cancels the task.
                Err(_) => Poll::Pending,
            },
        }
    }
}

impl<R> Drop for BegunRequest<R> {
    fn drop(&mut self) {
        self.0.abort();
    }
}
