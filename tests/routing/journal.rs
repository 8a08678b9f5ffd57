//! Requests with idempotency keys, with a failing store and a failing target.

use crate::{
    daemon::{CallerResponse, Daemon, LIMIT, request, until},
    fake_store::{FakeStore, Fault},
    fake_target::{FakeTarget, Reply},
};
use fireflygauge::routing::{
    journal::row::{EXPIRY_MS, JournalRow, RowDecision, State, evaluate},
    outcome::OutcomeKind::{self, NotRun, Unknown},
};
use std::time::Duration;
use test_case::test_case;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::timeout};

async fn deposit(daemon: &Daemon, key: &str, body: &str) -> CallerResponse {
    let req = request("POST", "/rounds/k/deposit").header("idempotency-key", key);
    daemon.call(req.header("x-timeout-ms", "1000"), body).await
}

fn states(store: &FakeStore) -> Vec<State> {
    let rows = store.rows();
    rows.iter()
        .map(|row| JournalRow::parse(row).expect("a journal row").state)
        .collect()
}

/// Guards against running a request twice under the same key, and against losing its response.
#[tokio::test]
async fn duplicate_gets_the_recorded_response() {
    let store = FakeStore::start(|_| Fault::None).await;
    let target = FakeTarget::start(|_| Reply::Ok("receipt 1")).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    let first = deposit(&daemon, "a", "10").await;
    assert_eq!(&*first.body, b"receipt 1");
    until(|| matches!(states(&store)[0], State::Answered(_))).await;
    let second = deposit(&daemon, "a", "10").await;
    assert_eq!((second.status, &*second.body), (first.status, &*first.body));
    let other = deposit(&daemon, "a", "99").await;
    assert_eq!((other.status.as_u16(), &*other.code()), (422, "key-reused"));
    assert_eq!(target.received().len(), 1);
}

/// Guards against running duplicates that arrive concurrently more than once.
#[tokio::test]
async fn concurrent_duplicates_run_once() {
    let store = FakeStore::start(|_| Fault::None).await;
    let target = FakeTarget::start(|_| Reply::Late(Duration::from_millis(50), "receipt")).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    let same = || deposit(&daemon, "a", "10");
    let responses = tokio::join!(same(), same(), same(), same());
    assert_eq!(target.received().len(), 1);
    for response in [&responses.0, &responses.1, &responses.2, &responses.3] {
        assert_eq!(
            (response.outcome(), &*response.body),
            (OutcomeKind::Answered, &b"receipt"[..]),
            "a duplicate waits for the response to the first request"
        );
    }
}

/// Guards against a wrong outcome or a second run when the first request got no response.
#[test_case(Reply::Close, Unknown, "answer-pending", 1; "may_have_run_blocks_the_key")]
#[test_case(Reply::NotRun(503, "deadline"), NotRun, "answered", 2; "proved_not_run_frees_the_key")]
#[tokio::test]
async fn second_request_with_the_same_key(
    first: Reply,
    outcome: OutcomeKind,
    second: &str,
    runs: usize,
) {
    let store = FakeStore::start(|_| Fault::None).await;
    let script = move |n| {
        if n == 0 {
            first.clone()
        } else {
            Reply::Ok("receipt")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    assert_eq!(deposit(&daemon, "a", "10").await.outcome(), outcome);
    assert_eq!(deposit(&daemon, "a", "10").await.code(), second);
    assert_eq!(target.received().len(), runs);
}

/// Guards against reporting not-run while the key is still blocked, here because the first write
/// that frees it fails.
#[tokio::test]
async fn key_is_free_before_the_refusal() {
    let script = |n| {
        if n == 1 {
            Fault::Unavailable
        } else {
            Fault::None
        }
    };
    let store = FakeStore::start(script).await;
    let script = |n| {
        if n == 0 {
            Reply::NotRun(503, "deadline")
        } else {
            Reply::Ok("receipt")
        }
    };
    let target = FakeTarget::start(script).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    assert_eq!(deposit(&daemon, "a", "10").await.outcome(), NotRun);
    assert_eq!(deposit(&daemon, "a", "10").await.code(), "answered");
}

/// Guards against sending a request whose row is in doubt, and against refusing one whose row can be
/// resolved.
#[test_case(|_| Fault::Unavailable, "journal-unavailable", 0; "store_down")]
#[test_case(|n| if n == 0 { Fault::LostReply } else { Fault::None }, "answered", 1; "lost_reply")]
#[test_case(
    |n| if n == 0 { Fault::LateCommit(Duration::from_millis(100)) } else { Fault::None },
    "answered", 1; "late_commit"
)]
#[test_case(|_| Fault::LostReply, "journal-unavailable", 0; "all_replies_lost")]
#[tokio::test]
async fn insertion_with_faults(script: fn(usize) -> Fault, code: &str, runs: usize) {
    let store = FakeStore::start(script).await;
    let target = FakeTarget::start(|_| Reply::Ok("receipt")).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    let response = deposit(&daemon, "a", "10").await;
    assert_eq!((&*response.code(), target.received().len()), (code, runs));
    if runs == 0 {
        assert_eq!(response.outcome(), NotRun);
    }
}

