//! Writes to the store: takeover, renewal and release of the controller lease, and new owners.

use super::{Action, COMMAND_TIMEOUT, Controller, Phase, RangeId, ServiceRanges};
use crate::{
    clock::Millis,
    gateway::{
        controller_lease::{LEASE_ROW, LeaseRow, STOP_AFTER},
        owners::Owners,
        platform::{RowWrite, Table, WriteOutcome},
    },
    world::ServiceName,
};
use std::sync::Arc;

/// Delay after a write that the store refused or did not answer.
const RETRY_DELAY: Millis = Millis(150);
/// Delay after a takeover that the store refused or did not answer. It is longer because all
/// daemons attempt takeovers at such times.
const TAKEOVER_RETRY_DELAY: Millis = Millis(700);

/// Minimum interval between writes of owners. Moves complete one by one, and each write contains
/// all owners of a service.
const OWNERS_WRITE_INTERVAL: Millis = Millis(100);

/// A write whose outcome is not known yet. It is repeated unchanged while it may have been
/// committed.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    row: LeaseRow,
    writes: Vec<RowWrite>,
    /// Ranges whose new owner it records, by service.
    ranges: Vec<(ServiceName, Vec<RangeId>)>,
    /// All owners that it writes, by service.
    owners: Vec<(ServiceName, Owners)>,
    takes_over: bool,
    sent: Millis,
    in_flight: bool,
    /// Whether an earlier attempt had no answer and may have been committed.
    may_be_committed: bool,
    /// Whether the lease row has to be read to learn the outcome, after a conflict.
    needs_lease_read: bool,
}

impl Controller {
    /// Issues the next write or repeats the pending one, if it is due.
    pub(super) fn issue_write(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.next_write_at {
            return;
        }
        if let Some(pending) = &mut self.pending {
            if pending.in_flight {
                return;
            }
            // Repeating the same conditional write reveals whether the first one was committed.
            pending.in_flight = true;
            actions.push(if pending.needs_lease_read {
                Action::ReadLease
            } else {
                Action::Write(pending.row.write_id, pending.writes.clone())
            });
            return;
        }
        let takes_over = !self.stopping
            && !self.store_failing
            && now >= self.takeover_paused_until
            && self.controller_lease.can_take_over(now);
        let unwritten = self.loaded
            && !self.rows_outdated
            && now >= self.next_owners_write_at
            && self.services.values().any(|m| m.has_unwritten(now));
        let renews = self.controller_lease.is_renewal_due(now)
            || (unwritten && self.controller_lease.may_issue_commands(now));
        // A successor may act at once after the release, so no grant may be on its way.
        let grants_in_flight = self
            .services
            .values()
            .any(ServiceRanges::has_grant_in_flight);
        let releases = (self.stopping || self.yielding)
            && self.controller_lease.is_holder()
            && !grants_in_flight;
        if takes_over || renews || releases {
            if unwritten {
                self.merge_ranges(now);
                self.renew_assignment_tokens(now);
                self.next_owners_write_at = now + OWNERS_WRITE_INTERVAL;
            }
            let pending = self.next_write(takes_over, releases, now);
            actions.push(Action::Write(pending.row.write_id, pending.writes.clone()));
            self.pending = Some(pending);
        }
    }

    fn merge_ranges(&mut self, now: Millis) {
        for managed in self.services.values_mut().filter(|m| m.has_unwritten(now)) {
            managed.merge_adjacent(now);
        }
    }

    /// Gives owners that are written again new tokens, which confirm them.
    fn renew_assignment_tokens(&mut self, now: Millis) {
        let mut tokens = self.tokens;
        let rewritten = self.services.values_mut();
        for managed in rewritten.filter(|m| m.needs_rewrite && m.has_unwritten(now)) {
            for range in &mut managed.ranges {
                range.assignment_token = tokens.next_token();
            }
        }
        self.tokens = tokens;
    }

    fn next_write(&self, takes_over: bool, releases: bool, now: Millis) -> PendingWrite {
        let mut row = self
            .controller_lease
            .next_row(self.peer_addr, rand::random(), releases);
        if !takes_over && self.tokens.needs_epoch() {
            row.epoch += 1;
        }
        let mut writes = vec![RowWrite {
            table: Table::Controller,
            name: LEASE_ROW.into(),
            expected: Some(self.controller_lease.version()),
            value: row.encode().ok(),
        }];
        let (mut ranges, mut owners) = (Vec::new(), Vec::new());
        let with_owners = !takes_over
            && !releases
            && self.loaded
            && !self.rows_outdated
            && self.controller_lease.may_issue_commands(now);
        let unwritten = self.services.iter().filter(|(_, m)| m.has_unwritten(now));
        for (name, managed) in unwritten.filter(|_| with_owners) {
            let ids = managed
                .ranges
                .iter()
                .filter(|range| range.phase == Phase::Writing);
            ranges.push((name.clone(), ids.map(|range| range.id).collect()));
            let written = managed.owners(&self.addrs);
            writes.push(RowWrite {
                table: Table::Owners,
                name: Arc::clone(&name.0),
                expected: Some(managed.version),
                value: written.encode().ok(),
            });
            owners.push((name.clone(), written));
        }
        PendingWrite {
            row,
            writes,
            ranges,
            owners,
            takes_over,
            sent: now,
            in_flight: true,
            may_be_committed: false,
            needs_lease_read: false,
        }
    }

