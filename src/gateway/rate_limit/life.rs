//! The limit of one life, shared by the request thread and the control thread.

use super::{Announcement, Limit, Source};
use crate::clock::Millis;
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// The limit of one life of an endpoint.
#[derive(Debug, Default)]
pub struct RateLimit {
    /// Whether the life ever named a limit. Most lives never do, and every request asks for it.
    had_limit: AtomicBool,
    /// Requests that were sent while a limit was in force.
    sent: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    limit: Option<Limit>,
    /// When the last response arrived that named a limit.
    last_named: Millis,
}

impl RateLimit {
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
                let since = state.limit.map_or(now, |limit| limit.since);
                state.limit = Some(Limit {
                    rate,
                    source: Source::Response,
                    since,
                });
                state.last_named = now;
            }
            Announcement::Absent if sent_at > state.last_named => state.limit = None,
            Announcement::Absent | Announcement::Unreadable => {}
        }
    }

    /// The limit in force; `None` if there is none.
    pub fn current(&self) -> Option<Limit> {
        if !self.had_limit.load(Ordering::Acquire) {
            return None;
        }
        self.state().limit
    }

    /// Counts a request that is about to be sent.
    pub fn count_sent(&self) {
        if self.current().is_some() {
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Requests that were sent while a limit was in force.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
