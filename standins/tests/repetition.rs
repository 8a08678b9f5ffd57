//! A request under an idempotency key runs at most once, however it is repeated.

use futures_util::future::join_all;
use http::Method;
use standins::{
    caller::{Attempt, Call, CallResult},
    cluster::{KEYED, Layout, UNKEYED, wait_until},
    proxy::LinkFaults,
    scenario::Scenario,
};
use std::{sync::Arc, time::Duration};
use test_case::test_case;

const REACTION: Duration = Duration::from_secs(15);

fn token(attempt: &Attempt) -> Option<Arc<str>> {
    match &attempt.result {
        CallResult::Answered(_, answer) => Some(Arc::clone(&answer.token)),
        _ => None,
    }
}

fn once(service: &str, name: &str) -> Call {
    Call::new(Method::POST, service, "k1")
        .with_idempotency_key(name)
        .with_timeout_ms(1_500)
}

/// Guards against two daemons that both send a request: it is repeated at once everywhere.
#[test_case(KEYED; "by key")]
#[test_case(UNKEYED; "any target")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_at_once_through_all_daemons(service: &str) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let call = once(service, "at-once").with_work_ms(30);
    let attempts = join_all((0..12).map(|i| scenario.send(i % 3, &call))).await;
    let first = attempts.iter().find_map(token).expect("one is answered");
    assert!(attempts.iter().filter_map(token).all(|t| t == first));
    let histories = scenario.finish().await;
    let effects = histories
        .executions
        .iter()
        .filter(|e| e.effect && e.idempotency_key.is_some());
    assert_eq!(effects.count(), 1);
}

/// Guards against a record that only one daemon or one owner knows: the request is repeated later,
/// through another daemon, and after its key has moved.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_later_elsewhere_and_after_a_move() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let call = once(KEYED, "later");
    let first = scenario.send(0, &call).await;
    let owner = scenario
        .cluster
        .executions()
        .into_iter()
        .find(|e| *e.token == *first.token);
    let owner = owner.expect("it ran").target;
    for daemon in [0, 1, 2] {
        assert_eq!(token(&scenario.send(daemon, &call).await), token(&first));
    }
    let moved = scenario.cluster.targets.iter().find(|t| *t.name() == owner);
    scenario
        .cluster
        .platform
        .register(moved.expect("a target").leaving_vm());
    let empty = || !scenario.cluster.owners().contains(&owner);
    wait_until("the key has moved", REACTION, empty).await;
    assert_eq!(token(&scenario.send(1, &call).await), token(&first));
    scenario.finish().await;
}

/// Guards against running a request again whose answer was lost on the way to the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_after_a_lost_answer() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let lost = LinkFaults {
        cut_after_received: Some(0),
        ..LinkFaults::default()
    };
    let call = once(KEYED, "lost-answer");
    scenario.cluster.set_target_faults(lost);
    let first = scenario.send(0, &call).await;
    assert!(matches!(first.result, CallResult::Unknown(..)), "{first:?}");
    scenario.cluster.set_target_faults(LinkFaults::default());
    for daemon in [1, 0, 2] {
        let again = scenario.send(daemon, &call).await;
        assert!(matches!(again.result, CallResult::Unknown(..)), "{again:?}");
    }
    scenario.finish().await;
}

/// Guards against running a request again whose daemon was killed while it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_after_its_daemon_was_killed() {
    let mut scenario = Scenario::start_idle(Layout::default()).await;
    let call = once(KEYED, "killed").with_work_ms(700);
    let caller = scenario.caller.clone();
    let addr = scenario.cluster.daemons[0].caller_addr();
    let running = tokio::spawn({
        let call = call.clone();
        async move { caller.send(addr, &call).await }
    });
    let platform = &scenario.cluster.platform;
    let journaled = || !platform.revisions("journal/").is_empty();
    wait_until("the request is in the journal", REACTION, journaled).await;
    scenario.cluster.daemons[0].kill();
    let first = running.await.expect("the caller does not panic");
    assert!(!first.is_answered(), "{first:?}");
    for daemon in [1, 2, 1] {
        scenario.send(daemon, &call).await;
    }
    scenario.finish().await;
}
