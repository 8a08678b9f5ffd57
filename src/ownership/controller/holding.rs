//! The controller while it holds the controller lease: its state, and the effects of its writes.

use super::{Action, Context, ControllerStatus, Event, Role, moving::Move, observing::Observing};
use crate::{
    clock::Millis,
    collections::Map,
    ownership::{
        assignments::Assignments,
        controller_lease::{PendingWrite, PendingWrites, WriteEffect},
        hold::HoldMode,
        partition_rates::{MoveBudget, PartitionRates},
        placement::Candidate,
        row::ControllerRow,
        target_lease::{GrantSet, TargetLease},
        timing::{
            CONTROLLER_LEASE, FIRST_CONTACT_TIMEOUT, ISOLATION_COOLDOWN, ISOLATION_TIMEOUT,
            TARGET_LEASE, WRITE_RETRY_DELAY, latest_end,
        },
    },
    partition::Partition,
    table::{RoutingTable, TableVersion},
    world::{Link, VmName},
};
use std::{collections::BTreeMap, sync::Arc};

/// Grants leases, moves partitions and renews the controller lease.
#[derive(Debug)]
pub(super) struct Holding {
    /// The row as last confirmed.
    pub row: ControllerRow,
    pub writes: PendingWrites,
    pub lease_ends: Millis,
    /// When the last confirmed write was sent, or earlier.
    pub confirmed_at: Millis,
    pub assignments: Assignments,
    pub targets: BTreeMap<VmName, TargetLease>,
    /// Lengths of the leases granted in hold mode that targets may hold, in milliseconds.
    pub hold_lengths: Map<VmName, u64>,
    pub sets: Map<VmName, GrantSet>,
    pub sets_changed: bool,
    pub moves: BTreeMap<Partition, Move>,
    pub candidates: Vec<Candidate>,
    pub next_placement: Millis,
    pub partition_rates: PartitionRates,
    pub budget: MoveBudget,
    pub hold: HoldMode,
    /// Until when placement in a new group waits for newly listed targets to answer.
    pub initial_wait_ends: Millis,
    /// Front daemons named by the next write; they are granted leases once the row confirms them.
    pub fronts: BTreeMap<VmName, Link>,
    /// A target whose front daemon is to be replaced by one in the target's zone.
    pub misplaced: Option<VmName>,
    pub next_front_move: Millis,
    /// When a target or a front daemon other than this one last answered.
    pub last_contact: Millis,
    /// Whether any has answered since the takeover.
    pub had_contact: bool,
    /// Whether the latest exchange with one of them failed.
    pub is_failing: bool,
    /// Whether the controller lease is being released because no target can be reached.
    isolated: bool,
    first_epoch: u64,
    pub last_write: Millis,
    revision: u64,
    loading: bool,
    retry_load_at: Millis,
}

impl Holding {
    /// Starts as the holder after the takeover `attempt`, which gave the row `version`.
    pub fn new(
        version: u64,
        attempt: PendingWrite,
        assignments: Assignments,
        cx: &mut Context,
    ) -> Self {
        let sent = attempt.sent;
        let mut targets = BTreeMap::new();
        for target in assignments.targets() {
            let lease = TargetLease::inherited(latest_end(sent, TARGET_LEASE), false);
            targets.insert(target, lease);
        }
        let mut hold_lengths = Map::default();
        for hold in &attempt.row.outstanding {
            let ends = latest_end(sent, Millis(hold.hold_ms));
            let lease = TargetLease::inherited(ends, true);
            targets.insert(hold.target.clone(), lease);
            hold_lengths.insert(hold.target.clone(), hold.hold_ms);
        }
        cx.info(format_args!(
            "Took over. epoch={} standbys={} outstanding_holds={}",
            attempt.row.epoch,
            attempt.row.standbys.len(),
            attempt.row.outstanding.len()
        ));
        let mut holding = Self {
            first_epoch: attempt.row.epoch,
            writes: PendingWrites::new(version),
            lease_ends: sent + CONTROLLER_LEASE,
            confirmed_at: sent,
            assignments,
            targets,
            hold_lengths,
            sets: Map::default(),
            sets_changed: true,
            moves: BTreeMap::new(),
            fronts: attempt.row.fronts.iter().cloned().collect(),
            last_contact: cx.now,
            had_contact: false,
            is_failing: false,
            misplaced: None,
            next_front_move: Millis::ZERO,
            isolated: false,
            candidates: Vec::new(),
            next_placement: Millis::ZERO,
            partition_rates: PartitionRates::new(cx.partitions, cx.now),
            budget: MoveBudget::new(cx.now),
            hold: HoldMode::default(),
            initial_wait_ends: cx.now,
            row: attempt.row,
            last_write: sent,
            revision: 0,
            loading: false,
            retry_load_at: Millis::ZERO,
        };
        holding.publish(cx);
        holding
    }

