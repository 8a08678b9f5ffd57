//! Guards against daemons that use endpoints which have said in a response that they leave, while the
//! daemons are out of contact with the store. The registry never says so here.

use crate::{
    daemon::{Daemon, daemon_on},
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
    leaving_daemon::{CERTAIN_USE, LATEST_USE, keyed_on, wait_for_arrival},
};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time after a response that says so after which the endpoint must get no requests.
const BOUND: Duration = Duration::from_millis(1_400);
/// Time within which a rejection counts as prompt. A request that waits for the owner of its key is
/// rejected after 600 ms.
const PROMPT: Duration = Duration::from_millis(150);
/// Time after which a daemon knows that the store or the controller does not reply.
const UNNOTICED_TIME: Duration = Duration::from_secs(1);

/// What a daemon is out of contact with.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// The store is down; the daemon is the controller.
    StoreOfController,
    /// The store is down; the daemon is in contact with the controller.
    StoreOfOther,
    /// The daemon is cut off from the store and from all other daemons.
    All,
    /// The same, and it was the controller; it does not know of its successor.
    AllOfController,
}

/// A daemon out of contact, and the owner of key 77 among the endpoints.
struct Site {
    platform: FakePlatform,
    daemons: Vec<Daemon>,
    /// Index of the daemon out of contact.
    tested: usize,
    endpoints: Vec<FakeEndpoint>,
    owner: usize,
}

impl Site {
    async fn start(outage: Outage) -> Self {
        let platform = FakePlatform::new();
        let link = platform.with_own_link();
        let common = || platform.clone();
        let (links, tested) = match outage {
            Outage::StoreOfController => (vec![("d1", common())], 0),
            Outage::StoreOfOther => (vec![("d1", common()), ("d2", common())], 1),
            Outage::All => {
                let links = vec![("d1", common()), ("d2", link.clone()), ("d3", common())];
                (links, 1)
            }
            Outage::AllOfController => (vec![("d1", link.clone()), ("d2", common())], 0),
        };
        let (daemons, endpoints) = keyed_on(&platform, &links).await;
        platform.wait_for_controller("d1").await;
        let owner = wait_for_arrival(&daemons[tested], "/keyed/1", &endpoints).await;
        match outage {
            Outage::StoreOfController | Outage::StoreOfOther => platform.set_failing(true),
            Outage::All => {
                link.cut();
                // The daemon cannot learn the address of the next controller, which does not
                // contact it either.
                daemons[0].stop();
                platform.wait_for_controller("d3").await;
            }
            Outage::AllOfController => {
                link.cut();
                platform.wait_for_controller("d2").await;
            }
        }
        sleep(UNNOTICED_TIME).await;
        Self {
            platform,
            daemons,
            tested,
            endpoints,
            owner,
        }
    }

    fn daemon(&self) -> &Daemon {
        &self.daemons[self.tested]
    }

    fn owner(&self) -> &FakeEndpoint {
        &self.endpoints[self.owner]
    }

    /// Lets the owner say in a response to the daemon that it leaves, checks that it is used almost to
    /// the bound, and waits for the bound.
    async fn pass_the_bound(&self) {
        self.owner().set_leaving(true);
        let said = Instant::now();
        while said.elapsed() < CERTAIN_USE {
            let response = self.daemon().send("/keyed/1").await;
            let after = said.elapsed();
            let reason = String::from_utf8_lossy(response.body());
            // On a busy machine a request that is sent in time may reach the daemon after the bound.
            let is_late = after >= BOUND;
            assert!(
                response.status() == 200 || is_late,
                "rejected after {after:?}: {reason}"
            );
            sleep(Duration::from_millis(20)).await;
        }
        sleep(LATEST_USE.saturating_sub(said.elapsed())).await;
    }

    /// Checks that requests are rejected, and say when to come back. Returns the longest time that a
    /// rejection took.
    async fn check_rejections(&self) -> Duration {
        let mut longest = Duration::ZERO;
        for _ in 0..4 {
            let sent = Instant::now();
            let response = self.daemon().send("/keyed/1").await;
            longest = longest.max(sent.elapsed());
            assert_eq!(response.status(), 503);
            assert!(response.headers().contains_key("retry-after"));
        }
        longest
    }
}

