//! How long connections to endpoints are kept.

use crate::{
    fake_endpoint::{Answer, FakeEndpoint},
    leaving::{entry, send_one},
};
use fireflygauge::{
    clock::Clock,
    gateway::{
        backend::{Backend, Shared},
        send::{Exchange, MayHaveRun},
    },
};
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

/// Guards against requests that are lost again and again on connections that endpoints forget.
#[tokio::test]
async fn connections_that_are_forgotten_are_used_sooner() {
    let forgets_after = Duration::from_millis(150);
    let endpoint = FakeEndpoint::start(Answer::Forgetful(forgets_after)).await;
    let clock = Clock::start();
    let backend = Backend::new(entry(false, endpoint.addr), Shared::default(), clock.now());
    let mut lost = 0;
    for _ in 0..8 {
        match send_one(&backend, clock).await {
            Exchange::Answered(_) => {}
            Exchange::MayHaveRun(MayHaveRun::ConnectionLost) => lost += 1,
            other => panic!("unexpected {other:?}"),
        }
        sleep(forgets_after * 2).await;
    }
    assert_eq!(lost, 2, "two losses show that connections are forgotten");
}

/// Guards against a connection for each request although the endpoint keeps it open, and against a
/// request on one that the endpoint is about to close.
#[test_case(1, 2; "closed soon")]
#[test_case(10, 1; "kept for long")]
#[tokio::test]
async fn connections_are_kept_as_long_as_the_endpoint_states(seconds: u64, connections: usize) {
    let endpoint = FakeEndpoint::start(Answer::KeepsAlive(seconds)).await;
    let clock = Clock::start();
    let backend = Backend::new(entry(false, endpoint.addr), Shared::default(), clock.now());
    for _ in 0..2 {
        let result = send_one(&backend, clock).await;
        assert!(matches!(result, Exchange::Answered(_)), "{result:?}");
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(endpoint.connections(), connections);
}
