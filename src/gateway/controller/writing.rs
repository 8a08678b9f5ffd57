//! Writes to the store: renewals of the lease, together with new owners.

use super::{Action, Controller, ORDER_TIMEOUT, Phase, RangeId, STOP_AFTER};
use crate::{
    clock::Millis,
    gateway::{
        owners::Owners,
        platform::{RowWrite, Table, WriteOutcome},
        term::LeaseRow,
    },
    world::ServiceName,
};
use std::sync::Arc;

/// Name of the lease row.
pub const LEASE_ROW: &str = "controller";
/// Pause after a write that the store refused or did not answer.
const RETRY_PAUSE: Millis = Millis(150);
/// Pause after a takeover that the store refused or did not answer. All daemons try at such times.
const TAKEOVER_PAUSE: Millis = Millis(700);

/// Least time between writes of owners. Moves end one by one, and each write holds all owners of a
/// service.
const OWNERS_EVERY: Millis = Millis(100);

/// A write whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    row: LeaseRow,
    writes: Vec<RowWrite>,
    /// Ranges that it writes, by service.
    ranges: Vec<(ServiceName, Vec<RangeId>)>,
    /// Owners that it writes, by service.
    owners: Vec<(ServiceName, Owners)>,
    takes_over: bool,
    sent: Millis,
    on_its_way: bool,
    may_have_run: bool,
    reads_lease: bool,
}

impl Controller {
    /// Sends the next write, if there is one.
    pub(super) fn write_next(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.not_before {
            return;
        }
        if let Some(pending) = &mut self.pending {
            if pending.on_its_way {
                return;
            }
            // The same write again: it settles whether the first one took effect.
            pending.on_its_way = true;
            actions.push(if pending.reads_lease {
                Action::ReadLease
            } else {
                Action::Write(pending.row.write_id, pending.writes.clone())
            });
            return;
        }
        let takes_over = !self.stopping && !self.store_fails && self.term.can_take_over(now);
        let unwritten = self.loaded
            && now >= self.next_owners
            && self.services.values().any(|m| m.has_unwritten());
        let renews = self.term.is_due(now) || (unwritten && self.term.may_act(now));
        let gives_up = self.stopping && self.term.is_mine();
        if takes_over || renews || gives_up {
            if unwritten {
                self.join_ranges(now);
                self.next_owners = now + OWNERS_EVERY;
            }
            let pending = self.next_write(takes_over, gives_up, now);
            actions.push(Action::Write(pending.row.write_id, pending.writes.clone()));
            self.pending = Some(pending);
        }
    }

    fn join_ranges(&mut self, now: Millis) {
        let mut token = self.last_token;
        for managed in self.services.values_mut().filter(|m| m.has_unwritten()) {
            managed.join_neighbours(now, || {
                token += 1;
                token
            });
        }
        self.last_token = token;
    }

    fn next_write(&self, takes_over: bool, gives_up: bool, now: Millis) -> PendingWrite {
        let row = self.term.next(self.peer_addr, rand::random(), gives_up);
        let mut writes = vec![RowWrite {
            table: Table::Controller,
            name: LEASE_ROW.into(),
            expected: Some(self.term.version()),
            value: row.encode().ok(),
        }];
        let (mut ranges, mut owners) = (Vec::new(), Vec::new());
        let with_owners = !takes_over && !gives_up && self.loaded && self.term.may_act(now);
        let unwritten = self.services.iter().filter(|(_, m)| m.has_unwritten());
        for (name, managed) in unwritten.filter(|_| with_owners) {
            let ids = managed.ranges.iter().filter(|h| h.phase == Phase::Writing);
            ranges.push((name.clone(), ids.map(|held| held.id).collect()));
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
            on_its_way: true,
            may_have_run: false,
            reads_lease: false,
        }
    }

    pub(super) fn finish_write(&mut self, id: u64, outcome: WriteOutcome, now: Millis) {
        let Some(pending) = self.pending.as_mut().filter(|p| p.row.write_id == id) else {
            return;
        };
        pending.on_its_way = false;
        let pause = if pending.takes_over {
            TAKEOVER_PAUSE
        } else {
            RETRY_PAUSE
        };
        match outcome {
            WriteOutcome::Committed(version) => self.settle(version, now),
            WriteOutcome::Conflict => pending.reads_lease = true,
            WriteOutcome::Invalid => {
                log::error!(target: "ownership", "The store takes no row like this one.");
                self.pending = None;
                self.not_before = now + RETRY_PAUSE;
            }
            WriteOutcome::Unknown => {
                pending.may_have_run = true;
                self.not_before = now + pause;
            }
            WriteOutcome::Refused => {
                if !pending.may_have_run {
                    self.pending = None;
                }
                self.not_before = now + pause;
            }
        }
    }

    /// The pending write took effect at `version`.
    fn settle(&mut self, version: u64, now: Millis) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        let former_ended = self.term.former_has_ended();
        let former_name = self.term.row().map(|row| row.holder.clone());
        let former_run = self.term.row().map(|row| row.run).filter(|_| !former_ended);
        self.term.wrote(version, pending.row, pending.sent, now);
        if pending.takes_over {
            let former = if former_ended {
                Millis::ZERO
            } else {
                STOP_AFTER
            };
            self.start_epoch(now, former);
            self.former = former_run;
            self.former_name = former_name;
        }
        for (name, ids) in pending.ranges {
            let Some(managed) = self.services.get_mut(&name) else {
                continue;
            };
            managed.version = version;
            for id in ids {
                if let Some(held) = managed.range_mut(id) {
                    held.phase = Phase::Held;
                    held.due = now;
                }
            }
            log::info!(target: "ownership", service:% = name, version,
                ranges = managed.ranges.len(); "Owners written.");
        }
        let written = pending.owners.into_iter();
        self.written
            .extend(written.map(|(name, owners)| (name, version, owners)));
        if self.stopping {
            self.drop_services();
        }
    }

    /// Owners that were written since the last call, with the versions of their rows.
    pub fn take_written(&mut self) -> Vec<(ServiceName, u64, Owners)> {
        std::mem::take(&mut self.written)
    }

    /// Settles the pending write by the lease row that was read. True if it is settled as done.
    pub(super) fn settle_by_lease(
        &mut self,
        version: u64,
        row: Option<&LeaseRow>,
        now: Millis,
    ) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        if row.is_some_and(|row| row.write_id == pending.row.write_id) {
            self.settle(version, now);
            return true;
        }
        // Another version of the row: the condition of the pending write can no longer hold.
        if version > self.term.version() || pending.reads_lease {
            let mine = self.term.is_mine() && version == self.term.version();
            self.pending = None;
            if mine {
                // The row of a service is not as this controller wrote it.
                log::error!(target: "ownership", version; "Owners changed by somebody else.");
                self.drop_services();
                self.grace = now + STOP_AFTER + ORDER_TIMEOUT + self.longest_lease();
            }
        }
        false
    }
}
