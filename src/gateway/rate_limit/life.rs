//! The limit of one life and the permits for it, shared by the request thread and the control thread.

use super::{
    Announcement, ColdLimit, Issuing, Limit, LimitReport, PermitReply, PermitRequest, Rate, Source,
    cold::{self, Turns},
    permits::Permits,
};
use crate::{
    clock::Millis,
    gateway::{claim::Claim, model::EndpointInstance},
};
use std::{
    ops::RangeInclusive,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// A time for which a life is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTime {
    /// Bound on its requests.
    pub limit: ColdLimit,
    /// Whether its requests need permits: the daemons cannot choose another endpoint.
    pub needs_permits: bool,
    /// When the daemon learned of it.
    pub since: Millis,
    /// When it ends.
    pub until: Millis,
    /// Whether the life was cold when the daemon first knew it, so that it had no requests before.
    pub from_start: bool,
}

/// The limit of one life of an endpoint.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Whether the life ever had a limit, or was cold. Most lives never do, and every request asks for it.
    had_limit: AtomicBool,
    /// Whether the life was ever seen not to be cold.
    was_warm: AtomicBool,
    /// Requests that were sent while a limit was in force.
    sent: AtomicU64,
    issuing: Arc<Issuing>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: Option<Limit>,
    /// When the response arrived that showed the limit, or the request was sent whose response showed
    /// that there is none any more.
    observed_at: Millis,
    /// Whether the controller has to be told of the limit.
    is_untold: bool,
    permits: Permits,
    /// The latest time for which the life is cold.
    cold: Option<ColdTime>,
    turns: Turns,
}

impl RateLimit {
    /// Creates the state of a life without a limit.
    pub fn new(issuing: Arc<Issuing>) -> Self {
        Self {
            issuing,
            ..Self::default()
        }
    }

    /// Records what a response says that arrived at `now`, to a request that was sent at `sent_at`.
    ///
    /// A response without a limit ends it only if its request was sent after the last response that
    /// named one: an earlier request may have been served before the endpoint was in need.
    pub fn record(&self, announcement: Announcement, sent_at: Millis, now: Millis) {
        let is_named = matches!(announcement, Announcement::Named(_));
        if !is_named && !self.had_limit.load(Ordering::Acquire) {
            return;
        }
        let mut state = self.state();
        match announcement {
            Announcement::Named(rate) => {
                self.had_limit.store(true, Ordering::Release);
                if state.set(Some(rate), Source::Response, now) {
                    state.is_untold = true;
                    self.issuing.wake();
                }
                state.observed_at = now;
            }
            Announcement::Absent if sent_at > state.observed_at => {
                state.set(None, Source::Response, now);
                state.observed_at = sent_at;
            }
            Announcement::Absent | Announcement::Unreadable => {}
        }
    }

    /// Records what another daemon knew `age` ago; `None` if the life named no limit.
    pub fn record_heard(&self, rate: Option<Rate>, age: Millis, now: Millis) {
        let observed_at = now - age;
        let mut state = self.state();
        let is_same = state.limit.map(|limit| limit.rate) == rate;
        if is_same || observed_at <= state.observed_at {
            return;
        }
        self.had_limit.store(true, Ordering::Release);
        state.set(rate, Source::Report, now);
        state.observed_at = observed_at;
    }

    /// Records that the life is cold from `now` to `until`, or is not if that is over. True if this is
    /// the beginning.
    pub fn set_cold(
        &self,
        limit: ColdLimit,
        needs_permits: bool,
        until: Millis,
        now: Millis,
    ) -> bool {
        let is_cold = now < until;
        if !is_cold {
            self.was_warm.store(true, Ordering::Relaxed);
        }
        if !is_cold && !self.had_limit.load(Ordering::Acquire) {
            return false;
        }
        let mut state = self.state();
        let known = state.cold_at(now);
        if !is_cold && known.is_none() {
            return false;
        }
        self.had_limit.store(true, Ordering::Release);
        state.cold = Some(ColdTime {
            limit,
            needs_permits,
            since: known.map_or(now, |cold| cold.since),
            until,
            from_start: match known {
                Some(cold) => cold.from_start,
                None => !self.was_warm.load(Ordering::Relaxed),
            },
        });
        is_cold && known.is_none()
    }

