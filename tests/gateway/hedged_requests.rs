//! Guards against requests that wait at an endpoint that does not respond until their time is up, although
//! another one would serve them, and against second attempts that must not be made.

use super::{
    daemon::daemon_with,
    fake_endpoint::{Behavior, FakeEndpoint},
};
use fireflygauge::{
    clock::Millis,
    gateway::{
        budget::{BudgetRule, RetryBudget, RetryNeed},
        cost::Estimate,
        hedging::hedge_after,
    },
};
use std::time::Duration;
use test_case::test_case;

/// Work of the endpoints.
const WORK: Duration = Duration::from_millis(20);
/// Requests from which the daemon learns their work.
const LEARNED: usize = 24;

/// Guards against second attempts that come too early, or too late to be of use.
#[test_case(300.0, 600.0, 2_000, Some(600); "most requests have ended")]
#[test_case(300.0, 600.0, 1_000, Some(550); "time is left for the second attempt")]
#[test_case(300.0, 600.0, 760, Some(310); "the first attempt gets the expected work")]
#[test_case(300.0, 600.0, 740, None; "no time for two attempts")]
#[test_case(300.0, 0.0, 2_000, None; "unknown work")]
#[test_case(300.0, 200.0, 2_000, Some(300); "bucket below the mean")]
fn second_attempt_comes_in_time(mean_ms: f64, most_ms: f64, left: u64, after: Option<u64>) {
    let cost = Estimate {
        mean_ms,
        most_ms,
        ..Estimate::default()
    };
    assert_eq!(hedge_after(&cost, Millis(left)), after.map(Millis));
}

/// Guards against second attempts that use up the budget for requests whose attempt has failed.
#[test]
fn second_attempts_leave_budget_for_retries() {
    let rule = BudgetRule {
        ratio: 0.2,
        extra: 20.0,
        window: Millis(10_000),
    };
    let mut budget = RetryBudget::new(rule);
    let mut hedges = 0;
    while budget.allows_hedge(1, Millis(1)) {
        budget.count_hedge(Millis(1));
        hedges += 1;
    }
    assert!(hedges > 0);
    assert!(budget.try_retry(RetryNeed::Needed, 1, Millis(1)));
}

/// Guards against an idempotent request that gets no response in time because its endpoint hangs.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_served_by_another_endpoint_while_one_hangs() {
    let hangs = Behavior::HangsAfter(WORK, LEARNED / 2);
    let (daemon, endpoints) = daemon_with(&[Behavior::Slow(WORK), hangs]).await;
    let mut after = 0;
    for i in 0..200 {
        let response = daemon.send_as(&format!("id-{i}"), "/safe/1").await;
        assert_eq!(response.status(), 200, "request {i}");
        after += usize::from(endpoints[1].arrivals() > LEARNED / 2);
        if after > 20 {
            return;
        }
    }
    panic!("the second endpoint got too few requests");
}

/// Guards against a second attempt of a request that must run once.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_is_not_sent_to_a_second_endpoint() {
    let hangs = Behavior::HangsAfter(WORK, LEARNED / 2);
    let (daemon, endpoints) = daemon_with(&[Behavior::Slow(WORK), hangs]).await;
    for sent in 1..200 {
        let response = daemon.send_as(&format!("id-{sent}"), "/unsafe/1").await;
        let runs: usize = endpoints.iter().map(FakeEndpoint::runs).sum();
        assert_eq!(runs, sent);
        if response.status() == 504 {
            return;
        }
    }
    panic!("no request reached the endpoint while it hung");
}
