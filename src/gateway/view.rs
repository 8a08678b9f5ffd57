//! What the request thread knows: an immutable view of routes, endpoints and owners.

use super::{
    backend::{Backend, Shared},
    budget::{BudgetRule, RetryBudget},
    idle::IdleLimit,
    model::{CallerLimits, Configuration, EndpointEntry, EndpointInstance, Key, Service},
    owners::{OwnedRange, Owners},
    relative_latency::RouteLatencies,
    routes::RouteTable,
    wait_queue::WaitQueue,
};
use crate::{
    clock::Millis,
    collections::Map,
    world::{ServiceName, ZoneName},
};
use std::sync::{Arc, Mutex, PoisonError};

/// Time after an endpoint was seen leaving for which requests for its keys still go there, while
/// the keys move.
const KEYED_LEAVING_GRACE: Millis = Millis(800);
/// Part of the time for which a leaving endpoint goes on serving that is left for a request to
/// reach it.
const SENDING_MARGIN: Millis = Millis(600);

/// Routes, endpoints and owners at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// The routes.
    pub routes: Arc<RouteTable>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The services.
    pub services: Map<ServiceName, Arc<ServiceView>>,
}

/// A service at one moment.
#[derive(Debug)]
pub struct ServiceView {
    /// The service.
    pub name: ServiceName,
    /// Whether its endpoints own keys.
    pub keyed: bool,
    /// Its endpoints.
    pub members: Vec<Member>,
    /// Owners of its keys.
    pub owners: Arc<Owners>,
    /// What lasts from one view to the next.
    pub state: Arc<ServiceState>,
}

/// An endpoint at one moment.
#[derive(Clone, Debug)]
pub struct Member {
    /// The endpoint.
    pub backend: Arc<Backend>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Whether it is in the daemon's zone.
    pub is_local: bool,
    /// Until when it is slow after its start.
    pub warmup_ends_at: Millis,
}

/// State of a service that lasts from one view to the next.
#[derive(Debug)]
pub struct ServiceState {
    /// Requests that wait for any endpoint.
    pub queue: Arc<WaitQueue>,
    usual: Arc<RouteLatencies>,
    idle: Arc<IdleLimit>,
    budget: Mutex<RetryBudget>,
    key_counts: Mutex<Map<Key, u32>>,
}

impl ServiceState {
    fn new(rule: BudgetRule) -> Self {
        Self {
            queue: Arc::default(),
            usual: Arc::default(),
            idle: Arc::default(),
            budget: Mutex::new(RetryBudget::new(rule)),
            key_counts: Mutex::default(),
        }
    }

    /// Counts a request, and its key if it has one.
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
        }
    }

    /// Counts a repeated send if the retry budget allows it.
    pub fn try_retry(&self, daemons: usize, now: Millis) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_retry(daemons, now)
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
    /// The range of `key` and its owner, if the owner is known and may be sent requests.
    pub fn owner_of(&self, key: Key, now: Millis) -> Option<(&OwnedRange, &Member)> {
        let range = self.owners.range_of(key)?;
        let member = self
            .members
            .iter()
            .find(|member| member.backend.entry.instance == range.owner)?;
        member.backend.is_open(now).then_some((range, member))
    }
}

/// Collects what the store shows and builds views of it.
#[derive(Debug)]
pub struct ViewBuilder {
    zone: ZoneName,
    rule: BudgetRule,
    /// Time for which a leaving endpoint goes on serving.
    drain_time: Millis,
    config: Option<Arc<Configuration>>,
    routes: Arc<RouteTable>,
    endpoints: Map<Arc<str>, Registered>,
    owners: Map<ServiceName, (u64, Arc<Owners>)>,
    states: Map<ServiceName, Arc<ServiceState>>,
}

#[derive(Debug)]
struct Registered {
    entry: EndpointEntry,
    backend: Option<Arc<Backend>>,
    leaving: Option<Leaving>,
    warmup_ends_at: Millis,
    /// Removed at a time when the store may have lost entries of endpoints that live.
    removal_due: Option<Millis>,
}

