//! Estimates of the work of a service's requests, as one daemon observes it.

use super::{ClassKey, Distribution, RequestClass};
use crate::{clock::Millis, collections::Map, gateway::load_header::Slowdown};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Latency that is assumed before the first response, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 80.0;
/// Most classes of a service, and most routes with a class of their own.
const MAX_CLASSES: usize = 256;
/// Time without a sample after which a class counts little, and may be forgotten.
const STALE_AFTER: Millis = Millis(60_000);
/// Factor on the weight of a stale class's samples.
const STALE_FACTOR: f64 = 0.25;
/// Weight of the route's mean in the estimate of a class, as a number of samples.
const ROUTE_PRIOR_SAMPLES: f64 = 3.0;
/// Smallest weight of a new sample in a mean latency. The mean is exact for the first 50 samples,
/// and exponentially weighted after them.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Bounds of a relative latency, so that a rare long request does not dominate an endpoint's value.
const RATIO_BOUNDS: [f64; 2] = [0.2, 8.0];
/// Samples that a class needs for a lower bound of its work.
const MIN_SAMPLES_OF_BOUND: f64 = 20.0;
/// Samples that a class needs for the work that most requests do not exceed.
const MIN_SAMPLES_OF_MOST: f64 = 8.0;
/// Quantile that is taken for the least work of a class.
const LOW_QUANTILE: f64 = 0.05;
/// Quantile of the work that most requests of a class do not exceed.
const HIGH_QUANTILE: f64 = 0.9;

/// A complete response, as far as the cost of its request is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Time from sending the request to the end of the response.
    pub latency: Millis,
    /// Requests that waited at the endpoint at that time, per slot.
    pub waiting_per_slot: f64,
    /// Relative latency of the endpoint.
    pub relative_latency: f64,
    /// Slowdown of the endpoint's machine.
    pub slowdown: Slowdown,
}

impl Observation {
    /// A response from an endpoint of mean latency without a queue.
    pub fn unqueued(latency: Millis) -> Self {
        Self {
            latency,
            waiting_per_slot: 0.0,
            relative_latency: 1.0,
            slowdown: Slowdown::NONE,
        }
    }
}

/// Estimated work of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Expected work, in milliseconds.
    pub mean_ms: f64,
    /// Work by which its endpoint is chosen, in milliseconds: no more than the service's mean. A long
    /// request could otherwise accept any queue at a fast endpoint, and would hold up short ones
    /// there.
    pub choice_ms: f64,
    /// Work that nearly all requests of the class exceed, in milliseconds; 0 if unknown.
    pub least_ms: f64,
    /// Work that most requests of the class do not exceed, in milliseconds; 0 if unknown.
    pub most_ms: f64,
    /// Expected work as a multiple of the service's mean; 0 if nothing is known of the class.
    pub share: f64,
}

/// Estimates of the work of a service's requests by class.
#[derive(Debug, Default)]
pub struct CostEstimates {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    latency: Mean,
    relative_latency: Mean,
    slowdown: Mean,
    all: Distribution,
    routes: Map<ClassKey, ClassState>,
    classes: Map<ClassKey, ClassState>,
}

