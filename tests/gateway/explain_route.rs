//! Guards against an explanation of where a request would go that differs from what the request path
//! does, or that changes what it explains.

mod states;

use crate::{
    daemon::{Daemon, daemon_with},
    fake_endpoint::Behavior,
};
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        backend::Backend,
        claim::Claim,
        cost::RequestClass,
        forward::{
            acquire::{Decision, Step},
            admission::{self, Arrival, NotAdmitted, Unassigned},
            rejection::Rejected,
        },
        reply::RejectionReason,
        status::{
            Throttle,
            explain_route::{
                ExplainContext, MAX_ENDPOINTS, equal_sample, explain_route,
                query::RouteQuery,
                report::{RequestOutcome, RouteExplanation},
            },
        },
        stop::{Stop, StopSchedule},
        view::View,
        wait_queue::{Ticket, WaitQueue},
    },
    world::ServiceName,
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde_json::Value;
use states::{START, configuration, disturb, entry, random_builder, random_query, share};
use std::{
    collections::BTreeMap,
    process::Command,
    sync::{Arc, Mutex},
};
use test_case::test_case;

const SEEDS: u64 = 3_000;

/// The decision of the request path, in the terms of the report.
fn taken(cx: ExplainContext<'_>, query: &RouteQuery) -> RequestOutcome {
    let reject = |service: Option<&ServiceName>, reason: RejectionReason, deadline: Millis| {
        let rejected = Rejected {
            view: cx.view,
            service,
            key: query.key,
            left: deadline.since(cx.now),
            stated_left: query.time_limit,
            claim: Claim::Take,
            now: cx.now,
        };
        let window = rejected.return_window(reason);
        RequestOutcome::Reject {
            reason: reason.to_string().into(),
            status: reason.status().as_u16(),
            retry_after_ms: window.map(|window| [window.start().0, window.end().0]),
        }
    };
    let arrival = Arrival {
        host: Some(&query.host),
        path: &query.path,
        time_limit: query.time_limit,
        at: cx.now,
    };
    let admitted = match admission::admit(cx.view, arrival, cx.stop) {
        Ok(admitted) => admitted,
        Err(NotAdmitted { reason, deadline }) => return reject(None, reason, deadline),
    };
    let deadline = admitted.deadline;
    if query.body_bytes as u64 > cx.view.limits.max_body_bytes {
        return reject(None, RejectionReason::BodyTooLarge, deadline);
    }
    let class = RequestClass::new("r", "/r/", &query.method, &query.path, query.body_bytes);
    let assigned = admission::assign(cx.view, admitted, &class, query.key, cx.now, Claim::Take);
    let request = match assigned {
        Ok(request) => request,
        Err(Unassigned { service, reason }) => return reject(service.as_ref(), reason, deadline),
    };
    let decision = Decision {
        view: cx.view,
        stop: cx.stop,
        daemons: cx.daemons,
        claim: Claim::Take,
        sample: cx.sample,
        now: cx.now,
    };
    let mut queue_deadline = request.queue_deadline;
    match decision.step(&request, &mut None, &mut queue_deadline) {
        Step::Send(backend) => RequestOutcome::Send {
            endpoint: Arc::clone(&backend.entry.instance.name),
        },
        Step::Wait { reason, .. } => RequestOutcome::Queue {
            reason: reason.to_string().into(),
            at_most_ms: queue_deadline.since(cx.now).0,
        },
        Step::Reject(reason) => reject(Some(&request.service), reason, deadline),
    }
}

/// Exponential samples that are the same for each use of a seed.
fn samples(seed: u64) -> impl Fn() -> f64 + Sync {
    let rng = Mutex::new(StdRng::seed_from_u64(seed));
    move || {
        let mut rng = rng.lock().expect("no panic while locked");
        -rng.random_range(f64::MIN_POSITIVE..1.0).ln()
    }
}

fn check_consistency(explanation: &RouteExplanation, seed: u64) {
    let total: f64 = explanation.endpoints.iter().map(|e| e.probability).sum();
    assert!(total < 1.0 + 1e-9, "seed {seed}: {explanation:?}");
    if let RequestOutcome::Send { endpoint } = &explanation.outcome {
        let mut listed = explanation.endpoints.iter();
        let chosen = listed.find(|e| e.endpoint == *endpoint);
        let probability = chosen.expect("the endpoint is listed").probability;
        assert!(probability > 0.0, "seed {seed}: {explanation:?}");
        assert!((total - 1.0).abs() < 1e-9, "seed {seed}: {explanation:?}");
    }
}

