//! The attempts of a request, and whether another one follows.

use super::{
    ActiveRequest, Forwarder,
    acquire::Acquisition,
    outcome::{Outcome, latest, to_outcome},
};
use crate::{
    clock::Millis,
    gateway::{
        backend::Backend,
        budget::RetryNeed,
        model::{Key, RetryPolicy},
        reply::RejectionReason,
        selection,
        send::{self, Exchange, NotRun, OutgoingRequest, SendContext},
        stop::Stop,
    },
};
use std::sync::atomic::Ordering;
use tokio::time::timeout;

/// Number of tried endpoints at which a request is given up if the last attempt sent nothing.
const MAX_TRIED_UNSENT: usize = 4;

impl Forwarder {
    /// Sends the request, and retries it until it succeeds or must not or cannot be retried.
    pub(super) async fn send_with_retries(
        &self,
        request: &mut ActiveRequest<'_>,
        out: &OutgoingRequest,
    ) -> Outcome {
        let mut last = None;
        loop {
            let backend = match self.acquire(request).await {
                Acquisition::Endpoint(backend) => backend,
                Acquisition::Unavailable(reason) => {
                    return self.with_pause(request, last.unwrap_or(Outcome::Refused(reason)));
                }
            };
            let left = self.clock.until(request.deadline);
            let cx = SendContext {
                names: &self.names,
                body_memory: &self.body_memory,
                daemons: self.daemons.load(Ordering::Relaxed),
                clock: self.clock,
            };
            let sending = timeout(left, send::send(&backend, out, cx, left));
            let result = tokio::select! {
                biased;
                result = sending => result.ok(),
                () = self.responses_due() => None,
            };
            let Some(result) = result else {
                return Outcome::Refused(RejectionReason::Timeout);
            };
            let again = self.should_retry(request, &backend, &result);
            self.log_attempt(request, out, &backend, &result, again);
            let outcome = latest(last, to_outcome(result, request.route.retry_policy));
            if !again {
                return self.with_pause(request, outcome);
            }
            last = Some(outcome);
        }
    }

    /// Completes when a stop of the daemon leaves no more time than it takes to write responses.
    pub(super) async fn responses_due(&self) {
        let mut stop = self.stop.clone();
        let is_due = |stop: &Option<Stop>| stop.is_some_and(|stop| stop.is_due);
        // An error means that the sender was dropped, after the last request.
        if stop.wait_for(is_due).await.is_err() {
            std::future::pending().await
        }
    }

    /// The outcome, with the end of the pause if the request did not run because all endpoints that
    /// could serve it asked for one.
    fn with_pause(&self, request: &ActiveRequest<'_>, outcome: Outcome) -> Outcome {
        if !matches!(outcome, Outcome::Refused(RejectionReason::Shed)) {
            return outcome;
        }
        let (view, now) = (self.view.load(), self.clock.now());
        let until = view.services.get(&request.service).and_then(|service| {
            let Some(key) = request.key else {
                return selection::paused_until(service, now);
            };
            let (_, owner) = service.owner_of(key, now)?;
            owner.backend.pause.blocked_until(now)
        });
        match until {
            Some(until) => Outcome::Refused(RejectionReason::Paused { until }),
            None => outcome,
        }
    }

    /// Whether the request is retried after `result`.
    fn should_retry(
        &self,
        request: &mut ActiveRequest<'_>,
        backend: &Backend,
        result: &Exchange,
    ) -> bool {
        let now = self.clock.now();
        let idempotent = request.route.retry_policy == RetryPolicy::Allowed;
        let may_have_run = match result {
            Exchange::Answered(response) if !response.status().is_server_error() => return false,
            Exchange::Answered(_) | Exchange::MayHaveRun(_) => true,
            Exchange::NotRun(_) => false,
        };
        if may_have_run {
            request.sends += 1;
        }
        if may_have_run && (!idempotent || request.sends >= request.route.max_attempts) {
            return false;
        }
        if let (Exchange::NotRun(NotRun::NotOwner), Some(key)) = (result, request.key) {
            self.record_not_owner(request, backend, key, now);
        } else {
            request.tried.push(backend.entry.instance.clone());
        }
        if now >= request.deadline {
            return false;
        }
        let is_unsent = matches!(
            result,
            Exchange::NotRun(NotRun::NotSent | NotRun::Leaving | NotRun::Paused)
        );
        if is_unsent {
            // Nothing reached the endpoint, so another attempt does not count against the retry
            // budget.
            return request.tried.len() < MAX_TRIED_UNSENT;
        }
        let need = retry_need(request, backend, result, now);
        let view = self.view.load();
        let daemons = self.daemons.load(Ordering::Relaxed);
        view.services
            .get(&request.service)
            .is_some_and(|service| service.state.try_retry(need, daemons, now))
    }

    /// Holds back further requests for the key and those near it for a moment, because the endpoint
    /// no longer owns it: it is moving to another owner.
    fn record_not_owner(
        &self,
        request: &ActiveRequest<'_>,
        backend: &Backend,
        key: Key,
        now: Millis,
    ) {
        let view = self.view.load();
        if let Some(service) = view.services.get(&request.service)
            && let Some(range) = service.owners.range_of(key)
            && range.owner == backend.entry.instance
        {
            backend.record_not_owner(key, range.token, now);
        }
    }

    fn log_attempt(
        &self,
        request: &ActiveRequest<'_>,
        out: &OutgoingRequest,
        backend: &Backend,
        result: &Exchange,
        again: bool,
    ) {
        let result_text = match result {
            Exchange::Answered(response) if !response.status().is_server_error() => return,
            Exchange::Answered(response) => format!("status-{}", response.status().as_u16()),
            Exchange::NotRun(reason) => format!("not-run/{reason}"),
            Exchange::MayHaveRun(reason) => format!("may-have-run/{reason}"),
        };
        log::info!(
            target: "request", id:% = out.id.to_str().unwrap_or("-"), route:% = request.route.name, service:% = request.service,
            endpoint:% = backend.entry.instance.name, key:? = request.key, result:% = result_text, again,
            sends = request.sends, after:% = self.clock.now().since(request.arrived),
            view = self.view.load().version;
            "Attempt failed."
        );
    }
}

/// How much the request needs a retry by this daemon.
fn retry_need(
    request: &ActiveRequest<'_>,
    backend: &Backend,
    result: &Exchange,
    now: Millis,
) -> RetryNeed {
    if !matches!(result, Exchange::NotRun(NotRun::Shed)) {
        return RetryNeed::Needed;
    }
    let returns_at_once = request.key.is_some() && backend.serves_on_return(now);
    RetryNeed::after_shed(returns_at_once, request.has_returned)
}
