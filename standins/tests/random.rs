//! Guards against failures under combinations of faults: injects random pairs of faults in several
//! rounds. `FIREFLYGAUGE_TEST_SEED` reproduces the choice of faults; their timing differs from run to
//! run.

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use standins::{
    cluster::Layout,
    platform::{Availability, Faults},
    proxy::{Flow, LinkFaults},
    scenario::{Scenario, seed},
    workload::Mix,
};
use std::time::Duration;
use test_case::test_case;

/// Number of fault pairs in one run.
const ROUNDS: usize = 4;
/// Time limit for all keys to be served again after a pair of faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum Fault {
    TargetSuspended,
    TargetRestarted,
    TargetLink(LinkFaults),
    DaemonSuspended,
    DaemonRestarted,
    DaemonStoreLink(Flow),
    StoreDown(Availability),
    StoreSlow,
    StoreResponsesLost,
    StaleReads,
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let link = |flow| Fault::TargetLink(LinkFaults::flow(flow));
    let all = [
        Fault::TargetSuspended,
        Fault::TargetRestarted,
        link(Flow::Cut),
        link(Flow::Stall),
        link(Flow::ToUpstream),
        Fault::TargetLink(LinkFaults {
            delay_ms: 150,
            replay_after_ms: Some(1_300),
            ..LinkFaults::default()
        }),
        Fault::DaemonSuspended,
        Fault::DaemonRestarted,
        Fault::DaemonStoreLink(Flow::Stall),
        Fault::DaemonStoreLink(Flow::ToUpstream),
        Fault::StoreDown(Availability::Refuse),
        Fault::StoreDown(Availability::Hang),
        Fault::StoreSlow,
        Fault::StoreResponsesLost,
        Fault::StaleReads,
    ];
    *all.choose(rng).expect("there are faults")
}

fn store_faults(fault: Fault) -> Option<Faults> {
    let none = Faults::default();
    match fault {
        Fault::StoreDown(availability) => Some(Faults::store(availability)),
        Fault::StoreSlow => Some(Faults {
            delay_ms: 200,
            ..none
        }),
        Fault::StoreResponsesLost => Some(Faults {
            lose_answers: 8,
            ..none
        }),
        Fault::StaleReads => Some(Faults {
            stale_ms: 1_000,
            list_lag_ms: 2_000,
            ..none
        }),
        _ => None,
    }
}

async fn inject(scenario: &mut Scenario, fault: Fault, index: usize) {
    let cluster = &mut scenario.cluster;
    let daemon = index % cluster.daemons.len();
    let target = index % cluster.targets.len();
    match fault {
        Fault::TargetSuspended => cluster.targets[target].child.suspend(),
        Fault::TargetRestarted => cluster.targets[target].restart().await.expect("it starts"),
        Fault::TargetLink(faults) => cluster.targets[target].link.set(faults),
        Fault::DaemonSuspended => cluster.daemons[daemon].suspend(),
        Fault::DaemonRestarted => {
            cluster.daemons[daemon].kill();
            cluster.daemons[daemon].spawn().expect("it starts");
        }
        Fault::DaemonStoreLink(flow) => cluster.daemons[daemon].store_link.set_flow(flow),
        store => cluster
            .platform
            .set_faults(store_faults(store).unwrap_or_default()),
    }
}

fn clear_faults(scenario: &Scenario) {
    scenario.cluster.platform.set_faults(Faults::default());
    scenario.cluster.set_target_faults(LinkFaults::default());
    for target in &scenario.cluster.targets {
        target.child.resume();
    }
    for daemon in &scenario.cluster.daemons {
        daemon.store_link.set_flow(Flow::Pass);
        daemon.resume();
    }
}

/// Guards against violations under fault combinations that no other test covers.
#[test_case(71)]
#[test_case(72)]
#[test_case(73)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_faults_at_a_time(default_seed: u64) {
    let seed = seed(default_seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut scenario = Scenario::start(Layout::default(), Mix::keyed(seed)).await;
    for round in 0..ROUNDS {
        for _ in 0..2 {
            let (fault, index) = (random_fault(&mut rng), rng.random_range(0..6));
            println!("seed {seed}, round {round}: {fault:?} of {index}");
            inject(&mut scenario, fault, index).await;
            scenario
                .run_for(Duration::from_millis(rng.random_range(50..900)))
                .await;
        }
        scenario
            .run_for(Duration::from_millis(rng.random_range(300..2_500)))
            .await;
        clear_faults(&scenario);
        scenario.wait_until_served(RECOVERY_TIMEOUT).await;
    }
    scenario.finish().await;
}
