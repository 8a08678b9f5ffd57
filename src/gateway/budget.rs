//! The retry budget: how often requests may be sent again, as a share of first sends.
//!
//! All daemons share the budget of a service. Each keeps to its own requests' share of it, and to
//! an equal part of what is allowed beyond.

use crate::clock::Millis;
use std::collections::VecDeque;

/// Length of a bucket of the sliding window.
const BUCKET: Millis = Millis(500);
/// Share of the budget that is used, since the daemons do not count the same window.
const USED_SHARE: f64 = 0.7;

/// What the retry budget of a service allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRule {
    /// Sends beyond the first, for each request.
    pub ratio: f64,
    /// Further sends beyond the first in a window, by all daemons together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Millis,
    requests: u32,
    repeats: u32,
}

/// Requests and repeated sends of one daemon for one service, within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// An empty window.
    pub fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeated send if the budget, shared with `daemons`, allows it.
    pub fn try_repeat(&mut self, daemons: usize, now: Millis) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|b| b.repeats).sum();
        let extra = self.rule.extra / daemons.max(1) as f64;
        let allowed = (f64::from(requests) * self.rule.ratio + extra) * USED_SHARE;
        let left = f64::from(repeats) + 1.0 <= allowed;
        if left {
            self.bucket(now).repeats += 1;
        }
        left
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        // A repeat counts for a bucket longer than the window, a window being any span.
        let keep = self.rule.window + BUCKET;
        while self
            .buckets
            .front()
            .is_some_and(|b| now.since(b.from) > keep)
        {
            self.buckets.pop_front();
        }
        let current = self
            .buckets
            .back()
            .is_some_and(|b| now.since(b.from) < BUCKET);
        if !current {
            self.buckets.push_back(Bucket {
                from: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was added")
    }
}
