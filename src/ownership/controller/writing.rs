//! The controller while it holds the controller lease: the writes that it sends.

use super::{Action, Context, holding::Holding};
use crate::{
    ownership::{
        assignments::OwnerChange,
        controller_lease::PendingWrite,
        row::{ControllerRow, OutstandingHold, to_json},
        timing::{
            COMMIT_TIMEOUT, CONTROLLER_RENEWAL_INTERVAL, MOVE_WRITE_INTERVAL, WRITE_RETRY_DELAY,
        },
    },
    store::Transaction,
};
use std::sync::Arc;

/// Number of unresolved writes with moves from which on further writes only renew the lease.
const MAX_UNRESOLVED_MOVE_WRITES: usize = 4;

impl Holding {
    /// Sends the next write if one is due: a lease renewal with the moves that are ready.
    pub(super) fn write_if_due(&mut self, cx: &mut Context) {
        if self.writes.awaits_answer(cx.now - COMMIT_TIMEOUT) {
            return;
        }
        let changes = self.changes_to_write(cx);
        let urgent = !changes.is_empty()
            || self.is_releasing(cx)
            || self.hold.is_begun()
            || self.has_new_fronts();
        let interval = match (urgent, self.writes.attempts().is_empty()) {
            (true, true) => MOVE_WRITE_INTERVAL,
            (true, false) => WRITE_RETRY_DELAY,
            (false, _) => CONTROLLER_RENEWAL_INTERVAL,
        };
        if cx.now >= self.last_write + interval {
            self.write(changes, cx);
        }
    }

    fn changes_to_write(&mut self, cx: &Context) -> Vec<OwnerChange> {
        let unresolved = self.writes.attempts().iter();
        let with_moves = unresolved.filter(|a| !a.changes.is_empty()).count();
        if !self.is_valid(cx.now)
            || self.is_releasing(cx)
            || self.hold.is_begun()
            || !self.assignments.is_writable()
            || with_moves >= MAX_UNRESOLVED_MOVE_WRITES
        {
            return Vec::new();
        }
        self.ready_changes(cx)
    }

    fn write(&mut self, changes: Vec<OwnerChange>, cx: &mut Context) {
        let operation = cx.next_operation();
        let row = self.next_row(&operation, cx);
        let version = self.writes.version();
        let mut transaction = Transaction::default().replace(&cx.row_name, version, to_json(&row));
        if !changes.is_empty() {
            transaction = self
                .assignments
                .write(transaction, &changes, row.epoch, &operation);
        }
        self.last_write = cx.now;
        self.writes.begin(PendingWrite {
            operation: Arc::clone(&operation),
            sent: cx.now,
            row,
            changes,
            answered: false,
        });
        cx.actions.push(Action::Commit {
            operation,
            transaction,
        });
    }

    fn next_row(&self, operation: &Arc<str>, cx: &Context) -> ControllerRow {
        // While a write is unresolved, the standbys do not change: hold mode requires an
        // acknowledgement of the standbys of every row that may be the current one.
        let latest = self.writes.attempts().last().map_or(&self.row, |a| &a.row);
        let resolved = self.writes.attempts().is_empty() && !self.hold.is_begun();
        let (standbys, hold_ms) = if resolved {
            let standbys = cx.cluster.choose_standbys(&cx.me, &self.row.standbys);
            (standbys, cx.cluster.hold_ms)
        } else {
            (latest.standbys.clone(), latest.hold_ms)
        };
        ControllerRow {
            epoch: self.row.epoch + u64::from(self.hold.is_begun()),
            holder: cx.me.clone(),
            lease: latest.lease + 1,
            standbys,
            hold_ms,
            outstanding: self.outstanding(cx),
            fronts: self.fronts.clone().into_iter().collect(),
            released: self.is_releasing(cx),
            operation: Arc::clone(operation),
        }
    }

    /// Targets that may hold a hold-mode lease when a write sent now takes effect. Once hold mode
    /// has been requested, any owner may, because hold mode may be entered before the outcome of
    /// this write is known.
    fn outstanding(&self, cx: &Context) -> Vec<OutstandingHold> {
        let any = self.hold.is_begun() && !self.is_releasing(cx);
        let owners = self.assignments.targets();
        self.targets
            .iter()
            .filter(|(name, lease)| {
                !cx.is_gone(name) && (lease.has_hold_lease() || any && owners.contains(name))
            })
            .map(|(name, _)| {
                let length = self.hold_lengths.get(name).copied().unwrap_or_default();
                OutstandingHold {
                    target: name.clone(),
                    hold_ms: length.max(self.hold_length()),
                }
            })
            .collect()
    }

    /// Length of hold-mode leases, in milliseconds: the shortest one named by a row that may be the
    /// current one.
    pub(super) fn hold_length(&self) -> u64 {
        let attempts = self.writes.attempts().iter().map(|a| a.row.hold_ms);
        attempts.fold(self.row.hold_ms, u64::min)
    }
}
