//! What a daemon has observed of an endpoint, for explanations.

use super::{Backend, Load};
use crate::clock::Millis;

/// What a daemon has observed of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// Most requests of this daemon in flight.
    pub limit: f64,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Latency as a multiple of the service's mean.
    pub relative_latency: f64,
    /// Recent share of failures.
    pub failure_rate: f64,
    /// The last load report, and its age.
    pub load: Option<(Load, Millis)>,
    /// Slowdown of the machine, and its age; `None` if there is no recent one.
    pub slowdown: Option<(f64, Millis)>,
    /// Time until the next request if requests are paced.
    pub next_slot_in: Millis,
    /// Time until the endpoint, which keeps failing, is used again.
    pub ejected_for: Option<Millis>,
    /// Time until the endpoint, at whose address another one responded, is used again.
    pub replaced_for: Option<Millis>,
}

impl Backend {
    /// What this daemon has observed.
    pub fn observed(&self, now: Millis) -> Observed {
        let state = self.state();
        let left = |until: Option<Millis>| until.filter(|until| now < *until).map(|u| u.since(now));
        let (slowdown, reported_at) = state.slowdown;
        let is_recent = state.slowdown_at(now) == slowdown && reported_at > Millis::ZERO;
        Observed {
            limit: state.limit.limit(),
            in_flight: state.limit.in_flight(),
            relative_latency: state.relative_latency,
            failure_rate: state.failure_rate,
            load: state.last_report.map(|(load, at)| (load, now.since(at))),
            slowdown: is_recent.then(|| (slowdown.factor(), now.since(reported_at))),
            next_slot_in: state.next_slot_at.since(now),
            ejected_for: left(state.ejected_until),
            replaced_for: left(state.replaced_until),
        }
    }
}
