//! Whether a decision takes what it decides on.

use strum::Display;

/// How a decision treats the state that it reads. Requests and explanations run the same code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// For a request: the slot, the permit and the place in the queue are taken.
    Take,
    /// For an explanation: nothing changes.
    Peek,
}

/// Why an endpoint has no slot for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Obstacle {
    /// The endpoint asked for a pause.
    Paused,
    /// The endpoint last reported a long queue.
    LongQueue,
    /// Requests are paced, and the next one is not due.
    Paced,
    /// A limit that the endpoint named, or that of a cold endpoint, allows no request.
    RateLimited,
    /// The daemon's concurrency limit for the endpoint is used up.
    Full,
}

/// Which requests in flight count against the concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counting {
    /// All of them.
    All,
    /// All but those that take much longer than the requests from which the limit was learned.
    WithoutLong,
}
