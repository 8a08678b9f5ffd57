//! Relative latencies of endpoints: aggregated by the controller and applied on every daemon.

use super::Control;
use crate::{
    clock::Millis,
    gateway::{platform::Platform, relative_latency::RelativeLatencyUpdate},
};

/// Interval at which the controller aggregates the relative latencies that all daemons reported.
const REFRESH_INTERVAL: Millis = Millis(1_500);

impl<P: Platform> Control<P> {
    /// Aggregates the reported relative latencies if this daemon is the controller and it is due.
    pub(super) fn refresh_relative_latencies(&mut self, now: Millis) {
        let is_holder = self.controller.lease_state().is_holder();
        if !is_holder || now.since(self.latencies_refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.latencies_refreshed_at = now;
        let known = self.builder.confirmed_names().into_iter().collect();
        self.relative_latencies.refresh(&known, now);
        let update = self.latencies_update(self.latencies_known);
        if let Some((slowest, latency)) = update.latencies.iter().max_by(|a, b| a.1.total_cmp(&b.1))
        {
            log::info!(target: "health", version = update.version, changed = update.latencies.len(),
                slowest:% = slowest, pace:? = latency; "Relative latencies changed.");
        }
        self.apply_latencies(&update);
    }

    /// Epoch of the controller lease; 0 if there is none.
    fn epoch(&self) -> u64 {
        self.controller
            .lease_state()
            .row()
            .map_or(0, |row| row.epoch)
    }

    /// The changes for a daemon that has the relative latencies of an epoch up to a version.
    pub(super) fn latencies_update(
        &self,
        (known_epoch, version): (u64, u64),
    ) -> RelativeLatencyUpdate {
        let epoch = self.epoch();
        let known = if known_epoch == epoch { version } else { 0 };
        self.relative_latencies.changes_after(epoch, known)
    }

    /// Applies an update from the controller.
    pub(super) fn apply_latencies(&mut self, update: &RelativeLatencyUpdate) {
        self.builder.set_relative_latencies(&update.latencies);
        self.latencies_known = (update.epoch, update.version);
    }
}
