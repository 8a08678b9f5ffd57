//! Stand-in for the platform: table service, object store and VM list, with injected faults.
//!
//! It serves the interface of [`fireflygauge::store::api`] and, for tests:
//! - `PUT /vms/{name}` takes a [`Vm`] and registers or replaces it; `DELETE /vms/{name}` removes it.
//! - `POST /faults` takes [`Faults`], which replace those in force; `GET /faults` answers them.
//! - `GET /counters` answers [`Counters`].

pub mod faults;
pub mod list;
pub mod table;

pub use faults::{Availability, Counters, Faults};

use crate::server::{self, Reply, Withheld, json, text};
use bytes::Bytes;
use fireflygauge::{
    clock::{Clock, Millis},
    collections::Map,
    store::api::{CommitReply, Row, Transaction},
    world::Vm,
};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use list::VmList;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use table::Table;
use tokio::task::JoinSet;

/// More connections than any test opens.
const MAX_CONNECTIONS: usize = 10_000;
/// Longest lag of a reader. Times start at this value, so that the time of a lagging reader is never negative.
pub const MAX_LAG: Millis = Millis(30_000);

#[derive(Debug)]
struct State {
    table: Table,
    objects: Map<String, Bytes>,
    list: VmList,
    faults: Faults,
    counters: Counters,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    addr: SocketAddr,
    shared: Arc<Shared>,
    _server: JoinSet<()>,
}

