//! Creates the contexts that connect the daemon's components to each other.

use super::{
    directory::Directory, explain::explain, metrics::Metrics, operator_api::OperatorContext,
    settings::Settings,
};
use crate::{
    clock::Clock,
    http_client::HttpClient,
    operator::report::Readiness,
    ownership::driver::{self, DriverContext, DriverHandle, GrantReplyFn, HoldReplyFn},
    peer::{
        message::{PeerReply, PeerRequest},
        service::{PeerContext, PeerHandle},
    },
    routing::{front::Fronts, refusal::RecentRefusals},
    store::StoreClient,
    world::Link,
};
use serde::Serialize;
use serde_json::Value;
use std::{
    io,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Time limit for a standby's reply to a hold request; a later reply is useless, since the
/// controller's own lease expires.
const HOLD_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a front daemon's reply to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(250);

/// State that several components of one daemon share.
#[derive(Clone, Debug)]
pub(super) struct Wiring {
    pub settings: Settings,
    pub link: Link,
    pub clock: Clock,
    pub directory: Directory,
    pub stopping: Arc<AtomicBool>,
    /// Handle to the peer links; set once they are up, since components that send through them start
    /// earlier.
    pub peers: Arc<OnceLock<PeerHandle>>,
    pub fronts: Fronts,
    pub metrics: Metrics,
    pub recent_refusals: RecentRefusals,
}

impl Wiring {
    pub fn new(settings: Settings, link: Link) -> io::Result<Self> {
        let clock = Clock::start();
        Ok(Self {
            metrics: Metrics::new(settings.statsd_addr)?,
            recent_refusals: RecentRefusals::default(),
            fronts: Fronts::new(link.clone(), clock),
            settings,
            link,
            clock,
            directory: Directory::start(),
            stopping: Arc::default(),
            peers: Arc::default(),
        })
    }

    /// Lets components that were started before the peer links send through them.
    pub fn attach_peers(&self, peers: &PeerHandle) {
        self.peers.get_or_init(|| peers.clone());
        let peers = peers.clone();
        self.fronts.set_forwarder(Box::new(move |to, req, limit| {
            let peers = peers.clone();
            Box::pin(async move { peers.send(to, PeerRequest::Forward(req), limit).await })
        }));
    }

    /// Creates a client for one thread, since connections are bound to the runtime that opens them.
    pub fn store_client(&self) -> StoreClient {
        let timeout = Duration::from_millis(self.settings.store_timeout_ms);
        StoreClient::new(self.settings.platform_addr, timeout)
    }

    pub fn start_driver(&self) -> DriverHandle {
        let (hold_peers, grant_peers) = (Arc::clone(&self.peers), Arc::clone(&self.peers));
        driver::spawn(DriverContext {
            link: self.link.clone(),
            clock: self.clock,
            store: self.store_client(),
            http: HttpClient::new(),
            directory: self.directory.clone(),
            send_hold: Arc::new(move |to, req, reply: HoldReplyFn| {
                let on_reply = Box::new(move |result| {
                    if let Ok(PeerReply::Hold(hold_reply)) = result {
                        reply(hold_reply);
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
                    Ok(PeerReply::Grant(grant_reply)) => reply(Some(grant_reply)),
                    _ => reply(None),
                });
                let req = PeerRequest::Grant { target, grant };
                peers.post(to, req, GRANT_TIMEOUT, on_reply);
            }),
        })
    }

    pub fn peer_context(&self, driver: &DriverHandle) -> PeerContext {
        let snapshot = Arc::clone(self.directory.snapshot());
        let stopping = Arc::clone(&self.stopping);
        let (hold_driver, controls_driver) = (driver.clone(), driver.clone());
        let (grant_fronts, forward_fronts) = (self.fronts.clone(), self.fronts.clone());
        PeerContext {
            link: self.link.clone(),
            clock: self.clock,
            directory: self.directory.clone(),
            store: self.store_client(),
            controls: Arc::new(move || controls_driver.controls()),
            ready: Arc::new(move || snapshot.load().is_ready()),
            stopping: Arc::new(move || stopping.load(Ordering::Relaxed)),
            answer_hold: Arc::new(move |req| {
                let reply = hold_driver.answer_hold(req);
                Box::pin(async move { reply })
            }),
            handle_grant: Arc::new(move |(target, req)| {
                let reply = grant_fronts.handle_grant(target, &req);
                Box::pin(async move { reply })
            }),
            forward: Arc::new(move |req| {
                let fronts = forward_fronts.clone();
                Box::pin(async move { fronts.serve(req).await })
            }),
        }
    }

    pub fn operator_context(&self, driver: &DriverHandle, peers: &PeerHandle) -> OperatorContext {
        let (ready_snapshot, explain_snapshot) = (
            Arc::clone(self.directory.snapshot()),
            Arc::clone(self.directory.snapshot()),
        );
        let (stopping, driver) = (Arc::clone(&self.stopping), driver.clone());
        let (own_name, recent) = (self.link.name.clone(), self.recent_refusals.clone());
        let metrics = self.metrics.clone();
        OperatorContext {
            link: self.link.clone(),
            directory: self.directory.clone(),
            store: self.store_client(),
            peers: peers.clone(),
            readiness: Arc::new(move || {
                let mut reasons = ready_snapshot.load().missing_parts();
                if stopping.load(Ordering::Relaxed) {
                    reasons.push("the daemon is stopping".into());
                }
                Readiness {
                    ready: reasons.is_empty(),
                    reasons,
                }
            }),
            groups_status: Arc::new(move || to_value(&driver.status().groups)),
            explain: Arc::new(move |text| {
                let report = explain(text, &own_name, &recent, &explain_snapshot.load())?;
                Ok(to_value(&report))
            }),
            metrics_text: Arc::new(move || metrics.counters().to_text()),
        }
    }
}

fn to_value<T: Serialize>(report: &T) -> Value {
    serde_json::to_value(report).expect("reports are valid JSON")
}
