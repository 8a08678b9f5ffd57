//! Applies updates from the store, or from the controller in its place.

use super::{
    Control,
    actions::{decode_owners, lease_event, lease_row},
};
use crate::{
    clock::Millis,
    gateway::{
        controller::Event,
        model::Configuration,
        owners::Owners,
        platform::{Platform, Rows, StoredRow, Table},
        registry::{EndpointChange, EndpointChanges, Registration},
        removal::{MissingEntry, is_mass_removal},
        table_watch::TableUpdate,
    },
    world::ServiceName,
};
use std::sync::{Arc, atomic::Ordering};

impl<P: Platform> Control<P> {
    pub(super) fn apply_update(&mut self, update: &TableUpdate) {
        match update.table {
            // Even without changes, an update shows how fresh the endpoints are.
            Table::Endpoints => return self.apply_endpoint_rows(update),
            Table::Declarations => {
                // Empty updates show how old a later evacuation can be.
                self.apply_evacuation_rows(update);
                let freshness = self.builder.freshness();
                freshness.set_declarations_as_of(update.as_of);
                if update.is_empty() {
                    return;
                }
                self.apply_declarations(&update.rows);
            }
            _ if update.is_empty() => return,
            Table::Owners => self.apply_owner_rows(&update.rows),
            Table::Controller => self.apply_lease(update),
        }
        self.publish();
    }

    fn apply_declarations(&mut self, rows: &Rows) {
        for row in &rows.rows {
            self.declarations = self.declarations.max(row.version);
            match self.platform.configuration(row) {
                Some(Ok(config)) => self.apply_config(config),
                Some(Err(reason)) => {
                    log::error!(target: "config", row:% = row.name, version = row.version, reason;
                        "Configuration cannot be decoded; the current one stays in force.");
                }
                None => {}
            }
        }
    }

    fn apply_config(&mut self, config: Configuration) {
        let (version, routes) = (config.version, config.routes.len());
        if !self.builder.set_config(config) {
            return;
        }
        log::info!(target: "config", version, routes; "Configuration in force.");
        let freshness = self.builder.freshness();
        freshness.set_config_since(self.cx.clock.now());
        let services = self.builder.config().map_or_else(Vec::new, |config| {
            config.services.values().cloned().collect()
        });
        let now = self.cx.clock.now();
        self.controller.handle(Event::Services(services), now);
    }

    fn apply_endpoint_rows(&mut self, update: &TableUpdate) {
        let since = update.since.unwrap_or_else(|| self.known_as_of());
        self.store_as_of = self.store_as_of.max(update.as_of);
        let now = self.cx.clock.now();
        let may_have_lapsed = self.cx.removals.may_have_lapsed(&self.contact, now);
        let changes = update.rows.rows.iter().map(|row| EndpointChange {
            name: Arc::clone(&row.name),
            version: row.version,
            registration: self.registration(row, may_have_lapsed),
        });
        let changes = EndpointChanges {
            changes: changes.collect(),
            version: update.rows.version,
            is_snapshot: update.is_snapshot,
            may_have_lapsed,
        };
        self.apply_endpoints(changes, since);
    }

    /// Changes of endpoints that the store acknowledged before this time are known.
    pub(super) fn known_as_of(&self) -> Millis {
        self.store_as_of.max(self.controller_as_of)
    }

    fn registration(&self, row: &StoredRow, may_have_lapsed: bool) -> Registration {
        if row.value.is_none() {
            return Registration::Removed { may_have_lapsed };
        }
        match self.platform.endpoint(row) {
            Ok(entry) => Registration::Present(entry),
            Err(reason) => {
                log::warn!(target: "health", row:% = row.name, version = row.version, reason;
                    "Endpoint row is invalid; it is treated as removed.");
                Registration::Removed { may_have_lapsed }
            }
        }
    }

