//! Sends one request from this daemon to a target, after admission.

use super::{
    exchange::ExchangeResult,
    front::RequiredLease,
    refusal::Code,
    shared::Shared,
    targets::{TargetState, limit_sample},
};
use crate::{clock::Millis, target_api::DEADLINE_MS};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use std::{sync::Arc, time::Duration};

/// A request to be sent to a target.
#[derive(Debug)]
pub struct OutboundRequest<'a> {
    /// State of the target.
    pub state: &'a TargetState,
    /// Name of the target, as a metrics label.
    pub target: &'a str,
    /// Name of the caller, for fair queueing.
    pub caller: &'a Arc<str>,
    /// Largest number of requests that may be queued for the target.
    pub queue_length: usize,
    /// When the request must have ended.
    pub deadline: Millis,
    /// The message, without its deadline header.
    pub message: Request<Full<Bytes>>,
    /// Its `x-request-id`.
    pub id: &'a str,
    /// The lease that the request requires; `None` unless this daemon is the target's front daemon.
    pub lease: Option<RequiredLease>,
}

/// Waits for admission, sends the request and reads the complete response.
pub async fn send(cx: &Shared, request: OutboundRequest<'_>) -> ExchangeResult {
    let (state, deadline) = (request.state, request.deadline);
    let acquired = state
        .admission
        .acquire(request.caller, request.queue_length, deadline);
    let permit = match acquired.await {
        Ok(permit) => permit,
        Err(code) => return ExchangeResult::NotRun(code),
    };
    if permit.waited() {
        let waiting = state.admission.lock_state().queue_len();
        cx.metrics.set_queue_length(request.target, waiting);
    }
    let sent = cx.clock.now();
    let time_allowed: Duration = deadline.since(sent).into();
    let result = exchange(cx, request, time_allowed).await;
    let now = cx.clock.now();
    permit.finish(limit_sample(&result, now.since(sent)));
    state.record_result(&result, time_allowed, now);
    result
}

async fn exchange(
    cx: &Shared,
    mut request: OutboundRequest<'_>,
    time_allowed: Duration,
) -> ExchangeResult {
    let Some(connection) = request.state.pool.connection(time_allowed).await else {
        return ExchangeResult::NotRun(Code::ConnectFailed);
    };
    // The lease is checked last, right before the request is written.
    let begun = request.lease.take().map(|lease| cx.fronts.begin(lease));
    let mut guard = match begun.transpose() {
        Ok(guard) => guard,
        Err(code) => return ExchangeResult::NotRun(code),
    };
    let deadline = match &mut guard {
        Some(guard) => guard.cap_deadline(request.deadline),
        None => request.deadline,
    };
    let left = cx.clock.until(deadline);
    let left_ms = left.as_millis() as u64;
    if left_ms == 0 {
        if let Some(guard) = guard {
            guard.mark_completed();
        }
        return ExchangeResult::NotRun(Code::TooLate);
    }
    let headers = request.message.headers_mut();
    headers.insert(DEADLINE_MS, left_ms.into());
    let result = connection.exchange(request.message, request.id, left).await;
    if let Some(guard) = guard
        && !matches!(result, ExchangeResult::MayHaveRun(_))
    {
        guard.mark_completed();
    }
    result
}
