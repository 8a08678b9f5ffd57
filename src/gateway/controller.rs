//! The controller, a state machine without I/O: it handles events, and returns commands to
//! endpoints (grants and releases) and writes to the store as actions.
//!
//! An owner is written to the store before it is granted its keys, and only after the previous
//! owner has released them or its lease has certainly expired. The row therefore names the only
//! endpoint that may hold a key, and a new controller can start from it. Each command has a fencing
//! token of its own, above all earlier ones: a command names an address, where another life of the
//! endpoint may listen by now. Tokens carry the epoch of the controller lease in their upper bits, so
//! those of a new controller exceed all earlier ones.

mod assigning;
mod commands;
mod endpoints;
mod epoch;
mod evacuating;
mod former_owners;
mod outcomes;
mod ranges;
mod reports;
pub mod tokens;
mod unconfirmed;
mod writes;

pub use ranges::{ManagedRange, Phase, ServiceRanges};
pub use reports::EarlierOwners;

use super::{
    controller_lease::{ControllerLease, LeaseRow},
    fleet_digest::FleetDigest,
    load_stats::LoadStats,
    model::{EndpointEntry, EndpointInstance, KeyRange, Service},
    owners::Owners,
    platform::{GrantCommand, GrantOutcome, ReleaseOutcome, RowWrite, WriteOutcome},
    rate_limit::Rate,
    store_version::{era_of, store_version},
};
use crate::{
    clock::Millis,
    collections::{Map, Set},
    world::{Incarnation, ServiceName, VmName},
};
use endpoints::RegisteredInstance;
use evacuating::Evacuating;
use former_owners::FormerOwner;
use reports::Reports;
use std::{net::SocketAddr, sync::Arc};
use tokens::TokenSequence;
use writes::PendingWrite;

/// Duration of a key lease. It outlasts the loss of a controller (about 2.5 s until the successor
/// has renewed the leases), and bounds how long the keys of an unresponsive endpoint stay unserved.
pub const KEY_LEASE: Millis = Millis(4_000);
/// Time after which a grant or a write to the store without an answer counts as lost. The
/// connection of the grant is then closed.
pub const COMMAND_TIMEOUT: Millis = Millis(800);
/// Largest assumed drift of an endpoint's clock, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Allowance for timers that fire late, added to a lease.
const LEASE_MARGIN: Millis = Millis(200);
/// Delay before the keys of a new service are first assigned, so that its endpoints can register.
const INITIAL_PLACEMENT_WAIT: Millis = Millis(2_000);

/// Time for which a daemon that released the controller lease for another one attempts no takeover.
const YIELD_PAUSE: Millis = Millis(3_000);

/// Identifies a key range within one controller; it is not persistent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RangeId(pub u64);

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The lease row was read, at this version; 0 and `None` if there is none.
    Lease(u64, Option<LeaseRow>),
    /// All owners were read from the store, with the versions of their rows.
    Owners(Vec<(ServiceName, u64, Owners)>),
    /// The latest owners that this daemon knows from whatever source, before [`Self::Owners`].
    KnownOwners(Vec<(ServiceName, Arc<Owners>)>),
    /// What another daemon knows of the owners from before the last restoration of the store.
    EarlierOwners(VmName, EarlierOwners),
    /// All endpoints that are registered now, the one with the newest row last.
    Endpoints(Vec<EndpointEntry>),
    /// All services that are declared now.
    Services(Vec<Service>),
    /// The write with this id completed or timed out.
    Written(u64, WriteOutcome),
    /// A grant completed or timed out.
    Granted(ServiceName, RangeId, GrantOutcome),
    /// A release completed or timed out.
    Released(ServiceName, RangeId, ReleaseOutcome),
    /// This incarnation of a daemon has ended and sends no more commands.
    IncarnationEnded(Incarnation),
}

/// An output of the controller, to be performed by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write rows in one transaction; [`Event::Written`] reports its outcome under this id.
    Write(u64, Vec<RowWrite>),
    /// Read the lease row.
    ReadLease,
    /// Read the owners of all services.
    ReadOwners,
    /// Grant keys to an endpoint, or renew its lease on them.
    Grant(ServiceName, RangeId, SocketAddr, GrantCommand),
    /// Have an endpoint release keys, under a fencing token.
    Release(ServiceName, RangeId, SocketAddr, KeyRange, u64),
}

