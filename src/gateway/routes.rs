//! Route lookup by host and path prefix, and the traffic split of a route.

use super::{
    model::{Route, Share},
    patience::Patience,
};
use crate::collections::Map;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Routes by host in lower case, ordered by descending length of the prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: Map<Arc<str>, Vec<Arc<RouteEntry>>>,
}

/// A route with the state of its traffic split.
#[derive(Debug)]
pub struct RouteEntry {
    /// The declared route.
    pub route: Route,
    /// Longest time that its callers state to have.
    pub patience: Patience,
    requests: AtomicU64,
}

/// Fractional part of the golden ratio. Its multiples are a low-discrepancy sequence on the unit
/// interval, so even a short run of consecutive requests is split by weight.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

impl RouteEntry {
    fn new(route: Route) -> Self {
        Self {
            route,
            patience: Patience::default(),
            requests: AtomicU64::new(u64::from(rand::random::<u16>())),
        }
    }

    /// The share that the next request goes to; `None` if there are no shares, or several without a
    /// positive weight.
    pub fn next_share(&self) -> Option<&Share> {
        self.share_of(|| self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// The share that [`Self::next_share`] would return.
    pub fn peek_share(&self) -> Option<&Share> {
        self.share_of(|| self.requests.load(Ordering::Relaxed))
    }

    fn share_of(&self, number: impl FnOnce() -> u64) -> Option<&Share> {
        let shares = &self.route.shares;
        if shares.len() < 2 {
            return shares.first();
        }
        let total: f64 = shares.iter().map(|share| share.weight).sum();
        let number = number();
        let mut point = (number as f64 * GOLDEN_RATIO_FRACTION).fract() * total;
        for share in shares {
            if point < share.weight {
                return Some(share);
            }
            point -= share.weight;
        }
        shares.iter().rfind(|share| share.weight > 0.0)
    }
}

impl RouteTable {
    /// Builds the lookup table.
    pub fn new(routes: &[Route]) -> Self {
        let mut by_host: Map<Arc<str>, Vec<Arc<RouteEntry>>> = Map::default();
        for route in routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            let entry = Arc::new(RouteEntry::new(route.clone()));
            by_host.entry(host).or_default().push(entry);
        }
        for entries in by_host.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self { by_host }
    }

    /// The route of `host` with the longest prefix that matches `path`. The host may have a port,
    /// and its case is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let entries = match self.by_host.get(host) {
            Some(entries) => entries,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        entries
            .iter()
            .find(|entry| path.starts_with(&*entry.route.prefix))
    }
}
