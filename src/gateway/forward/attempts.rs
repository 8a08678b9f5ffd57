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
        send::{Exchange, NotRun, OutgoingRequest},
        stop::Stop,
    },
};
use std::sync::{Arc, atomic::Ordering};

/// Number of tried endpoints at which a request is given up if the last attempt sent nothing.
const MAX_TRIED_UNSENT: usize = 4;

/// An attempt that has ended.
pub(super) struct Attempt {
    pub(super) backend: Arc<Backend>,
    pub(super) result: Exchange,
}

impl Attempt {
    /// Whether the endpoint responded, and not with a server error.
    pub(super) fn is_success(&self) -> bool {
        match &self.result {
            Exchange::Answered(response) => !response.status().is_server_error(),
            Exchange::NotRun(_) | Exchange::MayHaveRun(_) => false,
        }
    }
}

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
            let sent = self.send_hedged(request, out, backend).await;
            if let Some(failed) = sent.failed {
                self.record_failure(request, &failed);
                self.log_attempt(request, out, &failed, true);
                last = Some(latest(
                    last,
                    to_outcome(failed.result, request.route.retry_policy),
                ));
            }
            let Some(attempt) = sent.last else {
                let answered = last.filter(|outcome| matches!(outcome, Outcome::Answered(_)));
                return answered.unwrap_or(Outcome::Refused(RejectionReason::Timeout));
            };
            let again = self.should_retry(request, &attempt);
            self.log_attempt(request, out, &attempt, again);
            let outcome = latest(last, to_outcome(attempt.result, request.route.retry_policy));
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

    /// Whether the request is retried after `attempt`, which is recorded if it failed.
    fn should_retry(&self, request: &mut ActiveRequest<'_>, attempt: &Attempt) -> bool {
        if attempt.is_success() {
            return false;
        }
        self.record_failure(request, attempt);
        let may_have_run = !matches!(attempt.result, Exchange::NotRun(_));
        let idempotent = request.route.retry_policy == RetryPolicy::Allowed;
        if may_have_run && (!idempotent || request.sends >= request.route.max_attempts) {
            return false;
        }
        let now = self.clock.now();
        if now >= request.deadline {
            return false;
        }
        let is_unsent = matches!(
            attempt.result,
            Exchange::NotRun(NotRun::NotSent | NotRun::Leaving | NotRun::Paused)
        );
        if is_unsent {
            // Nothing reached the endpoint, so another attempt does not count against the retry
            // budget.
            return request.tried.len() < MAX_TRIED_UNSENT;
        }
        let need = retry_need(request, attempt, now);
        let view = self.view.load();
        let daemons = self.daemons.load(Ordering::Relaxed);
        view.services
            .get(&request.service)
            .is_some_and(|service| service.state.try_retry(need, daemons, now))
    }

    /// Records a failed attempt in the request.
    fn record_failure(&self, request: &mut ActiveRequest<'_>, failed: &Attempt) {
        if !matches!(failed.result, Exchange::NotRun(_)) {
            request.sends += 1;
        }
        let backend = &failed.backend;
        match (&failed.result, request.key) {
            (Exchange::NotRun(NotRun::NotOwner), Some(key)) => {
                self.record_not_owner(request, backend, key, self.clock.now());
            }
            _ => request.tried.push(backend.entry.instance.clone()),
        }
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
        attempt: &Attempt,
        again: bool,
    ) {
        let backend = &attempt.backend;
        let result_text = match &attempt.result {
            _ if attempt.is_success() => return,
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
fn retry_need(request: &ActiveRequest<'_>, attempt: &Attempt, now: Millis) -> RetryNeed {
    if !matches!(attempt.result, Exchange::NotRun(NotRun::Shed)) {
        return RetryNeed::Needed;
    }
    let returns_at_once = request.key.is_some() && attempt.backend.serves_on_return(now);
    RetryNeed::after_shed(returns_at_once, request.has_returned)
}
