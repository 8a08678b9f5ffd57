//! Controls that make a target drain, report false values or fail.

use serde::{Deserialize, Serialize};

/// What is wrong with a target's responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EchoFault {
    /// Nothing.
    #[default]
    None,
    /// They echo another request's id.
    WrongId,
}

/// The controls in force; the default is a well-behaved target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Asks to be emptied, in health and in grant replies.
    pub leaving: bool,
    /// Refuses every request as draining.
    pub refuse_draining: bool,
    /// Refuses every request as shed.
    pub shed: bool,
    /// Reported health in place of the true one.
    pub healthy: Option<bool>,
    /// Reported load in place of the true one.
    pub load: Option<f64>,
    /// Reported cold state in place of the true one.
    pub cold: Option<bool>,
    /// Service time of requests that name none, in milliseconds.
    pub work_ms: u64,
    /// What is wrong with responses.
    pub echo: EchoFault,
    /// Answers every request with status 500 after running it.
    pub fail: bool,
}
