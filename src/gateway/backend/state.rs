//! What the responses of an endpoint have shown, and the latency, pacing and ejection that follow.

use super::{ExchangeOutcome, Load, MAX_REPORT_AGE, MAX_WAITING_PER_SLOT, denied::DeniedKeys};
use crate::{
    clock::Millis,
    gateway::{
        cost::{CostEstimates, Observation, Outstanding, RequestClass},
        load_header::Slowdown,
    },
    routing::limit::{Limit, LimitPolicy},
};
use std::sync::Arc;

/// Consecutive failures after which an endpoint is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// First ejection time; it doubles with each further ejection while the endpoint keeps failing.
const FIRST_EJECTION: Millis = Millis(500);
/// Longest ejection time, before jitter.
const MAX_EJECTION: Millis = Millis(8_000);
/// Multiple of the latency from which the limit was learned after which a request in flight is not
/// counted against it.
const LONG_LATENCIES: f64 = 4.0;
/// Weight of a new outcome in the EWMA of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the EWMA of the relative latency.
const RELATIVE_LATENCY_WEIGHT: f64 = 0.15;
/// Upper bound of the minimum interval between requests to an overloaded endpoint, in milliseconds.
const MAX_INTERVAL_MS: f64 = 4_000.0;
/// Time for which an endpoint is skipped after another endpoint responded at its address.
const REPLACED_BACKOFF: Millis = Millis(4_000);
/// Factor on the request interval after a response from an endpoint with a short queue.
const INTERVAL_DECAY: f64 = 0.7;
/// Factor on the request interval after a response from an endpoint with a free slot.
const INTERVAL_DECAY_IDLE: f64 = 0.3;
/// Factor on the request interval after a response from an endpoint with a long queue.
const INTERVAL_GROWTH: f64 = 1.4;
/// First request interval, as a share of the one at which all daemons together keep the endpoint
/// busy.
const FIRST_INTERVAL_SHARE: f64 = 0.25;

/// Age from which the slowdown of an endpoint's machine is ignored.
const MAX_SLOWDOWN_AGE: Millis = Millis(200);

/// What the responses of an endpoint have shown.
#[derive(Debug)]
pub(super) struct State {
    pub(super) limit: Limit,
    /// Latency of the endpoint as a multiple of the mean latency of its service, smoothed.
    pub(super) relative_latency: f64,
    /// Number and sum of the relative latencies since the last report.
    pub(super) latency_samples: (u32, f64),
    pub(super) costs: Arc<CostEstimates>,
    pub(super) outstanding: Outstanding,
    /// Number of daemons that share the endpoint, as of the last response.
    daemons: Option<u32>,
    /// Whether the limit still is the first one.
    has_first_limit: bool,
    pub(super) failure_rate: f64,
    consecutive_failures: u32,
    pub(super) ejected_until: Option<Millis>,
    ejection_count: u32,
    pub(super) last_report: Option<(Load, Millis)>,
    pub(super) sent_since_last_report: u32,
    /// Slowdown of the endpoint's machine, and when it was reported.
    pub(super) slowdown: (Slowdown, Millis),
    /// Minimum interval between requests while the endpoint is overloaded, in milliseconds; 0 for
    /// none.
    pub(super) min_interval_ms: f64,
    pub(super) next_slot_at: Millis,
    pub(super) replaced_until: Option<Millis>,
    pub(super) denied: DeniedKeys,
    pub(super) unqueued_count: u32,
    pub(super) unqueued_total_ms: u64,
}

impl State {
    /// The state before any response. At most `max_in_flight` requests are in flight.
    pub(super) fn new(max_in_flight: u32, costs: Arc<CostEstimates>) -> Self {
        Self {
            limit: Limit::new(LimitPolicy::Adaptive, max_in_flight),
            relative_latency: 1.0,
            latency_samples: (0, 0.0),
            costs,
            outstanding: Outstanding::default(),
            daemons: None,
            has_first_limit: true,
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
            ejection_count: 0,
            last_report: None,
            sent_since_last_report: 0,
            slowdown: (Slowdown::NONE, Millis::ZERO),
            min_interval_ms: 0.0,
            next_slot_at: Millis::ZERO,
            replaced_until: None,
            denied: DeniedKeys::default(),
            unqueued_count: 0,
            unqueued_total_ms: 0,
        }
    }

