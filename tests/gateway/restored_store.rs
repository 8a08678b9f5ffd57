//! Guards against daemons that go on as if versions of the store only rose, after it has come back
//! from a copy. The platform is in memory.

use crate::{
    daemon::Daemon,
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform::FakePlatform,
    leaving::{builder, entry, local},
};
use fireflygauge::gateway::{
    controller_lease::{LeaseRow, STOP_AFTER, TAKEOVER_AFTER},
    model::KeyRange,
    owners::{OwnedRange, Owners},
    platform::{Platform, Table},
    registry::{EndpointChange, EndpointChanges, Registration, Registry},
    store_version::store_version,
};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// Time within which a change must be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Calls to the store that a daemon may make within this time.
const MAX_CALLS: usize = 40;

async fn has_endpoints(daemon: &Daemon, count: usize) -> bool {
    let metrics = daemon.get(daemon.status, "/metrics").await;
    let text = format!("fireflygauge_endpoints{{service=\"plain\"}} {count}\n");
    metrics.is_ok_and(|response| String::from_utf8_lossy(response.body()).contains(&text))
}

/// Writes rows that no daemon uses, so that the version rises.
fn raise_version(platform: &FakePlatform, by: u64) {
    (0..by).for_each(|_| platform.declare(1));
}

/// Guards against changes that are ignored until the versions have caught up with those before the
/// restoration, and against a table that is read again and again until then.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_a_restoration_are_known() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    platform.register("e0", "plain", endpoint.addr);
    platform.declare(1);
    let daemon = Daemon::start(&platform);
    daemon.wait_ready().await;
    let copy = platform.copy();
    raise_version(&platform, 1_000);
    sleep(Duration::from_millis(800)).await;
    platform.restore(copy);
    let calls = platform.calls();
    sleep(Duration::from_millis(300)).await;
    platform.register("e1", "plain", endpoint.addr);
    let registered = Instant::now();
    while !has_endpoints(&daemon, 2).await {
        let calls = platform.calls() - calls;
        assert!(
            registered.elapsed() < KNOWN_WITHIN,
            "unknown, {calls} calls"
        );
        sleep(Duration::from_millis(20)).await;
    }
    sleep(KNOWN_WITHIN - registered.elapsed()).await;
    let calls = platform.calls() - calls;
    assert!(calls <= MAX_CALLS, "{calls} calls");
}

async fn lease(platform: &FakePlatform) -> Option<LeaseRow> {
    let rows = platform.read(Table::Controller).await.ok()?;
    LeaseRow::decode(rows.rows.first()?.value.as_ref()?).ok()
}

