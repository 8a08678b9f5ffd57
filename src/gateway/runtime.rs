//! Starts the threads of a daemon on a platform, and stops them in order.

use super::{
    budget::BudgetRule,
    control::{self, ControlContext, IncomingReport, Shutdown},
    controller::Controller,
    forward::Forwarder,
    platform::Platform,
    server,
    status::Status,
    view::ViewBuilder,
};
use crate::{
    clock::{Clock, Millis},
    entry::metrics::Metrics,
    peer::{
        message::{DaemonReport, PeerReply, PeerRequest},
        server::{self as peer_server, BoxFuture, Handler},
    },
    world::{Incarnation, VmName, ZoneName},
};
use arc_swap::ArcSwap;
use eyre::WrapErr;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::{Semaphore, mpsc, oneshot, watch},
    time::sleep,
};

/// Reports of other daemons that may wait for the control thread.
const REPORT_RING: usize = 64;
/// Time for a check of the status address to send its head.
const STATUS_HEAD_TIME: Duration = Duration::from_secs(5);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Daemons that are assumed to share the retry budgets until a controller tells their number.
const UNKNOWN_DAEMONS: usize = 100;
/// Share of the process's memory that bodies of requests may take.
const BODY_MEMORY_SHARE: u64 = 4;
/// Longest random delay of a takeover, in milliseconds.
const MAX_JITTER_MS: u64 = 200;
/// Further delay for each core that the process lacks to half a core, in milliseconds. The
/// controller serves all daemons, which a machine with little processor time does late.
const JITTER_PER_CORE_MS: f64 = 600.0;
/// Cores from which there is no further delay.
const ENOUGH_CORES: f64 = 0.5;

/// What a daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of this daemon.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that serves callers.
    pub caller_addr: SocketAddr,
    /// Address of the readiness check and metrics.
    pub status_addr: SocketAddr,
    /// Address that serves other daemons.
    pub peer_addr: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: Arc<str>,
    /// The retry budget.
    pub budget: BudgetRule,
    /// Time for which an endpoint goes on serving after the store has acknowledged that it leaves.
    pub drain_time: Millis,
    /// Processor time that the process may take, in cores.
    pub cores: f64,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Longest time from a stop signal to the end of the process.
    pub stop_limit: Duration,
}

/// Runs the daemon until `stop` turns true, then stops it gracefully.
///
/// # Errors
/// If a listener cannot be bound or a thread cannot be started.
pub fn run<P: Platform>(
    options: &Options,
    platform: P,
    stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let clock = Clock::start();
    let view = Arc::new(ArcSwap::default());
    let (changed, changes) = watch::channel(0);
    let daemons = Arc::new(AtomicUsize::new(UNKNOWN_DAEMONS));
    let control = ControlContext {
        name: options.name.clone(),
        incarnation: Incarnation::random(),
        peer_addr: options.peer_addr,
        clock,
        view: Arc::clone(&view),
        changed,
        daemons: Arc::clone(&daemons),
        drain_time: options.drain_time,
    };
    let names = platform.header_names().clone();
    let (drained_tx, drained) = watch::channel(false);
    let shutdown = Shutdown {
        stop: stop.clone(),
        drained,
    };
    let control = start_control(options, control, platform, shutdown)?;

    let metrics = Metrics::default();
    let stopping = Arc::new(AtomicBool::new(false));
    let status = Status {
        ready_path: Arc::clone(&options.ready_path),
        view: Arc::clone(&view),
        metrics: metrics.clone(),
        stopping: Arc::clone(&stopping),
        daemons: Arc::clone(&daemons),
        clock,
    };
    let units = (options.memory_bytes / BODY_MEMORY_SHARE / 1024) as usize;
    let forwarder = Forwarder {
        view,
        changed: changes,
        names,
        clock,
        daemons,
        metrics,
        body_memory: Arc::new(Semaphore::new(units.min(Semaphore::MAX_PERMITS))),
    };
    let runtime = current_thread()?;
    let ended = runtime.block_on(serve(options, forwarder, status, stopping, stop));
    drained_tx.send_replace(true);
    if control.join().is_err() {
        log::error!(target: "entry", "The control thread panicked.");
    }
    log::info!(target: "entry", uptime:% = clock.now().since(Millis::ZERO); "Stopped.");
    ended
}

