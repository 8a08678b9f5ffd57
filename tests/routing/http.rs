//! The server for callers: invalid input, refusals and graceful shutdown.

use crate::{
    daemon::{Daemon, LIMIT, exchange, request, until},
    fake_target::{FakeTarget, Reply},
};
use fireflygauge::{
    entry::http::ShutdownOutcome,
    routing::{explain, outcome::OutcomeKind},
};
use http::request::Builder;
use std::time::Duration;
use test_case::test_case;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

fn long(length: usize) -> String {
    "x".repeat(length)
}

/// Guards against invalid input that is forwarded, disturbs other requests or gets no specific
/// refusal.
#[test_case(|| request("POST", "/rounds/"), 400, "bad-key"; "empty_key")]
#[test_case(|| request("POST", "/rounds/%ff"), 400, "bad-key"; "key_not_text")]
#[test_case(|| request("POST", &format!("/rounds/{}", long(513))), 400, "bad-key"; "long_key")]
#[test_case(|| request("POST", "/rounds"), 400, "bad-path"; "no_rest")]
#[test_case(|| request("POST", "/rounds/k/%zz"), 400, "bad-path"; "bad_escape")]
#[test_case(|| request("POST", "/rounds/../fireflygauge/grants"), 400, "bad-path"; "dots")]
#[test_case(|| request("POST", "/rounds/%2E%2e/x"), 400, "bad-path"; "escaped_dots")]
#[test_case(|| request("POST", "/rounds/k%0d%0a"), 400, "bad-path"; "control_characters")]
#[test_case(|| request("POST", "/fireflygauge/grants"), 404, "unknown-service"; "control_path")]
#[test_case(|| request("TRACE", "/rounds/k"), 405, "bad-method"; "method")]
#[test_case(|| request("GET", "/rounds/k").header("x-timeout-ms", "soon"), 400, "bad-header"; "timeout")]
#[test_case(|| request("GET", "/rounds/k").header("x-timeout-ms", "0"), 400, "bad-header"; "no_time")]
#[test_case(|| request("GET", "/rounds/k").header("x-caller", long(300)), 400, "bad-header"; "caller")]
#[test_case(|| request("POST", "/rounds/k").header("idempotency-key", ""), 400, "bad-header"; "key")]
#[test_case(
    || request("POST", "/rounds/k").header("idempotency-key", "a").header("idempotency-key", "b"),
    400, "bad-header"; "two_keys"
)]
#[test_case(|| request("GET", "/rounds/k").header("big", long(20_000)), 431, "headers-too-large"; "header")]
#[tokio::test]
async fn bad_input_is_refused(req: fn() -> Builder, status: u16, code: &str) {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let daemon = Daemon::start(&[target.addr], &[target.addr], None).await;
    let response = daemon.call(req(), "").await;
    assert_eq!(
        (response.status.as_u16(), &*response.code()),
        (status, code)
    );
    assert_eq!(response.outcome(), OutcomeKind::NotRun);
    assert!(target.received().is_empty());
    let good = daemon.call(request("POST", "/rounds/k"), "").await;
    assert_eq!(good.outcome(), OutcomeKind::Answered);
}

/// Guards against buffering a body that is larger than the limit.
#[tokio::test]
async fn large_body_is_refused() {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let response = daemon
        .call(request("POST", "/rounds/k"), &long(1024 * 1024 + 1))
        .await;
    assert_eq!(
        (response.status.as_u16(), &*response.code()),
        (413, "body-too-large")
    );
    assert!(target.received().is_empty());
}

/// Guards against buffering request bodies beyond the daemon's memory limit.
#[tokio::test]
async fn bodies_share_a_memory_limit() {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let mut unfinished = Vec::new();
    // A body that arrives while the call of the loop holds a byte may be refused, so the loop keeps
    // opening connections until the limit is reached.
    let refused = async {
        while daemon.call(request("POST", "/rounds/k"), "x").await.code() != "overloaded" {
            let mut stream = TcpStream::connect(daemon.addr).await.expect("a connection");
            let head = b"POST /rounds/k HTTP/1.1\r\nhost: x\r\nx-timeout-ms: 30000\r\n\
                         content-length: 1048576\r\n\r\n";
            stream.write_all(head).await.expect("sent");
            unfinished.push(stream);
        }
    };
    timeout(LIMIT, refused).await.expect("the limit is reached");
    assert!(unfinished.len() >= 64);
    let empty = daemon.call(request("GET", "/rounds/k"), "").await;
    assert_eq!(empty.outcome(), OutcomeKind::Answered);
    drop(unfinished);
    let accepted = async {
        while daemon.call(request("POST", "/rounds/k"), "x").await.code() == "overloaded" {}
    };
    timeout(LIMIT, accepted)
        .await
        .expect("the memory is free again");
}

