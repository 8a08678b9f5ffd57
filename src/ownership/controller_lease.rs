//! The lease on the controller row: observing it, and settling the writes to it.

use super::{
    assignments::Change,
    row::GroupRow,
    timing::{
        CONTROLLER_LEASE, DELEGATE_READ_INTERVAL, DELEGATE_TAKEOVER_DELAY, OBSERVER_MARGIN,
        STANDBY_READ_INTERVAL, STANDBY_TAKEOVER_STAGGER,
    },
};
use crate::{
    clock::Millis,
    store::{CommitOutcome, Row},
    world::Link,
};
use std::sync::Arc;

/// Unresolved writes that are kept. Beyond that, those that change nothing but the lease are
/// dropped; should one of them take effect, the row itself says that it is ours.
const MAX_PENDING_WRITES: usize = 16;

/// A write to the controller row that has been sent.
#[derive(Clone, Debug)]
pub struct CommitAttempt {
    /// Its operation id.
    pub operation: Arc<str>,
    /// A time before it was sent.
    pub sent: Millis,
    /// The content written.
    pub row: GroupRow,
    /// The assignments written with it.
    pub changes: Vec<Change>,
    /// Whether the store answered or the time for that has passed.
    pub answered: bool,
}

/// PendingWrites to the controller row that are conditional on the same version, so at most one of them
/// ever takes effect.
#[derive(Clone, Debug)]
pub struct PendingWrites {
    version: u64,
    attempts: Vec<CommitAttempt>,
}

/// What the answer to a write shows.
#[derive(Clone, Debug)]
pub enum WriteEffect {
    /// Nothing that was not known.
    Nothing,
    /// The write may take effect yet, or never.
    Unresolved,
    /// The controller row is as expected, but these rows are not.
    Mismatch(Vec<Row>),
    /// One of our writes took effect.
    Won {
        /// The write, or `None` if it was dropped from the unresolved ones.
        attempt: Option<Box<CommitAttempt>>,
        /// The row as it is now.
        row: Box<GroupRow>,
        /// Versions of all rows written, or `None` if the answer was lost.
        versions: Option<Vec<(Arc<str>, u64)>>,
    },
    /// Another daemon has written the row.
    Superseded(u64, Box<GroupRow>),
}

impl PendingWrites {
    /// No writes yet, on top of `version` of the row.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            attempts: Vec::new(),
        }
    }

    /// The version that the writes are conditional on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The unresolved writes.
    pub fn attempts(&self) -> &[CommitAttempt] {
        &self.attempts
    }

    /// Whether a write sent after `since` has not been answered.
    pub fn awaits_answer(&self, since: Millis) -> bool {
        self.attempts.iter().any(|a| !a.answered && a.sent > since)
    }

    /// Whether a write has failed, or was sent at `before` or earlier, and is unresolved.
    pub fn is_overdue(&self, before: Millis) -> bool {
        self.attempts.iter().any(|a| a.answered || a.sent <= before)
    }

    /// Adds a write that is about to be sent.
    pub fn begin(&mut self, attempt: CommitAttempt) {
        if self.attempts.len() >= MAX_PENDING_WRITES
            && let Some(i) = self
                .attempts
                .iter()
                .position(|a| a.changes.is_empty() && a.row.fronts == attempt.row.fronts)
        {
            self.attempts.remove(i);
        }
        self.attempts.push(attempt);
    }

    /// Takes the outcome of the write `operation` of the daemon `me`.
    pub fn resolve(
        &mut self,
        me: &Link,
        row_name: &str,
        operation: &str,
        outcome: CommitOutcome,
    ) -> WriteEffect {
        match outcome {
            CommitOutcome::Committed(versions) => self.committed(row_name, operation, versions),
            CommitOutcome::Conflict(rows) => self.conflict(me, row_name, operation, rows),
            // A copy of a refused request may still be on its way, so it counts as unresolved.
            CommitOutcome::Unavailable | CommitOutcome::Unknown => {
                if let Some(attempt) = self.find(operation) {
                    attempt.answered = true;
                }
                WriteEffect::Unresolved
            }
        }
    }

    /// Takes the row as read from the store. Reads may be stale: only a higher version counts.
    pub fn observe(&mut self, me: &Link, version: u64, row: GroupRow) -> WriteEffect {
        if version <= self.version {
            return WriteEffect::Nothing;
        }
        if row.holder != *me {
            return WriteEffect::Superseded(version, Box::new(row));
        }
        let attempt = self.take_winner(&row.operation);
        self.version = version;
        WriteEffect::Won {
            attempt,
            row: Box::new(row),
            versions: None,
        }
    }

    fn committed(
        &mut self,
        row_name: &str,
        operation: &str,
        versions: Vec<(Arc<str>, u64)>,
    ) -> WriteEffect {
        let version = versions.iter().find(|(name, _)| **name == *row_name);
        let Some(&(_, version)) = version.filter(|(_, version)| *version > self.version) else {
            return WriteEffect::Nothing;
        };
        if self.find(operation).is_none() {
            // A write of an earlier term, or one that was dropped; reads settle the latter.
            return WriteEffect::Nothing;
        }
        let Some(attempt) = self.take_winner(operation) else {
            return WriteEffect::Nothing;
        };
        self.version = version;
        WriteEffect::Won {
            row: Box::new(attempt.row.clone()),
            attempt: Some(attempt),
            versions: Some(versions),
        }
    }

    fn conflict(
        &mut self,
        me: &Link,
        row_name: &str,
        operation: &str,
        rows: Vec<Row>,
    ) -> WriteEffect {
        let Some(row) = rows.iter().find(|row| *row.name == *row_name) else {
            self.attempts.retain(|a| *a.operation != *operation);
            return WriteEffect::Mismatch(rows);
        };
        // The row goes first: a second copy of a write conflicts with the first one, and then the
        // row shows that the write took effect.
        match serde_json::from_str(&row.value) {
            Ok(content) => self.observe(me, row.version, content),
            Err(_) => WriteEffect::Nothing,
        }
    }

    /// Removes the write that took effect; all others have failed with it.
    fn take_winner(&mut self, operation: &str) -> Option<Box<CommitAttempt>> {
        let found = self.find(operation).cloned().map(Box::new);
        self.attempts.clear();
        found
    }

    fn find(&mut self, operation: &str) -> Option<&mut CommitAttempt> {
        self.attempts
            .iter_mut()
            .find(|a| *a.operation == *operation)
    }
}

