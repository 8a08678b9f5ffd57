//! Since when all responses from an address have said that the endpoint there leaves.

use crate::clock::Millis;
use std::sync::atomic::{AtomicU64, Ordering};

const NONE: u64 = u64::MAX;

/// The run of responses from an endpoint's name and address that all say that it leaves.
///
/// A registry entry tells of a new life at the address only later. Until then its responses are
/// taken for those of the former life, whose notice ends with it. The run goes on: an endpoint that
/// leaves says so in all its responses, so the new life cannot have left before the run began.
#[derive(Debug)]
pub struct LeavingRun {
    /// When the first response of the run arrived, in milliseconds; [`NONE`] if the last response
    /// did not say that the endpoint leaves.
    since_ms: AtomicU64,
}

impl Default for LeavingRun {
    fn default() -> Self {
        Self {
            since_ms: AtomicU64::new(NONE),
        }
    }
}

impl LeavingRun {
    /// Records a response at `now` that says that the endpoint leaves. Returns when the run began.
    pub fn record_leaving(&self, now: Millis) -> Millis {
        let began =
            self.since_ms
                .compare_exchange(NONE, now.0, Ordering::AcqRel, Ordering::Acquire);
        began.map_or_else(Millis, |_| now)
    }

    /// When the run began; `None` if the last response did not say that the endpoint leaves.
    pub fn since(&self) -> Option<Millis> {
        let since_ms = self.since_ms.load(Ordering::Acquire);
        (since_ms != NONE).then_some(Millis(since_ms))
    }

    /// Records a response to a request sent at `sent_at` that does not say that the endpoint leaves.
    /// If the request was sent before the run began, the endpoint may have written the response
    /// before that, and the run goes on.
    pub fn record_staying(&self, sent_at: Millis) {
        let since_ms = self.since_ms.load(Ordering::Acquire);
        if since_ms < sent_at.0 {
            // A failure means that another response has ended this run.
            let _ =
                self.since_ms
                    .compare_exchange(since_ms, NONE, Ordering::AcqRel, Ordering::Acquire);
        }
    }
}
