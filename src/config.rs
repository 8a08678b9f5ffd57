//! The configuration: the head row, the declaration and the preset in force, and changes of them.

mod assignment_check;
pub mod change;
pub mod plan;
pub mod reader;

pub use change::{ChangeOutcome, ConfigWriter};
pub use plan::{Change, ChangeRequest};

use crate::{
    collections::Set,
    declaration::{Declaration, DeclarationError, Preset},
    world::VmName,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Content of the single row that determines the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Rises by one with every accepted change.
    pub version: u64,
    /// SHA-256 of the declaration's text, under which the object store has the text.
    pub body_hash: Arc<str>,
    /// Name of the preset in force.
    pub preset: Arc<str>,
    /// Targets that operators have set to drain.
    pub drained: Vec<VmName>,
    /// Operator who made the change.
    pub by: Arc<str>,
    /// Time of the change, as an RFC 3339 timestamp.
    pub at: Arc<str>,
    /// Operation id of the write, to resolve an in-doubt write whose answer was lost.
    pub operation: Arc<str>,
}

/// A configuration as daemons exchange it: the head and the declaration's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The head row.
    pub head: ConfigHead,
    /// The declaration's TOML text.
    pub body: Arc<str>,
}

/// A parsed and validated configuration.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The configuration as daemons exchange it.
    pub snapshot: ConfigSnapshot,
    /// The parsed declaration.
    pub declaration: Declaration,
    /// The preset in force.
    pub preset: Preset,
    /// Targets that operators have set to drain.
    pub drained: Set<VmName>,
}

impl ActiveConfig {
    /// Parses and checks the declaration of `snapshot`.
    ///
    /// # Errors
    /// [`DeclarationError`] if the declaration is not valid or lacks the preset in force.
    pub fn from_snapshot(snapshot: ConfigSnapshot) -> Result<Self, DeclarationError> {
        let declaration = Declaration::parse(&snapshot.body)?;
        let preset = declaration
            .preset(&snapshot.head.preset)
            .ok_or_else(|| DeclarationError::UnknownPreset(Arc::clone(&snapshot.head.preset)))?
            .clone();
        let drained = snapshot.head.drained.iter().cloned().collect();
        Ok(Self {
            snapshot,
            declaration,
            preset,
            drained,
        })
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.snapshot.head.version
    }
}
