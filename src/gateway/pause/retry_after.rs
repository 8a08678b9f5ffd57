//! Reads the pause that a response requests.

use crate::clock::Millis;
use http::{HeaderMap, StatusCode, header};

/// Longest pause that is represented. It exceeds the life of any endpoint, and keeps sums of times
/// from overflowing.
const MAX_ANNOUNCED: Millis = Millis(365 * 24 * 3_600 * 1_000);

/// The pause that a response requests; `None` if it is not a 503 or has no valid `Retry-After`.
///
/// Whether the request ran does not matter: the endpoint wants no others in either case. Of several
/// values the longest counts.
pub fn requested_pause(status: StatusCode, headers: &HeaderMap) -> Option<Millis> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let values = headers.get_all(header::RETRY_AFTER).iter();
    values
        .filter_map(|value| parse_seconds(value.to_str().ok()?.trim()))
        .max()
}

/// Parses a decimal number of seconds, rounded up to milliseconds. A sign, an exponent or a date is
/// not valid; the time of a date cannot be told, because clocks of machines are not compared.
fn parse_seconds(text: &str) -> Option<Millis> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_decimal = |digits: &str| digits.bytes().all(|byte| byte.is_ascii_digit());
    if !is_decimal(whole) || !is_decimal(fraction) || (whole.is_empty() && fraction.is_empty()) {
        return None;
    }
    // Only numbers with too many digits fail to parse now.
    let seconds = if whole.is_empty() {
        0
    } else {
        whole.parse::<u64>().unwrap_or(u64::MAX)
    };
    let (digits, rest) = fraction.split_at(fraction.len().min(3));
    let mut fraction_ms = format!("{digits:0<3}").parse::<u64>().ok()?;
    if rest.bytes().any(|byte| byte != b'0') {
        fraction_ms += 1;
    }
    let ms = seconds.saturating_mul(1_000).saturating_add(fraction_ms);
    Some(Millis(ms).min(MAX_ANNOUNCED))
}
