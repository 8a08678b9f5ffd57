//! Request rates by key and processing times by endpoint, aggregated from the reports of all
//! daemons.

mod recent;

use super::{
    decaying_mean::DecayingMean,
    model::{Key, KeyRange},
    relative_latency::RelativeLatencyReport,
};
use crate::{clock::Millis, collections::Map, world::ServiceName};
use recent::RecentRates;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Time constant of the request rates: a request's weight falls to 1/e in this time.
const RATE_TIME_CONSTANT_MS: f64 = 1_500.0;
/// Shortest time between two decays. Reports of hundreds of daemons arrive within milliseconds.
const DECAY_INTERVAL: Millis = Millis(50);
/// Shortest time between two checks for jumps of the load.
const JUMP_CHECK_INTERVAL: Millis = Millis(100);
/// Value at or below which an entry is removed: a key's rate in requests per second, or an
/// endpoint's decayed number of requests.
const REMOVAL_THRESHOLD: f64 = 0.01;
/// Time constant of the processing times. It is longer because each daemon reports only a few
/// requests at a time, whose processing times differ widely.
const PROCESSING_TIME_CONSTANT_MS: f64 = 8_000.0;
/// Weight of the prior in an endpoint's processing time, as a number of requests that took the mean
/// time of all endpoints.
const PRIOR_REQUESTS: f64 = 4.0;

/// What one daemon measured since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Counts of each keyed service.
    pub services: Vec<ServiceLoad>,
    /// Relative latencies of the endpoints of all services.
    pub relative_latencies: Vec<RelativeLatencyReport>,
}

/// Counts of one keyed service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceName,
    /// Number of requests by key.
    pub keys: Vec<(Key, u32)>,
    /// Processing times of requests that found a free slot, by endpoint.
    pub processing: Vec<ProcessingTime>,
}

/// Processing times observed at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessingTime {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Number of requests.
    pub requests: u32,
    /// Sum of their processing times, in milliseconds.
    pub total_ms: u64,
}

/// Weight of a new count, relative to the first one, above which all rates are scaled down.
const MAX_COUNT_WEIGHT: f64 = 1e6;

/// A rate over two times, each to be divided by the weight of a count that is added now; or these
/// weights.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedRates {
    smoothed: f64,
    recent: f64,
}

impl WeightedRates {
    const ONE: Self = Self {
        smoothed: 1.0,
        recent: 1.0,
    };
}

/// Request rates by key and processing times by endpoint of one service, both decayed
/// exponentially.
///
/// Rates are not decayed one by one with each report. A new count is added with a weight that grows
/// with time instead, so the work for a report depends on its size and not on the number of keys.
#[derive(Clone, Debug)]
pub struct LoadStats {
    rates: BTreeMap<Key, WeightedRates>,
    /// Weights of a count that is added now.
    weights: WeightedRates,
    /// Recent rates of adjacent keys, which show jumps.
    recent: RecentRates,
    /// When the rates were last compared with the recent ones.
    last_jump_check: Millis,
    /// Processing times of requests that found a free slot, by endpoint.
    processing: Map<Arc<str>, DecayingMean>,
    last_decay: Millis,
}

impl Default for LoadStats {
    fn default() -> Self {
        Self {
            rates: BTreeMap::new(),
            weights: WeightedRates::ONE,
            recent: RecentRates::default(),
            last_jump_check: Millis::ZERO,
            processing: Map::default(),
            last_decay: Millis::ZERO,
        }
    }
}

impl LoadStats {
    /// Adds what one daemon measured.
    pub fn add(&mut self, load: &ServiceLoad, now: Millis) {
        self.decay(now);
        for (key, count) in &load.keys {
            // Dividing by the time constant makes a steady request rate converge to its own value.
            let count_per_s = f64::from(*count) * 1_000.0;
            let rate = self.rates.entry(*key).or_default();
            rate.smoothed += count_per_s * self.weights.smoothed / RATE_TIME_CONSTANT_MS;
            rate.recent += count_per_s * self.weights.recent / recent::TIME_CONSTANT_MS;
            self.recent.add(*key, *count);
        }
        for report in &load.processing {
            let processing = self
                .processing
                .entry(Arc::clone(&report.endpoint))
                .or_default();
            processing.add(report.requests, report.total_ms as f64);
        }
    }