/// Guards against requests to a leaving owner after the bound.
#[test_case(Outage::StoreOfController; "the store is down for the controller")]
#[test_case(Outage::StoreOfOther; "the store is down for another daemon")]
#[test_case(Outage::All; "cut off from all")]
#[test_case(Outage::AllOfController; "a former controller is cut off from all")]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_owner_gets_nothing_after_the_bound(outage: Outage) {
    let site = Site::start(outage).await;
    site.pass_the_bound().await;
    let arrivals = site.owner().arrivals();
    site.check_rejections().await;
    assert_eq!(site.owner().arrivals(), arrivals);
}

/// Guards against callers that are kept waiting for a move that cannot happen, or of which the daemon
/// cannot learn.
#[test_case(Outage::StoreOfController; "the store is down for the controller")]
#[test_case(Outage::StoreOfOther; "the store is down for another daemon")]
#[test_case(Outage::All; "cut off from all")]
#[test_case(Outage::AllOfController; "a former controller is cut off from all")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_rejected_at_once_after_the_bound(outage: Outage) {
    let site = Site::start(outage).await;
    site.pass_the_bound().await;
    let longest = site.check_rejections().await;
    assert!(longest < PROMPT, "rejected after {longest:?}");
}

/// Guards against a daemon that is cut off and sends requests to the former owner, or keeps callers
/// waiting, after the others have moved the keys and serve them.
#[tokio::test(flavor = "multi_thread")]
async fn others_serve_the_keys_of_a_daemon_that_is_cut_off() {
    let site = Site::start(Outage::All).await;
    site.pass_the_bound().await;
    let new_owner = 1 - site.owner;
    while wait_for_arrival(&site.daemons[2], "/keyed/1", &site.endpoints).await != new_owner {}
    let arrivals = site.owner().arrivals();
    let longest = site.check_rejections().await;
    assert!(longest < PROMPT, "rejected after {longest:?}");
    assert_eq!(site.daemons[2].send("/keyed/1").await.status(), 200);
    assert_eq!(site.owner().arrivals(), arrivals);
}

/// Guards against callers that are rejected by a daemon that has lost the store alone: the controller
/// tells it to whom the keys have moved.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_has_lost_the_store_alone_learns_of_the_move() {
    let platform = FakePlatform::new();
    let link = platform.with_own_link();
    let links = [("d1", platform.clone()), ("d2", link.clone())];
    let (daemons, endpoints) = keyed_on(&platform, &links).await;
    platform.wait_for_controller("d1").await;
    let owner = wait_for_arrival(&daemons[1], "/keyed/1", &endpoints).await;
    link.cut();
    sleep(UNNOTICED_TIME).await;
    endpoints[owner].set_leaving(true);
    let said = Instant::now();
    while said.elapsed() < LATEST_USE {
        assert_eq!(daemons[1].send("/keyed/1").await.status(), 200);
        sleep(Duration::from_millis(20)).await;
    }
    let arrivals = endpoints[owner].arrivals();
    assert_eq!(daemons[1].send("/keyed/1").await.status(), 200);
    assert_eq!(endpoints[owner].arrivals(), arrivals);
}

/// Guards against keys that stay with the leaving owner after the store has come back.
#[tokio::test(flavor = "multi_thread")]
async fn keys_move_when_the_store_is_back() {
    let site = Site::start(Outage::StoreOfController).await;
    site.pass_the_bound().await;
    let arrivals = site.owner().arrivals();
    site.platform.set_failing(false);
    let reached = wait_for_arrival(site.daemon(), "/keyed/1", &site.endpoints).await;
    assert_eq!(reached, 1 - site.owner);
    assert_eq!(site.daemon().send("/keyed/1").await.status(), 200);
    assert_eq!(site.owner().arrivals(), arrivals);
}

/// Guards against requests without a key to the last endpoint of a service after the bound while the
/// store is down.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_and_the_last_endpoint_leaves() {
    let platform = FakePlatform::new();
    let (daemon, endpoints) = daemon_on(&platform, &[Behavior::Ok]).await;
    assert_eq!(daemon.send("/safe/1").await.status(), 200);
    platform.set_failing(true);
    sleep(UNNOTICED_TIME).await;
    endpoints[0].set_leaving(true);
    assert_eq!(daemon.send("/safe/1").await.status(), 200);
    sleep(LATEST_USE).await;
    let arrivals = endpoints[0].arrivals();
    for _ in 0..3 {
        let response = daemon.send("/safe/1").await;
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
    }
    assert_eq!(endpoints[0].arrivals(), arrivals);
}
