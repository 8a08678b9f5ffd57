//! Keys with a Zipf distribution whose hot keys change.

use rand::Rng;
use rand_distr::{Distribution, Zipf};

/// Keys of which the lowest ranks are hot; which keys hold these ranks changes with time.
#[derive(Clone, Debug)]
pub struct Keys {
    count: u64,
    ranks: Option<Zipf<f64>>,
    drift_ms: u64,
}

/// By how many ranks the keys shift at each drift. A prime that is far larger than the number of
/// hot ranks, so that the hot keys of one period are ordinary ones in the next.
const DRIFT_STRIDE: u64 = 7_919;

impl Keys {
    /// Keys `0..count` with exponent `zipf`; 0 makes them equally likely.
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
