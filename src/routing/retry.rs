//! When a request is sent again.

use super::{exchange::ExchangeResult, refusal::Code};
use crate::clock::Millis;

/// First tries that a budget remembers at most, so that a long quiet time does not save up for a
/// storm of retries.
const MAX_TOKENS: f64 = 50.0;
/// Retries that are always possible after a start, before any first tries were counted.
const INITIAL_TOKENS: f64 = 5.0;
/// Price of a retry after a shed. It costs the target almost nothing, and in simulations of nine
/// daemons at 70% load the full price left 7% of requests refused, against none at this price.
const SHED_COST: f64 = 0.1;
/// Times that one request is sent at most.
pub const MAX_ATTEMPTS: u32 = 12;
/// First delay before a retry, in milliseconds. It doubles with every further one.
const BASE_BACKOFF_MS: u64 = 4;
/// Longest delay, in milliseconds.
const MAX_BACKOFF_MS: u64 = 200;

/// Time that must be left at least for a request to be sent again. One that is still on its way at
/// the deadline is reported as unknown, although its earlier refusals were proved.
const MIN_ATTEMPT_TIME: Millis = Millis(50);
/// Time that must be left for a request to be sent again, as a multiple of the longest time that
/// an attempt of it took to be refused.
const ATTEMPT_TIME_FACTOR: u64 = 3;

/// Retries as a share of first tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }
}

impl RetryBudget {
    /// Counts a first try, which earns `percent` of a retry.
    pub fn record_first_attempt(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Spends a retry after `result` if one is left.
    pub fn try_spend(&mut self, result: &ExchangeResult) -> bool {
        let cost = match result {
            ExchangeResult::NotRun(Code::Shed) => SHED_COST,
            _ => 1.0,
        };
        let left = self.tokens >= cost;
        if left {
            self.tokens -= cost;
        }
        left
    }
}

/// Whether and how a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Its outcome is final.
    Never,
    /// After a delay, if the budget allows it.
    AfterBackoff,
    /// After a newer table or a delay. These follow a move of ownership, which reaches every
    /// request for the partition alike, and count against no budget.
    AfterMove,
    /// At once: a connection was found closed before anything was written.
    Immediately,
}

/// Decides whether a request may be sent again after `result`.
///
/// A non-idempotent request is only sent again if it is proved that it did not run.
pub fn retry_decision(result: &ExchangeResult, idempotent: bool, attempts: u32) -> RetryDecision {
    if attempts >= MAX_ATTEMPTS {
        return RetryDecision::Never;
    }
    match result {
        ExchangeResult::Answered(_) => RetryDecision::Never,
        ExchangeResult::NotRun(Code::NotOwner | Code::NoOwner) => RetryDecision::AfterMove,
        ExchangeResult::NotRun(Code::NeverWritten) => RetryDecision::Immediately,
        ExchangeResult::NotRun(Code::Shed | Code::Draining | Code::Cold | Code::ConnectFailed) => {
            RetryDecision::AfterBackoff
        }
        ExchangeResult::NotRun(_) => RetryDecision::Never,
        ExchangeResult::MayHaveRun(Code::Timeout | Code::AnswerTooLarge) => RetryDecision::Never,
        ExchangeResult::MayHaveRun(_) if idempotent => RetryDecision::AfterBackoff,
        ExchangeResult::MayHaveRun(_) => RetryDecision::Never,
    }
}

/// The delay before retry number `retry` (from 1), with `jitter` from 0.0 to 1.0.
pub fn backoff(retry: u32, jitter: f64) -> Millis {
    let full = (BASE_BACKOFF_MS << retry.saturating_sub(1).min(16)).min(MAX_BACKOFF_MS);
    Millis(((full as f64) * (0.5 + jitter / 2.0)).ceil() as u64)
}

/// Whether `left` suffices for another attempt after `wait`. `slowest_attempt` is the longest
/// duration of an attempt of the request so far.
pub fn is_time_left(left: Millis, wait: Millis, slowest_attempt: Millis) -> bool {
    let needed = MIN_ATTEMPT_TIME.max(Millis(slowest_attempt.0 * ATTEMPT_TIME_FACTOR));
    left > wait + needed
}
