//! The limit of one life and the permits for it, shared by the request thread and the control thread.

use super::{
    Announcement, Issuing, Limit, LimitReport, PermitReply, PermitRequest, Rate, Source,
    permits::Permits,
};
use crate::{clock::Millis, gateway::model::EndpointInstance};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// The limit of one life of an endpoint.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Whether the life ever had a limit. Most lives never do, and every request asks for it.
    had_limit: AtomicBool,
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

    /// The limit in force; `None` if there is none.
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
        let Some(limit) = state.limit else {
            return true;
        };
        let may_send = state.permits.may_send(limit.rate, &self.issuing, now);
        if !may_send {
            self.issuing.wake();
        }
        may_send
    }

    /// Uses a permit for a request that is about to be sent.
    pub fn take_permit(&self, now: Millis) {
        if !self.had_limit.load(Ordering::Acquire) {
            return;
        }
        let mut state = self.state();
        if let Some(limit) = state.limit {
            state.permits.take(limit.rate, &self.issuing, now);
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The request for permits that is due now; `None` if there is none.
    pub fn take_request(&self, endpoint: &EndpointInstance, now: Millis) -> Option<PermitRequest> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        let mut state = self.state();
        state.limit?;
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

    /// Mean time between two requests that this daemon may send; `None` without a limit.
    pub fn interval(&self) -> Option<Millis> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        let state = self.state();
        let limit = state.limit?;
        Some(state.permits.interval(limit.rate, &self.issuing))
    }

    /// Expected time until a request behind `ahead` others may be sent; `None` without a limit.
    pub fn expected_wait(&self, ahead: usize, now: Millis) -> Option<Millis> {
        let interval = self.interval()?;
        Some(self.state().permits.expected_wait(ahead, interval, now))
    }

    /// When a caller that is rejected now may return, at the latest `latest`; `None` without a limit.
    pub fn next_return(&self, latest: Millis, now: Millis) -> Option<Millis> {
        let interval = self.interval()?;
        Some(self.state().permits.next_return(interval, latest, now))
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
