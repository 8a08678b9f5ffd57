//! Relative latency of endpoints: the latency of an endpoint's responses as a multiple of the mean
//! latency of their classes.
//!
//! Each daemon compares the latency of a response with the mean of its class. Since many daemons
//! send only a few requests each to an endpoint, the controller aggregates the samples of all
//! daemons and distributes the result.

use super::decaying_mean::DecayingMean;
use crate::{
    clock::Millis,
    collections::{Map, Set},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time constant of the aggregate: a sample's weight falls to 1/e in this time.
const TIME_CONSTANT_MS: f64 = 8_000.0;
/// Weight of the prior, as a number of samples with the value 1.
const PRIOR_SAMPLES: f64 = 2.0;
/// Relative change of a value above which it is sent to the daemons again.
const MIN_CHANGE: f64 = 0.1;

/// Samples of one endpoint that one daemon took since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelativeLatencyReport {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Number of samples.
    pub count: u32,
    /// Sum of the samples.
    pub sum: f32,
}

/// Relative latencies that changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelativeLatencyUpdate {
    /// Epoch of the controller that aggregated them.
    pub epoch: u64,
    /// Rises with every change in an epoch.
    pub version: u64,
    /// Relative latency by endpoint name.
    pub latencies: Vec<(Arc<str>, f32)>,
}

/// Relative latencies of all endpoints, as aggregated by the controller.
#[derive(Debug, Default)]
pub struct RelativeLatencies {
    aggregates: Map<Arc<str>, DecayingMean>,
    /// The published values, with the versions at which they last changed.
    published: Map<Arc<str>, (u64, f32)>,
    version: u64,
    last_decay: Millis,
}

impl RelativeLatencies {
    /// Adds the samples of one daemon.
    pub fn add(&mut self, reports: &[RelativeLatencyReport]) {
        for report in reports {
            let aggregate = self
                .aggregates
                .entry(Arc::clone(&report.endpoint))
                .or_default();
            aggregate.add(report.count, f64::from(report.sum));
        }
    }

    /// Discards the samples under the name of an endpoint, because another instance was registered
    /// under it. The next refresh publishes the value without samples if it differs.
    pub fn forget(&mut self, endpoint: &str) {
        if let Some(aggregate) = self.aggregates.get_mut(endpoint) {
            *aggregate = DecayingMean::default();
        }
    }

    /// Decays past samples, removes endpoints that are not `known`, and publishes values that
    /// changed.
    pub fn refresh(&mut self, known: &Set<Arc<str>>, now: Millis) {
        let factor = (-(now.since(self.last_decay).0 as f64) / TIME_CONSTANT_MS).exp();
        self.last_decay = now;
        self.aggregates.retain(|name, aggregate| {
            aggregate.decay(factor);
            known.contains(name)
        });
        self.published.retain(|name, _| known.contains(name));
        let next = self.version + 1;
        for (name, aggregate) in &self.aggregates {
            let latency = aggregate.mean(PRIOR_SAMPLES, 1.0) as f32;
            // Daemons may have a value from an earlier controller, so every value is published
            // once.
            let has_changed = self.published.get(name).is_none_or(|(_, published)| {
                f64::from((latency - published).abs()) > f64::from(*published) * MIN_CHANGE
            });
            if has_changed {
                self.published.insert(Arc::clone(name), (next, latency));
                self.version = next;
            }
        }
    }

    /// The values that changed after `version`.
    pub fn changes_after(&self, epoch: u64, version: u64) -> RelativeLatencyUpdate {
        let newer = self.published.iter().filter(|(_, (at, _))| *at > version);
        RelativeLatencyUpdate {
            epoch,
            version: self.version,
            latencies: newer
                .map(|(name, (_, latency))| (Arc::clone(name), *latency))
                .collect(),
        }
    }
}
