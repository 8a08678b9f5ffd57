//! Refusal codes and the ring buffer of recent refusals.

use super::{
    outcome::{Outcome, OutcomeKind, Refusal},
    reference::Reference,
};
use crate::world::ServiceName;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Number of recent refusals that a daemon keeps for the operator's tool.
pub const RECENT_REFUSALS: usize = 4_096;

/// Reason for a request's outcome. Its kebab-case text is stable, for scripts and the operator's
/// tool.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Code {
    /// The target sent a complete response.
    Answered,
    /// The method is not forwarded.
    BadMethod,
    /// The path names no service, has a malformed escape, or contains dot segments or control
    /// characters.
    BadPath,
    /// The key is missing, too long or not valid text.
    BadKey,
    /// A header that the daemon reads has a malformed value.
    BadHeader,
    /// The headers are too many or too large.
    HeadersTooLarge,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive completely.
    BodyIncomplete,
    /// No service has this name.
    UnknownService,
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// No target owns the key at the moment.
    NoOwner,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The target does not hold the key's partition.
    NotOwner,
    /// All slots of the target were taken.
    Shed,
    /// The target is draining.
    Draining,
    /// The target is still starting.
    Cold,
    /// The target received the request after its deadline.
    TargetDeadline,
    /// Too little time is left to finish the request.
    TooLate,
    /// The memory for request bodies is used up.
    Overloaded,
    /// Too many requests wait for the target.
    QueueFull,
    /// No connection to the target could be established.
    ConnectFailed,
    /// The connection closed before the request was written.
    NeverWritten,
    /// The table service did not confirm the journal row.
    JournalUnavailable,
    /// The idempotency key was used for a different request.
    KeyReused,
    /// The target sent no complete response in time.
    Timeout,
    /// The connection to the target was lost before its response began.
    ConnectionLost,
    /// The target's response was truncated, or its end could not be verified.
    AnswerTruncated,
    /// The target's response is larger than the limit.
    AnswerTooLarge,
    /// The response carries the id of another request, or none.
    AnswerMismatch,
    /// The response is not valid in HTTP.
    AnswerMalformed,
    /// An earlier request with the same idempotency key has no recorded response.
    AnswerPending,
    /// The response to an earlier request with the same idempotency key was too large to record.
    AnswerNotKept,
    /// The daemon failed while it handled the request.
    Internal,
}

impl Code {
    /// Whether the request was answered, did not run, or may have run.
    pub fn kind(self) -> OutcomeKind {
        match self {
            Self::Answered => OutcomeKind::Answered,
            Self::Timeout
            | Self::ConnectionLost
            | Self::AnswerTruncated
            | Self::AnswerTooLarge
            | Self::AnswerMismatch
            | Self::AnswerMalformed
            | Self::AnswerPending
            | Self::AnswerNotKept
            | Self::Internal => OutcomeKind::Unknown,
            _ => OutcomeKind::NotRun,
        }
    }