/// The controller on one daemon. On all daemons but one, it only watches the lease.
#[derive(Debug)]
pub struct Controller {
    controller_lease: ControllerLease,
    peer_addr: SocketAddr,
    /// Duration of the key leases that this controller grants.
    key_lease: Millis,
    services: Map<ServiceName, ServiceRanges>,
    /// The declared services with keys.
    declared: Vec<ServiceName>,
    /// The declared services without keys.
    declared_plain: Set<ServiceName>,
    endpoints: Map<Arc<str>, EndpointEntry>,
    addrs: Map<EndpointInstance, SocketAddr>,
    /// The registered instances at each address, the one with the newest row last.
    instances_at: Map<SocketAddr, Vec<RegisteredInstance>>,
    /// Share of its capacity that each endpoint lacks because it asked daemons for a pause.
    paused: Map<EndpointInstance, f64>,
    /// Limits that endpoints named.
    rate_limits: Map<EndpointInstance, Rate>,
    /// Evacuated zones, and the owners there that have to give up their keys.
    evacuating: Evacuating,
    /// Endpoints that may still take keys that they have lost.
    former_owners: Vec<FormerOwner>,
    /// Present and past backoffs by endpoint.
    backoffs: Map<EndpointInstance, GrantBackoff>,
    /// Whether the owners have been read in this epoch.
    loaded: bool,
    /// Whether a read of the owners is in flight.
    reading: bool,
    /// Whether the versions of the owners' rows are from before a restoration of the store.
    rows_outdated: bool,
    /// The latest owners that this daemon knows.
    known_owners: Map<ServiceName, Arc<Owners>>,
    /// Version of the lease row of a copy of the store that this daemon saw as the holder, and when.
    copy_seen: Option<(u64, Millis)>,
    /// What other daemons know of the time before a restoration of the store.
    reports: Reports,
    /// All daemons that could send commands, and when they were last known; `None` if they never were.
    fleet: Option<(FleetDigest, Millis)>,
    stopping: bool,
    /// Whether the lease is being released for the benefit of another daemon.
    yielding: bool,
    /// Until when this daemon attempts no takeover, so that another one can.
    takeover_paused_until: Millis,
    pending: Option<PendingWrite>,
    /// When the next write may be issued.
    next_write_at: Millis,
    /// When the leases of all grants before this epoch have certainly expired.
    grace_end: Millis,
    /// Incarnation of the previous lease holder, unless it is known to have ended.
    predecessor: Option<Incarnation>,
    predecessor_name: Option<VmName>,
    tokens: TokenSequence,
    last_id: u64,
    /// Owners that were written and not yet collected by [`Self::take_written_owners`].
    written_owners: Vec<(ServiceName, u64, Owners)>,
    /// When owners may be written next.
    next_owners_write_at: Millis,
    /// Whether the store does not answer this daemon.
    store_failing: bool,
}

impl Controller {
    /// Creates the controller of a daemon that does not hold the lease. `jitter` delays takeovers.
    pub fn new(
        name: VmName,
        incarnation: Incarnation,
        peer_addr: SocketAddr,
        max_lease: Millis,
        jitter: Millis,
    ) -> Self {
        Self {
            controller_lease: ControllerLease::new(name, incarnation, jitter),
            peer_addr,
            key_lease: KEY_LEASE.min(max_lease),
            services: Map::default(),
            declared: Vec::new(),
            declared_plain: Set::default(),
            endpoints: Map::default(),
            addrs: Map::default(),
            instances_at: Map::default(),
            paused: Map::default(),
            rate_limits: Map::default(),
            evacuating: Evacuating::default(),
            former_owners: Vec::new(),
            backoffs: Map::default(),
            loaded: false,
            reading: false,
            rows_outdated: false,
            known_owners: Map::default(),
            copy_seen: None,
            reports: Reports::default(),
            fleet: None,
            stopping: false,
            yielding: false,
            takeover_paused_until: Millis::ZERO,
            pending: None,
            next_write_at: Millis::ZERO,
            grace_end: Millis::ZERO,
            predecessor: None,
            predecessor_name: None,
            tokens: TokenSequence::new(tokens::SEQUENCE_BITS),
            last_id: 0,
            written_owners: Vec::new(),
            next_owners_write_at: Millis::ZERO,
            store_failing: false,
        }
    }

    /// Uses fencing tokens with a sequence of `bits` within an epoch.
    pub fn with_token_sequence(mut self, bits: u32) -> Self {
        self.tokens = TokenSequence::new(bits);
        self
    }

    /// The controller lease as this daemon sees it.
    pub fn lease_state(&self) -> &ControllerLease {
        &self.controller_lease
    }

    /// The incarnation of the previous lease holder, if that was daemon `name` and it is now
    /// running as another incarnation, `current`. The previous one has therefore ended.
    pub fn predecessor_incarnation_of(
        &self,
        name: &VmName,
        current: Incarnation,
    ) -> Option<Incarnation> {
        let predecessor = self.predecessor.filter(|earlier| *earlier != current)?;
        (self.predecessor_name.as_ref() == Some(name)).then_some(predecessor)
    }

