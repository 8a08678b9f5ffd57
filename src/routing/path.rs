//! A caller's request from its arrival to its answer.

use super::{
    dispatch::{Dispatched, dispatch},
    exchange::Exchange,
    outcome::{Outcome, RefusalBody},
    pool::Pool,
    reference::Reference,
    refusal::{Code, RecentRefusals, RefusalRecord},
    request::{CallerRequest, Head, MAX_BODY_BYTES},
};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    entry::{directory::Directory, metrics::Metrics},
    store::StoreClient,
    target_api::{OUTCOME, REFERENCE},
    world::{Link, ServiceName, TargetKey},
};
use bytes::Bytes;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::timeout;

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
    recent: RecentRefusals,
    pools: Mutex<Map<(TargetKey, SocketAddr), Arc<Pool>>>,
}

impl Shared {
    /// The pool of connections to a target.
    pub fn pool(&self, target: TargetKey, addr: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools
            .entry((target, addr))
            .or_insert_with(|| Arc::new(Pool::new(addr)));
        Arc::clone(pool)
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
    pub fn new(cx: &RequestPathContext) -> Self {
        Self {
            shared: Arc::new(Shared {
                link: cx.link.clone(),
                clock: cx.clock,
                directory: cx.directory.clone(),
                metrics: cx.metrics.clone(),
                recent: cx.recent.clone(),
                pools: Mutex::default(),
            }),
        }
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
                let done = dispatch(&self.shared, &req).await;
                progress.target = done.target.clone();
                progress.attempts = done.attempts;
                outcome_of(done)
            }
            Err(code) => Err(code),
        };
        self.answer(outcome, &progress)
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

fn outcome_of(done: Dispatched) -> Result<Outcome, Code> {
    match done.result {
        Exchange::Answered(answer) => Ok(Outcome::Answered(answer)),
        Exchange::NotRun(code) | Exchange::MayHaveRun(code) => Err(code),
    }
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
