//! Request rates of partitions, and the budget of moves.

use crate::{clock::Millis, partition::Partition};

/// Length of a measuring window.
const WINDOW: Millis = Millis(5_000);
/// Weight of the newest window in the smoothed rate.
const EWMA_WEIGHT: f64 = 0.5;

/// Smoothed request rates.
#[derive(Clone, Debug)]
pub struct Heat {
    counts: Vec<u32>,
    rates: Vec<f64>,
    since: Millis,
}

impl Heat {
    /// No requests seen yet.
    pub fn new(partitions: u32, now: Millis) -> Self {
        Self {
            counts: vec![0; partitions as usize],
            rates: vec![0.0; partitions as usize],
            since: now,
        }
    }

    /// Counts requests that a target reported.
    pub fn add(&mut self, reported: &[(Partition, u32)]) {
        for &(partition, count) in reported {
            if let Some(total) = self.counts.get_mut(partition.0 as usize) {
                *total = total.saturating_add(count);
            }
        }
    }

    /// Requests a second of each partition; folds the window in once it is complete.
    pub fn rates(&mut self, now: Millis) -> &[f64] {
        let elapsed = now.since(self.since);
        if elapsed >= WINDOW {
            let seconds = elapsed.0 as f64 / 1_000.0;
            for (rate, count) in self.rates.iter_mut().zip(&mut self.counts) {
                *rate += EWMA_WEIGHT * (f64::from(*count) / seconds - *rate);
                *count = 0;
            }
            self.since = now;
        }
        &self.rates
    }
}

/// Moves that placement may make to even out load, refilled over time.
#[derive(Clone, Debug)]
pub struct MoveBudget {
    tokens: f64,
    filled: Millis,
}

impl MoveBudget {
    /// An empty budget, so that repeated takeovers do not add up to more moves.
    pub fn new(now: Millis) -> Self {
        Self {
            tokens: 0.0,
            filled: now,
        }
    }

    /// Moves allowed now at a rate of `per_minute`.
    pub fn available(&mut self, per_minute: u32, now: Millis) -> u32 {
        let minutes = now.since(self.filled).0 as f64 / 60_000.0;
        let limit = f64::from(per_minute);
        self.tokens = (self.tokens + minutes * limit).min(limit);
        self.filled = now;
        self.tokens as u32
    }

    /// Counts `moves` as made.
    pub fn spend(&mut self, moves: u32) {
        self.tokens -= f64::from(moves);
    }
}
