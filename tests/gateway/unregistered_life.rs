//! Guards against notices in responses that are lost because the life that gave them was not registered
//! yet: it has the name and address of its predecessor, whose entry the daemon knows.

use crate::{
    daemon::{Daemon, daemon_on},
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use std::time::{Duration, SystemTime};
use test_case::test_case;
use tokio::time::{Instant, sleep, timeout};

/// Time after which the later life is registered, counted from its notice.
const REGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Time from the end of a life to the start of the next one.
const RESTART_TIME: Duration = Duration::from_millis(20);
/// Time after a notice of leaving from which the endpoint gets no requests; the bound is 1.4 s.
const LATEST_USE: Duration = Duration::from_millis(1_450);

/// A pause that is requested by the first response.
const PAUSE: &str =
    "HTTP/1.1 503 Busy\r\nx-id: ID\r\nx-not-run: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n";

/// Starts a daemon with an endpoint, restarts the endpoint at its address, and waits until the later
/// life has got a request. Returns when it did.
async fn restart(behavior: Behavior, is_leaving: bool) -> (Daemon, FakeEndpoint, Instant) {
    let platform = FakePlatform::new();
    let (daemon, later, told) = restart_unregistered(&platform, behavior, is_leaving).await;
    sleep(REGISTRATION_DELAY).await;
    register_now(&platform, &later);
    (daemon, later, told)
}

fn register_now(platform: &FakePlatform, life: &FakeEndpoint) {
    let now = SystemTime::UNIX_EPOCH.elapsed().expect("after 1970");
    platform.register_life("e0", "plain", life.addr, now.as_millis() as u64);
}

/// The same before the later life is registered.
async fn restart_unregistered(
    platform: &FakePlatform,
    behavior: Behavior,
    is_leaving: bool,
) -> (Daemon, FakeEndpoint, Instant) {
    let (daemon, endpoints) = daemon_on(platform, &[Behavior::Ok]).await;
    assert_eq!(daemon.send("/safe/1").await.status(), 200);
    endpoints[0].stop().await;
    let later = FakeEndpoint::start_at(endpoints[0].addr, behavior).await;
    later.set_leaving(is_leaving);
    let arrival = async {
        while later.arrivals() == 0 {
            daemon.send("/unsafe/1").await;
        }
    };
    let arrived = timeout(Duration::from_secs(10), arrival).await;
    arrived.expect("the later life gets a request");
    // The daemon is told once.
    later.set_leaving(false);
    let told = later.arrival_times()[0];
    (daemon, later, told)
}

/// Guards against requests during the pause that a life requested before it was registered.
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_of_a_life_that_is_registered_later_is_kept() {
    let (daemon, endpoint, told) = restart(Behavior::Sends(PAUSE, 1), false).await;
    while told.elapsed() < Duration::from_millis(1_800) {
        daemon.send("/unsafe/1").await;
        sleep(Duration::from_millis(20)).await;
    }
    let arrivals = endpoint.arrival_times();
    let early = arrivals[1..]
        .iter()
        .filter(|at| **at < told + Duration::from_secs(2));
    assert_eq!(early.count(), 0, "requests during the pause");
}

/// Guards against requests after the drain time to a life that said that it leaves before it was
/// registered.
#[tokio::test(flavor = "multi_thread")]
async fn a_life_that_says_that_it_leaves_before_it_is_registered_gets_nothing_after_the_bound() {
    let (daemon, endpoint, told) = restart(Behavior::Ok, true).await;
    sleep(LATEST_USE.saturating_sub(told.elapsed())).await;
    let arrivals = endpoint.arrivals();
    for _ in 0..5 {
        daemon.send("/unsafe/1").await;
    }
    assert_eq!(endpoint.arrivals(), arrivals, "requests after the bound");
}

/// Guards against notices of a life that ended before the registered one began.
#[test_case(Behavior::Sends(PAUSE, 1), false; "pause")]
#[test_case(Behavior::Ok, true; "leaving")]
#[tokio::test(flavor = "multi_thread")]
async fn a_notice_of_a_life_that_has_ended_is_not_inherited(behavior: Behavior, is_leaving: bool) {
    let platform = FakePlatform::new();
    let (daemon, second, told) = restart_unregistered(&platform, behavior, is_leaving).await;
    second.stop().await;
    sleep(RESTART_TIME).await;
    let third = FakeEndpoint::start_at(second.addr, Behavior::Ok).await;
    register_now(&platform, &third);
    while third.arrivals() == 0 {
        assert!(
            told.elapsed() < Duration::from_millis(1_200),
            "the life is not used"
        );
        daemon.send("/unsafe/1").await;
        sleep(Duration::from_millis(20)).await;
    }
    sleep(LATEST_USE.saturating_sub(told.elapsed())).await;
    let response = daemon.send("/unsafe/1").await;
    assert_eq!(response.status(), 200, "{response:?}");
}
