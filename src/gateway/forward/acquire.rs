//! Acquires a slot of an endpoint for a request, and queues the request while none is available.

use super::{ActiveRequest, Forwarder};
use crate::{
    clock::Millis,
    gateway::{
        backend::Backend,
        claim::{Claim, Counting},
        leaving::choice,
        model::Key,
        pause::{Choice, PausedRequest},
        reply::RejectionReason,
        selection::{self, Wanted},
        stop::{self, Stop},
        view::{Member, ServiceView, View},
        wait_queue::{Ticket, WaitQueue},
    },
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::timeout;

/// Longest time between two checks for a free endpoint while a request is queued.
const MAX_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Result of acquiring an endpoint for an attempt.
pub(super) enum Acquisition {
    /// A slot of this endpoint was acquired.
    Endpoint(Arc<Backend>),
    /// No endpoint became available in time.
    Unavailable(RejectionReason),
}

/// Why no slot could be acquired: the reason, the queue to wait in, and when to try again.
type AcquireFailure = (RejectionReason, Option<Arc<WaitQueue>>, Option<Millis>);

/// What becomes of a request now.
#[derive(Debug)]
pub enum Step {
    /// A slot of this endpoint was acquired.
    Send(Arc<Backend>),
    /// The request is rejected.
    Reject(RejectionReason),
    /// The request is queued, and the decision is repeated by `until` at the latest.
    Wait {
        /// The reason of the rejection if the wait is in vain.
        reason: RejectionReason,
        /// The queue; `None` if only time helps.
        queue: Option<Arc<WaitQueue>>,
        /// When the decision is repeated at the latest.
        until: Millis,
    },
}

/// The decision on a request from the state at one time.
pub struct Decision<'a> {
    /// The current routes, endpoints and key owners.
    pub view: &'a View,
    /// The daemon's stop, once it has begun.
    pub stop: Option<Stop>,
    /// Number of daemons that share the endpoints.
    pub daemons: usize,
    /// Whether the request takes what is decided on.
    pub claim: Claim,
    /// Returns exponential variables with mean 1, which decide between the endpoints of a service
    /// without keys.
    pub sample: &'a (dyn Fn() -> f64 + Sync),
    /// The time of the decision.
    pub now: Millis,
}

impl Forwarder {
    /// Acquires a slot of an endpoint, and queues the request while none is available.
    pub(super) async fn acquire(&self, request: &ActiveRequest<'_>) -> Acquisition {
        let mut ticket: Option<Ticket> = None;
        let mut queue_deadline = request.queue_deadline;
        loop {
            let decision = Decision {
                view: &self.view.load_full(),
                stop: *self.stop.borrow(),
                daemons: self.daemons.load(Ordering::Relaxed),
                claim: Claim::Take,
                sample: &selection::random_sample,
                now: self.clock.now(),
            };
            let (queue, until) = match decision.step(request, &mut ticket, &mut queue_deadline) {
                Step::Send(backend) => {
                    // More slots may be available for other queued requests.
                    backend.queue.wake_one();
                    return Acquisition::Endpoint(backend);
                }
                Step::Reject(reason) => return Acquisition::Unavailable(reason),
                Step::Wait { queue, until, .. } => (queue, until),
            };
            let pause = self
                .clock
                .until(until)
                .clamp(Duration::from_millis(1), MAX_RECHECK_INTERVAL);
            self.wait_for_wakeup(queue.as_deref().zip(ticket), request.cost.share, pause)
                .await;
        }
    }

    /// Waits until the queue wakes the request, which has `work` times the mean work, or a new view is
    /// published, for at most `pause`.
    async fn wait_for_wakeup(
        &self,
        queued: Option<(&WaitQueue, Ticket)>,
        work: f64,
        pause: Duration,
    ) {
        let mut changed = self.changed.clone();
        changed.mark_unchanged();
        let woken = async {
            match queued {
                Some((queue, ticket)) => queue.enqueue(ticket, work).woken().await,
                None => std::future::pending().await,
            }
        };
        let wakeup = async {
            tokio::select! {
                () = woken => {}
                // The sender is dropped when the daemon stops; the time-out then ends the wait.
                Ok(()) = changed.changed() => {}
                else => std::future::pending().await,
            }
        };
        // A time-out is an expected way to end the wait.
        let _ = timeout(pause, wakeup).await;
    }
}

