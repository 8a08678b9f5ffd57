//! Choosing an endpoint.

use fireflygauge::{
    clock::Millis,
    gateway::{
        backend::{Backend, ExchangeOutcome, Load, Shared},
        model::{EndpointEntry, EndpointInstance, KeyRange},
    },
};
use test_case::test_case;

/// Daemons that share the endpoint.
const DAEMONS: usize = 62;

fn backend() -> Backend {
    let entry = EndpointEntry {
        instance: EndpointInstance {
            name: "e".into(),
            started_at_ms: 1,
        },
        service: "records".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining_warmup: Millis::ZERO,
    };
    Backend::new(entry, Shared::default(), Millis(0))
}

fn finish(backend: &Backend, outcome: ExchangeOutcome, load: Option<Load>, now: u64) {
    assert!(backend.try_acquire(Millis(now)));
    backend.release(outcome, load, &"r".into(), DAEMONS, Millis(now));
}

/// Guards against an endpoint that keeps getting requests although all fail.
#[test]
fn failures_in_a_row_set_an_endpoint_aside() {
    let backend = backend();
    for i in 0..3 {
        finish(&backend, ExchangeOutcome::Failed, None, i);
    }
    assert!(backend.is_ejected(Millis(10)));
    assert!(!backend.is_ejected(Millis(2_000)));
}

/// Guards against spacing requests out because of refusals that have nothing to do with load.
#[test_case(Load { running: 1, waiting: 0, slots: 4 }, true; "free slots")]
#[test_case(Load { running: 4, waiting: 4, slots: 4 }, false; "no free slots")]
fn only_busy_endpoints_are_spaced_out(load: Load, takes_more: bool) {
    let backend = backend();
    finish(&backend, ExchangeOutcome::Shed, Some(load), 1_000);
    assert_eq!(backend.try_acquire(Millis(1_001)), takes_more);
}

/// Guards against requests that are sent to a long queue.
#[test]
fn a_long_queue_is_left_alone_until_it_has_drained() {
    let backend = backend();
    let load = Load {
        running: 4,
        waiting: 12,
        slots: 4,
    };
    finish(
        &backend,
        ExchangeOutcome::Answered(Millis(100)),
        Some(load),
        1_000,
    );
    assert!(!backend.try_acquire(Millis(1_001)));
    assert!(backend.try_acquire(Millis(1_700)));
}

/// Guards against a storm of requests at an endpoint whose keys are moving.
#[test]
fn keys_that_are_not_owned_are_held_back_for_a_moment() {
    let backend = backend();
    let keys = KeyRange { first: 1, last: 9 };
    backend.record_not_owner(keys, 5, Millis(100));
    assert!(backend.held_back_until(keys, 5, Millis(120)).is_some());
    assert!(backend.held_back_until(keys, 6, Millis(120)).is_none());
    assert!(backend.held_back_until(keys, 5, Millis(400)).is_none());
}

/// Guards against many daemons that together keep an endpoint full although each sends only one
/// request at a time: its answers tell of a long queue, and connections are reset.
#[test]
fn an_endpoint_with_a_long_queue_is_shared_by_all_daemons() {
    let backend = backend();
    let long = Load {
        running: 4,
        waiting: 9,
        slots: 4,
    };
    finish(
        &backend,
        ExchangeOutcome::Answered(Millis(400)),
        Some(long),
        0,
    );
    let wait = backend.wait_ms(0, Millis(0));
    assert!(wait >= 300.0, "opens after {wait} ms");
    let idle = Load {
        running: 1,
        waiting: 0,
        slots: 4,
    };
    for i in 1..6 {
        finish(
            &backend,
            ExchangeOutcome::Answered(Millis(100)),
            Some(idle),
            i * 6_000,
        );
    }
    let wait = backend.wait_ms(0, Millis(36_000));
    assert!(wait < 1.0, "still closed for {wait} ms");
}
