//! The configuration in force.

pub mod change;
mod former;
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

/// The single row that says which configuration is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Rises by one with every accepted change.
    pub version: u64,
    /// SHA-256 of the declaration's text, which names the object that holds it.
    pub body_hash: Arc<str>,
    /// Name of the preset in force.
    pub preset: Arc<str>,
    /// Targets that operators want emptied.
    pub drained: Vec<VmName>,
    /// Who made the change.
    pub by: Arc<str>,
    /// When, as an RFC 3339 timestamp.
    pub at: Arc<str>,
    /// Identifies the write, to settle one whose answer was lost.
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

/// A checked configuration, ready for use.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// What it was made from.
    pub snapshot: ConfigSnapshot,
    /// The parsed declaration.
    pub declaration: Declaration,
    /// The preset in force.
    pub preset: Preset,
    /// Targets that operators want emptied.
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
