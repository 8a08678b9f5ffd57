//! Relative latencies of endpoints: their aggregation, and endpoint selection by them.

use crate::leaving::builder_with;
use fireflygauge::{
    clock::Millis,
    collections::Set,
    gateway::{
        backend::ExchangeOutcome,
        cost::{CostEstimates, Observation},
        endpoint_set::FleetPosition,
        model::{EndpointEntry, EndpointInstance},
        relative_latency::{RelativeLatencies, RelativeLatencyReport},
        selection::acquire_endpoint,
        view::{ServiceView, ViewBuilder},
    },
};
use std::sync::Arc;
use test_case::test_case;

const ENDPOINTS: usize = 30;

fn name(i: usize) -> Arc<str> {
    format!("e{i}").into()
}

fn report(i: usize, count: u32, each: f32) -> RelativeLatencyReport {
    RelativeLatencyReport {
        endpoint: name(i),
        count,
        sum: each * count as f32,
    }
}

fn published(latencies: &RelativeLatencies, after: u64) -> Vec<(Arc<str>, u64)> {
    let update = latencies.changes_after(1, after);
    let mut published: Vec<_> = update
        .latencies
        .iter()
        .map(|(name, latency)| (Arc::clone(name), (latency * 10.0).round() as u64))
        .collect();
    published.sort();
    published
}

/// Guards against comparing latencies of a route with long requests to those of one with short
/// requests.
#[test]
fn latencies_are_compared_within_their_route() {
    let costs = CostEstimates::default();
    let (long, short) = ("long".into(), "short".into());
    let record = |class, latency| {
        let observation = Observation::unqueued(Millis(latency));
        costs.record(class, observation, Millis(0))
    };
    for _ in 0..50 {
        record(&long, 800);
        record(&short, 100);
    }
    assert!((record(&long, 800) - 1.0).abs() < 0.05);
    assert!((record(&short, 300) - 3.0).abs() < 0.1);
    assert!((costs.mean_latency_ms() - 450.0).abs() < 60.0);
}

/// Guards against values that are published without a change, or not published after a change.
#[test]
fn changes_are_published_once() {
    let mut latencies = RelativeLatencies::default();
    let known: Set<_> = [name(0), name(1)].into_iter().collect();
    latencies.add(&[
        report(0, 100, 2.0),
        report(1, 100, 1.0),
        report(2, 100, 3.0),
    ]);
    latencies.refresh(&known, Millis(0));
    assert_eq!(published(&latencies, 0), [(name(0), 20), (name(1), 10)]);
    let version = latencies.changes_after(1, 0).version;
    latencies.refresh(&known, Millis(10));
    assert_eq!(published(&latencies, version), []);
    latencies.add(&[report(0, 300, 4.0)]);
    latencies.refresh(&known, Millis(20));
    assert_eq!(published(&latencies, version), [(name(0), 35)]);
}

/// Guards against a high value that persists after the endpoint has recovered.
#[test]
fn past_samples_decay() {
    let mut latencies = RelativeLatencies::default();
    let known: Set<_> = [name(0)].into_iter().collect();
    latencies.add(&[report(0, 100, 5.0)]);
    latencies.refresh(&known, Millis(0));
    latencies.refresh(&known, Millis(120_000));
    assert_eq!(published(&latencies, 0), [(name(0), 10)]);
}

/// A service with all endpoints in the daemon's zone, every third of them slow.
fn service(position: FleetPosition) -> (ViewBuilder, Arc<ServiceView>) {
    let mut builder = builder_with("s", false);
    builder.set_position(position);
    for i in 0..ENDPOINTS {
        let entry = EndpointEntry {
            instance: EndpointInstance {
                name: name(i),
                started_at_ms: 1,
            },
            service: "s".into(),
            addr: ([127, 0, 0, 1], i as u16).into(),
            zone: "a".into(),
            slots: 4,
            draining: false,
            remaining_warmup: Millis::ZERO,
            sequence: 0,
        };
        builder.register(entry, Millis::ZERO, Millis::ZERO);
    }
    builder.build(Millis(10_000));
    let latencies: Vec<_> = (0..ENDPOINTS)
        .map(|i| (name(i), relative_latency(i)))
        .collect();
    builder.set_relative_latencies(&latencies);
    let view = builder.build(Millis(10_000));
    let service = Arc::clone(&view.services[&"s".into()]);
    (builder, service)
}

fn relative_latency(i: usize) -> f32 {
    if i.is_multiple_of(3) { 1.6 } else { 0.7 }
}

/// Guards against slow endpoints that get as many requests as fast ones, because each of many
/// daemons has too few samples of its own, and against sending all requests of the fleet to one
/// endpoint.
#[test_case(9; "few daemons")]
#[test_case(72; "many daemons")]
fn fast_endpoints_get_most_requests(daemons: usize) {
    let mut counts = [0_u32; ENDPOINTS];
    let route = "r".into();
    let services: Vec<_> = (0..daemons)
        .map(|rank| service(FleetPosition::of_rank(rank, daemons)))
        .collect();
    for i in 0..6_000 {
        let (_builder, service) = &services[i % daemons];
        let taken =
            acquire_endpoint(service, 100.0, &[], daemons, Millis(20_000)).expect("there is room");
        let backend = taken.backend;
        backend.release(
            ExchangeOutcome::Neutral,
            None,
            &route,
            daemons,
            Millis(20_000),
        );
        let i = (0..ENDPOINTS).find(|i| name(*i) == backend.entry.instance.name);
        counts[i.expect("a known name")] += 1;
    }
    let slow: u32 = counts.iter().step_by(3).sum();
    assert!(slow < 600, "{slow} of 6000 requests at slow endpoints");
    let most = counts.iter().max().expect("there are some");
    assert!(*most < 600, "{most} of 6000 requests at one endpoint");
}
