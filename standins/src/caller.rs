//! Callers that record the result of every request.

use crate::target::{ANSWER_BYTES, TOKEN, TargetResponse, WORK_MS, history::boottime_us};
use bytes::Bytes;
use fireflygauge::{
    collections::Map,
    routing::outcome::{OutcomeKind, RefusalBody},
    target_api::{CALLER, IDEMPOTENCY_KEY, OUTCOME, TIMEOUT_MS},
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{
    error::Error,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Time beyond its deadline that a caller waits for a response.
const RESPONSE_GRACE: Duration = Duration::from_millis(300);

/// A request to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: Arc<str>,
    /// The key, or any path segment for a service that is not divided by key.
    pub key: Arc<str>,
    /// Method.
    pub method: Method,
    /// Idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Deadline in milliseconds.
    pub timeout_ms: u64,
    /// Service time at the target, in milliseconds.
    pub work_ms: u64,
    /// Length of the response's padding.
    pub answer_bytes: usize,
}

impl Call {
    /// A request with an empty response, no service time and a deadline of 1 s.
    pub fn new(method: Method, service: &str, key: &str) -> Self {
        Self {
            service: service.into(),
            key: key.into(),
            method,
            idempotency_key: None,
            timeout_ms: 1_000,
            work_ms: 0,
            answer_bytes: 0,
        }
    }

    /// The same request under an idempotency key.
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.into());
        self
    }

    /// The same request with a service time in milliseconds.
    pub fn with_work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// The same request with a deadline in milliseconds.
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// The result of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The target's response.
    Answered(StatusCode, Box<TargetResponse>),
    /// The daemon says that it did not run.
    NotRun(StatusCode, RefusalBody),
    /// The daemon says that it may have run.
    Unknown(StatusCode, RefusalBody),
    /// The daemon accepted no connection, or had closed an idle one before anything was sent on it.
    NotSent,
    /// The daemon sent no complete response in time.
    Incomplete(String),
    /// The daemon sent a response that fits none of these.
    Malformed(String),
}

/// One request and its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub call: Call,
    /// The caller's token, unique for each attempt.
    pub token: Arc<str>,
    /// The daemon that it was sent to.
    pub daemon: SocketAddr,
    /// When it was sent, in microseconds of the machine's boot-time clock.
    pub sent_us: u64,
    /// When its result was known, on the same clock.
    pub done_us: u64,
    /// Its result.
    pub result: CallResult,
}

impl Attempt {
    /// Whether a response of the target with a success status arrived.
    pub fn is_answered(&self) -> bool {
        matches!(&self.result, CallResult::Answered(status, _) if status.is_success())
    }
}

/// Number of attempts, and of those without success by reason, for messages of failed tests.
pub fn failure_summary(attempts: &[Attempt]) -> String {
    let mut failures: Map<String, usize> = Map::default();
    for attempt in attempts.iter().filter(|a| !a.is_answered()) {
        let reason = match &attempt.result {
            CallResult::NotRun(_, refusal) | CallResult::Unknown(_, refusal) => {
                format!("{}: {}", refusal.outcome, refusal.reason)
            }
            CallResult::Answered(status, _) => format!("answered: {status}"),
            other => format!("{other:?}"),
        };
        *failures.entry(reason).or_default() += 1;
    }
    format!("{} attempts; not successful: {failures:?}", attempts.len())
}

/// Makes requests and records them. Clones share the record.
#[derive(Clone, Debug)]
pub struct Caller {
    name: Arc<str>,
    client: Client<HttpConnector, Full<Bytes>>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    count: Arc<AtomicU64>,
}

