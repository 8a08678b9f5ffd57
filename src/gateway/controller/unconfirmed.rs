//! Owners from before a restoration of the store, which no controller has confirmed since.
//!
//! The copy may lack the last owners before the restoration, and so may a controller that took the lease
//! over: it may have started since, or missed the last holder. It grants nothing until all daemons have
//! reported that they know no later owners, or until all leases of that time have ended. It then writes the
//! owners again with new tokens, by which its successors know that they are confirmed.

use super::{COMMAND_TIMEOUT, Controller, ServiceRanges};
use crate::{
    clock::Millis,
    gateway::{
        controller_lease::{STOP_AFTER, era_of_epoch, first_epoch},
        store_version::era_of,
    },
};

/// The first era of a store. Stores without restorations name none, which reads as 0.
const FIRST_ERA: u64 = 1;

impl Controller {
    /// Whether owners are not granted keys yet because they may not be the last ones, or are not loaded.
    pub fn has_unconfirmed(&self, now: Millis) -> bool {
        let mut services = self.services.values();
        !self.loaded || services.any(|managed| now < managed.on_hold_until)
    }

    /// Whether owners with this latest token were last written before the last restoration of the store.
    pub(super) fn is_unconfirmed(&self, latest_token: u64) -> bool {
        let era = era_of(self.controller_lease.version());
        era > FIRST_ERA && latest_token < self.tokens.first_of(first_epoch(era))
    }

    /// Lets a service wait whose owners have this latest token, if they are unconfirmed. The controller
    /// before the restoration renewed its own lease before this daemon saw the restoration.
    pub(super) fn hold(&self, managed: &mut ServiceRanges, latest_token: u64) {
        if self.is_unconfirmed(latest_token) {
            let commands_end = self.controller_lease.era_seen_at() + STOP_AFTER;
            managed.on_hold_until = commands_end + self.command_and_lease();
            managed.owners_token = latest_token;
        }
    }

    /// Ends the waits that the reports of the other daemons make needless, or shortens them: once all
    /// have reported, none sends commands for an earlier epoch.
    pub(super) fn update_holds(&mut self, now: Millis) {
        if !self.has_unconfirmed(now) {
            return;
        }
        let Some(complete_at) = self.reports_complete_at(now) else {
            return;
        };
        let leases_end = complete_at + self.command_and_lease();
        let known_since = self.controller_lease.known_since();
        let reports = &self.reports;
        for (service, managed) in &mut self.services {
            if now >= managed.on_hold_until {
                continue;
            }
            let token = managed.owners_token;
            let era = era_of_epoch(self.tokens.epoch_of(token)).max(FIRST_ERA);
            let knows_all = known_since.is_some_and(|since| since <= era);
            if knows_all && reports.confirm(service, token, era) {
                managed.on_hold_until = now;
                log::info!(target: "ownership", service:% = service, token = managed.owners_token;
                    "All daemons know the same owners from before the restoration of the store.");
            } else if leases_end < managed.on_hold_until {
                managed.on_hold_until = leases_end;
                log::warn!(target: "ownership", service:% = service, token = managed.owners_token,
                    wait:% = leases_end.since(now);
                    "Owners before the restoration of the store are uncertain; no keys are granted before all leases have ended.");
            }
        }
    }

    pub(super) fn command_and_lease(&self) -> Millis {
        COMMAND_TIMEOUT + self.max_lease_time()
    }
}
