//! When an idempotent request is sent to a second endpoint while the first has not responded.
//!
//! Handles endpoints that hang, or whose machines are busy for a moment, while others have room. Without a second attempt, the caller waits there until its time is up.

use super::cost::Estimate;
use crate::clock::Millis;
use std::{
    fmt::Write,
    sync::atomic::{AtomicU64, Ordering},
};
use strum::{Display, EnumCount, EnumIter, IntoEnumIterator};

/// Time that has to be left for the second attempt, as a multiple of the expected work.
const MIN_LEFT_FACTOR: f64 = 1.5;

/// Time after the first attempt was sent at which a second one follows, if the first has `left` until
/// the deadline; `None` if the work is unknown, or if there is no time for a second one.
///
/// The first attempt gets the time in which most requests of the class end, but leaves enough for the
/// second one, and never less than the expected work.
pub fn hedge_after(cost: &Estimate, left: Millis) -> Option<Millis> {
    if cost.most_ms <= 0.0 {
        return None;
    }
    let latest_ms = left.0 as f64 - MIN_LEFT_FACTOR * cost.mean_ms;
    let after_ms = cost.most_ms.max(cost.mean_ms).min(latest_ms);
    (after_ms >= cost.mean_ms).then_some(Millis(after_ms as u64))
}

/// What happened with a second attempt. One that won was sent as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum HedgeOutcome {
    /// It was sent.
    Sent,
    /// Its response was the first successful one.
    Won,
    /// No endpoint had room for it, or too little of the retry budget was left.
    NoRoom,
}

/// Numbers of second attempts of a service by outcome.
#[derive(Debug, Default)]
pub struct HedgeCounters {
    counts: [AtomicU64; HedgeOutcome::COUNT],
}

impl HedgeCounters {
    /// Counts an outcome.
    pub fn count(&self, outcome: HedgeOutcome) {
        self.counts[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of attempts with this outcome.
    pub fn get(&self, outcome: HedgeOutcome) -> u64 {
        self.counts[outcome as usize].load(Ordering::Relaxed)
    }

    /// Adds lines for the metrics of `service` to `text`.
    pub fn write_metrics(&self, service: &str, text: &mut String) {
        for outcome in HedgeOutcome::iter() {
            let count = self.get(outcome);
            // Writing to a `String` cannot fail.
            let _ = writeln!(
                text,
                "fireflygauge_hedges{{service=\"{service}\",outcome=\"{outcome}\"}} {count}"
            );
        }
    }
}
