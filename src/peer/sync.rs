//! Anti-entropy: what to tell a peer, and what to take from it.
//!
//! Each side states its versions and sends what it has newer. Only higher versions are taken. All
//! of this is pure; [`super::loops`] does the I/O.

pub mod known;
pub mod vms;

use super::message::{Item, MemberReport, SyncReply, SyncRequest, VmsStamp};
use crate::{
    clock::Millis,
    collections::Map,
    entry::{directory::News, snapshot::Snapshot},
    membership::Membership,
    table::TableVersion,
    world::{GroupId, Incarnation, Link, Vm, VmName},
};
use known::{Known, Versions};

/// What a daemon tells of itself, apart from what it distributes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnState {
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The groups that it controls.
    pub controls: Vec<GroupId>,
}

/// What is known of the peer at the other end of a link.
#[derive(Clone, Debug, Default)]
struct Partner {
    incarnation: Option<Incarnation>,
    members_seen: u64,
    /// Its versions, as it stated them last.
    versions: Option<Versions>,
    /// This daemon's versions when the last request was made.
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
    known: Known,
    partners: Map<VmName, Partner>,
}

impl SyncState {
    /// The state of a daemon that knows nothing yet.
    pub fn new(own: Link) -> Self {
        Self {
            membership: Membership::new(own.clone()),
            own,
            own_state: OwnState::default(),
            sequence: 0,
            known: Known::default(),
            partners: Map::default(),
        }
    }

    /// Takes the daemon's own state; returns whether it changed.
    pub fn set_own_state(&mut self, own_state: OwnState) -> bool {
        self.membership.set_stopping(own_state.stopping);
        let changed = self.own_state != own_state;
        self.own_state = own_state;
        changed
    }

    /// Takes what the directory has published.
    pub fn refresh(&mut self, snapshot: &Snapshot) {
        self.known.refresh(snapshot);
    }

    /// Takes a list that the platform gave at `read_at`; returns news if it differs.
    pub fn learn_vms(&mut self, vms: Vec<Vm>, read_at: Millis) -> Option<News> {
        let vms = self.known.vms.learn(vms, read_at)?;
        self.membership.seed(&vms);
        Some(News::Vms(vms.to_vec()))
    }

