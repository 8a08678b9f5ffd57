//! Test harness: the request path of one daemon, whose directory the tests fill.

use bytes::Bytes;
use fireflygauge::{
    clock::Clock,
    config::{ConfigHead, ConfigSnapshot},
    entry::{
        directory::{Directory, DirectoryUpdate},
        http::{ShutdownOutcome, serve_with_fronts},
        metrics::Metrics,
    },
    routing::{
        RecentRefusals, RequestPathContext,
        front::Fronts,
        outcome::{OutcomeKind, RefusalBody},
        targets::Policies,
    },
    store::StoreClient,
    table::{Owner, RoutingTable, TableVersion},
    world::{GroupId, Incarnation, Link, Vm, VmName, VmRole, VmState},
};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, thread::JoinHandle, time::Duration};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{sleep, timeout},
};

/// Longest time that a test waits for something.
pub const LIMIT: Duration = Duration::from_secs(10);

const DECLARATION: &str = r#"
deployment = "test"
initial_preset = "ordinary"
[[services]]
name = "rounds"
keyed = true
partitions = 8
[[services]]
name = "scales"
keyed = true
partitions = 8
checks_grants = false
[[services]]
name = "records"
[[presets]]
name = "ordinary"
contact = "the desk, +41 31 555 01 00"
"#;

/// A running request path.
pub struct Daemon {
    /// Address that serves callers.
    pub addr: SocketAddr,
    /// Its directory.
    pub directory: Directory,
    /// Its recent refusals.
    pub recent: RecentRefusals,
    /// Its metrics.
    pub metrics: Metrics,
    /// The leases that it holds on behalf of targets.
    pub fronts: Fronts,
    /// Its identity.
    pub link: Link,
    vms: Vec<Vm>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<ShutdownOutcome>>,
}

/// A response as the caller receives it.
#[derive(Debug)]
pub struct CallerResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerResponse {
    /// The outcome that the response reports.
    pub fn outcome(&self) -> OutcomeKind {
        let text = self.headers["x-fireflygauge-outcome"].to_str();
        text.expect("text").parse().expect("an outcome")
    }

    /// The refusal's body.
    pub fn refusal(&self) -> RefusalBody {
        serde_json::from_slice(&self.body).expect("a refusal")
    }

    /// The refusal's code, or `answered`.
    pub fn code(&self) -> String {
        match self.outcome() {
            OutcomeKind::Answered => "answered".into(),
            _ => self.refusal().code.to_string(),
        }
    }
}

fn vm(name: &str, service: &str, addr: SocketAddr) -> Vm {
    Vm {
        name: name.into(),
        zone: "a".into(),
        addr,
        state: VmState::Live,
        role: VmRole::Target {
            service: service.into(),
        },
    }
}

impl Daemon {
    /// Starts a daemon whose services `rounds` (all partitions owned by the first target) and
    /// `records` have these targets.
    pub async fn start(
        rounds: &[SocketAddr],
        records: &[SocketAddr],
        store: Option<SocketAddr>,
    ) -> Self {
        Self::start_as(link(), rounds, records, store).await
    }

    /// Starts a daemon as `link`.
    pub async fn start_as(
        link: Link,
        rounds: &[SocketAddr],
        records: &[SocketAddr],
        store: Option<SocketAddr>,
    ) -> Self {
        let directory = Directory::start();
        let named = |service: &str, addrs: &[SocketAddr]| -> Vec<Vm> {
            let vms = addrs.iter().enumerate();
            vms.map(|(i, &addr)| vm(&format!("{service}-{i}"), service, addr))
                .collect()
        };
        let vms = [named("rounds", rounds), named("records", records)].concat();
        directory.submit(DirectoryUpdate::Vms(vms.clone()));
        directory.submit(DirectoryUpdate::Config(config(1, DECLARATION)));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let closed: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let (stop, stopped) = watch::channel(false);
        let cx = RequestPathContext {
            link: link.clone(),
            clock: Clock::start(),
            directory: directory.clone(),
            store: StoreClient::new(store.unwrap_or(closed), Duration::from_millis(200)),
            workers: 1,
            stop_timeout: LIMIT,
            metrics: Metrics::default(),
            recent: RecentRefusals::default(),
        };
        let fronts = Fronts::new(link.clone(), cx.clock);
        let (recent, metrics) = (cx.recent.clone(), cx.metrics.clone());
        let daemon = Self {
            addr,
            directory,
            recent,
            metrics,
            stop,
            thread: Some(
                serve_with_fronts(cx, Policies::default(), fronts.clone(), listener, stopped)
                    .expect("a server"),
            ),
            fronts,
            link,
            vms,
        };
        daemon.assign(1, "rounds-0");
        until(|| daemon.directory.snapshot().load().tables.len() == 1).await;
        daemon
    }