/// Guards against an explanation that names another outcome than the request path, and against one that
/// takes a slot, a permit, a turn, a place in a queue or in a split, or changes anything else.
#[test]
fn explanations_agree_with_the_request_path_and_change_nothing() {
    let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..SEEDS {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut builder = random_builder(rng);
        let view = builder.build(START);
        let backends: Vec<Arc<Backend>> = view
            .services
            .values()
            .flat_map(|service| &service.members)
            .map(|member| Arc::clone(&member.backend))
            .collect();
        let mut now = START;
        for _ in 0..rng.random_range(0..30) {
            now = now + Millis(rng.random_range(0..100));
            if let Some(backend) = backends.choose(rng) {
                disturb(rng, backend, now);
            }
        }
        let view = builder.build(now);
        let queues: Vec<Arc<WaitQueue>> = backends.iter().map(|b| Arc::clone(&b.queue)).collect();
        let waiting: Vec<(&WaitQueue, Ticket)> = queues
            .iter()
            .filter(|_| rng.random_bool(0.15))
            .map(|queue| (&**queue, queue.issue_ticket(1, Some(5))))
            .collect();
        let _waiters: Vec<_> = waiting
            .iter()
            .map(|(queue, ticket)| queue.enqueue(*ticket, 1.0))
            .collect();
        now = now + Millis(rng.random_range(0..300));
        let schedule = StopSchedule::new(now, Millis(1_000));
        let stop = rng.random_bool(0.05).then(|| Stop::new(schedule));
        let query = random_query(rng);
        let (for_explanation, for_request) = (samples(seed), samples(seed));
        let cx = ExplainContext {
            view: &view,
            stop,
            daemons: rng.random_range(1..100),
            sample: &for_explanation,
            now: now + Millis(rng.random_range(0..900)),
        };
        let before = format!("{view:?}");
        let explanation = explain_route(cx, &query);
        let most_probable = explain_route(
            ExplainContext {
                sample: &equal_sample,
                ..cx
            },
            &query,
        );
        assert_eq!(before, format!("{view:?}"), "seed {seed}");
        let outcome = taken(
            ExplainContext {
                sample: &for_request,
                ..cx
            },
            &query,
        );
        assert_eq!(explanation.outcome, outcome, "seed {seed}: {query:?}");
        check_consistency(&most_probable, seed);
        *outcomes.entry(kind_of(&outcome)).or_default() += 1;
    }
    println!("{outcomes:?}");
    let expected = [
        "send",
        "queue busy",
        "queue limited",
        "queue no-owner",
        "busy",
        "paused",
        "no-owner",
        "no-endpoint",
        "late",
        "limited",
        "stopping",
        "bad-key",
        "no-route",
        "not-configured",
        "body-too-large",
    ];
    for kind in expected {
        assert!(
            outcomes.contains_key(kind),
            "no state with {kind}: {outcomes:?}"
        );
    }
}

fn kind_of(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Send { .. } => "send".into(),
        RequestOutcome::Queue { reason, .. } => format!("queue {reason}"),
        RequestOutcome::Reject { reason, .. } => reason.to_string(),
    }
}

/// Guards against a probability that is not how often the request path chooses the endpoint.
#[test]
fn probabilities_are_those_of_the_choice() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut builder = random_builder(&mut rng);
    let mut config = configuration(&mut rng);
    config.version = 2;
    config.routes[0].shares = vec![share("any", 1.0)];
    builder.set_config(config);
    for number in 0..6 {
        let mut entry = entry(&mut rng, number * 2);
        (entry.draining, entry.remaining_warmup) = (false, Millis::ZERO);
        builder.register(entry, START, START);
    }
    let view = builder.build(START);
    let sample = samples(7);
    let cx = ExplainContext {
        view: &view,
        stop: None,
        daemons: 40,
        sample: &sample,
        now: START,
    };
    let query = RouteQuery::parse("host=h&path=/r/1").expect("a valid query");
    let explained = explain_route(cx, &query);
    let mut chosen: Map<Arc<str>, f64> = Map::default();
    let runs = 4_000;
    for _ in 0..runs {
        if let RequestOutcome::Send { endpoint } = explain_route(cx, &query).outcome {
            *chosen.entry(endpoint).or_default() += 1.0 / f64::from(runs);
        }
    }
    assert!(chosen.len() > 1, "{explained:?}");
    for state in &explained.endpoints {
        let frequency = chosen.get(&state.endpoint).copied().unwrap_or(0.0);
        let difference = (frequency - state.probability).abs();
        assert!(difference < 0.04, "{} {frequency}", state.probability);
    }
}

/// Guards against a response of unbounded size, and one that hides that it is cut.
#[test]
fn endpoints_beyond_the_bound_are_counted() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut builder = random_builder(&mut rng);
    let mut config = configuration(&mut rng);
    config.version = 2;
    config.routes[0].shares = vec![share("any", 1.0)];
    builder.set_config(config);
    for number in 0..300 {
        let entry = entry(&mut rng, number * 2);
        builder.register(entry, START, START);
    }
    let view: View = builder.build(START);
    let cx = ExplainContext {
        view: &view,
        stop: None,
        daemons: 3,
        sample: &equal_sample,
        now: START,
    };
    let query = RouteQuery::parse("host=h&path=/r/1").expect("a valid query");
    let explained = explain_route(cx, &query);
    let omitted: usize = explained.endpoints_omitted.values().sum();
    let members = view.services[&"any".into()].members.len();
    assert_eq!(explained.endpoints.len(), MAX_ENDPOINTS);
    assert_eq!(omitted + MAX_ENDPOINTS, members);
}

