//! Audit records: who changed the configuration, when, and what.

use crate::{
    config::ConfigHead,
    declaration::FieldChange,
    store::{Row, StoreClient, StoreError},
    world::VmName,
};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{self, Display},
    sync::Arc,
};

/// Most records returned by one [`read`]; each costs one read of the store.
pub const MAX_RECORDS: u64 = 200;

/// The change that an operator made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Action {
    /// Applied a declaration.
    Apply,
    /// Selected the preset in force.
    UsePreset {
        /// The preset.
        preset: Arc<str>,
    },
    /// Drained a target.
    Drain {
        /// The target.
        target: VmName,
    },
    /// Made a drained target eligible for work again.
    Undrain {
        /// The target.
        target: VmName,
    },
}

impl Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Apply => f.write_str("apply"),
            Self::UsePreset { preset } => write!(f, "preset use {preset}"),
            Self::Drain { target } => write!(f, "drain {target}"),
            Self::Undrain { target } => write!(f, "undrain {target}"),
        }
    }
}

/// A change of the configuration, written in the same transaction as the head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version that the change resulted in.
    pub version: u64,
    /// Name of the operator.
    pub by: Arc<str>,
    /// Time of the change, as an RFC 3339 timestamp.
    pub at: Arc<str>,
    /// Reason that the operator gave.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
    /// The operation id of the write.
    pub operation: Arc<str>,
    /// What was done.
    pub action: Action,
    /// The head before; `None` for the first configuration.
    pub from: Option<ConfigHead>,
    /// The head after.
    pub to: ConfigHead,
    /// Fields of the declaration that changed.
    #[serde(default)]
    pub changes: Vec<FieldChange>,
}

/// Name of the row of the audit record for `version`.
pub fn row_name(version: u64) -> String {
    format!("audit/{version}")
}

/// Parses the row of an audit record.
///
/// # Errors
/// [`StoreError::Malformed`] if it is not an audit record.
pub fn parse(row: &Row) -> Result<AuditRecord, StoreError> {
    serde_json::from_str(&row.value).map_err(|e| StoreError::Malformed(e.to_string()))
}

/// Reads the records of the versions from `first` to `last`, the latest first, at most
/// [`MAX_RECORDS`]. Versions without a record are left out.
///
/// # Errors
/// [`StoreError`] if the store is unavailable or a record is malformed.
pub async fn read(
    store: &StoreClient,
    first: u64,
    last: u64,
) -> Result<Vec<AuditRecord>, StoreError> {
    let first = first.max(1).max((last + 1).saturating_sub(MAX_RECORDS));
    let mut records = Vec::new();
    for version in (first..=last).rev() {
        if let Some(row) = store.read_row(&row_name(version)).await? {
            records.push(parse(&row)?);
        }
    }
    Ok(records)
}
