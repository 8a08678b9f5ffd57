//! Guards against a long store outage that leaves keys unserved, moves partitions or breaks ownership
//! afterwards.

use http::Method;
use standins::{
    caller::{Call, CallResult},
    cluster::{KEYED, Layout, wait_until},
    platform::{Availability, Faults},
    scenario::{Scenario, seed},
    target::history::boottime_us,
    workload::Mix,
};
use std::time::Duration;
use test_case::test_case;

/// Many times the lease duration of 1.2 s.
const OUTAGE: Duration = Duration::from_secs(10);
/// Maximum time without a response for a key while only the store is unavailable.
const UNSERVED_MS: u64 = 500;
/// Time limit for a takeover and for all keys to be served again.
const REACTION_TIMEOUT: Duration = Duration::from_secs(15);

fn mix(default_seed: u64) -> Mix {
    Mix {
        journaled: false,
        ..Mix::keyed(seed(default_seed))
    }
}

/// Starts a deployment. Its standbys may have just been assigned and not have been notified yet.
async fn start(default_seed: u64) -> Scenario {
    Scenario::start(Layout::default(), mix(default_seed)).await
}

fn outage(availability: Availability) -> Faults {
    Faults {
        list: availability,
        ..Faults::store(availability)
    }
}

/// Guards against keys that become unserved or move while the store is down, and against long leases
/// that remain after the outage: a target lost after the store returns is replaced as usual.
#[test_case(Availability::Refuse, 51; "store refuses")]
#[test_case(Availability::Hang, 52; "store hangs")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keys_are_served_through_an_outage(availability: Availability, default_seed: u64) {
    let mut scenario = start(default_seed).await;
    let before = scenario.cluster.assignments();
    let start_us = boottime_us();
    scenario.cluster.platform.set_faults(outage(availability));
    scenario.run_for(OUTAGE).await;
    let during = scenario.histories().longest_gap(start_us);
    assert!(during.ms() < UNSERVED_MS, "unserved for {} ms", during.ms());
    scenario.cluster.platform.set_faults(Faults::default());
    scenario.run_for(Duration::from_secs(2)).await;
    assert_eq!(scenario.cluster.assignments(), before, "nothing moved");
    let lost_us = boottime_us();
    let lost = scenario.cluster.targets_of(KEYED)[0];
    scenario.cluster.targets[lost].child.kill();
    scenario.wait_until_served(REACTION_TIMEOUT).await;
    let unserved = scenario.histories().longest_gap(lost_us).ms();
    assert!(
        unserved < 2_000,
        "unserved for {unserved} ms after the outage"
    );
    scenario.finish().await;
}

/// Guards against two owners when the controller is lost during an outage: its successor does not
/// know which long leases are still valid and must not move a key before they end or are replaced.
#[test_case(false; "controller killed")]
#[test_case(true; "controller suspended and resumed")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn controller_lost_during_an_outage(suspended: bool) {
    let mut scenario = start(53).await;
    let controller = scenario
        .cluster
        .controller()
        .expect("there is a controller");
    scenario
        .cluster
        .platform
        .set_faults(outage(Availability::Refuse));
    scenario.run_for(Duration::from_secs(3)).await;
    let lost_us = boottime_us();
    let address = scenario.cluster.daemons[controller].caller_addr();
    if suspended {
        scenario.cluster.daemons[controller].suspend();
    } else {
        scenario.cluster.daemons[controller].kill();
    }
    let mut others = scenario.cluster.caller_addrs();
    others.retain(|entry| *entry != address);
    scenario.load.set_daemons(others);
    scenario.run_for(Duration::from_secs(4)).await;
    let during = scenario.histories().longest_gap(lost_us);
    assert!(during.ms() < 1_000, "unserved for {} ms", during.ms());
    scenario.cluster.platform.set_faults(Faults::default());
    let succeeded = || scenario.cluster.controller() != Some(controller);
    wait_until("another daemon takes over", REACTION_TIMEOUT, succeeded).await;
    scenario.wait_until_served(REACTION_TIMEOUT).await;
    if suspended {
        scenario.cluster.daemons[controller].resume();
    }
    scenario.wait_until_served(REACTION_TIMEOUT).await;
    scenario.finish().await;
}

/// Guards against a daemon that waits for the store to read configuration and owners, which it can
/// get from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_started_in_an_outage_syncs_from_peers() {
    let mut scenario = start(54).await;
    let controller = scenario
        .cluster
        .controller()
        .expect("there is a controller");
    let restarted = (controller + 1) % 3;
    // The VM list stays available: without it a new daemon finds no peers.
    let faults = Faults::store(Availability::Refuse);
    scenario.cluster.platform.set_faults(faults);
    scenario.run_for(Duration::from_secs(2)).await;
    scenario.cluster.daemons[restarted].kill();
    scenario.cluster.daemons[restarted]
        .spawn()
        .expect("the daemon starts");
    scenario.wait_until_daemon_ready(restarted).await;
    let call = Call::new(Method::POST, KEYED, "k1").with_idempotency_key("in-an-outage");
    let journaled = scenario.send(restarted, &call).await;
    assert!(
        matches!(journaled.result, CallResult::NotRun(..)),
        "{journaled:?}"
    );
    scenario.cluster.platform.set_faults(Faults::default());
    scenario.finish().await;
}
