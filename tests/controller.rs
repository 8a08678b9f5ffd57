//! Tests of the controller in a simulation, under faults and random message orders.
//!
//! They guard against two owners of a partition at one time, and against partitions that stay
//! unserved after a fault.

#[path = "support/ownership_simulation.rs"]
mod ownership_simulation;

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
use ownership_simulation::{DAEMONS, Fault, NetworkErrors, PARTITIONS, Simulation, TARGETS};
use proptest::prelude::*;
use test_case::test_case;

fn started() -> Simulation {
    let mut simulation = Simulation::new(1, NetworkErrors::NONE);
    let took = simulation.run_until(5_000, Simulation::is_served);
    assert!(
        took.is_some(),
        "not served after the start: {}",
        simulation.served()
    );
    simulation.run(1_000);
    simulation
}

fn assert_no_violations(simulation: &Simulation) {
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against a start that leaves partitions without an owner or spreads them unevenly.
#[test]
fn start_spreads_partitions_evenly() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, NetworkErrors::NONE);
        simulation.run(5_000);
        for t in 0..TARGETS {
            assert_eq!(simulation.owned_in_rows(t), PARTITIONS as usize / TARGETS);
        }
        assert_no_violations(&simulation);
    }
}

/// Guards against partitions that stay unserved after one fault.
#[test_case(|_| Fault::CrashTarget(1), 2_000; "target lost")]
#[test_case(|_| Fault::PauseTarget(1), 2_000; "target paused")]
#[test_case(Fault::CrashDaemon, 1_200; "controller lost")]
#[test_case(Fault::PauseDaemon, 1_200; "controller paused")]
#[test_case(Fault::CutStore, 1_200; "controller cut off from the store")]
#[test_case(Fault::StopDaemon, 400; "controller stopped")]
fn recovers_from(fault: fn(usize) -> Fault, limit: u64) {
    let mut simulation = started();
    let holder = simulation.holder().expect("there is a holder");
    simulation.schedule_fault(fault(holder), 0, 20_000);
    simulation.run(limit);
    assert!(
        simulation.is_served(),
        "served {} of {PARTITIONS}",
        simulation.served()
    );
    simulation.run(30_000);
    assert!(simulation.is_served());
    assert_no_violations(&simulation);
}

/// Guards against keys that are not served during a store outage, and against moves during it.
#[test]
fn hold_mode_serves_through_an_outage() {
    let mut simulation = started();
    let moves = simulation.moves;
    simulation.schedule_fault(Fault::StoreDown, 0, 5_000);
    for _ in 0..500 {
        simulation.run(10);
        assert!(
            simulation.is_served(),
            "served {} of {PARTITIONS}",
            simulation.served()
        );
    }
    assert_eq!(simulation.hold_mode_entries, 1);
    simulation.run(5_000);
    assert!(simulation.is_served());
    assert_eq!(simulation.moves, moves);
    let holder = simulation.holder().expect("there is a holder");
    let status = simulation
        .controller(holder)
        .status(simulation.daemon_time(holder));
    assert!(!status.hold && status.outstanding.is_empty(), "{status:?}");
    assert_no_violations(&simulation);
}

/// Guards against treating a slow store as unavailable, and against moves that are never written
/// because the store is slow.
#[test_case(100)]
#[test_case(300)]
fn slow_store_neither_enters_hold_mode_nor_blocks_moves(delay: u64) {
    let mut simulation = started();
    simulation.store_delay = delay;
    simulation.schedule_fault(Fault::LeaveTarget(2), 5_000, 60_000);
    for _ in 0..2_000 {
        simulation.run(10);
        assert!(
            simulation.served() >= 8,
            "served {} of {PARTITIONS}",
            simulation.served()
        );
    }
    assert_eq!((simulation.hold_mode_entries, simulation.takeovers), (0, 1));
    assert_eq!(simulation.owned_in_rows(2), 0);
    assert!(simulation.is_served());
    assert_no_violations(&simulation);
}

/// Guards against a leaving target that keeps partitions, and against a move that does not wait
/// for a running request of the partition.
#[test]
fn leaving_target_is_drained_after_its_requests() {
    let mut simulation = started();
    let (target, now) = simulation.target(2);
    let (&p, &epoch) = target.owned().iter().next().expect("it owns something");
    target.begin(p, epoch, now).expect("it admits");
    simulation.schedule_fault(Fault::LeaveTarget(2), 0, 60_000);
    simulation.run(3_000);
    assert_eq!(simulation.owned_in_rows(2), 1);
    assert!(simulation.admitting_targets(p.0).is_empty());
    simulation.target(2).0.end(p);
    simulation.run(500);
    assert_eq!(simulation.owned_in_rows(2), 0);
    assert!(simulation.is_served());
    assert_no_violations(&simulation);
}

