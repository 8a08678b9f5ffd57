//! How busy keys are and how fast endpoints work, as counted by all daemons.

use super::{
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
/// Weight of a report's work time in the average.
const WORK_WEIGHT: f64 = 0.3;

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
    work_ms: Map<Arc<str>, f64>,
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
        for work in heat.work.iter().filter(|work| work.requests > 0) {
            let mean = work.total_ms as f64 / f64::from(work.requests);
            let known = self
                .work_ms
                .entry(Arc::clone(&work.endpoint))
                .or_insert(mean);
            *known += WORK_WEIGHT * (mean - *known);
        }
    }

    /// Lets past requests fade.
    pub fn decay(&mut self, now: Millis) {
        let share = (-(now.since(self.decayed).0 as f64) / MEMORY_MS).exp();
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

    /// Average work time at an endpoint, in milliseconds; that of all endpoints if this one's is
    /// not known, and `None` if nothing is known.
    pub fn work_ms(&self, endpoint: &str) -> Option<f64> {
        let known = self.work_ms.get(endpoint).copied();
        known.or_else(|| {
            let count = self.work_ms.len();
            (count > 0).then(|| self.work_ms.values().sum::<f64>() / count as f64)
        })
    }
}
