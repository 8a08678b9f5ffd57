//! Guards against what was observed of an endpoint being attributed to another one that has since
//! started at its address or under its name.

use crate::{
    fake_endpoint::{Behavior, FakeEndpoint},
    leaving::{builder_with, send_one},
    lives::entry,
};
use fireflygauge::{
    clock::{Clock, Millis},
    gateway::{
        backend::{Backend, ExchangeOutcome, Load},
        current_instances::CurrentInstances,
        load_stats::{LoadReport, LoadStats, ProcessingTime, ServiceLoad},
        model::{EndpointEntry, KeyRange},
        registry::{EndpointChange, EndpointChanges, Registration, Registry},
        relative_latency::{RelativeLatencies, RelativeLatencyReport},
        send::Exchange,
        view::{View, ViewBuilder},
    },
};
use std::sync::Arc;
use test_case::test_case;

/// Report of a daemon that measured 20 slow requests at the endpoint `e`.
fn slow_report() -> LoadReport {
    LoadReport {
        services: vec![ServiceLoad {
            service: "s".into(),
            keys: vec![(1, 20)],
            processing: vec![ProcessingTime {
                endpoint: "e".into(),
                requests: 20,
                total_ms: 20_000,
            }],
        }],
        relative_latencies: vec![RelativeLatencyReport {
            endpoint: "e".into(),
            count: 20,
            sum: 100.0,
        }],
    }
}

/// Guards against an endpoint that counts as slow because a daemon that does not know of its start
/// yet reports what it measured at the earlier one under its name.
#[test_case(1, 8, true; "the only one known")]
#[test_case(2, 8, false; "not known to the daemon, later start time")]
#[test_case(2, 9, true; "known to the daemon")]
#[test_case(0, 8, false; "not known to the daemon, clock set back")]
fn only_measurements_of_the_registered_endpoint_count(
    started_at_ms: u64,
    known_version: u64,
    counted: bool,
) {
    let mut instances = CurrentInstances::default();
    assert!(instances.record(&entry("e", "s", 1).instance, 5));
    let is_new = instances.record(&entry("e", "s", started_at_ms).instance, 9);
    assert_eq!(is_new, started_at_ms != 1);
    instances.record(&entry("e", "s", started_at_ms).instance, 12);
    let mut report = slow_report();
    instances.retain_current(&mut report, known_version);
    assert_eq!(report.relative_latencies.len(), usize::from(counted));
    assert_eq!(report.services[0].processing.len(), usize::from(counted));
    assert_eq!(report.services[0].keys, [(1, 20)], "keys outlast endpoints");
}

/// Guards against measurements of an earlier endpoint that stay in the aggregates after another one
/// was registered under its name.
#[test]
fn measurements_end_with_the_endpoint() {
    let report = slow_report();
    let mut stats = LoadStats::default();
    stats.add(&report.services[0], Millis(100));
    assert!(stats.processing_ms("e", 100.0) > 800.0);
    stats.forget("e");
    assert!((stats.processing_ms("e", 100.0) - 100.0).abs() < 0.1);

    let mut latencies = RelativeLatencies::default();
    let known = ["e".into()].into_iter().collect();
    latencies.add(&report.relative_latencies);
    latencies.refresh(&known, Millis(100));
    let first = latencies.changes_after(1, 0);
    assert!(first.latencies[0].1 > 4.0, "{first:?}");
    latencies.forget("e");
    latencies.refresh(&known, Millis(200));
    let second = latencies.changes_after(1, first.version);
    assert_eq!(second.latencies, [("e".into(), 1.0)]);
}

const KEYS: KeyRange = KeyRange { first: 0, last: 9 };

fn backend(view: &View, name: &str) -> Option<Arc<Backend>> {
    let members = &view.services[&"s".into()].members;
    let member = members
        .iter()
        .find(|member| &*member.backend.entry.instance.name == name);
    member.map(|member| Arc::clone(&member.backend))
}

fn register(builder: &mut ViewBuilder, entry: EndpointEntry, now: Millis) -> Arc<Backend> {
    let name = Arc::clone(&entry.instance.name);
    builder.register(entry, Millis::ZERO, now);
    backend(&builder.build(now), &name).expect("it is registered")
}

/// Records failures, load, a denied key and another endpoint at the address.
fn record_all(backend: &Backend, now: Millis) {
    let load = Load {
        running: 4,
        waiting: 40,
        slots: 4,
    };
    backend.record_not_owner(KEYS.first, 1, now);
    let outcomes = [
        (ExchangeOutcome::Failed, None),
        (ExchangeOutcome::Failed, None),
        (ExchangeOutcome::Failed, None),
        (ExchangeOutcome::Replaced, None),
        (ExchangeOutcome::Shed, Some(load)),
    ];
    for (outcome, load) in outcomes {
        assert!(backend.try_acquire(now));
        backend.release(outcome, load, &"r".into(), 1, now);
    }
}

