//! The thread that runs one controller for each keyed service and carries out its actions.

use crate::{
    clock::Clock,
    entry::directory::Directory,
    http_client::HttpClient,
    peer::message::{HoldReply, HoldRequest},
    store::StoreClient,
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Link, VmName},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Takes a hold reply into the driver.
pub type HoldReplyFn = Box<dyn FnOnce(HoldReply) + Send>;
/// Sends a hold request to a daemon; calls the function once with the reply, or drops it if there
/// is none. It must not block.
pub type SendHold = Arc<dyn Fn(Link, HoldRequest, HoldReplyFn) + Send + Sync>;
/// Takes the answer of a front daemon, or `None` if there is none.
pub type GrantReplyFn = Box<dyn FnOnce(Option<GrantReply>) + Send>;
/// Sends a grant for a target that does not check grants to its front daemon; calls the function
/// once with the reply. It must not block.
pub type SendGrant = Arc<dyn Fn(Link, VmName, GrantRequest, GrantReplyFn) + Send + Sync>;

/// What the driver works with.
#[derive(Clone)]
pub struct DriverContext {
    /// This run of this daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// The platform's store.
    pub store: StoreClient,
    /// Sends grants to targets that check them.
    pub http: HttpClient,
    /// Source of configuration, VMs and members; receives the tables.
    pub directory: Directory,
    /// Sends hold requests to other daemons.
    pub send_hold: SendHold,
    /// Sends grants to front daemons.
    pub send_grant: SendGrant,
}

/// Starts the driver's thread.
pub fn spawn(context: DriverContext) -> DriverHandle {
    DriverHandle { link: context.link }
}

/// Handle to the driver's thread.
#[derive(Clone)]
pub struct DriverHandle {
    link: Link,
}

/// What the driver reports to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverStatus {
    /// One entry for each group.
    pub groups: Vec<GroupStatus>,
}

/// What the driver reports of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The control group.
    pub group: GroupId,
    /// `holder`, `standby`, `delegate` or `bystander`.
    pub role: Arc<str>,
    /// Controller epoch of the latest row known.
    pub epoch: u64,
    /// Time left of the controller lease, in milliseconds; 0 unless this daemon is the holder.
    pub lease_left_ms: u64,
    /// The standbys.
    pub standbys: Vec<VmName>,
    /// Whether hold mode is in force.
    pub hold: bool,
    /// Partitions that are being moved.
    pub moves: u32,
    /// Targets whose long leases have not been replaced.
    pub outstanding_holds: Vec<VmName>,
}

impl DriverHandle {
    /// Answers the hold request of a controller that names this daemon as a standby.
    pub fn answer_hold(&self, req: HoldRequest) -> HoldReply {
        HoldReply {
            group: req.group,
            controller_epoch: req.controller_epoch,
            standby: self.link.incarnation,
            acknowledged: false,
        }
    }

    /// The groups that this daemon controls.
    pub fn controls(&self) -> Vec<GroupId> {
        Vec::new()
    }

    /// What to show to operators.
    pub fn status(&self) -> DriverStatus {
        DriverStatus::default()
    }

    /// Releases all groups for a planned stop; blocks until that is done or `limit` has passed.
    /// Returns whether all groups were released.
    pub fn release(&self, _limit: Duration) -> bool {
        true
    }
}
