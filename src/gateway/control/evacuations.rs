//! Applies evacuations of zones, from the store and from the controller.

use super::Control;
use crate::{
    clock::Millis,
    gateway::{
        evacuation::{DeclaredRows, EvacuationsUpdate},
        platform::Platform,
        table_watch::TableUpdate,
    },
};

impl<P: Platform> Control<P> {
    /// Applies the evacuations in an update of the declarations.
    pub(super) fn apply_evacuation_rows(&mut self, update: &TableUpdate) {
        let now = self.cx.clock.now();
        let declared = DeclaredRows {
            rows: &update.rows,
            is_snapshot: update.is_snapshot,
            as_of: update.as_of,
            since: update.since,
        };
        let decode = |row: &_| self.platform.evacuation(row);
        let evacuations = self.builder.evacuations();
        if evacuations.apply_rows(declared, decode, now) {
            self.use_evacuations();
        }
    }

    /// Applies the evacuations in a reply of the controller, sent at `sent_at` at the earliest.
    pub(super) fn apply_evacuations_update(
        &mut self,
        update: &EvacuationsUpdate,
        sent_at: Millis,
        now: Millis,
    ) {
        if self
            .builder
            .evacuations()
            .apply_update(update, sent_at, now)
        {
            self.use_evacuations();
        }
    }

    /// Ends evacuations whose requests the store has lost.
    pub(super) fn end_lost_evacuations(&mut self, now: Millis) {
        if self.builder.evacuations().step(now) {
            self.use_evacuations();
        }
    }

    /// Publishes the evacuated zones, and passes them to the controller.
    fn use_evacuations(&mut self) {
        let zones = self.builder.evacuations().zones();
        let zones = zones.map(|(zone, evacuation)| (zone.clone(), evacuation.emptying()));
        self.controller.set_evacuations(zones.collect());
        self.publish();
    }
}
