//! Guards against endpoint sets that leave endpoints out, that all change when one daemon or endpoint
//! does, or that keep requests from endpoints with room.

use crate::leaving::builder_in;
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        backend::ExchangeOutcome,
        control::positions::positions,
        endpoint_set::{Demand, FleetPosition, SetSize, groups},
        model::{EndpointEntry, EndpointInstance},
        selection::acquire_endpoint,
        view::{Member, ServiceView, ViewBuilder},
    },
    world::{VmName, ZoneName},
};
use std::sync::Arc;
use test_case::test_case;

const NOW: Millis = Millis(20_000);
const SIZE: usize = 8;

fn register(builder: &mut ViewBuilder, i: usize, remaining_warmup: Millis) {
    let entry = EndpointEntry {
        instance: EndpointInstance {
            name: format!("e{i:03}").into(),
            started_at_ms: 1,
        },
        service: "s".into(),
        addr: ([127, 0, 0, 1], i as u16).into(),
        zone: ["a", "b"][i % 2].into(),
        slots: 2,
        draining: false,
        remaining_warmup,
        sequence: 0,
    };
    builder.register(entry, Millis::ZERO, Millis::ZERO);
}

/// A service with `endpoints` in each of two zones.
fn service(position: FleetPosition, endpoints: usize) -> (ViewBuilder, Arc<ServiceView>) {
    let mut builder = builder_in("a", "s", false);
    builder.set_position(position);
    (0..2 * endpoints).for_each(|i| register(&mut builder, i, Millis::ZERO));
    let service = Arc::clone(&builder.build(NOW).services[&"s".into()]);
    (builder, service)
}

/// Names of the members of the set, those of the zone only if `is_local`.
fn set(service: &ServiceView, is_local: bool) -> Vec<Arc<str>> {
    let members: Vec<&Member> = service.members.iter().collect();
    let set = groups(members, SIZE, NOW).swap_remove(0);
    let of_zone = set.into_iter().filter(|m| m.is_local || !is_local);
    of_zone
        .map(|m| Arc::clone(&m.backend.entry.instance.name))
        .collect()
}

fn fleet(daemons: usize, endpoints: usize) -> Vec<Vec<Arc<str>>> {
    let position = |rank| FleetPosition::of_rank(rank, daemons);
    let sets = (0..daemons).map(|rank| set(&service(position(rank), endpoints).1, true));
    sets.collect()
}

fn changed(before: &[Arc<str>], after: &[Arc<str>]) -> usize {
    before.iter().filter(|name| !after.contains(name)).count()
}

#[test_case(16, 15; "about as many daemons as endpoints")]
#[test_case(5, 29; "few daemons")]
#[test_case(500, 29; "many daemons")]
fn sets_cover_all_endpoints_evenly(daemons: usize, endpoints: usize) {
    let mut counts: Map<Arc<str>, usize> = Map::default();
    for set in fleet(daemons, endpoints) {
        assert_eq!(set.len(), SIZE);
        set.into_iter()
            .for_each(|name| *counts.entry(name).or_default() += 1);
    }
    let mean = daemons as f64 * SIZE as f64 / endpoints as f64;
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), endpoints);
    assert!(*least.expect("there are some") as f64 >= (mean - 1.5).max(1.0));
    assert!(*most.expect("there are some") as f64 <= mean + 1.5);
}

#[test]
fn one_endpoint_or_daemon_more_changes_at_most_two_members_of_a_set() {
    let before = fleet(16, 15);
    for (i, set) in fleet(16, 16).iter().enumerate() {
        assert!(changed(&before[i], set) <= 2);
    }
    for (i, set) in fleet(17, 15).iter().take(16).enumerate() {
        assert!(changed(&before[i], set) <= 2);
    }
}

#[test]
fn members_that_fail_or_are_full_are_replaced_at_once() {
    let (_builder, service) = service(FleetPosition::default(), 15);
    let before = set(&service, true);
    let of = |name: &str| {
        let mut members = service.members.iter();
        let member = members.find(|m| *m.backend.entry.instance.name == *name);
        &member.expect("it is registered").backend
    };
    assert!(of(&before[0]).try_acquire(NOW));
    for _ in 0..3 {
        assert!(of(&before[1]).try_acquire(NOW));
        of(&before[1]).release(ExchangeOutcome::Failed, None, &"r".into(), 32, NOW);
    }
    assert_eq!(set(&service, true).len(), SIZE + 2);
}

#[test]
fn cold_endpoints_do_not_take_the_place_of_others() {
    let (mut builder, known) = service(FleetPosition::default(), 15);
    let before = set(&known, true);
    (30..60).for_each(|i| register(&mut builder, i, Millis(60_000)));
    let view = builder.build(NOW);
    let after = set(&view.services[&"s".into()], true);
    let is_cold = |name: &&Arc<str>| name[1..].parse::<usize>().is_ok_and(|i| i >= 30);
    assert!(after.iter().any(|name| is_cold(&name)));
    assert!(after.iter().filter(|name| !is_cold(name)).count() >= before.len());
}

#[test]
fn a_full_set_leaves_no_endpoint_unused() {
    let (_builder, service) = service(FleetPosition::default(), 15);
    for _ in 0..service.members.len() {
        assert!(acquire_endpoint(&service, 100.0, &[], 1_000, NOW).is_some());
    }
    assert!(acquire_endpoint(&service, 100.0, &[], 1_000, NOW).is_none());
}

#[test]
fn sets_grow_with_the_rate_and_narrow_slowly() {
    let size = SetSize::default();
    let demand = Demand {
        endpoints: 100,
        daemons: 100,
        latency_ms: 100.0,
    };
    let at = |ms| size.current(&"s".into(), demand, Millis(ms));
    size.count_request(Millis(0));
    assert_eq!(at(0), 6);
    (0..4_000).for_each(|i| size.count_request(Millis(i * 10)));
    let busy = at(40_000);
    assert!(busy > 80, "{busy}");
    assert!(at(42_000) > busy / 2);
    (40..140).for_each(|i| size.count_request(Millis(i * 1_000)));
    assert_eq!(at(140_000), 6);
    assert_eq!(
        at(200_000),
        100,
        "a set without requests saves no connections"
    );
}

#[test_case(12, 1, 12; "as many as a small fleet has")]
#[test_case(60, 3, 60; "few daemons")]
fn few_endpoints_or_daemons_have_sets_of_all(endpoints: usize, daemons: usize, used: usize) {
    let demand = Demand {
        endpoints,
        daemons,
        latency_ms: 100.0,
    };
    assert_eq!(SetSize::default().current(&"s".into(), demand, NOW), used);
}

#[test]
fn positions_are_spread_over_each_zone() {
    let names: Vec<VmName> = (0..4).map(|i| VmName(format!("d{i}").into())).collect();
    let zones: [ZoneName; 2] = ["a".into(), "b".into()];
    let positions = positions(
        names
            .iter()
            .zip([&zones[0], &zones[0], &zones[1], &zones[0]]),
    );
    let of = |i: usize| positions[&names[i]];
    assert_eq!(
        [of(0), of(1), of(3)],
        [0, 1, 2].map(|i| FleetPosition::of_rank(i, 3))
    );
    assert_eq!(of(2), FleetPosition::of_rank(0, 1));
}
