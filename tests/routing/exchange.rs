//! Compares the outcomes reported to callers with what a misbehaving target received.

use crate::{
    daemon::{Daemon, request, until},
    fake_target::{Accept, FakeTarget, Reply},
};
use fireflygauge::routing::outcome::OutcomeKind::{self, Answered, NotRun, Unknown};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};
use test_case::test_case;
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Guards against a wrong outcome, and against retrying a non-idempotent request that may have run.
#[test_case(Reply::Ok("yes"), Answered, "answered"; "complete")]
#[test_case(Reply::OtherId, Unknown, "answer-mismatch"; "response_to_another_request")]
#[test_case(Reply::NoId, Unknown, "answer-mismatch"; "response_without_id")]
#[test_case(Reply::Truncated(10, "part"), Unknown, "answer-truncated"; "truncated_length")]
#[test_case(Reply::TruncatedChunks, Unknown, "answer-truncated"; "truncated_chunks")]
#[test_case(Reply::WithoutLength, Unknown, "answer-truncated"; "end_not_verifiable")]
#[test_case(Reply::Close, Unknown, "connection-lost"; "closed_after_request")]
#[test_case(Reply::Large(1024 * 1024 + 1), Unknown, "answer-too-large"; "too_large")]
#[test_case(Reply::Late(Duration::from_secs(5), "late"), Unknown, "timeout"; "late")]
#[test_case(Reply::Sends("HTTP/1.1 000 None\r\nx-request-id: ID\r\ncontent-length: 0\r\n\r\n"), Unknown, "connection-lost"; "status_000")]
#[test_case(Reply::Sends("HTTP/1.1 600 None\r\nx-request-id: ID\r\ncontent-length: 0\r\n\r\n"), Unknown, "answer-malformed"; "status_600")]
#[test_case(Reply::Sends("HTTP/1.1 101 Other\r\nx-request-id: ID\r\ncontent-length: 0\r\n\r\n"), Unknown, "answer-malformed"; "unasked_upgrade")]
#[test_case(Reply::NotRun(503, "deadline"), NotRun, "target-deadline"; "deadline")]
#[test_case(Reply::NotRun(200, "shed"), Answered, "answered"; "status_contradicts_not_run")]
#[test_case(Reply::NotRun(503, "nonsense"), Answered, "answered"; "unknown_not_run_reason")]
#[tokio::test]
async fn non_idempotent_request_is_sent_once(reply: Reply, outcome: OutcomeKind, code: &str) {
    let target = FakeTarget::start(move |_| reply.clone()).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let req = request("POST", "/rounds/k1/settle").header("x-timeout-ms", "400");
    let response = daemon.call(req, "body").await;
    assert_eq!((response.outcome(), &*response.code()), (outcome, code));
    assert_eq!(target.received().len(), 1);
}

