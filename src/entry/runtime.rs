//! Starts the daemon's threads, joins them and stops them in order.

use super::{
    http::{self, ShutdownOutcome},
    operator_api::OperatorApi,
    settings::Settings,
    wiring::Wiring,
};
use crate::{
    ownership::driver::DriverHandle,
    peer::service::PeerService,
    routing::{path::RequestPathContext, targets::Policies},
    world::{Incarnation, Link},
};
use eyre::WrapErr;
use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::Ordering,
    thread::JoinHandle,
    time::Duration,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Time limit at a stop for handing over controlled groups, and likewise for targets that have this
/// daemon as their front daemon.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the daemon until SIGTERM or SIGINT, then stops it gracefully.
///
/// # Errors
/// If a listener cannot be bound, a thread cannot be started, or requests were still in flight at
/// the stop time limit.
pub fn run_until_signal(settings: Settings) -> eyre::Result<()> {
    run_with(settings, Policies::default())
}

/// Like [`run_until_signal`], with `policies` in place of the default ones, to measure alternatives.
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
    wiring: Wiring,
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
    driver: DriverHandle,
    peers: PeerService,
    operator_api: OperatorApi,
    stop_caller_server: watch::Sender<bool>,
    caller_server: JoinHandle<ShutdownOutcome>,
}

impl Daemon {
    /// Binds the listeners and starts all threads. For port 0, the system chooses a port.
    ///
    /// # Errors
    /// If a listener cannot be bound or a thread cannot be started.
    pub fn start(settings: Settings) -> eyre::Result<Self> {
        Self::start_with(settings, Policies::default())
    }

    /// Like [`Self::start`], with `policies` in place of the default ones, to measure alternatives.
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

        let wiring = Wiring::new(settings, link)?;
        let driver = wiring.start_driver();
        let peers = PeerService::start(peer_listener, wiring.peer_context(&driver))?;
        wiring.attach_peers(&peers.handle());
        let operator_api = OperatorApi::start(
            operator_listener,
            wiring.operator_context(&driver, &peers.handle()),
        )?;

        let (stop_caller_server, stop) = watch::channel(false);
        let cx = RequestPathContext {
            link: wiring.link.clone(),
            clock: wiring.clock,
            directory: wiring.directory.clone(),
            store: wiring.store_client(),
            workers: wiring.settings.workers.into(),
            stop_timeout: Duration::from_millis(wiring.settings.stop_timeout_ms),
            metrics: wiring.metrics.clone(),
            recent: wiring.recent_refusals.clone(),
        };
        let fronts = wiring.fronts.clone();
        let caller_server = http::serve_with_fronts(cx, policies, fronts, caller_listener, stop)?;
        Ok(Self {
            wiring,
            caller_addr,
            operator_addr,
            driver,
            peers,
            operator_api,
            stop_caller_server,
            caller_server,
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

    /// The daemon's name, zone, incarnation and peer address.
    pub fn link(&self) -> &Link {
        &self.wiring.link
    }

    /// Whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        self.wiring.directory.snapshot().load().is_ready()
    }

    /// Hands over controlled groups, finishes the requests in flight and ends all threads.
    ///
    /// # Errors
    /// If requests were still in flight at the stop time limit, or the request path panicked.
    pub fn stop(self) -> eyre::Result<()> {
        self.wiring.stopping.store(true, Ordering::Relaxed);
        if !self.driver.release(RELEASE_TIMEOUT) {
            log::warn!(target: "entry", "Some groups were not handed over; their leases will expire.");
        }
        if !self.wiring.fronts.wait_for_release(RELEASE_TIMEOUT) {
            log::warn!(target: "entry", "Some targets were not handed over to another front daemon.");
        }
        self.stop_caller_server.send_replace(true);
        let stopped = self
            .caller_server
            .join()
            .map_err(|_| eyre::eyre!("the request path panicked"))?;
        self.operator_api.stop();
        self.peers.stop();
        log::info!(target: "entry", "Stopped.");
        match stopped {
            ShutdownOutcome::Complete => Ok(()),
            ShutdownOutcome::TimedOut => Err(eyre::eyre!(
                "requests were still in flight at the stop time limit"
            )),
        }
    }
}

fn bind(flag: &str, addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).wrap_err_with(|| format!("{flag} {addr} cannot be used"))
}
