//! Responses to callers: the target's response, or a refusal with a reference and an operator
//! contact.

use super::{
    outcome::{Outcome, RefusalBody},
    reference::{Reference, unix_ms},
    refusal::{Code, RefusalRecord},
    shared::Shared,
};
use crate::{
    clock::Millis,
    target_api::{OUTCOME, REFERENCE},
    world::ServiceName,
};
use bytes::Bytes;
use http::{HeaderValue, Response, header};
use std::sync::Arc;

/// Operator contact while no configuration is in force.
const NO_CONTACT: &str = "the operator of this service";

/// Data of a request that its response, the metrics and the refusal record need.
#[derive(Debug)]
pub struct RequestSummary {
    /// Id of the request.
    pub id: u64,
    /// When the request arrived.
    pub arrived: Millis,
    /// The service; `None` if the path names no known one.
    pub service: Option<ServiceName>,
    /// Name of the caller.
    pub caller: Arc<str>,
    /// The key; `None` unless the service is keyed and the request was valid.
    pub key: Option<Arc<str>>,
    /// The last target of an attempt; `None` if there was none.
    pub target: Option<Arc<str>>,
    /// Number of requests sent to targets.
    pub attempts: u32,
}

/// Builds the response for a request's outcome, or the refusal for its code.
pub fn build_response(
    shared: &Shared,
    result: Result<Outcome, Code>,
    summary: &RequestSummary,
) -> Response<Bytes> {
    let code = match &result {
        Ok(Outcome::Answered(_)) => Code::Answered,
        Ok(Outcome::NotRun(refusal) | Outcome::Unknown(refusal)) => {
            refusal.code.parse().unwrap_or(Code::Internal)
        }
        Err(code) => *code,
    };
    let reference = Reference {
        daemon: shared.link.name.clone(),
        at_ms: unix_ms(),
        code,
        id: summary.id,
    };
    let elapsed = shared.clock.now().since(summary.arrived);
    let service = summary.service.as_ref().map(|s| &*s.0);
    shared
        .metrics
        .record_response(service, code.kind(), elapsed);
    let reference: Arc<str> = reference.to_string().into();
    let mut response = match result.unwrap_or_else(Code::outcome) {
        Outcome::Answered(target_response) => {
            let mut response = Response::new(target_response.body);
            *response.status_mut() = target_response.status;
            *response.headers_mut() = target_response.headers;
            response
        }
        Outcome::NotRun(_) | Outcome::Unknown(_) => {
            refusal_response(shared, code, &reference, elapsed, summary)
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

fn refusal_response(
    shared: &Shared,
    code: Code,
    reference: &Arc<str>,
    elapsed: Millis,
    summary: &RequestSummary,
) -> Response<Bytes> {
    let record = RefusalRecord {
        reference: Arc::clone(reference),
        outcome: code.kind(),
        code,
        service: summary.service.clone(),
        caller: Arc::clone(&summary.caller),
        key: summary.key.clone(),
        target: summary.target.clone(),
        attempts: summary.attempts,
        elapsed_ms: elapsed.0,
    };
    if let Some(suppressed) = shared.log_limit.allow(shared.clock.now()) {
        log::info!(
            target: "request", reference:% = reference, outcome:% = record.outcome, code:% = code,
            attempts = record.attempts, target_name = record.target.as_deref().unwrap_or("none"),
            elapsed_ms = record.elapsed_ms, suppressed;
            "Request refused."
        );
    }
    shared.recent.push(record);
    let body = RefusalBody {
        outcome: code.kind(),
        reference: Arc::clone(reference),
        code: <&str>::from(code).into(),
        reason: code.reason().into(),
        contact: contact(shared),
    };
    let body = serde_json::to_vec(&body).expect("a refusal is valid JSON");
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = code.status();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn contact(shared: &Shared) -> Arc<str> {
    match &shared.directory.snapshot().load().config {
        Some(config) => Arc::clone(&config.preset.contact),
        None => NO_CONTACT.into(),
    }
}
