//! The controller, under faults and every order of messages.

#[path = "support/ownership_world.rs"]
mod ownership_world;

use ownership_world::{DAEMONS, Fault, Noise, PARTITIONS, TARGETS, World};
use proptest::prelude::*;
use test_case::test_case;

fn started() -> World {
    let mut world = World::new(1, Noise::NONE);
    let took = world.run_until(5_000, World::is_served);
    assert!(
        took.is_some(),
        "not served after the start: {}",
        world.served()
    );
    world.run(1_000);
    world
}

fn assert_sound(world: &World) {
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a start that leaves partitions without an owner or uneven.
#[test]
fn start_spreads_partitions_evenly() {
    let world = started();
    for t in 0..TARGETS {
        assert_eq!(world.owned_in_rows(t), PARTITIONS as usize / TARGETS);
    }
    assert_sound(&world);
}

/// Guards against partitions that stay unserved after one fault.
#[test_case(|_| Fault::CrashTarget(1), 2_000; "target lost")]
#[test_case(|_| Fault::PauseTarget(1), 2_000; "target frozen")]
#[test_case(Fault::CrashDaemon, 1_200; "controller lost")]
#[test_case(Fault::PauseDaemon, 1_200; "controller paused")]
#[test_case(Fault::CutStore, 1_200; "controller cut off from the store")]
#[test_case(Fault::StopDaemon, 400; "controller stopped")]
fn recovers_from(fault: fn(usize) -> Fault, limit: u64) {
    let mut world = started();
    let holder = world.holder().expect("there is a holder");
    world.plan(fault(holder), 0, 20_000);
    world.run(limit);
    assert!(
        world.is_served(),
        "served {} of {PARTITIONS}",
        world.served()
    );
    world.run(30_000);
    assert!(world.is_served());
    assert_sound(&world);
}

/// Guards against keys that a store outage makes unserved, and against moves during it.
#[test]
fn hold_mode_serves_through_an_outage() {
    let mut world = started();
    let moves = world.moves;
    world.plan(Fault::StoreDown, 0, 5_000);
    for _ in 0..500 {
        world.run(10);
        assert!(
            world.is_served(),
            "served {} of {PARTITIONS}",
            world.served()
        );
    }
    assert_eq!(world.holds, 1);
    world.run(5_000);
    assert!(world.is_served());
    assert_eq!(world.moves, moves);
    let holder = world.holder().expect("there is a holder");
    let status = world.controller(holder).status(world.daemon_time(holder));
    assert!(!status.hold && status.outstanding.is_empty(), "{status:?}");
    assert_sound(&world);
}

/// Guards against a leaving target that keeps partitions, and against a move that does not wait
/// for a running request.
#[test]
fn leaving_target_is_drained_after_its_requests() {
    let mut world = started();
    let (target, now) = world.target(2);
    let (&p, &epoch) = target.owned().iter().next().expect("it owns something");
    target.begin(p, epoch, now).expect("it admits");
    world.plan(Fault::LeaveTarget(2), 0, 60_000);
    world.run(3_000);
    assert_eq!(world.owned_in_rows(2), 1);
    assert!(world.admitting(p.0).is_empty());
    world.target(2).0.end(p);
    world.run(500);
    assert_eq!(world.owned_in_rows(2), 0);
    assert!(world.is_served());
    assert_sound(&world);
}

fn faults() -> impl Strategy<Value = Vec<(Fault, u64, u64)>> {
    let daemon = 0..DAEMONS;
    let fault = prop_oneof![
        daemon.clone().prop_map(Fault::PauseDaemon),
        daemon.clone().prop_map(Fault::CrashDaemon),
        daemon.clone().prop_map(Fault::StopDaemon),
        (0..TARGETS).prop_map(Fault::PauseTarget),
        (0..TARGETS).prop_map(Fault::CrashTarget),
        (0..TARGETS).prop_map(Fault::LeaveTarget),
        Just(Fault::StoreDown),
        daemon.clone().prop_map(Fault::CutStore),
        (daemon.clone(), 0..TARGETS).prop_map(|(d, t)| Fault::CutGrants(d, t)),
        daemon.prop_map(Fault::CutDaemons),
    ];
    prop::collection::vec((fault, 0..20_000u64, 100..6_000u64), 0..14)
}

fn noise() -> impl Strategy<Value = Noise> {
    prop_oneof![
        Just(Noise::NONE),
        (0.0..0.2, 0.0..0.2, 0.0..0.2, 0.0..0.3).prop_map(|(loss, duplicate, late, stale)| Noise {
            loss,
            duplicate,
            late,
            stale,
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against two owners at one time, lost assignments and ownership epochs that go back,
    /// under any order of faults and messages.
    #[test]
    fn ownership_is_exclusive(seed: u64, noise in noise(), faults in faults()) {
        let mut world = World::new(seed, noise);
        for (fault, at, length) in faults {
            world.plan(fault, at, length);
        }
        world.run(28_000);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }

    /// Guards against a state from which the group never recovers once all faults have ended.
    #[test]
    fn group_recovers_after_faults(seed: u64, faults in faults()) {
        let mut world = World::new(seed, Noise::NONE);
        for (fault, at, length) in faults {
            world.plan(fault, at, length);
        }
        world.run(28_000);
        let took = world.run_until(20_000, World::is_served);
        prop_assert!(took.is_some(), "served {} of {PARTITIONS}", world.served());
        world.run(2_000);
        prop_assert!(world.is_served(), "served {} of {PARTITIONS}", world.served());
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
