//! Routing tables: which target owns which partition.

use crate::{
    partition::Partition,
    world::{GroupId, Link, VmName},
};
use serde::{Deserialize, Serialize};

/// Orders the tables of a group: a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// Epoch of the controller that published it.
    pub controller_epoch: u64,
    /// Number of the change within that epoch.
    pub revision: u64,
}

/// The owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The target.
    pub target: VmName,
    /// Rises with every change of owner.
    pub epoch: u64,
}

/// The owners of all partitions of a group, as last acknowledged by the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The control group.
    pub group: GroupId,
    /// Its place in the order of tables.
    pub version: TableVersion,
    /// One entry for each partition; `None` while it was never assigned.
    pub owners: Vec<Option<Owner>>,
    /// Targets that do not check grants, in order of name, and the daemon that holds the lease in
    /// place of each; empty for a service whose targets check grants.
    #[serde(default)]
    pub fronts: Vec<(VmName, Link)>,
    /// The controller's standbys, so that a daemon learns at once that it is one.
    #[serde(default)]
    pub standbys: Vec<Link>,
}

impl RoutingTable {
    /// A table without owners.
    pub fn empty(group: GroupId, partitions: u32) -> Self {
        Self {
            group,
            version: TableVersion::default(),
            owners: vec![None; partitions as usize],
            fronts: Vec::new(),
            standbys: Vec::new(),
        }
    }

    /// The owner of `partition`.
    pub fn owner(&self, partition: Partition) -> Option<&Owner> {
        self.owners.get(partition.0 as usize)?.as_ref()
    }

    /// The daemon that holds the lease in place of `target`, if the target does not check grants.
    pub fn front(&self, target: &VmName) -> Option<&Link> {
        let found = self.fronts.binary_search_by(|(name, _)| name.cmp(target));
        found.ok().map(|i| &self.fronts[i].1)
    }

    /// The changes that turn `older` into this table.
    pub fn changes_since(&self, older: &Self) -> TableDelta {
        let changes = self
            .owners
            .iter()
            .enumerate()
            .filter(|(i, owner)| older.owners.get(*i) != Some(owner))
            .map(|(i, owner)| (Partition(i as u32), owner.clone()))
            .collect();
        TableDelta {
            group: self.group.clone(),
            from: older.version,
            to: self.version,
            changes,
            fronts: (self.fronts != older.fronts).then(|| self.fronts.clone()),
            standbys: (self.standbys != older.standbys).then(|| self.standbys.clone()),
        }
    }

    /// Applies `delta` if it starts at this table's version; returns whether it did.
    pub fn apply(&mut self, delta: &TableDelta) -> bool {
        if delta.from != self.version || delta.group != self.group {
            return false;
        }
        for (partition, owner) in &delta.changes {
            if let Some(entry) = self.owners.get_mut(partition.0 as usize) {
                *entry = owner.clone();
            }
        }
        if let Some(fronts) = &delta.fronts {
            self.fronts.clone_from(fronts);
        }
        if let Some(standbys) = &delta.standbys {
            self.standbys.clone_from(standbys);
        }
        self.version = delta.to;
        true
    }
}

/// The difference between two tables of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDelta {
    /// The control group.
    pub group: GroupId,
    /// The version that it applies to.
    pub from: TableVersion,
    /// The version that it results in.
    pub to: TableVersion,
    /// The changed entries.
    pub changes: Vec<(Partition, Option<Owner>)>,
    /// All fronts, if they changed.
    #[serde(default)]
    pub fronts: Option<Vec<(VmName, Link)>>,
    /// All standbys, if they changed.
    #[serde(default)]
    pub standbys: Option<Vec<Link>>,
}
