//! Rows with versions, conditional transactions, and recent revisions for stale reads.

use fireflygauge::{
    clock::Millis,
    store::api::{CommitReply, Row, Transaction},
};
use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    sync::Arc,
};

/// How long superseded revisions are kept, for stale reads and for the history checker.
const REVISION_RETENTION: Millis = Millis(600_000);

#[derive(Debug)]
struct Revision {
    since: Millis,
    version: u64,
    /// `None` after a deletion.
    value: Option<Arc<str>>,
}

/// The rows of the table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<Arc<str>, VecDeque<Revision>>,
}

impl Table {
    /// The row as it was at `at`.
    pub fn read(&self, name: &str, at: Millis) -> Option<Row> {
        let (name, revisions) = self.rows.get_key_value(name)?;
        row_at(name, revisions, at)
    }

    /// The rows whose names start with `prefix`, as they were at `at`.
    pub fn read_prefix(&self, prefix: &str, at: Millis) -> Vec<Row> {
        self.rows
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(prefix))
            .filter_map(|(name, revisions)| row_at(name, revisions, at))
            .collect()
    }

    /// All revisions kept of the rows whose names start with `prefix`, without deletions, in order
    /// of name and version.
    pub fn revisions(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(name, _)| name.starts_with(prefix))
            .flat_map(|(name, revisions)| revisions.iter().filter_map(|r| row(name, r)))
            .collect()
    }

    /// Commits `transaction` if all its conditions hold at `now`.
    pub fn commit(&mut self, transaction: &Transaction, now: Millis) -> CommitReply {
        let failed: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|condition| (self.current(&condition.row, now), condition.version))
            .filter(|(row, required)| row.version != *required)
            .map(|(row, _)| row)
            .collect();
        if !failed.is_empty() {
            return CommitReply::Conflict(failed);
        }
        let versions = transaction
            .writes
            .iter()
            .map(|write| {
                let version = self.write(&write.row, write.value.clone(), now);
                (Arc::clone(&write.row), version)
            })
            .collect();
        CommitReply::Committed(versions)
    }

    fn current(&self, name: &Arc<str>, now: Millis) -> Row {
        self.read(name, now).unwrap_or_else(|| Row {
            name: Arc::clone(name),
            version: 0,
            value: "".into(),
        })
    }

    /// Writes a row; its version keeps rising across a deletion, so that an old condition
    /// never matches a row that was created again.
    fn write(&mut self, name: &Arc<str>, value: Option<Arc<str>>, now: Millis) -> u64 {
        let revisions = self.rows.entry(Arc::clone(name)).or_default();
        let version = revisions.back().map_or(0, |last| last.version) + 1;
        let visible = if value.is_some() { version } else { 0 };
        revisions.push_back(Revision {
            since: now,
            version,
            value,
        });
        while revisions.len() > 1 && revisions[1].since + REVISION_RETENTION < now {
            revisions.pop_front();
        }
        visible
    }
}

fn row_at(name: &Arc<str>, revisions: &VecDeque<Revision>, at: Millis) -> Option<Row> {
    row(name, revisions.iter().rev().find(|r| r.since <= at)?)
}

fn row(name: &Arc<str>, revision: &Revision) -> Option<Row> {
    Some(Row {
        name: Arc::clone(name),
        version: revision.version,
        value: revision.value.clone()?,
    })
}
