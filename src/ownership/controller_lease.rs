//! The lease on the controller row: observing the row, and resolving the outcome of writes to it.

use super::{
    assignments::OwnerChange,
    row::ControllerRow,
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

/// Most unresolved writes that are kept. Beyond that, writes that only renew the lease are dropped
/// from the list; if one of them took effect, the holder in the row still identifies this daemon.
const MAX_PENDING_WRITES: usize = 16;

/// A write to the controller row that has been sent.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    /// Its operation id.
    pub operation: Arc<str>,
    /// When it was sent, or earlier.
    pub sent: Millis,
    /// New content of the controller row.
    pub row: ControllerRow,
    /// Assignment changes in the same transaction.
    pub changes: Vec<OwnerChange>,
    /// Whether the commit has ended without a known outcome: it was refused or got no answer.
    pub answered: bool,
}

/// Unresolved writes to the controller row. All are conditional on the same version, so at most one
/// of them takes effect.
#[derive(Clone, Debug)]
pub struct PendingWrites {
    version: u64,
    attempts: Vec<PendingWrite>,
}

/// What an answer of the store means for the unresolved writes.
#[derive(Clone, Debug)]
pub enum WriteEffect {
    /// Nothing new.
    Nothing,
    /// The write may still take effect, or never will.
    Unresolved,
    /// The controller row has the expected version, but these rows do not.
    Mismatch(Vec<Row>),
    /// A write of this daemon took effect.
    Won {
        /// The write; `None` if it was dropped from the list.
        attempt: Option<Box<PendingWrite>>,
        /// The controller row after the write.
        row: Box<ControllerRow>,
        /// New versions of all rows written; `None` if the answer was lost.
        versions: Option<Vec<(Arc<str>, u64)>>,
    },
    /// Another daemon has written the row: its version and content.
    Superseded(u64, Box<ControllerRow>),
}

impl PendingWrites {
    /// Creates an empty list of writes that are to replace `version` of the row.
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
    pub fn attempts(&self) -> &[PendingWrite] {
        &self.attempts
    }

    /// Whether a write sent after `since` has no answer yet.
    pub fn awaits_answer(&self, since: Millis) -> bool {
        self.attempts.iter().any(|a| !a.answered && a.sent > since)
    }

    /// Whether a write has failed, or was sent at `before` or earlier, and is unresolved.
    pub fn is_overdue(&self, before: Millis) -> bool {
        self.attempts.iter().any(|a| a.answered || a.sent <= before)
    }

    /// Adds a write that is about to be sent.
    pub fn begin(&mut self, attempt: PendingWrite) {
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

    /// Handles the outcome of the write `operation` of the daemon `me`.
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
            // A copy of a refused request may still be in flight, so the write stays unresolved.
            CommitOutcome::Unavailable | CommitOutcome::Unknown => {
                if let Some(attempt) = self.find(operation) {
                    attempt.answered = true;
                }
                WriteEffect::Unresolved
            }
        }
    }

    /// Handles the row as read from the store. Reads may be stale, so only a higher version counts.
    pub fn observe(&mut self, me: &Link, version: u64, row: ControllerRow) -> WriteEffect {
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
            // A write from before the last takeover, or a dropped one; reads resolve the latter.
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
        // The controller row is checked first: a duplicate of a write conflicts with the original,
        // and then the row shows that the write took effect.
        match serde_json::from_str(&row.value) {
            Ok(content) => self.observe(me, row.version, content),
            Err(_) => WriteEffect::Nothing,
        }
    }

    /// Removes and returns the write that took effect. The others can no longer take effect and are
    /// dropped.
    fn take_winner(&mut self, operation: &str) -> Option<Box<PendingWrite>> {
        let found = self.find(operation).cloned().map(Box::new);
        self.attempts.clear();
        found
    }

    fn find(&mut self, operation: &str) -> Option<&mut PendingWrite> {
        self.attempts
            .iter_mut()
            .find(|a| *a.operation == *operation)
    }
}

/// Role of a daemon towards a group that it does not control; decides how often it reads the
/// controller row and when it may take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObserverRole {
    /// A standby, with its position in the row's list; 0 is the first.
    Standby(usize),
    /// A delegate of its zone.
    Delegate,
    /// Neither: it reads the row only on request and does not take over.
    Bystander,
}

/// The controller row as seen by a daemon that does not hold it.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    version: Option<u64>,
    row: Option<ControllerRow>,
    first_seen: Millis,
    last_read: Option<Millis>,
    reading: bool,
    failing: bool,
    /// Whether a read is due at once.
    read_requested: bool,
}

impl Observer {
    /// Creates an observer that received the row at `now`.
    pub fn with_row(version: u64, row: ControllerRow, now: Millis) -> Self {
        Self {
            version: Some(version),
            row: Some(row),
            first_seen: now,
            ..Self::default()
        }
    }

    /// The latest row seen; `None` if no row has been seen.
    pub fn row(&self) -> Option<&ControllerRow> {
        self.row.as_ref()
    }

    /// The latest version seen, 0 if there is no row; `None` before the first read.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Whether the latest read failed.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Makes a read due at once.
    pub fn request_read(&mut self) {
        self.read_requested = true;
    }

    /// Whether a read is due; if so, records it as started.
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

    /// Records a failed read.
    pub fn read_failed(&mut self) {
        self.reading = false;
        self.failing = true;
    }

    /// Records a successful read; returns whether the version is newer than the latest one seen.
    pub fn read_done(&mut self, version: u64, row: Option<ControllerRow>, now: Millis) -> bool {
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

    /// Whether a takeover may begin. Its write is conditional on the version seen, so stale reads
    /// can make it fail but cannot make it unsafe.
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