#[derive(Debug, Default)]
struct ClassState {
    latency: Mean,
    work: Distribution,
    last_sample: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let weight = (1.0 / f64::from(self.count)).max(MIN_SAMPLE_WEIGHT);
        self.value += weight * (sample - self.value);
    }

    fn value(self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

impl CostEstimates {
    /// Mean latency over all classes, with the time in queues, in milliseconds.
    pub fn mean_latency_ms(&self) -> f64 {
        let mean = self.state().latency.value();
        mean.map_or(INITIAL_LATENCY_MS, |latency| latency.max(1.0))
    }

    /// Mean work over all classes, in milliseconds.
    pub fn mean_work_ms(&self) -> f64 {
        self.state().mean_work_ms()
    }

    /// Estimated work of a request that arrives at `now`.
    pub fn estimate(&self, class: &RequestClass, now: Millis) -> Estimate {
        let state = self.state();
        let service_mean_ms = state.mean_work_ms();
        let Some(route) = state.routes.get(&class.route) else {
            return Estimate {
                mean_ms: service_mean_ms,
                choice_ms: service_mean_ms,
                ..Estimate::default()
            };
        };
        let route_mean_ms = route.work.mean_ms(0.0, 0.0);
        let exact = state.classes.get(&class.exact);
        let own = if class.exact == class.route {
            Some(route)
        } else {
            exact
        };
        let mean_ms = exact.map_or(route_mean_ms, |class| {
            class.work.mean_ms(ROUTE_PRIOR_SAMPLES, route_mean_ms)
        });
        Estimate {
            mean_ms,
            choice_ms: mean_ms.min(service_mean_ms),
            least_ms: own.map_or(0.0, |class| class.least_work_ms(now)),
            most_ms: own.map_or(0.0, |class| class.most_work_ms(now)),
            share: mean_ms / service_mean_ms,
        }
    }

    /// Decayed number of samples of a class and the time of the last one; those of its route if it has
    /// none.
    pub fn evidence(&self, class: &RequestClass) -> Option<(f64, Millis)> {
        let state = self.state();
        let exact = state.classes.get(&class.exact);
        let known = exact.or_else(|| state.routes.get(&class.route))?;
        Some((known.work.weight(), known.last_sample))
    }

    /// Expected rest of a request that has been running for `age`, in milliseconds.
    pub fn remaining_ms(&self, class: &RequestClass, age: Millis) -> f64 {
        let state = self.state();
        let exact = state.classes.get(&class.exact);
        let known = exact.or_else(|| state.routes.get(&class.route));
        let work = known.map_or(&state.all, |class| &class.work);
        work.residual_ms(age.0 as f64)
    }

    /// Records a response at `now`. Returns its latency as a multiple of the earlier mean latency of
    /// its class, within bounds, as if the endpoint's machine had had the mean slowdown. So a
    /// neighbour's burst does not count as the endpoint's speed, while mean latencies and work still
    /// include what neighbours usually cost.
    pub fn record(&self, class: &RequestClass, observation: Observation, now: Millis) -> f64 {
        let latency_ms = observation.latency.0.max(1) as f64;
        let mut state = self.state();
        state.latency.add(latency_ms);
        state.relative_latency.add(observation.relative_latency);
        let mean_relative_latency = state.relative_latency.value().unwrap_or(1.0);
        let relative_latency = observation.relative_latency / mean_relative_latency;
        let work_ms = latency_ms
            / (1.0 + observation.waiting_per_slot)
            / relative_latency.clamp(RATIO_BOUNDS[0], RATIO_BOUNDS[1]);
        state.all.add(work_ms);
        let by_route = record_in(&mut state.routes, class.route, latency_ms, work_ms, now);
        let by_class = if class.exact == class.route {
            None
        } else {
            record_in(&mut state.classes, class.exact, latency_ms, work_ms, now)
        };
        let mean_ms = by_class.or(by_route).unwrap_or(latency_ms);
        let slowdown = observation.slowdown.factor();
        state.slowdown.add(slowdown);
        let at_mean_slowdown = state.slowdown.value / slowdown;
        let ratio = latency_ms / mean_ms.max(1.0) * at_mean_slowdown;
        ratio.clamp(RATIO_BOUNDS[0], RATIO_BOUNDS[1])
    }

    /// Lower bound of the latency of a request that had no response after `elapsed`, as a multiple of
    /// the mean latency of its class and within bounds; `None` if the class is unknown.
    pub fn overdue_ratio(&self, class: &RequestClass, elapsed: Millis) -> Option<f64> {
        let state = self.state();
        let exact = state.classes.get(&class.exact);
        let known = exact.or_else(|| state.routes.get(&class.route))?;
        let ratio = elapsed.0 as f64 / known.latency.value()?.max(1.0);
        Some(ratio.clamp(RATIO_BOUNDS[0], RATIO_BOUNDS[1]))
    }

    /// Number of classes that are remembered.
    pub fn class_count(&self) -> usize {
        self.state().classes.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn mean_work_ms(&self) -> f64 {
        if self.all.weight() > 0.0 {
            self.all.mean_ms(0.0, 0.0)
        } else {
            INITIAL_LATENCY_MS
        }
    }
}

impl ClassState {
    /// Work that nearly all requests exceed, in milliseconds; 0 if too little is known, or only from
    /// long ago: refusals may have kept all samples away since.
    fn least_work_ms(&self, now: Millis) -> f64 {
        if self.is_stale(now) || self.work.weight() < MIN_SAMPLES_OF_BOUND {
            return 0.0;
        }
        self.work.low_quantile_ms(LOW_QUANTILE)
    }

    /// Work that most requests do not exceed, in milliseconds; 0 if too little is known, or only from
    /// long ago.
    fn most_work_ms(&self, now: Millis) -> f64 {
        if self.is_stale(now) || self.work.weight() < MIN_SAMPLES_OF_MOST {
            return 0.0;
        }
        self.work.high_quantile_ms(HIGH_QUANTILE)
    }

    fn is_stale(&self, now: Millis) -> bool {
        now.since(self.last_sample) >= STALE_AFTER
    }
}

/// Adds a sample to a class, and returns its earlier mean latency. A class that does not fit is left
/// out.
fn record_in(
    classes: &mut Map<ClassKey, ClassState>,
    key: ClassKey,
    latency_ms: f64,
    work_ms: f64,
    now: Millis,
) -> Option<f64> {
    if classes.len() >= MAX_CLASSES && !classes.contains_key(&key) {
        classes.retain(|_, class| !class.is_stale(now));
        if classes.len() >= MAX_CLASSES {
            return None;
        }
    }
    let class = classes.entry(key).or_default();
    if class.is_stale(now) {
        class.work.decay(STALE_FACTOR);
    }
    let earlier_ms = class.latency.value();
    class.last_sample = now;
    class.latency.add(latency_ms);
    class.work.add(work_ms);
    earlier_ms
}
