//! References: short identifiers of responses that a caller quotes to an operator.
//!
//! The format is `<daemon>.<time>.<code>.<id>`, with the time in milliseconds since the Unix epoch
//! and the id of the request, both in base 36. A reference can be explained without the daemon that
//! issued it.

use super::{outcome::OutcomeKind, refusal::Code};
use crate::world::VmName;
use jiff::Timestamp;
use serde::Serialize;
use std::{
    fmt,
    str::FromStr,
    time::{SystemTime, UNIX_EPOCH},
};

/// A decoded reference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reference {
    /// The daemon that sent the response.
    pub daemon: VmName,
    /// Wall-clock time of the response, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Reason for the outcome.
    pub code: Code,
    /// Id of the request; `x-request-id` at the target starts with it.
    pub id: u64,
}

/// Error in the text of a reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReferenceError {
    /// It does not have four parts.
    #[error("a reference has four parts separated by dots")]
    Shape,
    /// The time or the id is not a number in base 36.
    #[error("the time or the id of the reference is not a number")]
    Number,
    /// This version does not have the code.
    #[error("unknown code in the reference")]
    Code,
}

/// Content of a reference, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The daemon that sent the response.
    pub daemon: VmName,
    /// Time of the response, as an RFC 3339 timestamp.
    pub at: String,
    /// Whether the request may have run.
    pub outcome: OutcomeKind,
    /// Reason for the outcome.
    pub code: Code,
    /// The reason in one sentence.
    pub reason: &'static str,
    /// Start of `x-request-id` in the target's records.
    pub request_id: String,
}

/// Decodes a reference without a request to the daemon that issued it.
///
/// # Errors
/// [`ReferenceError`] if `text` is not a reference.
pub fn explain(text: &str) -> Result<Explanation, ReferenceError> {
    let reference: Reference = text.trim().parse()?;
    let at = Timestamp::from_millisecond(reference.at_ms as i64)
        .map_err(|_| ReferenceError::Number)?
        .to_string();
    Ok(Explanation {
        daemon: reference.daemon,
        at,
        outcome: reference.code.kind(),
        code: reference.code,
        reason: reference.code.reason(),
        request_id: Base36(reference.id).to_string(),
    })
}

impl fmt::Display for Reference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, id) = (Base36(self.at_ms), Base36(self.id));
        write!(f, "{}.{at}.{}.{id}", self.daemon, self.code)
    }
}

impl FromStr for Reference {
    type Err = ReferenceError;

    fn from_str(text: &str) -> Result<Self, ReferenceError> {
        // Split from the end, since the name of a VM may contain dots.
        let mut parts = text.rsplitn(4, '.');
        let mut next = || parts.next().ok_or(ReferenceError::Shape);
        let (id, code, at, daemon) = (next()?, next()?, next()?, next()?);
        if daemon.is_empty() {
            return Err(ReferenceError::Shape);
        }
        let number = |part| u64::from_str_radix(part, 36).map_err(|_| ReferenceError::Number);
        Ok(Self {
            daemon: VmName::from(daemon),
            at_ms: number(at)?,
            code: code.parse().map_err(|_| ReferenceError::Code)?,
            id: number(id)?,
        })
    }
}

/// Displays a number in base 36, with lower-case letters.
#[derive(Clone, Copy, Debug)]
pub struct Base36(pub u64);

impl fmt::Display for Base36 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";
        // 36^13 exceeds u64::MAX.
        let mut buf = [0; 13];
        let (mut rest, mut at) = (self.0, buf.len());
        loop {
            at -= 1;
            buf[at] = DIGITS[(rest % 36) as usize];
            rest /= 36;
            if rest == 0 {
                break;
            }
        }
        f.write_str(std::str::from_utf8(&buf[at..]).expect("the digits are ASCII"))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}
