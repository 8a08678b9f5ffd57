//! Rate limit of log lines about refusals, of which overload causes thousands a second.

use crate::clock::Millis;
use std::sync::{Mutex, PoisonError};

/// Largest number of log lines in one second.
pub const LINES_PER_SECOND: u32 = 50;

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed: u64,
}

/// Counts log lines in windows of one second.
#[derive(Debug, Default)]
pub struct LogLimit {
    window: Mutex<Window>,
}

impl LogLimit {
    /// Requests a log line at time `now`. Returns the number of lines suppressed since the last
    /// allowed one, or `None` if this line is suppressed too.
    pub fn allow(&self, now: Millis) -> Option<u64> {
        let second = now.0 / 1_000;
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
