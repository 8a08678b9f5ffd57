//! How long a leaving endpoint is used.

use crate::{
    fake_endpoint::{Answer, FakeEndpoint},
    fake_platform,
};
use bytes::Bytes;
use fireflygauge::{
    clock::{Clock, Millis},
    collections::Map,
    gateway::{
        backend::{Backend, Shared},
        budget::BudgetRule,
        model::{Configuration, EndpointEntry, EndpointInstance, KeyRange, Service},
        owners::{OwnedRange, Owners},
        send::{Exchange, NotRun, OutgoingRequest, send},
        view::{View, ViewBuilder},
    },
    world::ZoneName,
};
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::{net::SocketAddr, time::Duration};
use test_case::test_case;

/// Time for which a leaving endpoint goes on serving.
const DRAIN: Millis = Millis(2_000);

/// Sends a request to `backend`, which one daemon uses.
pub async fn send_one(backend: &Backend, clock: Clock) -> Exchange {
    let out = OutgoingRequest {
        method: Method::GET,
        uri: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: HeaderValue::from_static("1"),
        route: "r".into(),
    };
    let left = Duration::from_secs(2);
    send(backend, &out, &fake_platform::names(), left, 1, clock).await
}

/// The entry of an endpoint of a keyed service.
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
    }
}

fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A builder that knows a service without endpoints, for a daemon in zone `a`.
pub fn builder_with(service: &str, keyed: bool) -> ViewBuilder {
    let rule = BudgetRule {
        ratio: 0.2,
        extra: 50.0,
        window: Millis(10_000),
    };
    let mut builder = ViewBuilder::new(ZoneName("a".into()), rule, DRAIN);
    let service = Service {
        name: service.into(),
        keyed,
        max_connections: 100,
    };
    let services: Map<_, _> = [(service.name.clone(), service)].into_iter().collect();
    builder.set_config(Configuration {
        version: 1,
        services,
        ..Configuration::default()
    });
    builder
}

/// A builder that knows a keyed service whose keys belong to one endpoint.
fn builder() -> ViewBuilder {
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

fn has_owner(view: &View, now: Millis) -> bool {
    view.services[&"s".into()].owner_of(5, now).is_some()
}

/// Guards against requests that reach an endpoint after the time for which it goes on serving,
/// because its leaving was learnt late.
#[test_case(0, 700, true; "while the keys move")]
#[test_case(0, 900, false; "after the grace")]
#[test_case(1_300, 1_350, true; "a moment after late news")]
#[test_case(1_300, 1_500, false; "too late after late news")]
#[test_case(1_700, 1_701, false; "after very late news")]
fn a_leaving_owner_is_used_for_a_while(news_after: u64, asked_after: u64, used: bool) {
    let mut builder = builder();
    let noticed = Millis(10_000);
    let seen = noticed + Millis(news_after);
    builder.build(seen);
    builder.register(entry(true, local(1)), noticed, seen);
    let view = builder.build(seen);
    assert_eq!(has_owner(&view, noticed + Millis(asked_after)), used);
}

/// Guards against an endpoint that stays closed although it did not leave after all.
#[test]
fn an_endpoint_that_is_ready_again_is_used_again() {
    let mut builder = builder();
    builder.register(entry(true, local(1)), Millis(0), Millis(5_000));
    builder.build(Millis(5_000));
    builder.register(entry(false, local(1)), Millis(0), Millis(6_000));
    assert!(has_owner(&builder.build(Millis(6_000)), Millis(6_000)));
}

/// Guards against endpoints that have left and are used for 2 s more, as entries that the store may
/// have lost, although the controller knows that it has not: the daemon alone was cut off.
#[test]
fn entries_that_nobody_else_expects_back_are_dropped() {
    let mut builder = builder();
    let (now, later) = (Millis(5_000), Millis(5_100));
    builder.build(now);
    builder.remove("e", Some(Millis(7_100)), now);
    let view = builder.build(now);
    assert!(has_owner(&view, now), "it may return");
    assert!(builder.apply_all_removals(later));
    assert!(
        !has_owner(&view, later),
        "requests on their way are not sent"
    );
    assert!(!has_owner(&builder.build(later), later));
}

/// Guards against a request that was on its way to a connection when its endpoint was seen leaving,
/// and is sent when the connection is open.
#[tokio::test]
async fn nothing_is_sent_to_an_endpoint_that_was_closed_meanwhile() {
    let endpoint = FakeEndpoint::start(Answer::Ok).await;
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