impl Caller {
    /// Creates a caller with an empty record.
    pub fn new(name: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            name: name.into(),
            client,
            attempts: Arc::default(),
            count: Arc::default(),
        }
    }

    /// Makes a request to the daemon at `daemon` and records it.
    pub async fn send(&self, daemon: SocketAddr, call: &Call) -> Attempt {
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let token: Arc<str> = format!("{}-{number}", self.name).into();
        let sent_us = boottime_us();
        let limit = Duration::from_millis(call.timeout_ms) + RESPONSE_GRACE;
        let result = match tokio::time::timeout(limit, self.exchange(daemon, call, &token)).await {
            Ok(result) => result,
            Err(_) => CallResult::Incomplete(format!("no response within {limit:?}")),
        };
        let attempt = Attempt {
            call: call.clone(),
            token,
            daemon,
            sent_us,
            done_us: boottime_us(),
            result,
        };
        let mut attempts = self.attempts.lock().expect("no thread panics with it");
        attempts.push(attempt.clone());
        attempt
    }

    /// All attempts so far, in order of their ends.
    pub fn attempts(&self) -> Vec<Attempt> {
        let attempts = self.attempts.lock().expect("no thread panics with it");
        attempts.clone()
    }

    /// Calls `read` with all attempts so far, in order of their ends, without copying them. Requests
    /// that end meanwhile wait for it, so it must be short.
    pub fn with_attempts<T>(&self, read: impl FnOnce(&[Attempt]) -> T) -> T {
        let attempts = self.attempts.lock().expect("no thread panics with it");
        read(&attempts)
    }

    async fn exchange(&self, daemon: SocketAddr, call: &Call, token: &str) -> CallResult {
        let uri = format!("http://{daemon}/{}/{}/item", call.service, call.key);
        let mut req = Request::builder()
            .method(&call.method)
            .uri(uri)
            .header(CALLER, &*self.name)
            .header(TIMEOUT_MS, call.timeout_ms)
            .header(TOKEN, token)
            .header(WORK_MS, call.work_ms)
            .header(ANSWER_BYTES, call.answer_bytes);
        if let Some(key) = &call.idempotency_key {
            req = req.header(IDEMPOTENCY_KEY, &**key);
        }
        // The token is in a header only: a retry must be the same request.
        let body = match call.method {
            Method::GET => Bytes::new(),
            _ => Bytes::copy_from_slice(call.key.as_bytes()),
        };
        let req = req.body(Full::new(body)).expect("the request is valid");
        let answer = match self.client.request(req).await {
            Ok(answer) => answer,
            Err(e) if e.is_connect() || is_unsent(&e) => return CallResult::NotSent,
            Err(e) => return CallResult::Incomplete(format!("{e:?}")),
        };
        let (head, body) = answer.into_parts();
        match body.collect().await {
            Ok(body) => classify_response(head.status, &head.headers, &body.to_bytes()),
            Err(e) => CallResult::Incomplete(format!("{e:?}")),
        }
    }
}

/// Whether nothing of the request was sent because its connection, chosen among the idle ones, turned
/// out to be closed. hyper reports a request as cancelled only if it has not begun to write it.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    let cause = error
        .source()
        .and_then(|e| e.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_canceled)
}

/// Classifies a response; it is malformed if anything that a caller relies on is missing.
fn classify_response(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> CallResult {
    let text = || String::from_utf8_lossy(body);
    let outcome = headers.get(OUTCOME).and_then(|v| v.to_str().ok());
    let Some(outcome) = outcome.and_then(|text| text.parse::<OutcomeKind>().ok()) else {
        return CallResult::Malformed(format!("{status} without an outcome: {}", text()));
    };
    if outcome == OutcomeKind::Answered {
        return match serde_json::from_slice(body) {
            Ok(answer) => CallResult::Answered(status, Box::new(answer)),
            Err(e) => CallResult::Malformed(format!("{status} {e}: {}", text())),
        };
    }
    match serde_json::from_slice::<RefusalBody>(body) {
        Ok(refusal) if refusal.outcome == outcome && is_complete(&refusal) => match outcome {
            OutcomeKind::NotRun => CallResult::NotRun(status, refusal),
            _ => CallResult::Unknown(status, refusal),
        },
        _ => CallResult::Malformed(format!("{status} {outcome}: {}", text())),
    }
}

fn is_complete(refusal: &RefusalBody) -> bool {
    let parts = [&refusal.reference, &refusal.reason, &refusal.contact];
    parts.iter().all(|part| !part.is_empty())
}
