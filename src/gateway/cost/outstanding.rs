//! Work that requests in flight at one endpoint still have to do.

use super::{CostEstimates, RequestClass};
use crate::clock::Millis;

/// Identifies a request in [`Outstanding`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkId(u64);

#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: WorkId,
    class: RequestClass,
    started: Millis,
}

/// Requests of this daemon in flight at one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Outstanding {
    in_flight: Vec<InFlight>,
    started_count: u64,
}

/// What occupies an endpoint when a further request arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Requests that run or wait there.
    pub occupied: u32,
    /// Mean remaining work of these, in milliseconds.
    pub mean_rest_ms: f64,
    /// Slots of the endpoint.
    pub slots: u32,
}

impl Outstanding {
    /// Records that a request was sent.
    pub fn start(&mut self, class: RequestClass, now: Millis) -> WorkId {
        self.started_count += 1;
        let id = WorkId(self.started_count);
        let started = now;
        self.in_flight.push(InFlight { id, class, started });
        id
    }

    /// Records that a request ended.
    pub fn end(&mut self, id: WorkId) {
        self.in_flight.retain(|request| request.id != id);
    }

    /// Number of requests that have been running for longer than `limit_ms` and started after
    /// `since`.
    pub fn longer_than(&self, limit_ms: f64, since: Option<Millis>, now: Millis) -> u32 {
        let is_long = |request: &&InFlight| {
            now.since(request.started).0 as f64 > limit_ms
                && since.is_none_or(|since| request.started > since)
        };
        self.in_flight.iter().filter(is_long).count() as u32
    }

    /// Expected rests of the requests, in milliseconds.
    pub fn rests_ms(&self, costs: &CostEstimates, now: Millis) -> impl Iterator<Item = f64> {
        let in_flight = self.in_flight.iter();
        in_flight.map(move |request| costs.remaining_ms(&request.class, now.since(request.started)))
    }

    /// What occupies an endpoint with `occupied` requests, of which these are known.
    pub fn backlog(
        &self,
        occupied: u32,
        slots: u32,
        costs: &CostEstimates,
        now: Millis,
    ) -> Backlog {
        let others = f64::from(occupied.saturating_sub(self.in_flight.len() as u32));
        let mut rest_ms = 0.0;
        if others > 0.0 {
            rest_ms = others * costs.mean_work_ms();
        }
        rest_ms += self.rests_ms(costs, now).sum::<f64>();
        Backlog {
            occupied,
            mean_rest_ms: rest_ms / f64::from(occupied.max(1)),
            slots: slots.max(1),
        }
    }
}

impl Backlog {
    /// Time until a request of `own_ms` of work would end if it was sent now, in milliseconds.
    /// Endpoints slow down when most of their slots are occupied.
    pub fn end_ms(self, own_ms: f64) -> f64 {
        let slots = f64::from(self.slots);
        let ahead = (f64::from(self.occupied) + 1.0 - slots).max(0.0);
        let utilization = f64::from(self.occupied.min(self.slots)) / slots;
        own_ms * (1.0 + 0.25 * utilization) + self.mean_rest_ms * ahead / slots
    }
}
