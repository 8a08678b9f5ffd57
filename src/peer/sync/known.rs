//! What a daemon can pass on: its configuration, its routing tables and recent earlier tables.

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

/// Earlier tables of a group kept to send differences.
const HISTORY: usize = 16;
/// Table entries sent in one message; the rest follows in the next ones. Keeps a message well
/// below the size limit.
const MAX_ENTRIES: usize = 100_000;

/// The versions of everything that a daemon has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Version of the configuration; 0 for none.
    pub config: u64,
    /// Version of each table.
    pub groups: Map<GroupId, TableVersion>,
    /// The VM list.
    pub vms: VmsStamp,
}

impl Versions {
    /// Versions as they are in a message.
    pub fn new(config: u64, tables: Vec<(GroupId, TableVersion)>, vms: VmsStamp) -> Self {
        Self {
            config,
            groups: tables.into_iter().collect(),
            vms,
        }
    }

    /// Table versions as they are in a message.
    pub fn tables(&self) -> Vec<(GroupId, TableVersion)> {
        self.groups.iter().map(|(g, v)| (g.clone(), *v)).collect()
    }

    /// Whether the configuration or any table is newer here than in `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.groups.iter().any(|(g, v)| *v > other.table(g))
    }

    /// The version of the table of `group`; the lowest if there is none.
    pub fn table(&self, group: &GroupId) -> TableVersion {
        self.groups.get(group).copied().unwrap_or_default()
    }

    /// These versions, raised to `current` wherever `current` was not in `announced` yet.
    pub fn at_least_where_new(&self, announced: &Self, current: &Self) -> Self {
        let mut raised = self.clone();
        if current.config > announced.config {
            raised.config = raised.config.max(current.config);
        }
        for (group, version) in &current.groups {
            if *version > announced.table(group) {
                let known = raised.groups.entry(group.clone()).or_default();
                *known = (*known).max(*version);
            }
        }
        raised
    }
}

/// What a daemon has to pass on.
#[derive(Debug, Default)]
pub struct Known {
    config: Option<Arc<ActiveConfig>>,
    /// The present table of each group, and earlier ones before it.
    tables: Map<GroupId, VecDeque<Arc<RoutingTable>>>,
    /// The platform's VM list.
    pub vms: VmList,
}

impl Known {
    /// Takes what the directory has published.
    pub fn refresh(&mut self, snapshot: &Snapshot) {
        self.config.clone_from(&snapshot.config);
        for (group, table) in &snapshot.tables {
            let tables = self.tables.entry(group.clone()).or_default();
            if tables
                .back()
                .is_none_or(|last| last.version < table.version)
            {
                tables.push_back(Arc::clone(table));
                if tables.len() > HISTORY {
                    tables.pop_front();
                }
            }
        }
    }

    /// The configuration version; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version())
    }

    /// The version of the table of `group`; the lowest if there is none.
    pub fn table_version(&self, group: &GroupId) -> TableVersion {
        let table = self.tables.get(group).and_then(VecDeque::back);
        table.map(|table| table.version).unwrap_or_default()
    }

    /// The versions of everything.
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

    /// The configuration and tables that a peer with the versions `theirs` is missing.
    pub fn newer_than(&self, theirs: &Versions) -> Vec<Item> {
        let config = self
            .config
            .iter()
            .filter(|config| config.version() > theirs.config)
            .map(|config| Item::Config(config.snapshot.clone()));
        let mut items: Vec<Item> = config.collect();
        let mut entries = 0;
        for (group, tables) in &self.tables {
            if entries >= MAX_ENTRIES {
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

/// The table as a difference to `theirs` if that is known and smaller, else whole; and the number
/// of its entries.
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
