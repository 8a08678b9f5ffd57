//! A service whose targets do not check grants: one daemon holds the lease in place of each.

use standins::{
    cluster::{Cluster, InitialDeclaration, KEYED, Layout, UNKEYED, wait_for, wait_until},
    scenario::{Scenario, seed},
    workload::Mix,
};
use std::time::Duration;

/// Time for a takeover, another front and a move while a fault is present.
const REACTION: Duration = Duration::from_secs(15);

/// Deadline of requests that must not be cut off, in milliseconds: far above the time that a busy
/// machine may take for them.
const PATIENT_MS: u64 = 10_000;

async fn start(mix: Mix) -> Scenario {
    let unchecked = vec!["--checks-grants=false".to_owned()];
    let targets = [(KEYED, unchecked), (UNKEYED, Vec::new())];
    let layout = Layout {
        daemons: vec!["zone-a", "zone-b", "zone-c", "zone-c"],
        targets: targets
            .into_iter()
            .flat_map(|(service, flags)| {
                ["zone-a", "zone-b", "zone-c"].map(|zone| (service, zone, flags.clone()))
            })
            .collect(),
        declared: Some(InitialDeclaration::with(
            "partitions = 64\nchecks_grants = false",
            "",
        )),
    };
    Scenario::start(layout, mix).await
}

/// A daemon that is the front of some target and not the controller.
async fn front(cluster: &Cluster) -> usize {
    wait_for(
        "another daemon than the controller is a front",
        REACTION,
        || async {
            let row = cluster.controller_row()?;
            let is_front = |i: &usize| {
                let name = &cluster.daemons[*i].name;
                row.fronts.iter().any(|(_, link)| link.name == *name)
            };
            let mut fronts = (0..cluster.daemons.len()).filter(is_front);
            fronts.find(|i| Some(*i) != cluster.controller())
        },
    )
    .await
}

async fn replaced(scenario: &Scenario, old: usize) {
    let name = scenario.cluster.daemons[old].name.clone();
    let replaced = || {
        let row = scenario.cluster.controller_row();
        row.is_some_and(|row| row.fronts.iter().all(|(_, link)| link.name != name))
    };
    wait_until("other daemons are the fronts", REACTION, replaced).await;
}

fn without(scenario: &Scenario, daemon: usize) {
    let cluster = &scenario.cluster;
    let others = (0..cluster.daemons.len()).filter(|i| *i != daemon);
    let entries = others.map(|i| cluster.daemons[i].caller_addr());
    scenario.load.set_daemons(entries.collect());
}

/// Guards against a second front that sends while the first one, which is suspended and resumes with
/// requests in its queues, still may.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn front_frozen_past_its_lease_sends_nothing_when_it_returns() {
    let scenario = start(Mix::keyed(seed(71))).await;
    let frozen = front(&scenario.cluster).await;
    scenario.cluster.daemons[frozen].suspend();
    without(&scenario, frozen);
    replaced(&scenario, frozen).await;
    scenario.wait_until_served(REACTION).await;
    scenario.cluster.daemons[frozen].resume();
    scenario.load.set_daemons(scenario.cluster.caller_addrs());
    scenario.wait_until_served(REACTION).await;
    scenario.finish().await;
}

/// Guards against keys that stay unserved when their front daemon is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_front_is_replaced() {
    let mut scenario = start(Mix::keyed(seed(72))).await;
    let lost = front(&scenario.cluster).await;
    without(&scenario, lost);
    scenario.cluster.daemons[lost].kill();
    replaced(&scenario, lost).await;
    scenario.wait_until_served(REACTION).await;
    scenario.cluster.daemons[lost]
        .spawn()
        .expect("the daemon starts");
    scenario.finish().await;
}

/// Guards against a controller whose successor does not know which fronts hold leases.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn front_and_controller_are_lost_together() {
    let mut scenario = start(Mix::keyed(seed(73))).await;
    let (lost, controller) = (
        front(&scenario.cluster).await,
        scenario
            .cluster
            .controller()
            .expect("there is a controller"),
    );
    let entries = (0..scenario.cluster.daemons.len())
        .filter(|i| ![lost, controller].contains(i))
        .map(|i| scenario.cluster.daemons[i].caller_addr());
    scenario.load.set_daemons(entries.collect());
    scenario.cluster.daemons[lost].suspend();
    scenario.cluster.daemons[controller].kill();
    replaced(&scenario, lost).await;
    scenario.wait_until_served(REACTION).await;
    scenario.cluster.daemons[lost].resume();
    scenario.cluster.daemons[controller]
        .spawn()
        .expect("the daemon starts");
    scenario.finish().await;
}

/// Guards against a planned stop of a front daemon that leaves keys unserved until its leases end,
/// or cuts off requests that others have forwarded to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stopping_front_hands_its_targets_over() {
    let mix = Mix {
        timeout_ms: PATIENT_MS,
        ..Mix::keyed(seed(74))
    };
    let mut scenario = start(mix).await;
    let stopped = front(&scenario.cluster).await;
    without(&scenario, stopped);
    let child = scenario.cluster.daemons[stopped]
        .child
        .as_mut()
        .expect("the daemon runs");
    child.terminate();
    let status = child.ended(REACTION).await;
    assert!(status.success(), "the daemon ended with {status}");
    scenario.cluster.daemons[stopped].child = None;
    scenario.wait_until_served(REACTION).await;
    let histories = scenario.finish().await;
    let outcomes = histories.outcomes();
    for cut in ["unknown", "broken"] {
        assert!(
            !outcomes.contains_key(cut),
            "requests were cut off: {outcomes:?}"
        );
    }
}