/// Guards against partitions that stay unserved when a front daemon (one that holds leases in place
/// of targets) is lost or stops, and against moves caused by that.
#[test_case(Fault::CrashDaemon, 3_000; "front lost")]
#[test_case(Fault::PauseDaemon, 3_000; "front paused")]
#[test_case(Fault::StopDaemon, 1_500; "front stopped")]
fn front_is_replaced(fault: fn(usize) -> Fault, limit: u64) {
    for i in 0..DAEMONS {
        let mut simulation = Simulation::with_front_daemons(1, NetworkErrors::NONE);
        let took = simulation.run_until(5_000, Simulation::is_served);
        assert!(took.is_some(), "not served after the start");
        simulation.run(1_000);
        let moves = simulation.moves;
        simulation.schedule_fault(fault(i), 0, 20_000);
        simulation.run(limit);
        assert!(
            simulation.is_served(),
            "served {} of {PARTITIONS}",
            simulation.served()
        );
        simulation.run(25_000);
        assert!(simulation.is_served());
        assert_eq!(simulation.moves, moves);
        assert_no_violations(&simulation);
    }
}

/// Guards against a controller that keeps its lease although it can reach no target.
#[test]
fn isolated_controller_is_succeeded() {
    let mut simulation = started();
    let holder = simulation.holder().expect("there is a holder");
    for t in 0..TARGETS {
        simulation.schedule_fault(Fault::CutGrants(holder, t), 0, 60_000);
    }
    simulation.run(4_000);
    assert!(
        simulation.is_served(),
        "served {} of {PARTITIONS}",
        simulation.served()
    );
    simulation.run(20_000);
    assert!(simulation.is_served());
    assert_no_violations(&simulation);
}

/// Guards against controllers that pass the controller lease back and forth while all targets are
/// lost. The wait for the targets' leases would restart each time and never end.
#[test]
fn loss_of_all_targets_but_a_new_one_is_survived() {
    let mut simulation = started();
    for t in 0..TARGETS {
        simulation.schedule_fault(Fault::CrashTarget(t), 0, 60_000);
    }
    simulation.run(5_000);
    assert!(
        simulation.takeovers <= 2,
        "{} takeovers",
        simulation.takeovers
    );
    simulation.schedule_fault(Fault::CrashTarget(1), 0, 0);
    let took = simulation.run_until(3_000, Simulation::is_served);
    assert!(
        took.is_some(),
        "served {} of {PARTITIONS}",
        simulation.served()
    );
    assert_no_violations(&simulation);
}

/// Guards against a lease that starts when a delayed grant arrives, instead of when the echoed
/// clock reading was taken.
#[test_case(1_400)]
#[test_case(3_000)]
fn delayed_grant_admits_nothing(delay: u64) {
    for at in 0..300 {
        let mut simulation = started();
        simulation.run(at);
        simulation.schedule_fault(Fault::DelayGrants(0), 0, delay);
        simulation.run(delay + 500);
        assert_no_violations(&simulation);
    }
}

/// Guards against a successor that was not a standby and ignores leases granted in hold mode.
#[test]
fn delegate_waits_for_hold_mode_leases() {
    let mut simulation = started();
    let holder = simulation.holder().expect("there is a holder");
    simulation.schedule_fault(Fault::StoreDown, 0, 1_500);
    simulation.run(1_200);
    assert_eq!(simulation.hold_mode_entries, 1);
    let status = simulation
        .controller(holder)
        .status(simulation.daemon_time(holder));
    let successor = (0..DAEMONS)
        .find(|&i| {
            let name = format!("entry-{i}").as_str().into();
            i != holder && !status.standbys.contains(&name)
        })
        .expect("one daemon is neither holder nor standby");
    for i in (0..DAEMONS).filter(|&i| i != successor) {
        simulation.schedule_fault(Fault::CrashDaemon(i), 0, 40_000);
    }
    simulation.schedule_fault(Fault::CutGrants(successor, 0), 0, 40_000);
    let others = (PARTITIONS - PARTITIONS / TARGETS as u32) as usize;
    let took = simulation.run_until(6_000, |w| w.takeovers == 2);
    assert!(took.is_some(), "no takeover while the long lease runs");
    let took = simulation.run_until(500, |w| w.served() >= others);
    assert!(
        took.is_some(),
        "the reachable targets are not granted leases again"
    );
    let took = simulation.run_until(15_000, |w| w.owned_in_rows(0) == 0 && w.is_served());
    assert!(
        took.is_some(),
        "the lost target's partitions are not served again"
    );
    assert_no_violations(&simulation);
}

