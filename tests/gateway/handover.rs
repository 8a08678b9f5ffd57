//! Guards against a fleet whose controller stays on a weak VM, and against a controller lease that
//! moves without need.

use fireflygauge::{
    clock::Millis,
    gateway::control::handover::{Successor, should_hand_over},
};
use test_case::test_case;

const LONG_TENURE: Millis = Millis(10_000);
const RECENT: Millis = Millis(300);

fn successor(cores: f64, report_age: Millis) -> Successor {
    Successor { cores, report_age }
}

#[test_case(0.1, LONG_TENURE, &[successor(0.5, RECENT)], true; "a stronger daemon reports")]
#[test_case(0.1, LONG_TENURE, &[successor(0.1, RECENT), successor(0.5, RECENT)], true; "one of several is stronger")]
#[test_case(0.2, LONG_TENURE, &[successor(0.2, RECENT)], false; "all daemons are alike")]
#[test_case(0.2, LONG_TENURE, &[successor(0.3, RECENT)], false; "a little stronger")]
#[test_case(0.5, LONG_TENURE, &[successor(0.1, RECENT)], false; "the others are weaker")]
#[test_case(0.1, Millis(1_000), &[successor(0.5, RECENT)], false; "just taken")]
#[test_case(0.1, LONG_TENURE, &[successor(0.5, Millis(2_000))], false; "the stronger daemon is silent")]
#[test_case(0.1, LONG_TENURE, &[successor(0.0, RECENT)], false; "the other daemon cannot take over")]
#[test_case(0.1, LONG_TENURE, &[], false; "no other daemon")]
fn the_lease_goes_to_much_stronger_daemons(
    own_cores: f64,
    tenure: Millis,
    others: &[Successor],
    expected: bool,
) {
    let others = others.iter().copied();
    assert_eq!(should_hand_over(own_cores, tenure, others), expected);
}
