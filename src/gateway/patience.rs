//! Whether a caller has come back: it states less time than callers of the route usually do.
//!
//! Callers make few attempts. Retries by a daemon, which are limited too, serve more of them if they
//! are kept for callers that have made an attempt already.

use crate::clock::Millis;
use std::sync::{Mutex, PoisonError};

/// Time after which the longest stated time is forgotten unless it is stated again.
const FORGET_AFTER: Millis = Millis(10_000);
/// Multiple of the route's time-out up to which a stated time counts, so that a single caller cannot make
/// all others look like ones that come back.
const MAX_TIMEOUTS: u64 = 4;

/// Longest time that callers of one route state to have.
#[derive(Debug, Default)]
pub struct Patience {
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    longest: Millis,
    stated_at: Millis,
}

impl Patience {
    /// Records the time that a caller of a route with this time-out states at `now`. True if it is less
    /// than others have stated lately, as that of a caller is that has come back.
    pub fn record(&self, stated: Millis, timeout: Millis, now: Millis) -> bool {
        let stated = stated.min(Millis(timeout.0.saturating_mul(MAX_TIMEOUTS)));
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_outdated = now.since(state.stated_at) > FORGET_AFTER;
        if stated >= state.longest || is_outdated {
            *state = State {
                longest: stated,
                stated_at: now,
            };
            return false;
        }
        true
    }
}