fn current_thread() -> eyre::Result<Runtime> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

async fn serve(
    options: &Options,
    forwarder: Forwarder,
    status: Status,
    stopping: Arc<AtomicBool>,
    mut stop: watch::Receiver<bool>,
) -> eyre::Result<()> {
    let callers = bind(options.caller_addr).await?;
    let checks = bind(options.status_addr).await?;
    tokio::spawn(serve_status(status, checks));
    log::info!(
        target: "entry", name:% = options.name, zone:% = options.zone,
        callers:% = options.caller_addr, status:% = options.status_addr,
        peers:% = options.peer_addr;
        "Started."
    );
    let mut noted = stop.clone();
    tokio::spawn(async move {
        // An error means that the main thread is gone, which is a stop as well.
        let _ = noted.wait_for(|stop| *stop).await;
        stopping.store(true, Ordering::Relaxed);
    });
    server::serve(forwarder, callers, stop.clone(), options.stop_limit).await;
    // The status address answers until the end, which the balancer takes as "not ready".
    let _ = stop.wait_for(|stop| *stop).await;
    Ok(())
}

async fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("address {addr} cannot be used"))
}

async fn serve_status(status: Status, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(target: "entry", error:% = e; "Check not accepted.");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let status = status.clone();
        let service = service_fn(move |req| {
            let answer = status.respond(&req);
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(STATUS_HEAD_TIME)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(target: "entry", error:% = e; "Check ended.");
            }
        });
    }
}

/// Starts the thread that follows the store and decides about ownership.
fn start_control<P: Platform>(
    options: &Options,
    cx: ControlContext,
    platform: P,
    shutdown: Shutdown,
) -> eyre::Result<JoinHandle<()>> {
    let builder = ViewBuilder::new(options.zone.clone(), options.budget, options.drain_time);
    let controller = Controller::new(
        options.name.clone(),
        cx.incarnation,
        options.peer_addr,
        platform.max_lease(),
        takeover_delay(options.cores),
    );
    let runtime = current_thread()?;
    let listener = runtime.block_on(bind(options.peer_addr))?;
    let thread = thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(async move {
                let (tx, reports) = mpsc::channel(REPORT_RING);
                let handler = peer_handler(tx, platform.clone());
                tokio::spawn(peer_server::serve(listener, handler, shutdown.stop.clone()));
                control::run(cx, platform, builder, controller, reports, shutdown).await;
            });
        })?;
    Ok(thread)
}

/// Delay of a takeover, so that daemons rarely race and those with processor time come first.
fn takeover_delay(cores: f64) -> Millis {
    let lacking = (ENOUGH_CORES - cores).clamp(0.0, ENOUGH_CORES);
    let delay = (lacking * JITTER_PER_CORE_MS) as u64;
    Millis(delay + rand::random_range(0..=MAX_JITTER_MS))
}

/// Answers other daemons.
fn peer_handler<P: Platform>(
    tx: mpsc::Sender<IncomingReport>,
    platform: P,
) -> Handler<PeerRequest, PeerReply> {
    Arc::new(move |request| -> BoxFuture<PeerReply> {
        let (tx, platform) = (tx.clone(), platform.clone());
        Box::pin(async move {
            match request {
                PeerRequest::Report(report) => hand_over(&tx, report).await,
                PeerRequest::Probe(addr) => PeerReply::Probe(platform.probe(addr).await),
                _ => PeerReply::Error("this daemon keeps ranges, not partitions".into()),
            }
        })
    })
}

/// Hands a report to the control thread and waits for its answer.
async fn hand_over(tx: &mpsc::Sender<IncomingReport>, report: DaemonReport) -> PeerReply {
    let (reply, answer) = oneshot::channel();
    if tx.try_send((report, reply)).is_err() {
        return PeerReply::Error("the daemon is busy or stopping".into());
    }
    match answer.await {
        Ok(answer) => PeerReply::Report(answer),
        Err(_) => PeerReply::Error("the daemon is stopping".into()),
    }
}
