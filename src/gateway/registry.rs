//! Registered endpoints with the versions of their rows, and a log of recent changes.
//!
//! The controller watches the endpoints in the store and forwards changes in its replies to
//! reports, so that not every daemon has to read every change from the store.

use super::{model::EndpointEntry, store_version::era_of};
use crate::collections::{Map, Set};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of removed entries that are kept. A daemon that missed more removals gets a snapshot.
const MAX_KEPT_REMOVALS: usize = 1_000;

/// State of an endpoint's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Registration {
    /// The endpoint is registered.
    Present(EndpointEntry),
    /// The row was removed, or its content is invalid.
    Removed {
        /// Whether the reader could not reach the store for so long that the entry may have lapsed.
        may_have_lapsed: bool,
    },
}

/// A change of an endpoint's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// Name of the endpoint, the key of its row.
    pub name: Arc<str>,
    /// Version of the row at this change.
    pub version: u64,
    /// State of the row after the change.
    pub registration: Registration,
}

/// Changes of endpoints up to a version of the store, or a snapshot of all endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChanges {
    /// Changed endpoints, or all endpoints of a snapshot.
    pub changes: Vec<EndpointChange>,
    /// Version of the store up to which the changes are complete.
    pub version: u64,
    /// Whether these are all endpoints, so that any other endpoint was removed.
    pub is_snapshot: bool,
    /// Whether the reader could not reach the store for so long that missing entries may have lapsed.
    pub may_have_lapsed: bool,
}

/// Start time and sequence of an entry, which order the entries under one name.
type Stamp = (u64, u64);

/// What is known of an endpoint's row.
#[derive(Debug)]
struct Row {
    version: u64,
    registration: Registration,
    /// Stamp of the last entry, also of one that was removed.
    stamp: Option<Stamp>,
}

/// All registered endpoints, and those that were removed recently.
#[derive(Debug, Default)]
pub struct Registry {
    rows: Map<Arc<str>, Row>,
    version: u64,
    last_change: u64,
    /// Version up to which removals may be missing: they were dropped or never observed.
    removals_dropped_to: u64,
}

impl Registry {
    /// Version of the store up to which the endpoints are known; 0 if they are unknown.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the store came back from a copy before this update and since the last one.
    pub fn is_restored_by(&self, update: &EndpointChanges) -> bool {
        self.version > 0 && era_of(update.version) > era_of(self.version)
    }

    /// Whether there are changes for a daemon that knows the endpoints up to `version`.
    pub fn has_changes_after(&self, version: u64) -> bool {
        self.version > 0 && (self.last_change > version || version < self.removals_dropped_to)
    }

    /// The changes after `version`, or a snapshot if some of those changes were dropped.
    pub fn changes_after(&self, version: u64) -> EndpointChanges {
        if !self.has_changes_after(version) {
            return EndpointChanges {
                changes: Vec::new(),
                version: self.version,
                is_snapshot: false,
                may_have_lapsed: false,
            };
        }
        let is_snapshot = version == 0 || version < self.removals_dropped_to;
        let changed = self.rows.iter().filter(|(_, row)| {
            let present = matches!(row.registration, Registration::Present(_));
            if is_snapshot {
                present
            } else {
                row.version > version
            }
        });
        let changes = changed.map(|(name, row)| EndpointChange {
            name: Arc::clone(name),
            version: row.version,
            registration: row.registration.clone(),
        });
        EndpointChanges {
            changes: changes.collect(),
            version: self.version,
            is_snapshot,
            may_have_lapsed: false,
        }
    }

    /// Applies an update and returns the changes that were not known before, in the order of their
    /// versions, and only the last one of each endpoint: an entry that was removed and is back in the
    /// same update was not removed for the receiver.
    pub fn apply(&mut self, update: EndpointChanges) -> Vec<EndpointChange> {
        let is_restoration = update.is_snapshot && self.is_restored_by(&update);
        let mut changes = update.changes;
        if update.is_snapshot {
            let in_snapshot: Set<&Arc<str>> = changes.iter().map(|change| &change.name).collect();
            let absent = self.rows.iter().filter(|(name, row)| {
                row.version <= update.version
                    && matches!(row.registration, Registration::Present(_))
                    && !in_snapshot.contains(name)
            });
            let removed: Vec<EndpointChange> = absent
                .map(|(name, _)| EndpointChange {
                    name: Arc::clone(name),
                    version: update.version,
                    registration: Registration::Removed {
                        // Endpoints whose entries were lost write them again.
                        may_have_lapsed: update.may_have_lapsed || is_restoration,
                    },
                })
                .collect();
            changes.extend(removed);
            // Endpoints that were added and removed before this snapshot are known to other
            // daemons only.
            self.removals_dropped_to = self.removals_dropped_to.max(update.version);
        }
        changes.retain(|change| self.is_new(change));
        if is_restoration {
            changes.retain(|change| !self.keep_later(change));
        }
        changes.sort_by_key(|change| change.version);
        for change in &changes {
            let known = self.rows.get(&change.name).and_then(|row| row.stamp);
            let row = Row {
                version: change.version,
                registration: change.registration.clone(),
                stamp: stamp(&change.registration).or(known),
            };
            self.rows.insert(Arc::clone(&change.name), row);
            self.last_change = self.last_change.max(change.version);
        }
        self.version = self.version.max(update.version);
        if !changes.is_empty() {
            self.drop_old_removals();
        }
        keep_last_of_each(&mut changes);
        changes
    }

    fn is_new(&self, change: &EndpointChange) -> bool {
        self.rows
            .get(&change.name)
            .is_none_or(|row| row.version < change.version)
    }

    /// Whether a row of a copy of the store is earlier than what is known, which is then kept under the
    /// version of that row until the endpoint writes its entry again.
    fn keep_later(&mut self, change: &EndpointChange) -> bool {
        let (Some(row), Some(stamp)) =
            (self.rows.get_mut(&change.name), stamp(&change.registration))
        else {
            return false;
        };
        let was_removed = matches!(row.registration, Registration::Removed { .. });
        let is_later = row
            .stamp
            .is_some_and(|known| known > stamp || (known == stamp && was_removed));
        if is_later {
            row.version = change.version;
            self.last_change = self.last_change.max(change.version);
        }
        is_later
    }

    fn drop_old_removals(&mut self) {
        let is_removed =
            |registration: &Registration| matches!(registration, Registration::Removed { .. });
        let mut removed: Vec<u64> = self
            .rows
            .values()
            .filter(|row| is_removed(&row.registration))
            .map(|row| row.version)
            .collect();
        if removed.len() <= MAX_KEPT_REMOVALS {
            return;
        }
        removed.sort_unstable();
        let limit = removed[removed.len() - MAX_KEPT_REMOVALS / 2];
        self.removals_dropped_to = self.removals_dropped_to.max(limit);
        self.rows
            .retain(|_, row| !is_removed(&row.registration) || row.version > limit);
    }
}

/// Drops all changes of an endpoint but the last one.
fn keep_last_of_each(changes: &mut Vec<EndpointChange>) {
    let mut later = Set::default();
    changes.reverse();
    changes.retain(|change| later.insert(Arc::clone(&change.name)));
    changes.reverse();
}

fn stamp(registration: &Registration) -> Option<Stamp> {
    match registration {
        Registration::Present(entry) => Some((entry.instance.started_at_ms, entry.sequence)),
        Registration::Removed { .. } => None,
    }
}
