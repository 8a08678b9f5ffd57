//! The registered instance of each endpoint name, and which measurements belong to it.
//!
//! Daemons report what they measured by endpoint name. A report states up to which version the
//! daemon knows the endpoints, which shows whether it measured the registered instance or an
//! earlier one.

use super::{load_stats::LoadReport, model::EndpointInstance};
use crate::collections::Map;
use std::sync::Arc;

/// An instance and the version of its row when it was first observed.
#[derive(Clone, Copy, Debug)]
struct Registered {
    started_at_ms: u64,
    since_version: u64,
}

/// The registered instance of each endpoint name.
#[derive(Debug, Default)]
pub struct CurrentInstances {
    instances: Map<Arc<str>, Registered>,
}

impl CurrentInstances {
    /// Records that `instance` is registered at this version of its row. True if it was not
    /// registered before, so that measurements under its name are of an earlier instance.
    pub fn record(&mut self, instance: &EndpointInstance, version: u64) -> bool {
        let known = self.instances.get(&instance.name);
        let is_new = known.is_none_or(|known| known.started_at_ms != instance.started_at_ms);
        if is_new {
            let registered = Registered {
                started_at_ms: instance.started_at_ms,
                since_version: version,
            };
            self.instances
                .insert(Arc::clone(&instance.name), registered);
        }
        is_new
    }

    /// Records that no instance is registered under `name`.
    pub fn remove(&mut self, name: &str) {
        self.instances.remove(name);
    }

    /// Removes what was measured at earlier instances from the report of a daemon that knows the
    /// endpoints up to `known_version`.
    pub fn retain_current(&self, load: &mut LoadReport, known_version: u64) {
        let is_current = |name: &Arc<str>| {
            let registered = self.instances.get(name);
            registered.is_none_or(|registered| registered.since_version <= known_version)
        };
        for service in &mut load.services {
            service
                .processing
                .retain(|processing| is_current(&processing.endpoint));
        }
        load.relative_latencies
            .retain(|latency| is_current(&latency.endpoint));
    }
}
