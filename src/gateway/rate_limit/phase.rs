//! Random offsets, so that daemons do not send at the same times.

use crate::clock::Millis;

/// Part of an interval that passes before the first of a sequence of requests. It is drawn once, so
/// that the time of the first request follows from the state.
#[derive(Clone, Copy, Debug)]
pub(super) struct Phase(f64);

impl Phase {
    /// The offset within an interval.
    pub(super) fn of(self, interval_ms: f64) -> Millis {
        Millis((self.0 * interval_ms) as u64)
    }
}

impl Default for Phase {
    fn default() -> Self {
        Self(rand::random())
    }
}
