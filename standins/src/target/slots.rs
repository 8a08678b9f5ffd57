//! Slots of an endpoint and its queue.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

/// Why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoSlot {
    /// Slots and queue are full.
    Full,
    /// The deadline passed in the queue.
    Late,
}

/// Slots and queue of an endpoint.
#[derive(Debug)]
pub struct Slots {
    count: usize,
    queue: usize,
    free: Arc<Semaphore>,
    waiting: AtomicUsize,
}

/// Counts a waiting request for as long as it lives.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Creates `count` free slots with a queue of `queue` requests.
    pub fn new(count: usize, queue: usize) -> Self {
        Self {
            count,
            queue,
            free: Arc::new(Semaphore::new(count)),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Slots taken.
    pub fn taken(&self) -> usize {
        self.count - self.free.available_permits()
    }

    /// Takes a slot, waiting in the queue until `deadline` has passed.
    ///
    /// # Errors
    /// [`NoSlot`] if none became free.
    pub async fn take(&self, deadline: Option<Duration>) -> Result<OwnedSemaphorePermit, NoSlot> {
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(permit);
        }
        if self.waiting.fetch_add(1, Ordering::Relaxed) >= self.queue {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(NoSlot::Full);
        }
        let _waiting = Waiting(&self.waiting);
        let permit = Arc::clone(&self.free).acquire_owned();
        match timeout(deadline.unwrap_or(Duration::MAX), permit).await {
            Ok(permit) => Ok(permit.expect("the semaphore is never closed")),
            Err(_) => Err(NoSlot::Late),
        }
    }
}
