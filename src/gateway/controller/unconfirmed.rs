//! Owners from before a restoration of the store, which no controller has confirmed since.
//!
//! The copy may lack the last owners before the restoration, and so may a controller that took the lease
//! over: it may have started since, or missed the last holder. It grants nothing until all daemons have
//! reported that they know no later owners, or until all leases of that time have ended. It then writes the
//! owners again with new tokens, by which its successors know that they are confirmed.

use super::{COMMAND_TIMEOUT, Controller, ServiceRanges};
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller_lease::{STOP_AFTER, first_epoch},
        store_version::era_of,
    },
    world::{ServiceName, VmName},
};

/// The first era of a store. Stores without restorations name none, which reads as 0.
const FIRST_ERA: u64 = 1;

/// What a daemon knows of the owners from before the last restoration of the store.
#[derive(Clone, Debug)]
pub struct EarlierOwners {
    /// Whether it was in contact with the controller or the store before the restoration.
    pub knew_row: bool,
    /// The latest token of the owners of each service that it knows from whatever source.
    pub tokens: Vec<(ServiceName, u64)>,
}

/// What the daemons have reported in this epoch.
#[derive(Debug, Default)]
pub(super) struct Reports {
    earlier_owners: Map<VmName, EarlierOwners>,
    /// When all daemons had reported. None of them has acted as a controller since.
    complete_at: Option<Millis>,
}

impl Reports {
    /// Whether all daemons knew the owners before the restoration, and none knows later ones of a service
    /// than `token`.
    fn confirm(&self, service: &ServiceName, token: u64) -> bool {
        self.earlier_owners.values().all(|known| {
            let mut tokens = known.tokens.iter();
            known.knew_row && tokens.all(|(name, known)| name != service || *known <= token)
        })
    }
}

impl Controller {
    /// Sets the number of daemons before this one takes the lease over, including itself.
    pub fn set_expected_daemons(&mut self, daemons: usize) {
        self.expected_daemons = Some(daemons);
    }

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
            let commands_end = self.controller_lease.era_seen().at + STOP_AFTER;
            managed.on_hold_until = commands_end + self.command_and_lease();
            managed.owners_token = latest_token;
        }
    }

    /// Records what another daemon reports while this one holds the lease.
    pub(super) fn handle_earlier_owners(&mut self, daemon: VmName, known: EarlierOwners) {
        if self.controller_lease.is_holder() {
            self.reports.earlier_owners.insert(daemon, known);
        }
    }

    /// Ends the waits that the reports of the other daemons make needless, or shortens them: once all
    /// have reported, none sends commands for an earlier epoch.
    pub(super) fn update_holds(&mut self, now: Millis) {
        if !self.has_unconfirmed(now) {
            return;
        }
        let others = self
            .expected_daemons
            .map(|daemons| daemons.saturating_sub(1));
        if others.is_none_or(|others| self.reports.earlier_owners.len() < others) {
            return;
        }
        let complete_at = *self.reports.complete_at.get_or_insert(now);
        let leases_end = complete_at + self.command_and_lease();
        let knew_row = self.controller_lease.era_seen().knew_row;
        for (service, managed) in &mut self.services {
            if now >= managed.on_hold_until {
                continue;
            }
            if knew_row && self.reports.confirm(service, managed.owners_token) {
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

    fn command_and_lease(&self) -> Millis {
        COMMAND_TIMEOUT + self.max_lease_time()
    }
}
