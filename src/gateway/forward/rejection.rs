//! Rejections of requests, with the time after which the caller may return.

use super::Forwarder;
use crate::{
    clock::Millis,
    gateway::{
        claim::Claim,
        leaving::choice,
        model::Key,
        reply::{self, RejectionReason},
        view::{ServiceView, View},
    },
    world::ServiceName,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, request::Parts};
use http_body_util::Full;
use std::{ops::RangeInclusive, time::Duration};

/// Shortest `Retry-After` of a rejected request, in milliseconds, unless its deadline is near.
const MIN_RETRY_AFTER_MS: u64 = 120;
/// Part of the time that a caller has left, as a divisor, up to which it honours `Retry-After`.
const HONOURED_DIVISOR: u64 = 3;
/// Part of a `Retry-After` that names the end of a backlog, as a divisor, by which it is shortened at
/// random.
const RETRY_JITTER_DIVISOR: u64 = 4;
/// Longest `Retry-After` of a rejected request, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 500;
/// Longest delay added to a `Retry-After` that names the end of a move, in milliseconds, so that
/// the callers do not return all at once.
const MAX_RETRY_JITTER_MS: u64 = 100;

/// Longest `Retry-After` of a request for a key whose owner is lost. The key is assigned anew when the
/// owner's lease has ended.
const MAX_WAIT_FOR_ASSIGNMENT: Millis = Millis(5_000);

/// Bounds of the time after which a rejected caller may return. The time is drawn between them.
pub type ReturnWindow = RangeInclusive<Millis>;

/// A request that is rejected.
#[derive(Clone, Copy, Debug)]
pub struct Rejected<'a> {
    /// The current routes, endpoints and key owners.
    pub view: &'a View,
    /// The service that the request was meant for, if that is known.
    pub service: Option<&'a ServiceName>,
    /// Key of the request.
    pub key: Option<Key>,
    /// Time left until its deadline.
    pub left: Millis,
    /// Time left of the caller's stated limit, before the route's time-out is applied; `None` if it states
    /// none.
    pub stated_left: Option<Millis>,
    /// Whether the caller takes a place among those that were told to return.
    pub claim: Claim,
    /// The time of the rejection.
    pub now: Millis,
}

impl Rejected<'_> {
    /// When the caller may return; `None` if it has no time left to wait.
    pub fn return_window(&self, reason: RejectionReason) -> Option<ReturnWindow> {
        let only = |wait: Millis| Some(wait..=wait);
        let specific = match reason {
            RejectionReason::Paused { until } => only(until.since(self.now).max(Millis(1))),
            // Other daemons take the request at once.
            RejectionReason::Stopping => only(Millis(1)),
            RejectionReason::NoOwner => {
                self.wait_for_owner().or_else(|| self.wait_for_assignment())
            }
            RejectionReason::Limited => self.wait_for_permit(),
            RejectionReason::Busy => self.wait_for_backlog(),
            RejectionReason::Shed => self.wait_after_shed(),
            _ => None,
        };
        specific.or_else(|| retry_after(self.left))
    }

    fn service(&self) -> Option<&ServiceView> {
        Some(self.view.services.get(self.service?)?)
    }

    /// Time until the key of a request will have moved from its leaving owner; `None` if that
    /// cannot be told.
    fn wait_for_owner(&self) -> Option<ReturnWindow> {
        let moved_by = choice::keys_moved_by(self.service()?, self.key?, self.now)?;
        let wait = moved_by.since(self.now);
        Some(wait..=wait + Millis(MAX_RETRY_JITTER_MS))
    }

    /// Longest time that the caller waits, if the key's owner is not registered any more: its keys are
    /// assigned only when its lease has ended, seconds later. `None` otherwise.
    fn wait_for_assignment(&self) -> Option<ReturnWindow> {
        let service = self.service().filter(|s| s.keyed)?;
        let longest = Millis(self.stated_left?.0 / HONOURED_DIVISOR).min(MAX_WAIT_FOR_ASSIGNMENT);
        spread(longest).filter(|_| self.key.is_some_and(|key| service.has_lost_owner(key)))
    }

    /// Time until the key's owner can be sent the request, as far as the limit that it named decides;
    /// `None` if it names none, or if the caller would not wait.
    fn wait_for_permit(&self) -> Option<ReturnWindow> {
        let (_, owner) = self.service()?.member_of(self.key?)?;
        let longest = Millis(self.left.0 / HONOURED_DIVISOR);
        let (rate_limit, now) = (&owner.backend.rate_limit, self.now);
        let returns_at = rate_limit.next_return(now + longest, self.claim, now)?;
        let (earliest, latest) = returns_at.into_inner();
        (longest > Millis::ZERO).then(|| earliest.since(now)..=latest.since(now))
    }

    /// Time until the key's owner has served the requests that wait for it, as far as the caller waits;
    /// `None` if the request has no key with an owner.
    fn wait_for_backlog(&self) -> Option<ReturnWindow> {
        let service = self.service().filter(|s| s.keyed)?;
        let backend = &service.member_of(self.key?)?.1.backend;
        let (ahead, work) = (backend.queue.len(), backend.queue.work());
        let backlog = Millis(backend.wait_ms(ahead, work, self.now) as u64);
        let longest = Millis(self.left.0 / HONOURED_DIVISOR);
        let latest = Millis(MIN_RETRY_AFTER_MS).max(backlog).min(longest);
        spread(latest)
    }

    /// Time until a request that the key's owner has shed may return, if that one sheds in spite of
    /// room; `None` if it does not, or if the request has no key.
    fn wait_after_shed(&self) -> Option<ReturnWindow> {
        let service = self.service().filter(|s| s.keyed)?;
        let (_, owner) = service.owner_of(self.key?, self.now)?;
        let at_once = owner.backend.serves_on_return(self.now);
        at_once.then_some(Millis(1)..=Millis(1))
    }
}