/// Guards against failing an idempotent request that can be retried.
#[test_case(Reply::OtherId; "response_to_another_request")]
#[test_case(Reply::Truncated(10, "part"); "truncated")]
#[test_case(Reply::Close; "closed")]
#[tokio::test]
async fn idempotent_request_is_retried_on_another_connection(first: Reply) {
    let script = move |n| {
        if n == 0 {
            first.clone()
        } else {
            Reply::Ok("second")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let response = daemon.call(request("GET", "/rounds/k1"), "").await;
    assert_eq!(&*response.body, b"second");
    let received = target.received();
    assert_eq!(received.len(), 2);
    assert_ne!(received[0].connection, received[1].connection);
    let ids: Vec<_> = received.iter().map(|r| r.header("x-request-id")).collect();
    assert_ne!(
        ids[0], ids[1],
        "a late response must not match the second attempt"
    );
}

/// Guards against reporting not-run after an earlier attempt of the same request may have run.
#[tokio::test]
async fn not_run_proof_does_not_cover_earlier_attempts() {
    let script = |n| {
        if n == 0 {
            Reply::Close
        } else {
            Reply::NotRun(503, "deadline")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let response = daemon.call(request("GET", "/rounds/k1"), "").await;
    assert_eq!(target.received().len(), 2);
    assert_eq!(
        (response.outcome(), &*response.code()),
        (Unknown, "connection-lost")
    );
}

/// Guards against refusing a request that can be retried because it was proved not to have run.
#[test_case(503, "shed"; "shed")]
#[test_case(503, "cold"; "cold")]
#[test_case(421, "not-owner"; "not_owner")]
#[tokio::test]
async fn proved_not_run_is_retried(status: u16, reason: &'static str) {
    let script = move |n| {
        if n == 0 {
            Reply::NotRun(status, reason)
        } else {
            Reply::Ok("ran")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let response = daemon.call(request("POST", "/rounds/k1"), "body").await;
    assert_eq!(&*response.body, b"ran");
    assert_eq!(target.received().len(), 2);
}

/// Guards against retrying a request at the previous owner until its deadline.
#[tokio::test]
async fn not_owner_follows_a_newer_table() {
    let former = FakeTarget::start(|_| Reply::NotRun(421, "not-owner")).await;
    let owner = FakeTarget::start(|_| Reply::Ok("owner")).await;
    let daemon = Daemon::start(&[former.addr, owner.addr], &[], None).await;
    let moved = async {
        until(|| !former.received().is_empty()).await;
        daemon.assign(2, "rounds-1");
    };
    let (response, ()) = tokio::join!(daemon.call(request("POST", "/rounds/k1"), ""), moved);
    assert_eq!(&*response.body, b"owner");
    let received = owner.received();
    assert_eq!(received[0].header("x-ownership-epoch"), Some("2"));
}

/// Guards against delivering a surplus response on a connection to the next request.
#[tokio::test]
async fn surplus_response_never_reaches_the_next_request() {
    let script = |n| {
        if n == 0 {
            Reply::Twice
        } else {
            Reply::Ok("own")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let first = daemon.call(request("GET", "/rounds/k1"), "").await;
    assert_eq!(&*first.body, b"first");
    let second = daemon.call(request("GET", "/rounds/k1"), "").await;
    assert_eq!(&*second.body, b"own");
}

/// Guards against delivering a late response to a later request after a timeout.
#[tokio::test]
async fn late_response_never_reaches_the_next_request() {
    let script = |n| match n {
        0 => Reply::Late(Duration::from_millis(300), "late"),
        _ => Reply::Ok("own"),
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let req = || request("GET", "/rounds/k1");
    let first = daemon.call(req().header("x-timeout-ms", "100"), "").await;
    assert_eq!(first.code(), "timeout");
    for _ in 0..20 {
        assert_eq!(&*daemon.call(req(), "").await.body, b"own");
    }
    until(|| target.received().len() == 21).await;
}

/// Guards against exchanges that continue after their caller has disconnected.
#[tokio::test]
async fn disconnected_caller_cancels_its_exchange() {
    let target = FakeTarget::start(|_| Reply::Late(Duration::from_millis(200), "late")).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    let mut stream = TcpStream::connect(daemon.addr).await.expect("a connection");
    let head = b"POST /rounds/k1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(head).await.expect("sent");
    until(|| target.received().len() == 1).await;
    drop(stream);
    until(|| target.closed() == 1).await;
}

/// Guards against reporting that a request may have run when nothing was sent.
#[tokio::test]
async fn unreachable_target_is_not_run() {
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = unused.local_addr().expect("an address");
    drop(unused);
    let daemon = Daemon::start(&[addr], &[], None).await;
    let response = daemon.call(request("POST", "/rounds/k1"), "body").await;
    assert_eq!(
        (response.outcome(), &*response.code()),
        (NotRun, "connect-failed")
    );
}

/// Guards against connections that are not reused, and against headers of the daemon that are
/// missing or taken from the caller.
#[tokio::test]
async fn connection_is_reused() {
    let target = FakeTarget::start(|_| Reply::Ok("yes")).await;
    let daemon = Daemon::start(&[target.addr], &[], None).await;
    for _ in 0..5 {
        let req = request("POST", "/rounds/k1/x?y=1").header("x-partition", "99");
        assert_eq!(daemon.call(req, "body").await.outcome(), Answered);
    }
    let received = target.received();
    assert!(
        received
            .iter()
            .all(|r| r.connection == received[0].connection)
    );
    assert!(
        received[0]
            .head
            .starts_with("post /rounds/k1/x?y=1 http/1.1")
    );
    assert_eq!(received[0].body, "body");
    assert_ne!(received[0].header("x-partition"), Some("99"));
    assert!(received[0].header("x-deadline-ms").is_some());
}

const SEED: u64 = 42;

/// A pseudo-random number below `sides` that depends only on the seed and the step.
fn draw(step: usize, sides: usize) -> usize {
    StdRng::seed_from_u64(SEED ^ (step as u64).wrapping_mul(0x9e37_79b9)).random_range(0..sides)
}

fn unreliable(step: usize) -> Reply {
    match draw(step, 16) {
        0 => Reply::Close,
        1 => Reply::EchoThenClose,
        2 => Reply::Truncated(100, "part"),
        3 => Reply::OtherId,
        4 => Reply::NotRun(503, "shed"),
        5 => Reply::NotRun(421, "not-owner"),
        6 => Reply::Late(Duration::from_millis(300), "late"),
        7 => Reply::Twice,
        _ => Reply::Echo,
    }
}

fn proves_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::NotRun(..))
}

/// Guards against any wrong outcome: connections and responses fail at random before, during and
/// after requests, and the reported outcomes are compared with what the target received.
#[tokio::test]
async fn reported_outcomes_match_received_requests() {
    println!("seed={SEED}");
    let accept = |n: usize| match draw(n + 1_000_000, 6) {
        0 => Accept::CloseAtOnce,
        1 => Accept::CloseDuring,
        _ => Accept::Serve,
    };
    let target = FakeTarget::start_with(accept, unreliable).await;
    let daemon = Arc::new(Daemon::start(&[target.addr], &[], None).await);
    let mut outcome_counts = [0; 3];
    for batch in (0..300).step_by(50) {
        let calls: Vec<_> = (batch..batch + 50)
            .map(|i| {
                let daemon = Arc::clone(&daemon);
                tokio::spawn(async move {
                    let path = format!("/rounds/k{i}");
                    let req = request("POST", &path).header("x-timeout-ms", "800");
                    (
                        path,
                        daemon
                            .call(req, &"x".repeat(1 + draw(i, 3) * 100_000))
                            .await,
                    )
                })
            })
            .collect();
        for call in calls {
            let (path, response) = call.await.expect("no panic");
            let received = target.received();
            let runs: Vec<usize> = (0..received.len())
                .filter(|&n| received[n].path() == path && !proves_not_run(&unreliable(n)))
                .collect();
            assert!(runs.len() <= 1, "{path} ran {} times", runs.len());
            outcome_counts[response.outcome() as usize] += 1;
            match response.outcome() {
                NotRun => assert!(runs.is_empty(), "{path} ran, but {}", response.code()),
                Answered => {
                    let body = match unreliable(runs[0]) {
                        Reply::Twice => "first",
                        Reply::Late(_, body) => body,
                        _ => path.as_str(),
                    };
                    assert_eq!(&*response.body, body.as_bytes(), "{path}");
                }
                Unknown => {}
            }
        }
    }
    println!("answered, not-run, unknown: {outcome_counts:?}");
    assert!(
        outcome_counts.iter().all(|&count| count > 0),
        "{outcome_counts:?}"
    );
}
