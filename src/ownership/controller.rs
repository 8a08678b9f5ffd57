//! The controller of one control group: a state machine without I/O that maps events to actions.
//!
//! Every daemon runs one for each group. It observes the controller row until it may take over.
//! While it holds the lease on the row, it grants leases to targets and moves partitions.
//!
//! Every transaction replaces the controller row on the condition that its version is unchanged.
//! This renews the controller lease and serializes the writes of a group. The operation id in the
//! row therefore suffices to resolve a write whose outcome is unknown.

mod fronting;
mod granting;
mod holding;
mod moving;
mod observing;
mod writing;

use super::{
    cluster_view::ClusterView,
    controller_lease::ObserverRole,
    row::{ControllerRow, controller_row_name},
    timing::GONE_AFTER,
};
use crate::{
    clock::Millis,
    collections::Map,
    peer::message::{HoldReply, HoldRequest},
    store::{CommitOutcome, Row, StoreError, Transaction},
    table::RoutingTable,
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Link, VmName},
};
use holding::Holding;
use observing::Observing;
use std::{net::SocketAddr, sync::Arc};

/// Input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The cluster or the configuration has changed.
    ClusterChanged(ClusterView),
    /// Answer to [`Action::ReadRow`].
    RowRead(Result<Option<Row>, StoreError>),
    /// Answer to [`Action::ReadAssignments`].
    AssignmentsRead(Result<Vec<Row>, StoreError>),
    /// Answer to [`Action::Commit`].
    CommitCompleted {
        /// Operation id of the commit.
        operation: Arc<str>,
        /// Outcome of the commit.
        outcome: CommitOutcome,
    },
    /// Answer to [`Action::Grant`] or [`Action::GrantFront`].
    GrantCompleted {
        /// The target.
        target: VmName,
        /// Controller epoch of the request.
        epoch: u64,
        /// Sequence number of the request.
        sequence: u64,
        /// The reply of the target or its front daemon; `None` if it did not arrive in time.
        reply: Option<GrantReply>,
    },
    /// Answer to [`Action::RequestHold`].
    HoldReplied(HoldReply),
    /// Periodic timer tick.
    Tick,
}

/// Output of the controller, carried out by the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the controller row within [`READ_TIMEOUT`](super::timing::READ_TIMEOUT).
    ReadRow,
    /// Read all assignment rows.
    ReadAssignments,
    /// Commit a transaction.
    Commit {
        /// Its operation id.
        operation: Arc<str>,
        /// The transaction.
        transaction: Transaction,
    },
    /// Send a grant.
    Grant {
        /// The target.
        target: VmName,
        /// Its address.
        addr: SocketAddr,
        /// The request.
        request: GrantRequest,
    },
    /// Send a grant for a target that does not check grants to its front daemon.
    GrantFront {
        /// The front daemon.
        front: Link,
        /// The target.
        target: VmName,
        /// The request.
        request: GrantRequest,
    },
    /// Ask a standby to acknowledge hold mode.
    RequestHold {
        /// The standby.
        to: Link,
        /// The request.
        request: HoldRequest,
    },
    /// Publish a routing table.
    Publish(RoutingTable),
    /// Write a log line.
    Log(log::Level, String),
}

/// What a controller reports to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// `holder`, `standby`, `delegate` or `bystander`.
    pub role: &'static str,
    /// Epoch of the latest row seen; 0 if there is none.
    pub epoch: u64,
    /// Remaining controller lease; 0 unless this daemon is the holder.
    pub lease_left: Millis,
    /// The standbys.
    pub standbys: Vec<VmName>,
    /// Whether this daemon is the holder and in hold mode.
    pub hold: bool,
    /// Number of partitions being moved.
    pub moves: usize,
    /// Targets that may hold a lease granted in hold mode.
    pub outstanding: Vec<VmName>,
}

/// The controller of one control group, in one daemon.
#[derive(Debug)]
pub struct Controller {
    context: Context,
    role: Role,
}

#[derive(Debug)]
enum Role {
    Observing(Box<Observing>),
    Holding(Box<Holding>),
}

/// State that both roles use.
#[derive(Debug)]
struct Context {
    me: Link,
    group: GroupId,
    row_name: Arc<str>,
    partitions: u32,
    cluster: ClusterView,
    /// Every target that the platform has ever listed, with the time since which it has been
    /// missing from the list; `None` while it is listed.
    missing_since: Map<VmName, Option<Millis>>,
    /// Highest epoch under which this daemon has acknowledged a hold.
    acknowledged_epoch: u64,
    operation_count: u64,
    stopping: bool,
    now: Millis,
    actions: Vec<Action>,
}

impl Context {
    fn log(&mut self, level: log::Level, text: std::fmt::Arguments<'_>) {
        let line = format!("{text} group={}", self.group);
        self.actions.push(Action::Log(level, line));
    }

