//! Zipf-distributed keys; which keys are hot changes over time.

use rand::Rng;
use rand_distr::{Distribution, Zipf};

/// Draws keys by rank, where the lowest ranks are hot. The assignment of keys to ranks changes every
/// `drift_ms`.
#[derive(Clone, Debug)]
pub struct Keys {
    count: u64,
    ranks: Option<Zipf<f64>>,
    drift_ms: u64,
}

/// Number of ranks by which keys shift at each drift. A prime far larger than the number of hot
/// ranks, so that the hot keys of one period are not hot in the next.
const DRIFT_STRIDE: u64 = 7_919;

impl Keys {
    /// Keys `0..count` with exponent `zipf`; 0 makes them equally likely. With `drift_ms` 0, hot
    /// keys never change.
    pub fn new(count: u64, zipf: f64, drift_ms: u64) -> Self {
        let ranks = (zipf > 0.0).then(|| {
            Zipf::new(count as f64, zipf)
                .expect("the count is positive and the exponent is not negative")
        });
        Self {
            count,
            ranks,
            drift_ms,
        }
    }

    /// Draws a key at `at_ms` since the start.
    pub fn draw(&self, rng: &mut impl Rng, at_ms: u64) -> u64 {
        let rank = match &self.ranks {
            Some(zipf) => zipf.sample(rng) as u64 - 1,
            None => rng.random_range(0..self.count),
        };
        self.key_of_rank(rank, at_ms)
    }

    /// The key that holds `rank` (0 is the hottest) at `at_ms` since the start.
    pub fn key_of_rank(&self, rank: u64, at_ms: u64) -> u64 {
        let period = at_ms.checked_div(self.drift_ms).unwrap_or(0);
        (rank + period * DRIFT_STRIDE) % self.count
    }
}
