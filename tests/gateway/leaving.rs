//! Guards against requests to endpoints that have left, and against endpoints that stay unused
//! although they did not leave.

use crate::{
    fake_endpoint::{Behavior, FakeEndpoint},
    fake_platform,
};
use bytes::Bytes;
use fireflygauge::{
    clock::{Clock, Millis},
    collections::Map,
    gateway::{
        backend::{Backend, Shared},
        body_memory::BodyMemory,
        budget::BudgetRule,
        model::{Configuration, EndpointEntry, EndpointInstance, KeyRange, Service},
        owners::{OwnedRange, Owners},
        send::{Exchange, NotRun, OutgoingRequest, SendContext, send},
        view::{View, ViewBuilder},
    },
    world::ZoneName,
};
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::{net::SocketAddr, time::Duration};
use test_case::test_case;

/// Time for which a leaving endpoint continues to serve.
pub const DRAIN: Millis = Millis(2_000);

/// Sends a request to `backend` as the only daemon.
pub async fn send_one(backend: &Backend, clock: Clock) -> Exchange {
    send_as("1", backend, clock).await
}

/// Sends a request with this id.
pub async fn send_as(id: &'static str, backend: &Backend, clock: Clock) -> Exchange {
    let out = OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: HeaderValue::from_static(id),
        class: "r".into(),
    };
    let left = Duration::from_secs(2);
    let cx = SendContext {
        names: &fake_platform::names(),
        body_memory: &BodyMemory::of_process(64 * 1024 * 1024),
        daemons: 1,
        clock,
    };
    send(backend, &out, cx, left).await
}

/// Registry entry of an endpoint of a keyed service.
pub fn entry(draining: bool, addr: SocketAddr) -> EndpointEntry {
    EndpointEntry {
        instance: EndpointInstance {
            name: "e".into(),
            started_at_ms: 1,
        },
        service: "s".into(),
        addr,
        zone: "a".into(),
        slots: 4,
        draining,
        remaining_warmup: Millis::ZERO,
        sequence: 0,
    }
}

pub fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A builder with a service without endpoints, for a daemon in zone `a`.
pub fn builder_with(service: &str, keyed: bool) -> ViewBuilder {
    builder_in("a", service, keyed)
}

/// A builder with a service without endpoints, for a daemon in `zone`.
pub fn builder_in(zone: &str, service: &str, keyed: bool) -> ViewBuilder {
    let rule = BudgetRule {
        ratio: 0.2,
        extra: 50.0,
        window: Millis(10_000),
    };
    let mut builder = ViewBuilder::new(ZoneName(zone.into()), rule, DRAIN);
    let service = Service {
        name: service.into(),
        keyed,
        max_connections: 100,
        warmup_rate: None,
    };
    let services: Map<_, _> = [(service.name.clone(), service)].into_iter().collect();
    builder.set_config(Configuration {
        version: 1,
        services,
        ..Configuration::default()
    });
    builder
}

/// A builder with a keyed service whose keys belong to one endpoint.
pub fn builder() -> ViewBuilder {
    let mut builder = builder_with("s", true);
    let range = OwnedRange {
        keys: KeyRange { first: 0, last: 9 },
        owner: entry(false, local(1)).instance,
        addr: local(1),
        token: 1,
        handover: None,
    };
    builder.set_owners("s".into(), 1, Owners::new(vec![range]));
    builder.register(entry(false, local(1)), Millis::ZERO, Millis::ZERO);
    builder
}

pub fn has_owner(view: &View, now: Millis) -> bool {
    view.services[&"s".into()].owner_of(5, now).is_some()
}

/// Guards against requests that reach an endpoint after its drain time because the daemon learned
/// late that it leaves.
#[test_case(0, 700, true; "while the keys move")]
#[test_case(0, 900, false; "after the grace")]
#[test_case(1_300, 1_350, true; "shortly after late notice")]
#[test_case(1_300, 1_500, false; "too late after late notice")]
#[test_case(1_700, 1_701, false; "after very late notice")]
fn a_leaving_owner_is_used_for_a_limited_time(seen_after: u64, checked_after: u64, used: bool) {
    let mut builder = builder();
    let noticed = Millis(10_000);
    let seen = noticed + Millis(seen_after);
    builder.build(seen);
    builder.register(entry(true, local(1)), noticed, seen);
    let view = builder.build(seen);
    assert_eq!(has_owner(&view, noticed + Millis(checked_after)), used);
}

/// Guards against an endpoint that stays unused although it did not leave after all.
#[test]
fn an_endpoint_that_is_ready_again_is_used_again() {
    let mut builder = builder();
    builder.register(entry(true, local(1)), Millis(0), Millis(5_000));
    builder.build(Millis(5_000));
    builder.register(entry(false, local(1)), Millis(0), Millis(6_000));
    assert!(has_owner(&builder.build(Millis(6_000)), Millis(6_000)));
}

/// Guards against endpoints that have left and are used for another 2 s as deferred removals,
/// although the controller knows that the store lost no entries: only this daemon was cut off from
/// the store.
#[test]
fn deferred_removals_can_be_applied_at_once() {
    let mut builder = builder();
    let (now, later) = (Millis(5_000), Millis(5_100));
    builder.build(now);
    builder.remove("e", Some(Millis(7_100)), now);
    let view = builder.build(now);
    assert!(has_owner(&view, now), "the removal is deferred");
    assert!(builder.apply_all_removals(later));
    assert!(!has_owner(&view, later), "pending requests are not sent");
    assert!(!has_owner(&builder.build(later), later));
}

/// Guards against a request that waits for a connection while its endpoint starts to leave, and is
/// sent once the connection is open.
#[tokio::test]
async fn nothing_is_sent_to_an_endpoint_that_began_to_leave() {
    let endpoint = FakeEndpoint::start(Behavior::Ok).await;
    let clock = Clock::start();
    let backend = Backend::new(entry(false, endpoint.addr), Shared::default(), clock.now());
    let result = send_one(&backend, clock).await;
    assert!(matches!(result, Exchange::Answered(_)), "{result:?}");
    backend.close_at(clock.now());
    let result = send_one(&backend, clock).await;
    assert!(
        matches!(result, Exchange::NotRun(NotRun::Leaving)),
        "{result:?}"
    );
    assert_eq!(endpoint.arrivals(), 1);
}
