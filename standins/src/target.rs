//! Stand-in for a target: an endpoint with slots, a lease, and controls to make it misbehave.
//!
//! Besides requests it serves grants and health as in [`fireflygauge::target_api`], and
//! `POST /fireflygauge/control` takes [`Control`], which replaces the one in force.
//!
//! The response to a request is a [`TargetAnswer`]. The request headers `x-work-ms` and `x-answer-bytes`
//! set its service time and pad its response.

pub mod control;
pub mod history;
pub mod slots;
mod work;

pub use control::{Control, EchoFault};
pub use history::{Execution, TargetResponse, read_history};
pub use work::{ANSWER_BYTES, TOKEN, WORK_MS};

use crate::server::{self, Reply, json, text};
use fireflygauge::{
    clock::{Clock, Millis},
    ownership::lease::LeaseHolder,
    target_api::{GRANTS_PATH, GrantRequest, HEALTH_PATH, HealthReport},
    world::{Incarnation, ServiceName, Vm, VmName, VmRole, VmState, ZoneName},
};
use history::History;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use slots::Slots;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::task::JoinHandle;

/// Path that takes a [`Control`] by POST and answers GET with the one in force.
pub const CONTROL_PATH: &str = "/fireflygauge/control";

/// How a target is set up.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to serve; port 0 chooses a free port.
    pub addr: SocketAddr,
    /// Name of its VM.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// The service that it is an endpoint of.
    pub service: ServiceName,
    /// Whether requests need a lease on their partition.
    pub checks_grants: bool,
    /// Requests that run concurrently.
    pub slots: usize,
    /// Requests that may wait for a slot; more are shed.
    pub queue: usize,
    /// Connections accepted at once.
    pub connections: usize,
    /// Time after its start during which it refuses requests as cold, in milliseconds.
    pub cold_ms: u64,
    /// Time after that during which requests take twice as long, in milliseconds.
    pub warm_ms: u64,
    /// File that every execution is appended to.
    pub history: Option<PathBuf>,
    /// Controls in force from the start.
    pub control: Control,
}

impl TargetOptions {
    /// A target of `service` with 4 slots and 100 connections on a free loopback port.
    pub fn new(name: &str, zone: &str, service: &str, checks_grants: bool) -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.into(),
            zone: ZoneName(zone.into()),
            service: service.into(),
            checks_grants,
            slots: 4,
            queue: 0,
            connections: 100,
            cold_ms: 0,
            warm_ms: 0,
            history: None,
            control: Control::default(),
        }
    }

    /// The VM under which a target with these options, reached at `addr`, is listed.
    pub fn vm(&self, addr: SocketAddr) -> Vm {
        Vm {
            name: self.name.clone(),
            zone: self.zone.clone(),
            addr,
            state: VmState::Live,
            role: VmRole::Target {
                service: self.service.clone(),
            },
        }
    }
}

#[derive(Debug)]
struct State {
    lease: LeaseHolder,
    /// How often the lease had expired when a grant arrived.
    expirations: u64,
    control: Control,
    history: History,
}

#[derive(Debug)]
struct Shared {
    options: TargetOptions,
    incarnation: Incarnation,
    clock: Clock,
    slots: Arc<Slots>,
    state: Mutex<State>,
}

/// A running target; it stops, without finishing its requests, when dropped.
#[derive(Debug)]
pub struct StandinTarget {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StandinTarget {
    /// Starts a target.
    ///
    /// # Errors
    /// The system's error if the address cannot be bound or the history cannot be opened.
    pub async fn start(options: TargetOptions) -> io::Result<Self> {
        let (listener, addr) = server::bind(options.addr).await?;
        let incarnation = Incarnation::random();
        let clock = Clock::start();
        let state = State {
            lease: LeaseHolder::new(incarnation),
            expirations: 0,
            control: options.control.clone(),
            history: History::open(options.history.as_deref())?,
        };
        let connections = options.connections;
        let shared = Arc::new(Shared {
            slots: Arc::new(Slots::new(options.slots, options.queue)),
            options,
            incarnation,
            clock,
            state: Mutex::new(state),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |req| handle(Arc::clone(&shared), req)
        };
        let task = tokio::spawn(server::serve(listener, connections, handler));
        Ok(Self { addr, shared, task })
    }

    /// The address that it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The VM under which it is listed, reached directly.
    pub fn vm(&self) -> Vm {
        self.shared.options.vm(self.addr)
    }

    /// Replaces the controls in force.
    pub fn set_control(&self, control: Control) {
        self.shared.set_control(control);
    }

    /// The executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.lock().history.executions.clone()
    }
}

impl Drop for StandinTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn set_control(&self, control: Control) {
        let mut state = self.lock();
        state.lease.set_leaving(control.leaving);
        state.control = control;
    }

    fn is_cold(&self) -> bool {
        self.clock.now() < Millis(self.options.cold_ms)
    }

    fn is_warming(&self) -> bool {
        self.clock.now() < Millis(self.options.cold_ms + self.options.warm_ms)
    }

    fn health(&self) -> HealthReport {
        let control = self.lock().control.clone();
        let in_flight = self.slots.taken();
        let load = in_flight as f64 / self.options.slots.max(1) as f64;
        HealthReport {
            incarnation: self.incarnation,
            healthy: control.healthy.unwrap_or(true),
            leaving: control.leaving,
            cold: control.cold.unwrap_or_else(|| self.is_warming()),
            in_flight: in_flight as u32,
            load: control.load.unwrap_or(load),
            note: "".into(),
        }
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    match (req.method(), req.uri().path()) {
        (&Method::POST, GRANTS_PATH) if shared.options.checks_grants => grant(&shared, req).await,
        (_, GRANTS_PATH) => text(StatusCode::NOT_FOUND, "this target does not check grants"),
        (&Method::GET, HEALTH_PATH) => json(StatusCode::OK, &shared.health()),
        (&Method::GET, CONTROL_PATH) => json(StatusCode::OK, &shared.lock().control),
        (&Method::POST, CONTROL_PATH) => {
            server::with_json(req.into_body(), |control| {
                shared.set_control(control);
                text(StatusCode::OK, "")
            })
            .await
        }
        _ => work::serve(shared, req).await,
    }
}

async fn grant(shared: &Shared, req: Request<Incoming>) -> Reply {
    server::with_json(req.into_body(), |grant: GrantRequest| {
        let mut state = shared.lock();
        // Read under the lock, so that clock readings never go back.
        let now = shared.clock.now();
        if state.lease.lease_left(now) == Millis::ZERO {
            state.expirations += 1;
        }
        json(StatusCode::OK, &state.lease.grant(&grant, now))
    })
    .await
}
