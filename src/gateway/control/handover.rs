//! Hands the controller lease over from a VM with little processor time to one with more.
//!
//! The controller serves the reports of all daemons. Any daemon may have to take the lease over when
//! the others are lost, and a weak one would delay the whole fleet for as long as it held it.

use super::Control;
use crate::{clock::Millis, gateway::platform::Platform};

/// Shortest time for which the lease is held before it is handed over. Daemons that were lost
/// together with the predecessor have reported by then.
pub(super) const MIN_TENURE: Millis = Millis(3_000);
/// Factor by which another daemon's processor time has to exceed the controller's own. It pays for
/// the handover, during which no keys move.
const MIN_CORES_RATIO: f64 = 2.0;
/// Age from which a report no longer shows that its daemon can take over.
const MAX_REPORT_AGE: Millis = Millis(1_000);

/// Another daemon as a possible controller.
#[derive(Clone, Copy, Debug)]
pub struct Successor {
    /// Processor time that it could use as the controller, in cores; 0 if it cannot take over.
    pub cores: f64,
    /// Time since its last report.
    pub report_age: Millis,
}

/// Whether a controller with `own_cores` hands the lease over after it has held it for `tenure`.
pub fn should_hand_over(
    own_cores: f64,
    tenure: Millis,
    others: impl IntoIterator<Item = Successor>,
) -> bool {
    let is_stronger = |other: Successor| {
        other.report_age < MAX_REPORT_AGE && other.cores >= own_cores * MIN_CORES_RATIO
    };
    tenure >= MIN_TENURE && own_cores > 0.0 && others.into_iter().any(is_stronger)
}

impl<P: Platform> Control<P> {
    /// Processor time that this daemon could use as the controller, in cores; 0 while it cannot take
    /// the lease over.
    pub(super) fn controller_cores(&self) -> f64 {
        let is_able = self.stopping_since.is_none() && !*self.store_fails.borrow();
        if is_able { self.cx.cores } else { 0.0 }
    }

    /// Releases the controller lease if another daemon should have it.
    pub(super) fn consider_handover(&mut self, now: Millis) {
        let lease = self.controller.lease_state();
        if !lease.may_issue_commands(now) {
            self.holder_since = None;
            return;
        }
        let tenure = now.since(*self.holder_since.get_or_insert(now));
        // A release that the store does not answer would leave the keys without a controller.
        if *self.store_fails.borrow() || lease.is_renewal_due(now) {
            return;
        }
        let own_cores = self.cx.cores;
        let others = self.daemons.values().map(|daemon| Successor {
            cores: daemon.controller_cores,
            report_age: now.since(daemon.last_report_at),
        });
        if should_hand_over(own_cores, tenure, others) {
            log::info!(target: "ownership", own_cores, tenure:% = tenure,
                daemons = self.daemons.len();
                "Controller lease is released for a daemon with more processor time.");
            self.holder_since = None;
            self.controller.yield_lease(now);
        }
    }
}
