//! Guards against limits that endpoints name and that are misread, missed or kept too long. No
//! network.

use fireflygauge::{
    clock::Millis,
    gateway::{
        claim::Claim,
        model::EndpointInstance,
        rate_limit::{
            Announcement, LimitReport, PermitReply, Rate, RateLimit, RateLimits, announced,
            is_urgent, not_known,
        },
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

fn life(started_at_ms: u64) -> EndpointInstance {
    EndpointInstance {
        started_at_ms,
        ..endpoint()
    }
}

fn report(per_second: Option<f64>, age: u64) -> LimitReport {
    LimitReport {
        endpoint: endpoint(),
        per_second,
        age: Millis(age),
    }
}

/// A limit of 5 requests per second that a response at 1,000 ms named.
fn limited() -> (RateLimits, std::sync::Arc<RateLimit>) {
    let mut limits = RateLimits::default();
    let limit = limits.of(&endpoint());
    limit.record(named(5.0), Millis(900), Millis(1_000));
    (limits, limit)
}

/// Guards against reports of other daemons that are older than what this one knows, and against
/// values of a peer that are no limits.
#[test_case(Some(3.0), 500, Some(3.0); "later limit")]
#[test_case(Some(3.0), 1_500, Some(5.0); "earlier limit")]
#[test_case(None, 500, None; "later end")]
#[test_case(None, 1_500, Some(5.0); "earlier end")]
#[test_case(Some(f64::NAN), 500, Some(5.0); "not a number")]
#[test_case(Some(-1.0), 500, Some(5.0); "negative")]
#[test_case(Some(f64::INFINITY), 500, Some(1e9); "infinite")]
fn the_latest_knowledge_of_a_limit_counts(
    per_second: Option<f64>,
    age: u64,
    expected: Option<f64>,
) {
    let (mut limits, limit) = limited();
    limits.record_heard(&[report(per_second, age)], Millis::ZERO, Millis(2_000));
    let rate = limit.current().map(|limit| limit.rate.per_second());
    assert_eq!(rate, expected);
}

/// Guards against a later life that is held to the limit of a former one, and against a limit that a
/// late report of the former life brings back.
#[test]
fn a_later_life_starts_without_a_limit() {
    let (mut limits, _) = limited();
    limits.end_earlier_lives(&life(2));
    let later = limits.of(&life(2));
    limits.record_heard(&[report(Some(5.0), 10)], Millis::ZERO, Millis(2_000));
    assert_eq!(later.current(), None);
    assert!(later.may_send(Millis(2_000)));
}

/// Guards against requests without a permit, and against permits that are used twice or late.
#[test]
fn each_request_needs_a_permit_of_its_own() {
    let (limits, limit) = limited();
    assert!(!limit.may_send(Millis(1_100)));
    let requests = limits.take_requests(Millis(1_100));
    assert_eq!(requests.len(), 1, "{requests:?}");
    let reply = PermitReply {
        permits: 1,
        waited: Millis(50),
        interval: Millis(200),
    };
    limits.record_reply(&endpoint(), Some(reply), Millis(1_160));
    assert!(limit.may_send(Millis(1_170)));
    limit.take_permit(Millis(1_170));
    assert!(!limit.may_send(Millis(1_171)));
    limits.take_requests(Millis(1_171));
    limits.record_reply(&endpoint(), Some(reply), Millis(1_230));
    assert!(!limit.may_send(Millis(1_721)), "the permit has ended");
}

/// Guards against a frozen daemon that uses permits from before its pause.
#[test]
fn permits_that_arrive_late_are_void() {
    let (limits, limit) = limited();
    assert!(!limit.may_send(Millis(1_100)));
    limits.take_requests(Millis(1_100));
    let reply = PermitReply {
        permits: 3,
        waited: Millis(100),
        interval: Millis(200),
    };
    limits.record_reply(&endpoint(), Some(reply), Millis(1_700));
    assert!(!limit.may_send(Millis(1_700)));
}

/// Guards against a reply of a peer that makes permits valid for ever, or grants them without bound.
#[test]
fn a_reply_that_cannot_be_true_is_bounded() {
    let (limits, limit) = limited();
    assert!(!limit.may_send(Millis(1_100)));
    limits.take_requests(Millis(1_100));
    let reply = PermitReply {
        permits: u32::MAX,
        waited: Millis(u64::MAX),
        interval: Millis(u64::MAX),
    };
    limits.record_reply(&endpoint(), Some(reply), Millis(1_110));
    let mut sent = 0;
    while limit.may_send(Millis(1_120)) {
        limit.take_permit(Millis(1_120));
        sent += 1;
    }
    assert!(sent <= 64, "{sent} permits");
    limits.take_requests(Millis(1_120));
    limits.record_reply(&endpoint(), Some(reply), Millis(1_130));
    assert!(!limit.may_send(Millis(1_640)), "the permits have ended");
    let returns = limit.next_return(Millis(2_000), Claim::Take, Millis(1_640));
    assert!(returns.is_none_or(|returns| *returns.end() <= Millis(2_000)));
}

/// Guards against callers that are all told to return at the same moment, or later than they wait.
#[test]
fn rejected_callers_return_one_permit_apart() {
    let (_, limit) = limited();
    let latest = Millis(1_650);
    let next = || limit.next_return(latest, Claim::Take, Millis(1_000));
    let returns: Vec<_> = (0..4)
        .map(|_| next().expect("a limit is in force"))
        .collect();
    let exactly = |ms| Millis(ms)..=Millis(ms);
    assert_eq!(
        returns[..3],
        [exactly(1_200), exactly(1_400), exactly(1_600)]
    );
    assert!(*returns[3].end() <= latest, "{returns:?}");
}

/// Guards against a change that reaches the other daemons late, and against a small one that makes
/// the controller reply to all of them at once.
#[test_case(Some(5.0), None, 1, true; "new")]
#[test_case(None, Some(5.0), 1, true; "ended")]
#[test_case(Some(5.0), Some(10.0), 1, true; "halved")]
#[test_case(Some(5.0), Some(5.1), 1, false; "slightly changed")]
#[test_case(Some(5.0), Some(5.0), 0, false; "known")]
fn daemons_are_told_what_they_lack(
    known: Option<f64>,
    reported: Option<f64>,
    lacking: usize,
    urgent: bool,
) {
    let reported = [report(reported, 0)];
    let unknown = not_known(&[report(known, 0)], &reported);
    assert_eq!(unknown.len(), lacking);
    assert_eq!(is_urgent(&unknown, &reported), urgent);
}
