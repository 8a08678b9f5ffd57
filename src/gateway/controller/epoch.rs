//! The start and the end of an epoch, during which this daemon holds the controller lease.

use super::{COMMAND_TIMEOUT, Controller, ManagedRange, Phase, ServiceRanges, reports::Reports};
use crate::{
    clock::Millis,
    collections::Set,
    gateway::{
        controller_lease::{LeaseRow, STOP_AFTER},
        owners::Owners,
        store_version::{era_of, store_version},
    },
    world::{Incarnation, ServiceName},
};
use std::sync::Arc;

/// Time for which a holder that has seen the lease row of a copy waits for the reports of all daemons.
/// Daemons report every 0.4 s.
const REPORTS_AWAITED_FOR: Millis = Millis(900);

impl Controller {
    pub(super) fn handle_lease(&mut self, version: u64, row: Option<LeaseRow>, now: Millis) {
        if self.resolve_pending_write(version, row.as_ref(), now) {
            return;
        }
        let was_holder = self.controller_lease.is_holder();
        let epoch_before = self.controller_lease.row().map(|row| row.epoch);
        self.controller_lease.observe(version, row, now);
        self.check_restoration(now);
        if was_holder && !self.controller_lease.is_holder() {
            self.yielding = false;
            log::warn!(target: "ownership", version;
                "Controller lease lost to another daemon; control stops.");
            self.drop_services();
        }
        // An earlier takeover by this daemon was committed late.
        let became_holder = !was_holder && self.controller_lease.is_holder();
        if became_holder && self.controller_lease.row().map(|row| row.epoch) != epoch_before {
            self.start_epoch(now, now + STOP_AFTER);
        }
    }

    /// After a restoration of the store, the holder goes on only if no other daemon can have taken the
    /// lease over before it, in a row that is lost: all daemons report that they have seen the copy, and
    /// that they already ran before the restoration. One that took the lease over reports nothing, and
    /// its next life does not know.
    pub(super) fn check_restoration(&mut self, now: Millis) {
        if !self.controller_lease.is_restored() || !self.controller_lease.is_holder() {
            self.copy_seen = None;
            return;
        }
        self.rows_outdated = true;
        let version = self.controller_lease.version();
        let seen_at = match self.copy_seen {
            Some((of, at)) if of == version => at,
            _ => now,
        };
        self.copy_seen = Some((version, seen_at));
        // Reports from before the last renewal exclude nothing.
        let is_in_time = self.controller_lease.may_issue_commands(now);
        if is_in_time && self.no_takeover_is_lost(now) {
            self.controller_lease.take_back();
        } else if !is_in_time || now.since(seen_at) >= REPORTS_AWAITED_FOR {
            log::warn!(target: "ownership", awaited:% = now.since(seen_at);
                "Controller lease is given up: another daemon may have taken it over before the restoration.");
            self.controller_lease.give_up();
            self.yielding = false;
            self.drop_services();
        }
    }

    /// The end of the predecessor shortens the wait for the leases that it granted.
    pub(super) fn handle_ended(&mut self, incarnation: Incarnation, now: Millis) {
        self.controller_lease.note_ended(incarnation);
        if self.predecessor != Some(incarnation) || !self.controller_lease.is_holder() {
            return;
        }
        self.predecessor = None;
        self.shorten_leases(self.latest_lease_end(now));
    }

    /// Shortens the wait for the leases that earlier controllers granted, which end by `lease_end`.
    pub(super) fn shorten_leases(&mut self, lease_end: Millis) {
        self.grace_end = self.grace_end.min(lease_end);
        for range in self.services.values_mut().flat_map(|m| &mut m.ranges) {
            if !range.confirmed {
                range.lease_end = range.lease_end.min(lease_end);
            }
        }
    }

    pub(super) fn drop_services(&mut self) {
        self.services.clear();
        self.former_owners.clear();
        self.loaded = false;
        self.reading = false;
        self.rows_outdated = false;
    }

