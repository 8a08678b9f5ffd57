//! State shared by all requests.

use super::{
    exchange::ExchangeResult,
    front::Fronts,
    journal::Journal,
    log_limit::LogLimit,
    path::RequestPathContext,
    refusal::{Code, RecentRefusals},
    request::MAX_BODY_BYTES,
    retry::RetryBudget,
    targets::{Policies, Targets},
};
use crate::{
    clock::Clock,
    collections::Map,
    entry::{directory::Directory, metrics::Metrics, snapshot::Snapshot},
    world::{Link, ServiceName},
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

/// Memory for the request bodies that the daemon buffers at once, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024 * 1024;

/// State shared by all requests.
#[derive(Debug)]
pub struct Shared {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// Configuration, targets and routing tables as the daemon knows them.
    pub directory: Directory,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// State of all targets.
    pub targets: Arc<Targets>,
    /// Leases held on behalf of targets that do not check grants.
    pub fronts: Fronts,
    /// Journal of requests with idempotency keys.
    pub journal: Journal,
    /// Recent refusals, for the operator's tool.
    pub recent: RecentRefusals,
    /// Rate limit of log lines about refusals.
    pub log_limit: LogLimit,
    body_bytes: Arc<Semaphore>,
    budgets: Mutex<Map<ServiceName, RetryBudget>>,
    /// Number of requests that run detached from their connections.
    detached: watch::Sender<usize>,
}

impl Shared {
    /// Creates the state. It must be called on the runtime that will serve the requests.
    pub fn new(cx: &RequestPathContext, policies: Policies, fronts: Fronts) -> Self {
        Self {
            link: cx.link.clone(),
            clock: cx.clock,
            directory: cx.directory.clone(),
            metrics: cx.metrics.clone(),
            targets: Arc::new(Targets::new(policies, cx.clock)),
            fronts,
            journal: Journal::start(cx.store.clone(), cx.link.clone(), cx.clock),
            recent: cx.recent.clone(),
            log_limit: LogLimit::default(),
            body_bytes: Arc::new(Semaphore::new(MAX_BUFFERED_BODY_BYTES)),
            budgets: Mutex::default(),
            detached: watch::Sender::new(0),
        }
    }

    /// Reserves memory for a body of `length` bytes, or of the largest size if the length is unknown.
    /// Returns `None` for an empty body.
    ///
    /// # Errors
    /// [`Code::Overloaded`] if the memory for request bodies is used up.
    pub fn reserve_body(
        &self,
        length: Option<u64>,
    ) -> Result<Option<Arc<OwnedSemaphorePermit>>, Code> {
        let most = MAX_BODY_BYTES as u64;
        let bytes = length.unwrap_or(most).min(most) as u32;
        if bytes == 0 {
            return Ok(None);
        }
        let permit = Arc::clone(&self.body_bytes).try_acquire_many_owned(bytes);
        permit
            .map(|permit| Some(Arc::new(permit)))
            .map_err(|_| Code::Overloaded)
    }

    /// Waits until no detached request is in flight.
    pub async fn wait_until_idle(&self) {
        let mut detached = self.detached.subscribe();
        // The sender is part of `self`, so the wait cannot fail.
        let _ = detached.wait_for(|&count| count == 0).await;
    }

    /// Counts a first attempt, which adds to the service's retry budget.
    pub fn count_first_attempt(&self, service: &ServiceName) {
        let snapshot = self.directory.snapshot().load();
        let percent = snapshot
            .config
            .as_ref()
            .map_or(0, |c| c.preset.retry_percent);
        let mut budgets = self.budgets();
        match budgets.get_mut(service) {
            Some(budget) => budget.record_first_attempt(percent),
            None => budgets
                .entry(service.clone())
                .or_default()
                .record_first_attempt(percent),
        }
    }

    /// Takes a retry after `result` from the service's budget; false if it is used up.
    pub fn try_spend_retry(&self, service: &ServiceName, result: &ExchangeResult) -> bool {
        let mut budgets = self.budgets();
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.try_spend(result))
    }

    /// Largest number of requests that may be queued for one target; 0 without a configuration.
    pub fn queue_length(&self, snapshot: &Snapshot) -> usize {
        let config = snapshot.config.as_ref();
        config.map_or(0, |config| config.preset.queue_length as usize)
    }

    fn budgets(&self) -> MutexGuard<'_, Map<ServiceName, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts a detached request for as long as it exists.
#[derive(Debug)]
pub struct DetachedGuard(pub Arc<Shared>);

impl DetachedGuard {
    /// Adds one detached request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.detached.send_modify(|count| *count += 1);
        Self(Arc::clone(shared))
    }
}

impl Drop for DetachedGuard {
    fn drop(&mut self) {
        self.0.detached.send_modify(|count| *count -= 1);
    }
}
