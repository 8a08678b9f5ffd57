//! Guards against daemons that together exceed the shared retry budget of a service.

use fireflygauge::{
    clock::Millis,
    gateway::budget::{BudgetRule, RetryBudget, RetryNeed},
};
use test_case::test_case;

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    extra: 58.0,
    window: Millis(10_000),
};

/// Guards against daemons that together send more retries than the platform allows in some window.
#[test_case(1, 0; "alone, without requests")]
#[test_case(9, 0; "nine daemons, without requests")]
#[test_case(9, 100; "nine daemons, with requests")]
#[test_case(62, 20; "many daemons")]
fn retries_stay_within_the_budget(daemons: usize, per_second: u32) {
    let mut budget = RetryBudget::new(RULE);
    let (mut requests, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(10) {
        if per_second > 0 && ms % (1_000 / u64::from(per_second)).max(1) < 10 {
            budget.count_request(Millis(ms));
            requests.push(ms);
        }
        while budget.try_retry(RetryNeed::Needed, daemons, Millis(ms)) {
            retries.push(ms);
        }
    }
    for from in (0..30_000).step_by(100) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| (from..from + 10_000).contains(*t))
                .count()
        };
        let share = RULE.extra / daemons as f64;
        // Requests may also be counted in the window that began half a window earlier.
        let shifted = requests.iter().filter(|t| {
            let from = from.saturating_sub(5_000);
            (from..from + 10_000).contains(*t)
        });
        let allowed_requests = within(&requests).max(shifted.count());
        assert!(within(&retries) as f64 <= RULE.ratio * allowed_requests as f64 + share);
    }
}

/// Guards against a budget that is never refilled.
#[test]
fn retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(RULE);
    while budget.try_retry(RetryNeed::Needed, 1, Millis(0)) {}
    assert!(!budget.try_retry(RetryNeed::Needed, 1, Millis(9_000)));
    assert!(budget.try_retry(RetryNeed::Needed, 1, Millis(11_000)));
}

/// Guards against a budget that is spent before callers come back.
#[test]
fn a_part_is_kept_for_callers_that_have_returned() {
    let mut budget = RetryBudget::new(RULE);
    while budget.try_retry(RetryNeed::Optional, 1, Millis(0)) {}
    assert!(budget.try_retry(RetryNeed::Needed, 1, Millis(0)));
}
