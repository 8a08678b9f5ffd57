//! The report of an explanation. The operator's tool reads it.

use crate::{
    gateway::model::{Key, KeyRange},
    world::{ServiceName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Where a request would go now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// What becomes of the request.
    pub outcome: RequestOutcome,
    /// The configuration and the other data that the daemon decides from.
    pub data: DataAges,
    /// Number of daemons that share the endpoints.
    pub daemons: usize,
    /// The route; `None` if none matches.
    pub route: Option<MatchedRoute>,
    /// The service that the request goes to, if its route's split names one.
    pub service: Option<ServiceName>,
    /// Key of the request, if its service has keys.
    pub key: Option<Key>,
    /// Time limit of the request, in milliseconds.
    pub time_limit_ms: u64,
    /// What the request is expected to cost.
    pub cost: Option<Cost>,
    /// The range that contains the key, and its owner.
    pub owner: Option<OwnedKey>,
    /// Requests that are queued ahead.
    pub queue: Option<Queue>,
    /// The owner, or the endpoints of the service, the most probable ones first.
    pub endpoints: Vec<EndpointState>,
    /// Endpoints that are not listed, by what excludes them (`candidate` for nothing).
    pub endpoints_omitted: BTreeMap<Arc<str>, usize>,
}

/// What becomes of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// It is sent at once.
    Send {
        /// The endpoint; the most probable one if several are possible.
        endpoint: Arc<str>,
    },
    /// It is queued.
    Queue {
        /// Reason of the rejection if the wait is in vain.
        reason: Arc<str>,
        /// Longest time in the queue, in milliseconds.
        at_most_ms: u64,
    },
    /// It is rejected.
    Reject {
        /// The reason.
        reason: Arc<str>,
        /// Status of the response.
        status: u16,
        /// Earliest and latest `Retry-After`, in milliseconds; `None` without the header.
        retry_after_ms: Option<[u64; 2]>,
    },
}

/// Ages of what a daemon decides from, in milliseconds; `None` if they are unknown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataAges {
    /// Version of the configuration; 0 if there is none.
    pub config_version: u64,
    /// Time since it is in force on this daemon.
    pub config_in_force_ms: Option<u64>,
    /// Age of the declarations: later ones may be unknown.
    pub declarations_ms: Option<u64>,
    /// Age of what is known of the endpoints.
    pub endpoints_ms: Option<u64>,
    /// Time since the controller's last reply, with which owners come; `None` on the controller.
    pub controller_reply_ms: Option<u64>,
    /// Whether the daemon would not learn that a key has moved.
    pub is_cut_off: bool,
}

/// A route that matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MatchedRoute {
    /// Name.
    pub name: Arc<str>,
    /// Host.
    pub host: Arc<str>,
    /// Path prefix.
    pub prefix: Arc<str>,
    /// Time-out, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub latency_objective_ms: u64,
    /// Priority of queued requests; 0 is the most urgent.
    pub priority: u32,
    /// The split.
    pub shares: Vec<SplitShare>,
}

/// A share of a route's split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SplitShare {
    /// The service.
    pub service: ServiceName,
    /// Part of the requests, from 0 to 1.
    pub part: f64,
    /// Whether the next request goes there.
    pub is_next: bool,
}

/// What a request is expected to cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Expected work, in milliseconds.
    pub mean_ms: f64,
    /// Work by which the endpoint is chosen, in milliseconds.
    pub choice_ms: f64,
    /// Work that nearly all requests of the class exceed, in milliseconds; 0 if unknown.
    pub least_ms: f64,
    /// Decayed number of samples of the class, or of its route if there are none.
    pub samples: f64,
    /// Time since the last sample, in milliseconds; `None` without samples.
    pub age_ms: Option<u64>,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedKey {
    /// The range that contains the key.
    pub range: KeyRange,
    /// Token of the assignment.
    pub token: u64,
    /// Name of the owner.
    pub endpoint: Arc<str>,
    /// Start time by the owner's clock, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Whether this life has a registry entry.
    pub registered: bool,
    /// Time for which requests for the key are held back, because the owner denied owning it, in
    /// milliseconds.
    pub held_back_ms: Option<u64>,
}

/// Queued requests ahead of the explained one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Number of requests.
    pub ahead: usize,
    /// Their expected work, as a multiple of the mean.
    pub work_ahead: f64,
    /// Estimated time in the queue, in milliseconds; `None` if no endpoint serves it.
    pub wait_ms: Option<f64>,
}

/// An endpoint, as far as the decision is concerned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointState {
    /// Name.
    pub endpoint: Arc<str>,
    /// Start time by its own clock, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether it is the daemon's zone.
    pub is_local: bool,
    /// Why it is not considered; `None` if it is a candidate.
    pub excluded: Option<Arc<str>>,
    /// Why it has no slot for the request; `None` if it has.
    pub obstacle: Option<Arc<str>>,
    /// Probability that a request without a key goes there.
    pub probability: f64,
    /// Estimated time until the request would end, in milliseconds.
    pub estimated_end_ms: f64,
    /// The same with the weights of zone and warm-up, by which the endpoint is chosen.
    pub weighted_end_ms: f64,
    /// Requests of this daemon in flight.
    pub in_flight: u32,
    /// Most requests of this daemon in flight.
    pub limit: f64,
    /// Latency as a multiple of the service's mean.
    pub relative_latency: f64,
    /// Recent share of failures.
    pub failure_rate: f64,
    /// The last load report.
    pub load: Option<LoadReport>,
    /// Slowdown of the machine: a factor, and its age in milliseconds.
    pub slowdown: Option<(f64, u64)>,
    /// What restricts requests, with its age and the time left.
    pub restrictions: Vec<EndpointRestriction>,
    /// Time since the daemon first saw the endpoint, in milliseconds.
    pub age_ms: u64,
}

/// A load report of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Age, in milliseconds.
    pub age_ms: u64,
}

/// Something that restricts requests to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRestriction {
    /// What it is.
    pub kind: Arc<str>,
    /// Where the daemon learned of it.
    pub source: Arc<str>,
    /// Time since it is known, in milliseconds; `None` if that is not kept.
    pub age_ms: Option<u64>,
    /// Time left, in milliseconds; `None` if it has no known end.
    pub left_ms: Option<u64>,
    /// Time between two requests of this daemon, in milliseconds, if it limits them.
    pub interval_ms: Option<u64>,
}
