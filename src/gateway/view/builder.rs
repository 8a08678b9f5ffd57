//! Builds views from the configuration, the registered endpoints and the owners.

mod owners;
mod unregistered;

use super::{Freshness, Member, ServiceState, ServiceView, View, instance_of};
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        backend::{Backend, Shared},
        budget::BudgetRule,
        endpoint_set::{self, FleetPosition},
        evacuation::Evacuations,
        leaving::{
            Notice, Source,
            life::Life,
            lives::{Departure, Lives},
            run::LeavingRun,
        },
        model::{Configuration, EndpointEntry, Service},
        owners::Owners,
        pause::{PauseReport, Pauses},
        rate_limit::{ColdLimit, ColdRule, RateLimits},
        routes::RouteTable,
    },
    world::{ServiceName, ZoneName},
};
use std::sync::Arc;

/// Collects configuration, endpoints and owners from the store, and builds views of them.
#[derive(Debug)]
pub struct ViewBuilder {
    zone: ZoneName,
    budget_rule: BudgetRule,
    lives: Lives,
    is_cut_off: bool,
    config: Option<Arc<Configuration>>,
    routes: Arc<RouteTable>,
    endpoints: Map<Arc<str>, RegisteredEndpoint>,
    /// Number of calls of [`Self::register`].
    registrations: u64,
    owners: Map<ServiceName, (u64, Arc<Owners>)>,
    states: Map<ServiceName, Arc<ServiceState>>,
    pauses: Pauses,
    rate_limits: RateLimits,
    evacuations: Evacuations,
    cold_rule: Option<ColdRule>,
    freshness: Arc<Freshness>,
    position: FleetPosition,
}

#[derive(Debug)]
struct RegisteredEndpoint {
    entry: EndpointEntry,
    /// Position of the latest registration among those of all endpoints.
    registration: u64,
    backend: Option<Arc<Backend>>,
    life: Arc<Life>,
    leaving_run: Arc<LeavingRun>,
    warmup_ends_at: Millis,
    /// When a deferred removal takes effect. Removals are deferred if the store may have lost the
    /// entries of running endpoints.
    removal_due: Option<Millis>,
}

impl RegisteredEndpoint {
    /// Stops requests that are in progress from being sent to the endpoint from `at` on.
    fn close(&self, at: Millis) {
        if let Some(backend) = &self.backend {
            backend.close_at(at);
        }
    }
}

impl ViewBuilder {
    /// Creates an empty builder for a daemon in `zone`. An endpoint continues to serve for
    /// `drain_time` after the store has acknowledged that it leaves.
    pub fn new(zone: ZoneName, budget_rule: BudgetRule, drain_time: Millis) -> Self {
        Self {
            zone,
            budget_rule,
            lives: Lives::new(drain_time),
            is_cut_off: false,
            config: None,
            routes: Arc::default(),
            endpoints: Map::default(),
            registrations: 0,
            owners: Map::default(),
            states: Map::default(),
            pauses: Pauses::default(),
            rate_limits: RateLimits::default(),
            evacuations: Evacuations::new(Millis::ZERO),
            cold_rule: None,
            freshness: Arc::default(),
            position: FleetPosition::default(),
        }
    }

    /// Uses this time limit of evacuations. The default is none: requests for keys end at once too.
    pub fn with_evacuation_time(mut self, time_limit: Millis) -> Self {
        self.evacuations = Evacuations::new(time_limit);
        self
    }

    /// Limits the requests to cold endpoints by this rule.
    pub fn with_cold_rule(self, cold_rule: Option<ColdRule>) -> Self {
        Self { cold_rule, ..self }
    }

    /// How old the data is.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Uses this position until another one is set.
    pub fn with_position(self, position: FleetPosition) -> Self {
        Self { position, ..self }
    }

    /// Sets the position of the daemon among those of its zone. True if this is a change.
    pub fn set_position(&mut self, position: FleetPosition) -> bool {
        std::mem::replace(&mut self.position, position) != position
    }

    /// The evacuated zones.
    pub fn evacuations(&mut self) -> &mut Evacuations {
        &mut self.evacuations
    }

