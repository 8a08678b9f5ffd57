//! Recent request rates of buckets of adjacent keys. They show a jump of the load before the rates by
//! key, which are smoothed over a longer time, have followed it.
//!
//! Load answered: tens to hundreds of keys, adjacent or not, that get a large part of a service's
//! requests from one moment to the next.

use super::RATE_TIME_CONSTANT_MS;
use crate::{
    clock::Millis,
    gateway::model::{Key, KeyRange},
};

/// Time constant of the recent rates, in milliseconds. It spans more than one interval between the
/// reports of a daemon, so that reports that arrive together do not look like a jump.
pub(super) const TIME_CONSTANT_MS: f64 = 500.0;
/// Keys of a bucket. A jump is found in the sum of their requests, because a single key of many hot
/// ones gets too few to tell.
const BUCKET_KEYS: usize = 128;
/// Number of buckets.
const BUCKETS: usize = (Key::MAX as usize + 1) / BUCKET_KEYS;
/// Factor between the recent rate and the one before it above which a bucket's load has jumped.
const JUMP_RATIO: f64 = 2.0;
/// Standard deviations by which the recent rate must exceed that. There are many buckets and checks,
/// so smaller deviations happen by chance.
const JUMP_DEVIATIONS: f64 = 3.0;
/// Time for which the rates of a bucket follow the recent ones upwards after a jump. The smoothed
/// rates have nearly followed by then.
const FOLLOW_TIME: Millis = Millis(1_500);

/// Time after a jump in which the recent rates are still far below the new load.
const RISE_TIME: Millis = Millis(600);
/// Factor between the new load and the recent rate in that time.
const MAX_GROWTH: f64 = 3.0;

/// Recent rates by bucket.
#[derive(Clone, Debug)]
pub(super) struct RecentRates {
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Requests per second.
    rate: f64,
    /// Until when the rates by key follow the recent ones.
    follows_until: Millis,
}

impl Default for RecentRates {
    fn default() -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKETS],
        }
    }
}

impl RecentRates {
    /// Adds requests for a key.
    pub(super) fn add(&mut self, key: Key, count: u32) {
        self.buckets[bucket_of(key)].rate += f64::from(count) * 1_000.0 / TIME_CONSTANT_MS;
    }

    /// Decays the rates by the time that has passed.
    pub(super) fn decay(&mut self, elapsed_ms: f64) {
        let factor = (-elapsed_ms / TIME_CONSTANT_MS).exp();
        for bucket in &mut self.buckets {
            bucket.rate *= factor;
        }
    }

    /// Factor by which the rate of a key may still grow at `now`.
    pub(super) fn growth(&self, key: Key, now: Millis) -> f64 {
        let follows_until = self.buckets[bucket_of(key)].follows_until;
        let is_rising = now + FOLLOW_TIME < follows_until + RISE_TIME;
        if is_rising { MAX_GROWTH } else { 1.0 }
    }

    /// The buckets whose load has jumped and whose recent rate is above the smoothed one, which
    /// `smoothed` tells for the keys of a bucket.
    pub(super) fn jumps(
        &mut self,
        smoothed: impl Fn(KeyRange) -> f64,
        now: Millis,
    ) -> Vec<KeyRange> {
        let mut jumps = Vec::new();
        for (i, bucket) in self.buckets.iter_mut().enumerate() {
            // Standard deviation of an exponentially weighted rate of independent requests.
            let deviation = (bucket.rate * 1_000.0 / (2.0 * TIME_CONSTANT_MS)).sqrt();
            let certain = bucket.rate - JUMP_DEVIATIONS * deviation;
            let follows = now < bucket.follows_until;
            if certain <= 0.0 && !follows {
                continue;
            }
            let keys = keys_of(i);
            let smoothed = smoothed(keys);
            if !follows && certain > rate_before(bucket.rate, smoothed) * JUMP_RATIO {
                bucket.follows_until = now + FOLLOW_TIME;
            }
            if now < bucket.follows_until && bucket.rate > smoothed {
                jumps.push(keys);
            }
        }
        jumps
    }
}

/// Rate before the time that the recent one spans: what the smoothed rate holds beyond the recent
/// requests.
fn rate_before(recent: f64, smoothed: f64) -> f64 {
    let requests = smoothed * RATE_TIME_CONSTANT_MS - recent * TIME_CONSTANT_MS;
    requests.max(0.0) / (RATE_TIME_CONSTANT_MS - TIME_CONSTANT_MS)
}

/// Index of the bucket of a key.
fn bucket_of(key: Key) -> usize {
    usize::from(key) / BUCKET_KEYS
}

fn keys_of(bucket: usize) -> KeyRange {
    let first = (bucket * BUCKET_KEYS) as Key;
    KeyRange {
        first,
        last: first + (BUCKET_KEYS - 1) as Key,
    }
}