    /// Lists the target of `scales` at `addr`, whose front daemon is `front`.
    pub async fn list_fronted(&self, addr: SocketAddr, front: &Link) {
        let vms = [self.vms.clone(), vec![vm("scales-0", "scales", addr)]].concat();
        self.directory.submit(DirectoryUpdate::Vms(vms));
        let mut table = owned_by("scales", 1, "scales-0");
        table.fronts = vec![("scales-0".into(), front.clone())];
        self.directory.submit(DirectoryUpdate::Table(table));
        let owned = || {
            let snapshot = self.directory.snapshot().load();
            let owners = &snapshot.services[&"scales".into()].owners;
            owners.first().is_some_and(Option::is_some)
        };
        until(owned).await;
    }

    /// Gives all partitions of `rounds` to `target` in table `revision`.
    pub fn assign(&self, revision: u64, target: &str) {
        let table = owned_by("rounds", revision, target);
        self.directory.submit(DirectoryUpdate::Table(table));
    }

    /// Sends a request and reads the complete response.
    pub async fn call(&self, req: http::request::Builder, body: &str) -> CallerResponse {
        let response = exchange(self.addr, req, body);
        timeout(LIMIT, response).await.expect("a response in time")
    }

    /// Signals the request path to stop.
    pub fn begin_stop(&self) {
        self.stop.send_replace(true);
    }

    /// Waits for the request path to end.
    pub async fn stopped(&mut self) -> ShutdownOutcome {
        let thread = self.thread.take().expect("it was not stopped before");
        until(|| thread.is_finished()).await;
        thread.join().expect("no panic")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.begin_stop();
    }
}

/// The control group of a service.
pub fn group(service: &str) -> GroupId {
    GroupId {
        service: service.into(),
        index: 0,
    }
}

fn owned_by(service: &str, revision: u64, target: &str) -> RoutingTable {
    let mut table = RoutingTable::empty(group(service), 8);
    table.version = TableVersion {
        controller_epoch: 1,
        revision,
    };
    table.owners.fill(Some(Owner {
        target: target.into(),
        epoch: revision,
    }));
    table
}

/// The identity of the default daemon.
pub fn link() -> Link {
    link_of("entry-1")
}

/// The identity of a daemon named `name`.
pub fn link_of(name: &str) -> Link {
    Link {
        name: VmName::from(name),
        incarnation: Incarnation(7),
        zone: "a".into(),
        peer_addr: "127.0.0.1:1".parse().expect("an address"),
    }
}

fn config(version: u64, body: &str) -> ConfigSnapshot {
    ConfigSnapshot {
        head: ConfigHead {
            version,
            body_hash: "".into(),
            preset: "ordinary".into(),
            drained: Vec::new(),
            by: "test".into(),
            at: "".into(),
            operation: "".into(),
        },
        body: body.into(),
    }
}

/// Sends one request on a new connection.
pub async fn exchange(addr: SocketAddr, req: http::request::Builder, body: &str) -> CallerResponse {
    let stream = TcpStream::connect(addr).await.expect("a connection");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    let req = req.header("host", "caller").body(body).expect("a request");
    let (parts, body) = sender
        .send_request(req)
        .await
        .expect("a response")
        .into_parts();
    CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body: body
            .collect()
            .await
            .expect("a complete response")
            .to_bytes(),
    }
}

/// Polls until `condition` holds.
pub async fn until(condition: impl Fn() -> bool) {
    let polled = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(LIMIT, polled)
        .await
        .expect("the condition holds in time");
}

/// A request with `method` and `path`.
pub fn request(method: &str, path: &str) -> http::request::Builder {
    Request::builder().method(method).uri(path)
}
