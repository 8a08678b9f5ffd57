//! Guards against limits that endpoints name and that are misread, missed or kept too long. No
//! network.

use fireflygauge::{
    clock::Millis,
    gateway::{
        model::EndpointInstance,
        rate_limit::{Announcement, Rate, RateLimit, announced},
    },
};
use http::{HeaderMap, HeaderValue};
use test_case::test_case;

use crate::fake_platform;

fn endpoint() -> EndpointInstance {
    EndpointInstance {
        name: "e".into(),
        started_at_ms: 1,
    }
}

fn headers(values: &[&'static str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let name = &fake_platform::names().rate_limit;
        headers.append(name, HeaderValue::from_static(value));
    }
    headers
}

fn named(per_second: f64) -> Announcement {
    Announcement::Named(Rate::new(per_second).expect("a valid rate"))
}

/// Guards against values that are misread: a limit that is too high overloads an endpoint in need,
/// and a garbled one must not take an endpoint out of service.
#[test_case(&["7.5"], named(7.5); "fraction")]
#[test_case(&[" 8 "], named(8.0); "spaces")]
#[test_case(&["0"], named(0.0); "zero")]
#[test_case(&[".5"], named(0.5); "no whole part")]
#[test_case(&["3."], named(3.0); "no fraction")]
#[test_case(&["0.1000000000000000000000000001"], named(0.1); "more digits than a number holds")]
#[test_case(&["99999999999999999999999999"], named(1e9); "huge")]
#[test_case(&["9", "4.5"], named(4.5); "twice")]
#[test_case(&["x", "4.5"], named(4.5); "one of two valid")]
#[test_case(&[], Announcement::Absent; "absent")]
#[test_case(&[""], Announcement::Unreadable; "empty")]
#[test_case(&["."], Announcement::Unreadable; "only a point")]
#[test_case(&["-1"], Announcement::Unreadable; "negative")]
#[test_case(&["+1"], Announcement::Unreadable; "sign")]
#[test_case(&["1e3"], Announcement::Unreadable; "exponent")]
#[test_case(&["inf"], Announcement::Unreadable; "infinite")]
#[test_case(&["NaN"], Announcement::Unreadable; "not a number")]
#[test_case(&["1.2.3"], Announcement::Unreadable; "two points")]
#[test_case(&["1,2"], Announcement::Unreadable; "list")]
fn a_limit_is_read(values: &[&'static str], expected: Announcement) {
    let names = fake_platform::names();
    assert_eq!(announced(&headers(values), &names, &endpoint()), expected);
}

/// Guards against a limit that another endpoint named.
#[test]
fn a_response_of_another_endpoint_names_no_limit() {
    let mut headers = headers(&["1"]);
    headers.insert("x-instance", HeaderValue::from_static("other"));
    let names = fake_platform::names();
    let announcement = announced(&headers, &names, &endpoint());
    assert_eq!(announcement, Announcement::Unreadable);
}

/// Guards against a limit that is ended by the late response to a request from before the naming, or
/// by a value that cannot be read, and against one that no later response ends.
#[test_case(Announcement::Absent, 90, true; "request before the naming")]
#[test_case(Announcement::Absent, 150, false; "request after the naming")]
#[test_case(Announcement::Unreadable, 150, true; "unreadable value")]
#[test_case(named(3.0), 90, true; "another limit")]
fn a_limit_ends_with_a_later_response(announcement: Announcement, sent_at: u64, is_limited: bool) {
    let limit = RateLimit::default();
    limit.record(named(5.0), Millis(50), Millis(100));
    limit.record(announcement, Millis(sent_at), Millis(200));
    assert_eq!(limit.current().is_some(), is_limited);
}

/// Guards against a rise or a fall that does not count at once.
#[test]
fn a_change_of_a_limit_counts_at_once() {
    let limit = RateLimit::default();
    for per_second in [8.0, 2.0, 16.0] {
        limit.record(named(per_second), Millis(50), Millis(100));
        let rate = limit.current().map(|limit| limit.rate.per_second());
        assert_eq!(rate, Some(per_second));
    }
}
