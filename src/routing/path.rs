//! The path of a caller's request from its arrival to its response.

use super::{
    dispatch::{Dispatched, dispatch},
    exchange::ExchangeResult,
    front::Fronts,
    journal::BeginResult,
    outcome::{Outcome, OutcomeKind},
    refusal::{Code, RecentRefusals},
    request::{CallerRequest, MAX_BODY_BYTES, RequestHead},
    response::{RequestSummary, build_response},
    shared::{DetachedGuard, Shared},
    targets::{Policies, Targets},
};
use crate::{
    clock::Clock,
    entry::{directory::Directory, metrics::Metrics, snapshot::Snapshot},
    store::StoreClient,
    world::{Link, ServiceName},
};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time::timeout};

/// Longest time to wait for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Dependencies of the request path.
#[derive(Clone, Debug)]
pub struct RequestPathContext {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// Configuration, targets and routing tables as the daemon knows them.
    pub directory: Directory,
    /// The journal's store. It must not be used on another runtime, since its connections belong
    /// to the runtime that opened them.
    pub store: StoreClient,
    /// Number of worker threads.
    pub workers: usize,
    /// Time limit for requests in flight at shutdown.
    pub stop_timeout: Duration,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Recent refusals, for the operator's tool.
    pub recent: RecentRefusals,
}

/// Handle to the request path.
#[derive(Clone, Debug)]
pub struct RequestPath {
    shared: Arc<Shared>,
}

impl RequestPath {
    /// Creates the request path. It must be called on the runtime that will serve the requests.
    pub fn new(cx: &RequestPathContext, policies: Policies, fronts: Fronts) -> Self {
        let shared = Arc::new(Shared::new(cx, policies, fronts));
        shared.fronts.attach_request_path(&shared);
        Self { shared }
    }

    /// The refusal of a request whose handler panicked, with [`Code::Internal`].
    pub fn internal_error(&self) -> Response<Bytes> {
        let summary = RequestSummary {
            id: rand::random(),
            arrived: self.shared.clock.now(),
            service: None,
            caller: "unknown".into(),
            key: None,
            target: None,
            attempts: 0,
        };
        build_response(&self.shared, Err(Code::Internal), &summary)
    }

    /// State of all targets, for the prober.
    pub fn targets(&self) -> Arc<Targets> {
        Arc::clone(&self.shared.targets)
    }

    /// Waits until no detached request is in flight.
    pub async fn wait_until_idle(&self) {
        self.shared.wait_until_idle().await;
    }

    /// Handles one request and returns its response.
    pub async fn handle<B>(&self, head: RequestHead, body: B) -> Response<Bytes>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let snapshot = self.shared.directory.snapshot().load_full();
        // Unknown service names are dropped: callers choose them, so their number is unbounded.
        let known = |name: &ServiceName| snapshot.services.contains_key(name);
        let mut summary = RequestSummary {
            id: rand::random(),
            arrived: head.arrived,
            service: head.service().filter(known),
            caller: head.caller(),
            key: None,
            target: None,
            attempts: 0,
        };
        let outcome = match self
            .read_caller_request(&snapshot, head, body, &mut summary)
            .await
        {
            Ok(req) => {
                let done = self.run(req).await;
                summary.target = done.target.clone();
                summary.attempts = done.attempts;
                outcome_of(done)
            }
            Err(code) => Err(code),
        };
        build_response(&self.shared, outcome, &summary)
    }

    async fn run(&self, req: CallerRequest) -> Dispatched {
        let Some(key) = req.journal_key().cloned() else {
            return dispatch(&self.shared, &req).await;
        };
        // A caller that loses its connection retries with the same key and should get the response,
        // so the exchange continues detached from the connection.
        let detached = DetachedGuard::new(&self.shared);
        let (tx, rx) = oneshot::channel();
        tokio::spawn(async move { run_journaled(detached, req, &key, tx).await });
        rx.await.unwrap_or(Dispatched {
            result: ExchangeResult::MayHaveRun(Code::Internal),
            target: None,
            attempts: 0,
        })
    }

    async fn read_caller_request<B>(
        &self,
        snapshot: &Snapshot,
        head: RequestHead,
        body: B,
        summary: &mut RequestSummary,
    ) -> Result<CallerRequest, Code>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut req = head.check(snapshot, summary.id)?;
        summary.key = req.key.clone();
        req.body_permit = self.shared.reserve_body(body.size_hint().exact())?;
        let left = self.shared.clock.until(req.deadline).min(BODY_TIMEOUT);
        let body = timeout(left, Limited::new(body, MAX_BODY_BYTES).collect());
        req.body = match body.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Code::BodyTooLarge),
            Ok(Err(_)) | Err(_) => return Err(Code::BodyIncomplete),
        };
        Ok(req)
    }
}

/// Runs a request that the journal records under `key`, and sends its result to `tx`.
async fn run_journaled(
    detached: DetachedGuard,
    req: CallerRequest,
    key: &str,
    tx: oneshot::Sender<Dispatched>,
) {
    let shared = &detached.0;
    let without_sending = |result| Dispatched {
        result,
        target: None,
        attempts: 0,
    };
    let row_handle = match shared.journal.begin(&req, key).await {
        BeginResult::Send(row_handle) => row_handle,
        BeginResult::Recorded(response) => {
            let _ = tx.send(without_sending(ExchangeResult::Answered(response)));
            return;
        }
        BeginResult::Refused(code) => {
            let _ = tx.send(without_sending(refused(code)));
            return;
        }
    };
    let done = dispatch(shared, &req).await;
    let result = done.result.clone();
    // The key is freed before the caller learns that it may retry. A response is sent before it is
    // recorded, without delay. The caller may have disconnected in the meantime.
    if matches!(result, ExchangeResult::NotRun(_)) {
        shared.journal.finish(row_handle, &result).await;
        let _ = tx.send(done);
    } else {
        let _ = tx.send(done);
        shared.journal.finish(row_handle, &result).await;
    }
}

fn refused(code: Code) -> ExchangeResult {
    match code.kind() {
        OutcomeKind::NotRun => ExchangeResult::NotRun(code),
        _ => ExchangeResult::MayHaveRun(code),
    }
}

fn outcome_of(done: Dispatched) -> Result<Outcome, Code> {
    match done.result {
        ExchangeResult::Answered(response) => Ok(Outcome::Answered(response)),
        ExchangeResult::NotRun(code) | ExchangeResult::MayHaveRun(code) => Err(code),
    }
}
