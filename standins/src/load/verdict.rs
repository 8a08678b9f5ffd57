//! Judges an answer: what it says of the request, and whether it is the caller's own and whole.

use super::arrivals::Route;
use bytes::Bytes;
use fireflygauge::{
    routing::outcome::{OutcomeKind, RefusalBody},
    target_api::{NOT_RUN, OUTCOME, REFERENCE},
};
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use strum::Display;

/// What became of a request, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Verdict {
    /// The target's own answer to this request, whole.
    Answered,
    /// Refused, and said not to have run.
    NotRun,
    /// Refused, and said that it may have run.
    Unknown,
    /// An answer to another request, a truncated one, or a refusal that breaks the contract.
    Wrong,
    /// No answer: the connection failed or the time limit passed.
    Lost,
}

/// An answer as received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// What the request's own answer contains.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Query parameter `token` of the request.
    pub token: String,
    /// Body of the request.
    pub body: Bytes,
    /// Bytes of padding that were asked for.
    pub answer_bytes: usize,
}

/// The parts of a target's answer that tell whose it is and whether it is whole.
#[derive(Deserialize)]
struct Echo<'a> {
    token: &'a str,
    body: String,
    padding: &'a str,
}

/// Judges the answer to a request.
pub fn judge(route: Route, expected: &Expected, received: &Received) -> Verdict {
    match route {
        Route::Direct => judge_direct(expected, received),
        Route::Routed => judge_routed(expected, received),
    }
}

fn judge_direct(expected: &Expected, received: &Received) -> Verdict {
    if received.headers.contains_key(NOT_RUN) {
        Verdict::NotRun
    } else {
        own_answer(expected, received)
    }
}

fn judge_routed(expected: &Expected, received: &Received) -> Verdict {
    let outcome = received.headers.get(OUTCOME).and_then(|v| v.to_str().ok());
    match outcome.and_then(|text| text.parse().ok()) {
        Some(OutcomeKind::Answered) => own_answer(expected, received),
        Some(kind) if keeps_contract(kind, received) => match kind {
            OutcomeKind::NotRun => Verdict::NotRun,
            _ => Verdict::Unknown,
        },
        _ => Verdict::Wrong,
    }
}

fn own_answer(expected: &Expected, received: &Received) -> Verdict {
    let Ok(echo) = serde_json::from_slice::<Echo>(&received.body) else {
        return Verdict::Wrong;
    };
    let own = echo.token == expected.token && echo.body.as_bytes() == expected.body;
    if own && echo.padding.len() == expected.answer_bytes {
        Verdict::Answered
    } else {
        Verdict::Wrong
    }
}

/// Whether a refusal says the same in its status, headers and body, and names a human operator.
fn keeps_contract(kind: OutcomeKind, received: &Received) -> bool {
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
