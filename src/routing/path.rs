//! A caller's request from its arrival to its answer.

use super::{
    dispatch::{Dispatched, dispatch},
    exchange::Exchange,
    journal::{Begun, Journal},
    outcome::{Outcome, OutcomeKind, RefusalBody},
    reference::{Reference, unix_ms},
    refusal::{Code, RecentRefusals, RefusalRecord},
    request::{CallerRequest, Head, MAX_BODY_BYTES},
    retry::RetryBudget,
    targets::{Policies, Targets},
};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    entry::{directory::Directory, metrics::Metrics},
    store::StoreClient,
    target_api::{OUTCOME, REFERENCE},
    world::{Link, ServiceName},
};
use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};

/// Contact that is given while no configuration is in force.
const NO_CONTACT: &str = "the operator of this service";
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

/// What all requests share.
#[derive(Debug)]
pub struct Shared {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// What the daemon knows.
    pub directory: Directory,
    /// Counters.
    pub metrics: Metrics,
    /// State of targets.
    pub targets: Arc<Targets>,
    journal: Journal,
    recent: RecentRefusals,
    budgets: Mutex<Map<ServiceName, RetryBudget>>,
    /// Journaled requests that run apart from their connections.
    detached: watch::Sender<usize>,
}

impl Shared {
    /// Counts a first try, which earns a share of a retry.
    pub fn count_first_try(&self, service: &ServiceName) {
        let snapshot = self.directory.snapshot().load();
        let percent = snapshot
            .config
            .as_ref()
            .map_or(0, |c| c.preset.retry_percent);
        let mut budgets = self.budgets();
        match budgets.get_mut(service) {
            Some(budget) => budget.first_try(percent),
            None => budgets
                .entry(service.clone())
                .or_default()
                .first_try(percent),
        }
    }

    /// Spends a retry if one is left.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        let mut budgets = self.budgets();
        budgets.get_mut(service).is_some_and(RetryBudget::spend)
    }

    fn budgets(&self) -> MutexGuard<'_, Map<ServiceName, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a detached request while it exists.
#[derive(Debug)]
struct Detached(Arc<Shared>);

impl Detached {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.detached.send_modify(|count| *count += 1);
        Self(Arc::clone(shared))
    }
}

impl Drop for Detached {
    fn drop(&mut self) {
        self.0.detached.send_modify(|count| *count -= 1);
    }
}

/// Handle to the request path.
#[derive(Clone, Debug)]
pub struct RequestPath {
    shared: Arc<Shared>,
}

/// What is known of a request that is being answered.
#[derive(Debug)]
struct Progress {
    id: u64,
    arrived: Millis,
    service: Option<ServiceName>,
    caller: Arc<str>,
    key: Option<Arc<str>>,
    target: Option<Arc<str>>,
    attempts: u32,
}

impl RequestPath {
    /// Creates the request path. It needs the runtime that it will be used on.
    pub fn new(cx: &RequestPathContext, policies: Policies) -> Self {
        Self {
            shared: Arc::new(Shared {
                link: cx.link.clone(),
                clock: cx.clock,
                directory: cx.directory.clone(),
                metrics: cx.metrics.clone(),
                targets: Arc::new(Targets::new(policies, cx.clock)),
                journal: Journal::start(cx.store.clone(), cx.link.clone(), cx.clock),
                recent: cx.recent.clone(),
                budgets: Mutex::default(),
                detached: watch::Sender::new(0),
            }),
        }
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
        self.answer(Err(Code::Internal), &progress)
    }

    /// State of targets, for the prober.
    pub fn targets(&self) -> Arc<Targets> {
        Arc::clone(&self.shared.targets)
    }

    /// Waits until no journaled request runs.
    pub async fn idle(&self) {
        let mut detached = self.shared.detached.subscribe();
        // The sender is part of `shared`, so waiting cannot fail.
        let _ = detached.wait_for(|&count| count == 0).await;
    }