/// Guards against a question that is answered although it was misread.
#[test_case("path=/x", "the parameter host is missing"; "no host")]
#[test_case("host=h", "the parameter path is missing"; "no path")]
#[test_case("host=h&path=x", "x is not a valid path"; "relative path")]
#[test_case("host=h&path=/x&key=70000", "70000 is not a valid key"; "large key")]
#[test_case("host=h&path=/x&deadline_ms=-1", "-1 is not a valid deadline_ms"; "negative")]
#[test_case("host=h&path=/x&size=1", "there is no parameter size"; "unknown")]
#[test_case("host=%ff&path=/x", "%ff is not a valid host"; "not UTF-8")]
fn a_malformed_question_is_refused(query: &str, reason: &str) {
    let error = RouteQuery::parse(query).expect_err("it is malformed");
    assert_eq!(error.to_string(), reason);
}

/// Guards against a path that is matched with its query or its escapes.
#[test]
fn a_path_is_unescaped_and_has_no_query() {
    let query = RouteQuery::parse("host=h&path=%2Fr%2F1%3Fx%3D2&key=7").expect("a valid query");
    assert_eq!((&*query.path, query.key), ("/r/1", Some(7)));
}

/// Guards against explanations that take the time of the request thread.
#[test]
fn explanations_are_limited() {
    let throttle = Throttle::default();
    let admitted = |now| (0..100).filter(|_| throttle.admit(Millis(now))).count();
    assert_eq!(
        (admitted(5_000), admitted(5_999), admitted(6_000)),
        (10, 0, 10)
    );
}

fn tool(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fireflygauge"))
        .args(["explain-route", "--host", "h"])
        .args(args)
        .env_remove("FIREFLYGAUGE_SERVER")
        .output()
        .expect("the tool runs");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.code(), text)
}

/// Guards against a tool that does not reach the status address, that hides a daemon of the list that
/// does not answer, or whose JSON scripts cannot read.
#[tokio::test(flavor = "multi_thread")]
async fn the_tool_explains_a_route() {
    let (daemon, _endpoints) = daemon_with(&[Behavior::Ok]).await;
    let servers = format!("127.0.0.1:1,{}", daemon.status);
    let list = ["--server", &servers, "--path", "/safe/1"];
    let (code, text) = tool(&list);
    let answer = format!("{}: sent to e0 at once (probability 1.00)\n", daemon.status);
    assert_eq!(code, Some(0));
    assert!(text.starts_with(&answer), "{text}");
    let (code, text) = tool(&[&list[..], &["--all", "--json", "--deadline-ms", "300"]].concat());
    let answers: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(code, Some(0));
    assert!(answers[0]["error"].is_string(), "{answers}");
    assert_eq!(answers[1]["explanation"]["time_limit_ms"], 300);
    let unknown_parameter = ["--server", &servers, "--path", "/safe/1", "--key", "x"];
    assert_eq!(tool(&unknown_parameter).0, Some(1));
}

async fn get(daemon: &Daemon, query: &str) -> (u16, Value) {
    let path = format!("/explain-route?{query}");
    let response = daemon.get(daemon.status, &path).await.expect("a response");
    let body = serde_json::from_slice(response.body()).expect("JSON");
    (response.status().as_u16(), body)
}

/// Guards against a status address that does not explain, or that sends the request.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_address_explains_a_route() {
    let (daemon, endpoints) = daemon_with(&[Behavior::Ok]).await;
    let (status, explanation) = get(&daemon, "host=h&path=/safe/1").await;
    assert_eq!(status, 200);
    let expected = serde_json::json!({ "decision": "send", "endpoint": "e0" });
    assert_eq!(explanation["outcome"], expected);
    assert_eq!(explanation["endpoints"][0]["probability"], 1.0);
    assert!(
        explanation["data"]["endpoints_ms"].is_u64(),
        "{explanation}"
    );
    assert_eq!(endpoints[0].runs(), 0);
    assert_eq!(daemon.send("/safe/1").await.status(), 200);
    let (status, refused) = get(&daemon, "host=h").await;
    assert_eq!(
        (status, &refused["error"]),
        (400, &"the parameter path is missing".into())
    );
    let (_, explanation) = get(&daemon, "host=h&path=/nowhere").await;
    assert_eq!(explanation["outcome"]["reason"], "no-route");
    let mut statuses = Vec::new();
    for _ in 0..40 {
        statuses.push(get(&daemon, "host=h&path=/safe/1").await.0);
    }
    assert!(statuses.contains(&429), "{statuses:?}");
}