impl Decision<'_> {
    /// Decides on a request with this ticket, if it has one, that may be queued until
    /// `queue_deadline`.
    pub fn step(
        &self,
        request: &ActiveRequest<'_>,
        ticket: &mut Option<Ticket>,
        queue_deadline: &mut Millis,
    ) -> Step {
        let now = self.now;
        let Some(service) = self.view.services.get(&request.service) else {
            return Step::Reject(RejectionReason::NoEndpoint);
        };
        if now >= request.deadline || request.cannot_end_in_time(0.0, now) {
            return Step::Reject(RejectionReason::Late);
        }
        if !stop::may_begin(self.stop, now, request.deadline) {
            return Step::Reject(RejectionReason::Stopping);
        }
        let acquired = match request.key {
            Some(key) => self.acquire_owner(service, key, request, ticket, now),
            None => self.acquire_any(service, request, ticket, now),
        };
        let (reason, queue, until) = match acquired {
            Ok(backend) => return Step::Send(backend),
            Err(blocked) => blocked,
        };
        if let RejectionReason::Paused { until: end } = reason {
            // The time in the queue counts from the end of the pause.
            let queue_time = request.queue_deadline.since(request.arrived);
            *queue_deadline = (end + queue_time).min(request.deadline);
        }
        // A request that cannot be served in time must not wait.
        if until == Some(now) || now >= *queue_deadline {
            return Step::Reject(reason);
        }
        Step::Wait {
            reason,
            queue,
            until: until.unwrap_or(*queue_deadline).min(*queue_deadline),
        }
    }

    fn choose_endpoint<'a>(
        &self,
        service: &'a ServiceView,
        request: &ActiveRequest<'_>,
    ) -> Option<&'a Member> {
        let wanted = Wanted {
            work_ms: request.cost.choice_ms,
            tried: &request.tried,
            daemons: self.daemons,
            is_rare: false,
        };
        selection::choose_endpoint(service, wanted, self.claim, self.sample, self.now)
    }

    fn ticket(&self, queue: &WaitQueue, priority: u32, key: Option<Key>) -> Ticket {
        match self.claim {
            Claim::Take => queue.issue_ticket(priority, key),
            Claim::Peek => queue.next_ticket(priority, key),
        }
    }

    /// Estimated time in the queue of a service without keys, in milliseconds; infinite if no endpoint
    /// serves it.
    pub fn wait_ms_for_any(&self, service: &ServiceView, ticket: Ticket) -> f64 {
        let now = self.now;
        let usable = unpaused_members(service, now);
        let rate: f64 = usable
            .iter()
            .map(|m| 1.0 / m.backend.interval_ms(now))
            .sum();
        service.state.queue.work_ahead_of(ticket) / rate
    }

    fn acquire_any(
        &self,
        service: &ServiceView,
        request: &ActiveRequest<'_>,
        ticket: &mut Option<Ticket>,
        now: Millis,
    ) -> Result<Arc<Backend>, AcquireFailure> {
        let queue = &service.state.queue;
        if !choice::has_usable_member(service, now) {
            return Err((RejectionReason::NoEndpoint, None, None));
        }
        if let Some(until) = selection::paused_until(service, now) {
            return Err((RejectionReason::Paused { until }, None, Some(now)));
        }
        let is_new = ticket.is_none();
        let ticket =
            *ticket.get_or_insert_with(|| self.ticket(queue, request.route.priority, None));
        if !queue.has_earlier(ticket)
            && let Some(member) = self.choose_endpoint(service, request)
        {
            return Ok(Arc::clone(&member.backend));
        }
        let is_hopeless = || {
            let wait_ms = self.wait_ms_for_any(service, ticket);
            let usable = unpaused_members(service, now);
            let ending_rate = usable.iter().map(|m| m.backend.ending_rate(now)).sum();
            request.exceeds_queue_time(wait_ms, now) || request.cannot_end_in_time(ending_rate, now)
        };
        if is_new && is_hopeless() {
            return Err((RejectionReason::Busy, None, Some(now)));
        }
        Err((RejectionReason::Busy, Some(Arc::clone(queue)), None))
    }

    fn acquire_owner(
        &self,
        service: &ServiceView,
        key: Key,
        request: &ActiveRequest<'_>,
        ticket: &mut Option<Ticket>,
        now: Millis,
    ) -> Result<Arc<Backend>, AcquireFailure> {
        let Some((range, member)) = service.owner_of(key, now) else {
            let until = choice::is_unserved(service, key, now).then_some(now);
            return Err((RejectionReason::NoOwner, None, until));
        };
        let backend = &member.backend;
        if backend.is_replaced(now) {
            return Err((RejectionReason::NoOwner, None, None));
        }
        if let Some(until) = backend.held_back_until(key, range.token, now) {
            return Err((RejectionReason::NoOwner, None, Some(until)));
        }
        if request.tried.last() == Some(&backend.entry.instance) && backend.is_ejected(now) {
            return Err((RejectionReason::Busy, None, None));
        }
        let queue = &backend.queue;
        let is_new = ticket.is_none();
        let priority = request.route.priority;
        let ticket = *ticket.get_or_insert_with(|| self.ticket(queue, priority, Some(key)));
        if let Some(until) = backend.pause.blocked_until(now) {
            let paused = PausedRequest {
                queue_deadline: request.queue_deadline,
                deadline: request.deadline,
                served_at: backend.earliest_after(until, queue.ahead_of(ticket)),
                is_waiting: !is_new,
            };
            let again_at = match paused.choose(until, now) {
                Choice::Wait => until,
                Choice::Reject => now,
            };
            let reason = RejectionReason::Paused { until };
            return Err((reason, Some(Arc::clone(queue)), Some(again_at)));
        }
        let has_room = || {
            let acquire = |counting| backend.acquire(self.claim, counting, now).is_ok();
            acquire(Counting::All) || acquire(Counting::WithoutLong)
        };
        if !queue.has_earlier(ticket) && has_room() {
            return Ok(Arc::clone(backend));
        }
        let reason = match backend.rate_limit.interval(now) {
            Some(_) => RejectionReason::Limited,
            None => RejectionReason::Busy,
        };
        let is_hopeless = || {
            let wait_ms = backend.wait_ms(queue.ahead_of(ticket), queue.work_ahead_of(ticket), now);
            request.exceeds_queue_time(wait_ms, now)
                || request.cannot_end_in_time(backend.ending_rate(now), now)
        };
        if is_new && is_hopeless() {
            return Err((reason, None, Some(now)));
        }
        Err((reason, Some(Arc::clone(queue)), None))
    }
}

fn unpaused_members(service: &ServiceView, now: Millis) -> Vec<&Member> {
    let mut usable = choice::usable_members(service, now);
    usable.retain(|member| member.backend.pause.blocked_until(now).is_none());
    usable
}
