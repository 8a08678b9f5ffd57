//! Messages of the platform's store, as JSON over HTTP.
//!
//! - `GET /rows/{name}` answers a [`Row`] or 404; `GET /rows?prefix={prefix}` a list of rows.
//! - `POST /transactions` takes a [`Transaction`]: 200 with [`CommitReply`], or 409 with the rows
//!   whose conditions failed as [`CommitReply::Conflict`].
//! - `PUT /objects/{hash}` and `GET /objects/{hash}` keep bodies under their SHA-256.
//! - `GET /vms` answers the list of VMs.
//! - A 503 means that nothing was done.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A row with its version; versions start at 1 and rise with every write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique name.
    pub name: Arc<str>,
    /// Version; 0 stands for a row that does not exist.
    pub version: u64,
    /// Content, JSON text by convention.
    pub value: Arc<str>,
}

/// Requires that a row has a version at the time of the commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Name of the row.
    pub row: Arc<str>,
    /// Required version; 0 requires that the row does not exist.
    pub version: u64,
}

/// Replaces or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Name of the row.
    pub row: Arc<str>,
    /// New content, or `None` to delete the row.
    pub value: Option<Arc<str>>,
}

/// Writes that take effect together, or not at all if a condition fails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, checked together with the writes.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of `value` to `row` that requires the row's current `version`.
    pub fn replace(mut self, row: &str, version: u64, value: Arc<str>) -> Self {
        self.conditions.push(Condition {
            row: row.into(),
            version,
        });
        self.writes.push(Write {
            row: row.into(),
            value: Some(value),
        });
        self
    }

    /// Adds the condition that `row` has `version`.
    pub fn require(mut self, row: &str, version: u64) -> Self {
        self.conditions.push(Condition {
            row: row.into(),
            version,
        });
        self
    }
}

/// Answer to a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommitReply {
    /// It took effect; the new version of every written row, 0 for deleted ones.
    Committed(Vec<(Arc<str>, u64)>),
    /// It did not take effect; the current state of the rows whose conditions failed.
    Conflict(Vec<Row>),
}
