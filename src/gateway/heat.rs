//! How busy keys are and how fast endpoints work, as counted by all daemons.

use super::{
    fading::FadingMean,
    model::{Key, KeyRange},
    pace::PaceReport,
};
use crate::{clock::Millis, collections::Map, world::ServiceName};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Time after which a past request counts 1/e of a present one.
const MEMORY_MS: f64 = 1_500.0;
/// Rate below which a key is forgotten, in requests a second.
const FORGET_BELOW: f64 = 0.01;
/// Time after which a past work time counts 1/e of a present one. Each daemon reports a few
/// requests at a time, whose work times differ widely.
const WORK_MEMORY_MS: f64 = 8_000.0;
/// Requests with the average work time that are assumed at every endpoint.
const ASSUMED_REQUESTS: f64 = 4.0;

/// Requests and work times that one daemon counted since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HeatReport {
    /// Counts by keyed service.
    pub services: Vec<ServiceHeat>,
    /// Paces of endpoints of all services.
    pub paces: Vec<PaceReport>,
}

/// Counts of one keyed service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceHeat {
    /// The service.
    pub service: ServiceName,
    /// Requests by key.
    pub keys: Vec<(Key, u32)>,
    /// Work time of requests that found a free slot, by endpoint.
    pub work: Vec<WorkTime>,
}

/// Work times seen at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkTime {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Requests.
    pub requests: u32,
    /// Their time together, in milliseconds.
    pub total_ms: u64,
}

/// Rates by key and work times by endpoint of one service.
#[derive(Clone, Debug, Default)]
pub struct HeatMap {
    rates: BTreeMap<Key, f64>,
    /// Work times of requests that found a free slot, by endpoint.
    work: Map<Arc<str>, FadingMean>,
    decayed: Millis,
}

impl HeatMap {
    /// Takes in what one daemon counted.
    pub fn add(&mut self, heat: &ServiceHeat, now: Millis) {
        self.decay(now);
        for (key, count) in &heat.keys {
            // A steady rate r adds r * dt every dt, and decays to r with this scale.
            *self.rates.entry(*key).or_default() += f64::from(*count) * 1_000.0 / MEMORY_MS;
        }
        for report in &heat.work {
            let work = self.work.entry(Arc::clone(&report.endpoint)).or_default();
            work.add(report.requests, report.total_ms as f64);
        }
    }

    /// Lets past requests fade.
    pub fn decay(&mut self, now: Millis) {
        let past = now.since(self.decayed).0 as f64;
        let share = (-past / MEMORY_MS).exp();
        let work_share = (-past / WORK_MEMORY_MS).exp();
        self.work.retain(|_, work| {
            work.fade(work_share);
            work.count > FORGET_BELOW
        });
        self.decayed = now;
        self.rates.retain(|_, rate| {
            *rate *= share;
            *rate > FORGET_BELOW
        });
    }

    /// Requests a second for `keys`.
    pub fn rate(&self, keys: KeyRange) -> f64 {
        self.rates
            .range(keys.first..=keys.last)
            .map(|(_, rate)| rate)
            .sum()
    }

    /// Busy keys in `keys`, with their rates.
    pub fn keys(&self, keys: KeyRange) -> impl DoubleEndedIterator<Item = (Key, f64)> + '_ {
        self.rates
            .range(keys.first..=keys.last)
            .map(|(key, rate)| (*key, *rate))
    }

    /// Requests a second for all keys.
    pub fn total(&self) -> f64 {
        self.rates.values().sum()
    }

    /// Average work time at all endpoints, in milliseconds; `None` if none is known.
    pub fn mean_work_ms(&self) -> Option<f64> {
        let requests: f64 = self.work.values().map(|work| work.count).sum();
        let total_ms: f64 = self.work.values().map(|work| work.sum).sum();
        (requests > 0.0).then(|| total_ms / requests)
    }

    /// Average work time at an endpoint, in milliseconds, where that at all endpoints is `mean_ms`.
    pub fn work_ms(&self, endpoint: &str, mean_ms: f64) -> f64 {
        let known = self.work.get(endpoint).copied().unwrap_or_default();
        known.mean(ASSUMED_REQUESTS, mean_ms)
    }
}
