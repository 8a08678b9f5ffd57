//! Reads what a response says about the endpoint's limit.

use super::Rate;
use crate::gateway::{model::EndpointInstance, platform::HeaderNames};
use http::{HeaderMap, HeaderValue};

/// What a response says about the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Announcement {
    /// It names this limit.
    Named(Rate),
    /// It names none.
    Absent,
    /// It says nothing: the value is not valid, or another endpoint sent the response.
    Unreadable,
}

/// What a response says about the limit of `instance`. The response must be proved to be the answer
/// to a request to this endpoint. Of several limits the lowest valid one counts.
pub fn announced(
    headers: &HeaderMap,
    names: &HeaderNames,
    instance: &EndpointInstance,
) -> Announcement {
    let responder = headers.get(&names.endpoint);
    if responder.is_some_and(|name| name != &*instance.name) {
        return Announcement::Unreadable;
    }
    if !headers.contains_key(&names.rate_limit) {
        return Announcement::Absent;
    }
    let values = headers.get_all(&names.rate_limit).iter();
    let lowest = values
        .filter_map(parse_rate)
        .min_by(|a, b| a.per_second().total_cmp(&b.per_second()));
    lowest.map_or(Announcement::Unreadable, Announcement::Named)
}

/// Parses a decimal number. A sign, an exponent or a word like `inf` is not valid. Digits beyond the
/// precision of a number are rounded, and a number above [`Rate::MAX`] counts as that.
fn parse_rate(value: &HeaderValue) -> Option<Rate> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    Rate::new(text.parse().ok().filter(|_| is_decimal)?)
}