/// Guards against an epoch that is given out twice, because the copy has the row of an earlier one:
/// grants under the first are still in force.
#[tokio::test(flavor = "multi_thread")]
async fn epochs_rise_across_a_restoration() {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let first = Daemon::start_as("d1", &platform);
    first.wait_ready().await;
    let second = Daemon::start_as("d2", &platform);
    second.wait_ready_among(2).await;
    let copy = platform.copy();
    first.stop();
    let end = Instant::now() + Duration::from_secs(10);
    let epoch = loop {
        let row = lease(&platform).await.expect("the lease was taken");
        if &*row.holder.0 == "d2" {
            break row.epoch;
        }
        assert!(Instant::now() < end, "the lease was not taken over");
        sleep(Duration::from_millis(20)).await;
    };
    raise_version(&platform, 50);
    sleep(Duration::from_millis(500)).await;
    platform.restore(copy);
    let end = Instant::now() + Duration::from_secs(6);
    loop {
        let row = lease(&platform).await.expect("the copy has the lease");
        if row.epoch > epoch {
            break;
        }
        assert!(Instant::now() < end, "{row:?}, in force before: {epoch}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against two endpoints with the same keys: the controller takes its lease back although another
/// daemon had taken it over and moved keys, which neither the copy nor that daemon's next life tells.
#[test_case(true => false; "another was the controller and has restarted")]
#[test_case(false => true; "no daemon reached the store")]
#[tokio::test(flavor = "multi_thread")]
async fn the_controller_goes_on_unless_another_may_have_moved_keys(is_succeeded: bool) -> bool {
    let platform = FakePlatform::new();
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    platform.register("k", "keyed", endpoint.addr);
    platform.declare(1);
    let links = [platform.with_own_link(), platform.with_own_link()];
    let first = Daemon::start_as("d1", &links[0]);
    platform.wait_for_controller("d1").await;
    let second = Daemon::start_as("d2", &links[1]);
    first.wait_ready_among(2).await;
    second.wait_ready_among(2).await;
    // The first knows all daemons that may send commands.
    sleep(STOP_AFTER.into()).await;
    let copy = platform.copy();
    let epoch = lease(&platform).await.expect("the lease was taken").epoch;
    links[0].cut();
    if is_succeeded {
        platform.wait_for_controller("d2").await;
        second.stop();
        while !second.has_ended() {
            sleep(Duration::from_millis(20)).await;
        }
    }
    links[1].cut();
    let restarted = is_succeeded.then(|| Daemon::start_as("d2", &links[1]));
    sleep(Duration::from_millis(2_500)).await;
    platform.restore(copy);
    links.iter().for_each(FakePlatform::heal);
    // No daemon may take the lease over sooner.
    sleep(Duration::from(TAKEOVER_AFTER)).await;
    let row = lease(&platform).await.expect("the copy has the lease");
    drop(restarted);
    row.epoch > epoch
}

/// Guards against owners of the copy that replace later ones, because their version is of a later era.
#[test_case(5, true; "later owners")]
#[test_case(0, false; "earlier owners")]
fn owners_of_a_copy_replace_no_later_ones(token: u64, are_set: bool) {
    let mut builder = builder();
    let range = OwnedRange {
        keys: KeyRange { first: 0, last: 9 },
        owner: entry(false, local(1)).instance,
        addr: local(1),
        token,
        handover: None,
    };
    let owners = Owners::new(vec![range]);
    let version = store_version(2, 1);
    assert_eq!(builder.set_owners("s".into(), version, owners), are_set);
}

/// A change of the endpoint's row at `number` in `era`: its entry's sequence and whether it leaves;
/// `None` if the row was removed.
fn endpoint_row(era: u64, number: u64, state: Option<(u64, bool)>) -> EndpointChange {
    let present = |(sequence, draining)| {
        let mut entry = entry(draining, local(1));
        entry.sequence = sequence;
        Registration::Present(entry)
    };
    let removed = Registration::Removed {
        may_have_lapsed: false,
    };
    EndpointChange {
        name: "e".into(),
        version: store_version(era, number),
        registration: state.map_or(removed, present),
    }
}

fn update(
    era: u64,
    number: u64,
    changes: Vec<EndpointChange>,
    is_snapshot: bool,
) -> EndpointChanges {
    EndpointChanges {
        changes,
        version: store_version(era, number),
        is_snapshot,
        may_have_lapsed: false,
    }
}

/// The sequence of the endpoint's entry and whether it leaves; `None` if it is not registered.
fn registered(registry: &Registry) -> Option<(u64, bool)> {
    let all = registry.changes_after(0).changes.into_iter();
    all.into_iter()
        .find_map(|change| match change.registration {
            Registration::Present(entry) => Some((entry.sequence, entry.draining)),
            Registration::Removed { .. } => None,
        })
}

/// Guards against an endpoint that has left and is used again because the copy has its entry from
/// before, and against one whose later entry is ignored.
#[test_case(Some((9, true)), Some((5, false)), Some((9, true)); "leaving, ready in the copy")]
#[test_case(None, Some((5, false)), None; "gone, ready in the copy")]
#[test_case(Some((9, false)), Some((5, true)), Some((9, false)); "ready, leaving in the copy")]
#[test_case(Some((9, false)), Some((9, false)), Some((9, false)); "unchanged")]
#[test_case(Some((9, false)), Some((11, true)), Some((11, true)); "written again already")]
fn what_is_known_holds_until_entries_are_written_again(
    known: Option<(u64, bool)>,
    in_copy: Option<(u64, bool)>,
    expected: Option<(u64, bool)>,
) {
    let mut registry = Registry::default();
    registry.apply(update(
        1,
        50,
        vec![endpoint_row(1, 40, Some((5, false)))],
        true,
    ));
    registry.apply(update(1, 60, vec![endpoint_row(1, 60, known)], false));
    let copy = vec![endpoint_row(2, 40, in_copy)];
    registry.apply(update(2, 45, copy, true));
    assert_eq!(registered(&registry), expected);
    let written = Some((20, false));
    registry.apply(update(2, 46, vec![endpoint_row(2, 46, written)], false));
    assert_eq!(registered(&registry), written);
}

/// Guards against an endpoint that is removed at once because the copy is from before it joined.
#[test]
fn an_entry_that_was_lost_is_awaited() {
    let mut registry = Registry::default();
    registry.apply(update(
        1,
        60,
        vec![endpoint_row(1, 60, Some((3, false)))],
        true,
    ));
    let changes = registry.apply(update(2, 45, Vec::new(), true));
    let awaited = Registration::Removed {
        may_have_lapsed: true,
    };
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].registration, awaited);
}
