//! Guards against a controller that takes an owner for broken because it has asked daemons for a
//! pause, or that places keys as if an owner with a pause or a limit had all its capacity.

use super::lives::service;
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{Action, Controller, Event},
        load_stats::{LoadStats, ServiceLoad},
        model::{EndpointEntry, EndpointInstance},
        platform::{GrantOutcome, ReleaseOutcome, WriteOutcome},
        rate_limit::Rate,
    },
    world::{Incarnation, ServiceName, VmName},
};
use std::ops::Range;
use test_case::test_case;

/// Time from which the keys are assigned and granted, in milliseconds.
const ASSIGNED_MS: u64 = 8_000;

fn life(name: &str) -> EndpointInstance {
    EndpointInstance {
        name: name.into(),
        started_at_ms: 1,
    }
}

fn endpoint(name: &str, port: u16) -> EndpointEntry {
    EndpointEntry {
        instance: life(name),
        service: "s".into(),
        addr: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining_warmup: Millis::ZERO,
        sequence: 0,
    }
}

/// Steps the controller and returns the ports of the endpoints that were told to release keys.
/// Releases are not answered.
fn releases(
    controller: &mut Controller,
    stats: &Map<ServiceName, LoadStats>,
    times: Range<u64>,
    grant_outcome: GrantOutcome,
) -> Vec<u16> {
    let mut ports = Vec::new();
    for ms in times.step_by(50) {
        for action in controller.step(stats, Millis(ms)) {
            let event = match action {
                Action::Write(id, _) => Event::Written(id, WriteOutcome::Committed(ms)),
                Action::ReadOwners => Event::Owners(Vec::new()),
                Action::Grant(service, id, ..) => Event::Granted(service, id, grant_outcome),
                Action::Release(service, id, addr, ..) => {
                    ports.push(addr.port());
                    Event::Released(service, id, ReleaseOutcome::Unknown)
                }
                other => panic!("unexpected action {other:?}"),
            };
            controller.handle(event, Millis(ms));
        }
    }
    ports
}

/// A controller that has assigned all keys to the endpoints.
fn controller(endpoints: Vec<EndpointEntry>) -> Controller {
    let addr = ([127, 0, 0, 1], 9).into();
    let me = VmName("d".into());
    let incarnation = Incarnation::random();
    let mut controller = Controller::new(me, incarnation, addr, Millis(10_000), Millis::ZERO);
    controller.handle(Event::Lease(0, None), Millis(1));
    controller.handle(Event::Services(vec![service("s", true)]), Millis(1));
    controller.handle(Event::Endpoints(endpoints), Millis(1));
    let times = 1..ASSIGNED_MS;
    let released = releases(
        &mut controller,
        &Map::default(),
        times,
        GrantOutcome::Granted,
    );
    assert!(released.is_empty(), "{released:?}");
    controller
}

/// Guards against a controller that takes all keys away from an endpoint which is alive, but refuses
/// grants during a pause that it has asked daemons for.
#[test_case(true, false; "requested pause")]
#[test_case(false, true; "no pause")]
fn only_endpoints_without_a_pause_lose_keys_for_refused_grants(is_paused: bool, is_broken: bool) {
    let mut controller = controller(vec![endpoint("e", 1)]);
    if is_paused {
        controller.set_pauses([(life("e"), 1.0)].into_iter().collect());
    }
    let times = ASSIGNED_MS..ASSIGNED_MS + 2_000;
    let released = releases(
        &mut controller,
        &Map::default(),
        times,
        GrantOutcome::Refused,
    );
    assert_eq!(!released.is_empty(), is_broken, "{released:?}");
}

/// Guards against a placement that counts an endpoint in a pause with its whole capacity: its keys
/// would stay there, although another one has capacity for them.
#[test_case(1.0, true; "whole capacity missing")]
#[test_case(0.1, false; "a tenth missing")]
fn keys_leave_an_endpoint_whose_capacity_is_missing(missing: f64, moves: bool) {
    let mut controller = controller(vec![endpoint("e", 1), endpoint("f", 2)]);
    controller.set_pauses([(life("e"), missing)].into_iter().collect());
    let released = releases_under_load(&mut controller);
    assert_eq!(!released.is_empty(), moves, "{released:?}");
    assert!(released.iter().all(|port| *port == 1), "{released:?}");
}

/// Guards against keys that stay with an endpoint whose limit is below their load, or that leave one
/// whose limit they do not reach.
#[test_case(2.0, true; "below the load")]
#[test_case(0.0, true; "zero")]
#[test_case(500.0, false; "above the capacity")]
fn keys_leave_an_endpoint_with_a_low_limit(per_second: f64, moves: bool) {
    let mut controller = controller(vec![endpoint("e", 1), endpoint("f", 2)]);
    let rate = Rate::new(per_second).expect("a valid rate");
    controller.set_rate_limits([(life("e"), rate)].into_iter().collect());
    let released = releases_under_load(&mut controller);
    assert_eq!(!released.is_empty(), moves, "{released:?}");
    assert!(released.iter().all(|port| *port == 1), "{released:?}");
}

/// Ports of the endpoints that are told to release keys when all keys have the same load.
fn releases_under_load(controller: &mut Controller) -> Vec<u16> {
    let load = ServiceLoad {
        service: "s".into(),
        keys: (0..64).map(|i| (i * 1_000, 1)).collect(),
        processing: Vec::new(),
    };
    let mut stats = LoadStats::default();
    stats.add(&load, Millis(ASSIGNED_MS));
    let stats = [("s".into(), stats)].into_iter().collect();
    let times = ASSIGNED_MS..ASSIGNED_MS + 100;
    releases(controller, &stats, times, GrantOutcome::Granted)
}
