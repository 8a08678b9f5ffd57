//! The controller while another daemon holds the lease, and its takeover.

use super::{Action, Context, ControllerStatus, Event, Role, holding::Holding};
use crate::{
    clock::Millis,
    collections::{Map, Set},
    ownership::{
        assignments::Assignments,
        controller_lease::{Observer, ObserverRole, PendingWrite, PendingWrites, WriteEffect},
        row::{ControllerRow, OutstandingHold, to_json},
        timing::{COMMIT_TIMEOUT, WRITE_RETRY_DELAY},
    },
    store::{Row, StoreError, Transaction},
    world::VmName,
};
use std::sync::Arc;

/// Watches the controller row and takes over when its lease has ended.
#[derive(Debug, Default)]
pub(super) struct Observing {
    observer: Observer,
    takeover: Option<Takeover>,
    retry_at: Millis,
}

/// A takeover in progress: the assignment rows are read, then the controller row is written on the
/// condition that neither it nor they have changed. A takeover based on stale reads thus fails.
#[derive(Debug)]
struct Takeover {
    loading: bool,
    writes: PendingWrites,
    /// The assignments that each write is conditional on.
    assignments: Map<Arc<str>, Assignments>,
}

impl Observing {
    /// Starts to observe a row that another daemon has written.
    pub fn with_row(version: u64, row: ControllerRow, now: Millis) -> Self {
        Self {
            observer: Observer::with_row(version, row, now),
            ..Self::default()
        }
    }

    /// Like [`with_row`](Self::with_row), but takes over nothing before `retry_at`.
    pub fn after_release(version: u64, row: ControllerRow, now: Millis, retry_at: Millis) -> Self {
        Self {
            retry_at,
            ..Self::with_row(version, row, now)
        }
    }

    /// Whether this daemon may acknowledge hold mode under `epoch`.
    ///
    /// It may not while its own takeover can still take effect, because that write does not list
    /// the leases that hold mode would grant.
    pub fn may_acknowledge(&self, epoch: u64) -> bool {
        let known = self.observer.row().map_or(0, |row| row.epoch);
        self.observer.is_failing() && self.takeover.is_none() && known <= epoch
    }

    /// Makes a read of the row due at once. A newly named standby reads the row rarely until it
    /// learns of its role; without a failed read of its own it would refuse hold mode until then.
    pub fn request_read(&mut self) {
        self.observer.request_read();
    }

    /// Whether a takeover may still take effect.
    pub fn is_taking_over(&self) -> bool {
        self.takeover.is_some()
    }

    pub fn status(&self, cx: &Context) -> ControllerStatus {
        let row = self.observer.row();
        let role = match cx.observer_role(row) {
            ObserverRole::Standby(_) => "standby",
            ObserverRole::Delegate => "delegate",
            ObserverRole::Bystander => "bystander",
        };
        let names = |row: &ControllerRow| row.standbys.iter().map(|s| s.name.clone()).collect();
        let held = |row: &ControllerRow| row.outstanding.iter().map(|h| h.target.clone()).collect();
        ControllerStatus {
            role,
            epoch: row.map_or(0, |row| row.epoch),
            lease_left: Millis::ZERO,
            standbys: row.map(names).unwrap_or_default(),
            hold: false,
            moves: 0,
            outstanding: row.map(held).unwrap_or_default(),
        }
    }

    pub fn handle(&mut self, event: Event, cx: &mut Context) -> Option<Role> {
        match event {
            Event::RowRead(result) => self.row_read(result, cx),
            Event::AssignmentsRead(result) => {
                self.assignments_read(result, cx);
                None
            }
            Event::CommitCompleted { operation, outcome } => {
                let writes = &mut self.takeover.as_mut()?.writes;
                let effect = writes.resolve(&cx.me, &cx.row_name, &operation, outcome);
                self.apply_effect(effect, cx)
            }
            _ => None,
        }
    }

    pub fn advance(&mut self, cx: &mut Context) {
        let watch_role = cx.observer_role(self.observer.row());
        // This daemon may not have read the row that names it a standby yet. The routing table
        // affects only how often the row is read; a takeover is decided from the row itself.
        let named = cx.cluster.standbys.contains(&cx.me);
        let read_as = if named {
            ObserverRole::Standby(0)
        } else {
            watch_role
        };
        if self.observer.start_read(read_as, cx.now) {
            cx.actions.push(Action::ReadRow);
        }
        if cx.stopping || cx.now < self.retry_at {
            return;
        }
        if self.takeover.is_none() {
            if !self.observer.may_take_over(watch_role, cx.now) {
                return;
            }
            self.takeover = self.observer.version().map(Takeover::new);
        }
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        if !takeover.loading && !takeover.writes.awaits_answer(cx.now - COMMIT_TIMEOUT) {
            takeover.loading = true;
            cx.actions.push(Action::ReadAssignments);
        }
    }

