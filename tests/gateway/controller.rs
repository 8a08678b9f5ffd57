//! Ownership under random faults: at most one owner of a key, and recovery afterwards.

use super::world::World;
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{Action, Controller, Event},
        model::{EndpointEntry, EndpointInstance},
        platform::{GrantOutcome, WriteOutcome},
    },
    world::{Incarnation, ServiceName, VmName},
};
use proptest::prelude::*;
use test_case::test_case;

/// Length of the faulty time, in milliseconds.
const FAULTY_MS: u64 = 60_000;
/// Time in which all keys must be served again once the faults have ended: a successor's wait for
/// leases of its predecessor, and some more.
const RECOVERY_MS: u64 = 30_000;

/// Guards against two owners of a key after lost, late and repeated orders, paused or replaced
/// controllers, store outages and endpoints that live on without an entry.
fn play(seed: u64, fault_every: u64) -> Result<(), TestCaseError> {
    let mut world = World::new(seed);
    world.play(FAULTY_MS, fault_every);
    prop_assert!(world.violation.is_none(), "{}", world.report(seed));
    world.heal();
    world.play(RECOVERY_MS, u64::MAX);
    prop_assert!(world.violation.is_none(), "{}", world.report(seed));
    prop_assert_eq!(world.held_keys(), 65_536, "{}", world.report(seed));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn one_owner_under_rare_faults(seed: u64) {
        play(seed, 4_000)?;
    }

    #[test]
    fn one_owner_under_frequent_faults(seed: u64) {
        play(seed, 800)?;
    }
}

/// Guards against a start that leaves keys without an owner.
#[test_case(1; "one seed")]
#[test_case(2; "another seed")]
fn all_keys_get_an_owner(seed: u64) {
    let mut world = World::new(seed);
    world.play(6_000, u64::MAX);
    assert_eq!(world.violation, None);
    assert_eq!(world.held_keys(), 65_536);
}

/// Steps a controller, answers its writes and grants, and returns the number of grants.
fn drive(
    controller: &mut Controller,
    times: std::ops::Range<u64>,
    written: impl Fn(u64) -> WriteOutcome,
    granted: GrantOutcome,
) -> usize {
    let mut grants = 0;
    for ms in times.step_by(50) {
        for action in controller.step(&Map::default(), Millis(ms)) {
            let event = match action {
                Action::Write(id, _) => Event::Written(id, written(ms)),
                Action::ReadOwners => Event::Owners(Vec::new()),
                Action::Grant(service, id, _, _) => {
                    grants += 1;
                    Event::Granted(service, id, granted)
                }
                other => panic!("unexpected action {other:?}"),
            };
            controller.handle(event, Millis(ms));
        }
    }
    grants
}

/// A controller of one service with one endpoint, which has seen that nobody holds the lease.
fn controller() -> Controller {
    let addr = ([127, 0, 0, 1], 1).into();
    let me = VmName("d".into());
    let run = Incarnation::random();
    let mut controller = Controller::new(me, run, addr, Millis(10_000), Millis::ZERO);
    let service = ServiceName("s".into());
    let endpoint = EndpointEntry {
        instance: EndpointInstance {
            name: "e".into(),
            started_at_ms: 1,
        },
        service: service.clone(),
        addr,
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining_warmup: Millis::ZERO,
    };
    controller.handle(Event::Lease(0, None), Millis(1));
    controller.handle(Event::Services(vec![service]), Millis(1));
    controller.handle(Event::Endpoints(vec![endpoint]), Millis(1));
    controller
}

/// Guards against a controller that was replaced while it could not reach the store, and sends
/// thousands of grants a second that its successor has fenced.
#[test]
fn a_fenced_controller_gives_no_more_orders() {
    let mut controller = controller();
    let granted = GrantOutcome::Granted;
    let served = drive(&mut controller, 50..8_000, WriteOutcome::Committed, granted);
    assert!(served > 0, "the endpoint got its keys");
    // The store turns the controller away, so that nothing renews the lease.
    let refused = |_| WriteOutcome::Refused;
    let fenced = GrantOutcome::Fenced;
    let fenced = drive(&mut controller, 8_000..16_000, refused, fenced);
    assert_eq!(fenced, 2, "one to learn of a higher token, one to be sure");
}

/// Guards against daemons that all try to take the lease over, again and again, while the store
/// fails: every call is paid for.
#[test]
fn nobody_takes_the_lease_over_while_the_store_fails() {
    let mut controller = controller();
    controller.note_store(true);
    assert_eq!(controller.step(&Map::default(), Millis(5_000)), []);
    controller.note_store(false);
    let actions = controller.step(&Map::default(), Millis(5_100));
    assert!(
        matches!(actions[..], [Action::Write(..)]),
        "it takes the lease over: {actions:?}"
    );
}

/// Guards against a controller that learns the owners that it wrote only from the store.
#[test]
fn written_owners_are_known_at_once() {
    let mut controller = controller();
    let granted = GrantOutcome::Granted;
    drive(&mut controller, 50..8_000, WriteOutcome::Committed, granted);
    let written = controller.take_written();
    let (service, version, owners) = written.last().expect("owners were written");
    assert_eq!(&*service.0, "s");
    assert!(*version > 0);
    assert_eq!(owners.ranges().len(), 1);
    assert_eq!(controller.take_written(), []);
}
