//! Messages between daemons.

use crate::{
    clock::Millis,
    config::ConfigSnapshot,
    gateway::{
        controller_lease::LeaseRow, load_stats::LoadReport, platform::Listening,
        registry::EndpointChanges, relative_latency::RelativeLatencyUpdate,
    },
    table::{RoutingTable, TableDelta, TableVersion},
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Incarnation, Link, ServiceName, Vm, VmName},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// First byte of every frame. A daemon answers other versions with an error.
pub const PROTOCOL_VERSION: u8 = 2;

/// A request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchanges what either side has newer.
    Sync(SyncRequest),
    /// Asks a standby to acknowledge hold mode.
    Hold(HoldRequest),
    /// Grants a lease to the front daemon of a target that does not check grants.
    Grant {
        /// The target that the front daemon stands for.
        target: VmName,
        /// The grant.
        grant: GrantRequest,
    },
    /// Passes a caller's request to the front daemon of its target.
    Forward(ForwardRequest),
    /// Tells the controller of ranges what a daemon counted.
    Report(DaemonReport),
    /// Asks whether something listens at an endpoint's address.
    Probe(SocketAddr),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers [`PeerRequest::Sync`].
    Sync(SyncReply),
    /// Answers [`PeerRequest::Hold`].
    Hold(HoldReply),
    /// Answers [`PeerRequest::Grant`].
    Grant(GrantReply),
    /// Answers [`PeerRequest::Forward`].
    Forward(ForwardReply),
    /// Answers [`PeerRequest::Report`].
    Report(ReportReply),
    /// Answers [`PeerRequest::Probe`].
    Probe(Listening),
    /// The request could not be understood or served.
    Error(Arc<str>),
}

/// What a daemon tells the controller of ranges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// The daemon.
    pub name: VmName,
    /// Its run.
    pub run: Incarnation,
    /// Its address for other daemons.
    pub peer_addr: SocketAddr,
    /// Versions of the owners that it knows.
    pub owners: Vec<(ServiceName, u64)>,
    /// Version of the store up to which it knows the endpoints; 0 if it does not.
    pub endpoints: u64,
    /// Epoch and version of the relative latencies that it has.
    pub relative_latencies: (u64, u64),
    /// What it measured since its last report.
    pub load: LoadReport,
}

/// What the controller of ranges tells a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportReply {
    /// Version of the controller lease, and its row; `None` if the daemon does not hold it.
    pub lease: Option<(u64, LeaseRow)>,
    /// Daemons that report at present.
    pub daemons: u32,
    /// Owners in newer versions than the daemon knows, as in the store.
    pub owners: Vec<OwnersNews>,
    /// Endpoints that changed; `None` if the controller does not know them.
    pub endpoints: Option<EndpointsNews>,
    /// Version of the newest declarations that the controller knows; 0 for none.
    pub declarations: u64,
    /// Relative latencies of endpoints that changed.
    pub relative_latencies: RelativeLatencyUpdate,
}

/// Changes of endpoints that the daemon does not know, and how fresh they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointsNews {
    /// The changes.
    pub changes: EndpointChanges,
    /// Age of the knowledge when the answer was sent: earlier changes are all included.
    pub age: Millis,
    /// Time for which the report was held before the answer was sent.
    pub held: Millis,
    /// Whether the controller expects entries back that vanished when the store failed.
    pub has_doubts: bool,
}

/// The owners of a service's keys, or what changed in them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnersNews {
    /// The service.
    pub service: ServiceName,
    /// Version of the row.
    pub version: u64,
    /// The version from which `row` is a change; `None` if it is the row's whole content.
    pub base: Option<u64>,
    /// Content of the row, or an [`OwnersChange`](crate::gateway::owners::OwnersChange) of it.
    pub row: Vec<u8>,
}

/// What a daemon tells of itself; its heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon and its run.
    pub link: Link,
    /// Rises with every report of a run.
    pub sequence: u64,
    /// The configuration version in force there; 0 for none.
    pub config_version: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The groups that it controls.
    pub controls: Vec<GroupId>,
    /// Time since the daemon itself was heard, in milliseconds; 0 in its own report.
    pub age_ms: u64,
}

/// Identifies a reading of the platform's VM list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmsStamp {
    /// Hash of the list; 0 for none.
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

/// Something that daemons distribute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// A configuration.
    Config(ConfigSnapshot),
    /// A whole routing table.
    Table(RoutingTable),
    /// A change of a routing table.
    TableDelta(TableDelta),
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// A change of the platform's list of VMs.
    VmsDelta(VmsDelta),
}

/// Offers and asks for newer items.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender.
    pub sender: MemberReport,
    /// The revision of the receiver's member list that the sender has seen; 0 asks for all.
    pub members_seen: u64,
    /// The sender's configuration version; 0 for none.
    pub config_version: u64,
    /// The sender's table versions.
    pub tables: Vec<(GroupId, TableVersion)>,
    /// The sender's VM list.
    pub vms: VmsStamp,
    /// Items that the receiver was missing at its last reply.
    pub offers: Vec<Item>,
    /// How long the receiver may wait for news, in milliseconds.
    pub wait_ms: u64,
}

/// What the receiver of a [`SyncRequest`] has newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The receiver.
    pub sender: MemberReport,
    /// Members whose state changed since the revision that the sender has seen.
    pub members: Vec<MemberReport>,
    /// The revision of the receiver's member list.
    pub members_revision: u64,
    /// Newer items.
    pub items: Vec<Item>,
    /// The receiver's configuration version, so that the asking side can offer a newer one.
    pub config_version: u64,
    /// The receiver's table versions, for the same purpose.
    pub tables: Vec<(GroupId, TableVersion)>,
    /// The receiver's VM list, for the same purpose.
    pub vms: VmsStamp,
}

/// Announces hold mode to a standby.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the controller that asks.
    pub controller_epoch: u64,
    /// The run of the standby that is asked.
    pub standby: Incarnation,
}

/// A standby's answer to a [`HoldRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldReply {
    /// The control group.
    pub group: GroupId,
    /// Epoch of the controller that asked.
    pub controller_epoch: u64,
    /// The run that answers.
    pub standby: Incarnation,
    /// Whether it will regard holds as granted under this epoch.
    pub acknowledged: bool,
}

/// A caller's request on its way to the front daemon of its target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The target.
    pub target: VmName,
    /// Method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Headers, the daemon's own included.
    pub headers: Vec<(Arc<str>, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
    /// Time left, in milliseconds.
    pub time_left_ms: u64,
    /// Ownership epoch under which it is sent.
    pub ownership_epoch: u64,
}

/// What became of a [`ForwardRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ForwardReply {
    /// The target's own complete answer.
    Answered {
        /// Status code.
        status: u16,
        /// Headers.
        headers: Vec<(Arc<str>, Vec<u8>)>,
        /// Body.
        body: Vec<u8>,
    },
    /// It is proved that it did not run.
    NotRun(Arc<str>),
    /// It may have run.
    Unknown(Arc<str>),
}
