//! Data model of the store's content: routes, services and endpoints.

use super::rate_limit::Rate;
use crate::{
    clock::Millis,
    collections::Map,
    world::{ServiceName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// A key of a service whose endpoints own keys.
pub type Key = u16;

/// Inclusive range of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// Lowest key.
    pub first: Key,
    /// Highest key; never below `first`.
    pub last: Key,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: Key::MAX,
    };

    /// Whether the range contains `key`.
    pub fn contains(self, key: Key) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges have a key in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// The keys before and after `other`.
    pub fn without(self, other: Self) -> impl Iterator<Item = Self> {
        let before = (self.first < other.first).then(|| Self {
            first: self.first,
            last: self.last.min(other.first - 1),
        });
        let after = (other.last < self.last).then(|| Self {
            first: self.first.max(other.last + 1),
            last: self.last,
        });
        before.into_iter().chain(after)
    }

    /// Number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Always false, as a range contains at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}

/// A process instance of an endpoint. A restart under the same name is a new instance, which owns
/// no keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointInstance {
    /// Name under which the endpoint is registered.
    pub name: Arc<str>,
    /// Wall-clock start time of the instance, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// The entry under which an endpoint registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Name and start time of the endpoint.
    pub instance: EndpointInstance,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Address for requests, grants and releases.
    pub addr: SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ZoneName,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is about to shut down.
    pub draining: bool,
    /// Rest of the warm-up at the time of registration, during which the endpoint is slow.
    pub remaining_warmup: Millis,
    /// Rises with each write of this life's entry; 0 if the platform does not tell.
    pub sequence: u64,
}

/// Whether requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Requests are idempotent.
    Allowed,
    /// A request must run at most once.
    Never,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// A declared route: which requests go to which services, with time limits and retry policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host of the matching requests.
    pub host: Arc<str>,
    /// Path prefix of the matching requests; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Longest time until a caller gets a response.
    pub timeout: Millis,
    /// Latency objective: a response within this time gets full credit.
    pub latency_objective: Millis,
    /// Priority of queued requests; 0 is the most urgent.
    pub priority: u32,
    /// Most sends of one request that may have run, retries included.
    pub max_attempts: u32,
    /// Services that the requests are split between.
    pub shares: Vec<Share>,
}

/// A declared service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Whether its endpoints own keys.
    pub keyed: bool,
    /// Connections that one endpoint accepts from all daemons together.
    pub max_connections: u32,
    /// Requests that an endpoint tolerates while it warms up; `None` if that is not limited.
    pub warmup_rate: Option<Rate>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time to receive a request head.
    pub header_timeout: Millis,
    /// Longest idle time of a connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A declared configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Increases with every change; 0 for none.
    pub version: u64,
    /// Declared routes.
    pub routes: Vec<Route>,
    /// Declared services by name.
    pub services: Map<ServiceName, Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
}