    fn row_read(
        &mut self,
        result: Result<Option<Row>, StoreError>,
        cx: &mut Context,
    ) -> Option<Role> {
        let Ok(row) = result else {
            self.observer.read_failed();
            return None;
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let content: Option<ControllerRow> = match row.map(|row| serde_json::from_str(&row.value)) {
            Some(Ok(content)) => Some(content),
            Some(Err(e)) => {
                self.observer.read_failed();
                cx.log(
                    log::Level::Error,
                    format_args!("Controller row invalid; read counts as failed. error=\"{e}\""),
                );
                return None;
            }
            None => None,
        };
        if let (Some(takeover), Some(content)) = (&mut self.takeover, &content) {
            let effect = takeover.writes.observe(&cx.me, version, content.clone());
            let next = self.apply_effect(effect, cx);
            if next.is_some() {
                return next;
            }
        }
        if self.observer.read_done(version, content, cx.now) {
            self.takeover = None;
        }
        None
    }

    fn assignments_read(&mut self, result: Result<Vec<Row>, StoreError>, cx: &mut Context) {
        let Some(takeover) = self.takeover.as_mut().filter(|takeover| takeover.loading) else {
            return;
        };
        takeover.loading = false;
        let assignments = result
            .map_err(|e| e.to_string())
            .and_then(|rows| Assignments::from_rows(&cx.group, cx.partitions, &rows));
        match assignments {
            Ok(assignments) if !cx.stopping => self.write_takeover(assignments, cx),
            Ok(_) => {}
            Err(e) => {
                if takeover.writes.attempts().is_empty() {
                    self.takeover = None;
                }
                self.retry_at = cx.now + WRITE_RETRY_DELAY;
                cx.log(
                    log::Level::Warn,
                    format_args!(
                        "The assignment rows cannot be read; delaying the takeover. error=\"{e}\""
                    ),
                );
            }
        }
    }

    fn write_takeover(&mut self, assignments: Assignments, cx: &mut Context) {
        let Some(takeover) = &mut self.takeover else {
            return;
        };
        let operation = cx.next_operation();
        let predecessor = self.observer.row();
        let row = ControllerRow {
            epoch: predecessor.map_or(0, |row| row.epoch) + 1,
            holder: cx.me.clone(),
            lease: 1,
            standbys: cx.cluster.choose_standbys(&cx.me, &[]),
            hold_ms: cx.cluster.hold_ms,
            outstanding: inherited_holds(predecessor, &assignments.targets(), cx),
            fronts: predecessor.map_or(Vec::new(), |row| row.fronts.clone()),
            released: false,
            operation: Arc::clone(&operation),
        };
        let version = takeover.writes.version();
        let transaction = Transaction::default().replace(&cx.row_name, version, to_json(&row));
        let transaction = assignments.require_all(transaction);
        takeover.writes.begin(PendingWrite {
            operation: Arc::clone(&operation),
            sent: cx.now,
            row,
            changes: Vec::new(),
            answered: false,
        });
        let unresolved = takeover.writes.attempts();
        takeover
            .assignments
            .retain(|known, _| unresolved.iter().any(|a| a.operation == *known));
        takeover
            .assignments
            .insert(Arc::clone(&operation), assignments);
        cx.actions.push(Action::Commit {
            operation,
            transaction,
        });
    }

    fn apply_effect(&mut self, effect: WriteEffect, cx: &mut Context) -> Option<Role> {
        match effect {
            WriteEffect::Nothing => {}
            WriteEffect::Unresolved | WriteEffect::Mismatch(_) => {
                self.retry_at = cx.now + WRITE_RETRY_DELAY
            }
            WriteEffect::Superseded(version, row) => self.apply_row(version, *row, cx),
            WriteEffect::Won { attempt, row, .. } => {
                let takeover = self.takeover.take()?;
                let version = takeover.writes.version();
                let won = attempt.and_then(|attempt| {
                    let assignments = takeover.assignments.get(&attempt.operation)?.clone();
                    Some((attempt, assignments))
                });
                match won {
                    Some((attempt, assignments)) => {
                        let holding = Holding::new(version, *attempt, assignments, cx);
                        return Some(Role::Holding(Box::new(holding)));
                    }
                    // A dropped write of this daemon took effect. Its lease has to end like that of
                    // any other holder before the next takeover.
                    None => self.apply_row(version, *row, cx),
                }
            }
        }
        None
    }

    fn apply_row(&mut self, version: u64, row: ControllerRow, cx: &Context) {
        if self.observer.read_done(version, Some(row), cx.now) {
            self.takeover = None;
        }
    }
}

impl Takeover {
    fn new(version: u64) -> Self {
        Self {
            loading: false,
            writes: PendingWrites::new(version),
            assignments: Map::default(),
        }
    }
}

/// The targets that may hold a hold-mode lease granted by the predecessor.
///
/// The predecessor granted such leases under its epoch only after all its standbys had
/// acknowledged. Only the leases listed in the row need to be expected if this daemon is a standby
/// that has not acknowledged, if the row is released, or if this daemon wrote the row itself.
/// Otherwise any owner may hold one.
fn inherited_holds(
    predecessor: Option<&ControllerRow>,
    owners: &Set<VmName>,
    cx: &Context,
) -> Vec<OutstandingHold> {
    let Some(predecessor) = predecessor else {
        return Vec::new();
    };
    let unacknowledged =
        predecessor.standbys.contains(&cx.me) && cx.acknowledged_epoch < predecessor.epoch;
    if predecessor.released || predecessor.holder == cx.me || unacknowledged {
        return predecessor.outstanding.clone();
    }
    let mut holds: Vec<OutstandingHold> = owners
        .iter()
        .map(|target| OutstandingHold {
            target: target.clone(),
            hold_ms: predecessor.hold_ms,
        })
        .collect();
    for listed in &predecessor.outstanding {
        match holds.iter_mut().find(|h| h.target == listed.target) {
            Some(hold) => hold.hold_ms = hold.hold_ms.max(listed.hold_ms),
            None => holds.push(listed.clone()),
        }
    }
    holds.sort_by(|a, b| a.target.cmp(&b.target));
    holds
}
