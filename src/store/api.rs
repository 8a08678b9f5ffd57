//! Messages of the platform's store, as JSON over HTTP.
//!
//! - `GET /rows/{name}` returns a [`Row`] or 404; `GET /rows?prefix={prefix}` returns a list of rows.
//! - `POST /transactions` takes a [`Transaction`] and returns 200 with [`CommitReply::Committed`], or
//!   409 with [`CommitReply::Conflict`] and the rows whose conditions failed.
//! - `PUT /objects/{hash}` and `GET /objects/{hash}` store and return bodies under their SHA-256.
//! - `GET /vms` returns the list of VMs.
//! - A 503 means that the request had no effect.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A row with its version. Versions start at 1 and rise with every write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Unique name.
    pub name: Arc<str>,
    /// Version; 0 stands for a row that does not exist.
    pub version: u64,
    /// Content, JSON text by convention.
    pub value: Arc<str>,
}

/// Requires that a row has a certain version at the time of the commit (compare-and-set).
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

/// Writes that take effect atomically, or not at all if a condition fails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, checked atomically with the writes.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a write of `value` to `row`, conditional on the row having `version`.
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

/// Reply to a [`Transaction`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommitReply {
    /// It took effect; name and new version of every written row, version 0 for deleted ones.
    Committed(Vec<(Arc<str>, u64)>),
    /// It did not take effect; the current state of the rows whose conditions failed.
    Conflict(Vec<Row>),
}
