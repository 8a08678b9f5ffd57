//! Starts the daemon's threads, joins them and stops them in order.

use super::{
    directory::Directory,
    http::{self, Stopped},
    metrics::Metrics,
    settings::Settings,
};
use crate::{
    clock::Clock,
    http_client::HttpClient,
    ownership::driver::{self, DriverContext, DriverHandle, GrantReplyFn, HoldReplyFn},
    peer::{
        message::{ForwardReply, HoldReply, HoldRequest, PeerReply, PeerRequest},
        service::{PeerContext, PeerHandle, PeerService},
    },
    routing::{path::RequestPathContext, refusal::RecentRefusals, targets::Policies},
    store::StoreClient,
    target_api::{GrantReply, GrantRequest},
    world::{Incarnation, Link},
};
use eyre::WrapErr;
use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Longest time to hand over controlled groups at a stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a standby to answer a hold request; a later answer is of no use, since the controller's
/// own lease ends.
const HOLD_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for a front daemon to answer a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
/// If a listener cannot be bound, a thread cannot be started, or requests were cut off at the stop.
pub fn run_until_signal(settings: Settings) -> eyre::Result<()> {
    run_with(settings, Policies::default())
}

/// Like [`run_until_signal`], with policies that are to be measured against the usual ones.
///
/// # Errors
/// As [`run_until_signal`].
pub fn run_with(settings: Settings, policies: Policies) -> eyre::Result<()> {
    let daemon = Daemon::start_with(settings, policies)?;
    wait_for_signal()?;
    daemon.stop()
}

fn wait_for_signal() -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        log::info!(target: "entry", signal = name; "Stop requested.");
        Ok(())
    })
}

/// A running daemon.
pub struct Daemon {
    link: Link,
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
    directory: Directory,
    stopping: Arc<AtomicBool>,
    driver: DriverHandle,
    peers: PeerService,
    stop_callers: watch::Sender<bool>,
    callers: JoinHandle<Stopped>,
}

impl Daemon {
    /// Binds the listeners and starts all threads. Ports given as 0 are chosen by the system.
    ///
    /// # Errors
    /// If a listener cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> eyre::Result<Self> {
        Self::start_with(settings, Policies::default())
    }

    /// Like [`Self::start`], with policies that are to be measured against the usual ones.
    ///
    /// # Errors
    /// If a listener cannot be bound or a thread cannot be started.
    pub fn start_with(settings: Settings, policies: Policies) -> eyre::Result<Self> {
        let caller_listener = bind("--caller-addr", settings.caller_addr)?;
        let peer_listener = bind("--peer-addr", settings.peer_addr)?;
        let operator_listener = bind("--operator-addr", settings.operator_addr)?;
        let link = Link {
            name: settings.name.clone(),
            incarnation: Incarnation::random(),
            zone: settings.zone.clone(),
            peer_addr: peer_listener.local_addr()?,
        };
        let caller_addr = caller_listener.local_addr()?;
        let operator_addr = operator_listener.local_addr()?;
        log::info!(
            target: "entry", name:% = link.name, zone:% = link.zone, callers:% = caller_addr,
            peers:% = link.peer_addr, operators:% = operator_addr;
            "Starting."
        );

        let clock = Clock::start();
        let directory = Directory::start();
        let stopping = Arc::new(AtomicBool::new(false));
        // The driver sends through the peer thread, which is started after it.
        let peer_handle: Arc<OnceLock<PeerHandle>> = Arc::default();
        let driver = start_driver(&settings, &link, clock, &directory, &peer_handle);
        let peers = PeerService::start(
            peer_listener,
            peer_context(&settings, &link, clock, &directory, &driver, &stopping),
        )?;
        peer_handle.get_or_init(|| peers.handle());

        let (stop_callers, stop) = watch::channel(false);
        let cx = RequestPathContext {
            link: link.clone(),
            clock,
            directory: directory.clone(),
            store: store_client(&settings),
            workers: settings.workers.into(),
            stop_timeout: Duration::from_millis(settings.stop_timeout_ms),
            metrics: Metrics::new(settings.statsd_addr)?,
            recent: RecentRefusals::default(),
        };
        let callers = http::serve_with(cx, policies, caller_listener, stop)?;
        Ok(Self {
            link,
            caller_addr,
            operator_addr,
            directory,
            stopping,
            driver,
            peers,
            stop_callers,
            callers,
        })
    }

    /// The address that serves callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// The address that serves operators.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// The address that serves other daemons, with the daemon's name and run.
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        self.directory.snapshot().load().is_ready()
    }

    /// Hands over controlled groups, finishes the requests in flight and ends all threads.
    ///
    /// # Errors
    /// If requests were cut off at the time limit.
    pub fn stop(self) -> eyre::Result<()> {
        self.stopping.store(true, Ordering::Relaxed);
        if !self.driver.release(RELEASE_TIMEOUT) {
            log::warn!(target: "entry", "Not all groups were handed over; their leases will end.");
        }
        self.stop_callers.send_replace(true);
        let stopped = self
            .callers
            .join()
            .map_err(|_| eyre::eyre!("the request path panicked"))?;
        self.peers.stop();
        log::info!(target: "entry", "Stopped.");
        match stopped {
            Stopped::Complete => Ok(()),
            Stopped::TimedOut => Err(eyre::eyre!(
                "requests were still in flight at the stop time limit"
            )),
        }
    }
}