/// Guards against a key that stays blocked by a request that was refused before it was sent, even if
/// its insertion takes effect after the refusal.
#[tokio::test]
async fn refused_insertion_frees_its_key_later() {
    let script = |n| match n {
        0 => Fault::LateCommit(Duration::from_millis(1_500)),
        1..60 => Fault::Unavailable,
        _ => Fault::None,
    };
    let store = FakeStore::start(script).await;
    let target = FakeTarget::start(|_| Reply::Ok("receipt")).await;
    let daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    assert_eq!(
        deposit(&daemon, "a", "10").await.code(),
        "journal-unavailable"
    );
    until(|| states(&store) == [State::Free]).await;
    assert_eq!(deposit(&daemon, "a", "10").await.code(), "answered");
    assert_eq!(target.received().len(), 1);
}

/// Guards against losing the response to a caller that lost its connection, also during a shutdown.
#[tokio::test]
async fn response_is_recorded_after_the_caller_disconnects() {
    let store = FakeStore::start(|_| Fault::None).await;
    // Longer than the fixed delay of a shutdown.
    let target = FakeTarget::start(|_| Reply::Late(Duration::from_millis(800), "receipt")).await;
    let mut daemon = Daemon::start(&[target.addr], &[], Some(store.addr)).await;
    let mut stream = TcpStream::connect(daemon.addr).await.expect("a connection");
    let head = b"POST /rounds/k/deposit HTTP/1.1\r\nhost: x\r\nidempotency-key: a\r\n\
                 content-length: 2\r\n\r\n10";
    stream.write_all(head).await.expect("sent");
    until(|| target.received().len() == 1).await;
    drop(stream);
    daemon.begin_stop();
    daemon.stopped().await;
    assert!(
        matches!(states(&store)[..], [State::Answered(_)]),
        "the shutdown waits for the response to be recorded"
    );
}

/// Guards against one transaction per request, which would overload the store.
#[tokio::test]
async fn insertions_share_transactions() {
    let store = FakeStore::start(|_| Fault::None).await;
    let target = FakeTarget::start(|_| Reply::Ok("receipt")).await;
    let daemon = std::sync::Arc::new(Daemon::start(&[target.addr], &[], Some(store.addr)).await);
    let calls: Vec<_> = (0..40)
        .map(|i| {
            let daemon = std::sync::Arc::clone(&daemon);
            tokio::spawn(async move { deposit(&daemon, &format!("key-{i}"), "10").await })
        })
        .collect();
    for call in calls {
        let response = timeout(LIMIT, call)
            .await
            .expect("in time")
            .expect("no panic");
        assert_eq!(response.code(), "answered");
    }
    let recorded = || {
        states(&store)
            .iter()
            .all(|s| matches!(s, State::Answered(_)))
    };
    until(|| store.rows().len() == 40 && recorded()).await;
    println!("rows=40 commits={}", store.commits());
    assert!(
        store.commits() < 60,
        "{} commits for 80 writes",
        store.commits()
    );
}

/// Guards against keeping a key forever, and against replacing its row too early.
#[test_case(EXPIRY_MS - 1, false; "before")]
#[test_case(EXPIRY_MS, true; "after")]
fn row_expires(age: u64, replaced: bool) {
    let content = JournalRow::pending("hash".into(), &crate::daemon::link(), 5);
    let row = fireflygauge::store::Row {
        name: "journal/rounds/x".into(),
        version: 3,
        value: content.to_text(),
    };
    let decision = evaluate(&row, "hash", 5 + age);
    assert_eq!(
        matches!(decision, RowDecision::Replace),
        replaced,
        "{decision:?}"
    );
}
