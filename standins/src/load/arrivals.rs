//! The arrival schedule: time, service, caller and key of each request. A pure function of the
//! options and the seed.

use super::{
    keys::Keys,
    mix::{CallerShare, ServiceShare, draw},
    options::Options,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{sync::Arc, time::Duration};

/// Path that a request takes to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Route {
    /// Through a daemon.
    Routed,
    /// Directly to a target.
    Direct,
}

/// A scheduled request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Sequence number within the run, part of the token that identifies the request.
    pub number: u64,
    /// Scheduled time, from the start of its step.
    pub due: Duration,
    /// Index in [`services_of`].
    pub service: usize,
    /// Index in [`Options::callers`].
    pub caller: usize,
    /// Number of the key; ignored by services that are not keyed.
    pub key: u64,
    /// Whether it may be executed more than once; such requests are sent as GET.
    pub idempotent: bool,
    /// Whether it carries an idempotency key.
    pub has_idempotency_key: bool,
    /// Path to the target.
    pub route: Route,
}

/// Arrivals of one rate step in time order, as a Poisson process.
#[derive(Clone, Debug)]
pub struct Schedule {
    rng: StdRng,
    keys: Keys,
    services: Arc<[ServiceShare]>,
    callers: Arc<[CallerShare]>,
    direct: Vec<bool>,
    routed: bool,
    idempotency_keys: f64,
    rate: f64,
    end: Duration,
    clock: Duration,
    next: u64,
    last: u64,
}

/// Services of the mix that the options select, with their shares.
pub fn services_of(options: &Options) -> Arc<[ServiceShare]> {
    options
        .mix
        .services()
        .into_iter()
        .filter(|share| options.only.is_empty() || options.only.contains(&share.service))
        .map(|share| ServiceShare {
            non_idempotent: options.non_idempotent.unwrap_or(share.non_idempotent),
            ..share
        })
        .collect()
}

impl Schedule {
    /// Schedule of rate step `step`; request numbers start at `first`.
    pub fn new(options: &Options, step: usize, first: u64) -> Self {
        let services = services_of(options);
        let direct = services
            .iter()
            .map(|share| options.direct.iter().any(|d| d.service == share.service))
            .collect();
        Self {
            rng: StdRng::seed_from_u64(options.seed.wrapping_add(step as u64)),
            keys: Keys::new(options.keys, options.zipf, options.drift_ms),
            services,
            callers: options.callers.clone().into(),
            direct,
            routed: !options.entries.is_empty(),
            idempotency_keys: options.idempotency_keys,
            rate: options.rate[step],
            end: Duration::from_secs_f64(options.duration_s),
            clock: Duration::ZERO,
            next: first,
            last: first.saturating_add(options.max_requests),
        }
    }

    fn route(&mut self, service: usize) -> Route {
        match (self.routed, self.direct[service]) {
            (true, true) if self.rng.random() => Route::Direct,
            (true, _) => Route::Routed,
            (false, _) => Route::Direct,
        }
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Exponential interarrival time; 1 - random is never 0, so the logarithm is finite.
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
        self.clock += Duration::from_secs_f64(gap);
        if self.clock >= self.end || self.next >= self.last {
            return None;
        }
        let number = self.next;
        self.next += 1;
        let service = draw(&mut self.rng, self.services.iter().map(|s| s.weight));
        let caller = draw(&mut self.rng, self.callers.iter().map(|c| c.weight));
        let key = self.keys.draw(&mut self.rng, self.clock.as_millis() as u64);
        let idempotent = self.rng.random::<f64>() >= self.services[service].non_idempotent;
        let has_idempotency_key = !idempotent && self.rng.random::<f64>() < self.idempotency_keys;
        Some(Arrival {
            number,
            due: self.clock,
            service,
            caller,
            key,
            idempotent,
            has_idempotency_key,
            route: self.route(service),
        })
    }
}
