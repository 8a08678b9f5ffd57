//! Rate limit of log lines about refusals.

use fireflygauge::{
    clock::Millis,
    routing::log_limit::{LINES_PER_SECOND, LogLimit},
};

/// Guards against a log that grows with the load, and against suppressed lines that are not counted.
#[test]
fn lines_beyond_the_limit_are_counted() {
    let limit = LogLimit::default();
    let allowed = (0..200)
        .filter(|i| limit.allow(Millis(5_000 + i)).is_some())
        .count();
    assert_eq!(allowed as u32, LINES_PER_SECOND);
    assert_eq!(
        limit.allow(Millis(6_000)),
        Some(200 - u64::from(LINES_PER_SECOND))
    );
    assert_eq!(limit.allow(Millis(6_001)), Some(0));
}
