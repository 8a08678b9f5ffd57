//! Anti-entropy between daemons: what to send to a peer, and what to accept from it.
//!
//! Each side states its versions and sends what it has in a newer version. Only newer versions are
//! accepted. This module does no I/O; [`super::background`] does it.

pub mod local_items;
pub mod vms;

use super::message::{Item, MemberReport, SyncReply, SyncRequest, VmsStamp};
use crate::{
    clock::Millis,
    collections::Map,
    entry::{directory::DirectoryUpdate, snapshot::Snapshot},
    membership::Membership,
    table::TableVersion,
    world::{GroupId, Incarnation, Link, Vm, VmName},
};
use local_items::{LocalItems, Versions};

/// The part of a daemon's own report that can change while it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The groups that it controls.
    pub controls: Vec<GroupId>,
}

/// State of the exchange with one partner.
#[derive(Clone, Debug, Default)]
struct Partner {
    incarnation: Option<Incarnation>,
    /// Revision of the partner's member list up to which this daemon has its changes.
    members_seen: u64,
    /// Its versions according to its latest reply.
    versions: Option<Versions>,
    /// This daemon's versions in the last request.
    announced: Versions,
}

/// The state of anti-entropy in one daemon.
#[derive(Debug)]
pub struct SyncState {
    own: Link,
    own_state: OwnState,
    sequence: u64,
    /// Which daemons are alive.
    pub membership: Membership,
    local: LocalItems,
    partners: Map<VmName, Partner>,
}

impl SyncState {
    /// The state of a daemon that has not received anything yet.
    pub fn new(own: Link) -> Self {
        Self {
            membership: Membership::new(own.clone()),
            own,
            own_state: OwnState::default(),
            sequence: 0,
            local: LocalItems::default(),
            partners: Map::default(),
        }
    }

    /// Sets the daemon's own state; returns whether it changed.
    pub fn set_own_state(&mut self, own_state: OwnState) -> bool {
        self.membership.set_stopping(own_state.stopping);
        let changed = self.own_state != own_state;
        self.own_state = own_state;
        changed
    }

    /// Updates the items to send from the directory's snapshot.
    pub fn refresh(&mut self, snapshot: &Snapshot) {
        self.local.refresh(snapshot);
    }

    /// Takes the list that the platform returned to a request made at `read_at`; returns an update
    /// for the directory if the list has changed.
    pub fn update_vms(&mut self, vms: Vec<Vm>, read_at: Millis) -> Option<DirectoryUpdate> {
        let vms = self.local.vms.update(vms, read_at)?;
        self.membership.set_seed_nodes(&vms);
        Some(DirectoryUpdate::Vms(vms.to_vec()))
    }

    /// The next request to the partner `to`.
    pub fn request(&mut self, to: &VmName, wait: Millis, now: Millis) -> SyncRequest {
        let sender = self.report();
        let versions = self.local.versions(now);
        let is_delegate = self.membership.is_delegate();
        let partner = self.partners.entry(to.clone()).or_default();
        // The peers of a delegate request items themselves, so it offers only what they still lack
        // although its last request already announced it.
        let offers = match &partner.versions {
            Some(theirs) if !is_delegate => self.local.newer_than(theirs),
            Some(theirs) => self
                .local
                .newer_than(&theirs.raised_where_unannounced(&partner.announced, &versions)),
            None => Vec::new(),
        };
        partner.announced = versions.clone();
        SyncRequest {
            sender,
            members_seen: partner.members_seen,
            config_version: versions.config,
            tables: versions.tables(),
            vms: versions.vms,
            offers,
            wait_ms: if partner.versions.is_some() {
                wait.0
            } else {
                0
            },
        }
    }

    /// Whether the pending request to `to` should be replaced by one that offers newer items.
    pub fn has_urgent_offers(&self, to: &VmName, now: Millis) -> bool {
        !self.membership.is_delegate()
            && self.partners.get(to).is_some_and(|partner| {
                partner.versions.is_some()
                    && self.local.versions(now).is_newer_than(&partner.announced)
            })
    }

    /// Processes the reply of a partner; returns updates for the directory.
    pub fn handle_reply(&mut self, reply: SyncReply, now: Millis) -> Vec<DirectoryUpdate> {
        let link = reply.sender.link.clone();
        let versions = Versions::new(reply.config_version, reply.tables, reply.vms);
        let partner = self.partners.entry(link.name.clone()).or_default();
        let restarted = partner.incarnation.is_some_and(|i| i != link.incarnation);
        partner.incarnation = Some(link.incarnation);
        // The revisions of a restarted peer start again, so its whole list is requested.
        partner.members_seen = if restarted { 0 } else { reply.members_revision };
        partner.versions = Some(versions);
        self.membership.record_direct(reply.sender, now);
        if restarted {
            self.membership.drop_relay(&link.name, now);
        }
        self.membership.record_relayed(&link, reply.members, now);
        self.local.vms.confirm(reply.vms, now);
        self.accept_items(reply.items, reply.vms, now)
    }

