//! An accepted configuration is in force everywhere within seconds and never reverts. Callers tell
//! which preset is in force by the contact that refusals name.

use fireflygauge::{
    config::{Change, ChangeOutcome, ChangeRequest},
    operator::client::OperatorClient,
};
use http::Method;
use standins::{
    caller::{Call, CallResult},
    cluster::{Layout, wait_for},
    platform::{Availability, Faults},
    scenario::Scenario,
};
use std::{sync::Arc, time::Duration};
use test_case::test_case;

const ORDINARY: &str = "test desk, +41 31 555 01 00";
const PEAK: &str = "test desk, +41 31 555 01 01";
/// Time for a change to be in force everywhere (`docs/design.md`, target size).
const EVERYWHERE: Duration = Duration::from_secs(11);

fn use_preset(preset: &str, by: &str, seen_version: u64) -> ChangeRequest {
    ChangeRequest {
        seen_version,
        by: by.into(),
        reason: None,
        change: Change::UsePreset {
            preset: preset.into(),
        },
    }
}

async fn change(scenario: &Scenario, daemon: usize, request: &ChangeRequest) -> ChangeOutcome {
    let server = scenario.cluster.daemons[daemon].operator_addr();
    let outcome = OperatorClient::new(vec![server]).change(request).await;
    outcome.expect("the daemon answers")
}

fn is_committed(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Committed { head } if head.version == 2)
}

/// The contact that a daemon's refusal names; `None` if it gives no complete refusal.
async fn contact(scenario: &Scenario, daemon: usize) -> Option<Arc<str>> {
    let call = Call::new(Method::GET, "nothing", "k");
    match scenario.send(daemon, &call).await.result {
        CallResult::NotRun(_, refusal) => Some(refusal.contact),
        _ => None,
    }
}

/// Waits until a daemon's callers see `expected`, and then that they see nothing else.
async fn settles_on(scenario: &Scenario, daemon: usize, expected: &str) {
    wait_for("the change is in force", EVERYWHERE, || async {
        contact(scenario, daemon)
            .await
            .filter(|seen| **seen == *expected)
    })
    .await;
    for _ in 0..200 {
        assert_eq!(contact(scenario, daemon).await.as_deref(), Some(expected));
    }
}

async fn settles_everywhere(scenario: &Scenario, expected: &str) {
    for daemon in 0..scenario.cluster.daemons.len() {
        settles_on(scenario, daemon, expected).await;
    }
}

/// Guards against a lost update: two operators who saw the same version change it at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn two_operators_race() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let requests = ["Anna", "Karim"].map(|by| use_preset("peak", by, 1));
    let (first, second) = tokio::join!(
        change(&scenario, 0, &requests[0]),
        change(&scenario, 1, &requests[1])
    );
    let committed = [&first, &second]
        .into_iter()
        .filter(|o| is_committed(o))
        .count();
    let conflicts = [&first, &second].into_iter().filter(
        |o| matches!(o, ChangeOutcome::Conflict { seen_version: 1, since, .. } if since.len() == 1),
    );
    assert_eq!(
        (committed, conflicts.count()),
        (1, 1),
        "{first:?} {second:?}"
    );
    settles_everywhere(&scenario, PEAK).await;
    scenario.finish().await;
}

/// Guards against an acknowledged change that only the daemon knew which acknowledged it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn accepting_daemon_killed_after_its_acknowledgement() {
    let mut scenario = Scenario::start_idle(Layout::default()).await;
    let outcome = change(&scenario, 2, &use_preset("peak", "Anna", 1)).await;
    scenario.cluster.daemons[2].kill();
    assert!(is_committed(&outcome), "{outcome:?}");
    for daemon in [0, 1] {
        settles_on(&scenario, daemon, PEAK).await;
    }
    scenario.cluster.daemons[2]
        .spawn()
        .expect("the daemon starts");
    settles_on(&scenario, 2, PEAK).await;
    scenario.finish().await;
}

/// Guards against a daemon that keeps or spreads an old version after it was suspended.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_frozen_over_a_change() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    scenario.cluster.daemons[1].suspend();
    let outcome = change(&scenario, 0, &use_preset("peak", "Anna", 1)).await;
    assert!(is_committed(&outcome), "{outcome:?}");
    settles_on(&scenario, 2, PEAK).await;
    scenario.cluster.daemons[1].resume();
    settles_everywhere(&scenario, PEAK).await;
    scenario.finish().await;
}

/// Guards against a daemon that starts in an outage of the store with no or an old configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_started_in_an_outage_after_a_change() {
    let mut scenario = Scenario::start_idle(Layout::default()).await;
    let outcome = change(&scenario, 0, &use_preset("peak", "Anna", 1)).await;
    assert!(is_committed(&outcome), "{outcome:?}");
    settles_everywhere(&scenario, PEAK).await;
    let faults = Faults::store(Availability::Refuse);
    scenario.cluster.platform.set_faults(faults);
    scenario.cluster.daemons[1].kill();
    scenario.cluster.daemons[1]
        .spawn()
        .expect("the daemon starts");
    settles_on(&scenario, 1, PEAK).await;
    scenario.cluster.platform.set_faults(Faults::default());
    settles_everywhere(&scenario, PEAK).await;
    scenario.finish().await;
}

/// Guards against a change that is acknowledged without being written, or written without being
/// acknowledged as such.
#[test_case(Availability::Refuse; "store refuses")]
#[test_case(Availability::Hang; "store hangs")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_in_an_outage_is_refused(availability: Availability) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let faults = Faults::store(availability);
    scenario.cluster.platform.set_faults(faults);
    let outcome = change(&scenario, 0, &use_preset("peak", "Anna", 1)).await;
    assert!(!is_committed(&outcome), "{outcome:?}");
    scenario.cluster.platform.set_faults(Faults::default());
    settles_everywhere(&scenario, ORDINARY).await;
    scenario.finish().await;
}

/// Guards against a change whose answer from the store was lost being reported as refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_with_a_lost_answer_is_settled() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let faults = Faults {
        lose_answers: 1,
        lose_prefix: "config/".into(),
        ..Faults::default()
    };
    scenario.cluster.platform.set_faults(faults);
    let outcome = change(&scenario, 0, &use_preset("peak", "Anna", 1)).await;
    assert!(is_committed(&outcome), "{outcome:?}");
    settles_everywhere(&scenario, PEAK).await;
    scenario.finish().await;
}
