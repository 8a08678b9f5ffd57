//! The HTTP interface of targets: grants, health and request headers.

use crate::{
    partition::Partition,
    world::{GroupId, Incarnation},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::{Display, EnumString};

/// Path to which a [`GrantRequest`] is posted; the response is a [`GrantReply`].
pub const GRANTS_PATH: &str = "/fireflygauge/grants";
/// Path whose GET response is a [`HealthReport`].
pub const HEALTH_PATH: &str = "/fireflygauge/health";

/// Identifies a request from caller to target; the target repeats it in its response.
pub const REQUEST_ID: &str = "x-request-id";
/// The partition of the request's key.
pub const PARTITION: &str = "x-partition";
/// Ownership epoch under which the daemon sends the request.
pub const OWNERSHIP_EPOCH: &str = "x-ownership-epoch";
/// Time left until the deadline when the daemon sent the request, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Name of the caller, set by the platform's load balancer.
pub const CALLER: &str = "x-caller";
/// Time limit set by the caller, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// The caller's key by which a retry of a non-idempotent request is recognised.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by a target on a response to a request that certainly did not run; see [`NotRunReason`].
pub const NOT_RUN: &str = "x-not-run";
/// Outcome of the request, set by the daemon on every response; see [`crate::routing::outcome`].
pub const OUTCOME: &str = "x-fireflygauge-outcome";
/// Reference for inquiries to the operator, set by the daemon on every response.
pub const REFERENCE: &str = "x-fireflygauge-reference";

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// The target holds no lease for the partition under the ownership epoch.
    NotOwner,
    /// All request slots of the target are in use.
    Shed,
    /// The target is draining.
    Draining,
    /// The target has not finished its start.
    Cold,
    /// The deadline passed before the request started.
    Deadline,
}

/// Grants a target one lease for a set of partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the controller (fencing token). The target refuses an epoch below the highest that it
    /// has seen.
    pub controller_epoch: u64,
    /// Number of the request within the controller epoch. The target refuses one that has not risen.
    pub sequence: u64,
    /// Incarnation of the target; `None` in the first request, which grants nothing.
    pub incarnation: Option<Incarnation>,
    /// Reading of the target's clock from an earlier reply, at which the lease starts.
    pub echo: Option<u64>,
    /// Duration of the lease from `echo`, in milliseconds.
    pub lease_ms: u64,
    /// Identifies the set of partitions.
    pub set_id: u64,
    /// The partitions and their ownership epochs; `None` if the target has already reported `set_id`.
    pub partitions: Option<Vec<(Partition, u64)>>,
}

/// A target's reply to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Whether the target accepted the request.
    pub accepted: bool,
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Reading of the target's clock, to be returned as `echo`.
    pub reading: u64,
    /// The highest controller epoch that the target has seen for the group.
    pub controller_epoch: u64,
    /// The highest sequence number that it has seen under that epoch.
    pub sequence: u64,
    /// Identifies the set of partitions that it holds; `None` if it holds none.
    pub set_id: Option<u64>,
    /// Time left of its lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Partitions no longer in its set that still have requests in flight.
    pub draining: Vec<Partition>,
    /// Whether the target is leaving, so that its partitions should be moved to others.
    pub leaving: bool,
    /// Requests received for each partition since the last accepted grant; empty if this one is
    /// refused.
    #[serde(rename = "heat")]
    pub request_counts: Vec<(Partition, u32)>,
}

/// A target's own health report, which may be outdated or wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Incarnation of the target.
    pub incarnation: Incarnation,
    /// Whether it considers itself able to serve requests.
    pub healthy: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is still warming up.
    pub cold: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Share of request slots in use, from 0.0 to 1.0.
    pub load: f64,
    /// Free text for operators.
    #[serde(default)]
    pub note: Arc<str>,
}