    /// Status code for the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Answered => StatusCode::OK,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadPath | Self::BadKey | Self::BadHeader | Self::BodyIncomplete => {
                StatusCode::BAD_REQUEST
            }
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            _ => match self.kind() {
                OutcomeKind::Unknown => StatusCode::GATEWAY_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
        }
    }

    /// The reason in one sentence, for callers and operators.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Answered => "The target answered the request.",
            Self::BadMethod => "Requests with this method are not passed on.",
            Self::BadPath => {
                "The path must be /service/rest, without dot segments or control characters."
            }
            Self::BadKey => {
                "The path must name a key of 1 to 512 bytes of valid text after the service."
            }
            Self::BadHeader => "A header of the request has a malformed value.",
            Self::HeadersTooLarge => "The headers of the request are too many or too large.",
            Self::BodyTooLarge => "The body of the request is larger than 1 MiB.",
            Self::BodyIncomplete => "The body of the request did not arrive completely.",
            Self::UnknownService => "There is no service with this name.",
            Self::NoConfiguration => "This daemon has just started and cannot serve requests yet.",
            Self::NoOwner => "No server owns this key at the moment.",
            Self::NoEndpoint => "No server of this service takes requests at the moment.",
            Self::NotOwner => "The key is being moved to another server.",
            Self::Shed => "The server is busy and did not take the request.",
            Self::Draining => "The server is being stopped and did not take the request.",
            Self::Cold => "The server is starting and did not take the request.",
            Self::TargetDeadline => "The time limit passed before the server began the request.",
            Self::TooLate => "The request cannot be finished within its time limit.",
            Self::Overloaded => "This daemon holds too many requests.",
            Self::QueueFull => "Too many requests are waiting for the server.",
            Self::ConnectFailed => "The server could not be reached.",
            Self::NeverWritten => "The connection closed before the request was sent.",
            Self::JournalUnavailable => {
                "The idempotency key could not be recorded, so the request was not sent."
            }
            Self::KeyReused => "The idempotency key was already used for a different request.",
            Self::Timeout => "The server gave no complete answer in time; it may have acted.",
            Self::ConnectionLost => {
                "The connection was lost before the server answered; it may have acted."
            }
            Self::AnswerTruncated => "The server's answer was cut short; it may have acted.",
            Self::AnswerTooLarge => {
                "The server's answer is too large to pass on; it may have acted."
            }
            Self::AnswerMismatch => {
                "The server sent the answer to another request; it may have acted on this one."
            }
            Self::AnswerMalformed => "The server sent no valid answer; it may have acted.",
            Self::AnswerPending => {
                "An earlier request with this idempotency key has no recorded answer; it may have run."
            }
            Self::AnswerNotKept => {
                "An earlier request with this idempotency key ran, but its answer was too large to keep."
            }
            Self::Internal => "The daemon failed while it handled the request; it may have run.",
        }
    }

    /// The refusal for the caller. [`Code::Answered`] is not a refusal and gives
    /// [`Code::Internal`].
    pub fn outcome(self) -> Outcome {
        let refusal = Refusal {
            status: self.status(),
            code: <&str>::from(self).into(),
            reason: self.reason().into(),
        };
        match self.kind() {
            OutcomeKind::NotRun => Outcome::NotRun(refusal),
            OutcomeKind::Unknown => Outcome::Unknown(refusal),
            OutcomeKind::Answered => Self::Internal.outcome(),
        }
    }
}

/// A refusal as recorded for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// The reference that the caller received.
    pub reference: Arc<str>,
    /// Whether the request may have run.
    pub outcome: OutcomeKind,
    /// Reason for the refusal.
    pub code: Code,
    /// The service; `None` if the path names no known one.
    pub service: Option<ServiceName>,
    /// Name of the caller.
    pub caller: Arc<str>,
    /// The key; `None` unless the service is keyed and the request was valid.
    pub key: Option<Arc<str>>,
    /// The last target of an attempt; `None` if there was none.
    pub target: Option<Arc<str>>,
    /// Number of requests sent to targets.
    pub attempts: u32,
    /// Time from arrival to refusal, in milliseconds.
    pub elapsed_ms: u64,
}

/// Ring buffer of this daemon's latest refusals.
#[derive(Clone, Debug, Default)]
pub struct RecentRefusals {
    ring: Arc<Mutex<VecDeque<RefusalRecord>>>,
}

impl RecentRefusals {
    /// Adds `record` and removes the oldest one if there are more than [`RECENT_REFUSALS`].
    pub fn push(&self, record: RefusalRecord) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() >= RECENT_REFUSALS {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// The refusal with `reference`; `None` if it is no longer kept.
    pub fn find(&self, reference: &Reference) -> Option<RefusalRecord> {
        let text = reference.to_string();
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().find(|r| *r.reference == *text).cloned()
    }

    /// The latest refusals, newest first.
    pub fn latest(&self, count: usize) -> Vec<RefusalRecord> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.iter().rev().take(count).cloned().collect()
    }
}