    pub(super) fn handle_written(&mut self, id: u64, outcome: WriteOutcome, now: Millis) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.row.write_id == id) else {
            return;
        };
        pending.in_flight = false;
        let delay = if pending.takes_over {
            TAKEOVER_RETRY_DELAY
        } else {
            RETRY_DELAY
        };
        match outcome {
            WriteOutcome::Committed(version) => self.complete_write(version, now),
            WriteOutcome::Conflict => pending.needs_lease_read = true,
            WriteOutcome::Invalid => {
                log::error!(target: "ownership",
                    "Write rejected by the store as invalid; it is abandoned.");
                self.pending = None;
                self.next_write_at = now + RETRY_DELAY;
            }
            WriteOutcome::Unknown => {
                pending.may_be_committed = true;
                self.next_write_at = now + delay;
            }
            WriteOutcome::Refused => {
                if !pending.may_be_committed {
                    self.pending = None;
                }
                self.next_write_at = now + delay;
            }
        }
    }

    /// Applies the pending write, which was committed at `version`.
    fn complete_write(&mut self, version: u64, now: Millis) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let predecessor_ended = self.controller_lease.predecessor_has_ended();
        let predecessor_end = match predecessor_ended {
            true => now,
            false => self.controller_lease.renewed_by(now) + STOP_AFTER,
        };
        let predecessor_name = self.controller_lease.row().map(|row| row.holder.clone());
        let predecessor = self
            .controller_lease
            .row()
            .map(|row| row.incarnation)
            .filter(|_| !predecessor_ended);
        // A renewal that was sent before the lease was given up starts anew.
        let starts_epoch = pending.takes_over || self.controller_lease.has_given_up();
        // The owners' rows are those of the copy as well.
        self.rows_outdated |= self.controller_lease.is_restored() && !pending.takes_over;
        self.controller_lease
            .record_commit(version, pending.row, pending.sent, now);
        self.check_restoration(now);
        if starts_epoch {
            self.start_epoch(now, predecessor_end);
            self.predecessor = predecessor;
            self.predecessor_name = predecessor_name;
        } else if let Some(row) = self.controller_lease.row() {
            self.tokens.start_epoch(row.epoch);
        }
        // The store came back from a copy, and the rows are written again.
        if self.controller_lease.is_restored() {
            return;
        }
        for (name, ids) in pending.ranges {
            let Some(managed) = self.services.get_mut(&name) else {
                continue;
            };
            managed.version = version;
            managed.needs_rewrite = false;
            for id in ids {
                if let Some(range) = managed.range_mut(id) {
                    range.phase = Phase::Held;
                    range.next_command_at = now;
                }
            }
            log::info!(target: "ownership", service:% = name, version,
                ranges = managed.ranges.len(); "Owners written to the store.");
        }
        let written = pending.owners.into_iter();
        self.written_owners
            .extend(written.map(|(name, owners)| (name, version, owners)));
        if !self.controller_lease.is_holder() {
            self.yielding = false;
            self.drop_services();
        }
    }

    /// Owners that were written since the last call, with the versions of their rows.
    pub fn take_written_owners(&mut self) -> Vec<(ServiceName, u64, Owners)> {
        std::mem::take(&mut self.written_owners)
    }

    /// Derives the outcome of the pending write from the lease row that was read. True if the write
    /// was committed.
    pub(super) fn resolve_pending_write(
        &mut self,
        version: u64,
        row: Option<&LeaseRow>,
        now: Millis,
    ) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        if row.is_some_and(|row| row.write_id == pending.row.write_id) {
            self.complete_write(version, now);
            return true;
        }
        // The row has another version, so the condition of the pending write can no longer hold.
        if version > self.controller_lease.version() || pending.needs_lease_read {
            let still_holder =
                self.controller_lease.is_holder() && version == self.controller_lease.version();
            self.pending = None;
            if still_holder {
                // The lease row is unchanged, so the conflict is in a service's owners row.
                log::error!(target: "ownership", version;
                    "Owners row changed by another writer; owners are read again.");
                self.drop_services();
                self.grace_end = now + STOP_AFTER + COMMAND_TIMEOUT + self.max_lease_time();
            }
        }
        false
    }
}
