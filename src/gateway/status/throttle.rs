//! Bounds how often costly reports are given. Callers that do not behave reach the status address too,
//! and its reports are made on the request thread.

use crate::clock::Millis;
use std::sync::{Mutex, PoisonError};

/// Length of a window.
const WINDOW: Millis = Millis(1_000);
/// Most reports in a window.
const MAX_PER_WINDOW: u32 = 10;

/// Counts the reports in the current window.
#[derive(Debug, Default)]
pub struct Throttle {
    state: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    started: Millis,
    count: u32,
}

impl Throttle {
    /// Counts a report at `now`. False if there were too many.
    pub fn admit(&self, now: Millis) -> bool {
        let mut window = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.started) >= WINDOW {
            *window = Window {
                started: now,
                count: 0,
            };
        }
        window.count = window.count.saturating_add(1);
        window.count <= MAX_PER_WINDOW
    }
}
