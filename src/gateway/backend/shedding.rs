//! Whether endpoints shed requests because they are overloaded, or for another reason.
//!
//! Handles endpoints that reject a large part of their requests at random while they have
//! room. Slowing down would leave their slots idle, and the caller's next attempt is as likely to be
//! served as any other.

use super::{ExchangeOutcome, Load, MAX_WAITING_PER_SLOT};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Weight of a new outcome in the EWMA of the shed rate.
const SHED_RATE_WEIGHT: f64 = 0.05;
/// Share of requests that are shed in spite of room above which an immediate further attempt is
/// not worth one of the few that a caller makes.
const MAX_RATE_FOR_RETURN: f64 = 0.8;
/// Part of the longest queue that endpoints of the service have reported up to which a queue is not
/// full.
const ROOM_DIVISOR: f64 = 2.0;

/// Rate from which shedding in spite of room is logged.
const LOGGED_FROM: f64 = 0.2;
/// Rate below which it counts as over.
const LOGGED_UNTIL: f64 = 0.05;

/// A change that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SheddingChange {
    /// Endpoints have begun to shed requests in spite of room.
    Began,
    /// They shed hardly any more.
    Ended,
}

/// What the endpoints of one service have shown about the requests that they shed.
#[derive(Debug, Default)]
pub struct Shedding {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Longest reported queue, per slot.
    longest_queue: f64,
    /// Share of requests that are shed in spite of room, smoothed.
    rate: f64,
    is_logged: bool,
}

impl State {
    fn change(&mut self) -> Option<SheddingChange> {
        let change = match self.is_logged {
            false if self.rate >= LOGGED_FROM => SheddingChange::Began,
            true if self.rate < LOGGED_UNTIL => SheddingChange::Ended,
            _ => return None,
        };
        self.is_logged = change == SheddingChange::Began;
        Some(change)
    }
}

impl Shedding {
    /// Records the outcome of a request and the load in the response.
    pub fn record(&self, outcome: ExchangeOutcome, load: Option<Load>) -> Option<SheddingChange> {
        let load = load?;
        let has_room = self.has_room(load);
        let mut state = self.state();
        state.longest_queue = state.longest_queue.max(load.waiting_per_slot());
        let sample = match outcome {
            ExchangeOutcome::Shed if has_room => 1.0,
            ExchangeOutcome::Answered(_) => 0.0,
            _ => return None,
        };
        state.rate += SHED_RATE_WEIGHT * (sample - state.rate);
        state.change()
    }

    /// Share of requests that endpoints shed in spite of room, smoothed.
    pub fn rate(&self) -> f64 {
        self.state().rate
    }

    /// Whether an endpoint with this load has a free slot, or a short queue where endpoints of the
    /// service are known to queue more.
    pub fn has_room(&self, load: Load) -> bool {
        let waiting = load.waiting_per_slot();
        let is_short = waiting <= f64::from(MAX_WAITING_PER_SLOT);
        let is_below_longest = || waiting * ROOM_DIVISOR < self.state().longest_queue;
        load.has_free_slot() || (is_short && is_below_longest())
    }

    /// Whether a request that was shed in spite of room is likely to be served if it is sent again at
    /// once.
    pub fn is_worth_returning(&self) -> bool {
        self.state().rate <= MAX_RATE_FOR_RETURN
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
