//! Limits that endpoints in need name in their responses: the requests per second that a life of an
//! endpoint takes from all daemons together.
//!
//! A limit belongs to a life and ends with it, or with a response that names none.

mod announcement;
mod life;
mod lives;

pub use announcement::{Announcement, announced};
pub use life::RateLimit;
pub use lives::RateLimits;

use crate::clock::Millis;
use std::fmt;
use strum::Display;

/// A number of requests per second; never negative, infinite or not a number.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Highest rate that is represented. It is above what any endpoint serves, and keeps
    /// calculations with rates finite.
    pub const MAX: Self = Self(1e9);

    /// The rate of `per_second`, at most [`Self::MAX`]; `None` if it is negative or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second >= 0.0).then(|| Self(per_second.min(Self::MAX.0)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
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
}

/// The limit of a life that is in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second from all daemons together.
    pub rate: Rate,
    /// How this daemon learned of it.
    pub source: Source,
    /// When the life named a limit for the first time, after any time without one.
    pub since: Millis,
}
