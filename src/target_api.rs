//! The HTTP interface of targets: grants, health and request headers.

use crate::{
    partition::Partition,
    world::{GroupId, Incarnation},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use strum::{Display, EnumString};

/// Path that takes a [`GrantRequest`] by POST and answers with a [`GrantReply`].
pub const GRANTS_PATH: &str = "/fireflygauge/grants";
/// Path that answers GET with a [`HealthReport`].
pub const HEALTH_PATH: &str = "/fireflygauge/health";

/// Identifies a request from caller to target; the target echoes it in its answer.
pub const REQUEST_ID: &str = "x-request-id";
/// The partition of the request's key.
pub const PARTITION: &str = "x-partition";
/// The ownership epoch under which the daemon sends the request.
pub const OWNERSHIP_EPOCH: &str = "x-ownership-epoch";
/// Time left for the request when it was sent, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// The caller, as given by the platform's balancer.
pub const CALLER: &str = "x-caller";
/// The caller's deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "x-timeout-ms";
/// The caller's key for recognising a repeated non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Set by a target on an answer that proves that the request did not run; see [`NotRunReason`].
pub const NOT_RUN: &str = "x-not-run";
/// Set by the daemon on every answer; see [`crate::routing::outcome`].
pub const OUTCOME: &str = "x-fireflygauge-outcome";
/// Set by the daemon on every answer: the reference to quote to the operator.
pub const REFERENCE: &str = "x-fireflygauge-reference";

/// Why a target did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum NotRunReason {
    /// It holds no lease for the partition under the ownership epoch.
    NotOwner,
    /// All slots are taken.
    Shed,
    /// It is leaving.
    Draining,
    /// It has not finished its start.
    Cold,
    /// The deadline passed before the request started.
    Deadline,
}

/// Grants one lease for a set of partitions to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the controller; lower ones than the highest seen are refused.
    pub controller_epoch: u64,
    /// Number of the request within the controller epoch; must rise.
    pub sequence: u64,
    /// The run of the target that is meant; `None` in a first contact, which grants nothing.
    pub incarnation: Option<Incarnation>,
    /// The reading of the target's clock that the lease counts from, out of an earlier reply.
    pub echo: Option<u64>,
    /// Length of the lease from `echo`, in milliseconds.
    pub lease_ms: u64,
    /// Identifies the set of partitions.
    pub set_id: u64,
    /// The set, or `None` if the target has already reported `set_id`.
    pub partitions: Option<Vec<(Partition, u64)>>,
}

/// A target's answer to a [`GrantRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Whether the request was accepted.
    pub accepted: bool,
    /// The run of the target.
    pub incarnation: Incarnation,
    /// Reading of the target's clock, to be echoed.
    pub reading: u64,
    /// The highest controller epoch that the target has seen for the group.
    pub controller_epoch: u64,
    /// The highest sequence number that it has seen under that epoch.
    pub sequence: u64,
    /// The set that it holds, if any.
    pub set_id: Option<u64>,
    /// Time left of its lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Partitions no longer in its set whose requests have not all ended.
    pub draining: Vec<Partition>,
    /// Whether the target wants to be emptied.
    pub leaving: bool,
    /// Requests received for each partition since the last reply that this one follows.
    #[serde(rename = "heat")]
    pub request_counts: Vec<(Partition, u32)>,
}

/// A target's view of itself. It may lag or mislead.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The run of the target.
    pub incarnation: Incarnation,
    /// Whether it considers itself fit to serve.
    pub healthy: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is still warming up.
    pub cold: bool,
    /// Requests running.
    pub in_flight: u32,
    /// Slots taken, from 0.0 to 1.0.
    pub load: f64,
    /// Free text for operators.
    #[serde(default)]
    pub note: Arc<str>,
}
