//! An acknowledged assignment survives the loss of controllers, of all daemons, and of answers of
//! the store.

use standins::{
    cluster::{InitialDeclaration, KEYED, Layout, wait_until},
    platform::Faults,
    scenario::{Scenario, seed},
    workload::Mix,
};
use std::time::Duration;
use test_case::test_case;

/// Time for a takeover or a move while a fault is present.
const REACTION: Duration = Duration::from_secs(15);

/// A deployment whose partitions fill several assignment rows.
async fn start(default_seed: u64) -> Scenario {
    let layout = Layout {
        declared: Some(InitialDeclaration::with("partitions = 700", "")),
        ..Layout::default()
    };
    Scenario::start(layout, Mix::keyed(seed(default_seed))).await
}

fn written(scenario: &Scenario) -> usize {
    let rows = scenario
        .cluster
        .platform
        .revisions(&format!("assign/{KEYED}/"));
    rows.len()
}

/// Lets the platform announce that a target will stop; returns its index.
fn announce_stop(scenario: &Scenario) -> usize {
    let leaving = scenario.cluster.targets_of(KEYED)[0];
    let vm = scenario.cluster.targets[leaving].leaving_vm();
    scenario.cluster.platform.register(vm);
    leaving
}

/// Waits until the assignment rows name `target` no more.
async fn emptied(scenario: &Scenario, target: usize) {
    let name = scenario.cluster.targets[target].name();
    let empty = || !scenario.cluster.owners().contains(name);
    wait_until("the target owns nothing", REACTION, empty).await;
}

/// Guards against a move that is lost or half done when the controller is killed at some step.
#[test_case(0, 21; "before the first write")]
#[test_case(1, 22; "after the first write")]
#[test_case(2, 23; "after the second write")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn controller_killed_during_moves(writes: usize, seed: u64) {
    let mut scenario = start(seed).await;
    let before = written(&scenario);
    let leaving = announce_stop(&scenario);
    let reached = || written(&scenario) >= before + writes;
    wait_until("the moves have begun", REACTION, reached).await;
    let controller = scenario
        .cluster
        .controller()
        .expect("there is a controller");
    scenario.cluster.daemons[controller].kill();
    scenario.load.set_daemons(scenario.cluster.caller_addrs());
    emptied(&scenario, leaving).await;
    scenario.wait_until_served(REACTION).await;
    scenario.cluster.daemons[controller]
        .spawn()
        .expect("the daemon starts");
    scenario.load.set_daemons(scenario.cluster.caller_addrs());
    let histories = scenario.finish().await;
    assert!(histories.moves() > 0, "keys moved");
}

/// Guards against assignments that only daemons remember: all are killed and restarted at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_daemons_restarted_at_once() {
    let mut scenario = start(24).await;
    let before = scenario.cluster.assignments();
    for daemon in &mut scenario.cluster.daemons {
        daemon.kill();
    }
    for daemon in &mut scenario.cluster.daemons {
        daemon.spawn().expect("the daemon starts");
    }
    scenario.wait_until_served(REACTION).await;
    assert_eq!(scenario.cluster.assignments(), before);
    let histories = scenario.finish().await;
    assert_eq!(histories.moves(), 0, "no key moved");
}

fn lost_answers(prefix: &str) -> Faults {
    Faults {
        lose_answers: 4,
        lose_prefix: prefix.into(),
        ..Faults::default()
    }
}

fn late_answers() -> Faults {
    Faults {
        answer_delay_ms: 600,
        ..Faults::default()
    }
}

fn slow() -> Faults {
    Faults {
        delay_ms: 150,
        ..Faults::default()
    }
}

fn stale() -> Faults {
    Faults {
        stale_ms: 1_500,
        list_lag_ms: 3_000,
        ..Faults::default()
    }
}

/// Guards against a controller that assumes the outcome of a write whose answer was lost or late,
/// or that trusts a stale read, while it moves partitions.
#[test_case(lost_answers("assign/"), 25; "answers to moves lost")]
#[test_case(lost_answers("group/"), 26; "answers to renewals lost")]
#[test_case(late_answers(), 27; "answers late")]
#[test_case(slow(), 28; "store slow")]
#[test_case(stale(), 29; "reads stale")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn moves_with_a_faulty_store(faults: Faults, seed: u64) {
    let scenario = start(seed).await;
    scenario.cluster.platform.set_faults(faults);
    let leaving = announce_stop(&scenario);
    // Long enough for takeovers, if the fault causes any.
    scenario.run_for(Duration::from_secs(5)).await;
    scenario.cluster.platform.set_faults(Faults::default());
    emptied(&scenario, leaving).await;
    let histories = scenario.finish().await;
    assert!(histories.moves() > 0, "keys moved");
}
