//! When a request is sent again.

use super::{exchange::Exchange, refusal::Code};
use crate::clock::Millis;

/// First tries that a budget remembers at most, so that a long quiet time does not save up for a
/// storm of retries.
const MAX_SAVED: f64 = 50.0;
/// Retries that are always possible after a start, before any first tries were counted.
const INITIAL: f64 = 5.0;
/// Price of a retry after a shed. It costs the target almost nothing, and in simulations of nine
/// daemons at 70% load the full price left 7% of requests refused, against none at this price.
const SHED_PRICE: f64 = 0.1;
/// Times that one request is sent at most.
pub const MAX_ATTEMPTS: u32 = 12;
/// First delay before a retry, in milliseconds. It doubles with every further one.
const FIRST_DELAY_MS: u64 = 4;
/// Longest delay, in milliseconds.
const MAX_DELAY_MS: u64 = 200;

/// Time that must be left at least for a request to be sent again. One that is still on its way at
/// the deadline is reported as unknown, although its earlier refusals were proved.
const MIN_SEND_TIME: Millis = Millis(50);
/// Time that must be left for a request to be sent again, as a multiple of the longest time that
/// an attempt of it took to be refused.
const SEND_TIME_FACTOR: u64 = 3;

/// Retries as a share of first tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: INITIAL }
    }
}

impl RetryBudget {
    /// Counts a first try, which earns `percent` of a retry.
    pub fn first_try(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_SAVED);
    }

    /// Spends a retry after `result` if one is left.
    pub fn spend(&mut self, result: &Exchange) -> bool {
        let price = match result {
            Exchange::NotRun(Code::Shed) => SHED_PRICE,
            _ => 1.0,
        };
        let left = self.tokens >= price;
        if left {
            self.tokens -= price;
        }
        left
    }
}

/// Whether and how a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// Its outcome is final.
    No,
    /// After a delay, if the budget allows it.
    Budgeted,
    /// After a newer table or a delay. These follow a move of ownership, which reaches every
    /// request for the partition alike, and count against no budget.
    Moved,
    /// At once: a connection was found closed before anything was written.
    AtOnce,
}

/// Decides whether a request may be sent again after `result`.
///
/// A non-idempotent request is only sent again if it is proved that it did not run.
pub fn again(result: &Exchange, idempotent: bool, attempts: u32) -> Again {
    if attempts >= MAX_ATTEMPTS {
        return Again::No;
    }
    match result {
        Exchange::Answered(_) => Again::No,
        Exchange::NotRun(Code::NotOwner | Code::NoOwner) => Again::Moved,
        Exchange::NotRun(Code::NeverWritten) => Again::AtOnce,
        Exchange::NotRun(Code::Shed | Code::Draining | Code::Cold | Code::ConnectFailed) => {
            Again::Budgeted
        }
        Exchange::NotRun(_) => Again::No,
        Exchange::MayHaveRun(Code::Timeout | Code::AnswerTooLarge) => Again::No,
        Exchange::MayHaveRun(_) if idempotent => Again::Budgeted,
        Exchange::MayHaveRun(_) => Again::No,
    }
}

/// The delay before retry number `retry` (from 1), with `jitter` from 0.0 to 1.0.
pub fn delay(retry: u32, jitter: f64) -> Millis {
    let full = (FIRST_DELAY_MS << retry.saturating_sub(1).min(16)).min(MAX_DELAY_MS);
    Millis(((full as f64) * (0.5 + jitter / 2.0)).ceil() as u64)
}

/// Whether enough of the `left` time remains to send a request again after `wait`. `slowest` is the
/// longest time that an attempt of the request took so far.
pub fn is_time_left(left: Millis, wait: Millis, slowest: Millis) -> bool {
    let needed = MIN_SEND_TIME.max(Millis(slowest.0 * SEND_TIME_FACTOR));
    left > wait + needed
}
