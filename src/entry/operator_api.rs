//! The operator port: HTTP with JSON for operators, health checks and metrics.
//!
//! `GET`: `/live`, `/ready`, `/metrics`, `/status`, `/config`, `/config/history?limit=&before=`,
//! `/presets`, `/targets`, `/assignment`, `/assignment/where?key=&service=`, `/explain/{ref}`.
//! `POST /config/changes` takes a [`crate::config::ChangeRequest`] and responds with a
//! [`crate::config::ChangeOutcome`].

mod routes;
mod views;

use crate::{
    entry::directory::Directory,
    operator::report::Readiness,
    peer::{PeerHandle, server::stopped},
    store::StoreClient,
    world::Link,
};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use std::{
    fmt, io,
    net::TcpListener,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    runtime::Builder,
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time limit for a client to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to finish requests at a stop; long enough for a change with an in-doubt write, which is
/// resolved within 5 s.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Explains a reference; the error says why it cannot be explained.
pub type ExplainFn = Arc<dyn Fn(&str) -> Result<Value, String> + Send + Sync>;

/// What the operator port needs from the rest of the daemon. The closures may block.
#[derive(Clone)]
pub struct OperatorContext {
    /// This daemon.
    pub link: Link,
    /// The daemon's view of VMs, configuration, tables and members.
    pub directory: Directory,
    /// The platform's store.
    pub store: StoreClient,
    /// The links to other daemons.
    pub peers: PeerHandle,
    /// Whether the daemon is ready to serve callers, with the reasons if it is not.
    pub readiness: Arc<dyn Fn() -> Readiness + Send + Sync>,
    /// Status of the groups for which the daemon is controller or standby, as JSON.
    pub groups_status: Arc<dyn Fn() -> Value + Send + Sync>,
    /// Explains the reference of a refused request.
    pub explain: ExplainFn,
    /// The metrics in text format.
    pub metrics_text: Arc<dyn Fn() -> String + Send + Sync>,
}

impl fmt::Debug for OperatorContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorContext")
            .field("link", &self.link)
            .finish_non_exhaustive()
    }
}

/// The running operator port.
#[derive(Debug)]
pub struct OperatorApi {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl OperatorApi {
    /// Starts the thread that serves `listener`.
    ///
    /// # Errors
    /// If the listener or the runtime cannot be set up.
    pub fn start(listener: TcpListener, context: OperatorContext) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("operator".into())
            .spawn(move || runtime.block_on(run(listener, Arc::new(context), stopped)))?;
        Ok(Self { stop, thread })
    }

    /// Finishes the requests in progress, then ends the thread.
    pub fn stop(self) {
        self.stop.send_replace(true);
        if self.thread.join().is_err() {
            log::error!(target: "operator", "The operator thread panicked.");
        }
    }
}

async fn run(
    listener: TcpListener,
    context: Arc<OperatorContext>,
    mut stop: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => {
            log::error!(target: "operator", error:% = e; "Cannot use the listener; the operator port is not served.");
            return;
        }
    };
    let connection_stop = stop.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stopped(&mut stop) => break,
            accepted = listener.accept() => match accepted {
                Ok((io, _)) => {
                    connections.spawn(serve(io, Arc::clone(&context), connection_stop.clone()));
                }
                Err(e) => {
                    log::warn!(target: "operator", error:% = e; "Cannot accept a connection.");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
    let finish = async { while connections.join_next().await.is_some() {} };
    if timeout(STOP_TIMEOUT, finish).await.is_err() {
        log::warn!(target: "operator", "Stop time limit reached with operator requests still open.");
    }
}

async fn serve(io: TcpStream, context: Arc<OperatorContext>, mut stop: watch::Receiver<bool>) {
    let service = service_fn(move |req| routes::handle(Arc::clone(&context), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(e) = result {
        log::debug!(target: "operator", error:% = e; "Operator connection failed.");
    }
}