impl Forwarder {
    pub(super) fn reject(
        &self,
        parts: &Parts,
        service: Option<&ServiceName>,
        reason: RejectionReason,
        arrived: Millis,
        deadline: Millis,
    ) -> Response<Full<Bytes>> {
        let now = self.clock.now();
        let view = self.view.load();
        let stated = self.requested_time_limit(&parts.headers);
        let rejected = Rejected {
            view: &view,
            service,
            key: self.requested_key(&parts.headers),
            left: deadline.since(now),
            stated_left: stated.map(|stated| (arrived + stated).since(now)),
            claim: Claim::Take,
            now,
        };
        let retry_after = rejected.return_window(reason).map(drawn_from);
        let response = reply::rejection(reason, retry_after);
        log::info!(
            target: "request", id:% = header_text(&parts.headers, &self.names.request_id),
            path:% = parts.uri.path(), key:% = header_text(&parts.headers, &self.names.key),
            service:% = service.map_or("", |name| &name.0),
            reason:% = reason, status = response.status().as_u16(),
            after:% = now.since(arrived), left:% = deadline.since(now),
            view = view.version;
            "Request rejected."
        );
        let name: &'static str = reason.into();
        self.metrics
            .record_completion(service.map(|name| &*name.0), name, now.since(arrived));
        response
    }
}

/// Value of a header for logs; `-` if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("-")
}

/// `Retry-After` of a rejected request with `left` until its deadline. Callers honour at most a
/// third of the time that they have left.
fn retry_after(left: Millis) -> Option<ReturnWindow> {
    let longest = (left.0 / HONOURED_DIVISOR).min(MAX_RETRY_AFTER_MS);
    if longest == 0 {
        return None;
    }
    let shortest = MIN_RETRY_AFTER_MS.min(longest);
    Some(Millis(shortest)..=Millis(longest))
}

/// Times up to `latest`, since callers that are told the same time return all at once; `None` for 0.
fn spread(latest: Millis) -> Option<ReturnWindow> {
    let earliest = Millis(latest.0 - latest.0 / RETRY_JITTER_DIVISOR);
    (latest > Millis::ZERO).then_some(earliest..=latest)
}

fn drawn_from(window: ReturnWindow) -> Duration {
    let (earliest, latest) = window.into_inner();
    Duration::from_millis(rand::random_range(earliest.0..=latest.0))
}
