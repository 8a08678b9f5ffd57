//! Decides whether a request that was sent ahead of the responses before it may begin.
//!
//! This answers callers that send further idempotent requests before the first one is answered. The
//! bounds keep a connection with many of them from taking more room than others.

use strum::Display;

/// Most requests of a connection that have begun while the one before them is being served.
pub const MAX_BEGUN: usize = 8;

/// What the decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conditions {
    /// Requests of the connection that have begun and whose turn has not come.
    pub begun: usize,
    /// Whether the process stops. A response may then be the last one of its connection.
    pub is_stopping: bool,
    /// Whether the caller does not take the responses before it.
    pub is_output_blocked: bool,
    /// Whether enough memory for connections is left for those that are not ahead.
    pub is_connection_memory_half_free: bool,
    /// Whether enough memory for bodies is left for those that are not ahead.
    pub is_body_memory_half_free: bool,
}

/// Why a request has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HoldReason {
    /// The process stops.
    Stopping,
    /// As many as are allowed have begun.
    TooMany,
    /// The caller does not take its responses.
    OutputBlocked,
    /// Memory runs short.
    MemoryHalfUsed,
}

impl Conditions {
    /// Why the request has to wait for its turn, or for better conditions; `None` if it may begin.
    pub fn hold_reason(&self) -> Option<HoldReason> {
        if self.is_stopping {
            Some(HoldReason::Stopping)
        } else if self.begun >= MAX_BEGUN {
            Some(HoldReason::TooMany)
        } else if self.is_output_blocked {
            Some(HoldReason::OutputBlocked)
        } else if !self.is_connection_memory_half_free || !self.is_body_memory_half_free {
            Some(HoldReason::MemoryHalfUsed)
        } else {
            None
        }
    }
}