    /// Expected latency before the current load is considered, in milliseconds.
    pub(super) fn base_latency_ms(&self) -> f64 {
        self.costs.mean_latency_ms() * self.relative_latency
    }

    /// The last load report unless it is too old.
    pub(super) fn fresh_report(&self, now: Millis) -> Option<Load> {
        let (load, at) = self.last_report?;
        (now.since(at) < MAX_REPORT_AGE).then_some(load)
    }

    /// Sets the number of daemons that share the endpoint if it served a request. The first time, the
    /// limit is raised to the daemon's share of the slots.
    pub(super) fn set_daemons(&mut self, daemons: usize, slots: u32, outcome: ExchangeOutcome) {
        if !matches!(outcome, ExchangeOutcome::Answered(_)) {
            return;
        }
        let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
        self.daemons = Some(daemons);
        if std::mem::take(&mut self.has_first_limit) {
            self.limit.raise_to(f64::from(slots.div_ceil(daemons)));
        }
    }

    /// Requests in flight that do not count against the limit, which was learned from requests that
    /// end sooner: one that runs for long says nothing about further slots, and an endpoint without
    /// a free slot would have shed it.
    pub(super) fn uncounted(&self, slots: u32, now: Millis) -> u32 {
        let in_flight = self.limit.in_flight();
        let has_room = match self.fresh_report(now) {
            Some(load) => load.running.saturating_add(self.sent_since_last_report) < load.slots,
            None => self.daemons.is_some_and(|daemons| daemons <= slots),
        };
        if !has_room || in_flight >= slots {
            return 0;
        }
        let long_ms = LONG_LATENCIES * self.limit.latency_ms();
        let since = self.limit.last_decrease();
        self.outstanding.longer_than(long_ms, since, now)
    }

    /// Slowdown of the endpoint's machine, if it was reported so recently that it may still hold.
    pub(super) fn slowdown_at(&self, now: Millis) -> Slowdown {
        let (slowdown, at) = self.slowdown;
        if now.since(at) < MAX_SLOWDOWN_AGE {
            slowdown
        } else {
            Slowdown::NONE
        }
    }

    /// Whether the endpoint last reported a long queue that it cannot have drained since.
    pub(super) fn has_long_queue(&self, now: Millis) -> bool {
        let Some((load, at)) = self.last_report else {
            return false;
        };
        let excess = f64::from(
            load.waiting
                .saturating_sub(load.slots.saturating_mul(MAX_WAITING_PER_SLOT)),
        );
        let drain_ms = excess / f64::from(load.slots) * self.base_latency_ms();
        (now.since(at).0 as f64) < drain_ms.min(MAX_REPORT_AGE.0 as f64)
    }

    /// Whether the concurrency limit and pacing allow a request, and the endpoint is neither ejected nor
    /// known to have a long queue.
    pub(super) fn has_room(&self, now: Millis) -> bool {
        let is_set = |until: Option<Millis>| until.is_some_and(|until| now < until);
        self.limit.has_room(now)
            && now >= self.next_slot_at
            && !self.has_long_queue(now)
            && !is_set(self.ejected_until)
            && !is_set(self.replaced_until)
    }

    /// Schedules the next slot if requests are paced. Many daemons with one request each can
    /// overload an endpoint, which the concurrency limit of a single daemon cannot prevent.
    pub(super) fn schedule_next(&mut self, now: Millis) {
        if self.min_interval_ms > 0.0 {
            let interval = self.min_interval_ms * rand::random_range(0.7..1.3);
            self.next_slot_at = now + Millis(interval as u64);
        }
    }

    /// Adapts the pacing to an outcome. An endpoint that sheds requests although it has room (`has_room`)
    /// fails at random, and slowing down would not help. A single lost connection does not show
    /// that the endpoint is overloaded.
    pub(super) fn adapt_interval(
        &mut self,
        outcome: ExchangeOutcome,
        load: Option<Load>,
        has_room: bool,
        daemons_per_slot: f64,
        now: Millis,
    ) {
        let has_free_slot = load.is_some_and(Load::has_free_slot);
        match outcome {
            ExchangeOutcome::Shed if has_room => {}
            ExchangeOutcome::Lost if self.consecutive_failures < 2 => {}
            ExchangeOutcome::Shed | ExchangeOutcome::Lost => {
                self.lengthen_interval(2.0, daemons_per_slot, now)
            }
            ExchangeOutcome::Answered(_) => match load {
                Some(load) if load.has_long_queue() => {
                    self.lengthen_interval(INTERVAL_GROWTH, daemons_per_slot, now);
                }
                Some(load) if load.waiting > load.slots / 2 => {}
                _ if has_free_slot => self.shorten_interval(INTERVAL_DECAY_IDLE),
                _ => self.shorten_interval(INTERVAL_DECAY),
            },
            ExchangeOutcome::Failed | ExchangeOutcome::Replaced | ExchangeOutcome::Neutral => {}
        }
    }

