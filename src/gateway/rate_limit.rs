//! Limits that endpoints in need name in their responses: the requests per second that a life of an
//! endpoint takes from all daemons together.
//!
//! A limit belongs to a life and ends with it, or with a response that names none. Daemons tell the
//! controller of it, which tells all others. While it is in force, a request is sent only under a
//! permit that the controller has issued for it, so the daemons together keep the limit however
//! demand is spread among them. Daemons that no controller answers send at a low rate of their own.
//!
//! A life that is cold has a limit too, from the declaration of its service. Requests for keys need
//! permits under it; other requests are sent in turns, which each daemon draws for itself.

mod announcement;
mod cold;
pub mod issuer;
mod life;
mod lives;
mod permits;
mod phase;

pub use announcement::{Announcement, announced};
pub use cold::{ColdLimit, ColdRule};
pub use issuer::Before;
pub use life::{ColdTime, RateLimit};
pub use lives::{RateLimits, is_urgent, not_known};
pub use permits::Issuing;

use super::model::EndpointInstance;
use crate::clock::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;
use strum::Display;

/// A number of requests per second; never negative, infinite or not a number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Highest rate that is represented. It is above what any endpoint serves, and keeps
    /// calculations with rates finite.
    pub const MAX: Self = Self(1e9);
    /// Rate at which an endpoint is sent requests whose limit is lower: only a response can show that
    /// the limit has ended.
    pub const PROBE: Self = Self(0.25);

    /// The rate of `per_second`, at most [`Self::MAX`]; `None` if it is negative or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.min(Self::MAX.0)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Requests per second that are sent under this limit.
    pub fn sent_per_second(self) -> f64 {
        self.0.max(Self::PROBE.0)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// How this daemon learned of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Source {
    /// A response of the endpoint.
    Response,
    /// The report of another daemon, or the controller's reply, which passes such reports on.
    Report,
}

/// The limit of a life that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second from all daemons together.
    pub rate: Rate,
    /// How this daemon learned of it.
    pub source: Source,
    /// When the daemon learned of a limit for the first time, after any time without one.
    pub since: Millis,
}

/// What a daemon knows of the limit of a life, as it tells other daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name and start time.
    pub endpoint: EndpointInstance,
    /// Requests per second; `None` if the life names no limit any more.
    pub per_second: Option<f64>,
    /// Time since the response that shows this, when the message was sent.
    pub age: Millis,
}

/// Asks the controller for permits to send requests to an endpoint with a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The life, with its limit as the daemon knows it.
    pub limit: LimitReport,
    /// Number of requests that wait for a permit; zero if the daemon only tells of the limit.
    pub count: u32,
}

/// The controller's reply to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Permits for the daemon, each for one request.
    pub permits: u32,
    /// Time that the controller held the request before it replied.
    pub waited: Millis,
    /// Mean time between two permits for this daemon, as demand is now.
    pub interval: Millis,
}
