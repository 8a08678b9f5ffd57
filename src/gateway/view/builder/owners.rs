//! The owners of keys that a builder knows.

use super::ViewBuilder;
use crate::{gateway::owners::Owners, world::ServiceName};
use std::sync::Arc;

impl ViewBuilder {
    /// Sets the owners of a service's keys if `version` is newer than the current one, unless the row is
    /// an earlier one, from a copy of the store. True if they were set.
    pub fn set_owners(&mut self, service: ServiceName, version: u64, owners: Owners) -> bool {
        let is_newer = self.owners.get(&service).is_none_or(|(current, known)| {
            version > *current && owners.latest_token() >= known.latest_token()
        });
        if is_newer {
            self.owners.insert(service, (version, Arc::new(owners)));
        }
        is_newer
    }

    /// The owners of a service's keys with the version of their row; `None` if they are unknown.
    pub fn owners_of(&self, service: &ServiceName) -> Option<(u64, &Arc<Owners>)> {
        let (version, owners) = self.owners.get(service)?;
        Some((*version, owners))
    }

    /// The owners of all services' keys.
    pub fn owners(&self) -> Vec<(ServiceName, Arc<Owners>)> {
        let owners = self.owners.iter();
        owners
            .map(|(name, (_, owners))| (name.clone(), Arc::clone(owners)))
            .collect()
    }

    /// The latest token of the owners of each service.
    pub fn owner_tokens(&self) -> Vec<(ServiceName, u64)> {
        let owners = self.owners.iter();
        owners
            .map(|(name, (_, owners))| (name.clone(), owners.latest_token()))
            .collect()
    }

    /// Versions of the known owner rows by service.
    pub fn owner_versions(&self) -> Vec<(ServiceName, u64)> {
        let versions = self.owners.iter();
        versions
            .map(|(name, (version, _))| (name.clone(), *version))
            .collect()
    }
}
