//! The controller, under faults and every order of messages.

#[path = "support/ownership_world.rs"]
mod ownership_world;

use fireflygauge::{
    clock::Millis,
    ownership::{
        controller::{Action, Controller, Event},
        row::{ControllerRow, to_json},
    },
    peer::message::HoldRequest,
    store::{Row, StoreError},
    world::{GroupId, Incarnation, Link},
};
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
    for seed in 0..50 {
        let mut world = World::new(seed, Noise::NONE);
        world.run(5_000);
        for t in 0..TARGETS {
            assert_eq!(world.owned_in_rows(t), PARTITIONS as usize / TARGETS);
        }
        assert_sound(&world);
    }
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

/// Guards against a slow store that is taken for one that is down, and against moves that never
/// get written there.
#[test_case(100)]
#[test_case(300)]
fn slow_store_neither_holds_nor_blocks_moves(delay: u64) {
    let mut world = started();
    world.store_delay = delay;
    world.plan(Fault::LeaveTarget(2), 5_000, 60_000);
    for _ in 0..2_000 {
        world.run(10);
        assert!(
            world.served() >= 8,
            "served {} of {PARTITIONS}",
            world.served()
        );
    }
    assert_eq!((world.holds, world.takeovers), (0, 1));
    assert_eq!(world.owned_in_rows(2), 0);
    assert!(world.is_served());
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

/// Guards against partitions that stay unserved when a daemon that holds leases in place of
/// targets is lost or stops, and against moves because of that.
#[test_case(Fault::CrashDaemon, 3_000; "front lost")]
#[test_case(Fault::PauseDaemon, 3_000; "front paused")]
#[test_case(Fault::StopDaemon, 1_500; "front stopped")]
fn front_is_replaced(fault: fn(usize) -> Fault, limit: u64) {
    for i in 0..DAEMONS {
        let mut world = World::fronted(1, Noise::NONE);
        let took = world.run_until(5_000, World::is_served);
        assert!(took.is_some(), "not served after the start");
        world.run(1_000);
        let moves = world.moves;
        world.plan(fault(i), 0, 20_000);
        world.run(limit);
        assert!(
            world.is_served(),
            "served {} of {PARTITIONS}",
            world.served()
        );
        world.run(25_000);
        assert!(world.is_served());
        assert_eq!(world.moves, moves);
        assert_sound(&world);
    }
}

/// Guards against a controller that keeps its lease although it can reach no target.
#[test]
fn isolated_controller_is_succeeded() {
    let mut world = started();
    let holder = world.holder().expect("there is a holder");
    for t in 0..TARGETS {
        world.plan(Fault::CutGrants(holder, t), 0, 60_000);
    }
    world.run(4_000);
    assert!(
        world.is_served(),
        "served {} of {PARTITIONS}",
        world.served()
    );
    world.run(20_000);
    assert!(world.is_served());
    assert_sound(&world);
}

/// Guards against controllers that hand the lease to each other while targets are lost, so that
/// the wait for the targets' leases starts anew and never ends.
#[test]
fn loss_of_all_targets_but_a_new_one_is_survived() {
    let mut world = started();
    for t in 0..TARGETS {
        world.plan(Fault::CrashTarget(t), 0, 60_000);
    }
    world.run(5_000);
    assert!(world.takeovers <= 2, "{} takeovers", world.takeovers);
    world.plan(Fault::CrashTarget(1), 0, 0);
    let took = world.run_until(3_000, World::is_served);
    assert!(took.is_some(), "served {} of {PARTITIONS}", world.served());
    assert_sound(&world);
}

/// Guards against a grant that was delayed on its way and starts a lease when it arrives.
#[test_case(1_400)]
#[test_case(3_000)]
fn delayed_grant_admits_nothing(delay: u64) {
    for at in 0..300 {
        let mut world = started();
        world.run(at);
        world.plan(Fault::DelayGrants(0), 0, delay);
        world.run(delay + 500);
        assert_sound(&world);
    }
}

/// Guards against a successor that was no standby and does not expect long leases.
#[test]
fn delegate_waits_for_long_leases() {
    let mut world = started();
    let holder = world.holder().expect("there is a holder");
    world.plan(Fault::StoreDown, 0, 1_500);
    world.run(1_200);
    assert_eq!(world.holds, 1);
    let status = world.controller(holder).status(world.daemon_time(holder));
    let successor = (0..DAEMONS)
        .find(|&i| {
            let name = format!("entry-{i}").as_str().into();
            i != holder && !status.standbys.contains(&name)
        })
        .expect("one daemon is neither holder nor standby");
    for i in (0..DAEMONS).filter(|&i| i != successor) {
        world.plan(Fault::CrashDaemon(i), 0, 40_000);
    }
    world.plan(Fault::CutGrants(successor, 0), 0, 40_000);
    let others = (PARTITIONS - PARTITIONS / TARGETS as u32) as usize;
    let took = world.run_until(6_000, |w| w.takeovers == 2);
    assert!(took.is_some(), "no takeover while the long lease runs");
    let took = world.run_until(500, |w| w.served() >= others);
    assert!(
        took.is_some(),
        "the reachable targets are not granted again"
    );
    let took = world.run_until(15_000, |w| w.owned_in_rows(0) == 0 && w.is_served());
    assert!(
        took.is_some(),
        "the lost target's partitions are not served again"
    );
    assert_sound(&world);
}

/// Guards against a standby that acknowledges hold mode while it can read the store or after it
/// has begun a takeover, and against a message that was meant for its former run.
#[test]
fn standby_refuses_hold_mode() {
    let link = |name: &str, zone: &str, run: u64| Link {
        name: name.into(),
        incarnation: Incarnation(run),
        zone: zone.into(),
        peer_addr: ([127, 0, 0, 1], 7_000).into(),
    };
    let (me, holder) = (link("b", "z1", 2), link("a", "z0", 1));
    let group = GroupId {
        service: "rounds".into(),
        index: 0,
    };
    let mut standby = Controller::new(me.clone(), group.clone(), PARTITIONS);
    let ask = |standby: &mut Controller, run: u64| {
        let request = HoldRequest {
            group: group.clone(),
            controller_epoch: 3,
            standby: Incarnation(run),
        };
        standby.answer_hold(&request).acknowledged
    };
    let row = ControllerRow {
        epoch: 3,
        holder,
        lease: 9,
        standbys: vec![me],
        hold_ms: 1_000,
        outstanding: Vec::new(),
        fronts: Vec::new(),
        released: false,
        operation: "1-1".into(),
    };
    let read = Row {
        name: "group/rounds/0".into(),
        version: 9,
        value: to_json(&row),
    };
    let failed = || Event::RowRead(Err(StoreError::Unavailable("no answer".into())));
    standby.handle(Event::Tick, Millis(100));
    standby.handle(Event::RowRead(Ok(Some(read))), Millis(100));
    assert!(!ask(&mut standby, 2), "it can read the store");
    standby.handle(failed(), Millis(300));
    assert!(!ask(&mut standby, 1), "another run is meant");
    assert!(ask(&mut standby, 2));
    let actions = standby.handle(failed(), Millis(960));
    let begun = actions.iter().any(|a| matches!(a, Action::ReadAssignments));
    assert!(begun, "the takeover begins");
    assert!(!ask(&mut standby, 2), "it has begun a takeover");
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
        (0..TARGETS).prop_map(Fault::DelayGrants),
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
    /// Guards against two owners at one time, lost assignments and ownership epochs that go back,
    /// under any order of faults and messages.
    #[test]
    fn ownership_is_exclusive(
        seed: u64,
        fronted: bool,
        noise in noise(),
        faults in faults(),
    ) {
        let mut world = match fronted {
            true => World::fronted(seed, noise),
            false => World::new(seed, noise),
        };
        for (fault, at, length) in faults {
            world.plan(fault, at, length);
        }
        world.run(28_000);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }

    /// Guards against a state from which the group never recovers once all faults have ended.
    #[test]
    fn group_recovers_after_faults(seed: u64, fronted: bool, faults in faults()) {
        let mut world = match fronted {
            true => World::fronted(seed, Noise::NONE),
            false => World::new(seed, Noise::NONE),
        };
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

/// Faults of the failure table in the design page, on the controller `c` and the target 0.
fn kinds(c: usize) -> [(&'static str, Vec<Fault>); 8] {
    [
        ("controller lost", vec![Fault::CrashDaemon(c)]),
        ("controller paused", vec![Fault::PauseDaemon(c)]),
        ("target lost", vec![Fault::CrashTarget(0)]),
        ("target paused", vec![Fault::PauseTarget(0)]),
        ("store down", vec![Fault::StoreDown]),
        ("link to store cut", vec![Fault::CutStore(c)]),
        (
            "links to targets cut",
            (0..TARGETS).map(|t| Fault::CutGrants(c, t)).collect(),
        ),
        ("links to daemons cut", vec![Fault::CutDaemons(c)]),
    ]
}

/// Guards against two faults together that break what each alone does not: two owners, partitions
/// that the other targets do not serve again, or no recovery. Prints the time that all partitions
/// of the other targets, and those of the target 0, are unserved.
#[test_case(false; "targets check grants")]
#[test_case(true; "front daemons")]
fn pairs_of_faults(fronted: bool) {
    for first in 0..8 {
        for second in 0..8 {
            let mut worst = (0, 0);
            for offset in [0, 150, 450, 900, 1_400] {
                let (any, all) = unserved(fronted, first, second, offset);
                worst = (worst.0.max(any), worst.1.max(all));
            }
            let names = (kinds(0)[first].0, kinds(0)[second].0);
            println!("{} | {} | {} | {}", names.0, names.1, worst.0, worst.1);
        }
    }
}

/// Longest time without any partition served, and without all of them.
fn unserved(fronted: bool, first: usize, second: usize, offset: u64) -> (u64, u64) {
    let mut world = match fronted {
        true => World::fronted(7, Noise::NONE),
        false => World::new(7, Noise::NONE),
    };
    let took = world.run_until(5_000, World::is_served);
    assert!(took.is_some(), "not served after the start");
    world.run(1_000);
    let holder = world.holder().expect("there is a holder");
    for (kind, at) in [(first, 0), (second, offset)] {
        for fault in &kinds(holder)[kind].1 {
            world.plan(*fault, at, 6_000);
        }
    }
    let (mut none, mut some, mut longest) = (0, 0, (0, 0));
    for _ in 0..3_000 {
        world.run(5);
        none = if world.served() == 0 { none + 5 } else { 0 };
        some = if world.is_served() { 0 } else { some + 5 };
        longest = (longest.0.max(none), longest.1.max(some));
    }
    let names = (kinds(0)[first].0, kinds(0)[second].0);
    assert!(world.is_served(), "{names:?} {offset}: no recovery");
    assert!(
        world.violations.is_empty(),
        "{names:?} {:?}",
        world.violations
    );
    longest
}
