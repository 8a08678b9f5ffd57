//! Targets that do not check grants, and the daemon that holds their lease.

use crate::{
    daemon::{Daemon, group, link, link_of, request, until},
    fake_target::{FakeTarget, Reply},
};
use fireflygauge::{
    clock::{Clock, Millis},
    partition::Partition,
    routing::{front::Fronts, outcome::OutcomeKind},
    target_api::{GrantReply, GrantRequest},
};
use std::{sync::Arc, time::Duration};
use test_case::test_case;
use tokio::time::sleep;

const LEASE_MS: u64 = 1_200;
const HOLD_MS: u64 = 900_000;

/// Grants `partitions` of the fronted target, counted from now.
fn grant(fronts: &Fronts, sequence: u64, partitions: &[u32], lease_ms: u64) -> GrantReply {
    let mut request = GrantRequest {
        group: group("scales"),
        controller_epoch: 1,
        sequence,
        incarnation: None,
        echo: None,
        lease_ms,
        set_id: sequence,
        partitions: None,
    };
    let contact = fronts.take_grant(&"scales-0".into(), &request);
    request.sequence += 1;
    request.incarnation = Some(contact.incarnation);
    request.echo = Some(contact.reading);
    request.partitions = Some(partitions.iter().map(|&p| (Partition(p), 1)).collect());
    fronts.take_grant(&"scales-0".into(), &request)
}

fn fronts(clock: Clock) -> Fronts {
    Fronts::new(link().incarnation, clock, Arc::default())
}

/// Guards against requests for a partition that this daemon holds no lease for.
#[test_case("scales-0", 1, 1, true; "held")]
#[test_case("scales-0", 2, 1, false; "other_partition")]
#[test_case("scales-0", 1, 2, false; "other_epoch")]
#[test_case("scales-1", 1, 1, false; "other_target")]
#[tokio::test]
async fn only_a_held_lease_admits(target: &str, partition: u32, epoch: u64, admitted: bool) {
    let fronts = fronts(Clock::start());
    assert!(grant(&fronts, 1, &[1], LEASE_MS).accepted);
    let permit = fronts.begin(&target.into(), Partition(partition), epoch);
    assert_eq!(permit.is_some(), admitted);
}

/// Guards against a move while the target may still run a request whose connection was lost, and
/// against a partition that stays blocked until the end of a long lease.
#[tokio::test]
async fn lost_request_keeps_its_partition_until_its_deadline() {
    let clock = Clock::start();
    let fronts = fronts(clock);
    let begin = || {
        fronts
            .begin(&"scales-0".into(), Partition(1), 1)
            .expect("a lease")
    };
    grant(&fronts, 1, &[1], HOLD_MS);
    begin().end();
    assert!(grant(&fronts, 3, &[], HOLD_MS).draining.is_empty());
    grant(&fronts, 5, &[1], HOLD_MS);
    let mut lost = begin();
    let deadline = clock.now() + Millis(200);
    lost.limit(deadline);
    drop(lost);
    let mut sequence = 7;
    while !grant(&fronts, sequence, &[], HOLD_MS).draining.is_empty() {
        assert!(clock.now() < deadline + Millis(5_000), "it never ends");
        sequence += 2;
        sleep(Duration::from_millis(2)).await;
    }
    assert!(
        clock.now() >= deadline,
        "it was given up before the deadline"
    );
}

/// Guards against a request that outlives the lease under which it was sent.
#[tokio::test]
async fn request_ends_with_the_lease() {
    let target = FakeTarget::start(|_| Reply::Late(Duration::from_secs(5), "late")).await;
    let front = Daemon::start(&[], &[], None).await;
    front.list_fronted(target.addr, &link()).await;
    grant(&front.fronts, 1, &[0, 1, 2, 3, 4, 5, 6, 7], 300);
    let answer = front.call(request("POST", "/scales/k"), "").await;
    assert_eq!(answer.outcome(), OutcomeKind::Unknown);
    until(|| target.received().len() == 1).await;
    let deadline: u64 = target.received()[0]
        .header("x-deadline-ms")
        .and_then(|text| text.parse().ok())
        .expect("a deadline");
    assert!(deadline <= 300, "{deadline}");
}

/// Guards against a target that is sent requests while no daemon holds its lease.
#[tokio::test]
async fn target_without_front_gets_nothing() {
    let target = FakeTarget::start(|_| Reply::Echo).await;
    let daemon = Daemon::start(&[], &[], None).await;
    daemon.list_fronted(target.addr, &link_of("gone")).await;
    let req = request("POST", "/scales/k").header("x-timeout-ms", "200");
    let answer = daemon.call(req, "").await;
    assert_eq!(answer.outcome(), OutcomeKind::NotRun);
    assert!(target.received().is_empty());
}
