//! How fast endpoints are, compared with others of their service.
//!
//! Each daemon compares the time of an answer with the usual time of its route. Many daemons send
//! few requests each to an endpoint, so the controller gathers what all of them saw and tells the
//! result.

use super::fading::FadingMean;
use crate::{
    clock::Millis,
    collections::{Map, Set},
};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time of an answer that is assumed before the first one, in milliseconds.
const FIRST_TIME_MS: f64 = 80.0;
/// Least weight of the newest time in an average.
const MIN_WEIGHT: f64 = 0.02;
/// Limits of a single comparison, so that a rare long request does not brand an endpoint.
const LIMITS: [f64; 2] = [0.2, 8.0];
/// Time after which a past comparison counts 1/e of a present one.
const MEMORY_MS: f64 = 8_000.0;
/// Comparisons with an ordinary result that are assumed of every endpoint.
const ASSUMED: f64 = 2.0;
/// Change of a pace that is told, as a share of the pace told before.
const TOLD_CHANGE: f64 = 0.1;

/// Usual times of a service's answers, as one daemon saw them.
#[derive(Debug, Default)]
pub struct UsualTimes {
    means: Mutex<Means>,
}

#[derive(Debug, Default)]
struct Means {
    all: Mean,
    routes: Map<Arc<str>, Mean>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_WEIGHT);
        self.value += weight * (sample - self.value);
    }

    fn value(self) -> Option<f64> {
        (self.count > 0).then_some(self.value.max(1.0))
    }
}

impl UsualTimes {
    /// Usual time of an answer, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.means().all.value().unwrap_or(FIRST_TIME_MS)
    }

    /// Takes in the time of an answer and compares it with the usual one of its route.
    pub fn compare(&self, route: &Arc<str>, took: Millis) -> f64 {
        let took = took.0.max(1) as f64;
        let mut means = self.means();
        means.all.add(took);
        let mean = means.routes.entry(Arc::clone(route)).or_default();
        let usual = mean.value().unwrap_or(took);
        mean.add(took);
        (took / usual).clamp(LIMITS[0], LIMITS[1])
    }

    fn means(&self) -> MutexGuard<'_, Means> {
        self.means.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Comparisons of one endpoint that one daemon made since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PaceReport {
    /// Name of the endpoint.
    pub endpoint: Arc<str>,
    /// Number of comparisons.
    pub count: u32,
    /// Their sum.
    pub sum: f32,
}

/// Paces of endpoints that changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceNews {
    /// Epoch of the controller that gathered them.
    pub epoch: u64,
    /// Rises with every change in an epoch.
    pub version: u64,
    /// Time of an endpoint's answers, as a multiple of the usual one.
    pub paces: Vec<(Arc<str>, f32)>,
}

/// Paces of all endpoints, as the controller gathers them.
#[derive(Debug, Default)]
pub struct Paces {
    gathered: Map<Arc<str>, FadingMean>,
    told: Map<Arc<str>, (u64, f32)>,
    version: u64,
    decayed: Millis,
}

impl Paces {
    /// Takes in what a daemon saw.
    pub fn add(&mut self, reports: &[PaceReport]) {
        for report in reports {
            let gathered = self
                .gathered
                .entry(Arc::clone(&report.endpoint))
                .or_default();
            gathered.add(report.count, f64::from(report.sum));
        }
    }

    /// Lets past comparisons fade, forgets endpoints that are not `known`, and notes what changed.
    pub fn refresh(&mut self, known: &Set<Arc<str>>, now: Millis) {
        let share = (-(now.since(self.decayed).0 as f64) / MEMORY_MS).exp();
        self.decayed = now;
        self.gathered.retain(|name, gathered| {
            gathered.fade(share);
            known.contains(name)
        });
        self.told.retain(|name, _| known.contains(name));
        let next = self.version + 1;
        for (name, gathered) in &self.gathered {
            let pace = gathered.mean(ASSUMED, 1.0) as f32;
            // Daemons may know a pace from another controller, so every endpoint is told once.
            let is_news = self.told.get(name).is_none_or(|(_, told)| {
                f64::from((pace - told).abs()) > f64::from(*told) * TOLD_CHANGE
            });
            if is_news {
                self.told.insert(Arc::clone(name), (next, pace));
                self.version = next;
            }
        }
    }

    /// What changed after `version`.
    pub fn after(&self, epoch: u64, version: u64) -> PaceNews {
        let newer = self.told.iter().filter(|(_, (at, _))| *at > version);
        PaceNews {
            epoch,
            version: self.version,
            paces: newer
                .map(|(name, (_, pace))| (Arc::clone(name), *pace))
                .collect(),
        }
    }
}
