//! Classifies a response: whether the request was answered or refused, and whether the response is
//! complete and belongs to this request.

use super::arrivals::Route;
use bytes::Bytes;
use fireflygauge::{
    routing::outcome::{OutcomeKind, RefusalBody},
    target_api::{NOT_RUN, OUTCOME, REFERENCE},
};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use strum::Display;

/// Result of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestResult {
    /// The target's complete response to this request.
    Answered,
    /// Refused; the response states that the request did not run.
    NotRun,
    /// Refused; the response states that the request may have run.
    Unknown,
    /// A response to another request, a truncated one, or a refusal that breaks the contract.
    Wrong,
    /// No response: the connection failed or the time limit passed.
    Lost,
}

/// A response as received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Contents of a correct response to the request.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Query parameter `token` of the request.
    pub token: String,
    /// Body of the request.
    pub body: Bytes,
    /// Bytes of padding that were requested.
    pub answer_bytes: usize,
}

/// The parts of a target's response that identify the request and show a truncated body.
#[derive(Deserialize)]
struct Echo<'a> {
    token: &'a str,
    body: String,
    padding: &'a str,
}

/// Classifies the response to a request sent by `route`.
pub fn classify(route: Route, expected: &Expected, received: &Received) -> RequestResult {
    match route {
        Route::Direct => classify_direct(expected, received),
        Route::Routed => classify_routed(expected, received),
    }
}

fn classify_direct(expected: &Expected, received: &Received) -> RequestResult {
    if received.headers.contains_key(NOT_RUN) {
        RequestResult::NotRun
    } else {
        check_response(expected, received)
    }
}

fn classify_routed(expected: &Expected, received: &Received) -> RequestResult {
    let outcome = received.headers.get(OUTCOME).and_then(|v| v.to_str().ok());
    match outcome.and_then(|text| text.parse().ok()) {
        Some(OutcomeKind::Answered) => check_response(expected, received),
        Some(kind) if is_valid_refusal(kind, received) => match kind {
            OutcomeKind::NotRun => RequestResult::NotRun,
            _ => RequestResult::Unknown,
        },
        _ => RequestResult::Wrong,
    }
}

fn check_response(expected: &Expected, received: &Received) -> RequestResult {
    let Ok(echo) = serde_json::from_slice::<Echo>(&received.body) else {
        return RequestResult::Wrong;
    };
    let own = echo.token == expected.token && echo.body.as_bytes() == expected.body;
    if own && echo.padding.len() == expected.answer_bytes {
        RequestResult::Answered
    } else {
        RequestResult::Wrong
    }
}

/// Whether a refusal's status, headers and body agree, and it gives a reason and an operator contact.
fn is_valid_refusal(kind: OutcomeKind, received: &Received) -> bool {
    let Ok(body) = serde_json::from_slice::<RefusalBody>(&received.body) else {
        return false;
    };
    let status_fits = match kind {
        OutcomeKind::Unknown => received.status == StatusCode::GATEWAY_TIMEOUT,
        _ => {
            received.status == StatusCode::SERVICE_UNAVAILABLE || received.status.is_client_error()
        }
    };
    let reference = received
        .headers
        .get(REFERENCE)
        .and_then(|v| v.to_str().ok());
    status_fits
        && body.outcome == kind
        && reference == Some(&*body.reference)
        && !body.reference.is_empty()
        && !body.reason.is_empty()
        && !body.contact.is_empty()
}
