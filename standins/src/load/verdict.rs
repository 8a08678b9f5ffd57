//! Judges an answer: what it says of the request, and whether it is the caller's own and whole.

use super::arrivals::Route;
use bytes::Bytes;
use fireflygauge::{
    routing::outcome::{OutcomeKind, RefusalBody},
    target_api::{NOT_RUN, OUTCOME, REFERENCE},
};
use http::{HeaderMap, StatusCode};
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

/// Judges the answer to the request that carried `token` in its path.
pub fn judge(route: Route, token: &str, received: &Received) -> Verdict {
    match route {
        Route::Direct => judge_direct(token, received),
        Route::Routed => judge_routed(token, received),
    }
}

fn judge_direct(token: &str, received: &Received) -> Verdict {
    if received.headers.contains_key(NOT_RUN) {
        Verdict::NotRun
    } else {
        own_answer(token, received)
    }
}

fn judge_routed(token: &str, received: &Received) -> Verdict {
    let outcome = received.headers.get(OUTCOME).and_then(|v| v.to_str().ok());
    match outcome.and_then(|text| text.parse().ok()) {
        Some(OutcomeKind::Answered) => own_answer(token, received),
        Some(kind) if keeps_contract(kind, received) => match kind {
            OutcomeKind::NotRun => Verdict::NotRun,
            _ => Verdict::Unknown,
        },
        _ => Verdict::Wrong,
    }
}

fn own_answer(token: &str, received: &Received) -> Verdict {
    let own = contains(&received.body, token.as_bytes());
    if own {
        Verdict::Answered
    } else {
        Verdict::Wrong
    }
}

fn contains(body: &[u8], token: &[u8]) -> bool {
    body.windows(token.len()).any(|window| window == token)
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
