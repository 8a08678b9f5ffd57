//! Request rates of partitions, and the rate limit of moves that balance load.

use crate::{clock::Millis, partition::Partition};

/// Least length of a measurement window.
const WINDOW: Millis = Millis(5_000);
/// Weight of the newest window in the moving average (EWMA).
const EWMA_WEIGHT: f64 = 0.5;

/// Request rate of each partition, as an exponentially weighted moving average over windows.
#[derive(Clone, Debug)]
pub struct PartitionRates {
    counts: Vec<u32>,
    rates: Vec<f64>,
    since: Millis,
}

impl PartitionRates {
    /// Starts with rates of 0 and a window from `now`.
    pub fn new(partitions: u32, now: Millis) -> Self {
        Self {
            counts: vec![0; partitions as usize],
            rates: vec![0.0; partitions as usize],
            since: now,
        }
    }

    /// Adds request counts reported by a target.
    pub fn add(&mut self, reported: &[(Partition, u32)]) {
        for &(partition, count) in reported {
            if let Some(total) = self.counts.get_mut(partition.0 as usize) {
                *total = total.saturating_add(count);
            }
        }
    }

    /// Requests per second of each partition; updates the average if the window is complete.
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

/// Token bucket that limits the moves made to balance load.
#[derive(Clone, Debug)]
pub struct MoveBudget {
    tokens: f64,
    filled: Millis,
}

impl MoveBudget {
    /// Creates an empty bucket, so that repeated takeovers do not allow more moves.
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

    /// Takes tokens for `moves` moves.
    pub fn spend(&mut self, moves: u32) {
        self.tokens -= f64::from(moves);
    }
}