    /// Discards the processing times under the name of an endpoint, because another instance was
    /// registered under it.
    pub fn forget(&mut self, endpoint: &str) {
        self.processing.remove(endpoint);
    }

    /// Decays past requests and processing times, and removes entries that have become negligible.
    pub fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.last_decay);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.last_decay = now;
        let elapsed_ms = elapsed.0 as f64;
        let processing_factor = (-elapsed_ms / PROCESSING_TIME_CONSTANT_MS).exp();
        self.processing.retain(|_, processing| {
            processing.decay(processing_factor);
            processing.count > REMOVAL_THRESHOLD
        });
        self.recent.decay(elapsed_ms);
        self.weights.smoothed *= (elapsed_ms / RATE_TIME_CONSTANT_MS).exp();
        self.weights.recent *= (elapsed_ms / recent::TIME_CONSTANT_MS).exp();
        if self.weights.recent > MAX_COUNT_WEIGHT {
            self.rescale_rates();
        }
        if now.since(self.last_jump_check) >= JUMP_CHECK_INTERVAL {
            self.last_jump_check = now;
            self.follow_jumps(now);
        }
    }

    /// Sets the rates of keys whose load has jumped to what was counted recently. The smoothed rates
    /// would need several seconds to follow.
    fn follow_jumps(&mut self, now: Millis) {
        let (rates, weights) = (&self.rates, self.weights);
        let smoothed = |keys| rate_of(rates, keys) / weights.smoothed;
        for keys in self.recent.jumps(smoothed, now) {
            for (_, rate) in self.rates.range_mut(keys.first..=keys.last) {
                rate.smoothed = rate.recent / weights.recent * weights.smoothed;
            }
        }
    }

    /// Divides all rates by the present weights, and removes those that have become negligible.
    fn rescale_rates(&mut self) {
        let weights = std::mem::replace(&mut self.weights, WeightedRates::ONE);
        self.rates.retain(|_, rate| {
            rate.smoothed /= weights.smoothed;
            rate.recent /= weights.recent;
            rate.smoothed > REMOVAL_THRESHOLD
        });
    }

    /// Total rate of `keys`, in requests per second.
    pub fn rate(&self, keys: KeyRange) -> f64 {
        rate_of(&self.rates, keys) / self.weights.smoothed
    }

    /// Keys in `keys` that have a measured rate, in ascending order, with their rates.
    pub fn keys(&self, keys: KeyRange) -> impl DoubleEndedIterator<Item = (Key, f64)> + '_ {
        self.rates
            .range(keys.first..=keys.last)
            .map(|(key, rate)| (*key, rate.smoothed / self.weights.smoothed))
    }

    /// Factor by which the measured rate of a key may still grow, because its load has just jumped.
    pub fn growth_after_jump(&self, key: Key) -> f64 {
        self.recent.growth(key, self.last_jump_check)
    }

    /// Total rate of all keys, in requests per second.
    pub fn total(&self) -> f64 {
        self.rate(KeyRange::ALL)
    }

    /// Mean processing time at all endpoints, in milliseconds; `None` without samples.
    pub fn mean_processing_ms(&self) -> Option<f64> {
        let requests: f64 = self.processing.values().map(|p| p.count).sum();
        let total_ms: f64 = self.processing.values().map(|p| p.sum).sum();
        (requests > 0.0).then(|| total_ms / requests)
    }

    /// Mean processing time at an endpoint, in milliseconds. `mean_ms`, the mean of all endpoints,
    /// is its prior.
    pub fn processing_ms(&self, endpoint: &str, mean_ms: f64) -> f64 {
        let observed = self.processing.get(endpoint).copied().unwrap_or_default();
        observed.mean(PRIOR_REQUESTS, mean_ms)
    }
}

/// Smoothed rate of `keys`, weighted.
fn rate_of(rates: &BTreeMap<Key, WeightedRates>, keys: KeyRange) -> f64 {
    let rates = rates.range(keys.first..=keys.last);
    rates.map(|(_, rate)| rate.smoothed).sum()
}