/// Until when a leaving endpoint is used.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// For requests that other endpoints can serve.
    until: Millis,
    /// For requests for the keys that it owns.
    keyed_until: Millis,
}

impl Registered {
    /// Lets requests that are on their way to it know until when they may be sent.
    fn close(&self, at: Millis) {
        if let Some(backend) = &self.backend {
            backend.close_at(at);
        }
    }
}

impl ViewBuilder {
    /// Starts without knowledge, for a daemon in `zone`. An endpoint goes on serving for `drain_time`
    /// after the store has acknowledged that it leaves.
    pub fn new(zone: ZoneName, rule: BudgetRule, drain_time: Millis) -> Self {
        Self {
            zone,
            rule,
            drain_time,
            config: None,
            routes: Arc::default(),
            endpoints: Map::default(),
            owners: Map::default(),
            states: Map::default(),
        }
    }

    /// Takes in a configuration. Older ones than the present are ignored.
    pub fn set_config(&mut self, config: Configuration) -> bool {
        let newer = self
            .config
            .as_ref()
            .is_none_or(|present| config.version > present.version);
        if newer {
            self.routes = Arc::new(RouteTable::new(&config.routes));
            self.config = Some(Arc::new(config));
        }
        newer
    }

    /// The present configuration.
    pub fn config(&self) -> Option<&Arc<Configuration>> {
        self.config.as_ref()
    }

    /// Takes in an endpoint's entry, which the store acknowledged after `since`.
    pub fn register(&mut self, entry: EndpointEntry, since: Millis, now: Millis) {
        let name = Arc::clone(&entry.instance.name);
        let known = self.endpoints.remove(&name);
        let is_same = |known: &Registered| {
            known.entry.instance == entry.instance
                && known.entry.addr == entry.addr
                && known.entry.service == entry.service
        };
        let same = match known {
            Some(known) if is_same(&known) => Some(known),
            Some(former) => {
                former.close(now);
                None
            }
            None => None,
        };
        let known_leaving = same.as_ref().and_then(|known| known.leaving);
        let leaving = entry
            .draining
            .then(|| known_leaving.unwrap_or_else(|| self.leaving(since, now)));
        let registered = Registered {
            backend: same.and_then(|known| known.backend),
            leaving,
            warmup_ends_at: now + entry.remaining_warmup,
            removal_due: None,
            entry,
        };
        self.endpoints.insert(name, registered);
    }

    /// Takes in that an entry is gone. With `doubt`, it is kept until then unless it returns.
    pub fn remove(&mut self, name: &str, defer_until: Option<Millis>, now: Millis) {
        match defer_until {
            Some(until) => {
                if let Some(known) = self.endpoints.get_mut(name) {
                    known.removal_due = known.removal_due.or(Some(until));
                }
            }
            None => {
                if let Some(known) = self.endpoints.remove(name) {
                    known.close(now);
                }
            }
        }
    }

    /// Until when an endpoint is used that is seen leaving at `now`.
    fn leaving(&self, since: Millis, now: Millis) -> Leaving {
        let ends = since + self.drain_time - SENDING_MARGIN;
        Leaving {
            until: now,
            keyed_until: (now + KEYED_LEAVING_GRACE).min(ends),
        }
    }

    /// Drops entries that did not return in time. True if any was dropped.
    pub fn apply_due_removals(&mut self, now: Millis) -> bool {
        self.drop_if(|until| until <= now, now)
    }

    /// Drops all entries that were to return. True if any was dropped.
    pub fn apply_all_removals(&mut self, now: Millis) -> bool {
        self.drop_if(|_| true, now)
    }

