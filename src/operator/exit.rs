//! Exit codes of the operator's tool.

use strum::FromRepr;

/// Exit code of the tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromRepr)]
#[repr(u8)]
pub enum Exit {
    /// Success, also if there was nothing to change.
    Done = 0,
    /// Refused; nothing was changed.
    Refused = 1,
    /// Invalid usage.
    Usage = 2,
    /// Another operator changed the configuration first; nothing was changed.
    Conflict = 3,
    /// No daemon could be reached, or none could respond.
    Unreachable = 4,
    /// The outcome is unknown, or a change was not confirmed by all daemons in time.
    Unknown = 5,
}
