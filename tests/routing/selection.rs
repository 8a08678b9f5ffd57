//! Selection of an endpoint, and the health of endpoints.

use fireflygauge::{
    clock::Millis,
    routing::{
        prober::{interval, jittered},
        selection::{Candidate, SelectionPolicy, select},
        target_health::TargetHealth,
    },
    target_api::HealthReport,
    world::Incarnation,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use test_case::test_case;

const SEED: u64 = 11;

fn candidate() -> Candidate {
    Candidate {
        same_zone: true,
        in_flight: 0,
        queued: 0,
        limit: 4.0,
        latency_ms: 5.0,
        load: 0.0,
        slow_start_weight: 1.0,
        failures: 0,
        ejected: false,
        leaving: false,
        tried: false,
    }
}

/// Each candidate's share of 10,000 selections without requests in between.
fn shares(candidates: &[Candidate]) -> Vec<f64> {
    println!("seed={SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut counts = vec![0.0; candidates.len()];
    for _ in 0..10_000 {
        let chosen = select(SelectionPolicy::TwoChoices, candidates, || rng.random());
        counts[chosen.expect("an endpoint")] += 1.0 / 10_000.0;
    }
    counts
}

/// Guards against requests to an endpoint that should get none, and against too large a share for
/// one endpoint.
#[test_case(|c| c.leaving = true, 0.0, 0.0; "leaving_gets_nothing")]
#[test_case(|c| c.ejected = true, 0.0, 0.0; "ejected_gets_nothing")]
#[test_case(|c| c.same_zone = false, 0.0, 0.0; "other_zone_is_not_needed")]
#[test_case(|c| c.tried = true, 0.0, 0.0; "tried_is_avoided")]
#[test_case(|c| c.load = 1.0, 0.0, 0.0; "overloaded_by_report")]
#[test_case(|c| c.in_flight = 4, 0.0, 0.0; "in_flight_limit_reached")]
#[test_case(|c| c.slow_start_weight = 0.1, 0.01, 0.1; "cold_gets_little")]
#[test_case(|c| c.latency_ms = 50.0, 0.0, 0.01; "slow_gets_little")]
#[test_case(|c| c.load = 0.5, 0.0, 0.2; "loaded_gets_less")]
#[test_case(|_| (), 0.2, 0.3; "equal_gets_its_share")]
fn endpoint_gets_its_share(change: fn(&mut Candidate), low: f64, high: f64) {
    let mut candidates = vec![candidate(); 4];
    change(&mut candidates[2]);
    let share = shares(&candidates)[2];
    assert!((low..=high).contains(&share), "share {share}");
}

/// Guards against refusing all requests when only less preferred endpoints are left.
#[test_case(|c| c.ejected = true; "all_ejected")]
#[test_case(|c| c.same_zone = false; "no_endpoint_in_the_zone")]
#[test_case(|c| c.tried = true; "all_tried")]
#[test_case(|c| c.load = 1.0; "all_overloaded")]
fn some_endpoint_is_selected(change: fn(&mut Candidate)) {
    let mut candidates = vec![candidate(); 4];
    candidates.iter_mut().for_each(change);
    assert!(shares(&candidates).iter().sum::<f64>() > 0.99);
}

/// Guards against new requests for a service whose endpoints are all leaving.
#[test]
fn leaving_endpoints_are_never_selected() {
    let mut candidates = vec![candidate(); 3];
    candidates.iter_mut().for_each(|c| c.leaving = true);
    assert_eq!(
        select(SelectionPolicy::TwoChoices, &candidates, || 0.5),
        None
    );
}

/// Guards against ejecting more than half of the endpoints because of a common cause.
#[test]
fn ejected_share_is_capped() {
    let mut candidates = vec![candidate(); 10];
    for (i, c) in candidates.iter_mut().enumerate().take(8) {
        c.ejected = true;
        c.failures = 3 + i as u32;
    }
    let used = shares(&candidates)
        .iter()
        .filter(|&&share| share > 0.0)
        .count();
    assert_eq!(
        used, 5,
        "2 healthy endpoints and the 3 ejected ones with the fewest failures"
    );
}

/// Guards against overloading the endpoints of the local zone while other zones have capacity.
#[test]
fn overloaded_zone_is_not_preferred() {
    let mut candidates = vec![candidate(); 4];
    candidates[0].queued = 4;
    candidates[1].queued = 4;
    candidates[2].same_zone = false;
    candidates[3].same_zone = false;
    let shares = shares(&candidates);
    assert!(shares[2] + shares[3] > 0.99, "{shares:?}");
}

fn report(incarnation: u64) -> HealthReport {
    HealthReport {
        incarnation: Incarnation(incarnation),
        healthy: true,
        leaving: false,
        cold: false,
        in_flight: 0,
        load: 0.2,
        note: "".into(),
    }
}

fn ejected_target(now: u64) -> TargetHealth {
    let mut health = TargetHealth::new(Millis(0));
    (0..3).for_each(|_| health.record_failure(Millis(now)));
    health
}

/// Guards against a target that answers probes but fails requests: it must not be readmitted at
/// once, nor with full weight, and each further ejection must last longer.
#[test]
fn ejected_target_is_readmitted_slowly() {
    let mut health = ejected_target(20_000);
    assert!(health.is_ejected());
    health.record_report(report(1), Millis(20_500));
    assert!(
        health.is_ejected(),
        "a report does not end the ejection early"
    );
    health.record_report(report(1), Millis(21_000));
    assert!(!health.is_ejected());
    assert!(health.slow_start_weight(Millis(21_000)) < 0.2);
    health.record_failure(Millis(21_100));
    assert!(
        health.is_ejected(),
        "one failure after readmission ejects it again"
    );
    health.record_report(report(1), Millis(22_200));
    assert!(health.is_ejected(), "the second ejection is longer");
    health.record_success(Millis(22_300));
    assert!(
        !health.is_ejected(),
        "an answered request ends the ejection at once"
    );
}

/// Guards against acting on outdated or invalid reports.
#[test]
fn reports_expire() {
    let mut health = TargetHealth::new(Millis(0));
    let mut leaving = report(1);
    leaving.leaving = true;
    leaving.load = f64::NAN;
    health.record_report(leaving, Millis(100));
    assert!(health.is_leaving(Millis(200)));
    assert_eq!(health.load(Millis(200)).to_bits(), 0.0_f64.to_bits());
    assert!(!health.is_leaving(Millis(5_200)));
    health.record_draining(Millis(6_000));
    assert!(health.is_leaving(Millis(6_100)));
    health.record_report(report(2), Millis(6_200));
    assert!(
        !health.is_leaving(Millis(6_300)),
        "a restarted target is not draining"
    );
    assert!(health.slow_start_weight(Millis(20_000)) > 0.99);
}

/// Guards against probes that use up a target's slots when 2,500 daemons share it.
#[test_case(8, 1_000; "nine_daemons")]
#[test_case(2_499, 125_000; "target_size")]
fn probes_are_rare(other_daemons: usize, expected: u64) {
    assert_eq!(interval(other_daemons), Millis(expected));
    assert!(jittered(interval(other_daemons), 0.0) < jittered(interval(other_daemons), 1.0));
}
