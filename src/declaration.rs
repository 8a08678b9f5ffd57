//! Declarations: TOML files in which operators define the services and presets of a deployment.

pub mod check;
pub mod difference;

pub use check::Problem;
pub use difference::{FieldChange, difference};

use crate::world::Contract;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A declaration.
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

/// Why a declaration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeclarationError {
    /// The text is not TOML with the fields of a [`Declaration`].
    #[error("the declaration cannot be read: {0}")]
    Syntax(String),
    /// The preset to use is not in the declaration.
    #[error("preset \"{0}\" is not declared")]
    UnknownPreset(Arc<str>),
    /// Some values are not allowed; the list has all of them.
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
    /// [`DeclarationError::Syntax`] if the text cannot be parsed, else [`DeclarationError::Invalid`]
    /// with all problems.
    pub fn parse(text: &str) -> Result<Self, DeclarationError> {
        let declaration: Self =
            toml::from_str(text).map_err(|e| DeclarationError::Syntax(e.to_string()))?;
        let problems = check::problems(&declaration);
        if !problems.is_empty() {
            return Err(DeclarationError::Invalid(problems));
        }
        Ok(declaration)
    }

    /// The preset named `name`; `None` if it is not declared.
    pub fn preset(&self, name: &str) -> Option<&Preset> {
        self.presets.iter().find(|preset| &*preset.name == name)
    }
}

/// A named set of settings that operators switch together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Unique name.
    pub name: Arc<str>,
    /// How callers can contact an operator.
    pub contact: Arc<str>,
    /// Duration of the leases granted for a store outage, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// Weights of the measures in placement decisions.
    #[serde(default)]
    pub weights: Weights,
    /// Most partitions that placement moves per minute to balance load.
    #[serde(default = "default_move_budget")]
    pub moves_per_minute: u32,
    /// Times of day (UTC) when placement moves no partitions to balance load.
    #[serde(default)]
    pub quiet_hours: Vec<QuietHours>,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Longest deadline that a caller may set, in milliseconds.
    #[serde(default = "default_max_timeout_ms")]
    pub max_timeout_ms: u64,
    /// Most requests that wait for one target in a daemon.
    #[serde(default = "default_queue_length")]
    pub queue_length: u32,
}

/// Relative weights of the three measures in placement decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Weight of uneven load across targets.
    pub imbalance: f64,
    /// Weight of changes of ownership.
    pub churn: f64,
    /// Weight of the time during which keys cannot be served.
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

/// A daily time span in UTC.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuietHours {
    /// First minute, as `HH:MM`.
    pub from: Arc<str>,
    /// First minute after the span, as `HH:MM`; earlier than `from` if the span includes midnight.
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