    /// The next request to `to`.
    pub fn request(&mut self, to: &VmName, wait: Millis, now: Millis) -> SyncRequest {
        let sender = self.report();
        let versions = self.known.versions(now);
        let patient = self.membership.is_delegate();
        let partner = self.partners.entry(to.clone()).or_default();
        // A delegate's peers ask it themselves, so it only offers what they did not take although
        // it had announced it before.
        let offers = match &partner.versions {
            Some(theirs) if !patient => self.known.newer_than(theirs),
            Some(theirs) => self
                .known
                .newer_than(&theirs.at_least_where_new(&partner.announced, &versions)),
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

    /// Whether a request to `to` that is under way should be replaced by one with offers.
    pub fn has_urgent_offers(&self, to: &VmName, now: Millis) -> bool {
        !self.membership.is_delegate()
            && self.partners.get(to).is_some_and(|partner| {
                partner.versions.is_some()
                    && self.known.versions(now).is_newer_than(&partner.announced)
            })
    }

    /// Takes the reply of a partner; returns news for the directory.
    pub fn take_reply(&mut self, reply: SyncReply, now: Millis) -> Vec<News> {
        let link = reply.sender.link.clone();
        let versions = Versions::new(reply.config_version, reply.tables, reply.vms);
        let partner = self.partners.entry(link.name.clone()).or_default();
        let restarted = partner.incarnation.is_some_and(|i| i != link.incarnation);
        partner.incarnation = Some(link.incarnation);
        // A restarted peer counts revisions anew, so its whole list is asked for again.
        partner.members_seen = if restarted { 0 } else { reply.members_revision };
        partner.versions = Some(versions);
        self.membership.hear(reply.sender, now);
        if restarted {
            self.membership.drop_relay(&link.name, now);
        }
        self.membership.hear_partner(&link, reply.members, now);
        self.known.vms.confirm(reply.vms, now);
        self.take_items(reply.items, reply.vms, now)
    }

    /// Takes a peer's request; returns news for the directory.
    pub fn take_request(&mut self, request: &SyncRequest, now: Millis) -> Vec<News> {
        self.membership.hear(request.sender.clone(), now);
        self.known.vms.confirm(request.vms, now);
        self.take_items(request.offers.clone(), request.vms, now)
    }

    /// The reply to `request` at present, and whether it is worth sending before the peer's
    /// waiting time is over.
    pub fn reply(&mut self, request: &SyncRequest, now: Millis) -> (SyncReply, bool) {
        let versions = self.known.versions(now);
        let theirs = Versions::new(request.config_version, request.tables.clone(), request.vms);
        let same_zone = request.sender.link.zone == self.own.zone;
        let mut items = self.known.newer_than(&theirs);
        items.extend(self.known.vms.newer_than(request.vms, same_zone, now));
        let asker = &request.sender.link.name;
        let members = self
            .membership
            .changes_since(request.members_seen, asker, now);
        let wants = request.offers.is_empty() && theirs.is_newer_than(&versions);
        let worthwhile = wants || !items.is_empty() || !members.is_empty();
        let reply = SyncReply {
            sender: self.report(),
            members,
            members_revision: self.membership.revision(),
            items,
            config_version: versions.config,
            tables: versions.tables(),
            vms: versions.vms,
        };
        (reply, worthwhile)
    }

    /// Whether the peer named `name` still lacks something that this daemon has.
    pub fn is_behind(&self, name: &VmName) -> bool {
        let theirs = self.partners.get(name).and_then(|p| p.versions.as_ref());
        theirs.is_some_and(|theirs| !self.known.newer_than(theirs).is_empty())
    }

    /// A request to a daemon that is no partner; `theirs` are its versions if it has replied.
    pub fn request_once(&mut self, theirs: Option<&Versions>, now: Millis) -> SyncRequest {
        let versions = self.known.versions(now);
        SyncRequest {
            sender: self.report(),
            members_seen: 0,
            config_version: versions.config,
            tables: versions.tables(),
            vms: versions.vms,
            offers: theirs.map_or_else(Vec::new, |theirs| self.known.newer_than(theirs)),
            wait_ms: 0,
        }
    }

    /// Takes the reply of a daemon that is no partner; returns its versions and news for the
    /// directory.
    pub fn take_reply_once(&mut self, reply: SyncReply, now: Millis) -> (Versions, Vec<News>) {
        let link = reply.sender.link.clone();
        let versions = Versions::new(reply.config_version, reply.tables, reply.vms);
        self.membership.hear(reply.sender, now);
        self.membership.hear_once(&link, reply.members, now);
        self.known.vms.confirm(reply.vms, now);
        (versions, self.take_items(reply.items, reply.vms, now))
    }

    /// Forgets the peer named `name`, which is no longer followed.
    pub fn forget_partner(&mut self, name: &VmName, now: Millis) {
        self.partners.remove(name);
        self.membership.drop_relay(name, now);
    }

    /// This daemon's report of itself.
    pub fn report(&mut self) -> MemberReport {
        self.sequence += 1;
        MemberReport {
            link: self.own.clone(),
            sequence: self.sequence,
            config_version: self.known.config_version(),
            ready: self.own_state.ready,
            stopping: self.own_state.stopping,
            controls: self.own_state.controls.clone(),
            age_ms: 0,
        }
    }

    fn take_items(&mut self, items: Vec<Item>, stamp: VmsStamp, now: Millis) -> Vec<News> {
        let read_at = now.since(Millis(stamp.age_ms));
        items
            .into_iter()
            .filter_map(|item| match item {
                Item::Config(config) => (config.head.version > self.known.config_version())
                    .then_some(News::Config(config)),
                Item::Table(table) => self
                    .is_newer(&table.group, table.version)
                    .then_some(News::Table(table)),
                Item::TableDelta(delta) => self
                    .is_newer(&delta.group, delta.to)
                    .then_some(News::TableDelta(delta)),
                Item::Vms(vms) => self.learn_vms(vms, read_at),
                Item::VmsDelta(delta) => {
                    let vms = self.known.vms.apply(&delta)?;
                    self.learn_vms(vms, read_at)
                }
            })
            .collect()
    }

    fn is_newer(&self, group: &GroupId, version: TableVersion) -> bool {
        version > self.known.table_version(group)
    }
}