    fn drop_if(&mut self, is_over: impl Fn(Millis) -> bool, now: Millis) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, known| {
            let is_kept = !known.removal_due.is_some_and(&is_over);
            if !is_kept {
                known.close(now);
            }
            is_kept
        });
        self.endpoints.len() != before
    }

    /// When the next doubted entry is dropped.
    pub fn next_deferred_removal(&self) -> Option<Millis> {
        self.endpoints.values().filter_map(|k| k.removal_due).min()
    }

    /// Names of the registered endpoints, those in doubt left out.
    pub fn confirmed_names(&self) -> Vec<Arc<str>> {
        let sure = self
            .endpoints
            .iter()
            .filter(|(_, k)| k.removal_due.is_none());
        sure.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// The entries of all endpoints.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.endpoints.values().map(|k| k.entry.clone()).collect()
    }

    /// Takes in the owners of a service's keys. Older versions are ignored.
    pub fn set_owners(&mut self, service: ServiceName, version: u64, owners: Owners) -> bool {
        let newer = self
            .owners
            .get(&service)
            .is_none_or(|(present, _)| version > *present);
        if newer {
            self.owners.insert(service, (version, Arc::new(owners)));
        }
        newer
    }

    /// The owners of a service's keys, with the version of their row.
    pub fn owners_of(&self, service: &ServiceName) -> Option<(u64, &Arc<Owners>)> {
        let (version, owners) = self.owners.get(service)?;
        Some((*version, owners))
    }

    /// Sets the relative latencies of endpoints.
    pub fn set_relative_latencies(&self, latencies: &[(Arc<str>, f32)]) {
        for (name, latency) in latencies {
            let known = self.endpoints.get(name);
            if let Some(backend) = known.and_then(|known| known.backend.as_ref()) {
                backend.set_relative_latency(*latency);
            }
        }
    }

    /// Versions of the owners' rows.
    pub fn owner_versions(&self) -> Vec<(ServiceName, u64)> {
        let versions = self.owners.iter();
        versions
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect()
    }

    /// Builds a view of what is known at `now`.
    pub fn build(&mut self, now: Millis) -> View {
        let Some(config) = self.config.clone() else {
            return View::default();
        };
        let services = config
            .services
            .values()
            .map(|service| (service.name.clone(), Arc::new(self.service(service, now))))
            .collect();
        View {
            version: config.version,
            routes: Arc::clone(&self.routes),
            limits: config.limits,
            services,
        }
    }

    fn service(&mut self, declared: &Service, now: Millis) -> ServiceView {
        let (name, keyed) = (declared.name.clone(), declared.keyed);
        let max_connections = declared.max_connections;
        let rule = self.rule;
        let state = self
            .states
            .entry(name.clone())
            .or_insert_with(|| Arc::new(ServiceState::new(rule)));
        let state = Arc::clone(state);
        let zone = &self.zone;
        let of_service = self
            .endpoints
            .values_mut()
            .filter(|k| k.entry.service == name);
        let mut members: Vec<Member> = of_service
            .map(|known| {
                let backend = known.backend.get_or_insert_with(|| {
                    let queue = if keyed {
                        Arc::default()
                    } else {
                        Arc::clone(&state.queue)
                    };
                    let shared = Shared {
                        queue,
                        usual: Arc::clone(&state.usual),
                        idle: Arc::clone(&state.idle),
                        max_connections,
                    };
                    Arc::new(Backend::new(known.entry.clone(), shared, now))
                });
                match known.leaving {
                    Some(leaving) if keyed => backend.close_at(leaving.keyed_until),
                    Some(leaving) => backend.close_at(leaving.until),
                    None => backend.reopen(),
                }
                Member {
                    backend: Arc::clone(backend),
                    is_leaving: known.leaving.is_some(),
                    is_local: known.entry.zone == *zone,
                    warmup_ends_at: known.warmup_ends_at,
                }
            })
            .collect();
        members.sort_by(|a, b| instance_of(a).cmp(instance_of(b)));
        let owners = self
            .owners
            .get(&name)
            .map(|(_, owners)| Arc::clone(owners))
            .unwrap_or_default();
        ServiceView {
            name,
            keyed,
            members,
            owners,
            state,
        }
    }
}

fn instance_of(member: &Member) -> &EndpointInstance {
    &member.backend.entry.instance
}
