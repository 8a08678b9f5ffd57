//! Retry decisions, retry budget and backoff.

use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    routing::{
        exchange::ExchangeResult,
        outcome::{OutcomeKind, TargetResponse},
        refusal::Code,
        retry::{MAX_ATTEMPTS, RetryBudget, RetryDecision, backoff, is_time_left, retry_decision},
    },
};
use http::{HeaderMap, StatusCode};
use strum::IntoEnumIterator;
use test_case::test_case;

/// Guards against a retry storm when all requests fail, also after a long time without failures.
#[test_case(ExchangeResult::MayHaveRun(Code::ConnectionLost), 100; "lost_connections")]
#[test_case(ExchangeResult::NotRun(Code::Shed), 1_000; "sheds_are_cheaper_but_bounded")]
fn budget_is_a_share_of_first_tries(result: ExchangeResult, expected: u32) {
    let mut budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.record_first_attempt(10));
    let saved = (0..100_000).filter(|_| budget.try_spend(&result)).count();
    assert!(saved <= expected as usize / 2, "{saved} saved");
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt(10);
        while budget.try_spend(&result) {
            spent += 1;
        }
    }
    let low = expected * 9 / 10;
    assert!(
        (low..=expected + 1).contains(&spent),
        "{spent} of 1,000 first tries"
    );
}

/// Guards against retrying a non-idempotent request without proof that it did not run.
#[test]
fn non_idempotent_request_is_retried_only_with_proof() {
    for code in Code::iter().filter(|code| code.kind() == OutcomeKind::Unknown) {
        let result = ExchangeResult::MayHaveRun(code);
        assert_eq!(
            retry_decision(&result, false, 1),
            RetryDecision::Never,
            "{code}"
        );
    }
    let response = TargetResponse {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    assert_eq!(
        retry_decision(&ExchangeResult::Answered(response), true, 1),
        RetryDecision::Never
    );
    assert_eq!(
        retry_decision(&ExchangeResult::NotRun(Code::Shed), false, 1),
        RetryDecision::AfterBackoff
    );
    assert_eq!(
        retry_decision(&ExchangeResult::NotRun(Code::Shed), false, MAX_ATTEMPTS),
        RetryDecision::Never
    );
}

/// Guards against synchronised retries, and against an unbounded backoff.
#[test]
fn backoff_is_jittered_and_bounded() {
    for retry in 1..100 {
        let (low, high) = (backoff(retry, 0.0), backoff(retry, 1.0));
        assert!(low < high && high <= Millis(200), "{low} to {high}");
    }
    assert!(backoff(1, 1.0) <= Millis(4));
}

/// Guards against reporting unknown for a request whose attempts were all proved not to have run,
/// because it was retried once more and the deadline passed before the next response.
#[test_case(300, 10, 5, true; "much_time_left")]
#[test_case(55, 10, 0, false; "less_than_any_attempt_takes")]
#[test_case(190, 10, 60, false; "less_than_its_attempts_took")]
#[test_case(191, 10, 60, true; "as_much_as_its_attempts_took")]
fn no_retry_with_too_little_time_left(left: u64, wait: u64, slowest_attempt: u64, expected: bool) {
    let is_left = is_time_left(Millis(left), Millis(wait), Millis(slowest_attempt));
    assert_eq!(is_left, expected);
}
