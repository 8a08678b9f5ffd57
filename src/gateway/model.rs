//! What the store tells a daemon: routes, services and endpoints.

use crate::{
    clock::Millis,
    collections::Map,
    world::{ServiceName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// A key of a service whose endpoints own keys.
pub type Key = u16;

/// Keys from `first` to `last`, both included.
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

    /// Whether `key` lies in this range.
    pub fn contains(self, key: Key) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges share a key.
    pub fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// A range holds at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}

/// One run of an endpoint. A restart under the same name is another run, which owns nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointInstance {
    /// Name that the endpoint registered under.
    pub name: Arc<str>,
    /// Wall-clock start of the run, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// An endpoint as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint and its run.
    pub instance: EndpointInstance,
    /// The service that it works for.
    pub service: ServiceName,
    /// Address that serves requests, grants and releases.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time for which it remains slow after its start.
    pub remaining_warmup: Millis,
}

/// What a route allows to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent.
    Allowed,
    /// The request may run once at most.
    Never,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: f64,
}

/// A declared route: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeats: RetryPolicy,
    /// Longest time that a request is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer is worth its full credit.
    pub objective: Millis,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Endpoints that one request may be sent to at most.
    pub max_attempts: u32,
    /// The services, with their weights.
    pub shares: Vec<Share>,
}

/// A declared service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Whether its endpoints own keys.
    pub keyed: bool,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub max_header_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time to receive a head.
    pub header_timeout: Millis,
    /// Time for which a connection may stay idle.
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
    /// Version; rises with every change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: Map<ServiceName, Service>,
    /// What callers may send.
    pub limits: CallerLimits,
}
