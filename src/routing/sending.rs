//! Sends one message from this daemon to a target, after admission.

use super::{
    exchange::Exchange,
    front::Claim,
    refusal::Code,
    shared::Shared,
    targets::{TargetState, ended},
};
use crate::{clock::Millis, target_api::DEADLINE_MS};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use std::{sync::Arc, time::Duration};

/// One message on its way to a target.
#[derive(Debug)]
pub struct Sending<'a> {
    /// State of the target.
    pub state: &'a TargetState,
    /// Name of the target, for metrics.
    pub target: &'a str,
    /// Who is asking, for fairness.
    pub caller: &'a Arc<str>,
    /// Requests that may wait for the target.
    pub queue_length: usize,
    /// When the request must have ended.
    pub deadline: Millis,
    /// The message, complete but for its deadline.
    pub message: Request<Full<Bytes>>,
    /// Its `x-request-id`.
    pub id: &'a str,
    /// The lease that it needs, if this daemon holds it in place of the target.
    pub claim: Option<Claim>,
}

/// Waits for admission, sends the message and reads the whole answer.
pub async fn send(cx: &Shared, sending: Sending<'_>) -> Exchange {
    let (state, deadline) = (sending.state, sending.deadline);
    let entered = state
        .admission
        .enter(sending.caller, sending.queue_length, deadline);
    let permit = match entered.await {
        Ok(permit) => permit,
        Err(code) => return Exchange::NotRun(code),
    };
    if permit.waited() {
        let waiting = state.admission.gate().queue_len();
        cx.metrics.set_queue_length(sending.target, waiting);
    }
    let sent = cx.clock.now();
    let given: Duration = deadline.since(sent).into();
    let result = exchange(cx, sending, given).await;
    let now = cx.clock.now();
    permit.end(ended(&result, now.since(sent)));
    state.learn(&result, given, now);
    result
}

async fn exchange(cx: &Shared, mut sending: Sending<'_>, given: Duration) -> Exchange {
    let Some(connection) = sending.state.pool.connection(given).await else {
        return Exchange::NotRun(Code::ConnectFailed);
    };
    // The lease is checked last, right before the message is written.
    let claimed = sending.claim.take().map(|claim| cx.fronts.begin(claim));
    let mut running = match claimed.transpose() {
        Ok(running) => running,
        Err(code) => return Exchange::NotRun(code),
    };
    let deadline = match &mut running {
        Some(running) => running.limit(sending.deadline),
        None => sending.deadline,
    };
    let left = cx.clock.until(deadline);
    let left_ms = left.as_millis() as u64;
    if left_ms == 0 {
        if let Some(running) = running {
            running.settle();
        }
        return Exchange::NotRun(Code::TooLate);
    }
    let headers = sending.message.headers_mut();
    headers.insert(DEADLINE_MS, left_ms.into());
    let result = connection.exchange(sending.message, sending.id, left).await;
    if let Some(running) = running
        && !matches!(result, Exchange::MayHaveRun(_))
    {
        running.settle();
    }
    result
}
