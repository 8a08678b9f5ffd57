//! The owners of a group's partitions, with the versions of the rows that store them.

use super::{
    row::{AssignmentRow, assignment_prefix, assignment_row_name, to_json},
    timing::PARTITIONS_PER_ROW,
};
use crate::{
    collections::Set,
    partition::Partition,
    store::{Row, Transaction},
    table::Owner,
    world::{GroupId, VmName},
};
use std::sync::Arc;

/// A change of the owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerChange {
    /// The partition.
    pub partition: Partition,
    /// Its new owner.
    pub owner: Owner,
}

/// Owners of all partitions of a group, as last read or written.
#[derive(Clone, Debug)]
pub struct Assignments {
    group: GroupId,
    owners: Vec<Option<Owner>>,
    /// Version of each row; `None` after a write whose answer was lost, until it is read again.
    versions: Vec<Option<u64>>,
}

impl Assignments {
    /// Reads the assignments of `partitions` partitions from `rows`; partitions of missing rows
    /// have no owner.
    ///
    /// # Errors
    /// The name and parse error of the first row that is not valid.
    pub fn from_rows(group: &GroupId, partitions: u32, rows: &[Row]) -> Result<Self, String> {
        let count = partitions.div_ceil(PARTITIONS_PER_ROW) as usize;
        let mut assignments = Self {
            group: group.clone(),
            owners: vec![None; partitions as usize],
            versions: vec![Some(0); count],
        };
        for row in rows {
            let Some(index) = assignments.index_of(row) else {
                continue;
            };
            let content: AssignmentRow =
                serde_json::from_str(&row.value).map_err(|e| format!("{}: {e}", row.name))?;
            let start = index * PARTITIONS_PER_ROW as usize;
            let places = assignments.owners[start..].iter_mut();
            for (place, owner) in places.zip(content.owners()) {
                *place = owner;
            }
            assignments.versions[index] = Some(row.version);
        }
        Ok(assignments)
    }

    /// Owner of each partition; `None` if it has none.
    pub fn owners(&self) -> &[Option<Owner>] {
        &self.owners
    }

    /// The owner of `partition`; `None` if it has none or is out of range.
    pub fn owner(&self, partition: Partition) -> Option<&Owner> {
        self.owners.get(partition.0 as usize)?.as_ref()
    }

    /// Every target that owns a partition.
    pub fn targets(&self) -> Set<VmName> {
        self.owners
            .iter()
            .flatten()
            .map(|owner| owner.target.clone())
            .collect()
    }

    /// The change that gives `partition` to `target` under the next ownership epoch.
    pub fn change_to(&self, partition: Partition, target: VmName) -> OwnerChange {
        let epoch = self.owner(partition).map_or(0, |owner| owner.epoch) + 1;
        OwnerChange {
            partition,
            owner: Owner { target, epoch },
        }
    }

    /// Whether the versions of all rows are known, so that changes can be written.
    pub fn is_writable(&self) -> bool {
        self.versions.iter().all(Option::is_some)
    }

    /// Adds the condition that no assignment row has changed.
    pub fn require_all(&self, mut transaction: Transaction) -> Transaction {
        for (index, version) in self.versions.iter().enumerate() {
            let name = assignment_row_name(&self.group, index);
            transaction = transaction.require(&name, version.unwrap_or_default());
        }
        transaction
    }

    /// Adds writes of the rows affected by `changes`, on the condition that these are unchanged.
    pub fn write(
        &self,
        mut transaction: Transaction,
        changes: &[OwnerChange],
        controller_epoch: u64,
        operation: &Arc<str>,
    ) -> Transaction {
        let mut changed = self.clone();
        changed.apply(changes);
        for index in rows_of(changes) {
            let start = index * PARTITIONS_PER_ROW as usize;
            let end = (start + PARTITIONS_PER_ROW as usize).min(self.owners.len());
            let owners = &changed.owners[start..end];
            let row = AssignmentRow::new(owners, controller_epoch, Arc::clone(operation));
            let name = assignment_row_name(&self.group, index);
            let version = self.versions[index].unwrap_or_default();
            transaction = transaction.replace(&name, version, to_json(&row));
        }
        transaction
    }

    /// Applies committed changes.
    pub fn apply(&mut self, changes: &[OwnerChange]) {
        for change in changes {
            self.owners[change.partition.0 as usize] = Some(change.owner.clone());
        }
    }

    /// Records the versions of committed rows.
    pub fn set_versions(&mut self, versions: &[(Arc<str>, u64)]) {
        for (name, version) in versions {
            if let Some(index) = self.index_of_name(name) {
                self.versions[index] = Some(*version);
            }
        }
    }

    /// Marks the versions of the rows affected by `changes` as unknown: the rows were written, but
    /// the answer with the new versions was lost.
    pub fn clear_versions(&mut self, changes: &[OwnerChange]) {
        for index in rows_of(changes) {
            self.versions[index] = None;
        }
    }

    /// Marks all versions as unknown.
    pub fn clear_all_versions(&mut self) {
        self.versions.fill(None);
    }

    /// Sets unknown versions from rows whose owners equal the expected ones. Other rows are stale.
    pub fn restore_versions(&mut self, rows: &[Row]) {
        for row in rows {
            let Some(index) = self.index_of(row) else {
                continue;
            };
            if self.versions[index].is_none() && self.matches(index, row) {
                self.versions[index] = Some(row.version);
            }
        }
    }

    fn matches(&self, index: usize, row: &Row) -> bool {
        let Ok(content) = serde_json::from_str::<AssignmentRow>(&row.value) else {
            return false;
        };
        let start = index * PARTITIONS_PER_ROW as usize;
        let end = (start + PARTITIONS_PER_ROW as usize).min(self.owners.len());
        content.owners().eq(self.owners[start..end].iter().cloned())
    }

    fn index_of(&self, row: &Row) -> Option<usize> {
        self.index_of_name(&row.name)
    }

    fn index_of_name(&self, name: &str) -> Option<usize> {
        let prefix = assignment_prefix(&self.group);
        let index: usize = name.strip_prefix(&prefix)?.parse().ok()?;
        (index < self.versions.len()).then_some(index)
    }
}

fn rows_of(changes: &[OwnerChange]) -> Vec<usize> {
    let mut rows: Vec<usize> = changes
        .iter()
        .map(|change| (change.partition.0 / PARTITIONS_PER_ROW) as usize)
        .collect();
    rows.sort_unstable();
    rows.dedup();
    rows
}
