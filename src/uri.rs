//! Builds the addresses of calls from texts with any characters.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Bytes that are escaped in path segments and query values: all but the unreserved ones of RFC 3986.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'~');

/// Percent-encodes `text` for a path segment or a query value.
pub fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

/// A path with a query of these names and values, which may contain any characters.
pub fn with_query(path: &str, parameters: &[(&str, &str)]) -> String {
    let query: Vec<String> = parameters
        .iter()
        .map(|(name, value)| format!("{name}={}", escape(value)))
        .collect();
    format!("{path}?{}", query.join("&"))
}