    fn info(&mut self, text: std::fmt::Arguments<'_>) {
        self.log(log::Level::Info, text);
    }

    fn next_operation(&mut self) -> Arc<str> {
        self.operation_count += 1;
        format!("{:016x}-{}", self.me.incarnation.0, self.operation_count).into()
    }

    /// Whether a target that the platform once listed has been missing for [`GONE_AFTER`].
    fn is_gone(&self, target: &VmName) -> bool {
        let missing = self.missing_since.get(target).copied().flatten();
        missing.is_some_and(|since| self.now >= since + GONE_AFTER)
    }

    fn update_cluster(&mut self, cluster: ClusterView) {
        for name in cluster.targets.keys() {
            self.missing_since.insert(name.clone(), None);
        }
        for (name, missing) in &mut self.missing_since {
            if !cluster.targets.contains_key(name) {
                missing.get_or_insert(self.now);
            }
        }
        self.cluster = cluster;
    }

    /// Whether the daemon is alive and not stopping.
    fn is_live(&self, link: &Link) -> bool {
        self.cluster.members.contains(link) || (*link == self.me && !self.stopping)
    }

    fn observer_role(&self, row: Option<&ControllerRow>) -> ObserverRole {
        let rank = row.and_then(|row| row.standbys.iter().position(|s| *s == self.me));
        match rank {
            Some(rank) => ObserverRole::Standby(rank),
            None if self.cluster.delegates(&self.me).contains(&&self.me) => ObserverRole::Delegate,
            None => ObserverRole::Bystander,
        }
    }
}

impl Controller {
    /// Creates the controller of `group`, which has `partitions` partitions, in the daemon `me`.
    pub fn new(me: Link, group: GroupId, partitions: u32) -> Self {
        let row_name = controller_row_name(&group).into();
        Self {
            context: Context {
                me,
                group,
                row_name,
                partitions,
                cluster: ClusterView::default(),
                missing_since: Map::default(),
                acknowledged_epoch: 0,
                operation_count: 0,
                stopping: false,
                now: Millis::ZERO,
                actions: Vec::new(),
            },
            role: Role::Observing(Box::default()),
        }
    }

    /// Handles an event at time `now` and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        self.context.now = now;
        match event {
            Event::ClusterChanged(cluster) => {
                self.context.update_cluster(cluster);
            }
            event => self.dispatch(event),
        }
        self.advance();
        std::mem::take(&mut self.context.actions)
    }

    /// Answers a hold request of a controller. It is acknowledged only if it is meant for this
    /// incarnation of the daemon, the daemon's own latest read of the controller row failed, no
    /// takeover of its own is under way, and it has seen no higher epoch.
    pub fn answer_hold(&mut self, request: &HoldRequest) -> HoldReply {
        let context = &mut self.context;
        let epoch = request.controller_epoch;
        let acknowledged = match &mut self.role {
            Role::Observing(observing) if request.standby == context.me.incarnation => {
                let acknowledged = observing.may_acknowledge(epoch);
                if !acknowledged {
                    observing.request_read();
                }
                acknowledged
            }
            _ => false,
        };
        if acknowledged {
            context.acknowledged_epoch = context.acknowledged_epoch.max(epoch);
        }
        HoldReply {
            group: request.group.clone(),
            controller_epoch: epoch,
            standby: context.me.incarnation,
            acknowledged,
        }
    }

    /// Prepares a planned stop: from now on this daemon grants no leases and takes over no group.
    /// The next events make it release the controller row.
    pub fn stop(&mut self) {
        self.context.stopping = true;
    }

    /// Whether this daemon holds the controller lease.
    pub fn is_holder(&self, now: Millis) -> bool {
        matches!(&self.role, Role::Holding(holding) if holding.is_valid(now))
    }

    /// Whether this daemon neither holds the controller lease nor has a takeover under way.
    pub fn is_released(&self) -> bool {
        matches!(&self.role, Role::Observing(observing) if !observing.is_taking_over())
    }

    /// Status for operators.
    pub fn status(&self, now: Millis) -> ControllerStatus {
        match &self.role {
            Role::Holding(holding) => holding.status(now),
            Role::Observing(observing) => observing.status(&self.context),
        }
    }

    fn dispatch(&mut self, event: Event) {
        let next = match &mut self.role {
            Role::Observing(observing) => observing.handle(event, &mut self.context),
            Role::Holding(holding) => holding.handle(event, &mut self.context),
        };
        if let Some(role) = next {
            self.role = role;
        }
    }

    fn advance(&mut self) {
        match &mut self.role {
            Role::Observing(observing) => observing.advance(&mut self.context),
            Role::Holding(holding) => holding.advance(&mut self.context),
        }
    }
}
