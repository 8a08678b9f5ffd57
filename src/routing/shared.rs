//! State that all requests share.

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

/// Bytes of requests' bodies that the daemon holds at once.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024 * 1024;

/// What all requests share.
#[derive(Debug)]
pub struct Shared {
    /// This daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// What the daemon knows.
    pub directory: Directory,
    /// Counters.
    pub metrics: Metrics,
    /// State of targets.
    pub targets: Arc<Targets>,
    /// Targets that do not check grants.
    pub fronts: Fronts,
    /// The journal.
    pub journal: Journal,
    /// Refusals for the operator's tool.
    pub recent: RecentRefusals,
    /// Bound on log lines about refusals.
    pub log_limit: LogLimit,
    body_bytes: Arc<Semaphore>,
    budgets: Mutex<Map<ServiceName, RetryBudget>>,
    /// Journaled requests that run apart from their connections.
    detached: watch::Sender<usize>,
}

impl Shared {
    /// Creates the state. It needs the runtime that it will be used on.
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

    /// Reserves memory for a body of this length, if it is known.
    ///
    /// # Errors
    /// [`Code::Overloaded`] if the daemon holds as many bytes as it may.
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

    /// Waits until no journaled request runs.
    pub async fn wait_until_idle(&self) {
        let mut detached = self.detached.subscribe();
        // The sender is part of `self`, so waiting cannot fail.
        let _ = detached.wait_for(|&count| count == 0).await;
    }

    /// Counts a first try, which earns a share of a retry.
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

    /// Spends a retry after `result` if one is left.
    pub fn try_spend_retry(&self, service: &ServiceName, result: &ExchangeResult) -> bool {
        let mut budgets = self.budgets();
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.try_spend(result))
    }

    /// Requests that may wait for one target.
    pub fn queue_length(&self, snapshot: &Snapshot) -> usize {
        let config = snapshot.config.as_ref();
        config.map_or(0, |config| config.preset.queue_length as usize)
    }

    fn budgets(&self) -> MutexGuard<'_, Map<ServiceName, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a detached request while it exists.
#[derive(Debug)]
pub struct DetachedGuard(pub Arc<Shared>);

impl DetachedGuard {
    /// Counts one more.
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
