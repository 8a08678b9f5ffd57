//! Routing tables: which target owns which partition.

use crate::{
    partition::Partition,
    world::{GroupId, Link, VmName},
};
use serde::{Deserialize, Serialize};

/// Version of a group's table. A table with a higher version replaces one with a lower version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// Epoch of the controller that published the table.
    pub controller_epoch: u64,
    /// Number of the change within that epoch.
    pub revision: u64,
}

/// The owner of a partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The target.
    pub target: VmName,
    /// Ownership epoch; rises with every change of owner.
    pub epoch: u64,
}

/// The owners of all partitions of a group, as last acknowledged by the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The control group.
    pub group: GroupId,
    /// Version of the table.
    pub version: TableVersion,
    /// Owner of each partition, by partition number; `None` for one that was never assigned.
    pub owners: Vec<Option<Owner>>,
    /// Front daemons, in order of target name: the daemon that holds the lease for each target that
    /// does not check grants. Empty for a service whose targets check grants.
    #[serde(default)]
    pub fronts: Vec<(VmName, Link)>,
    /// The controller's standbys. Sent with the table so that a daemon becomes standby without delay.
    #[serde(default)]
    pub standbys: Vec<Link>,
}

impl RoutingTable {
    /// A table of the lowest version without owners.
    pub fn empty(group: GroupId, partitions: u32) -> Self {
        Self {
            group,
            version: TableVersion::default(),
            owners: vec![None; partitions as usize],
            fronts: Vec::new(),
            standbys: Vec::new(),
        }
    }

    /// The owner of `partition`; `None` if it was never assigned or is out of range.
    pub fn owner(&self, partition: Partition) -> Option<&Owner> {
        self.owners.get(partition.0 as usize)?.as_ref()
    }

    /// The front daemon of `target`, if the target does not check grants.
    pub fn front(&self, target: &VmName) -> Option<&Link> {
        let found = self.fronts.binary_search_by(|(name, _)| name.cmp(target));
        found.ok().map(|i| &self.fronts[i].1)
    }

    /// The difference that turns `older` into this table.
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

    /// Applies `delta` if it starts at this table's version; returns whether it was applied.
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
    /// Version of the table that it applies to.
    pub from: TableVersion,
    /// Version of the table after it is applied.
    pub to: TableVersion,
    /// The partitions whose owner changed, with the new owner.
    pub changes: Vec<(Partition, Option<Owner>)>,
    /// All front daemons, if any changed.
    #[serde(default)]
    pub fronts: Option<Vec<(VmName, Link)>>,
    /// All standbys, if any changed.
    #[serde(default)]
    pub standbys: Option<Vec<Link>>,
}
