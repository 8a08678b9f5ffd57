//! Retry decisions, retry budget and backoff.

use super::{exchange::ExchangeResult, refusal::Code};
use crate::clock::Millis;

/// Upper bound of the budget, so that a long time without failures does not accumulate tokens for a
/// retry storm.
const MAX_TOKENS: f64 = 50.0;
/// Budget at the start, before any first attempt was counted.
const INITIAL_TOKENS: f64 = 5.0;
/// Tokens for a retry after a shed, which costs the target almost nothing. In simulations of nine
/// daemons at 70% load, 7% of requests were refused at the full cost of 1, and none at this cost.
const SHED_COST: f64 = 0.1;
/// Largest number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 12;
/// Backoff before the first retry, in milliseconds. It doubles with every further retry.
const BASE_BACKOFF_MS: u64 = 4;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 200;

/// Minimum time left for a retry. A retry that is still in flight at the deadline turns the outcome
/// into unknown, although all earlier attempts were proved not to have run.
const MIN_ATTEMPT_TIME: Millis = Millis(50);
/// Minimum time left for a retry, as a multiple of the request's longest attempt so far.
const ATTEMPT_TIME_FACTOR: u64 = 3;

/// Retry budget: a token bucket that limits retries to a share of first attempts.
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
    /// Adds `percent` hundredths of a token for a first attempt.
    pub fn record_first_attempt(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Takes the tokens for a retry after `result`; false if too few are left.
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

/// Whether and when a request is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Not at all: the outcome is final.
    Never,
    /// After a backoff, if the retry budget allows it.
    AfterBackoff,
    /// After a change of owner or a backoff. A move of ownership affects all requests for the
    /// partition alike, so these retries do not use the budget.
    AfterMove,
    /// At once: the connection was found closed before anything was written.
    Immediately,
}

/// Decides whether a request is retried after `result`.
///
/// A non-idempotent request is retried only if it is proved that it did not run.
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

/// Exponential backoff before retry number `retry` (from 1). `jitter` from 0.0 to 1.0 selects a
/// value between half of it and all of it.
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
