//! When requests are sent again.

use bytes::Bytes;
use fireflygauge::{
    clock::Millis,
    routing::{
        exchange::Exchange,
        outcome::{Answer, OutcomeKind},
        refusal::Code,
        retry::{Again, MAX_ATTEMPTS, RetryBudget, again, delay},
    },
};
use http::{HeaderMap, StatusCode};
use strum::IntoEnumIterator;
use test_case::test_case;

/// Guards against a storm of retries when everything fails, also after a long quiet time.
#[test_case(Exchange::MayHaveRun(Code::ConnectionLost), 100; "lost_connections")]
#[test_case(Exchange::NotRun(Code::Shed), 1_000; "sheds_are_cheaper_but_bounded")]
fn budget_is_a_share_of_first_tries(result: Exchange, expected: u32) {
    let mut budget = RetryBudget::default();
    (0..100_000).for_each(|_| budget.first_try(10));
    let saved = (0..100_000).filter(|_| budget.spend(&result)).count();
    assert!(saved <= expected as usize / 2, "{saved} saved");
    let mut spent = 0;
    for _ in 0..1_000 {
        budget.first_try(10);
        while budget.spend(&result) {
            spent += 1;
        }
    }
    let low = expected * 9 / 10;
    assert!(
        (low..=expected + 1).contains(&spent),
        "{spent} of 1,000 first tries"
    );
}

/// Guards against sending a non-idempotent request again without proof, for every code.
#[test]
fn only_proof_allows_another_try() {
    for code in Code::iter().filter(|code| code.kind() == OutcomeKind::Unknown) {
        let result = Exchange::MayHaveRun(code);
        assert_eq!(again(&result, false, 1), Again::No, "{code}");
    }
    let answer = Answer {
        status: StatusCode::INTERNAL_SERVER_ERROR,
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    assert_eq!(again(&Exchange::Answered(answer), true, 1), Again::No);
    assert_eq!(
        again(&Exchange::NotRun(Code::Shed), false, 1),
        Again::Budgeted
    );
    assert_eq!(
        again(&Exchange::NotRun(Code::Shed), false, MAX_ATTEMPTS),
        Again::No
    );
}

/// Guards against retries in step, and against delays without bound.
#[test]
fn delay_is_jittered_and_bounded() {
    for retry in 1..100 {
        let (low, high) = (delay(retry, 0.0), delay(retry, 1.0));
        assert!(low < high && high <= Millis(200), "{low} to {high}");
    }
    assert!(delay(1, 1.0) <= Millis(4));
}
