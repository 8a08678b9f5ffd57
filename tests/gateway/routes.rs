//! Guards against requests that are sent to the wrong route or service.

use fireflygauge::{
    clock::Millis,
    gateway::{
        model::{RetryPolicy, Route, Share},
        routes::RouteTable,
    },
};
use test_case::test_case;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Allowed,
        timeout: Millis(1_000),
        latency_objective: Millis(300),
        priority: 1,
        max_attempts: 2,
        shares: shares
            .iter()
            .map(|(service, weight)| Share {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
    }
}

/// Guards against requests that reach another route's service.
#[test_case("a.example", "/x/y/1", Some("long"); "longest prefix")]
#[test_case("a.example", "/x/z", Some("short"); "shorter prefix")]
#[test_case("a.example:8080", "/x/z", Some("short"); "host with a port")]
#[test_case("A.Example", "/x/z", Some("short"); "host in other case")]
#[test_case("b.example", "/x/z", None; "unknown host")]
#[test_case("a.example", "/xy", None; "prefix without its slash")]
fn finds_the_matching_route(host: &str, path: &str, name: Option<&str>) {
    let table = RouteTable::new(&[
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
    ]);
    assert_eq!(table.find(host, path).map(|e| &*e.route.name), name);
}

/// Guards against a traffic split that deviates from the weights in a short run of requests.
#[test_case(90.0, 10.0)]
#[test_case(50.0, 50.0)]
#[test_case(1.0, 2.0)]
fn splits_requests_by_weight(a: f64, b: f64) {
    let table = RouteTable::new(&[route("r", "h", "/", &[("a", a), ("b", b)])]);
    let entry = table.find("h", "/").expect("a route");
    let to_a = (0..100)
        .filter(|_| {
            entry
                .next_share()
                .is_some_and(|share| &*share.service.0 == "a")
        })
        .count();
    let expected = 100.0 * a / (a + b);
    assert!((to_a as f64 - expected).abs() <= 3.0, "{to_a} of 100");
}
