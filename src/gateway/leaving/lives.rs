//! The lives of endpoints that a daemon knows, with their notices.

use super::{LeavingLife, Notice, Notices, Source, life::Life};
use crate::{
    clock::Millis,
    collections::{Map, Set},
    gateway::model::EndpointInstance,
    world::ServiceName,
};
use std::sync::Arc;
use tokio::sync::Notify;

/// Number of lives without a registry entry that are kept. An entry may lapse and return while its
/// endpoint leaves.
const MAX_KEPT_LIVES: usize = 1_000;

/// Known lives. They are kept without a registry entry too, until a later life replaces them.
#[derive(Debug)]
pub struct Lives {
    drain_time: Millis,
    lives: Map<EndpointInstance, KnownLife>,
    changed: Arc<Notify>,
}

#[derive(Debug)]
struct KnownLife {
    life: Arc<Life>,
    /// Service of the registry entry; `None` without one.
    service: Option<ServiceName>,
    /// Whether the notice has been logged and counted.
    is_announced: bool,
}

/// A life that has begun to leave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Service of the endpoint.
    pub service: ServiceName,
    /// The earliest notice.
    pub notice: Notice,
}

impl Lives {
    /// Creates an empty set for endpoints that serve for `drain_time` after a notice.
    pub fn new(drain_time: Millis) -> Self {
        Self {
            drain_time,
            lives: Map::default(),
            changed: Arc::default(),
        }
    }

    /// Signals the first response of a life that says that it leaves.
    pub fn changed(&self) -> Arc<Notify> {
        Arc::clone(&self.changed)
    }

    /// Number of known lives, registered or not.
    pub fn len(&self) -> usize {
        self.lives.len()
    }

    /// Whether no life is known.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// The notices of a life that is registered for `service`.
    pub fn register(&mut self, instance: &EndpointInstance, service: &ServiceName) -> Arc<Life> {
        let known = self.known(instance);
        known.service = Some(service.clone());
        Arc::clone(&known.life)
    }

    /// Withdraws the notice of the registry, which says ready.
    pub fn withdraw_registry(&mut self, instance: &EndpointInstance, now: Millis) {
        let Some(known) = self.lives.get_mut(instance) else {
            return;
        };
        let Some(notice) = known.life.notices().first() else {
            return;
        };
        if known.life.withdraw_registry() && std::mem::take(&mut known.is_announced) {
            log::info!(target: "health", endpoint:% = instance.name,
                started = instance.started_at_ms, source:% = notice.source,
                age:% = notice.age_at(now);
                "Endpoint is ready again.");
        }
    }

    /// Records that the registry entry of a life was removed. Its notices are kept.
    pub fn remove(&mut self, instance: &EndpointInstance, now: Millis) {
        let Some(known) = self.lives.get_mut(instance) else {
            return;
        };
        known.service = None;
        if let Some(notice) = known.life.notices().first()
            && std::mem::take(&mut known.is_announced)
        {
            log_end(instance, notice, now);
        }
        self.drop_oldest();
    }

    /// Forgets a life that a later one has replaced.
    pub fn end(&mut self, instance: &EndpointInstance, now: Millis) {
        let Some(known) = self.lives.remove(instance) else {
            return;
        };
        if let Some(notice) = known.life.notices().first()
            && known.is_announced
        {
            log_end(instance, notice, now);
        }
    }

    /// Records the lives that another daemon has seen leaving, from its report to the controller.
    pub fn record_report(&mut self, reported: &[LeavingLife], now: Millis) {
        self.record_heard(reported, Millis::ZERO, now);
    }

    /// Records the lives that the controller's reply names. It was sent at `sent_at` at the
    /// earliest, and may have waited in this process.
    pub fn record_reply(&mut self, named: &[LeavingLife], sent_at: Millis, now: Millis) {
        self.record_heard(named, now.since(sent_at), now);
    }

    fn record_heard(&mut self, heard: &[LeavingLife], transit: Millis, now: Millis) {
        if heard.is_empty() {
            return;
        }
        for heard in heard {
            self.known(&heard.instance).life.record(Notice {
                source: Source::Report,
                age: heard.age + transit,
                seen_at: now,
            });
        }
        self.drop_oldest();
    }