    /// Processes a peer's request; returns updates for the directory.
    pub fn handle_request(&mut self, request: &SyncRequest, now: Millis) -> Vec<DirectoryUpdate> {
        self.membership.record_direct(request.sender.clone(), now);
        self.local.vms.confirm(request.vms, now);
        self.accept_items(request.offers.clone(), request.vms, now)
    }

    /// The reply to `request` at present, and whether to send it before the peer's waiting time has
    /// passed.
    pub fn reply(&mut self, request: &SyncRequest, now: Millis) -> (SyncReply, bool) {
        let versions = self.local.versions(now);
        let theirs = Versions::new(request.config_version, request.tables.clone(), request.vms);
        let same_zone = request.sender.link.zone == self.own.zone;
        let mut items = self.local.newer_than(&theirs);
        items.extend(self.local.vms.newer_than(request.vms, same_zone, now));
        let requester = &request.sender.link.name;
        let members = self
            .membership
            .changes_since(request.members_seen, requester, now);
        let needs_items = request.offers.is_empty() && theirs.is_newer_than(&versions);
        let has_changes = needs_items || !items.is_empty() || !members.is_empty();
        let reply = SyncReply {
            sender: self.report(),
            members,
            members_revision: self.membership.revision(),
            items,
            config_version: versions.config,
            tables: versions.tables(),
            vms: versions.vms,
        };
        (reply, has_changes)
    }

    /// Whether the partner named `name` lacks a configuration or table version that this daemon has.
    pub fn is_behind(&self, name: &VmName) -> bool {
        let theirs = self.partners.get(name).and_then(|p| p.versions.as_ref());
        theirs.is_some_and(|theirs| !self.local.newer_than(theirs).is_empty())
    }

    /// A request to a daemon that is not a partner; `theirs` are its versions, once it has replied.
    pub fn request_once(&mut self, theirs: Option<&Versions>, now: Millis) -> SyncRequest {
        let versions = self.local.versions(now);
        SyncRequest {
            sender: self.report(),
            members_seen: 0,
            config_version: versions.config,
            tables: versions.tables(),
            vms: versions.vms,
            offers: theirs.map_or_else(Vec::new, |theirs| self.local.newer_than(theirs)),
            wait_ms: 0,
        }
    }

    /// Processes the reply of a daemon that is not a partner; returns its versions, and updates for
    /// the directory.
    pub fn handle_reply_once(
        &mut self,
        reply: SyncReply,
        now: Millis,
    ) -> (Versions, Vec<DirectoryUpdate>) {
        let link = reply.sender.link.clone();
        let versions = Versions::new(reply.config_version, reply.tables, reply.vms);
        self.membership.record_direct(reply.sender, now);
        self.membership
            .record_relayed_once(&link, reply.members, now);
        self.local.vms.confirm(reply.vms, now);
        (versions, self.accept_items(reply.items, reply.vms, now))
    }

    /// Removes the partner named `name`, with which this daemon no longer syncs.
    pub fn remove_partner(&mut self, name: &VmName, now: Millis) {
        self.partners.remove(name);
        self.membership.drop_relay(name, now);
    }

    /// This daemon's own report, with a new sequence number.
    pub fn report(&mut self) -> MemberReport {
        self.sequence += 1;
        MemberReport {
            link: self.own.clone(),
            sequence: self.sequence,
            config_version: self.local.config_version(),
            ready: self.own_state.ready,
            stopping: self.own_state.stopping,
            controls: self.own_state.controls.clone(),
            age_ms: 0,
        }
    }

    fn accept_items(
        &mut self,
        items: Vec<Item>,
        stamp: VmsStamp,
        now: Millis,
    ) -> Vec<DirectoryUpdate> {
        let read_at = now.since(Millis(stamp.age_ms));
        items
            .into_iter()
            .filter_map(|item| match item {
                Item::Config(config) => (config.head.version > self.local.config_version())
                    .then_some(DirectoryUpdate::Config(config)),
                Item::Table(table) => self
                    .is_newer(&table.group, table.version)
                    .then_some(DirectoryUpdate::Table(table)),
                Item::TableDelta(delta) => self
                    .is_newer(&delta.group, delta.to)
                    .then_some(DirectoryUpdate::TableDelta(delta)),
                Item::Vms(vms) => self.update_vms(vms, read_at),
                Item::VmsDelta(delta) => {
                    let vms = self.local.vms.apply(&delta)?;
                    self.update_vms(vms, read_at)
                }
            })
            .collect()
    }

    fn is_newer(&self, group: &GroupId, version: TableVersion) -> bool {
        version > self.local.table_version(group)
    }
}
