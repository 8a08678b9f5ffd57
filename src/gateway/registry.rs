//! Endpoints as the store showed them, with the versions of their changes.
//!
//! The controller follows the endpoints in the store and passes changes on with its answers to
//! reports, so that not every daemon has to ask the store for each of them.

use super::model::EndpointEntry;
use crate::collections::{Map, Set};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Removed entries that are remembered. A daemon that missed more of them gets all entries.
const MAX_REMOVED: usize = 1_000;

/// What a row says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Registration {
    /// It is registered.
    Present(EndpointEntry),
    /// Its entry is gone, or names no endpoint.
    Removed {
        /// Whether the store failed to answer before this was seen.
        after_failure: bool,
    },
}

/// A change of an endpoint's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChange {
    /// Name of the endpoint.
    pub name: Arc<str>,
    /// Version of the row.
    pub version: u64,
    /// What the row says.
    pub registration: Registration,
}

/// Changes of endpoints up to a version of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChanges {
    /// The changes.
    pub changes: Vec<EndpointChange>,
    /// Version of the store up to which they are complete.
    pub version: u64,
    /// Whether these are all endpoints, so that others are gone.
    pub is_snapshot: bool,
    /// Whether the store failed to answer before these were read.
    pub after_failure: bool,
}

/// All endpoints, and those that were removed lately.
#[derive(Debug, Default)]
pub struct Registry {
    rows: Map<Arc<str>, (u64, Registration)>,
    version: u64,
    last_change: u64,
    /// Version up to which removed entries are forgotten, or were never seen.
    forgotten: u64,
}

impl Registry {
    /// Version of the store up to which the endpoints are known; 0 if they are not.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether a daemon that knows the endpoints up to `version` misses changes.
    pub fn has_changes_after(&self, version: u64) -> bool {
        self.version > 0 && (self.last_change > version || version < self.forgotten)
    }

    /// The changes after `version`, or all endpoints if some of the changes are forgotten.
    pub fn changes_after(&self, version: u64) -> EndpointChanges {
        if !self.has_changes_after(version) {
            return EndpointChanges {
                changes: Vec::new(),
                version: self.version,
                is_snapshot: false,
                after_failure: false,
            };
        }
        let is_snapshot = version == 0 || version < self.forgotten;
        let changed = self.rows.iter().filter(|(_, (at, registration))| {
            let present = matches!(registration, Registration::Present(_));
            if is_snapshot { present } else { *at > version }
        });
        let changes = changed.map(|(name, (at, registration))| EndpointChange {
            name: Arc::clone(name),
            version: *at,
            registration: registration.clone(),
        });
        EndpointChanges {
            changes: changes.collect(),
            version: self.version,
            is_snapshot,
            after_failure: false,
        }
    }

    /// Takes changes in and returns those that were not known.
    pub fn apply(&mut self, news: EndpointChanges) -> Vec<EndpointChange> {
        let mut changes = news.changes;
        if news.is_snapshot {
            let named: Set<&Arc<str>> = changes.iter().map(|change| &change.name).collect();
            let missing = self.rows.iter().filter(|(name, (at, registration))| {
                *at <= news.version
                    && matches!(registration, Registration::Present(_))
                    && !named.contains(name)
            });
            let gone: Vec<EndpointChange> = missing
                .map(|(name, _)| EndpointChange {
                    name: Arc::clone(name),
                    version: news.version,
                    registration: Registration::Removed {
                        after_failure: news.after_failure,
                    },
                })
                .collect();
            changes.extend(gone);
            // Endpoints that came and went before this are known to other daemons only.
            self.forgotten = self.forgotten.max(news.version);
        }
        changes.retain(|change| self.is_new(change));
        for change in &changes {
            let row = (change.version, change.registration.clone());
            self.rows.insert(Arc::clone(&change.name), row);
            self.last_change = self.last_change.max(change.version);
        }
        self.version = self.version.max(news.version);
        if !changes.is_empty() {
            self.forget_removed();
        }
        changes
    }

    fn is_new(&self, change: &EndpointChange) -> bool {
        self.rows
            .get(&change.name)
            .is_none_or(|(version, _)| *version < change.version)
    }

    fn forget_removed(&mut self) {
        let is_gone =
            |registration: &Registration| matches!(registration, Registration::Removed { .. });
        let mut removed: Vec<u64> = self
            .rows
            .values()
            .filter(|(_, registration)| is_gone(registration))
            .map(|(version, _)| *version)
            .collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort_unstable();
        let limit = removed[removed.len() - MAX_REMOVED / 2];
        self.forgotten = self.forgotten.max(limit);
        self.rows
            .retain(|_, (version, registration)| !is_gone(registration) || *version > limit);
    }
}