    /// Answers one request.
    pub async fn handle<B>(&self, head: Head, body: B) -> Response<Bytes>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut progress = Progress {
            id: rand::random(),
            arrived: head.arrived,
            service: head.service(),
            caller: head.caller(),
            key: None,
            target: None,
            attempts: 0,
        };
        let outcome = match self.accept(head, body, &mut progress).await {
            Ok(req) => {
                let done = self.run(req).await;
                progress.target = done.target.clone();
                progress.attempts = done.attempts;
                outcome_of(done)
            }
            Err(code) => Err(code),
        };
        self.answer(outcome, &progress)
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
        head: Head,
        body: B,
        progress: &mut Progress,
    ) -> Result<CallerRequest, Code>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let snapshot = self.shared.directory.snapshot().load_full();
        let mut req = head.check(&snapshot, progress.id)?;
        progress.key = req.key.clone();
        let left = self.shared.clock.until(req.deadline).min(BODY_TIMEOUT);
        let body = timeout(left, Limited::new(body, MAX_BODY_BYTES).collect());
        req.body = match body.await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Code::BodyTooLarge),
            Ok(Err(_)) | Err(_) => return Err(Code::BodyIncomplete),
        };
        Ok(req)
    }

    fn answer(&self, result: Result<Outcome, Code>, progress: &Progress) -> Response<Bytes> {
        let code = match &result {
            Ok(Outcome::Answered(_)) => Code::Answered,
            Ok(Outcome::NotRun(refusal) | Outcome::Unknown(refusal)) => {
                refusal.code.parse().unwrap_or(Code::Internal)
            }
            Err(code) => *code,
        };
        let reference = Reference {
            daemon: self.shared.link.name.clone(),
            at_ms: unix_ms(),
            code,
            id: progress.id,
        };
        let elapsed = self.shared.clock.now().since(progress.arrived);
        let service = progress.service.as_ref().map(|s| &*s.0);
        self.shared.metrics.answered(service, code.kind(), elapsed);
        let reference: Arc<str> = reference.to_string().into();
        let mut response = match result.unwrap_or_else(Code::outcome) {
            Outcome::Answered(answer) => {
                let mut response = Response::new(answer.body);
                *response.status_mut() = answer.status;
                *response.headers_mut() = answer.headers;
                response
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {
                self.refuse(code, &reference, elapsed, progress)
            }
        };
        let headers = response.headers_mut();
        let kind: &'static str = code.kind().into();
        headers.insert(OUTCOME, HeaderValue::from_static(kind));
        if let Ok(value) = HeaderValue::from_str(&reference) {
            headers.insert(REFERENCE, value);
        }
        response
    }

    fn refuse(
        &self,
        code: Code,
        reference: &Arc<str>,
        elapsed: Millis,
        progress: &Progress,
    ) -> Response<Bytes> {
        let record = RefusalRecord {
            reference: Arc::clone(reference),
            outcome: code.kind(),
            code,
            service: progress.service.clone(),
            caller: Arc::clone(&progress.caller),
            key: progress.key.clone(),
            target: progress.target.clone(),
            attempts: progress.attempts,
            elapsed_ms: elapsed.0,
        };
        log::info!(
            target: "request",
            "Request refused. reference={reference} outcome={} code={code} attempts={} \
             target={} elapsed_ms={}",
            record.outcome,
            record.attempts,
            record.target.as_deref().unwrap_or("none"),
            record.elapsed_ms,
        );
        self.shared.recent.push(record);
        let body = RefusalBody {
            outcome: code.kind(),
            reference: Arc::clone(reference),
            code: <&str>::from(code).into(),
            reason: code.reason().into(),
            contact: self.contact(),
        };
        let body = serde_json::to_vec(&body).expect("a refusal is valid JSON");
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = code.status();
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }

    fn contact(&self) -> Arc<str> {
        match &self.shared.directory.snapshot().load().config {
            Some(config) => Arc::clone(&config.preset.contact),
            None => NO_CONTACT.into(),
        }
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
