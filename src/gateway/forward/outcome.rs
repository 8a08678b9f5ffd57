//! The outcome of a request after its attempts.

use crate::gateway::{
    model::RetryPolicy,
    pause,
    reply::RejectionReason,
    send::{Exchange, MayHaveRun, NotRun},
};
use bytes::Bytes;
use http::{Response, StatusCode};

/// Final outcome of a request.
pub(super) enum Outcome {
    Answered(Response<Bytes>),
    Refused(RejectionReason),
}

impl Outcome {
    /// Whether it is a rejection that states that the request did not run.
    fn states_not_run(&self) -> bool {
        match self {
            Self::Answered(_) => false,
            Self::Refused(reason) => reason.status() == StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Outcome after a further attempt. An attempt that did not run the request proves nothing about an
/// earlier one that may have.
pub(super) fn latest(earlier: Option<Outcome>, outcome: Outcome) -> Outcome {
    match earlier {
        Some(earlier) if outcome.states_not_run() && !earlier.states_not_run() => earlier,
        _ => outcome,
    }
}

/// Outcome of the request if `result` is that of its last attempt.
pub(super) fn to_outcome(result: Exchange, retry_policy: RetryPolicy) -> Outcome {
    match result {
        Exchange::Answered(response) => {
            // By contract these statuses state that the request did not run, but the endpoint
            // ran it.
            let not_run_statuses = [
                StatusCode::REQUEST_TIMEOUT,
                StatusCode::MISDIRECTED_REQUEST,
                StatusCode::TOO_MANY_REQUESTS,
                StatusCode::SERVICE_UNAVAILABLE,
            ];
            let is_untrue =
                retry_policy == RetryPolicy::Never && not_run_statuses.contains(&response.status());
            // A caller would take this status with a time to return for a request that did not run.
            if is_untrue || pause::requested_pause(response.status(), response.headers()).is_some()
            {
                Outcome::Refused(RejectionReason::FailedAtEndpoint)
            } else {
                Outcome::Answered(response)
            }
        }
        Exchange::NotRun(NotRun::NotOwner | NotRun::OtherEndpoint) => {
            Outcome::Refused(RejectionReason::NoOwner)
        }
        Exchange::NotRun(_) => Outcome::Refused(RejectionReason::Shed),
        Exchange::MayHaveRun(
            MayHaveRun::ConnectionLost
            | MayHaveRun::Mismatch
            | MayHaveRun::Malformed
            | MayHaveRun::Truncated
            | MayHaveRun::TooLarge
            | MayHaveRun::Endless,
        ) => Outcome::Refused(RejectionReason::Unknown),
    }
}
