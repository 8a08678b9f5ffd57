//! A caller gets the complete response to its own request or a truthful refusal.

use futures_util::future::join_all;
use http::{Method, StatusCode};
use standins::{
    caller::{Attempt, Call, CallResult},
    cluster::{KEYED, Layout, UNKEYED, wait_until},
    platform::{Availability, Faults},
    proxy::{Flow, LinkFaults},
    scenario::{Scenario, seed},
    target::{Control, EchoFault},
    workload::Mix,
};
use std::time::Duration;
use test_case::test_case;

const REACTION: Duration = Duration::from_secs(15);

async fn control_all(scenario: &Scenario, control: &Control) {
    for target in &scenario.cluster.targets {
        target.set_control(control).await;
    }
}

/// Asks daemon 0 for several keys, one after the other.
async fn send_for_keys(scenario: &Scenario, call: &Call, count: usize) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    for key in 0..count {
        let call = Call {
            key: format!("k{key}").into(),
            ..call.clone()
        };
        attempts.push(scenario.send(0, &call).await);
    }
    attempts
}

fn is_not_run(attempt: &Attempt) -> bool {
    matches!(attempt.result, CallResult::NotRun(..))
}

fn is_unknown(attempt: &Attempt) -> bool {
    matches!(attempt.result, CallResult::Unknown(..))
}

fn sent(bytes: u64) -> LinkFaults {
    LinkFaults {
        cut_after_sent: Some(bytes),
        ..LinkFaults::default()
    }
}

fn received(bytes: u64) -> LinkFaults {
    LinkFaults {
        cut_after_received: Some(bytes),
        ..LinkFaults::default()
    }
}

/// Guards against a truncated response forwarded as complete, and against a refusal as not-run of a
/// request that may have run: the connection is cut at some byte.
#[test_case(sent(0), 0; "before the request")]
#[test_case(sent(60), 0; "within the head of the request")]
// The first request on a connection passes as a whole, the second one in part.
#[test_case(sent(700), 5; "within the second request")]
#[test_case(received(0), 0; "before the answer")]
#[test_case(received(40), 0; "within the head of the answer")]
#[test_case(received(700), 0; "within the body of the answer")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connection_cut(faults: LinkFaults, posts_answered: usize) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    for service in [KEYED, UNKEYED] {
        for method in [Method::GET, Method::POST] {
            let mut call = Call::new(method.clone(), service, "k").with_timeout_ms(400);
            call.answer_bytes = 2_000;
            scenario.cluster.set_target_faults(faults);
            let cut = send_for_keys(&scenario, &call, 6).await;
            scenario.cluster.set_target_faults(LinkFaults::default());
            let answered = cut.iter().filter(|a| a.is_answered()).count();
            // A read may be sent again, on a new connection, if a whole one fits within the limit.
            let most = match method {
                Method::GET if posts_answered > 0 => 6,
                _ => posts_answered,
            };
            assert!(answered <= most, "{method}: {cut:?}");
        }
    }
    scenario.cluster.set_target_faults(LinkFaults::default());
    scenario.finish().await;
}

/// Guards against answers to the wrong request after time-outs: answers arrive after their
/// request was given up, on connections that are used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_answers_reach_nobody_else() {
    let mix = Mix {
        timeout_ms: 60,
        work_ms: 120,
        ..Mix::keyed(seed(31))
    };
    let scenario = Scenario::start(Layout::default(), mix).await;
    for flow in [Flow::ToUpstream, Flow::Pass, Flow::Stall, Flow::Pass] {
        scenario.cluster.set_target_faults(LinkFaults::flow(flow));
        scenario.run_for(Duration::from_millis(400)).await;
    }
    let histories = scenario.finish().await;
    assert!(histories.outcomes().contains_key("unknown"));
}

/// Guards against an answer with another request's id passed on to the caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_with_a_wrong_request_id_is_refused() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let control = Control {
        echo: EchoFault::WrongId,
        ..Control::default()
    };
    control_all(&scenario, &control).await;
    let attempts = send_for_keys(&scenario, &Call::new(Method::POST, KEYED, "k"), 6).await;
    assert!(attempts.iter().all(is_unknown), "{attempts:?}");
    control_all(&scenario, &Control::default()).await;
    scenario.finish().await;
}

