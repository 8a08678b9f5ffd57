//! Front daemons: a daemon that holds the lease in place of a target that does not check grants.

mod forward;
mod permit;

pub use forward::Receiver;
pub use permit::FrontPermit;

use crate::{
    clock::{Clock, Millis},
    collections::Map,
    ownership::lease::LeaseHolder,
    partition::Partition,
    peer::{
        message::{ForwardReply, ForwardRequest},
        service::PeerHandle,
    },
    target_api::{GrantReply, GrantRequest},
    world::{Incarnation, VmName},
};
use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Kept back from the lease for the way of a request to the target, whose own count of the
/// deadline starts only when the request arrives.
const LEASE_MARGIN: Millis = Millis(50);
/// Time between checks whether all leases have been returned.
const RETURN_POLL: Duration = Duration::from_millis(10);

/// The leases that this daemon holds in place of targets. Clones share them.
#[derive(Clone)]
pub struct Fronts {
    shared: Arc<Shared>,
}

struct Shared {
    incarnation: Incarnation,
    clock: Clock,
    holders: Mutex<Map<VmName, LeaseHolder>>,
    receiver: OnceLock<Receiver>,
    peers: Arc<OnceLock<PeerHandle>>,
}

impl fmt::Debug for Fronts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fronts").finish_non_exhaustive()
    }
}

impl Fronts {
    /// Creates the fronts of this run of the daemon, without leases. `peers` may be set later;
    /// until then no request can be forwarded.
    pub fn new(incarnation: Incarnation, clock: Clock, peers: Arc<OnceLock<PeerHandle>>) -> Self {
        Self {
            shared: Arc::new(Shared {
                incarnation,
                clock,
                holders: Mutex::default(),
                receiver: OnceLock::new(),
                peers,
            }),
        }
    }

    /// Takes a grant for `target`.
    pub fn take_grant(&self, target: &VmName, req: &GrantRequest) -> GrantReply {
        let now = self.shared.clock.now();
        let mut holders = self.shared.lock();
        let holder = holders
            .entry(target.clone())
            .or_insert_with(|| LeaseHolder::new(self.shared.incarnation));
        holder.grant(req, now)
    }

    /// Admits one request for `target`, which must end before the permit's deadline; `None` if
    /// this daemon does not hold the lease for the partition and ownership epoch.
    pub fn begin(
        &self,
        target: &VmName,
        partition: Partition,
        ownership_epoch: u64,
    ) -> Option<FrontPermit> {
        let now = self.shared.clock.now();
        let mut holders = self.shared.lock();
        let holder = holders.get_mut(target)?;
        holder.begin(partition, ownership_epoch, now).ok()?;
        let left = holder.lease_left(now).since(LEASE_MARGIN);
        let deadline = now + left;
        Some(FrontPermit::new(
            self.clone(),
            target.clone(),
            partition,
            deadline,
        ))
    }

    /// Waits until the controllers have taken back all leases, or until `limit` has passed;
    /// returns whether they have. Their keys are then served by other fronts.
    pub fn wait_returned(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while !self.is_returned() {
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(RETURN_POLL);
        }
        true
    }

    fn is_returned(&self) -> bool {
        let now = self.shared.clock.now();
        let holders = self.shared.lock();
        holders
            .values()
            .all(|h| h.owned().is_empty() || h.lease_left(now) == Millis::ZERO)
    }

    fn end(&self, target: &VmName, partition: Partition) {
        if let Some(holder) = self.shared.lock().get_mut(target) {
            holder.end(partition);
        }
    }

    /// Sets what runs forwarded requests.
    pub fn receive_with(&self, receiver: Receiver) {
        if self.shared.receiver.set(receiver).is_err() {
            log::error!(target: "request", "Forwarded requests have two receivers.");
        }
    }

    /// Runs a request that another daemon has forwarded.
    pub async fn receive(&self, req: ForwardRequest) -> ForwardReply {
        match self.shared.receiver.get() {
            Some(receiver) => receiver.run(req).await,
            None => forward::refused(),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Map<VmName, LeaseHolder>> {
        self.holders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