impl Platform {
    /// Starts a platform with an empty store and no VMs.
    ///
    /// # Errors
    /// The system's error if the address cannot be bound.
    pub async fn start(addr: SocketAddr, faults: Faults) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            clock: Clock::start(),
            state: Mutex::new(State {
                table: Table::default(),
                objects: Map::default(),
                list: VmList::default(),
                faults,
                counters: Counters::default(),
            }),
        });
        let (listener, addr) = server::bind(addr).await?;
        let handler = {
            let shared = Arc::clone(&shared);
            move |req| handle(Arc::clone(&shared), req)
        };
        let mut server = JoinSet::new();
        server.spawn(server::serve(listener, MAX_CONNECTIONS, handler));
        Ok(Self {
            addr,
            shared,
            _server: server,
        })
    }

    /// The address that it serves.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
    }

    /// Registers or replaces a VM.
    pub fn register(&self, vm: Vm) {
        let now = self.shared.now();
        self.shared.lock().list.put(vm, now);
    }

    /// Removes a VM from the list.
    pub fn remove(&self, name: &str) {
        let now = self.shared.now();
        self.shared.lock().list.remove(name, now);
    }

    /// Reads a row; faults do not apply.
    pub fn row(&self, name: &str) -> Option<Row> {
        let now = self.shared.now();
        self.shared.lock().table.read(name, now)
    }

    /// All revisions of the rows whose names start with `prefix`; faults do not apply.
    pub fn revisions(&self, prefix: &str) -> Vec<Row> {
        self.shared.lock().table.revisions(prefix)
    }

    /// Commits a transaction; faults do not apply.
    pub fn commit(&self, transaction: &Transaction) -> CommitReply {
        let now = self.shared.now();
        self.shared.lock().table.commit(transaction, now)
    }

    /// Stores an object; faults do not apply.
    pub fn put_object(&self, hash: &str, body: impl Into<Bytes>) {
        let mut state = self.shared.lock();
        state.objects.insert(hash.to_owned(), body.into());
    }

    /// Reads and writes so far.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn now(&self) -> Millis {
        self.clock.now() + MAX_LAG
    }

    /// The instant whose state a reader sees.
    fn as_of(&self, lag_ms: u64) -> Millis {
        self.now() - Millis(lag_ms)
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Reply {
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    match (&method, path.as_str()) {
        (&Method::GET, "/faults") => json(StatusCode::OK, &shared.lock().faults),
        (&Method::POST, "/faults") => {
            server::with_json(req.into_body(), |faults| {
                shared.lock().faults = faults;
                text(StatusCode::OK, "")
            })
            .await
        }
        (&Method::GET, "/counters") => json(StatusCode::OK, &shared.lock().counters),
        (&Method::GET, "/vms") => read_list(&shared).await,
        (&Method::POST, "/transactions") => commit(shared, req.into_body()).await,
        (&Method::GET, "/rows") => read_rows(&shared, &query).await,
        _ => match (
            method,
            path.split_at(path[1..].find('/').map_or(0, |i| i + 2)),
        ) {
            (Method::GET, ("/rows/", name)) => read_row(&shared, name).await,
            (Method::GET, ("/objects/", hash)) => read_object(&shared, hash).await,
            (Method::PUT, ("/objects/", hash)) => write_object(&shared, hash, req).await,
            (Method::PUT, ("/vms/", _)) => register(&shared, req.into_body()).await,
            (Method::DELETE, ("/vms/", name)) => {
                let now = shared.now();
                shared.lock().list.remove(name, now);
                text(StatusCode::OK, "")
            }
            _ => text(StatusCode::NOT_FOUND, "no such resource"),
        },
    }
}

/// Applies the faults common to all store accesses.
async fn admit(shared: &Shared) -> Result<(), Reply> {
    let faults = shared.lock().faults.clone();
    let availability = faults.store;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    available(availability).await
}

async fn available(availability: Availability) -> Result<(), Reply> {
    match availability {
        Availability::Up => Ok(()),
        Availability::Refuse => Err(text(StatusCode::SERVICE_UNAVAILABLE, "injected outage")),
        Availability::Hang => std::future::pending().await,
    }
}

/// Delays a response, but not the effect before it.
async fn delay_response(shared: &Shared) {
    let delay = shared.lock().faults.answer_delay_ms;
    if delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
}

async fn read_list(shared: &Shared) -> Reply {
    let faults = shared.lock().faults.clone();
    if let Err(reply) = available(faults.list).await {
        return reply;
    }
    let at = shared.as_of(faults.list_lag_ms);
    let vms = shared.lock().list.as_of(at);
    json(StatusCode::OK, &vms)
}

async fn register(shared: &Shared, body: Incoming) -> Reply {
    server::with_json(body, |vm: Vm| {
        let now = shared.now();
        shared.lock().list.put(vm, now);
        text(StatusCode::OK, "")
    })
    .await
}

async fn read_row(shared: &Shared, name: &str) -> Reply {
    if let Err(reply) = admit(shared).await {
        return reply;
    }
    let row = {
        let mut state = shared.lock();
        state.counters.reads += 1;
        let at = shared.as_of(state.faults.stale_ms);
        state.table.read(name, at)
    };
    delay_response(shared).await;
    match row {
        Some(row) => json(StatusCode::OK, &row),
        None => text(StatusCode::NOT_FOUND, ""),
    }
}

async fn read_rows(shared: &Shared, query: &str) -> Reply {
    if let Err(reply) = admit(shared).await {
        return reply;
    }
    let prefix = query.strip_prefix("prefix=").unwrap_or_default();
    let rows = {
        let mut state = shared.lock();
        state.counters.reads += 1;
        let at = shared.as_of(state.faults.stale_ms);
        state.table.read_prefix(prefix, at)
    };
    delay_response(shared).await;
    json(StatusCode::OK, &rows)
}

async fn read_object(shared: &Shared, hash: &str) -> Reply {
    if let Err(reply) = admit(shared).await {
        return reply;
    }
    let object = {
        let mut state = shared.lock();
        state.counters.reads += 1;
        state.objects.get(hash).cloned()
    };
    match object {
        Some(body) => Ok(Response::new(Full::new(body))),
        None => text(StatusCode::NOT_FOUND, ""),
    }
}

async fn write_object(shared: &Shared, hash: &str, req: Request<Incoming>) -> Reply {
    let body = server::read_body(req.into_body()).await?;
    if let Err(reply) = admit(shared).await {
        return reply;
    }
    let mut state = shared.lock();
    state.counters.writes += 1;
    state.objects.insert(hash.to_owned(), body);
    text(StatusCode::OK, "")
}

async fn commit(shared: Arc<Shared>, body: Incoming) -> Reply {
    let body = server::read_body(body).await?;
    let transaction: Transaction = match serde_json::from_slice(&body) {
        Ok(transaction) => transaction,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    // Runs as a separate task, so that a write whose client has timed out still takes effect.
    match tokio::spawn(commit_and_respond(shared, transaction)).await {
        Ok(reply) => reply,
        Err(_) => Err(Withheld),
    }
}

async fn commit_and_respond(shared: Arc<Shared>, transaction: Transaction) -> Reply {
    if let Err(reply) = admit(&shared).await {
        return reply;
    }
    let (reply, lost) = {
        let mut state = shared.lock();
        state.counters.writes += 1;
        let now = shared.now();
        let reply = state.table.commit(&transaction, now);
        (reply, state.faults.lose_answer(&transaction))
    };
    delay_response(&shared).await;
    if lost {
        return Err(Withheld);
    }
    let status = match reply {
        CommitReply::Committed(_) => StatusCode::OK,
        CommitReply::Conflict(_) => StatusCode::CONFLICT,
    };
    json(status, &reply)
}
