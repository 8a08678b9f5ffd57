//! Guards against endpoints that are used after their entries were removed while the controller did not
//! reach the store. The platform is in memory.

use crate::{
    daemon::Daemon,
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use std::{sync::Arc, time::Duration};
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time for which an endpoint serves after its entry was removed.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which endpoints are watched after that.
const WATCHED: Duration = Duration::from_millis(700);
const ENDPOINTS: usize = 6;

/// Sends requests through the daemon until the task is aborted.
async fn send_all_the_time(daemon: Arc<Daemon>) {
    loop {
        daemon.send("/unsafe/1").await;
        sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against requests to an endpoint that has left, because one failed call of the controller made
/// all daemons wait for the return of its entry.
#[test_case(200, 500, 1; "short cut, one leaves")]
#[test_case(100, 900, 1; "longer cut, one leaves")]
#[test_case(200, 500, 3; "short cut, half of them leave")]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_left_during_a_cut_of_the_controller_is_not_used(
    removed_after_ms: u64,
    cut_ms: u64,
    leaving: usize,
) {
    let platform = FakePlatform::new();
    let mut endpoints = Vec::new();
    for i in 0..ENDPOINTS {
        let endpoint = FakeEndpoint::start(Behavior::Ok).await;
        platform.register(&format!("e{i}"), "plain", endpoint.addr);
        endpoints.push(endpoint);
    }
    platform.declare(1);
    let link = platform.with_own_link();
    let controller = Arc::new(Daemon::start_as("d1", &link));
    platform.wait_for_controller("d1").await;
    let other = Arc::new(Daemon::start_as("d2", &platform));
    other.wait_ready_among(2).await;
    let callers: Vec<_> = [&controller, &other]
        .into_iter()
        .map(|daemon| tokio::spawn(send_all_the_time(Arc::clone(daemon))))
        .collect();
    sleep(Duration::from_millis(500)).await;
    link.cut();
    sleep(Duration::from_millis(removed_after_ms)).await;
    (0..leaving).for_each(|i| platform.unregister(&format!("e{i}")));
    let removed = Instant::now();
    sleep(Duration::from_millis(cut_ms - removed_after_ms)).await;
    link.heal();
    sleep(DRAIN_TIME.saturating_sub(removed.elapsed())).await;
    let arrivals = || -> Vec<usize> {
        let left = endpoints[..leaving].iter();
        left.map(FakeEndpoint::arrivals).collect()
    };
    let before = arrivals();
    assert!(before.iter().all(|arrivals| *arrivals > 0), "{before:?}");
    sleep(WATCHED).await;
    assert_eq!(arrivals(), before, "requests after the drain time");
    callers.iter().for_each(|caller| caller.abort());
}