    /// Applies changes of endpoints from the store or from the controller. The store acknowledged
    /// them after `since`.
    pub(super) fn apply_endpoints(&mut self, update: EndpointChanges, since: Millis) {
        let now = self.cx.clock.now();
        let is_first = self.registry.version() == 0;
        let is_restoration = self.registry.is_restored_by(&update);
        let silence = self.cx.removals.silence(&self.contact, now);
        let changes = self.registry.apply(update);
        let version = self.registry.version();
        self.watches
            .endpoints
            .known
            .store(version, Ordering::Relaxed);
        if changes.is_empty() && !is_first {
            return;
        }
        let mut missing: Vec<(Arc<str>, MissingEntry)> = Vec::new();
        for change in changes {
            match change.registration {
                Registration::Present(entry) => {
                    log::debug!(target: "health", endpoint:% = change.name,
                        version = change.version, draining = entry.draining,
                        warmup:% = entry.remaining_warmup;
                        "Endpoint registered.");
                    if self.instances.record(&entry.instance, change.version) {
                        self.forget_measurements(&entry.instance.name);
                    }
                    self.builder.register(entry, since, now);
                }
                Registration::Removed { may_have_lapsed } => {
                    self.instances.remove(&change.name);
                    let entry = MissingEntry {
                        since,
                        seen_at: now,
                        may_have_lapsed,
                        silence,
                        is_restoration,
                        is_mass: false,
                    };
                    missing.push((change.name, entry));
                }
            }
        }
        self.remove_endpoints(&missing, now);
        self.update_controller_endpoints();
        self.publish();
    }

    /// Discards what was measured at an earlier instance of an endpoint.
    fn forget_measurements(&mut self, endpoint: &str) {
        for load in self.load.values_mut() {
            load.forget(endpoint);
        }
        self.relative_latencies.forget(endpoint);
    }

    /// Removes endpoints whose entries are missing, some of them later.
    fn remove_endpoints(&mut self, missing: &[(Arc<str>, MissingEntry)], now: Millis) {
        let Some((first, entry)) = missing.first() else {
            return;
        };
        let known = self.builder.confirmed_names().len();
        let is_mass = is_mass_removal(missing.len(), known);
        let mut deferred = 0;
        for (name, entry) in missing {
            let entry = MissingEntry { is_mass, ..*entry };
            let until = self.cx.removals.awaited_until(&entry);
            deferred += usize::from(until.is_some());
            self.builder.remove(name, until, now);
        }
        log::info!(target: "health", first:% = first, count = missing.len(), deferred, known,
            unread_for:% = now.since(entry.since), silence:% = entry.silence.length(),
            may_have_lapsed = entry.may_have_lapsed, restored = entry.is_restoration, version = self.registry.version();
            "Endpoint entries are missing.");
    }

    /// Passes the present endpoints to the controller.
    pub(super) fn update_controller_endpoints(&mut self) {
        let now = self.cx.clock.now();
        let entries = self.builder.entries();
        self.controller.handle(Event::Endpoints(entries), now);
    }

    fn apply_owner_rows(&mut self, rows: &Rows) {
        for (service, version, owners) in decode_owners(&rows.rows) {
            self.set_owners(service, version, owners);
        }
    }

    /// Applies owners that this daemon wrote or read as the controller.
    pub(super) fn apply_owners(&mut self, rows: Vec<(ServiceName, u64, Owners)>) {
        let mut is_newer = false;
        for (service, version, owners) in rows {
            is_newer |= self.set_owners(service, version, owners);
        }
        if is_newer {
            self.publish();
        }
    }

    /// Sets the owners of a service. True if they are newer than the known ones.
    pub(super) fn set_owners(
        &mut self,
        service: ServiceName,
        version: u64,
        owners: Owners,
    ) -> bool {
        let is_newer = self.builder.set_owners(service.clone(), version, owners);
        if is_newer && let Some((version, owners)) = self.builder.owners_of(&service) {
            let is_sender = self.controller.lease_state().is_holder();
            self.owners
                .add(&service, version, Arc::clone(owners), is_sender);
        }
        is_newer
    }

    fn apply_lease(&mut self, update: &TableUpdate) {
        if !update.is_snapshot && lease_row(&update.rows).is_none() {
            return;
        }
        let now = self.cx.clock.now();
        let event = lease_event(&update.rows);
        self.controller.handle(event, now);
    }
}
