//! Messages between daemons. Their bincode encoding depends on the order of fields and variants.

use crate::{
    clock::Millis,
    config::ConfigSnapshot,
    gateway::{
        controller_lease::LeaseRow,
        endpoint_set::FleetPosition,
        evacuation::EvacuationsUpdate,
        fleet_digest::FleetDigest,
        leaving::LeavingLife,
        load_stats::LoadReport,
        pause::PauseReport,
        rate_limit::{LimitReport, PermitReply, PermitRequest},
        registry::EndpointChanges,
        relative_latency::RelativeLatencyUpdate,
    },
    table::{RoutingTable, TableDelta, TableVersion},
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Incarnation, Link, ServiceName, Vm, VmName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges member reports and items of which one side has a newer version.
    Sync(SyncRequest),
    /// Asks a standby to acknowledge hold mode.
    Hold(HoldRequest),
    /// Grants a lease to the front daemon of a target that does not check grants.
    Grant {
        /// The target for which the front daemon holds the lease.
        target: VmName,
        /// The grant.
        grant: GrantRequest,
    },
    /// Forwards a caller's request to the front daemon of its target.
    Forward(ForwardRequest),
    /// Reports a daemon's load counts and versions to the range controller.
    Report(DaemonReport),
    /// Asks the range controller for permits to send requests to an endpoint with a limit.
    Permits(VmName, PermitRequest),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Sync`].
    Sync(SyncReply),
    /// Reply to [`PeerRequest::Hold`].
    Hold(HoldReply),
    /// Reply to [`PeerRequest::Grant`].
    Grant(GrantReply),
    /// Reply to [`PeerRequest::Forward`].
    Forward(ForwardReply),
    /// Reply to [`PeerRequest::Report`].
    Report(ReportReply),
    /// Reply to [`PeerRequest::Permits`].
    Permits(PermitReply),
    /// The request could not be understood or served.
    Error(Arc<str>),
}

/// A daemon's report to the range controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// The daemon.
    pub name: VmName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of the owners that it has, for each service.
    pub owners: Vec<(ServiceName, u64)>,
    /// Store version up to which it has the endpoints; 0 if it has none.
    pub endpoints: u64,
    /// Epoch and version of the relative latencies that it has.
    pub relative_latencies: (u64, u64),
    /// Processor time that it could use as the controller, in cores; 0 if it cannot take the
    /// controller lease over now.
    pub controller_cores: f32,
    /// What it measured since its last report.
    pub load: LoadReport,
    /// Lives of registered endpoints that have said in a response that they leave.
    pub leaving: Vec<LeavingLife>,
    /// Pauses that endpoints requested from it and that have not ended.
    pub pauses: Vec<PauseReport>,
    /// Limits that it knows, and those that have ended lately.
    pub limits: Vec<LimitReport>,
    /// Version of the row of the controller lease that it has seen last.
    pub lease_version: u64,
    /// The latest token of the owners that it has, for each service.
    pub owner_tokens: Vec<(ServiceName, u64)>,
    /// The era since which it has known the controllers and owners; `None` if it knows none.
    pub known_since: Option<u64>,
    /// The daemons that could send commands as it was told last, and the time since then.
    pub fleet: Option<(FleetDigest, Millis)>,
}

/// The range controller's reply to a [`DaemonReport`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Version and content of the controller lease's row; `None` if the replying daemon neither
    /// holds the lease nor was the one to release it.
    pub lease: Option<(u64, LeaseRow)>,
    /// Time that the controller held the report open before it replied (long poll).
    pub waited: Millis,
    /// Number of daemons that currently report.
    pub daemons: u32,
    /// All daemons that may send commands; `None` if the replying daemon does not know.
    pub fleet: Option<FleetDigest>,
    /// Position of the reporting daemon among those of its zone; `None` if the controller may not know
    /// all daemons yet.
    pub position: Option<FleetPosition>,
    /// Owners that are newer than those of the reporting daemon, as they are in the store.
    pub owners: Vec<OwnersUpdate>,
    /// Endpoint changes; `None` if the controller has no endpoint data.
    pub endpoints: Option<EndpointsUpdate>,
    /// Version of the newest declarations that the controller has; 0 for none.
    pub declarations: u64,
    /// Relative latencies of endpoints that changed.
    pub relative_latencies: RelativeLatencyUpdate,
    /// Lives of registered endpoints that have said to some daemon that they leave, without those in
    /// the report, with their ages when the reply was sent. Empty if the replying daemon is not the
    /// controller.
    pub leaving: Vec<LeavingLife>,
    /// Limits of endpoints that differ from those in the report. Empty if the replying daemon is not
    /// the controller.
    pub limits: Vec<LimitReport>,
    /// The evacuated zones that the replying daemon knows.
    pub evacuations: EvacuationsUpdate,
}

/// Endpoint changes that the reporting daemon lacks, and how old the information is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsUpdate {
    /// The changes since the reported version, or all endpoints.
    pub changes: EndpointChanges,
    /// Age of the endpoint data when the reply was sent; all earlier changes are included.
    pub age: Millis,
    /// Whether the controller defers the removal of entries that disappeared when the store failed,
    /// because it expects them to return.
    pub has_deferred_removals: bool,
}

/// The owners of a service's keys, or a change of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersUpdate {
    /// The service.
    pub service: ServiceName,
    /// Version of the row.
    pub version: u64,
    /// Version that `row` is a change of; `None` if `row` is the whole content.
    pub base: Option<u64>,
    /// Content of the row, or an [`OwnersChange`](crate::gateway::owners::OwnersChange) of it.
    pub row: Vec<u8>,
}

/// A daemon's heartbeat: its report of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon and its incarnation.
    pub link: Link,
    /// Rises with every report of an incarnation.
    pub sequence: u64,
    /// The configuration version in force at the daemon; 0 for none.
    pub config_version: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The groups that it controls.
    pub controls: Vec<GroupId>,
    /// Time since the daemon was last known to be alive, in milliseconds; 0 in its own report.
    pub age_ms: u64,
}

/// Identifies a reading of the platform's VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmsStamp {
    /// Hash of the list; 0 if there is no list.
    pub hash: u64,
    /// Time since the platform was asked, in milliseconds.
    pub age_ms: u64,
}

/// A change of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmsDelta {
    /// Hash of the list that it applies to.
    pub from: u64,
    /// Hash of the list that it results in.
    pub to: u64,
    /// New and changed VMs.
    pub changed: Vec<Vm>,
    /// VMs that are no longer listed.
    pub removed: Vec<VmName>,
}

/// A versioned item that daemons distribute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A configuration.
    Config(ConfigSnapshot),
    /// A complete routing table.
    Table(RoutingTable),
    /// A change of a routing table.
    TableDelta(TableDelta),
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// A change of the platform's list of VMs.
    VmsDelta(VmsDelta),
}

/// Offers newer items to the receiver and requests its newer ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender's own report.
    pub sender: MemberReport,
    /// The revision of the receiver's member list that the sender has seen; 0 requests all members.
    pub members_seen: u64,
    /// The sender's configuration version; 0 for none.
    pub config_version: u64,
    /// The sender's table versions.
    pub tables: Vec<(GroupId, TableVersion)>,
    /// Hash and age of the sender's VM list.
    pub vms: VmsStamp,
    /// Items that are newer than the receiver's versions in its last reply.
    pub offers: Vec<Item>,
    /// How long the receiver may hold the request while it has nothing to send, in milliseconds.
    pub wait_ms: u64,
}

/// Reply to a [`SyncRequest`], with what the receiver has in a newer version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The own report of the receiver, which sends this reply.
    pub sender: MemberReport,
    /// Members that changed after the revision in the request.
    pub members: Vec<MemberReport>,
    /// The revision of the receiver's member list.
    pub members_revision: u64,
    /// Newer items.
    pub items: Vec<Item>,
    /// The receiver's configuration version, so that the requester can offer a newer one.
    pub config_version: u64,
    /// The receiver's table versions, for the same purpose.
    pub tables: Vec<(GroupId, TableVersion)>,
    /// Hash and age of the receiver's VM list, for the same purpose.
    pub vms: VmsStamp,
}

/// A controller's request that a standby acknowledge hold mode.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the requesting controller.
    pub controller_epoch: u64,
    /// Incarnation of the standby.
    pub standby: Incarnation,
}

/// A standby's reply to a [`HoldRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldReply {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the requesting controller.
    pub controller_epoch: u64,
    /// Incarnation that replies.
    pub standby: Incarnation,
    /// Whether it will regard holds as granted under this epoch.
    pub acknowledged: bool,
}

/// A caller's request on its way to the front daemon of its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The target.
    pub target: VmName,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query of the URI.
    pub path: Arc<str>,
    /// Headers, including those that the daemon added.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Ownership epoch under which the request is sent.
    pub ownership_epoch: u64,
}

/// Outcome of a [`ForwardRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The target's own complete response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Headers.
        headers: Vec<(Arc<str>, Vec<u8>)>,
        /// Body.
        body: Vec<u8>,
    },
    /// The request certainly did not run; the text is the reason.
    NotRun(Arc<str>),
    /// The request may have run; the text is the reason.
    Unknown(Arc<str>),
}