/// Whether nothing keeps requests from the endpoint.
fn is_unused(backend: &Backend, now: Millis) -> bool {
    !backend.is_ejected(now)
        && !backend.is_replaced(now)
        && backend.held_back_until(KEYS.first, 1, now).is_none()
        && backend.wait_ms(0, 0.0, now) < 1.0
        && backend.in_flight() == 0
        && backend.try_acquire(now)
}

/// Guards against failures, load, held-back keys and ejections of an endpoint that are attributed to
/// the one that was started at its address.
#[test_case("e", 3; "same id")]
#[test_case("e", 1; "same id, clock set back")]
#[test_case("other", 3; "another id")]
#[test_case("other", 1; "another id, clock set back")]
fn observations_end_with_the_endpoint(name: &str, started_at_ms: u64) {
    let now = Millis(10_000);
    let mut builder = builder_with("s", true);
    let earlier = register(&mut builder, entry("e", "s", 2), now);
    earlier.set_relative_latency(5.0);
    let before_ms = earlier.estimated_end_ms(100.0, now);
    record_all(&earlier, now);
    assert!(earlier.is_ejected(now) && earlier.is_replaced(now));
    assert!(earlier.wait_ms(0, 0.0, now) > 1.0 && !earlier.try_acquire(now));
    let renewed = register(&mut builder, entry("e", "s", 2), now);
    assert!(
        Arc::ptr_eq(&earlier, &renewed),
        "a heartbeat keeps the state"
    );

    let next = register(&mut builder, entry(name, "s", started_at_ms), now);
    assert!(next.estimated_end_ms(100.0, now) < before_ms / 4.0);
    assert_eq!(earlier.is_open(now), name != "e", "its row was replaced");
    earlier.record_not_owner(KEYS.first, 1, now);
    assert!(
        is_unused(&next, now),
        "late observations do not count either"
    );
}

/// Guards against requests on idle connections that were opened to an earlier endpoint.
#[test_case("e", 2; "same id")]
#[test_case("other", 2; "another id")]
#[tokio::test]
async fn idle_connections_end_with_the_endpoint(name: &str, started_at_ms: u64) {
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    let at_address = |name, started_at_ms| EndpointEntry {
        addr: endpoint.addr,
        ..entry(name, "s", started_at_ms)
    };
    let clock = Clock::start();
    let mut builder = builder_with("s", true);
    let earlier = register(&mut builder, at_address("e", 1), clock.now());
    let next = register(&mut builder, at_address(name, started_at_ms), clock.now());
    for (backend, connections) in [(&earlier, 1), (&next, 2)] {
        backend.reopen();
        let result = send_one(backend, clock).await;
        assert!(matches!(result, Exchange::Answered(_)), "{result:?}");
        assert_eq!(endpoint.connections(), connections);
    }
}

/// Guards against an earlier endpoint at an address that is passed to the controller as the latest
/// one, because a snapshot lists rows in any order or the row was read late.
#[test]
fn endpoints_are_in_the_order_of_their_rows() {
    let mut registry = Registry::default();
    let mut builder = builder_with("s", true);
    let mut apply = |rows: &[(&str, u64)]| {
        let changes = rows.iter().map(|(name, version)| EndpointChange {
            name: (*name).into(),
            version: *version,
            registration: Registration::Present(entry(name, "s", 1)),
        });
        let version = rows.iter().map(|(_, version)| *version).max();
        let changes = EndpointChanges {
            changes: changes.collect(),
            version: version.expect("there are rows"),
            is_snapshot: false,
            may_have_lapsed: false,
        };
        for change in registry.apply(changes) {
            if let Registration::Present(entry) = change.registration {
                builder.register(entry, Millis::ZERO, Millis::ZERO);
            }
        }
        let entries = builder.entries().into_iter();
        entries
            .map(|entry| entry.instance.name.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(apply(&[("c", 7), ("a", 5), ("b", 6)]), ["a", "b", "c"]);
    assert_eq!(apply(&[("b", 8)]), ["a", "c", "b"]);
    assert_eq!(apply(&[("a", 4), ("c", 9)]), ["a", "b", "c"]);
}

/// Guards against an endpoint that stays unknown because its clock was set back before its start,
/// and against an earlier row that comes back.
#[test]
fn the_newest_row_of_an_endpoint_counts() {
    let mut registry = Registry::default();
    let mut apply = |version, started_at_ms| {
        let change = EndpointChange {
            name: "e".into(),
            version,
            registration: Registration::Present(entry("e", "s", started_at_ms)),
        };
        registry.apply(EndpointChanges {
            changes: vec![change],
            version,
            is_snapshot: false,
            may_have_lapsed: false,
        });
        let known = registry.changes_after(0).changes.pop();
        match known.map(|change| change.registration) {
            Some(Registration::Present(entry)) => entry.instance.started_at_ms,
            other => panic!("unexpected {other:?}"),
        }
    };
    assert_eq!(apply(5, 2_000), 2_000);
    assert_eq!(apply(6, 1_500), 1_500);
    assert_eq!(apply(5, 2_000), 1_500);
}