/// Guards against a caller that left whose exchange is not cancelled, or disturbs the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_of_a_caller_that_left_is_cancelled() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let long = Call::new(Method::POST, KEYED, "k1")
        .with_work_ms(20_000)
        .with_timeout_ms(25_000);
    let short = Duration::from_millis(300);
    let left = tokio::time::timeout(short, scenario.send(0, &long)).await;
    assert!(left.is_err(), "the request takes longer");
    let cancelled = || {
        let executions = scenario.cluster.executions();
        executions.iter().any(|e| !e.effect && &*e.key == "k1")
    };
    wait_until("the target sees the caller leave", REACTION, cancelled).await;
    let next = send_for_keys(&scenario, &Call::new(Method::POST, KEYED, "k"), 6).await;
    assert!(next.iter().all(Attempt::is_answered), "{next:?}");
    scenario.finish().await;
}

/// Guards against a refusal that claims too much or too little: the target proves that it did not
/// run the request, so it is not-run, and it has no effect.
#[test_case(Control { shed: true, ..Control::default() }; "shed")]
#[test_case(Control { refuse_draining: true, ..Control::default() }; "draining")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_by_the_target(control: Control) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    control_all(&scenario, &control).await;
    for service in [KEYED, UNKEYED] {
        let call = Call::new(Method::POST, service, "k").with_timeout_ms(300);
        let attempts = send_for_keys(&scenario, &call, 6).await;
        assert!(attempts.iter().all(is_not_run), "{attempts:?}");
    }
    control_all(&scenario, &Control::default()).await;
    scenario.finish().await;
}

/// Guards against proved refusals that are reported as unknown: the link to the target is slow, and
/// the last attempt is not answered before the deadline.
#[test_case(25; "25 ms each way")]
#[test_case(40; "40 ms each way")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_over_a_slow_link(delay_ms: u64) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let shed = Control {
        shed: true,
        ..Control::default()
    };
    control_all(&scenario, &shed).await;
    scenario.cluster.set_target_faults(LinkFaults {
        delay_ms,
        ..LinkFaults::default()
    });
    for service in [KEYED, UNKEYED] {
        let call = Call::new(Method::POST, service, "k").with_timeout_ms(600);
        let attempts = send_for_keys(&scenario, &call, 6).await;
        assert!(attempts.iter().all(is_not_run), "{attempts:?}");
    }
    scenario.cluster.set_target_faults(LinkFaults::default());
    scenario.finish().await;
}

/// Guards against a request that waits beyond its deadline and runs nevertheless.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadline_passes_in_the_queue() {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let long = Call::new(Method::POST, KEYED, "k1")
        .with_work_ms(600)
        .with_timeout_ms(2_000);
    let short = Call::new(Method::POST, KEYED, "k1").with_timeout_ms(150);
    let calls: Vec<&Call> = (0..30)
        .map(|i| if i < 10 { &long } else { &short })
        .collect();
    let attempts = join_all(calls.into_iter().map(|call| scenario.send(0, call))).await;
    let refused = attempts.iter().filter(|a| is_not_run(a)).count();
    assert!(refused > 0, "{attempts:?}");
    scenario.finish().await;
}

/// Guards against requests that need the journal being sent without it, and against others being
/// refused because of it.
#[test_case(Availability::Refuse; "store refuses")]
#[test_case(Availability::Hang; "store hangs")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn journal_unavailable(availability: Availability) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let faults = Faults::store(availability);
    scenario.cluster.platform.set_faults(faults);
    let plain = Call::new(Method::POST, KEYED, "k1");
    let journaled = scenario
        .send(0, &plain.clone().with_idempotency_key("store-down"))
        .await;
    assert!(is_not_run(&journaled), "{journaled:?}");
    assert!(scenario.send(0, &plain).await.is_answered());
    scenario.cluster.platform.set_faults(Faults::default());
    let again = scenario
        .send(0, &plain.with_idempotency_key("store-down"))
        .await;
    assert!(again.is_answered(), "{again:?}");
    scenario.finish().await;
}

/// Guards against refusals that leave even the smallest caller without outcome and contact; the
/// caller takes every answer apart, and what lacks them counts as malformed.
#[test_case(Call::new(Method::GET, "nothing", "k"), StatusCode::NOT_FOUND; "unknown service")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_request(call: Call, expected: StatusCode) {
    let scenario = Scenario::start_idle(Layout::default()).await;
    let attempt = scenario.send(0, &call).await;
    assert!(matches!(attempt.result, CallResult::NotRun(status, _) if status == expected));
    scenario.finish().await;
}