    /// Sets whether the store does not answer this daemon. While it does not, the daemon attempts
    /// no takeover, since failed calls are billed like any others.
    pub fn set_store_failing(&mut self, failing: bool) {
        self.store_failing = failing;
    }

    /// Sets the share of its capacity, from 0 to 1, that each endpoint in a requested pause lacks.
    pub fn set_pauses(&mut self, missing_shares: Map<EndpointInstance, f64>) {
        self.paused = missing_shares;
    }

    /// Sets the limits that endpoints named.
    pub fn set_rate_limits(&mut self, rate_limits: Map<EndpointInstance, Rate>) {
        self.rate_limits = rate_limits;
    }

    /// Releases the controller lease as soon as possible, and prevents takeovers.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Releases the controller lease as soon as possible, so that another daemon can take it over.
    /// Commands stop at once, since the successor may start as soon as the release is committed.
    pub fn yield_lease(&mut self, now: Millis) {
        self.yielding = self.controller_lease.is_holder();
        self.takeover_paused_until = now + YIELD_PAUSE;
    }

    /// Whether a stop was requested, the lease is not held and no write is pending.
    pub fn has_stopped(&self) -> bool {
        self.stopping && !self.controller_lease.is_holder() && self.pending.is_none()
    }

    /// Updates the state; actions follow from [`Self::step`].
    pub fn handle(&mut self, event: Event, now: Millis) {
        match event {
            Event::Lease(version, row) => self.handle_lease(version, row, now),
            Event::Owners(rows) => self.load_owners(rows, now),
            Event::KnownOwners(owners) => self.known_owners = owners.into_iter().collect(),
            Event::EarlierOwners(daemon, known) => self.handle_earlier_owners(daemon, known, now),
            Event::Endpoints(entries) => self.set_endpoints(entries),
            Event::Services(services) => self.set_services(services),
            Event::Written(id, outcome) => self.handle_written(id, outcome, now),
            Event::Granted(service, id, outcome) => self.handle_granted(&service, id, outcome, now),
            Event::Released(service, id, outcome) => {
                self.handle_released(&service, id, outcome, now);
            }
            Event::IncarnationEnded(incarnation) => self.handle_ended(incarnation, now),
        }
    }

    /// Returns the actions that are due at `now`.
    pub fn step(&mut self, stats: &Map<ServiceName, LoadStats>, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_restoration(now);
        self.update_holds(now);
        self.update_fleet(now);
        let lacks_rows =
            !self.loaded || (self.rows_outdated && !self.controller_lease.is_restored());
        if self.controller_lease.is_holder()
            && lacks_rows
            && !self.reading
            && self.pending.is_none()
        {
            self.reading = true;
            actions.push(Action::ReadOwners);
        }
        let may_issue_commands = self.controller_lease.may_issue_commands(now);
        let may_issue_commands = may_issue_commands && !self.tokens.is_spent();
        if self.loaded && may_issue_commands && !self.stopping && !self.yielding {
            self.add_declared_services(now);
            self.place_keys(stats, now);
            self.issue_commands(now, &mut actions);
            self.release_from_former_owners(now, &mut actions);
        }
        self.issue_write(now, &mut actions);
        actions
    }

    /// Longest time for which an endpoint may hold keys after a grant has arrived.
    fn max_lease_time(&self) -> Millis {
        self.key_lease.plus_percent(CLOCK_DRIFT_PERCENT) + LEASE_MARGIN
    }

    fn next_token(&mut self) -> u64 {
        self.tokens.next_token()
    }

    fn next_id(&mut self) -> RangeId {
        self.last_id += 1;
        RangeId(self.last_id)
    }

    fn set_services(&mut self, services: Vec<Service>) {
        let (keyed, plain): (Vec<Service>, Vec<Service>) =
            services.into_iter().partition(|service| service.keyed);
        self.declared = keyed.into_iter().map(|service| service.name).collect();
        self.declared_plain = plain.into_iter().map(|service| service.name).collect();
    }

    fn add_declared_services(&mut self, now: Millis) {
        for service in self.declared.clone() {
            let has_endpoint = self
                .endpoints
                .values()
                .any(|entry| entry.service == service);
            if has_endpoint && !self.services.contains_key(&service) {
                let no_row = store_version(era_of(self.controller_lease.version()), 0);
                let mut managed = ServiceRanges::new(no_row, now);
                self.hold(&mut managed, 0);
                self.services.insert(service, managed);
            }
        }
    }
}

/// Time for which an endpoint that did not answer grants is assigned no keys.
#[derive(Clone, Copy, Debug)]
struct GrantBackoff {
    until: Millis,
    /// Number of backoffs so far.
    count: u32,
}
