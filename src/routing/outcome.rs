//! What became of a request.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::{Display, EnumString, IntoStaticStr};

/// What the daemon can say about the execution of a request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeKind {
    /// The target's own complete answer is passed on.
    Answered,
    /// It is proved that the request did not run; it is safe to send it again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A target's complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers without hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The target's own complete answer.
    Answered(Answer),
    /// Refused; proved not to have run.
    NotRun(Refusal),
    /// May have run.
    Unknown(Refusal),
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Status code for the caller.
    pub status: StatusCode,
    /// Stable code of the reason, for scripts and the operator's tool.
    pub code: Arc<str>,
    /// The reason in one plain sentence.
    pub reason: Arc<str>,
}

/// JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// What is known of the execution.
    pub outcome: OutcomeKind,
    /// Reference to quote to the operator.
    pub reference: Arc<str>,
    /// Stable code of the reason.
    pub code: Arc<str>,
    /// The reason in one plain sentence.
    pub reason: Arc<str>,
    /// How to reach a human operator.
    pub contact: Arc<str>,
}
