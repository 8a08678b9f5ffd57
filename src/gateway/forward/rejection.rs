//! Rejections of requests, with the time after which the caller may return.

use super::Forwarder;
use crate::{
    clock::Millis,
    gateway::{
        leaving::choice,
        reply::{self, RejectionReason},
    },
    world::ServiceName,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Response, request::Parts};
use http_body_util::Full;
use std::time::Duration;

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

impl Forwarder {
    /// Time until the key of a request will have moved from its leaving owner; `None` if that
    /// cannot be told.
    fn wait_for_owner(
        &self,
        service: &ServiceName,
        headers: &HeaderMap,
        now: Millis,
    ) -> Option<Duration> {
        let (view, key) = (self.view.load(), self.requested_key(headers)?);
        let moved_by = choice::keys_moved_by(view.services.get(service)?, key, now)?;
        let jitter = Millis(rand::random_range(0..=MAX_RETRY_JITTER_MS));
        Some((moved_by.since(now) + jitter).into())
    }

    /// Longest time that the caller waits, if the key's owner is not registered any more: its keys are
    /// assigned only when its lease has ended, seconds later. `None` otherwise.
    fn wait_for_assignment(
        &self,
        service: &ServiceName,
        headers: &HeaderMap,
        arrived: Millis,
        now: Millis,
    ) -> Option<Duration> {
        let (view, key) = (self.view.load(), self.requested_key(headers)?);
        let service = view.services.get(service).filter(|s| s.keyed)?;
        let left = (arrived + self.stated_time(headers)?).since(now);
        spread(Millis(left.0 / HONOURED_DIVISOR)).filter(|_| service.has_lost_owner(key))
    }

    /// Time until the key's owner can be sent the request, as far as the limit that it named decides;
    /// `None` if it names none, or if the caller would not wait.
    fn wait_for_permit(
        &self,
        service: &ServiceName,
        headers: &HeaderMap,
        left: Millis,
        now: Millis,
    ) -> Option<Duration> {
        let (view, key) = (self.view.load(), self.requested_key(headers)?);
        let (_, owner) = view.services.get(service)?.member_of(key)?;
        let longest = Millis(left.0 / HONOURED_DIVISOR);
        let rate_limit = &owner.backend.rate_limit;
        let returns_at = rate_limit.next_return(now + longest, now)?;
        (longest > Millis::ZERO).then(|| returns_at.since(now).into())
    }

    /// Time until the key's owner has served the requests that wait for it, as far as the caller waits;
    /// `None` if the request has no key with an owner.
    fn wait_for_backlog(
        &self,
        service: &ServiceName,
        headers: &HeaderMap,
        left: Millis,
        now: Millis,
    ) -> Option<Duration> {
        let (view, key) = (self.view.load(), self.requested_key(headers)?);
        let service = view.services.get(service).filter(|s| s.keyed)?;
        let backend = &service.member_of(key)?.1.backend;
        let (ahead, work) = (backend.queue.len(), backend.queue.work());
        let backlog = Millis(backend.wait_ms(ahead, work, now) as u64);
        let longest = Millis(left.0 / HONOURED_DIVISOR);
        let latest = Millis(MIN_RETRY_AFTER_MS).max(backlog).min(longest);
        spread(latest)
    }

    /// Time until a request that the key's owner has shed may return, if that one sheds in spite of room;
    /// `None` if it does not, or if the request has no key.
    fn wait_after_shed(
        &self,
        service: &ServiceName,
        headers: &HeaderMap,
        now: Millis,
    ) -> Option<Duration> {
        let (view, key) = (self.view.load(), self.requested_key(headers)?);
        let service = view.services.get(service).filter(|s| s.keyed)?;
        let (_, owner) = service.owner_of(key, now)?;
        let at_once = owner.backend.serves_on_return(now);
        at_once.then(|| Millis(1).into())
    }

    pub(super) fn reject(
        &self,
        parts: &Parts,
        service: Option<&ServiceName>,
        reason: RejectionReason,
        arrived: Millis,
        deadline: Millis,
    ) -> Response<Full<Bytes>> {
        let now = self.clock.now();
        let retry_after = match reason {
            RejectionReason::Paused { until } => Some(until.since(now).max(Millis(1)).into()),
            // Other daemons take the request at once.
            RejectionReason::Stopping => Some(Millis(1).into()),
            RejectionReason::NoOwner => service
                .and_then(|service| self.wait_for_owner(service, &parts.headers, now))
                .or_else(|| self.wait_for_assignment(service?, &parts.headers, arrived, now))
                .or_else(|| retry_after(deadline.since(now))),
            RejectionReason::Limited => service
                .and_then(|service| {
                    self.wait_for_permit(service, &parts.headers, deadline.since(now), now)
                })
                .or_else(|| retry_after(deadline.since(now))),
            RejectionReason::Busy => service
                .and_then(|service| {
                    self.wait_for_backlog(service, &parts.headers, deadline.since(now), now)
                })
                .or_else(|| retry_after(deadline.since(now))),
            RejectionReason::Shed => service
                .and_then(|service| self.wait_after_shed(service, &parts.headers, now))
                .or_else(|| retry_after(deadline.since(now))),
            _ => retry_after(deadline.since(now)),
        };
        let response = reply::rejection(reason, retry_after);
        log::info!(
            target: "request", id:% = header_text(&parts.headers, &self.names.request_id),
            path:% = parts.uri.path(), key:% = header_text(&parts.headers, &self.names.key),
            service:% = service.map_or("", |name| &name.0),
            reason:% = reason, status = response.status().as_u16(),
            after:% = now.since(arrived), left:% = deadline.since(now),
            view = self.view.load().version;
            "Request rejected."
        );
        let name: &'static str = reason.into();
        self.metrics
            .record_completion(service.map(|name| &*name.0), name, now.since(arrived));
        response
    }
}

/// A time up to `latest`, since callers that are told the same time return all at once; `None` for 0.
fn spread(latest: Millis) -> Option<Duration> {
    let earliest = latest.0 - latest.0 / RETRY_JITTER_DIVISOR;
    let wait = Millis(rand::random_range(earliest..=latest.0));
    (wait > Millis::ZERO).then(|| wait.into())
}

/// Value of a header for logs; `-` if it is missing or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("-")
}

/// `Retry-After` of a rejected request with `left` until its deadline. Callers honour at most a
/// third of the time that they have left.
fn retry_after(left: Millis) -> Option<Duration> {
    let longest = (left.0 / HONOURED_DIVISOR).min(MAX_RETRY_AFTER_MS);
    if longest == 0 {
        return None;
    }
    let shortest = MIN_RETRY_AFTER_MS.min(longest);
    Some(Duration::from_millis(rand::random_range(
        shortest..=longest,
    )))
}
