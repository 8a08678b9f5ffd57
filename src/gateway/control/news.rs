//! Takes in what the store shows, and what the controller tells in its place.

use super::{
    Control,
    actions::{decode_owners, lease_event},
};
use crate::{
    clock::Millis,
    gateway::{
        controller::Event,
        model::Configuration,
        owners::Owners,
        platform::{Platform, Rows, StoredRow, Table},
        registry::{EndpointChange, EndpointChanges, Registration},
        table_watch::TableUpdate,
    },
    world::ServiceName,
};
use std::sync::{Arc, atomic::Ordering};

/// Time for which entries that vanished while the store failed are kept: the endpoints that live
/// register again within 2 s.
const DOUBT: Millis = Millis(2_100);
/// Time for which entries are kept that vanished together while the store answered.
const MASS_DOUBT: Millis = Millis(1_500);
/// Share of a service's entries that vanish at once when the store, and not the endpoints, failed.
const MASS_PERCENT: usize = 50;
/// Entries that vanish at once are told from single ones from this number.
const MASS_COUNT: usize = 3;

impl<P: Platform> Control<P> {
    pub(super) fn take_news(&mut self, news: &TableUpdate) {
        match news.table {
            // They tell how fresh the endpoints are even if none changed.
            Table::Endpoints => return self.take_endpoints(news),
            _ if news.is_empty() => return,
            Table::Declarations => self.take_declarations(&news.rows),
            Table::Owners => self.take_owners(&news.rows),
            Table::Controller => self.take_lease(&news.rows),
        }
        self.publish();
    }

    fn take_declarations(&mut self, rows: &Rows) {
        for row in &rows.rows {
            self.declarations = self.declarations.max(row.version);
            match self.platform.configuration(row) {
                Some(Ok(config)) => self.configure(config),
                Some(Err(reason)) => {
                    log::error!(target: "config", row:% = row.name, version = row.version, reason;
                        "Configuration not readable; the present one stays in force.");
                }
                None => {}
            }
        }
    }

    fn configure(&mut self, config: Configuration) {
        let (version, routes) = (config.version, config.routes.len());
        if !self.builder.set_config(config) {
            return;
        }
        log::info!(target: "config", version, routes; "Configuration in force.");
        let keyed = self.builder.config().map_or_else(Vec::new, |config| {
            let keyed = config.services.values().filter(|service| service.keyed);
            keyed.map(|service| service.name.clone()).collect()
        });
        let now = self.cx.clock.now();
        self.controller.handle(Event::Services(keyed), now);
    }

    fn take_endpoints(&mut self, news: &TableUpdate) {
        let since = news.since.unwrap_or_else(|| self.known_as_of());
        self.as_of = self.as_of.max(news.as_of);
        let changes = news.rows.rows.iter().map(|row| EndpointChange {
            name: Arc::clone(&row.name),
            version: row.version,
            registration: self.registration(row, news.after_failure),
        });
        let changes = EndpointChanges {
            changes: changes.collect(),
            version: news.rows.version,
            is_snapshot: news.is_snapshot,
            after_failure: news.after_failure,
        };
        self.apply_endpoints(changes, since);
    }

    /// Changes of endpoints that were acknowledged before this time are known.
    pub(super) fn known_as_of(&self) -> Millis {
        self.as_of.max(self.told_as_of)
    }

    fn registration(&self, row: &StoredRow, after_failure: bool) -> Registration {
        if row.value.is_none() {
            return Registration::Removed { after_failure };
        }
        match self.platform.endpoint(row) {
            Ok(entry) => Registration::Present(entry),
            Err(reason) => {
                log::warn!(target: "health", row:% = row.name, version = row.version, reason;
                    "Entry names no endpoint.");
                Registration::Removed { after_failure }
            }
        }
    }

    /// Takes in endpoints that changed, from the store or from the controller. The changes were
    /// acknowledged after `since`.
    pub(super) fn apply_endpoints(&mut self, news: EndpointChanges, since: Millis) {
        let now = self.cx.clock.now();
        let is_first = self.registry.version() == 0;
        let changes = self.registry.apply(news);
        let version = self.registry.version();
        self.watches
            .endpoints
            .known
            .store(version, Ordering::Relaxed);
        if changes.is_empty() && !is_first {
            return;
        }
        let mut gone: Vec<(Arc<str>, bool)> = Vec::new();
        for change in changes {
            match change.registration {
                Registration::Present(entry) => {
                    log::debug!(target: "health", endpoint:% = change.name,
                        version = change.version, draining = entry.draining;
                        "Endpoint registered.");
                    self.builder.register(entry, since, now);
                }
                Registration::Removed { after_failure } => gone.push((change.name, after_failure)),
            }
        }
        self.remove(&gone, now);
        self.tell_endpoints();
        self.publish();
    }

    /// Removes entries, some of them only after a while in which they may return.
    fn remove(&mut self, gone: &[(Arc<str>, bool)], now: Millis) {
        let known = self.builder.confirmed_names().len();
        let is_mass = gone.len() >= MASS_COUNT && gone.len() * 100 >= known * MASS_PERCENT;
        for (name, after_failure) in gone {
            let doubt = match (after_failure, is_mass) {
                (true, _) => Some(now + DOUBT),
                (false, true) => Some(now + MASS_DOUBT),
                (false, false) => None,
            };
            log::info!(target: "health", endpoint:% = name, version = self.registry.version(),
                doubted = doubt.is_some(); "Endpoint entry gone.");
            self.builder.remove(name, doubt, now);
        }
    }

    pub(super) fn tell_endpoints(&mut self) {
        let now = self.cx.clock.now();
        let entries = self.builder.entries();
        self.controller.handle(Event::Endpoints(entries), now);
    }

    fn take_owners(&mut self, rows: &Rows) {
        for (service, version, owners) in decode_owners(&rows.rows) {
            self.own(service, version, owners);
        }
    }

    /// Takes in owners that this daemon wrote or read as the controller.
    pub(super) fn take_written(&mut self, written: Vec<(ServiceName, u64, Owners)>) {
        let mut is_newer = false;
        for (service, version, owners) in written {
            is_newer |= self.own(service, version, owners);
        }
        if is_newer {
            self.publish();
        }
    }

    /// Takes in owners. True if they are newer than the known ones.
    pub(super) fn own(&mut self, service: ServiceName, version: u64, owners: Owners) -> bool {
        let is_newer = self.builder.set_owners(service.clone(), version, owners);
        if is_newer && let Some((version, owners)) = self.builder.owners_of(&service) {
            let tells_others = self.controller.term().is_mine();
            self.owners
                .note(&service, version, Arc::clone(owners), tells_others);
        }
        is_newer
    }

    fn take_lease(&mut self, rows: &Rows) {
        let now = self.cx.clock.now();
        let event = lease_event(rows);
        self.controller.handle(event, now);
    }
}
