//! TCP proxy that injects faults into links.
//!
//! Each link forwards one listening address to one upstream address. Its control port serves
//! `GET /links`, which answers a list of [`LinkReport`], and `POST /links/{index}`, which takes
//! [`LinkFaults`] that replace those in force.

mod pipe;

use crate::server::{self, Reply, json, text};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, sync::Arc};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// How a link treats connections and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flow {
    /// It forwards them.
    #[default]
    Pass,
    /// It resets open connections and new ones.
    Cut,
    /// It accepts connections and forwards nothing until the mode changes.
    #[serde(rename = "freeze")]
    Stall,
    /// It forwards bytes from client to upstream only.
    ToUpstream,
    /// It forwards bytes from upstream to client only.
    ToClient,
}

/// The faults of a link; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkFaults {
    /// What it does with connections and bytes.
    pub flow: Flow,
    /// Delay of each chunk in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Resets a connection once this many bytes of the client were forwarded on it since the fault
    /// was set.
    pub cut_after_sent: Option<u64>,
    /// Resets a connection once this many bytes of the upstream would have been forwarded on it
    /// since the fault was set.
    pub cut_after_received: Option<u64>,
    /// Sends a copy of the client bytes between two responses on a new connection after this many milliseconds;
    /// only of grants, unless `replay_all` is set.
    pub replay_after_ms: Option<u64>,
    /// Replays callers' requests too. A copy cannot be told from a second request on the way, so it
    /// runs twice unless the target recognises it.
    pub replay_all: bool,
}

impl LinkFaults {
    /// Faults with this flow and nothing else.
    pub fn flow(flow: Flow) -> Self {
        Self {
            flow,
            ..Self::default()
        }
    }
}

/// A link as its control port reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkReport {
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address that their bytes go to.
    pub upstream: SocketAddr,
    /// Faults in force.
    pub faults: LinkFaults,
}

/// A link; it stops, with its connections, when dropped.
#[derive(Debug)]
pub struct ProxyLink {
    listen: SocketAddr,
    upstream: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    task: JoinHandle<()>,
}

impl ProxyLink {
    /// Starts a link; port 0 chooses a free port.
    ///
    /// # Errors
    /// The system's error if the address cannot be bound.
    pub async fn start(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let (listener, listen) = server::bind(listen).await?;
        let (faults, rx) = watch::channel(LinkFaults::default());
        let task = tokio::spawn(accept(listener, upstream, rx));
        Ok(Self {
            listen,
            upstream,
            faults,
            task,
        })
    }

    /// The address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.listen
    }

    /// Replaces the faults in force.
    pub fn set(&self, faults: LinkFaults) {
        self.faults.send_replace(faults);
    }

    /// Sets a flow and lifts all other faults.
    pub fn set_flow(&self, flow: Flow) {
        self.set(LinkFaults::flow(flow));
    }

    /// The link as its control port reports it.
    pub fn report(&self) -> LinkReport {
        LinkReport {
            listen: self.listen,
            upstream: self.upstream,
            faults: *self.faults.borrow(),
        }
    }
}

impl Drop for ProxyLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, faults: watch::Receiver<LinkFaults>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        connections.spawn(pipe::connection(client, upstream, faults.clone()));
    }
}

/// Serves the control port of `links` until the future is dropped.
pub async fn control(listener: TcpListener, links: Arc<Vec<ProxyLink>>) {
    let handler = move |req| handle(Arc::clone(&links), req);
    server::serve(listener, usize::MAX, handler).await;
}

async fn handle(links: Arc<Vec<ProxyLink>>, req: Request<Incoming>) -> Reply {
    let path = req.uri().path().to_owned();
    if (req.method(), path.as_str()) == (&Method::GET, "/links") {
        let reports: Vec<LinkReport> = links.iter().map(ProxyLink::report).collect();
        return json(StatusCode::OK, &reports);
    }
    let index = path.strip_prefix("/links/").and_then(|i| i.parse().ok());
    let link = index.and_then(|i: usize| links.get(i));
    match (req.method(), link) {
        (&Method::POST, Some(link)) => {
            server::with_json(req.into_body(), |faults| {
                link.set(faults);
                text(StatusCode::OK, "")
            })
            .await
        }
        _ => text(StatusCode::NOT_FOUND, "no such link"),
    }
}
