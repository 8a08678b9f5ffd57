//! Declarations: the services and presets that operators keep in version control.

pub mod check;
pub mod difference;

pub use check::Problem;
pub use difference::{FieldChange, difference};

use crate::world::Contract;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A whole declaration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Name of the deployment.
    pub deployment: Arc<str>,
    /// The services.
    pub services: Vec<Contract>,
    /// The presets; exactly one is in force at any time.
    pub presets: Vec<Preset>,
    /// Name of the preset in force when the first declaration is applied.
    pub initial_preset: Arc<str>,
}

/// Why a declaration is not valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeclarationError {
    /// It is not TOML of the expected shape.
    #[error("the declaration cannot be read: {0}")]
    Syntax(String),
    /// It names a preset that it does not declare.
    #[error("preset \"{0}\" is not declared")]
    UnknownPreset(Arc<str>),
    /// It has values that are not allowed.
    #[error("the declaration has values that are not allowed:{}", lines(.0))]
    Invalid(Vec<Problem>),
}

fn lines(problems: &[Problem]) -> String {
    problems.iter().map(|p| format!("\n  {p}")).collect()
}

impl Declaration {
    /// Parses and checks TOML text.
    ///
    /// # Errors
    /// [`DeclarationError::Syntax`] for text that cannot be read, else
    /// [`DeclarationError::Invalid`] with all problems.
    pub fn parse(text: &str) -> Result<Self, DeclarationError> {
        let declaration: Self =
            toml::from_str(text).map_err(|e| DeclarationError::Syntax(e.to_string()))?;
        let problems = check::problems(&declaration);
        if !problems.is_empty() {
            return Err(DeclarationError::Invalid(problems));
        }
        Ok(declaration)
    }

    /// The preset named `name`.
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|preset| &*preset.name == name)
    }
}

/// Settings that operators switch together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Unique name.
    pub name: Arc<str>,
    /// How a caller reaches a human operator.
    pub contact: Arc<str>,
    /// Length of the leases granted for a store outage, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// How placement weighs what is measured.
    #[serde(default)]
    pub weights: Weights,
    /// Partitions that placement may move in a minute to even out load.
    #[serde(default = "default_move_budget")]
    pub moves_per_minute: u32,
    /// Times of day (UTC) when placement moves nothing to even out load.
    #[serde(default)]
    pub quiet_hours: Vec<QuietHours>,
    /// Retries allowed, in percent of first tries.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde(default = "default_max_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Requests that may wait for one target in a daemon.
    #[serde(default = "default_queue_length")]
    pub queue_length: u32,
}

/// Relative weights of the three measures in placement decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Uneven load across targets.
    pub imbalance: f64,
    /// Changes of ownership.
    pub churn: f64,
    /// Time during which keys cannot be served.
    pub unserved: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1.0,
            churn: 1.0,
            unserved: 1.0,
        }
    }
}

/// A daily span of time in UTC.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// First minute, as `HH:MM`.
    pub from: Arc<str>,
    /// First minute after the span, as `HH:MM`; may be earlier than `from` to span midnight.
    pub to: Arc<str>,
}

fn default_hold_ms() -> u64 {
    15 * 60 * 1_000
}

fn default_move_budget() -> u32 {
    64
}

fn default_retry_percent() -> u32 {
    10
}

fn default_max_timeout_ms() -> u64 {
    30_000
}

fn default_queue_length() -> u32 {
    64
}
