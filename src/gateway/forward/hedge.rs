//! Sends a request to an endpoint, and to a second one if the first does not respond in time.

use super::{ActiveRequest, Forwarder, attempts::Attempt};
use crate::{
    clock::Millis,
    gateway::{
        backend::Backend,
        claim::Claim,
        hedging::{self, HedgeOutcome},
        leaving::choice,
        model::RetryPolicy,
        selection::{self, Wanted},
        send::{self, OutgoingRequest, SendContext},
        stop,
        view::{Member, ServiceView},
    },
};
use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
};
use tokio::time::{sleep, timeout};

/// What became of an attempt and of a second one beside it.
pub(super) struct Sent {
    /// An attempt that failed while another was in flight.
    pub(super) failed: Option<Attempt>,
    /// The last attempt; `None` if it had no response before the deadline, or before the stop of the
    /// daemon left no more time.
    pub(super) last: Option<Attempt>,
}

impl Sent {
    fn once(last: Option<Attempt>) -> Self {
        Self { failed: None, last }
    }
}

impl Forwarder {
    /// Sends the request to `backend`, of which it holds a slot, and waits for the response. If none
    /// arrives in time, a second endpoint is used beside it; the first successful response counts, and
    /// the other attempt is cancelled.
    pub(super) async fn send_hedged(
        &self,
        request: &ActiveRequest<'_>,
        out: &OutgoingRequest,
        backend: Arc<Backend>,
    ) -> Sent {
        let hedge_at = self.hedge_at(request);
        let sent_at = self.clock.now();
        let mut first = pin!(self.attempt(Arc::clone(&backend), out, request.deadline));
        let Some(hedge_at) = hedge_at else {
            return Sent::once(first.await);
        };
        tokio::select! {
            biased;
            ended = &mut first => return Sent::once(ended),
            () = sleep(self.clock.until(hedge_at)) => {}
        }
        let Some(second) = self.acquire_second(request, out, &backend) else {
            return Sent::once(first.await);
        };
        let mut second = pin!(self.attempt(second, out, request.deadline));
        let (ended, is_second, other) = tokio::select! {
            biased;
            ended = &mut first => (ended, false, second),
            ended = &mut second => (ended, true, first),
        };
        match ended {
            Some(attempt) if attempt.is_success() => {
                if is_second {
                    backend.record_overdue(&out.class, self.clock.now().since(sent_at));
                    self.count_hedge(request, HedgeOutcome::Won);
                }
                Sent::once(Some(attempt))
            }
            Some(failed) => Sent {
                failed: Some(failed),
                last: other.await,
            },
            // The other may have a response that was not looked at before the time was up.
            None => Sent::once(other.await),
        }
    }

    /// Sends the request once; `None` if there is no response before `deadline`, or before the stop of
    /// the daemon leaves no more time.
    async fn attempt(
        &self,
        backend: Arc<Backend>,
        out: &OutgoingRequest,
        deadline: Millis,
    ) -> Option<Attempt> {
        let sent_at = self.clock.now();
        let left = self.clock.until(deadline);
        let cx = SendContext {
            names: &self.names,
            body_memory: &self.body_memory,
            daemons: self.daemons.load(Ordering::Relaxed),
            clock: self.clock,
        };
        let sending = timeout(left, send::send(&backend, out, cx, left));
        let sent = tokio::select! {
            biased;
            sent = sending => sent,
            () = self.responses_due() => return None,
        };
        match sent {
            Ok(result) => Some(Attempt { backend, result }),
            Err(_) => {
                backend.record_overdue(&out.class, self.clock.now().since(sent_at));
                None
            }
        }
    }

    /// When a second endpoint is used for the request; `None` if none may be.
    fn hedge_at(&self, request: &ActiveRequest<'_>) -> Option<Millis> {
        let may_repeat = request.route.retry_policy == RetryPolicy::Allowed
            && request.sends + 2 <= request.route.max_attempts;
        if !may_repeat || request.key.is_some() {
            return None;
        }
        let now = self.clock.now();
        let after = hedging::hedge_after(&request.cost, request.deadline.since(now))?;
        Some(now + after)
    }

    /// Acquires a slot of another endpoint than `first`, if one has room now and the retry budget
    /// allows it.
    fn acquire_second(
        &self,
        request: &ActiveRequest<'_>,
        out: &OutgoingRequest,
        first: &Backend,
    ) -> Option<Arc<Backend>> {
        let (view, now) = (self.view.load_full(), self.clock.now());
        let service = view.services.get(&request.service)?;
        if !stop::may_begin(*self.stop.borrow(), now, request.deadline) {
            return None;
        }
        let second = self.choose_second(service, request, first, now);
        let hedges = &service.state.hedges;
        let Some(second) = second else {
            hedges.count(HedgeOutcome::NoRoom);
            return None;
        };
        service.state.count_hedge(now);
        hedges.count(HedgeOutcome::Sent);
        log::info!(
            target: "request", id:% = out.id.to_str().unwrap_or("-"), route:% = request.route.name,
            service:% = request.service, first:% = first.entry.instance.name,
            second:% = second.entry.instance.name, after:% = now.since(request.arrived),
            left:% = request.deadline.since(now), work = request.cost.mean_ms as u64,
            view = view.version;
            "Request is sent to a second endpoint."
        );
        Some(second)
    }

    /// The endpoint for a second attempt, with a slot. Requests that wait for a slot go first.
    fn choose_second(
        &self,
        service: &ServiceView,
        request: &ActiveRequest<'_>,
        first: &Backend,
        now: Millis,
    ) -> Option<Arc<Backend>> {
        let daemons = self.daemons.load(Ordering::Relaxed);
        if !service.state.queue.is_empty() || !service.state.allows_hedge(daemons, now) {
            return None;
        }
        let mut tried = request.tried.clone();
        tried.push(first.entry.instance.clone());
        let is_other = |member: &&Member| {
            let backend = &member.backend;
            !tried.contains(&backend.entry.instance) && !backend.is_ejected(now)
        };
        if !choice::usable_members(service, now).iter().any(is_other) {
            return None;
        }
        let wanted = Wanted {
            work_ms: request.cost.choice_ms,
            tried: &tried,
            daemons,
            is_rare: true,
        };
        let sample = selection::random_sample;
        let member = selection::choose_endpoint(service, wanted, Claim::Take, sample, now)?;
        Some(Arc::clone(&member.backend))
    }

    fn count_hedge(&self, request: &ActiveRequest<'_>, outcome: HedgeOutcome) {
        let view = self.view.load();
        if let Some(service) = view.services.get(&request.service) {
            service.state.hedges.count(outcome);
        }
    }
}
