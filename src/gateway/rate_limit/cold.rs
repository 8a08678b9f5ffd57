//! What all daemons together may send to a cold endpoint, and the part of it that a daemon sends
//! without asking anyone.

use super::{Rate, phase::Phase};
use crate::clock::Millis;

/// Probability that daemons which send independently of each other exceed the bound in some second.
const EXCESS_PROBABILITY: f64 = 1e-6;
/// Ratio of the bound to the rate at which the controller issues permits. Permits are valid for half
/// a second, and daemons that the controller does not reach send besides.
const BOUND_PER_ISSUED: f64 = 2.0;
/// Part of the uncoordinated rate, as a divisor, that daemons use while no controller answers them:
/// the controller may issue permits to those that it reaches.
const UNISSUED_DIVISOR: f64 = 3.0;
/// Time for which a daemon may use one of its turns. Turns that accumulate would be used by all
/// daemons at once.
const TURN_LENGTH: Millis = Millis(250);
/// Time for which the largest number of daemons is kept at least. A controller that has just taken
/// over counts few.
const FLEET_MEMORY: Millis = Millis(30_000);

/// How far daemons may exceed what a cold endpoint tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Factor on the requests per second that the endpoint tolerates.
    pub overage: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

/// Largest bound that is represented, in requests per second. It keeps the calculation of the rate
/// short and exact.
const MAX_BOUND: f64 = 600.0;
/// Steps of the bisection that determines the rate.
const BISECTION_STEPS: u32 = 40;

/// Bound on the requests in any second to one cold endpoint, from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    most: u32,
    uncoordinated: Rate,
}

impl ColdLimit {
    /// The bound for an endpoint that tolerates `tolerated` while it is cold.
    pub fn new(rule: ColdRule, tolerated: Rate) -> Self {
        let most = tolerated.per_second() * rule.overage + rule.slack;
        let most = most.clamp(0.0, MAX_BOUND) as u32;
        Self {
            most,
            uncoordinated: Rate(uncoordinated(most)),
        }
    }

    /// Most requests in any second.
    pub fn most_per_second(self) -> u32 {
        self.most
    }

    /// Rate of all daemons together at which they keep the bound though each chooses its times at
    /// random.
    pub fn uncoordinated(self) -> Rate {
        self.uncoordinated
    }

    /// The same while the controller may issue permits to others.
    pub fn unissued(self) -> Rate {
        Rate(self.uncoordinated.0 / UNISSUED_DIVISOR)
    }

    /// Rate at which the controller issues permits.
    pub fn issued(self) -> Rate {
        Rate(f64::from(self.most) / BOUND_PER_ISSUED)
    }
}

/// The largest rate at which more than `most` independent requests in a second are as improbable as
/// [`EXCESS_PROBABILITY`]. A turn that is used late can add to those of the next second.
fn uncoordinated(most: u32) -> f64 {
    let (mut low, mut high) = (0.0, f64::from(most));
    for _ in 0..BISECTION_STEPS {
        let mean = f64::midpoint(low, high);
        if excess_probability(mean, most) > EXCESS_PROBABILITY {
            high = mean;
        } else {
            low = mean;
        }
    }
    low / (1.0 + TURN_LENGTH.0 as f64 / 1_000.0)
}

/// Probability that a Poisson variable exceeds `most`.
fn excess_probability(mean: f64, most: u32) -> f64 {
    let mut term = (-mean).exp();
    for k in 1..=most + 1 {
        term *= mean / f64::from(k);
    }
    // Each further term is smaller by this ratio at least.
    let ratio = mean / f64::from(most + 2);
    if ratio < 1.0 {
        term / (1.0 - ratio)
    } else {
        1.0
    }
}

/// The turns of one daemon: times at which it may send one request to a cold endpoint without a
/// permit. Each daemon has its turns at an interval that all daemons share, from a random time on, so
/// the daemons need no agreement, and also those that are cut off keep the bound.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Turns {
    next_at: Option<Millis>,
    first: Phase,
}

impl Turns {
    /// Whether the daemon may send a request at `now`, if `daemons` send at `rate` together.
    pub(super) fn is_open(&self, rate: Rate, daemons: usize, now: Millis) -> bool {
        now >= self.next(rate, daemons, now)
    }

    /// Records that a request asked for a turn at `now`.
    pub(super) fn advance(&mut self, rate: Rate, daemons: usize, now: Millis) {
        self.next_at = Some(self.next(rate, daemons, now));
    }

    /// The current turn, or the next one.
    fn next(&self, rate: Rate, daemons: usize, now: Millis) -> Millis {
        let interval_ms = interval_ms(rate, daemons);
        let first = || now + self.first.of(interval_ms);
        let mut next = self.next_at.unwrap_or_else(first);
        // The interval may have changed since the turn was set.
        next = next.min(now + Millis(interval_ms as u64));
        if next + TURN_LENGTH <= now {
            let interval = (interval_ms as u64).max(1);
            let missed = now.since(next + TURN_LENGTH).0 / interval + 1;
            next = next + Millis(missed * interval);
        }
        next
    }

    /// Uses the turn at `now`.
    pub(super) fn take(&mut self, rate: Rate, daemons: usize) {
        if let Some(next) = self.next_at {
            self.next_at = Some(next + Millis((interval_ms(rate, daemons) as u64).max(1)));
        }
    }
}

/// Time between two turns of a daemon.
pub(super) fn interval_ms(rate: Rate, daemons: usize) -> f64 {
    daemons.max(1) as f64 * 1_000.0 / rate.per_second().max(Rate::PROBE.0)
}

/// The largest number of daemons in the last 30 to 60 s.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LargestFleet {
    current: usize,
    former: usize,
    turned_at: Millis,
}

impl LargestFleet {
    /// Records that there are `daemons`, and returns the largest number.
    pub(super) fn record(&mut self, daemons: usize, now: Millis) -> usize {
        if now.since(self.turned_at) >= FLEET_MEMORY {
            self.former = self.current;
            self.current = 0;
            self.turned_at = now;
        }
        self.current = self.current.max(daemons);
        self.current.max(self.former)
    }
}
