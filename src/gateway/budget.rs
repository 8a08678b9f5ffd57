//! Retry budget: limits retries to a share of the requests in a sliding window.
//!
//! All daemons share the budget of a service. Each daemon uses the share that its own requests
//! contribute, and an equal part of the fixed allowance. A part is kept for callers that have come
//! back, and have few attempts left.

use crate::clock::Millis;
use std::collections::VecDeque;

/// Length of one bucket of the sliding window.
const BUCKET_LENGTH: Millis = Millis(500);
/// Share of the budget that daemons use. The rest is a margin, since the windows of the daemons are
/// not aligned.
const BUDGET_UTILIZATION: f64 = 0.7;
/// Used share of the budget from which requests are not hedged. The rest is kept for requests whose attempt
/// has failed.
const HEDGE_SHARE: f64 = 0.75;
/// Part of the budget that retries may use which the caller can make as well.
const OPTIONAL_SHARE: f64 = 0.4;

/// What becomes of the request without the retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryNeed {
    /// The caller, which is at its first attempt, is told that it may return at once.
    Optional,
    /// The caller may give up, or would return later.
    Needed,
}

impl RetryNeed {
    /// The need after an endpoint shed the request. `returns_at_once` tells whether the caller would be
    /// told to return at once, `has_returned` whether it seems to have made an attempt before.
    pub fn after_shed(returns_at_once: bool, has_returned: bool) -> Self {
        if returns_at_once && !has_returned {
            Self::Optional
        } else {
            Self::Needed
        }
    }
}

/// Parameters of a service's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Retries per request, averaged over the window.
    pub ratio: f64,
    /// Retries in a window that are allowed in addition, by all daemons together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one daemon for one service within the sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    pub fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self, now: Millis) {
        self.current_bucket(now).requests += 1;
    }

    /// Counts a retry and returns true if the budget, shared by `daemons`, allows it.
    pub fn try_retry(&mut self, need: RetryNeed, daemons: usize, now: Millis) -> bool {
        let share = match need {
            RetryNeed::Optional => OPTIONAL_SHARE,
            RetryNeed::Needed => 1.0,
        };
        let is_allowed = self.has_left(share, daemons, now);
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        is_allowed
    }

    /// Whether the part of the budget for hedged requests allows a further one.
    pub fn allows_hedge(&mut self, daemons: usize, now: Millis) -> bool {
        self.has_left(HEDGE_SHARE, daemons, now)
    }

    /// Counts a hedged request.
    pub fn count_hedge(&mut self, now: Millis) {
        self.current_bucket(now).retries += 1;
    }

    /// Whether less than `share` of the budget is used up.
    fn has_left(&mut self, share: f64, daemons: usize, now: Millis) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let extra = self.rule.extra / daemons.max(1) as f64;
        let allowed = (f64::from(requests) * self.rule.ratio + extra) * BUDGET_UTILIZATION;
        f64::from(retries) + 1.0 <= allowed * share
    }

    fn current_bucket(&mut self, now: Millis) -> &mut Bucket {
        // Entries are kept for one bucket longer than the window, so that no span of the window's
        // length exceeds the budget.
        let retention = self.rule.window + BUCKET_LENGTH;
        while self
            .buckets
            .front()
            .is_some_and(|b| now.since(b.start) > retention)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|b| now.since(b.start) < BUCKET_LENGTH);
        if !is_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }
}