fn bind(flag: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).wrap_err_with(|| format!("{flag} {addr} cannot be used"))
}

/// Creates a client for one thread: its connections belong to the runtime that opens them.
fn store_client(settings: &Settings) -> StoreClient {
    StoreClient::new(
        settings.platform_addr,
        Duration::from_millis(settings.store_timeout_ms),
    )
}

fn start_driver(
    settings: &Settings,
    link: &Link,
    clock: Clock,
    directory: &Directory,
    peers: &Arc<OnceLock<PeerHandle>>,
) -> DriverHandle {
    let (hold_peers, grant_peers) = (Arc::clone(peers), Arc::clone(peers));
    driver::spawn(DriverContext {
        link: link.clone(),
        clock,
        store: store_client(settings),
        http: HttpClient::new(),
        directory: directory.clone(),
        send_hold: Arc::new(move |to, req, reply: HoldReplyFn| {
            let on_reply = Box::new(move |result| {
                if let Ok(PeerReply::Hold(answer)) = result {
                    reply(answer);
                }
            });
            if let Some(peers) = hold_peers.get() {
                peers.post(to, PeerRequest::Hold(req), HOLD_TIMEOUT, on_reply);
            }
        }),
        send_grant: Arc::new(move |to, target, grant, reply: GrantReplyFn| {
            let Some(peers) = grant_peers.get() else {
                return reply(None);
            };
            let on_reply = Box::new(move |result| match result {
                Ok(PeerReply::Grant(answer)) => reply(Some(answer)),
                _ => reply(None),
            });
            peers.post(
                to,
                PeerRequest::Grant { target, grant },
                GRANT_TIMEOUT,
                on_reply,
            );
        }),
    })
}

fn peer_context(
    settings: &Settings,
    link: &Link,
    clock: Clock,
    directory: &Directory,
    driver: &DriverHandle,
    stopping: &Arc<AtomicBool>,
) -> PeerContext {
    let snapshot = Arc::clone(directory.snapshot());
    let (hold_driver, controls_driver) = (driver.clone(), driver.clone());
    let is_stopping = Arc::clone(stopping);
    let incarnation = link.incarnation;
    PeerContext {
        link: link.clone(),
        clock,
        directory: directory.clone(),
        store: store_client(settings),
        controls: Arc::new(move || controls_driver.controls()),
        ready: Arc::new(move || snapshot.load().is_ready()),
        stopping: Arc::new(move || is_stopping.load(Ordering::Relaxed)),
        answer_hold: Arc::new(move |req| {
            let driver = hold_driver.clone();
            Box::pin(async move { answer_hold(driver, req).await })
        }),
        take_grant: Arc::new(move |(_, req)| Box::pin(async move { no_front(incarnation, &req) })),
        forward: Arc::new(|_| {
            Box::pin(async { ForwardReply::NotRun("This daemon is no front daemon.".into()) })
        }),
    }
}

/// The driver answers from its own thread, so the wait must not block the peer thread.
async fn answer_hold(driver: DriverHandle, req: HoldRequest) -> HoldReply {
    let refused = HoldReply {
        group: req.group.clone(),
        controller_epoch: req.controller_epoch,
        standby: req.standby,
        acknowledged: false,
    };
    tokio::task::spawn_blocking(move || driver.answer_hold(req))
        .await
        .unwrap_or(refused)
}

/// Refuses a grant for a target that this daemon is not the front of.
fn no_front(incarnation: Incarnation, req: &GrantRequest) -> GrantReply {
    GrantReply {
        accepted: false,
        incarnation,
        reading: 0,
        controller_epoch: req.controller_epoch,
        sequence: req.sequence,
        set_id: None,
        lease_left_ms: 0,
        draining: Vec::new(),
        leaving: false,
        heat: Vec::new(),
    }
}