    /// Sets the configuration if it is newer than the current one. True if it was set.
    pub fn set_config(&mut self, config: Configuration) -> bool {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|current| config.version > current.version);
        if is_newer {
            self.routes = Arc::new(RouteTable::new(&config.routes));
            self.config = Some(Arc::new(config));
        }
        is_newer
    }

    /// The current configuration; `None` before the first one.
    pub fn config(&self) -> Option<&Arc<Configuration>> {
        self.config.as_ref()
    }

    /// Adds or replaces the entry of an endpoint, which the store acknowledged after `since`. This
    /// cancels a deferred removal.
    pub fn register(&mut self, entry: EndpointEntry, since: Millis, now: Millis) {
        let name = Arc::clone(&entry.instance.name);
        let early = self.early_notices(&entry, now);
        self.pauses.end_earlier_lives(&entry.instance, now);
        self.rate_limits.end_earlier_lives(&entry.instance);
        let known = self.endpoints.remove(&name);
        let is_unchanged = |known: &RegisteredEndpoint| {
            known.entry.instance == entry.instance
                && known.entry.addr == entry.addr
                && known.entry.service == entry.service
        };
        let same_address = known.as_ref().filter(|k| k.entry.addr == entry.addr);
        let leaving_run = same_address.map(|known| Arc::clone(&known.leaving_run));
        // An entry that is read again says nothing new of the warm-up.
        let same_entry = known.as_ref().filter(|known| known.entry == entry);
        let warmup_ends_at = same_entry.map(|known| known.warmup_ends_at);
        let unchanged = match known {
            Some(known) if is_unchanged(&known) => Some(known),
            Some(replaced) => {
                replaced.close(now);
                if replaced.entry.instance != entry.instance {
                    self.lives.end(&replaced.entry.instance, now);
                }
                None
            }
            None => None,
        };
        self.registrations += 1;
        let life = self.lives.register(&entry.instance, &entry.service);
        if entry.draining {
            life.record(Notice {
                source: Source::Registry,
                age: now.since(since),
                seen_at: now,
            });
        } else {
            self.lives.withdraw_registry(&entry.instance, now);
        }
        let registered = RegisteredEndpoint {
            registration: self.registrations,
            backend: unchanged.and_then(|known| known.backend),
            life,
            leaving_run: leaving_run.unwrap_or_default(),
            warmup_ends_at: warmup_ends_at.unwrap_or(now + entry.remaining_warmup),
            removal_due: None,
            entry,
        };
        self.endpoints.insert(name.clone(), registered);
        self.apply_early_notices(&name, early, now);
    }

    /// Removes an entry. With `defer_until`, the entry is kept until then, and beyond if it is
    /// registered again in the meantime.
    pub fn remove(&mut self, name: &str, defer_until: Option<Millis>, now: Millis) {
        match defer_until {
            Some(until) => {
                if let Some(known) = self.endpoints.get_mut(name) {
                    let due = known.removal_due.map_or(until, |due| due.min(until));
                    known.removal_due = Some(due);
                }
            }
            None => {
                if let Some(known) = self.endpoints.remove(name) {
                    known.close(now);
                    self.lives.remove(&known.entry.instance, now);
                }
            }
        }
    }

    /// Removes the entries whose deferred removal is due. True if there were any.
    pub fn apply_due_removals(&mut self, now: Millis) -> bool {
        self.remove_if(|until| until <= now, now)
    }

    /// Removes all entries whose removal is deferred. True if there were any.
    pub fn apply_all_removals(&mut self, now: Millis) -> bool {
        self.remove_if(|_| true, now)
    }

    fn remove_if(&mut self, is_due: impl Fn(Millis) -> bool, now: Millis) -> bool {
        let before = self.endpoints.len();
        let lives = &mut self.lives;
        self.endpoints.retain(|_, known| {
            let is_kept = !known.removal_due.is_some_and(&is_due);
            if !is_kept {
                known.close(now);
                lives.remove(&known.entry.instance, now);
            }
            is_kept
        });
        self.endpoints.len() != before
    }

    /// When the next deferred removal is due; `None` if there is none.
    pub fn next_deferred_removal(&self) -> Option<Millis> {
        self.endpoints.values().filter_map(|k| k.removal_due).min()
    }

    /// Names of the registered endpoints without those whose removal is deferred.
    pub fn confirmed_names(&self) -> Vec<Arc<str>> {
        let confirmed = self
            .endpoints
            .iter()
            .filter(|(_, k)| k.removal_due.is_none());
        confirmed.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// The entries of all endpoints, including those whose removal is deferred, in the order in
    /// which they were last registered. An endpoint is marked as draining after any notice that it
    /// leaves.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        let mut known: Vec<&RegisteredEndpoint> = self.endpoints.values().collect();
        known.sort_by_key(|known| known.registration);
        let entry = |known: &RegisteredEndpoint| EndpointEntry {
            draining: known.life.is_leaving(),
            ..known.entry.clone()
        };
        known.into_iter().map(entry).collect()
    }

    /// The lives of endpoints with the notices that they leave.
    pub fn lives(&mut self) -> &mut Lives {
        &mut self.lives
    }

    /// Logs and counts the endpoints that have begun to leave since the last call, and returns them.
    pub fn take_departures(&mut self, now: Millis) -> Vec<Departure> {
        let departures = self.lives.take_departures(now);
        for departure in &departures {
            let state = self.state_of(&departure.service);
            state.count_notice(departure.notice.source);
        }
        departures
    }

    /// Sets [`ServiceView::is_cut_off`] of all services. True if this is a change.
    pub fn set_cut_off(&mut self, is_cut_off: bool) -> bool {
        std::mem::replace(&mut self.is_cut_off, is_cut_off) != is_cut_off
    }

    fn state_of(&mut self, service: &ServiceName) -> Arc<ServiceState> {
        let budget_rule = self.budget_rule;
        let state = self
            .states
            .entry(service.clone())
            .or_insert_with(|| Arc::new(ServiceState::new(budget_rule)));
        Arc::clone(state)
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

    /// The limits that endpoints named.
    pub fn rate_limits(&mut self) -> &mut RateLimits {
        &mut self.rate_limits
    }

    /// Logs the requested pauses that have ended by `now`.
    pub fn step_pauses(&mut self, now: Millis) {
        self.pauses.step(now);
    }

    /// The requested pauses in progress.
    pub fn pause_reports(&self, now: Millis) -> Vec<PauseReport> {
        self.pauses.reports(now)
    }

    /// Builds a view of the current state; an empty one if there is no configuration yet.
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
            evacuations: self.evacuations.clone(),
            freshness: Arc::clone(&self.freshness),
        }
    }

    fn service(&mut self, declared: &Service, now: Millis) -> ServiceView {
        let (name, keyed) = (declared.name.clone(), declared.keyed);
        let max_connections = declared.max_connections;
        let state = self.state_of(&name);
        let cold_limit = self.cold_rule.zip(declared.warmup_rate);
        let cold_limit = cold_limit.map(|(rule, rate)| ColdLimit::new(rule, rate));
        let (zone, pauses) = (&self.zone, &mut self.pauses);
        let (rate_limits, evacuations) = (&mut self.rate_limits, &self.evacuations);
        let endpoints_of_service = self
            .endpoints
            .values_mut()
            .filter(|k| k.entry.service == name);
        let mut members: Vec<Member> = endpoints_of_service
            .map(|known| {
                let backend = known.backend.get_or_insert_with(|| {
                    let queue = if keyed {
                        Arc::default()
                    } else {
                        Arc::clone(&state.queue)
                    };
                    let shared = Shared {
                        queue,
                        costs: Arc::clone(&state.costs),
                        shedding: Arc::clone(&state.shedding),
                        idle: Arc::clone(&state.idle),
                        pause: pauses.of(&known.entry.instance, &name, &state.pause_count),
                        rate_limit: rate_limits.of(&known.entry.instance),
                        max_connections,
                        connections: Arc::clone(&state.connections),
                        leaving: Arc::clone(&known.life),
                        leaving_run: Arc::clone(&known.leaving_run),
                    };
                    Arc::new(Backend::new(known.entry.clone(), shared, now))
                });
                let leaving = known.life.deadlines().map(|leaving| {
                    if keyed {
                        leaving.keyed_until
                    } else {
                        leaving.until
                    }
                });
                let evacuation = evacuations.of(&known.entry.zone);
                let evacuated = evacuation.map(|evacuation| evacuation.sends_until(keyed));
                let ends = [leaving, evacuated, known.removal_due];
                match ends.into_iter().flatten().min() {
                    Some(end) => backend.close_at(end),
                    None => backend.reopen(),
                }
                backend.set_cold(cold_limit, keyed, known.warmup_ends_at, now);
                Member {
                    backend: Arc::clone(backend),
                    is_local: known.entry.zone == *zone,
                    is_evacuated: evacuation.is_some(),
                    warmup_ends_at: known.warmup_ends_at,
                    distance: 0,
                }
            })
            .collect();
        members.sort_by(|a, b| instance_of(a).cmp(instance_of(b)));
        endpoint_set::set_distances(&mut members, &name, self.position);
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
            is_cut_off: self.is_cut_off,
            state,
        }
    }
}
