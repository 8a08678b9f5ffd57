//! Immutable snapshot of routes, endpoints and key owners for the request thread.

mod builder;
mod freshness;

pub use builder::ViewBuilder;
pub use freshness::Freshness;

use super::{
    backend::{Backend, Shedding},
    budget::{BudgetRule, RetryBudget, RetryNeed},
    connection::ConnectionCounts,
    cost::CostEstimates,
    endpoint_set::SetSize,
    evacuation::Evacuations,
    hedging::HedgeCounters,
    idle::IdleLimit,
    leaving::Source,
    model::{CallerLimits, EndpointInstance, Key},
    owners::{OwnedRange, Owners},
    routes::RouteTable,
    wait_queue::WaitQueue,
};
use crate::{clock::Millis, collections::Map, world::ServiceName};
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

/// Snapshot of routes, endpoints and key owners.
#[derive(Debug, Default)]
pub struct View {
    /// Version of the configuration; 0 if there is none yet.
    pub version: u64,
    /// Routes of the configuration.
    pub routes: Arc<RouteTable>,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Services of the configuration by name.
    pub services: Map<ServiceName, Arc<ServiceView>>,
    /// The evacuated zones.
    pub evacuations: Evacuations,
    /// How old the data is.
    pub freshness: Arc<Freshness>,
}

/// Snapshot of a service.
#[derive(Debug)]
pub struct ServiceView {
    /// Name of the service.
    pub name: ServiceName,
    /// Whether its endpoints own keys.
    pub keyed: bool,
    /// Registered endpoints, ordered by instance.
    pub members: Vec<Member>,
    /// Owners of the service's keys; empty unless `keyed`.
    pub owners: Arc<Owners>,
    /// Whether the daemon would not learn that a key has moved: it has no contact to the controller,
    /// or the store is down, so that keys cannot move.
    pub is_cut_off: bool,
    /// State that is kept from one view to the next.
    pub state: Arc<ServiceState>,
}

/// Snapshot of an endpoint.
#[derive(Clone, Debug)]
pub struct Member {
    /// State of the endpoint that is kept from one view to the next.
    pub backend: Arc<Backend>,
    /// Whether the endpoint is in the daemon's availability zone.
    pub is_local: bool,
    /// Whether the endpoint's zone is evacuated.
    pub is_evacuated: bool,
    /// When the endpoint's warm-up ends.
    pub warmup_ends_at: Millis,
    /// Place in the order in which the daemon uses the endpoints of its zone or of the other zones.
    pub distance: usize,
}

impl Member {
    /// Whether the endpoint is about to shut down.
    pub fn is_leaving(&self) -> bool {
        self.backend.leaving.is_leaving()
    }
}

/// State of a service that is kept from one view to the next.
#[derive(Debug)]
pub struct ServiceState {
    /// Requests that wait for any endpoint of a service without keys.
    pub queue: Arc<WaitQueue>,
    /// What its requests are likely to cost.
    pub costs: Arc<CostEstimates>,
    /// Hedged requests.
    pub hedges: HedgeCounters,
    shedding: Arc<Shedding>,
    /// Number of endpoints that are used for requests without a key.
    pub set_size: SetSize,
    /// Connections to the service's endpoints.
    pub connections: Arc<ConnectionCounts>,
    idle: Arc<IdleLimit>,
    pause_count: Arc<AtomicU64>,
    budget: Mutex<RetryBudget>,
    key_counts: Mutex<Map<Key, u32>>,
    /// Lives that have left, by the source of the first notice.
    notice_counts: [AtomicU64; 3],
}

impl ServiceState {
    fn new(budget_rule: BudgetRule) -> Self {
        Self {
            queue: Arc::default(),
            costs: Arc::default(),
            hedges: HedgeCounters::default(),
            shedding: Arc::default(),
            set_size: SetSize::default(),
            connections: Arc::default(),
            idle: Arc::default(),
            pause_count: Arc::default(),
            budget: Mutex::new(RetryBudget::new(budget_rule)),
            key_counts: Mutex::default(),
            notice_counts: Default::default(),
        }
    }

    /// Counts a request for the retry budget, and by its key if it has one.
    pub fn count_request(&self, key: Option<Key>, now: Millis) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.count_request(now);
        drop(budget);
        if let Some(key) = key {
            let mut counts = self
                .key_counts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *counts.entry(key).or_default() += 1;
        } else {
            self.set_size.count_request(now);
        }
    }

    /// Counts a retry and returns true if the retry budget allows it.
    pub fn try_retry(&self, need: RetryNeed, daemons: usize, now: Millis) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(need, daemons, now)
    }

    /// Whether the retry budget allows a second attempt beside the first one.
    pub fn allows_hedge(&self, daemons: usize, now: Millis) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.allows_hedge(daemons, now)
    }

    /// Counts a second attempt beside the first one for the retry budget.
    pub fn count_hedge(&self, now: Millis) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.count_hedge(now);
    }

    /// Counts an endpoint that leaves, by the source of the first notice.
    pub fn count_notice(&self, source: Source) {
        self.notice_counts[source as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Endpoints that have left or are leaving, by the source of the first notice.
    pub fn notices_from(&self, source: Source) -> u64 {
        self.notice_counts[source as usize].load(Ordering::Relaxed)
    }

    /// Number of pauses that endpoints of the service have begun.
    pub fn pause_count(&self) -> u64 {
        self.pause_count.load(Ordering::Relaxed)
    }

    /// Counts the pauses that endpoints of the service begin.
    fn pause_counter(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.pause_count)
    }

    /// Requests by key since the last call.
    pub fn take_key_counts(&self) -> Vec<(Key, u32)> {
        let mut counts = self
            .key_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counts.drain().collect()
    }
}

impl ServiceView {
    /// The range of `key` and its owner; `None` if there is no owner, or if it must not be sent
    /// requests at `now`.
    pub fn owner_of(&self, key: Key, now: Millis) -> Option<(&OwnedRange, &Member)> {
        let owner = self.member_of(key);
        owner.filter(|(_, member)| member.backend.is_open(now))
    }

    /// The range of `key` and its owner, whether or not it may be sent requests; `None` if there is
    /// no owner or if it is not registered.
    pub fn member_of(&self, key: Key) -> Option<(&OwnedRange, &Member)> {
        let range = self.owners.range_of(key)?;
        let at = self
            .members
            .binary_search_by(|member| instance_of(member).cmp(&range.owner));
        Some((range, &self.members[at.ok()?]))
    }

    /// Whether `key` was assigned to an endpoint that is not registered any more. A daemon that is cut off
    /// cannot tell: others may know the next owner.
    pub fn has_lost_owner(&self, key: Key) -> bool {
        let is_assigned = self.owners.range_of(key).is_some();
        is_assigned && self.member_of(key).is_none() && !self.is_cut_off
    }
}

fn instance_of(member: &Member) -> &EndpointInstance {
    &member.backend.entry.instance
}
