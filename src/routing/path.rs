//! A caller's request from its arrival to its answer.

use super::{
    answer::{Progress, answer},
    dispatch::{Dispatched, dispatch},
    exchange::Exchange,
    front::Fronts,
    journal::Begun,
    outcome::{Outcome, OutcomeKind},
    refusal::{Code, RecentRefusals},
    request::{CallerRequest, Head, MAX_BODY_BYTES},
    shared::{Detached, Shared},
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

/// Time to wait for a body when no configuration gives a deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// What the request path needs from the daemon.
#[derive(Clone, Debug)]
pub struct RequestPathContext {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// What the daemon knows.
    pub directory: Directory,
    /// The journal's store. It must not be used on another runtime, since its connections belong
    /// to the runtime that opened them.
    pub store: StoreClient,
    /// Threads of the request path.
    pub workers: usize,
    /// Longest time to finish requests in flight at a stop.
    pub stop_timeout: Duration,
    /// Counters.
    pub metrics: Metrics,
    /// Refusals for the operator's tool.
    pub recent: RecentRefusals,
}

/// Handle to the request path.
#[derive(Clone, Debug)]
pub struct RequestPath {
    shared: Arc<Shared>,
}

impl RequestPath {
    /// Creates the request path. It needs the runtime that it will be used on.
    pub fn new(cx: &RequestPathContext, policies: Policies, fronts: Fronts) -> Self {
        let shared = Arc::new(Shared::new(cx, policies, fronts));
        shared.fronts.serve_on(&shared);
        Self { shared }
    }

    /// The refusal of a request whose handling failed.
    pub fn failed(&self) -> Response<Bytes> {
        let progress = Progress {
            id: rand::random(),
            arrived: self.shared.clock.now(),
            service: None,
            caller: "unknown".into(),
            key: None,
            target: None,
            attempts: 0,
        };
        answer(&self.shared, Err(Code::Internal), &progress)
    }

    /// State of targets, for the prober.
    pub fn targets(&self) -> Arc<Targets> {
        Arc::clone(&self.shared.targets)
    }

    /// Waits until no journaled request runs.
    pub async fn idle(&self) {
        self.shared.idle().await;
    }

    /// Answers one request.
    pub async fn handle<B>(&self, head: Head, body: B) -> Response<Bytes>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let snapshot = self.shared.directory.snapshot().load_full();
        // Unknown names are not kept: they are chosen by callers without bound.
        let known = |name: &ServiceName| snapshot.services.contains_key(name);
        let mut progress = Progress {
            id: rand::random(),
            arrived: head.arrived,
            service: head.service().filter(known),
            caller: head.caller(),
            key: None,
            target: None,
            attempts: 0,
        };
        let outcome = match self.accept(&snapshot, head, body, &mut progress).await {
            Ok(req) => {
                let done = self.run(req).await;
                progress.target = done.target.clone();
                progress.attempts = done.attempts;
                outcome_of(done)
            }
            Err(code) => Err(code),
        };
        answer(&self.shared, outcome, &progress)
    }

    async fn run(&self, req: CallerRequest) -> Dispatched {
        let Some(key) = req.journal_key().cloned() else {
            return dispatch(&self.shared, &req).await;
        };
        // A caller that loses its connection repeats the request under its key and should find
        // the answer, so the exchange goes on without it.
        let detached = Detached::new(&self.shared);
        let (tx, rx) = oneshot::channel();
        tokio::spawn(async move { journaled(detached, req, &key, tx).await });
        rx.await.unwrap_or(Dispatched {
            result: Exchange::MayHaveRun(Code::Internal),
            target: None,
            attempts: 0,
        })
    }

    async fn accept<B>(
        &self,
        snapshot: &Snapshot,
        head: Head,
        body: B,
        progress: &mut Progress,
    ) -> Result<CallerRequest, Code>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut req = head.check(snapshot, progress.id)?;
        progress.key = req.key.clone();
        req.held = self.shared.reserve(body.size_hint().exact())?;
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

/// Runs a request that is recorded under `key`, and passes its outcome to `tx`.
async fn journaled(
    detached: Detached,
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
    let ticket = match shared.journal.begin(&req, key).await {
        Begun::Send(ticket) => ticket,
        Begun::Recorded(answer) => {
            let _ = tx.send(without_sending(Exchange::Answered(answer)));
            return;
        }
        Begun::Refused(code) => {
            let _ = tx.send(without_sending(refused(code)));
            return;
        }
    };
    let done = dispatch(shared, &req).await;
    let result = done.result.clone();
    // The key is freed before the caller hears that it may send the request again. Recording an
    // answer does not delay it. The caller may have left in the meantime.
    if matches!(result, Exchange::NotRun(_)) {
        shared.journal.end(ticket, &result).await;
        let _ = tx.send(done);
    } else {
        let _ = tx.send(done);
        shared.journal.end(ticket, &result).await;
    }
}

fn refused(code: Code) -> Exchange {
    match code.kind() {
        OutcomeKind::NotRun => Exchange::NotRun(code),
        _ => Exchange::MayHaveRun(code),
    }
}

fn outcome_of(done: Dispatched) -> Result<Outcome, Code> {
    match done.result {
        Exchange::Answered(answer) => Ok(Outcome::Answered(answer)),
        Exchange::NotRun(code) | Exchange::MayHaveRun(code) => Err(code),
    }
}
