//! Keys are served again within 2 s of a loss.

use standins::{
    recovery::{BOUND, Loss, measure},
    scenario::seed,
};
use test_case::test_case;

/// Guards against a slow recovery; `cargo run --example recovery` measures more runs.
#[test_case(Loss::Target, 61; "target killed")]
#[test_case(Loss::Controller, 62; "controller killed")]
#[test_case(Loss::SuspendedController, 63; "controller frozen")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn served_again_within_the_bound(loss: Loss, default_seed: u64) {
    let first = seed(default_seed);
    for run in 0..3 {
        let unserved = measure(loss, first + run).await;
        assert!(unserved < BOUND, "{loss}: unserved for {unserved:?}");
    }
}
