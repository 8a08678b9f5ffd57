//! The registered endpoints, and what they show about the owners of keys.

use super::Controller;
use crate::{
    collections::Set,
    gateway::model::{EndpointEntry, EndpointInstance},
    world::ServiceName,
};
use std::{net::SocketAddr, sync::Arc};

impl Controller {
    pub(super) fn set_endpoints(&mut self, entries: Vec<EndpointEntry>) {
        let owned: Set<EndpointInstance> = self
            .services
            .values()
            .flat_map(|managed| managed.ranges.iter())
            .filter_map(|range| range.owner.clone())
            .collect();
        self.instances_at.clear();
        for entry in &entries {
            // An owner holds its keys at the address where it was granted them, whatever its row says.
            if !owned.contains(&entry.instance) || !self.addrs.contains_key(&entry.instance) {
                self.addrs.insert(entry.instance.clone(), entry.addr);
            }
            let registered = RegisteredInstance {
                instance: entry.instance.clone(),
                service: entry.service.clone(),
            };
            let at_address = self.instances_at.entry(entry.addr).or_default();
            at_address.push(registered);
        }
        self.endpoints = entries
            .into_iter()
            .map(|entry| (Arc::clone(&entry.instance.name), entry))
            .collect();
        let endpoints = &self.endpoints;
        self.addrs.retain(|instance, _| {
            owned.contains(instance)
                || endpoints
                    .get(&instance.name)
                    .is_some_and(|e| e.instance == *instance)
        });
        self.evacuating.plan(self.endpoints.values());
    }

    /// Status of an endpoint instance that owns keys of `service`.
    pub(super) fn owner_status(
        &self,
        service: &ServiceName,
        instance: &EndpointInstance,
    ) -> OwnerStatus {
        let addr = self.addrs.get(instance);
        let status = addr.and_then(|addr| self.status_at_address(service, instance, *addr));
        if let Some(status) = status {
            return status;
        }
        match self.entry_of(instance) {
            Some(entry) if addr.is_some_and(|addr| *addr != entry.addr) => OwnerStatus::Leaving,
            Some(entry) if !entry.draining && entry.service == *service => OwnerStatus::Present,
            // A later instance under its name at another address shows that it has ended, but yet
            // another one may have taken grants at its address.
            _ => OwnerStatus::Leaving,
        }
    }

    /// Status of an instance if another one was registered at its address, `addr`, after it.
    ///
    /// Rows show the order of two registered instances, since a running endpoint keeps writing its
    /// row. Start times come from the clocks of the endpoints, which may be set back between two
    /// instances, so a later start time alone does not end an instance that is registered.
    pub(super) fn status_at_address(
        &self,
        service: &ServiceName,
        instance: &EndpointInstance,
        addr: SocketAddr,
    ) -> Option<OwnerStatus> {
        let latest = self.latest_at(addr)?;
        let starts_later = latest.instance.started_at_ms > instance.started_at_ms;
        let is_registered = self.entry_of(instance).is_some();
        if latest.instance == *instance || !(starts_later || is_registered) {
            return None;
        }
        Some(OwnerStatus::Replaced {
            by_same_service: latest.service == *service,
        })
    }

    /// The instance at an address whose row is the newest. Rows of services that are not declared do
    /// not count: whoever wrote them need not be an endpoint.
    fn latest_at(&self, addr: SocketAddr) -> Option<&RegisteredInstance> {
        let mut newest_first = self.instances_at.get(&addr)?.iter().rev();
        newest_first.find(|registered| self.is_declared(&registered.service))
    }

    fn is_declared(&self, service: &ServiceName) -> bool {
        self.declared_plain.contains(service) || self.declared.contains(service)
    }

    /// The entry of an instance; `None` unless it is registered.
    fn entry_of(&self, instance: &EndpointInstance) -> Option<&EndpointEntry> {
        let entry = self.endpoints.get(&instance.name);
        entry.filter(|entry| entry.instance == *instance)
    }

    /// Whether the endpoint can be granted keys at the address in its row: the row is the newest one
    /// with that address, and the endpoint holds no keys at another one.
    pub(super) fn is_reached_at_address(&self, entry: &EndpointEntry) -> bool {
        let latest = self.latest_at(entry.addr);
        latest.is_some_and(|latest| latest.instance == entry.instance)
            && self.addrs.get(&entry.instance) == Some(&entry.addr)
    }
}

/// An instance of an endpoint that is registered at an address.
#[derive(Clone, Debug)]
pub(super) struct RegisteredInstance {
    instance: EndpointInstance,
    service: ServiceName,
}

/// Status of an endpoint that owns keys, as far as the registry shows it. A row is a statement of
/// whoever wrote it, so none of these ends a grant: that takes the end of the lease, or an answer
/// from the owner's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerStatus {
    /// It is registered for the service and not draining.
    Present,
    /// It is draining, has to give up its keys because its zone is evacuated, or its entry is gone or
    /// names another service or address; it may still hold its keys.
    Leaving,
    /// A later instance is registered at its address. Commands to the owner may have reached the
    /// later one.
    Replaced {
        /// Whether the later one can own keys of the same service.
        by_same_service: bool,
    },
}
