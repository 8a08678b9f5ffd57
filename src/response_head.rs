//! Checks of heads of responses that the HTTP parser accepts.

use http::{StatusCode, response::Parts};

/// What is wrong with the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedHead {
    /// The status is not one of a final response.
    #[error("{0} is not the status of a final response")]
    Status(StatusCode),
}

/// Checks the head of a response that ends an exchange. After a malformed one, it is unknown what the
/// connection carries.
///
/// # Errors
/// [`MalformedHead`] if it is no final response of HTTP/1.1.
pub fn check(parts: &Parts) -> Result<(), MalformedHead> {
    // RFC 9110, section 15: statuses are 100 to 599, and those below 200 are interim ones.
    match parts.status.as_u16() {
        200..=599 => Ok(()),
        _ => Err(MalformedHead::Status(parts.status)),
    }
}