    /// Starts an epoch. The predecessor may still send grants until `predecessor_end`.
    pub(super) fn start_epoch(&mut self, now: Millis, predecessor_end: Millis) {
        self.drop_services();
        self.reports = Reports::new(self.controller_lease.version(), now);
        self.drop_old_fleet(now);
        self.grace_end = self.latest_lease_end(predecessor_end);
        let epoch = self.controller_lease.row().map_or(0, |row| row.epoch);
        self.tokens.start_epoch(epoch);
        log::info!(target: "ownership", epoch, version = self.controller_lease.version();
            "Controller lease taken.");
    }

    /// When the leases have certainly expired that the predecessor, which sends commands until
    /// `predecessor_end`, and the controllers before it may have given.
    fn latest_lease_end(&self, predecessor_end: Millis) -> Millis {
        let commands_end = predecessor_end.max(self.controller_lease.replaced_active_until());
        commands_end + COMMAND_TIMEOUT + self.max_lease_time()
    }

    /// Starts from the owners in the store, which may hold their keys until `grace_end`. If the store
    /// came back from a copy, this daemon may know later ones.
    pub(super) fn load_owners(&mut self, rows: Vec<(ServiceName, u64, Owners)>, now: Millis) {
        self.reading = false;
        if !self.controller_lease.is_holder() {
            return;
        }
        if self.loaded {
            self.renew_row_versions(&rows);
            return;
        }
        for (service, version, owners, is_stale) in self.latest_owners(rows) {
            let mut managed = ServiceRanges::new(version, now);
            let latest_token = owners.latest_token();
            managed.needs_rewrite = is_stale || self.is_unconfirmed(latest_token);
            self.hold(&mut managed, latest_token);
            for owned in owners.ranges() {
                self.addrs.insert(owned.owner.clone(), owned.addr);
                let range = ManagedRange {
                    owner: Some(owned.owner.clone()),
                    assignment_token: owned.token,
                    handover: owned.handover.clone(),
                    phase: Phase::Held,
                    lease_end: self.grace_end,
                    grant_unacknowledged: true,
                    ..ManagedRange::new(self.next_id(), owned.keys, now)
                };
                managed.ranges.push(range);
            }
            self.services.insert(service, managed);
        }
        self.loaded = true;
        log::info!(target: "ownership", services = self.services.len();
            "Owners loaded from the store.");
    }

    /// The later owners of those in the rows and those that this daemon knows, with the versions of the
    /// rows, and whether a row has earlier ones.
    fn latest_owners(
        &self,
        rows: Vec<(ServiceName, u64, Owners)>,
    ) -> Vec<(ServiceName, u64, Arc<Owners>, bool)> {
        let in_rows: Set<ServiceName> = rows.iter().map(|(name, ..)| name.clone()).collect();
        let mut latest: Vec<(ServiceName, u64, Arc<Owners>, bool)> = rows
            .into_iter()
            .map(|(name, version, owners)| {
                let known = self.known_owners.get(&name);
                let later = known.filter(|known| known.latest_token() > owners.latest_token());
                let is_stale = later.is_some();
                let owners = later.map_or_else(|| Arc::new(owners), Arc::clone);
                (name, version, owners, is_stale)
            })
            .collect();
        let missing = self
            .known_owners
            .iter()
            .filter(|(name, owners)| !in_rows.contains(*name) && owners.latest_token() > 0);
        latest.extend(missing.map(|(name, owners)| {
            let version = store_version(era_of(self.controller_lease.version()), 0);
            (name.clone(), version, Arc::clone(owners), true)
        }));
        latest
    }

    /// Takes over the versions of the rows after a restoration of the store, whose content is written
    /// again.
    fn renew_row_versions(&mut self, rows: &[(ServiceName, u64, Owners)]) {
        let missing = store_version(era_of(self.controller_lease.version()), 0);
        for (name, managed) in &mut self.services {
            let row = rows.iter().find(|(in_row, ..)| in_row == name);
            managed.version = row.map_or(missing, |(_, version, _)| *version);
            managed.needs_rewrite = true;
        }
        self.rows_outdated = false;
        log::info!(target: "ownership", services = self.services.len();
            "Owners are written again after a restoration of the store.");
    }
}
