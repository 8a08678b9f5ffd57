//! Tests of the load tool: schedule, response checks, bounds and unserved time. They guard against
//! wrong or irreproducible figures.

use bytes::Bytes;
use clap::Parser;
use fireflygauge::partition::Partition;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use standins::load::{
    arrivals::{Arrival, Route, Schedule},
    keys::Keys,
    options::Options,
    outage::Outages,
    response::{Expected, Received, RequestResult, classify},
    run::run,
};
use std::{
    convert::Infallible,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use test_case::test_case;

fn options(args: &str) -> Options {
    let options = Options::parse_from(["fireflygauge-load"].into_iter().chain(args.split(' ')));
    options.check().expect("the options are valid");
    options
}

fn schedule(args: &str) -> Vec<Arrival> {
    Schedule::new(&options(args), 0, 0).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn echo(token: &str) -> Bytes {
    format!(r#"{{"token":"{token}","body":"","padding":""}}"#).into()
}

/// Starts a server that responds to each request with the delay and body that `respond` returns for
/// its number and token.
fn serve(respond: fn(u64, &str) -> (Duration, Bytes)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    listener
        .set_nonblocking(true)
        .expect("sockets can be non-blocking");
    let count = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be built");
        runtime.block_on(accept(listener, count, respond));
    });
    addr
}

async fn accept(
    listener: TcpListener,
    count: Arc<AtomicU64>,
    respond: fn(u64, &str) -> (Duration, Bytes),
) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime takes sockets");
    while let Ok((stream, _)) = listener.accept().await {
        let count = Arc::clone(&count);
        let service = service_fn(move |req: Request<Incoming>| {
            let number = count.fetch_add(1, Ordering::Relaxed);
            let query = req.uri().query().unwrap_or_default();
            let token = query.strip_prefix("token=").unwrap_or_default();
            let (delay, body) = respond(number, token);
            async move {
                tokio::time::sleep(delay).await;
                Ok::<_, Infallible>(Response::new(Full::new(body)))
            }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Guards against counting a response to another request as answered because its status is 200.
#[test]
fn response_to_another_request_is_wrong() {
    let addr = serve(|number, token| {
        let echoed = if number % 2 == 0 { token } else { "another" };
        (Duration::ZERO, echo(echoed))
    });
    let args = format!(
        "--direct records={addr} --only records --non-idempotent 0 --rate 200 --duration-s 0.5"
    );
    let steps = run(&options(&args)).expect("the run starts");
    let report = steps[0].report();
    let line = &report.services[0];
    assert_eq!(line.sent, line.answered + line.wrong);
    assert!(line.wrong.abs_diff(line.answered) <= 1, "{line:?}");
}

/// Guards against coordinated omission: a stall must appear in the latencies and must not reduce the
/// number of requests sent.
#[test]
fn stall_raises_latency_without_reducing_load() {
    let addr = serve(|number, token| {
        let delay = if number < 40 { ms(300) } else { Duration::ZERO };
        (delay, echo(token))
    });
    let args = format!(
        "--direct records={addr} --only records --non-idempotent 0 --rate 200 --duration-s 1 --seed 7"
    );
    let due = schedule(&args).len() as u64;
    let report = run(&options(&args)).expect("the run starts")[0].report();
    assert_eq!(report.services[0].sent, due, "seed 7");
    assert!(
        report.services[0].p99_ms >= 300.0,
        "{:?}",
        report.services[0]
    );
}

/// Guards against a run that never ends because the target does not respond.
#[test]
fn unresponsive_target_is_bounded_by_the_deadline() {
    let addr = serve(|_, _| (ms(60_000), Bytes::new()));
    let args = format!(
        "--direct records={addr} --only records --non-idempotent 0 --rate 100 --duration-s 0.2 --timeout-ms 50 \
         --max-in-flight 5"
    );
    let report = run(&options(&args.replace("  ", " "))).expect("the run starts")[0].report();
    let line = &report.services[0];
    assert_eq!(line.lost, 5, "{line:?}");
    assert!(line.unsent > 0, "{line:?}");
}

/// Guards against figures that cannot be reproduced from the seed.
#[test]
fn same_seed_gives_the_same_schedule() {
    let args = "--direct records=127.0.0.1:1 --rate 1000 --duration-s 1";
    let of = |seed| format!("{:?}", schedule(&format!("{args} --seed {seed}")));
    assert_eq!(of(3), of(3));
    assert_ne!(of(3), of(4));
}

/// Guards against a step that exceeds its duration or request limit.
#[test_case("--duration-s 1", 1_000_000, 850..1150; "by time")]
#[test_case("--duration-s 100 --max-requests 50", 50, 50..51; "by count")]
fn step_is_bounded(bounds: &str, most: usize, expected: std::ops::Range<usize>) {
    let sent = schedule(&format!(
        "--direct records=127.0.0.1:1 --rate 1000 {bounds}"
    ));
    assert!(sent.len() <= most);
    assert!(
        expected.contains(&sent.len()),
        "{} arrivals with seed 1",
        sent.len()
    );
}

/// Guards against a load whose hot keys never change, which any placement policy can balance.
#[test]
fn hot_keys_change_with_time() {
    let keys = Keys::new(10_000, 1.0, 60_000);
    let hottest = |at_ms| -> Vec<u64> { (0..67).map(|r| keys.key_of_rank(r, at_ms)).collect() };
    assert_eq!(hottest(0), hottest(59_999));
    assert!(hottest(60_000).iter().all(|key| !hottest(0).contains(key)));
}

fn refusal(status: u16, header: &str, outcome: &str, contact: &str) -> Received {
    let mut headers = HeaderMap::new();
    let header = header.parse().expect("the outcome is a header value");
    headers.insert("x-fireflygauge-outcome", header);
    headers.insert(
        "x-fireflygauge-reference",
        "r1".parse().expect("a header value"),
    );
    let body = format!(
        r#"{{"outcome":"{outcome}","reference":"r1","code":"c","reason":"Why.","contact":"{contact}"}}"#
    );
    Received {
        status: StatusCode::from_u16(status).expect("a status code"),
        headers,
        body: body.into(),
    }
}

/// Guards against counting a refusal that breaks guarantee 9 as a valid one.
#[test_case(503, "not-run", "not-run", "desk", RequestResult::NotRun; "not run")]
#[test_case(404, "not-run", "not-run", "desk", RequestResult::NotRun; "malformed request")]
#[test_case(504, "unknown", "unknown", "desk", RequestResult::Unknown; "unknown")]
#[test_case(504, "not-run", "not-run", "desk", RequestResult::Wrong; "status contradicts")]
#[test_case(503, "not-run", "unknown", "desk", RequestResult::Wrong; "body contradicts")]
#[test_case(503, "not-run", "not-run", "", RequestResult::Wrong; "no contact")]
#[test_case(503, "answered", "not-run", "desk", RequestResult::Wrong; "refusal marked as answered")]
fn refusals_are_checked_against_the_contract(
    status: u16,
    header: &str,
    outcome: &str,
    contact: &str,
    expected: RequestResult,
) {
    let received = refusal(status, header, outcome, contact);
    assert_eq!(
        classify(Route::Routed, &expected_response(), &received),
        expected
    );
}

fn expected_response() -> Expected {
    Expected {
        token: "t1".into(),
        body: "b".into(),
        answer_bytes: 2,
    }
}

/// Guards against accepting a response that is truncated or belongs to another request.
#[test_case(r#"{"token":"t1","body":"b","padding":"xx"}"#, RequestResult::Answered; "complete response to this request")]
#[test_case(r#"{"token":"t2","body":"b","padding":"xx"}"#, RequestResult::Wrong; "of another request")]
#[test_case(r#"{"token":"t1","body":"c","padding":"xx"}"#, RequestResult::Wrong; "to another body")]
#[test_case(r#"{"token":"t1","body":"b","padding":"x"}"#, RequestResult::Wrong; "short padding")]
#[test_case(r#"{"token":"t1","body":"b","padding":"#, RequestResult::Wrong; "truncated")]
fn responses_are_complete_and_match_the_request(body: &'static str, expected: RequestResult) {
    let received = Received {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: body.into(),
    };
    assert_eq!(
        classify(Route::Direct, &expected_response(), &received),
        expected
    );
}

/// Guards against a gap that ends too early, with the response to a request scheduled before the
/// refused one.
#[test]
fn gap_ends_with_a_response_to_a_later_request() {
    let mut outages = Outages::default();
    let service_partition = (0, Partition(3));
    outages.observe(service_partition, false, ms(100), ms(110));
    outages.observe(service_partition, true, ms(90), ms(400));
    outages.observe(service_partition, false, ms(600), ms(610));
    outages.observe(service_partition, true, ms(1_000), ms(1_100));
    let unserved = outages.unserved(ms(5_000));
    assert_eq!((unserved.gaps, unserved.longest_s), (1, 1.0));
}