    /// Registered lives of which a response has said that they leave.
    pub fn to_report(&self, now: Millis) -> Vec<LeavingLife> {
        let notice_of = |notices: Notices| notices.from_source(Source::Response);
        self.registered_leaving(notice_of, now).collect()
    }

    /// Registered lives that have said to some daemon that they leave, for the replies to reports. A
    /// notice that only the registry gives is left out: daemons have it from there, and can withdraw
    /// it only if there is no other.
    pub fn to_pass_on(&self, now: Millis) -> Vec<LeavingLife> {
        let notice_of = |notices: Notices| notices.first_response();
        self.registered_leaving(notice_of, now).collect()
    }

    fn registered_leaving(
        &self,
        notice_of: impl Fn(Notices) -> Option<Notice>,
        now: Millis,
    ) -> impl Iterator<Item = LeavingLife> {
        let registered = self
            .lives
            .iter()
            .filter(|(_, known)| known.service.is_some());
        let leaving = registered.filter(|(_, known)| known.life.is_leaving());
        leaving.filter_map(move |(instance, known)| {
            let notice = notice_of(known.life.notices())?;
            Some(LeavingLife {
                instance: instance.clone(),
                age: notice.age_at(now),
            })
        })
    }

    /// Records that the controller knows that these lives leave.
    pub fn set_reported(&self, reported: &[EndpointInstance]) {
        let known = reported
            .iter()
            .filter_map(|instance| self.lives.get(instance));
        known.for_each(|known| known.life.set_reported());
    }

    /// Logs the registered lives that have begun to leave since the last call, and returns them.
    pub fn take_departures(&mut self, now: Millis) -> Vec<Departure> {
        let mut departures = Vec::new();
        for (instance, known) in &mut self.lives {
            let (Some(service), false) = (&known.service, known.is_announced) else {
                continue;
            };
            if !known.life.is_leaving() {
                continue;
            }
            let Some(notice) = known.life.notices().first() else {
                continue;
            };
            known.is_announced = true;
            log::info!(target: "health", endpoint:% = instance.name,
                started = instance.started_at_ms, service:% = service,
                source:% = notice.source, age:% = notice.age_at(now);
                "Endpoint leaves.");
            departures.push(Departure {
                service: service.clone(),
                notice,
            });
        }
        departures
    }

    fn known(&mut self, instance: &EndpointInstance) -> &mut KnownLife {
        let (drain_time, changed) = (self.drain_time, &self.changed);
        let new = || KnownLife {
            life: Arc::new(Life::new(drain_time, Arc::clone(changed))),
            service: None,
            is_announced: false,
        };
        self.lives.entry(instance.clone()).or_insert_with(new)
    }

    fn drop_oldest(&mut self) {
        let is_unregistered = |known: &KnownLife| known.service.is_none();
        let unregistered = self.lives.values().filter(|known| is_unregistered(known));
        let excess = unregistered.count().saturating_sub(MAX_KEPT_LIVES);
        if excess == 0 {
            return;
        }
        let unregistered = self
            .lives
            .iter()
            .filter(|(_, known)| is_unregistered(known));
        let mut by_age: Vec<(Option<i128>, EndpointInstance)> = unregistered
            .map(|(instance, known)| {
                let first = known.life.notices().first();
                (first.map(|notice| notice.given_at_ms()), instance.clone())
            })
            .collect();
        // Lives without a notice come first.
        by_age.sort_unstable();
        for (_, instance) in &by_age[..excess] {
            self.lives.remove(instance);
        }
    }
}

/// Those of the lives that a reply can pass on that the report does not name.
pub fn not_reported(to_pass_on: &[LeavingLife], reported: &[LeavingLife]) -> Vec<LeavingLife> {
    let reported: Set<&EndpointInstance> = reported.iter().map(|life| &life.instance).collect();
    let others = to_pass_on
        .iter()
        .filter(|life| !reported.contains(&life.instance));
    others.cloned().collect()
}

fn log_end(instance: &EndpointInstance, notice: Notice, now: Millis) {
    log::info!(target: "health", endpoint:% = instance.name, started = instance.started_at_ms,
        source:% = notice.source, age:% = notice.age_at(now);
        "Leaving endpoint is no longer registered.");
}
