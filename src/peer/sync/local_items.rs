//! The items that a daemon can send to peers: its configuration, the VM list and its routing tables
//! with their recent versions.

use super::{
    super::message::{Item, VmsStamp},
    vms::VmList,
};
use crate::{
    clock::Millis,
    collections::Map,
    config::ActiveConfig,
    entry::snapshot::Snapshot,
    table::{RoutingTable, TableVersion},
    world::GroupId,
};
use std::{collections::VecDeque, sync::Arc};

/// Versions of a group's table that are kept, the latest included, to send differences.
const MAX_TABLE_VERSIONS: usize = 16;
/// No further table is added to a message that has this number of table entries; it follows in a
/// later message. Keeps messages well below the size limit.
const MAX_TABLE_ENTRIES: usize = 100_000;

/// The versions of all items of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the configuration; 0 for none.
    pub config: u64,
    /// Version of each table.
    pub groups: Map<GroupId, TableVersion>,
    /// Hash and age of the VM list.
    pub vms: VmsStamp,
}

impl Versions {
    /// Versions as stated in a message.
    pub fn new(config: u64, tables: Vec<(GroupId, TableVersion)>, vms: VmsStamp) -> Self {
        Self {
            config,
            groups: tables.into_iter().collect(),
            vms,
        }
    }

    /// Table versions as stated in a message.
    pub fn tables(&self) -> Vec<(GroupId, TableVersion)> {
        self.groups.iter().map(|(g, v)| (g.clone(), *v)).collect()
    }

    /// Whether the configuration or any table has a higher version here than in `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.groups.iter().any(|(g, v)| *v > other.table(g))
    }

    /// The version of the table of `group`; the lowest possible one if there is none.
    pub fn table(&self, group: &GroupId) -> TableVersion {
        self.groups.get(group).copied().unwrap_or_default()
    }

    /// These versions, raised to those in `current` that are higher than in `announced`.
    pub fn raised_where_unannounced(&self, announced: &Self, current: &Self) -> Self {
        let mut raised = self.clone();
        if current.config > announced.config {
            raised.config = raised.config.max(current.config);
        }
        for (group, version) in &current.groups {
            if *version > announced.table(group) {
                let highest = raised.groups.entry(group.clone()).or_default();
                *highest = (*highest).max(*version);
            }
        }
        raised
    }
}

/// The items that a daemon can send.
#[derive(Debug, Default)]
pub struct LocalItems {
    config: Option<Arc<ActiveConfig>>,
    /// Recent tables of each group in order of version, the latest last.
    tables: Map<GroupId, VecDeque<Arc<RoutingTable>>>,
    /// The platform's VM list.
    pub vms: VmList,
}

impl LocalItems {
    /// Takes the configuration and new tables of the directory's snapshot.
    pub fn refresh(&mut self, snapshot: &Snapshot) {
        self.config.clone_from(&snapshot.config);
        for (group, table) in &snapshot.tables {
            let tables = self.tables.entry(group.clone()).or_default();
            if tables
                .back()
                .is_none_or(|last| last.version < table.version)
            {
                tables.push_back(Arc::clone(table));
                if tables.len() > MAX_TABLE_VERSIONS {
                    tables.pop_front();
                }
            }
        }
    }

    /// The configuration version; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }

    /// The version of the table of `group`; the lowest possible one if there is none.
    pub fn table_version(&self, group: &GroupId) -> TableVersion {
        let table = self.tables.get(group).and_then(VecDeque::back);
        table.map(|table| table.version).unwrap_or_default()
    }

    /// The versions of all items.
    pub fn versions(&self, now: Millis) -> Versions {
        Versions {
            config: self.config_version(),
            groups: self
                .tables
                .keys()
                .map(|group| (group.clone(), self.table_version(group)))
                .collect(),
            vms: self.vms.stamp(now),
        }
    }

    /// The configuration and tables that are newer than `theirs`, a peer's versions.
    pub fn newer_than(&self, theirs: &Versions) -> Vec<Item> {
        let config = self
            .config
            .iter()
            .filter(|config| config.version() > theirs.config)
            .map(|config| Item::Config(config.snapshot.clone()));
        let mut items: Vec<Item> = config.collect();
        let mut entries = 0;
        for (group, tables) in &self.tables {
            if entries >= MAX_TABLE_ENTRIES {
                break;
            }
            if let Some((item, size)) = newer_table(tables, theirs.table(group)) {
                entries += size;
                items.push(item);
            }
        }
        items
    }
}

/// The latest table if it is newer than version `theirs`, and its number of entries. It is sent as a
/// difference if that version is still kept and fewer than half of the entries have changed, else
/// whole.
fn newer_table(
    tables: &VecDeque<Arc<RoutingTable>>,
    theirs: TableVersion,
) -> Option<(Item, usize)> {
    let table = tables.back().filter(|table| table.version > theirs)?;
    let delta = tables
        .iter()
        .find(|earlier| earlier.version == theirs && earlier.owners.len() == table.owners.len())
        .map(|earlier| table.changes_since(earlier))
        .filter(|delta| delta.changes.len() * 2 < table.owners.len());
    Some(match delta {
        Some(delta) => {
            let size = delta.changes.len();
            (Item::TableDelta(delta), size)
        }
        None => (Item::Table(table.as_ref().clone()), table.owners.len()),
    })
}
