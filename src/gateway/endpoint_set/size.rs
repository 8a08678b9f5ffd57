//! How many endpoints a daemon needs for the requests of a service.

use crate::{clock::Millis, world::ServiceName};
use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

/// Number of endpoints up to which all are used.
const ALL_UP_TO: usize = 12;
/// Fewest endpoints that a set has.
const MIN_SIZE: f64 = 6.0;
/// Sets of all daemons that have an endpoint in common, on average, at least. An endpoint stays in use
/// while some of its daemons are lost.
const MIN_COVERAGE: f64 = 4.0;
/// Mean time between two requests to a member. Intervals vary, and endpoints close connections after a
/// few times this.
const USE_INTERVAL_MS: f64 = 1_500.0;
/// Longest mean time between two requests to a member. A connection hardly ever lasts for longer, so a
/// set would save none, and all endpoints are used.
const MAX_USE_INTERVAL_MS: f64 = 15_000.0;
/// Members for each request in flight, at least.
const MEMBERS_PER_IN_FLIGHT: f64 = 4.0;
/// Factor by which a set grows when it had no room for a request.
const WIDENING: f64 = 1.25;
/// Time constant of the mean request rate.
const RATE_TIME_MS: f64 = 10_000.0;
/// Time constant with which the set narrows.
const NARROWING_TIME_MS: f64 = 10_000.0;
/// Shortest time between two log lines about a set.
const LOG_INTERVAL: Millis = Millis(5_000);
/// Factor by which the size of a set differs from the one in the last log line if it is logged again.
const LOGGED_RATIO: f64 = 1.5;

/// What the size of a set is derived from.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Endpoints that can be used.
    pub endpoints: usize,
    /// Daemons that share them.
    pub daemons: usize,
    /// Mean latency of the service's requests, in milliseconds.
    pub latency_ms: f64,
}

/// Size of the set of endpoints that a daemon uses for a service. It grows at once and falls slowly.
#[derive(Debug, Default)]
pub struct SetSize {
    state: Mutex<State>,
    widenings: AtomicU64,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Requests of the last [`RATE_TIME_MS`], where earlier ones count for less.
    recent: f64,
    counted_at: Option<Millis>,
    first_at: Option<Millis>,
    size: f64,
    /// Most endpoints that there have been.
    largest: f64,
    sized_at: Millis,
    logged: Option<(f64, Millis)>,
}

impl SetSize {
    /// Counts a request that arrived at `now`.
    pub fn count_request(&self, now: Millis) {
        let mut state = self.state();
        state.decay(now);
        state.recent += 1.0;
        state.first_at.get_or_insert(now);
    }

    /// The number of endpoints to use at `now`; `demand.endpoints` for all.
    pub fn current(&self, service: &ServiceName, demand: Demand, now: Millis) -> usize {
        if demand.endpoints <= ALL_UP_TO {
            return demand.endpoints;
        }
        let mut state = self.state();
        state.adapt(demand, now);
        state.log(service, demand, now);
        (state.size.ceil() as usize).min(demand.endpoints)
    }

    /// What [`Self::current`] would return. Nothing changes.
    pub fn peek(&self, demand: Demand, now: Millis) -> usize {
        if demand.endpoints <= ALL_UP_TO {
            return demand.endpoints;
        }
        let mut state = self.state().clone();
        state.adapt(demand, now);
        (state.size.ceil() as usize).min(demand.endpoints)
    }

    /// Records that the set had no room for a request.
    pub fn record_widening(&self, now: Millis) {
        let mut state = self.state();
        state.narrow(now);
        state.size *= WIDENING;
        self.widenings.fetch_add(1, Ordering::Relaxed);
    }

    /// Size as it was last determined; 0 if it never was.
    pub fn last(&self) -> usize {
        self.state().size.ceil() as usize
    }

    /// Number of requests for which the set had no room.
    pub fn widenings(&self) -> u64 {
        self.widenings.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn adapt(&mut self, demand: Demand, now: Millis) {
        let needed = needed(demand, self.rate_per_ms(now));
        self.narrow(now);
        self.largest = self.largest.max(demand.endpoints as f64);
        self.size = self.size.max(needed).min(self.largest);
    }

    fn decay(&mut self, now: Millis) {
        let since = self.counted_at.map_or(Millis::ZERO, |at| now.since(at));
        self.recent *= (-(since.0 as f64) / RATE_TIME_MS).exp();
        self.counted_at = Some(now);
    }

    /// Requests per millisecond, as observed since the first one.
    fn rate_per_ms(&mut self, now: Millis) -> f64 {
        self.decay(now);
        let since = self.first_at.map_or(Millis::ZERO, |at| now.since(at));
        let seen = 1.0 - (-(since.0 as f64) / RATE_TIME_MS).exp();
        self.recent / (RATE_TIME_MS * seen.max(0.1))
    }

    fn narrow(&mut self, now: Millis) {
        let since = now.since(self.sized_at).0 as f64;
        self.size *= (-since / NARROWING_TIME_MS).exp();
        self.sized_at = now;
    }

    fn log(&mut self, service: &ServiceName, demand: Demand, now: Millis) {
        let is_due = self.logged.is_none_or(|(size, at)| {
            let ratio = self.size.max(size) / self.size.min(size).max(1.0);
            now.since(at) >= LOG_INTERVAL && ratio >= LOGGED_RATIO
        });
        if !is_due {
            return;
        }
        self.logged = Some((self.size, now));
        let per_second = self.rate_per_ms(now) * 1_000.0;
        log::info!(target: "health", service:% = service, size = self.size.ceil() as u64,
            endpoints = demand.endpoints, daemons = demand.daemons, per_second,
            latency_ms = demand.latency_ms; "Size of the endpoint set changed.");
    }
}

/// Number of endpoints that are needed for `rate_per_ms`.
fn needed(demand: Demand, rate_per_ms: f64) -> f64 {
    if rate_per_ms * MAX_USE_INTERVAL_MS < MIN_SIZE {
        return demand.endpoints as f64;
    }
    let by_use = rate_per_ms * USE_INTERVAL_MS.max(MEMBERS_PER_IN_FLIGHT * demand.latency_ms);
    let by_coverage = MIN_COVERAGE * demand.endpoints as f64 / demand.daemons.max(1) as f64;
    by_use.max(by_coverage).max(MIN_SIZE)
}
