//! Requests that wait until an endpoint has room, the most urgent first.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};
use tokio::sync::oneshot;

/// The order of waiting requests: by priority, then by arrival.
pub type Turn = (u32, u64);

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Turn, oneshot::Sender<()>>,
    next: u64,
}

/// Waiting requests of a service, or of one endpoint that owns keys.
#[derive(Debug, Default)]
pub struct WaitQueue {
    state: Mutex<State>,
}

/// A place in a [`WaitQueue`], left when it is dropped.
#[derive(Debug)]
pub struct Place<'a> {
    queue: &'a WaitQueue,
    turn: Turn,
    woken: oneshot::Receiver<()>,
}

impl WaitQueue {
    /// Draws the turn of a request that arrives now.
    pub fn turn(&self, priority: u32) -> Turn {
        let mut state = self.state();
        state.next += 1;
        (priority, state.next)
    }

    /// Whether a request waits that comes before `turn`.
    pub fn is_behind(&self, turn: Turn) -> bool {
        let state = self.state();
        state
            .waiting
            .first_key_value()
            .is_some_and(|(first, _)| *first < turn)
    }

    /// Requests that wait and come before `turn`.
    pub fn ahead_of(&self, turn: Turn) -> usize {
        self.state().waiting.range(..turn).count()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.state().waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Joins the queue.
    pub fn join(&self, turn: Turn) -> Place<'_> {
        let (tx, woken) = oneshot::channel();
        self.state().waiting.insert(turn, tx);
        Place {
            queue: self,
            turn,
            woken,
        }
    }

    /// Wakes the first request in the queue.
    pub fn wake_one(&self) {
        let mut state = self.state();
        while let Some((_, tx)) = state.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place<'_> {
    /// Waits to be woken.
    pub async fn woken(&mut self) {
        // The sender is dropped only after it was used, or with the queue itself.
        let _ = (&mut self.woken).await;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.queue.state().waiting.remove(&self.turn);
    }
}