    /// Lets requests return slowly from `at` on.
    pub(super) fn restart_at(&mut self, at: Millis, daemons_per_slot: f64) {
        self.limit.restart();
        self.has_first_limit = false;
        let fair_interval_ms = self.base_latency_ms() * daemons_per_slot;
        self.min_interval_ms = self
            .min_interval_ms
            .max(fair_interval_ms)
            .min(MAX_INTERVAL_MS);
        let delay = self.min_interval_ms * rand::random_range(0.0..1.0);
        self.next_slot_at = at + Millis(delay as u64);
    }

    fn lengthen_interval(&mut self, factor: f64, daemons_per_slot: f64, now: Millis) {
        let base_latency_ms = self.base_latency_ms();
        let fair_interval_ms = base_latency_ms * daemons_per_slot;
        let first_interval_ms =
            (base_latency_ms / 4.0).max(fair_interval_ms * FIRST_INTERVAL_SHARE);
        self.min_interval_ms = (self.min_interval_ms * factor)
            .max(first_interval_ms)
            .min(MAX_INTERVAL_MS);
        self.schedule_next(now);
    }

    fn shorten_interval(&mut self, factor: f64) {
        self.min_interval_ms *= factor;
        if self.min_interval_ms < self.base_latency_ms() / 8.0 {
            self.min_interval_ms = 0.0;
        }
    }

    /// Records that a request had no response after `elapsed`, which is a lower bound of its latency.
    pub(super) fn record_overdue(&mut self, class: &RequestClass, elapsed: Millis) {
        let ratio = self.costs.overdue_ratio(class, elapsed);
        if let Some(ratio) = ratio.filter(|ratio| *ratio > self.relative_latency) {
            self.add_relative_latency(ratio);
        }
    }

    fn add_relative_latency(&mut self, ratio: f64) {
        self.relative_latency += RELATIVE_LATENCY_WEIGHT * (ratio - self.relative_latency);
        self.latency_samples.0 += 1;
        self.latency_samples.1 += ratio;
    }

    pub(super) fn record_outcome(
        &mut self,
        outcome: ExchangeOutcome,
        load: Option<Load>,
        class: &RequestClass,
        now: Millis,
    ) {
        let failed = match outcome {
            ExchangeOutcome::Answered(latency) => {
                let observation = Observation {
                    latency,
                    waiting_per_slot: load.map_or(0.0, Load::waiting_per_slot),
                    relative_latency: self.relative_latency,
                    slowdown: self.slowdown_at(now),
                };
                let ratio = self.costs.record(class, observation, now);
                self.add_relative_latency(ratio);
                false
            }
            ExchangeOutcome::Failed | ExchangeOutcome::Lost => true,
            ExchangeOutcome::Replaced => {
                self.replaced_until = Some(now + REPLACED_BACKOFF);
                return;
            }
            ExchangeOutcome::Shed | ExchangeOutcome::Neutral => return,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (sample - self.failure_rate);
        if !failed {
            self.consecutive_failures = 0;
            self.ejection_count = 0;
            self.ejected_until = None;
            return;
        }
        self.consecutive_failures += 1;
        let is_ejected_now = self.ejected_until.is_some_and(|until| now < until);
        if self.consecutive_failures >= EJECT_AFTER_FAILURES && !is_ejected_now {
            let ejection_ms = (FIRST_EJECTION.0 << self.ejection_count.min(6)).min(MAX_EJECTION.0);
            let jitter = rand::random_range(0..=ejection_ms / 4);
            self.ejected_until = Some(now + Millis(ejection_ms + jitter));
            self.ejection_count += 1;
        }
    }
}
