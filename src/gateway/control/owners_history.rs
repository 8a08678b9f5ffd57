//! Recent versions of owners, from which the controller computes the changes that daemons lack.

use crate::{
    collections::Map,
    gateway::owners::Owners,
    peer::{
        codec::{self, CodecError},
        message::OwnersUpdate,
    },
    world::ServiceName,
};
use std::{collections::VecDeque, sync::Arc};

/// Number of versions kept for each service. A daemon with an older one gets all owners.
const KEPT_VERSIONS: usize = 8;

/// Recent versions of each service's owners.
#[derive(Debug, Default)]
pub struct OwnersHistory {
    services: Map<ServiceName, Versions>,
}

#[derive(Debug, Default)]
struct Versions {
    kept: VecDeque<(u64, Arc<Owners>)>,
    /// Encoded changes to the newest version, by the version that they start from; 0 stands for the
    /// whole row.
    encoded: Map<u64, Arc<[u8]>>,
}

impl OwnersHistory {
    /// Adds a new version. Only a daemon that sends owners to others keeps earlier ones.
    pub fn add(
        &mut self,
        service: &ServiceName,
        version: u64,
        owners: Arc<Owners>,
        is_sender: bool,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        versions.encoded.clear();
        versions.kept.push_back((version, owners));
        let kept = if is_sender { KEPT_VERSIONS } else { 1 };
        while versions.kept.len() > kept {
            versions.kept.pop_front();
        }
    }

    /// Whether a daemon that has the versions `known` lacks changes.
    pub fn has_changes_after(&self, known: &[(ServiceName, u64)]) -> bool {
        self.services
            .iter()
            .any(|(service, versions)| versions.newest() > version_of(known, service))
    }

    /// The updates that a daemon with the versions `known` lacks.
    pub fn changes_after(&mut self, known: &[(ServiceName, u64)]) -> Vec<OwnersUpdate> {
        let outdated = self.services.iter_mut().filter_map(|(service, versions)| {
            let known = version_of(known, service);
            let newest = versions.newest();
            (newest > known).then_some((service, known, newest, versions))
        });
        let updates = outdated.filter_map(|(service, known, newest, versions)| {
            let base = versions.find(known).map(|_| known);
            let row = versions
                .encoded(base)
                .inspect_err(|e| {
                    log::error!(target: "peer", service:% = service, error:% = e;
                        "Owners cannot be encoded; daemons do not receive them.");
                })
                .ok()?;
            Some(OwnersUpdate {
                service: service.clone(),
                version: newest,
                base,
                row: row.to_vec(),
            })
        });
        updates.collect()
    }
}

impl Versions {
    fn newest(&self) -> u64 {
        self.kept.back().map_or(0, |(version, _)| *version)
    }

    fn find(&self, version: u64) -> Option<&Arc<Owners>> {
        let found = self.kept.iter().find(|(kept, _)| *kept == version);
        found.map(|(_, owners)| owners)
    }

    fn encoded(&mut self, base: Option<u64>) -> Result<Arc<[u8]>, CodecError> {
        let key = base.unwrap_or(0);
        if let Some(row) = self.encoded.get(&key) {
            return Ok(Arc::clone(row));
        }
        let empty = Arc::default();
        let newest = self.kept.back().map_or(&empty, |(_, owners)| owners);
        let row = match self.find(key) {
            Some(earlier) => codec::encode(&newest.change_since(earlier))?,
            None => newest.encode()?,
        };
        let row: Arc<[u8]> = Arc::from(&row[..]);
        self.encoded.insert(key, Arc::clone(&row));
        Ok(row)
    }
}

fn version_of(known: &[(ServiceName, u64)], service: &ServiceName) -> u64 {
    let found = known.iter().find(|(name, _)| name == service);
    found.map_or(0, |(_, version)| *version)
}
