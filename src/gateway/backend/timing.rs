//! When requests to an endpoint would begin and end, and the work that it still has to do.

use super::Backend;
use crate::{
    clock::Millis,
    gateway::cost::{RequestClass, WorkId},
};

impl Backend {
    /// Records that a request was sent for which a slot was acquired.
    pub fn start_work(&self, class: RequestClass, now: Millis) -> WorkId {
        self.state().outstanding.start(class, now)
    }

    /// Records that a request ended or was abandoned.
    pub fn end_work(&self, id: WorkId) {
        self.state().outstanding.end(id);
    }

    /// Estimated time until a request of `work_ms` sent at `now` ends, in milliseconds, with a
    /// penalty for failures. Lower is better.
    pub fn estimated_end_ms(&self, work_ms: f64, now: Millis) -> f64 {
        let state = self.state();
        let in_flight = state.limit.in_flight();
        let occupied = state.fresh_report(now).map_or(in_flight, |load| {
            let reported = load.running.saturating_add(load.waiting);
            let known = reported.saturating_add(state.sent_since_last_report);
            known.max(in_flight)
        });
        let slots = self.entry.slots;
        let backlog = state
            .outstanding
            .backlog(occupied, slots, &state.costs, now);
        // A failed request costs about as much as several successful ones.
        let failing = 1.0 + 8.0 * state.failure_rate;
        let slowdown = state.slowdown_at(now).factor();
        state.relative_latency * slowdown * backlog.end_ms(work_ms) * failing
    }

    /// Rate at which requests of this daemon are expected to end, per millisecond; 0 if none is in
    /// flight.
    pub fn ending_rate(&self, now: Millis) -> f64 {
        let state = self.state();
        let rests = state.outstanding.rests_ms(&state.costs, now);
        rests.map(|rest_ms| 1.0 / rest_ms.max(1.0)).sum()
    }

    /// Earliest time at which a request behind `ahead` others can be sent after a pause that ends at
    /// `end`, if all slots serve this daemon.
    pub fn earliest_after(&self, end: Millis, ahead: usize) -> Millis {
        let slots = f64::from(self.entry.slots.max(1));
        let state = self.state();
        let start = end.max(state.next_slot_at);
        start + Millis((ahead as f64 * state.base_latency_ms() / slots) as u64)
    }

    /// Expected time between two slots that this daemon acquires, in milliseconds.
    pub fn interval_ms(&self, now: Millis) -> f64 {
        let named_ms = self.rate_limit.interval(now).map_or(0.0, |i| i.0 as f64);
        let state = self.state();
        let observed_ms = state.base_latency_ms() / state.limit.limit().max(1.0);
        observed_ms.max(state.min_interval_ms).max(named_ms)
    }

    /// Estimated time in the queue for a request behind `ahead` others with `work` times the mean work
    /// of one, in milliseconds.
    pub fn wait_ms(&self, ahead: usize, work: f64, now: Millis) -> f64 {
        let until_next_slot = self.state().next_slot_at.since(now);
        let by_slots = until_next_slot.0 as f64 + work * self.interval_ms(now);
        let by_limit = self.rate_limit.expected_wait(ahead, now);
        by_limit.map_or(by_slots, |wait| by_slots.max(wait.0 as f64))
    }
}