    /// The time for which the life is cold; `None` if it is not at `now`.
    pub fn cold(&self, now: Millis) -> Option<ColdTime> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        self.state().cold_at(now)
    }

    /// The rate at which permits are issued at `now`; `None` if requests need none.
    pub fn permit_rate(&self, now: Millis) -> Option<Rate> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        self.state().permit_rate(now)
    }

    /// The limit in force that the endpoint named; `None` if there is none.
    pub fn current(&self) -> Option<Limit> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        self.state().limit
    }

    /// What this daemon knows; `None` if the life never had a limit.
    pub fn report(&self, endpoint: &EndpointInstance, now: Millis) -> Option<LimitReport> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        Some(self.state().report(endpoint, now))
    }

    /// Whether a request may be sent at `now`. If there is a limit and no permit, one is wanted.
    pub fn may_send(&self, now: Millis) -> bool {
        if !self.had_limit.load(Ordering::Acquire) {
            return true;
        }
        let mut state = self.state();
        state.record_asked(&self.issuing, now);
        let may_send = state.may_send(&self.issuing, now);
        drop(state);
        if !may_send {
            self.issuing.wake();
        }
        may_send
    }

    /// Whether [`Self::may_send`] would allow a request. No permit is asked for.
    pub fn would_send(&self, now: Millis) -> bool {
        !self.had_limit.load(Ordering::Acquire) || self.state().may_send(&self.issuing, now)
    }

    /// Uses a permit for a request that is about to be sent.
    pub fn take_permit(&self, now: Millis) {
        if !self.had_limit.load(Ordering::Acquire) {
            return;
        }
        if self.state().take(&self.issuing, now) {
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The request for permits that is due now; `None` if there is none.
    pub fn take_request(&self, endpoint: &EndpointInstance, now: Millis) -> Option<PermitRequest> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        let mut state = self.state();
        state.permit_rate(now)?;
        let count = match state.permits.take_wanted(now) {
            Some(count) => count,
            None if state.is_untold => 0,
            None => return None,
        };
        state.is_untold = false;
        Some(PermitRequest {
            limit: state.report(endpoint, now),
            count,
        })
    }

    /// Records the reply to a request for permits; `None` if there was none.
    pub fn record_reply(&self, reply: Option<PermitReply>, now: Millis) {
        self.state().permits.record(reply, now);
    }

    /// Mean time between two requests that this daemon may send at `now`; `None` without a limit.
    pub fn interval(&self, now: Millis) -> Option<Millis> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        self.state().interval(&self.issuing, now)
    }

    /// Expected time until a request behind `ahead` others may be sent; `None` without a limit.
    pub fn expected_wait(&self, ahead: usize, now: Millis) -> Option<Millis> {
        let interval = self.interval(now)?;
        Some(self.state().permits.expected_wait(ahead, interval, now))
    }

    /// When a caller that is rejected now may return, at the latest `latest`; `None` without a limit.
    pub fn next_return(
        &self,
        latest: Millis,
        claim: Claim,
        now: Millis,
    ) -> Option<RangeInclusive<Millis>> {
        let interval = self.interval(now)?;
        let mut state = self.state();
        Some(state.permits.next_return(interval, latest, claim, now))
    }

    /// Requests that were sent while a limit was in force.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn cold_at(&self, now: Millis) -> Option<ColdTime> {
        self.cold.filter(|cold| now < cold.until)
    }

    /// The rate at which permits are issued: the lower one of the limits that need them.
    fn permit_rate(&self, now: Millis) -> Option<Rate> {
        let named = self.limit.map(|limit| limit.rate);
        let cold = self.cold_at(now).filter(|cold| cold.needs_permits);
        let issued = cold.map(|cold| cold.limit.issued());
        match (named, issued) {
            (Some(named), Some(issued)) if issued < named => Some(issued),
            (named, issued) => named.or(issued),
        }
    }

    /// The rate of the daemon's turns, which it shares with all others; `None` if it needs no turn.
    fn turn_rate(&self, issuing: &Issuing, now: Millis) -> Option<Rate> {
        let cold = self.cold_at(now)?;
        match issuing.unissued_daemons() {
            _ if !cold.needs_permits => Some(cold.limit.uncoordinated()),
            Some(_) => Some(cold.limit.unissued()),
            None => None,
        }
    }

    /// Records that a request asked to be sent at `now`: it may want a permit, and turns advance.
    fn record_asked(&mut self, issuing: &Issuing, now: Millis) {
        if self.permit_rate(now).is_some() {
            self.permits.want(now);
        }
        if self.is_permitted(now) {
            return;
        }
        if let Some(rate) = self.turn_rate(issuing, now) {
            self.turns.advance(rate, issuing.fleet(), now);
        }
        if let Some(limit) = self.limit
            && self.has_turn(issuing, now)
        {
            self.permits.advance_unissued(limit.rate, issuing, now);
        }
    }

    /// Whether a permit at `now` suffices, without a turn.
    fn is_permitted(&self, now: Millis) -> bool {
        self.permit_rate(now).is_some()
            && self.permits.has_permit(now)
            && self.cold_at(now).is_none_or(|cold| cold.needs_permits)
    }

    fn may_send(&self, issuing: &Issuing, now: Millis) -> bool {
        if self.is_permitted(now) {
            return true;
        }
        let needs_permit = self.permit_rate(now).is_some();
        if !self.has_turn(issuing, now) {
            return false;
        }
        match self.limit {
            Some(limit) => self.permits.may_send(limit.rate, issuing, now),
            None => !needs_permit || issuing.unissued_daemons().is_some(),
        }
    }

    fn has_turn(&self, issuing: &Issuing, now: Millis) -> bool {
        let rate = self.turn_rate(issuing, now);
        rate.is_none_or(|rate| self.turns.is_open(rate, issuing.fleet(), now))
    }

    /// Uses a permit or a turn. False if the request needs none.
    fn take(&mut self, issuing: &Issuing, now: Millis) -> bool {
        let permit_rate = self.permit_rate(now);
        let has_permit = permit_rate.is_some_and(|rate| self.permits.take(rate, issuing, now));
        let turn_rate = self.turn_rate(issuing, now);
        let by_permit = has_permit && self.cold_at(now).is_some_and(|cold| cold.needs_permits);
        if let Some(rate) = turn_rate.filter(|_| !by_permit) {
            self.turns.take(rate, issuing.fleet());
        }
        permit_rate.is_some() || turn_rate.is_some()
    }

    fn interval(&self, issuing: &Issuing, now: Millis) -> Option<Millis> {
        let permit_rate = self.permit_rate(now);
        let of_permits = permit_rate.map(|rate| self.permits.interval(rate, issuing));
        let turn_rate = self.turn_rate(issuing, now);
        let of_turns = turn_rate.map(|rate| cold::interval_ms(rate, issuing.fleet()));
        of_permits.max(of_turns.map(|interval_ms| Millis(interval_ms as u64)))
    }

    /// Sets the limit. True if it has changed.
    fn set(&mut self, rate: Option<Rate>, source: Source, now: Millis) -> bool {
        let known = self.limit.map(|limit| limit.rate);
        if known == rate {
            return false;
        }
        let since = self.limit.map_or(now, |limit| limit.since);
        self.limit = rate.map(|rate| Limit {
            rate,
            source,
            since,
        });
        if rate.is_none() {
            self.permits.clear();
        }
        true
    }

    fn report(&self, endpoint: &EndpointInstance, now: Millis) -> LimitReport {
        LimitReport {
            endpoint: endpoint.clone(),
            per_second: self.limit.map(|limit| limit.rate.per_second()),
            age: now.since(self.observed_at),
        }
    }
}