    /// Whether the row is being released, in which case no leases are granted.
    pub fn is_releasing(&self, cx: &Context) -> bool {
        cx.stopping || self.isolated
    }

    /// Releases the controller lease if no target answers, since another daemon may reach them.
    ///
    /// This does not apply to front daemons: several can be lost at once, and they can be replaced
    /// only after their leases have ended.
    fn check_isolation(&mut self, cx: &mut Context) {
        // A successor restarts all waits for unreachable targets. So the lease must not be passed
        // on repeatedly when the targets themselves are lost, nor during the wait for a hold-mode
        // lease.
        let timeout = match self.had_contact {
            true => ISOLATION_TIMEOUT,
            false if self.targets.values().any(TargetLease::has_hold_lease) => return,
            false => FIRST_CONTACT_TIMEOUT,
        };
        if self.isolated
            || !cx.cluster.checks_grants
            || self.row.standbys.is_empty()
            || !self.is_failing
            || self.hold.is_begun()
            || !self.is_valid(cx.now)
            || cx.now < self.last_contact + timeout
        {
            return;
        }
        self.isolated = true;
        cx.log(
            log::Level::Warn,
            format_args!(
                "No target answers; releasing the controller lease. epoch={}",
                self.row.epoch
            ),
        );
    }

    /// Whether the controller lease is valid at `now`.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.lease_ends
    }

    pub fn status(&self, now: Millis) -> ControllerStatus {
        let held = self
            .targets
            .iter()
            .filter(|(_, lease)| lease.has_hold_lease());
        ControllerStatus {
            role: "holder",
            epoch: self.row.epoch,
            lease_left: self.lease_ends.since(now),
            standbys: self.row.standbys.iter().map(|s| s.name.clone()).collect(),
            hold: self.hold.is_active(),
            moves: self.moves.len(),
            outstanding: held.map(|(name, _)| name.clone()).collect(),
        }
    }

    pub fn handle(&mut self, event: Event, cx: &mut Context) -> Option<Role> {
        match event {
            Event::CommitCompleted { operation, outcome } => {
                let effect = self
                    .writes
                    .resolve(&cx.me, &cx.row_name, &operation, outcome);
                self.apply_effect(effect, cx)
            }
            Event::RowRead(Ok(Some(row))) => {
                let content = serde_json::from_str(&row.value).ok()?;
                let effect = self.writes.observe(&cx.me, row.version, content);
                self.apply_effect(effect, cx)
            }
            Event::AssignmentsRead(result) => {
                self.loading = false;
                if let Ok(rows) = result {
                    self.assignments.restore_versions(&rows);
                }
                None
            }
            Event::GrantCompleted {
                target,
                epoch,
                sequence,
                reply,
            } => {
                // Sequence numbers restart with each takeover of this daemon.
                if epoch >= self.first_epoch {
                    self.handle_grant_reply(&target, sequence, reply, cx);
                }
                None
            }
            Event::HoldReplied(reply) => {
                self.hold.handle_reply(&reply, self.row.epoch);
                None
            }
            _ => None,
        }
    }

    pub fn advance(&mut self, cx: &mut Context) {
        // No leases are granted during a planned stop, so that a successor need not wait for them.
        self.check_isolation(cx);
        if self.is_valid(cx.now) && !self.is_releasing(cx) {
            self.sync_targets(cx);
            self.advance_fronts(cx);
            self.advance_hold(cx);
            self.advance_moves(cx);
            self.send_grants(cx);
        }
        self.write_if_due(cx);
        if !self.assignments.is_writable() && !self.loading && cx.now >= self.retry_load_at {
            self.loading = true;
            self.retry_load_at = cx.now + WRITE_RETRY_DELAY;
            cx.actions.push(Action::ReadAssignments);
        }
    }

    fn apply_effect(&mut self, effect: WriteEffect, cx: &mut Context) -> Option<Role> {
        match effect {
            WriteEffect::Nothing | WriteEffect::Unresolved => None,
            WriteEffect::Mismatch(rows) => {
                let names: Vec<&str> = rows.iter().map(|row| &*row.name).collect();
                let names = names.join(",");
                self.assignments.clear_all_versions();
                cx.log(
                    log::Level::Error,
                    format_args!("Another writer changed assignment rows. rows={names}"),
                );
                None
            }
            WriteEffect::Superseded(version, row) => {
                cx.info(format_args!(
                    "Stepped down after a takeover. epoch={} successor={} successor_epoch={}",
                    self.row.epoch, row.holder.name, row.epoch
                ));
                let observing = Observing::with_row(version, *row, cx.now);
                Some(Role::Observing(Box::new(observing)))
            }
            WriteEffect::Won {
                attempt,
                row,
                versions,
            } => self.apply_won(attempt, *row, versions, cx),
        }
    }

    /// Applies a write of this daemon that took effect.
    fn apply_won(
        &mut self,
        attempt: Option<Box<PendingWrite>>,
        row: ControllerRow,
        versions: Option<Vec<(Arc<str>, u64)>>,
        cx: &mut Context,
    ) -> Option<Role> {
        let changes = attempt.as_ref().map_or(&[][..], |a| &a.changes[..]);
        if let Some(attempt) = &attempt {
            self.lease_ends = self.lease_ends.max(attempt.sent + CONTROLLER_LEASE);
            self.confirmed_at = self.confirmed_at.max(attempt.sent);
        }
        self.assignments.apply(changes);
        match versions {
            Some(versions) => self.assignments.set_versions(&versions),
            None => self.assignments.clear_versions(changes),
        }
        let ended_hold = row.epoch > self.row.epoch;
        let daemons_changed = row.fronts != self.row.fronts || row.standbys != self.row.standbys;
        self.row = row;
        if ended_hold {
            self.hold = HoldMode::default();
            self.revision = 0;
            cx.info(format_args!(
                "The store is available again; continuing under a new epoch. epoch={}",
                self.row.epoch
            ));
        }
        if !changes.is_empty() {
            self.moves_committed(changes, cx);
        }
        if ended_hold || daemons_changed || !changes.is_empty() {
            self.publish(cx);
        }
        if !self.row.released {
            return None;
        }
        cx.info(format_args!(
            "Released the controller lease. epoch={}",
            self.row.epoch
        ));
        let version = self.writes.version();
        let retry_at = cx.now + ISOLATION_COOLDOWN;
        let observing = Observing::after_release(version, self.row.clone(), cx.now, retry_at);
        Some(Role::Observing(Box::new(observing)))
    }

    fn publish(&mut self, cx: &mut Context) {
        self.revision += 1;
        cx.actions.push(Action::Publish(RoutingTable {
            group: cx.group.clone(),
            version: TableVersion {
                controller_epoch: self.row.epoch,
                revision: self.revision,
            },
            owners: self.assignments.owners().to_vec(),
            fronts: self.row.fronts.clone(),
            standbys: self.row.standbys.clone(),
        }));
    }
}
