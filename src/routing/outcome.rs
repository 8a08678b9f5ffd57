//! Outcome of a request as reported to its caller.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request was executed, as far as the daemon can prove it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// The target's complete response is forwarded.
    Answered,
    /// It is proved that the request did not run; retrying it is safe.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A target's complete response.
#[derive(Clone, Debug)]
pub struct TargetResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The target's complete response.
    Answered(TargetResponse),
    /// Refused; proved not to have run.
    NotRun(Refusal),
    /// May have run.
    Unknown(Refusal),
}

/// Why the target's response is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status code for the caller.
    pub status: StatusCode,
    /// Stable text of the [`Code`](super::refusal::Code), for scripts and the operator's tool.
    pub code: Arc<str>,
    /// The reason in one sentence.
    pub reason: Arc<str>,
}

/// JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Whether the request may have run.
    pub outcome: OutcomeKind,
    /// Reference for the caller to quote to the operator.
    pub reference: Arc<str>,
    /// Stable text of the code.
    pub code: Arc<str>,
    /// The reason in one sentence.
    pub reason: Arc<str>,
    /// Contact of the human operators.
    pub contact: Arc<str>,
}