/// Guards against a standby that acknowledges hold mode although it can read the store, has begun a
/// takeover, or was addressed by its previous incarnation.
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

fn network_errors() -> impl Strategy<Value = NetworkErrors> {
    prop_oneof![
        Just(NetworkErrors::NONE),
        (0.0..0.2, 0.0..0.2, 0.0..0.2, 0.0..0.3).prop_map(|(loss, duplicate, late, stale)| {
            NetworkErrors {
                loss,
                duplicate,
                late,
                stale,
            }
        }),
    ]
}

proptest! {
    /// Guards against two owners at one time, uncommitted owners in routing tables and ownership
    /// epochs that decrease, under random orders of faults and messages.
    #[test]
    fn ownership_is_exclusive(
        seed: u64,
        uses_front_daemons: bool,
        network_errors in network_errors(),
        faults in faults(),
    ) {
        let mut simulation = match uses_front_daemons {
            true => Simulation::with_front_daemons(seed, network_errors),
            false => Simulation::new(seed, network_errors),
        };
        for (fault, at, length) in faults {
            simulation.schedule_fault(fault, at, length);
        }
        simulation.run(28_000);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
    }

    /// Guards against states from which the group does not recover after all faults have ended.
    #[test]
    fn group_recovers_after_faults(seed: u64, uses_front_daemons: bool, faults in faults()) {
        let mut simulation = match uses_front_daemons {
            true => Simulation::with_front_daemons(seed, NetworkErrors::NONE),
            false => Simulation::new(seed, NetworkErrors::NONE),
        };
        for (fault, at, length) in faults {
            simulation.schedule_fault(fault, at, length);
        }
        simulation.run(28_000);
        let took = simulation.run_until(20_000, Simulation::is_served);
        prop_assert!(took.is_some(), "served {} of {PARTITIONS}", simulation.served());
        simulation.run(2_000);
        prop_assert!(simulation.is_served(), "served {} of {PARTITIONS}", simulation.served());
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
    }
}

/// The faults of the failure table in the design document, on controller `c` and target 0.
fn fault_sets(c: usize) -> [(&'static str, Vec<Fault>); 8] {
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

/// Guards against failures that only a combination of two faults causes: two owners or no recovery.
/// Prints for each pair the longest time in milliseconds without any partition served, and without
/// all partitions served.
#[test_case(false; "targets check grants")]
#[test_case(true; "front daemons")]
fn pairs_of_faults(uses_front_daemons: bool) {
    for first in 0..8 {
        for second in 0..8 {
            let mut worst = (0, 0);
            for offset in [0, 150, 450, 900, 1_400] {
                let (any, all) = unserved(uses_front_daemons, first, second, offset);
                worst = (worst.0.max(any), worst.1.max(all));
            }
            let names = (fault_sets(0)[first].0, fault_sets(0)[second].0);
            println!("{} | {} | {} | {}", names.0, names.1, worst.0, worst.1);
        }
    }
}

/// Longest time without any partition served, and longest time without all partitions served.
fn unserved(uses_front_daemons: bool, first: usize, second: usize, offset: u64) -> (u64, u64) {
    let mut simulation = match uses_front_daemons {
        true => Simulation::with_front_daemons(7, NetworkErrors::NONE),
        false => Simulation::new(7, NetworkErrors::NONE),
    };
    let took = simulation.run_until(5_000, Simulation::is_served);
    assert!(took.is_some(), "not served after the start");
    simulation.run(1_000);
    let holder = simulation.holder().expect("there is a holder");
    for (kind, at) in [(first, 0), (second, offset)] {
        for fault in &fault_sets(holder)[kind].1 {
            simulation.schedule_fault(*fault, at, 6_000);
        }
    }
    let (mut none, mut some, mut longest) = (0, 0, (0, 0));
    for _ in 0..3_000 {
        simulation.run(5);
        none = if simulation.served() == 0 {
            none + 5
        } else {
            0
        };
        some = if simulation.is_served() { 0 } else { some + 5 };
        longest = (longest.0.max(none), longest.1.max(some));
    }
    let names = (fault_sets(0)[first].0, fault_sets(0)[second].0);
    assert!(simulation.is_served(), "{names:?} {offset}: no recovery");
    assert!(
        simulation.violations.is_empty(),
        "{names:?} {:?}",
        simulation.violations
    );
    longest
}