/// How closely a daemon watches the controller row of a group that it does not control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserverRole {
    /// It is the standby with this rank in the row.
    Standby(usize),
    /// It is a delegate of its zone.
    Delegate,
    /// It does not read the row.
    Bystander,
}

/// What an observer knows of the controller row.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    version: Option<u64>,
    row: Option<GroupRow>,
    first_seen: Millis,
    last_read: Option<Millis>,
    reading: bool,
    failing: bool,
    /// A read is wanted at once.
    read_requested: bool,
}

impl Observer {
    /// An observer that has just learnt the row.
    pub fn with_row(version: u64, row: GroupRow, now: Millis) -> Self {
        Self {
            version: Some(version),
            row: Some(row),
            first_seen: now,
            ..Self::default()
        }
    }

    /// The row, once one is known to exist.
    pub fn row(&self) -> Option<&GroupRow> {
        self.row.as_ref()
    }

    /// The version, once known; 0 if there is no row.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether the latest read failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Makes a read due at once.
    pub fn read_at_once(&mut self) {
        self.read_requested = true;
    }

    /// Whether a read is due; counts it as started if so.
    pub fn start_read(&mut self, role: ObserverRole, now: Millis) -> bool {
        let interval = match role {
            ObserverRole::Standby(_) => STANDBY_READ_INTERVAL,
            ObserverRole::Delegate => DELEGATE_READ_INTERVAL,
            ObserverRole::Bystander if self.read_requested => Millis::ZERO,
            ObserverRole::Bystander => return false,
        };
        let waits = self.last_read.is_some_and(|last| now < last + interval);
        if self.reading || (waits && !self.read_requested) {
            return false;
        }
        self.reading = true;
        self.read_requested = false;
        self.last_read = Some(now);
        true
    }

    /// Counts a read as failed.
    pub fn read_failed(&mut self) {
        self.reading = false;
        self.failing = true;
    }

    /// Takes the row as read; returns whether its version is a new one.
    pub fn read_done(&mut self, version: u64, row: Option<GroupRow>, now: Millis) -> bool {
        self.reading = false;
        self.failing = false;
        if self.version.is_some_and(|known| version <= known) {
            return false;
        }
        self.version = Some(version);
        self.row = row;
        self.first_seen = now;
        true
    }

    /// Whether a takeover may begin. The takeover is conditional on the version seen, so stale
    /// reads can make it fail but not unsound.
    pub fn may_take_over(&self, role: ObserverRole, now: Millis) -> bool {
        let Some(_) = self.version else {
            return false;
        };
        let Some(row) = &self.row else {
            return role != ObserverRole::Bystander;
        };
        let lease = if row.released {
            Millis::ZERO
        } else {
            CONTROLLER_LEASE + OBSERVER_MARGIN
        };
        let delay = match role {
            ObserverRole::Standby(rank) => Millis(STANDBY_TAKEOVER_STAGGER.0 * rank as u64),
            ObserverRole::Delegate if row.released && row.standbys.is_empty() => Millis::ZERO,
            ObserverRole::Delegate => DELEGATE_TAKEOVER_DELAY,
            ObserverRole::Bystander => return false,
        };
        now >= self.first_seen + lease + delay
    }
}
