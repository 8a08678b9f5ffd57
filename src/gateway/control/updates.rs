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
        table_watch::TableUpdate,
    },
    world::ServiceName,
};
use std::sync::{Arc, atomic::Ordering};

/// Delay before entries are removed that vanished while the store failed: endpoints that are alive
/// register again within 2 s.
const REMOVAL_DELAY: Millis = Millis(2_100);
/// Delay before entries are removed that vanished together while the store answered.
const MASS_REMOVAL_DELAY: Millis = Millis(1_500);
/// Percentage of all entries that have to vanish at once for the loss to be attributed to a failure
/// of the store and not of the endpoints.
const MASS_REMOVAL_PERCENT: usize = 50;
/// Fewest entries that count as a mass removal.
const MIN_MASS_REMOVAL: usize = 3;

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
        let changes = update.rows.rows.iter().map(|row| EndpointChange {
            name: Arc::clone(&row.name),
            version: row.version,
            registration: self.registration(row, update.after_failure),
        });
        let changes = EndpointChanges {
            changes: changes.collect(),
            version: update.rows.version,
            is_snapshot: update.is_snapshot,
            after_failure: update.after_failure,
        };
        self.apply_endpoints(changes, since);
    }

    /// Changes of endpoints that the store acknowledged before this time are known.
    pub(super) fn known_as_of(&self) -> Millis {
        self.store_as_of.max(self.controller_as_of)
    }

    fn registration(&self, row: &StoredRow, after_failure: bool) -> Registration {
        if row.value.is_none() {
            return Registration::Removed { after_failure };
        }
        match self.platform.endpoint(row) {
            Ok(entry) => Registration::Present(entry),
            Err(reason) => {
                log::warn!(target: "health", row:% = row.name, version = row.version, reason;
                    "Endpoint row is invalid; it is treated as removed.");
                Registration::Removed { after_failure }
            }
        }
    }

    /// Applies changes of endpoints from the store or from the controller. The store acknowledged
    /// them after `since`.
    pub(super) fn apply_endpoints(&mut self, update: EndpointChanges, since: Millis) {
        let now = self.cx.clock.now();
        let is_first = self.registry.version() == 0;
        let changes = self.registry.apply(update);
        let version = self.registry.version();
        self.watches
            .endpoints
            .known
            .store(version, Ordering::Relaxed);
        if changes.is_empty() && !is_first {
            return;
        }
        let mut removed: Vec<(Arc<str>, bool)> = Vec::new();
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
                Registration::Removed { after_failure } => {
                    self.instances.remove(&change.name);
                    removed.push((change.name, after_failure));
                }
            }
        }
        self.remove_endpoints(&removed, now);
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

    /// Removes endpoints. Removals that may stem from a failure of the store are deferred, since
    /// the endpoints may return.
    fn remove_endpoints(&mut self, removed: &[(Arc<str>, bool)], now: Millis) {
        let known = self.builder.confirmed_names().len();
        let is_mass = removed.len() >= MIN_MASS_REMOVAL
            && removed.len() * 100 >= known * MASS_REMOVAL_PERCENT;
        if let Some((first, _)) = removed.first() {
            let deferred = removed
                .iter()
                .filter(|(_, after_failure)| is_mass || *after_failure);
            log::info!(target: "health", first:% = first, count = removed.len(),
                deferred = deferred.count(), known, version = self.registry.version();
                "Endpoint entries are missing.");
        }
        for (name, after_failure) in removed {
            let defer_until = match (after_failure, is_mass) {
                (true, _) => Some(now + REMOVAL_DELAY),
                (false, true) => Some(now + MASS_REMOVAL_DELAY),
                (false, false) => None,
            };
            self.builder.remove(name, defer_until, now);
        }
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
