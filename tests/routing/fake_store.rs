//! In-memory table service with scripted faults.

use bytes::Bytes;
use fireflygauge::store::{CommitReply, Row, Transaction};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{net::TcpListener, time::sleep};

/// How the store handles a commit.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Commits and replies.
    None,
    /// Commits without a reply.
    LostReply,
    /// Sends no reply and commits after a delay.
    LateCommit(Duration),
    /// Replies 503 without committing.
    Unavailable,
}

/// The running store.
#[derive(Clone)]
pub struct FakeStore {
    /// Its address.
    pub addr: SocketAddr,
    rows: Arc<Mutex<BTreeMap<Arc<str>, Row>>>,
    commits: Arc<Mutex<usize>>,
}

impl FakeStore {
    /// Starts a store that handles commit number `n` (from 0) according to `script(n)`.
    pub async fn start(script: impl Fn(usize) -> Fault + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            rows: Arc::default(),
            commits: Arc::default(),
        };
        let (running, script) = (store.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, script) = (running.clone(), Arc::clone(&script));
                let service = service_fn(move |req| store.clone().handle(req, Arc::clone(&script)));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        store
    }

    /// The current rows.
    pub fn rows(&self) -> Vec<Row> {
        self.rows
            .lock()
            .expect("no panic")
            .values()
            .cloned()
            .collect()
    }

    /// Number of commits so far.
    pub fn commits(&self) -> usize {
        *self.commits.lock().expect("no panic")
    }

    async fn handle<F: Fn(usize) -> Fault>(
        self,
        req: Request<Incoming>,
        script: Arc<F>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let body = req
            .into_body()
            .collect()
            .await
            .map_err(std::io::Error::other)?
            .to_bytes();
        let transaction: Transaction = serde_json::from_slice(&body).expect("a transaction");
        let number = {
            let mut commits = self.commits.lock().expect("no panic");
            *commits += 1;
            *commits - 1
        };
        match script(number) {
            Fault::None => Ok(self.reply(&transaction)),
            Fault::LostReply => {
                self.reply(&transaction);
                Err(std::io::Error::other("lost"))
            }
            Fault::LateCommit(delay) => {
                tokio::spawn(async move {
                    sleep(delay).await;
                    self.reply(&transaction);
                });
                Err(std::io::Error::other("lost"))
            }
            Fault::Unavailable => {
                let mut response = Response::new(Full::default());
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                Ok(response)
            }
        }
    }

    fn reply(&self, transaction: &Transaction) -> Response<Full<Bytes>> {
        let reply = self.commit(transaction);
        let conflict = matches!(reply, CommitReply::Conflict(_));
        let body = serde_json::to_vec(&reply).expect("JSON");
        let mut response = Response::new(Full::new(body.into()));
        if conflict {
            *response.status_mut() = StatusCode::CONFLICT;
        }
        response
    }

    fn commit(&self, transaction: &Transaction) -> CommitReply {
        let mut rows = self.rows.lock().expect("no panic");
        let current = |rows: &BTreeMap<Arc<str>, Row>, name: &Arc<str>| {
            let missing = Row {
                name: Arc::clone(name),
                version: 0,
                value: "".into(),
            };
            rows.get(name).cloned().unwrap_or(missing)
        };
        let conflicts: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| (current(&rows, &condition.row), condition.version))
            .filter(|(row, version)| row.version != *version)
            .map(|(row, _)| row)
            .collect();
        if !conflicts.is_empty() {
            return CommitReply::Conflict(conflicts);
        }
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let mut row = current(&rows, &write.row);
            row.version += 1;
            row.value = write.value.clone().expect("the journal deletes nothing");
            versions.push((Arc::clone(&write.row), row.version));
            rows.insert(Arc::clone(&write.row), row);
        }
        CommitReply::Committed(versions)
    }
}
