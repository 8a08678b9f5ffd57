//! Guards against a retry budget that is spent on callers with attempts left.

use fireflygauge::{clock::Millis, gateway::patience::Patience};
use test_case::test_case;

/// Time-out of the route.
const TIMEOUT: Millis = Millis(1_000);

#[test_case(&[(1_200, 0)], false; "first caller")]
#[test_case(&[(1_200, 0), (1_200, 50)], false; "another caller")]
#[test_case(&[(1_200, 0), (1_180, 20)], true; "caller that has come back")]
#[test_case(&[(1_200, 0), (900, 10_500)], false; "callers have less time now")]
#[test_case(&[(1_200, 0), (1_200, 8_000), (900, 10_500)], true; "still stated")]
#[test_case(&[(u64::MAX, 0), (4_000, 50)], false; "another caller has stated no real time")]
fn callers_with_less_time_than_usual_have_returned(stated: &[(u64, u64)], expected: bool) {
    let patience = Patience::default();
    let answers = stated
        .iter()
        .map(|(time, now)| patience.record(Millis(*time), TIMEOUT, Millis(*now)));
    assert_eq!(answers.last(), Some(expected));
}
