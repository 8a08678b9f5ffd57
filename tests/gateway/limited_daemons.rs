//! Guards against daemons that together send an endpoint more requests than the limit that it named
//! allows, or far fewer. The platform is in memory.

use crate::{
    daemon::Daemon,
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
};
use std::{sync::Arc, time::Duration};
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const NAMES: [&str; 3] = ["d1", "d2", "d3"];
/// Time for which an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Time from the naming of a limit until the rule holds.
const RULE_HOLDS_AFTER: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a daemon's first response with the limit until its requests count.
const TOLD_BEFORE: Duration = Duration::from_millis(500);

/// Daemons on one platform.
struct Fleet {
    platform: FakePlatform,
    daemons: Vec<Arc<Daemon>>,
}

impl Fleet {
    async fn start(service: &str, endpoints: &[&FakeEndpoint]) -> Self {
        let platform = FakePlatform::new();
        for (i, endpoint) in endpoints.iter().enumerate() {
            platform.register(&format!("e{i}"), service, endpoint.addr);
        }
        platform.declare(1);
        let mut daemons: Vec<Arc<Daemon>> = Vec::new();
        for name in NAMES {
            daemons.push(Arc::new(Daemon::start_as(name, &platform)));
            for daemon in &daemons {
                daemon.wait_ready_among(daemons.len()).await;
            }
        }
        Self { platform, daemons }
    }

    /// Sends requests until `end`: `per_second` to each daemon, whether or not earlier ones have
    /// been answered. Returns the statuses.
    async fn load(&self, path: &'static str, per_second: &[f64], end: Instant) -> Vec<u16> {
        let mut clients = JoinSet::new();
        for (daemon, rate) in self.daemons.iter().zip(per_second) {
            let (daemon, rate) = (Arc::clone(daemon), *rate);
            clients.spawn(async move {
                let mut requests = JoinSet::new();
                while rate > 0.0 && Instant::now() < end {
                    let daemon = Arc::clone(&daemon);
                    requests.spawn(async move { daemon.send_via(path).await.status().as_u16() });
                    sleep(Duration::from_secs_f64(1.0 / rate)).await;
                }
                requests.join_all().await
            });
        }
        clients.join_all().await.concat()
    }

    async fn wait_served(&self, path: &str) {
        for daemon in &self.daemons {
            let end = Instant::now() + Duration::from_secs(10);
            while daemon.send_via(path).await.status() != 200 {
                assert!(Instant::now() < end, "not served");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// The most requests beyond what a limit allows in some window, over the daemons that had been told
/// of it; `named_at` is when the endpoint first named it.
fn worst_excess(endpoint: &FakeEndpoint, per_second: f64, named_at: Instant) -> f64 {
    let allowed = 1.5 * per_second * WINDOW.as_secs_f64() + 5.0;
    let arrivals = NAMES.map(|name| endpoint.arrivals_via(name));
    let ends = arrivals.iter().flatten().copied();
    let judged = ends.filter(|end| *end >= named_at + RULE_HOLDS_AFTER);
    let excess = judged.map(|end| {
        let counts = arrivals.iter().map(|times| {
            let told_at = times.iter().find(|at| **at >= named_at);
            let is_told = told_at.is_some_and(|at| *at + RUN_TIME + TOLD_BEFORE <= end);
            let in_window = times.iter().filter(|at| **at <= end && **at + WINDOW > end);
            if is_told { in_window.count() } else { 0 }
        });
        counts.sum::<usize>() as f64 - allowed
    });
    excess.fold(f64::MIN, f64::max)
}

/// Requests per second that arrived from `from` on.
fn rate_from(endpoint: &FakeEndpoint, from: Instant) -> f64 {
    let arrivals = NAMES.iter().flat_map(|name| endpoint.arrivals_via(name));
    arrivals.filter(|at| *at >= from).count() as f64 / from.elapsed().as_secs_f64()
}

/// Guards against daemons whose requests to a limited endpoint add up to more than the limit allows.
#[test_case("keyed", "/keyed/1", [8.0, 8.0, 8.0]; "keyed")]
#[test_case("keyed", "/keyed/1", [24.0, 0.5, 0.5]; "keyed with uneven demand")]
#[test_case("plain", "/unsafe/1", [16.0, 16.0, 16.0]; "without a key")]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_keep_a_limit_together(service: &str, path: &'static str, demand: [f64; 3]) {
    let limited = FakeEndpoint::start(Behavior::Slow(RUN_TIME)).await;
    let other = FakeEndpoint::start(Behavior::Slow(RUN_TIME)).await;
    let endpoints = if service == "keyed" {
        vec![&limited]
    } else {
        vec![&limited, &other]
    };
    let fleet = Fleet::start(service, &endpoints).await;
    fleet.wait_served(path).await;
    let load_end = Instant::now() + Duration::from_secs(11);
    let named_at = {
        let limited = limited.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(1_500)).await;
            limited.set_limit(Some("7.5"));
            Instant::now()
        })
    };
    let statuses = fleet.load(path, &demand, load_end).await;
    let named_at = named_at.await.expect("no panic");
    let excess = worst_excess(&limited, 7.5, named_at);
    let rate = rate_from(&limited, named_at + Duration::from_secs(4));
    let served = statuses.iter().filter(|status| **status == 200).count();
    println!(
        "{excess:+} requests against the rule, {rate:.1} a second, {served} served of {}",
        statuses.len()
    );
    assert!(excess <= 0.0, "{excess} requests too many");
    if service == "keyed" {
        assert!(rate >= 7.5 * 0.6, "only {rate} requests a second");
    }
    drop(fleet.platform);
}