/// Guards against a refusal without an operator contact, or whose reference operators cannot look
/// up.
#[tokio::test]
async fn refusal_has_a_contact_and_a_reference() {
    let daemon = Daemon::start(&[], &[], None).await;
    let response = daemon
        .call(
            request("POST", "/records/x").header("x-caller", "till-3"),
            "",
        )
        .await;
    assert_eq!(response.status.as_u16(), 503);
    let refusal = response.refusal();
    assert_eq!(&*refusal.contact, "the desk, +41 31 555 01 00");
    assert_eq!(
        response.headers["x-fireflygauge-reference"],
        *refusal.reference
    );
    let explanation = explain(&refusal.reference).expect("a reference");
    assert_eq!(explanation.daemon.0.as_ref(), "entry-1");
    let reference = refusal.reference.parse().expect("a reference");
    let record = daemon
        .recent
        .find(&reference)
        .expect("the refusal is recorded");
    assert_eq!(&*record.caller, "till-3");
    let counters = daemon.metrics.counters();
    assert_eq!(counters.outcomes["records/not-run"].requests, 1);
}

/// Guards against refusing a request for a key without an owner although it gets one in time.
#[tokio::test]
async fn request_waits_for_an_owner() {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    daemon.assign(2, "not-listed");
    until(|| daemon.directory.snapshot().load().services[&"rounds".into()].owners[0].is_none())
        .await;
    let assigned = async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        daemon.assign(3, "rounds-0");
    };
    let (response, ()) = tokio::join!(daemon.call(request("POST", "/rounds/k"), ""), assigned);
    assert_eq!(response.outcome(), OutcomeKind::Answered);
    daemon.assign(4, "not-listed");
    until(|| daemon.directory.snapshot().load().services[&"rounds".into()].owners[0].is_none())
        .await;
    let req = request("POST", "/rounds/k").header("x-timeout-ms", "100");
    assert_eq!(daemon.call(req, "").await.code(), "no-owner");
}

/// Guards against a shutdown that aborts requests in flight or leaves connections open.
#[tokio::test]
async fn shutdown_completes_requests_in_flight() {
    let target = FakeTarget::start(|_| Reply::Late(Duration::from_millis(400), "late")).await;
    let mut daemon = Daemon::start(&[target.addr], &[], None).await;
    let addr = daemon.addr;
    let calls: Vec<_> = (0..4)
        .map(|i| {
            let path = format!("/rounds/k{i}");
            tokio::spawn(async move { exchange(addr, request("POST", &path), "").await })
        })
        .collect();
    until(|| !target.received().is_empty()).await;
    daemon.begin_stop();
    for call in calls {
        let response = timeout(LIMIT, call)
            .await
            .expect("in time")
            .expect("no panic");
        assert_eq!(response.outcome(), OutcomeKind::Answered, "{response:?}");
        assert_eq!(response.headers["connection"], "close");
    }
    assert_eq!(daemon.stopped().await, ShutdownOutcome::Complete);
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "the listener is closed"
    );
}

/// Guards against a shutdown that aborts a request on a connection that was idle when it began.
#[tokio::test]
async fn idle_connection_gets_one_more_response_at_shutdown() {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let mut daemon = Daemon::start(&[target.addr], &[], None).await;
    let mut stream = TcpStream::connect(daemon.addr).await.expect("a connection");
    let head = b"POST /rounds/k HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head).await.expect("sent");
    let mut buf = vec![0; 4096];
    assert!(stream.read(&mut buf).await.expect("a response") > 0);
    daemon.begin_stop();
    until(|| std::net::TcpStream::connect(daemon.addr).is_err()).await;
    stream.write_all(head).await.expect("sent");
    let mut rest = String::new();
    let read = timeout(LIMIT, stream.read_to_string(&mut rest)).await;
    read.expect("in time").expect("a closed connection");
    assert!(
        rest.starts_with("HTTP/1.1 200") && rest.contains("connection: close"),
        "{rest}"
    );
    assert_eq!(daemon.stopped().await, ShutdownOutcome::Complete);
}
