//! Sends one request and reads the complete response.

use super::{
    arrivals::{Arrival, Route},
    mix::{CallerShare, ServiceShare},
    options::Options,
    response::{Expected, Received, RequestResult, classify},
};
use bytes::Bytes;
use fireflygauge::{
    partition::partition_of,
    target_api::{CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, PARTITION, REQUEST_ID, TIMEOUT_MS},
};
use http::{HeaderValue, Method, Request, header::CONTENT_TYPE, request::Builder};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time beyond a request's own deadline to wait for the refusal.
const REFUSAL_GRACE: Duration = Duration::from_secs(1);

/// Request header that sets a stand-in target's service time, in milliseconds.
const WORK_MS: &str = "x-work-ms";
/// Request header that sets the length of the padding in a stand-in target's response, in bytes.
const ANSWER_BYTES: &str = "x-answer-bytes";

/// Sends requests to daemons and targets.
#[derive(Clone, Debug)]
pub struct Sender {
    inner: Client<HttpConnector, Full<Bytes>>,
    entries: Arc<[SocketAddr]>,
    direct: Arc<[Vec<SocketAddr>]>,
    services: Arc<[ServiceShare]>,
    callers: Arc<[HeaderValue]>,
    timeout_ms: u64,
    work_ms: u64,
    answer_bytes: usize,
    padding: Arc<str>,
    partitions: u32,
    run_id: u64,
}

impl Sender {
    /// Creates a sender with an empty connection pool. `services` is the list that arrivals index.
    pub fn new(options: &Options, services: Arc<[ServiceShare]>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let inner = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        let direct = services
            .iter()
            .map(|share| direct_addrs(options, &share.service))
            .collect();
        Self {
            inner,
            entries: options.entries.clone().into(),
            direct,
            services,
            callers: options
                .callers
                .iter()
                .map(|c| caller_header(options, c))
                .collect(),
            timeout_ms: options.timeout_ms,
            work_ms: options.work_ms,
            answer_bytes: options.answer_bytes,
            padding: "x".repeat(options.body_bytes).into(),
            partitions: options.partitions,
            run_id: rand::random(),
        }
    }

    /// Sends `arrival` and classifies the response.
    pub async fn send(&self, arrival: &Arrival) -> RequestResult {
        let token = format!("t{:016x}-{}", self.run_id, arrival.number);
        let body = if arrival.idempotent {
            Bytes::new()
        } else {
            self.body(&token)
        };
        let expected = Expected {
            token,
            body,
            answer_bytes: self.answer_bytes,
        };
        let Some(req) = self.request(arrival, &expected) else {
            return RequestResult::Lost;
        };
        let limit = Duration::from_millis(self.timeout_ms) + REFUSAL_GRACE;
        match tokio::time::timeout(limit, self.exchange(req)).await {
            Ok(Some(received)) => classify(arrival.route, &expected, &received),
            Ok(None) | Err(_) => RequestResult::Lost,
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Option<Received> {
        let response = self.inner.request(req).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Received {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    fn request(&self, arrival: &Arrival, expected: &Expected) -> Option<Request<Full<Bytes>>> {
        let share = &self.services[arrival.service];
        let key = format!("k{}", arrival.key);
        let addrs = match arrival.route {
            Route::Routed => &*self.entries,
            Route::Direct => &self.direct[arrival.service],
        };
        let addr = addrs[arrival.number as usize % addrs.len()];
        let token = &expected.token;
        let mut builder = Request::builder()
            .uri(format!(
                "http://{addr}/{}/{key}?token={token}",
                share.service
            ))
            .header(CALLER, self.callers[arrival.caller].clone())
            .header(TIMEOUT_MS, self.timeout_ms)
            .header(WORK_MS, self.work_ms)
            .header(ANSWER_BYTES, self.answer_bytes);
        if arrival.route == Route::Direct {
            builder = self.with_daemon_headers(builder, share, &key, token);
        }
        if arrival.has_idempotency_key {
            builder = builder.header(IDEMPOTENCY_KEY, token);
        }
        let method = if arrival.idempotent {
            Method::GET
        } else {
            Method::POST
        };
        if !arrival.idempotent {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        builder
            .method(method)
            .body(Full::new(expected.body.clone()))
            .ok()
    }

    /// Adds the headers that a daemon adds, so that the target processes a direct request in the same
    /// way.
    fn with_daemon_headers(
        &self,
        builder: Builder,
        share: &ServiceShare,
        key: &str,
        token: &str,
    ) -> Builder {
        let builder = builder
            .header(REQUEST_ID, token)
            .header(DEADLINE_MS, self.timeout_ms);
        if share.keyed {
            builder.header(PARTITION, partition_of(key, self.partitions).0)
        } else {
            builder
        }
    }

    fn body(&self, token: &str) -> Bytes {
        format!("{{\"token\":\"{token}\",\"padding\":\"{}\"}}", self.padding).into()
    }
}

/// The direct targets of `service`.
fn direct_addrs(options: &Options, service: &str) -> Vec<SocketAddr> {
    options
        .direct
        .iter()
        .filter(|target| &*target.service == service)
        .map(|target| target.addr)
        .collect()
}

fn caller_header(options: &Options, caller: &CallerShare) -> HeaderValue {
    if options.same_caller {
        return HeaderValue::from_static("all");
    }
    HeaderValue::from_str(&caller.name).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
