//! Tests of the lease that a target holds. They guard against requests being admitted without a
//! valid lease.

use fireflygauge::{
    clock::Millis,
    ownership::lease::LeaseHolder,
    partition::Partition,
    target_api::{GrantRequest, NotRunReason},
    world::{GroupId, Incarnation},
};
use test_case::test_case;

const RUN: Incarnation = Incarnation(7);
const P: Partition = Partition(3);

fn grant(epoch: u64, sequence: u64, echo: u64) -> GrantRequest {
    GrantRequest {
        group: GroupId {
            service: "rounds".into(),
            index: 0,
        },
        controller_epoch: epoch,
        sequence,
        incarnation: Some(RUN),
        echo: Some(echo),
        lease_ms: 1_200,
        set_id: 1,
        partitions: Some(vec![(P, 1)]),
    }
}

fn holder_at(now: u64) -> LeaseHolder {
    let mut holder = LeaseHolder::new(RUN);
    assert!(holder.grant(&grant(2, 5, now), Millis(now)).accepted);
    holder
}

/// Guards against requests admitted after the lease has ended or under another ownership epoch.
#[test_case(1, 1_000, true; "just granted")]
#[test_case(1, 2_199, true; "before the end")]
#[test_case(1, 2_200, false; "at the end")]
#[test_case(0, 1_000, false; "lower ownership epoch")]
#[test_case(2, 1_000, false; "higher ownership epoch")]
fn admission(epoch: u64, now: u64, admitted: bool) {
    let holder = holder_at(1_000);
    let expected = if admitted {
        Ok(())
    } else {
        Err(NotRunReason::NotOwner)
    };
    assert_eq!(holder.admit(P, epoch, Millis(now)), expected);
}

/// Guards against old, replayed or misdirected grants extending a lease.
#[test_case(|_| {}, true; "newer sequence")]
#[test_case(|r| r.sequence = 5, false; "replayed sequence")]
#[test_case(|r| r.controller_epoch = 1, false; "lower epoch")]
#[test_case(|r| { r.controller_epoch = 3; r.sequence = 1; }, true; "higher epoch starts its own sequence")]
#[test_case(|r| r.incarnation = Some(Incarnation(8)), false; "another run")]
#[test_case(|r| r.group.index = 1, false; "another group")]
#[test_case(|r| r.echo = None, false; "no echo")]
#[test_case(|r| r.echo = Some(1_501), false; "echo from the future")]
#[test_case(|r| { r.partitions = None; r.set_id = 9; }, false; "unknown set")]
#[test_case(|r| r.partitions = None, true; "known set")]
fn acceptance(change: fn(&mut GrantRequest), accepted: bool) {
    let mut holder = holder_at(1_000);
    let mut req = grant(2, 6, 1_400);
    change(&mut req);
    let reply = holder.grant(&req, Millis(1_500));
    assert_eq!(reply.accepted, accepted);
    let left = if accepted { 1_100 } else { 700 };
    assert_eq!(reply.lease_left_ms, left);
}

/// Guards against a first contact granting or ending a lease, and against one that fails to fence
/// the predecessor of the controller.
#[test]
fn first_contact_only_fences() {
    let mut holder = holder_at(1_000);
    let mut contact = grant(3, 1, 0);
    contact.incarnation = None;
    contact.echo = None;
    let reply = holder.grant(&contact, Millis(1_500));
    assert!(reply.accepted);
    assert_eq!(reply.lease_left_ms, 700);
    assert!(!holder.grant(&grant(2, 6, 1_500), Millis(1_510)).accepted);
}

/// Guards against a hold-mode lease that remains in effect after hold mode has ended.
#[test]
fn shorter_lease_replaces_a_longer_one() {
    let mut holder = LeaseHolder::new(RUN);
    let mut long = grant(2, 5, 0);
    long.lease_ms = 900_000;
    holder.grant(&long, Millis(10));
    let reply = holder.grant(&grant(2, 6, 10), Millis(20));
    assert_eq!(reply.lease_left_ms, 1_190);
}

/// Guards against a partition reported as drained while its requests are running, and against lost
/// request counts.
#[test]
fn draining_lists_exactly_the_fenced_partitions_that_run() {
    let mut holder = holder_at(1_000);
    holder.begin(P, 1, Millis(1_010)).unwrap();
    holder.begin(P, 1, Millis(1_010)).unwrap();
    let mut fence = grant(2, 6, 1_000);
    fence.partitions = Some(vec![]);
    fence.set_id = 2;
    let reply = holder.grant(&fence, Millis(1_020));
    assert_eq!(reply.draining, vec![P]);
    assert_eq!(reply.request_counts, vec![(P, 2)]);
    assert!(holder.begin(P, 1, Millis(1_020)).is_err());
    holder.end(P);
    fence.sequence = 7;
    assert_eq!(holder.grant(&fence, Millis(1_030)).draining, vec![P]);
    holder.end(P);
    fence.sequence = 8;
    let reply = holder.grant(&fence, Millis(1_040));
    assert!(reply.draining.is_empty() && reply.request_counts.is_empty());
}
