//! Guards against wrong decisions on requests that were sent ahead: heads that two parsers may
//! understand differently, and requests that begin while there is no room for them.

use fireflygauge::{
    clock::Millis,
    entry::caller_connection::{HeadScanner, Parsed, parse_head},
    gateway::{
        caller_connections::{Account, CONNECTION_BYTES, ConnectionLimits, Phase},
        memory_pool::MemoryPool,
        sent_ahead::{Conditions, HoldReason, MAX_BEGUN},
    },
};
use proptest::prelude::*;
use test_case::test_case;

const PLAIN: Conditions = Conditions {
    begun: 0,
    is_stopping: false,
    is_output_blocked: false,
    is_connection_memory_half_free: true,
    is_body_memory_half_free: true,
};

#[test_case(PLAIN => None; "nothing against it")]
#[test_case(Conditions { begun: MAX_BEGUN - 1, ..PLAIN } => None; "the last one")]
#[test_case(Conditions { begun: MAX_BEGUN, ..PLAIN } => Some(HoldReason::TooMany); "one too many")]
#[test_case(Conditions { is_stopping: true, ..PLAIN } => Some(HoldReason::Stopping); "stop")]
#[test_case(Conditions { is_output_blocked: true, ..PLAIN } => Some(HoldReason::OutputBlocked); "unread responses")]
#[test_case(Conditions { is_connection_memory_half_free: false, ..PLAIN } => Some(HoldReason::MemoryHalfUsed); "no memory for connections")]
#[test_case(Conditions { is_body_memory_half_free: false, ..PLAIN } => Some(HoldReason::MemoryHalfUsed); "no memory for bodies")]
fn reason_to_wait(conditions: Conditions) -> Option<HoldReason> {
    conditions.hold_reason()
}

/// What becomes of a head with `more` behind its first lines.
fn outcome(start: &str, more: &str) -> &'static str {
    let head = format!("{start}host: h\r\n{more}\r\nGET ");
    match parse_head(head.as_bytes()) {
        Parsed::Complete(_, length) if length == head.len() - 4 => "plain",
        Parsed::Complete(..) => "wrong length",
        Parsed::Barrier => "barrier",
        Parsed::Incomplete => "incomplete",
    }
}

/// Guards against a request that is smuggled behind another one, and against one that runs although it
/// closes or changes the connection.
#[test_case("GET / HTTP/1.1\r\n", "" => "plain"; "no headers")]
#[test_case("\r\nGET / HTTP/1.1\n", "a: b\n" => "plain"; "bare line feeds")]
#[test_case("POST / HTTP/1.1\r\n", "content-length: 0\r\n" => "plain"; "an empty body")]
#[test_case("GET / HTTP/1.1\r\n", "connection: Keep-Alive\r\n" => "plain"; "keep-alive")]
#[test_case("GET / HTTP/1.0\r\n", "" => "barrier"; "version 1.0")]
#[test_case("GET / HTTP/1.1\r\n", "content-length: 1\r\n" => "barrier"; "a body")]
#[test_case("GET / HTTP/1.1\r\n", "content-length: 00\r\n" => "barrier"; "another zero")]
#[test_case("GET / HTTP/1.1\r\n", "content-length: 0\r\ncontent-length: 0\r\n" => "barrier"; "two lengths")]
#[test_case("GET / HTTP/1.1\r\n", "transfer-encoding: identity\r\n" => "barrier"; "an encoding")]
#[test_case("GET / HTTP/1.1\r\n", "connection: close\r\n" => "barrier"; "close")]
#[test_case("GET / HTTP/1.1\r\n", "connection: keep-alive, x-id\r\n" => "barrier"; "named headers")]
#[test_case("GET / HTTP/1.1\r\n", "upgrade: h2c\r\n" => "barrier"; "upgrade")]
#[test_case("CONNECT a:1 HTTP/1.1\r\n", "" => "barrier"; "tunnel")]
#[test_case("GET / HTTP/1.1\r\n", "a: b\r\n c\r\n" => "barrier"; "folded line")]
#[test_case("GET / HTTP/1.1\r\n", "a : b\r\n" => "barrier"; "space before the colon")]
fn head_outcome(start: &str, more: &str) -> &'static str {
    outcome(start, more)
}

/// Guards against a head that is taken for complete or wrong before its last byte has arrived.
#[test]
fn a_piece_of_a_head_is_incomplete() {
    let head = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    for length in 0..head.len() {
        assert!(matches!(parse_head(&head[..length]), Parsed::Incomplete));
    }
}

proptest! {
    /// Guards against an end of a head that differs from the parser's, however the head arrives.
    #[test]
    fn scanner_agrees_with_the_parser(text in "(\r\n)?GET /[a-z]{0,5} HTTP/1.1\r?\n([a-z]{1,3}:[ a-z]{0,4}\r?\n){0,4}\r?\n[A-Z\r\n]{0,6}", split in 0_usize..30) {
        let bytes = text.as_bytes();
        let (first, rest) = bytes.split_at(split.min(bytes.len()));
        let mut scanner = HeadScanner::default();
        let end = match scanner.find_end(first) {
            Some(end) => Some(end),
            None => scanner.find_end(rest).map(|end| first.len() + end),
        };
        if let Parsed::Complete(_, length) = parse_head(bytes) {
            prop_assert_eq!(end, Some(length));
        }
    }
}

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 2,
    max_bytes: 4 * CONNECTION_BYTES,
    stall_timeout: Millis(20_000),
    response_timeout: Millis(120_000),
};

/// Guards against a connection that is closed for another one while a request that was sent ahead on it
/// is at an endpoint.
#[test]
fn requests_ahead_are_not_displaced() {
    let mut account = Account::new(LIMITS, MemoryPool::new(100 * CONNECTION_BYTES));
    let first = account.admit("first").expect("there is room");
    let second = account.admit("second").expect("there is room");
    account.enter(second, Phase::Working);
    account.enter(first, Phase::Response);
    account.begin_ahead(first);
    assert!(account.admit("third").is_none());
    account.end_ahead(first);
    assert!(account.admit("third").is_some());
    assert_eq!(account.begun_ahead(), 1);
}

/// Guards against requests that were sent ahead and take the memory of those whose turn it is.
#[test]
fn memory_held_ahead_is_charged_and_returned() {
    let pool = MemoryPool::new(100 * CONNECTION_BYTES);
    let mut account = Account::new(LIMITS, pool.clone());
    let key = account.admit("first").expect("there is room");
    account.record_ahead(key, CONNECTION_BYTES);
    assert!(account.is_half_free());
    account.record_ahead(key, 2 * CONNECTION_BYTES);
    assert!(!account.is_half_free());
    assert_eq!(account.bytes(), 3 * CONNECTION_BYTES);
    account.remove(key);
    assert_eq!(account.bytes(), 0);
    let all = pool.size();
    assert!(pool.try_take(all), "the pool has all of its memory again");
}
