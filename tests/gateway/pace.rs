//! Paces of endpoints, gathered from what all daemons see.

use crate::leaving::builder_with;
use fireflygauge::{
    clock::Millis,
    collections::Set,
    gateway::{
        backend::ExchangeOutcome,
        model::{EndpointEntry, EndpointRun},
        pace::{PaceReport, Paces, UsualTimes},
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

fn saw(i: usize, count: u32, each: f32) -> PaceReport {
    PaceReport {
        endpoint: name(i),
        count,
        sum: each * count as f32,
    }
}

fn told(paces: &Paces, after: u64) -> Vec<(Arc<str>, u64)> {
    let news = paces.after(1, after);
    let mut told: Vec<_> = news
        .paces
        .iter()
        .map(|(name, pace)| (Arc::clone(name), (pace * 10.0).round() as u64))
        .collect();
    told.sort();
    told
}

/// Guards against comparing a route whose requests are long with one whose requests are short.
#[test]
fn answers_are_compared_within_their_route() {
    let usual = UsualTimes::default();
    let (long, short) = ("long".into(), "short".into());
    for _ in 0..50 {
        usual.compare(&long, Millis(800));
        usual.compare(&short, Millis(100));
    }
    assert!((usual.compare(&long, Millis(800)) - 1.0).abs() < 0.05);
    assert!((usual.compare(&short, Millis(300)) - 3.0).abs() < 0.1);
    assert!((usual.mean_ms() - 450.0).abs() < 60.0);
}

/// Guards against paces that are told although nothing changed, or not told again after a change.
#[test]
fn changes_of_paces_are_told_once() {
    let mut paces = Paces::default();
    let known: Set<_> = [name(0), name(1)].into_iter().collect();
    paces.add(&[saw(0, 100, 2.0), saw(1, 100, 1.0), saw(2, 100, 3.0)]);
    paces.refresh(&known, Millis(0));
    assert_eq!(told(&paces, 0), [(name(0), 20), (name(1), 10)]);
    let version = paces.after(1, 0).version;
    paces.refresh(&known, Millis(10));
    assert_eq!(told(&paces, version), []);
    paces.add(&[saw(0, 300, 4.0)]);
    paces.refresh(&known, Millis(20));
    assert_eq!(told(&paces, version), [(name(0), 35)]);
}

/// Guards against an endpoint that stays branded after it has recovered.
#[test]
fn past_comparisons_fade() {
    let mut paces = Paces::default();
    let known: Set<_> = [name(0)].into_iter().collect();
    paces.add(&[saw(0, 100, 5.0)]);
    paces.refresh(&known, Millis(0));
    paces.refresh(&known, Millis(120_000));
    assert_eq!(told(&paces, 0), [(name(0), 10)]);
}

/// A service whose endpoints are near, every third of them slow.
fn service() -> (ViewBuilder, Arc<ServiceView>) {
    let mut builder = builder_with("s", false);
    for i in 0..ENDPOINTS {
        let entry = EndpointEntry {
            run: EndpointRun {
                name: name(i),
                born_ms: 1,
            },
            service: "s".into(),
            addr: ([127, 0, 0, 1], i as u16).into(),
            zone: "a".into(),
            slots: 4,
            draining: false,
            warmup: Millis::ZERO,
        };
        builder.register(entry, Millis::ZERO, Millis::ZERO);
    }
    builder.build(Millis(10_000));
    let paces: Vec<_> = (0..ENDPOINTS).map(|i| (name(i), pace(i))).collect();
    builder.set_paces(&paces);
    let view = builder.build(Millis(10_000));
    let service = Arc::clone(&view.services[&"s".into()]);
    (builder, service)
}

fn pace(i: usize) -> f32 {
    if i.is_multiple_of(3) { 1.6 } else { 0.7 }
}

/// Guards against requests that reach slow endpoints as often as fast ones, because one of many
/// daemons sends too few of them to tell the two apart, and against all of them at one endpoint.
#[test_case(9; "few daemons")]
#[test_case(72; "many daemons")]
fn fast_endpoints_get_most_requests(daemons: usize) {
    let (_builder, service) = service();
    let mut counts = [0_u32; ENDPOINTS];
    let route = "r".into();
    for _ in 0..6_000 {
        let taken =
            acquire_endpoint(&service, &[], daemons, Millis(20_000)).expect("there is room");
        let backend = taken.backend;
        backend.give_back(
            ExchangeOutcome::Neutral,
            None,
            &route,
            daemons,
            Millis(20_000),
        );
        let i = (0..ENDPOINTS).find(|i| name(*i) == backend.entry.run.name);
        counts[i.expect("a known name")] += 1;
    }
    let slow: u32 = counts.iter().step_by(3).sum();
    assert!(slow < 600, "{slow} of 6000 requests at slow endpoints");
    let most = counts.iter().max().expect("there are some");
    assert!(*most < 600, "{most} of 6000 requests at one endpoint");
}
