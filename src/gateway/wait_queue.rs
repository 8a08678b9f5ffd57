//! Priority queue of requests that wait for an endpoint with spare capacity.
//!
//! Load answered: a key of an endpoint that gets far more requests than the endpoint serves. Requests
//! for its other keys do not wait behind all of them, but behind one for each that waits for their
//! own key.

use super::model::Key;
use crate::collections::Map;
use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};
use tokio::sync::oneshot;

/// Position in a [`WaitQueue`]: priority (lowest value first), then the number of requests that
/// waited for the same key, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    priority: u32,
    waiting_for_key: u32,
    number: u64,
    key: Option<Key>,
}

/// Number of tickets that were issued for all queues. A request keeps its ticket when its key moves
/// to an endpoint with another queue, so tickets are unique and ordered across queues.
static ISSUED: AtomicU64 = AtomicU64::new(0);

#[derive(Debug)]
struct Queued {
    /// Expected work, as a multiple of the mean.
    work: f64,
    tx: oneshot::Sender<()>,
}

#[derive(Debug, Default)]
struct State {
    waiting: BTreeMap<Ticket, Queued>,
    /// Number of queued requests by key.
    by_key: Map<Key, u32>,
}

impl State {
    fn insert(&mut self, ticket: Ticket, queued: Queued) {
        self.waiting.insert(ticket, queued);
        if let Some(key) = ticket.key {
            *self.by_key.entry(key).or_default() += 1;
        }
    }

    /// Counts a request as no longer queued.
    fn uncount(&mut self, ticket: Ticket) {
        let Some(key) = ticket.key else {
            return;
        };
        if let Some(count) = self.by_key.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.by_key.remove(&key);
            }
        }
    }
}

/// Queued requests of a service, or of a single endpoint if the service is keyed.
#[derive(Debug, Default)]
pub struct WaitQueue {
    state: Mutex<State>,
}

/// A queued request; dropping it removes the request from its [`WaitQueue`].
#[derive(Debug)]
pub struct Waiter<'a> {
    queue: &'a WaitQueue,
    ticket: Ticket,
    woken: oneshot::Receiver<()>,
}

impl WaitQueue {
    /// Issues the next ticket for a request of this priority; 0 is the most urgent.
    pub fn issue_ticket(&self, priority: u32, key: Option<Key>) -> Ticket {
        self.ticket(priority, key, ISSUED.fetch_add(1, Ordering::Relaxed))
    }

    /// The ticket that [`Self::issue_ticket`] would issue.
    pub fn next_ticket(&self, priority: u32, key: Option<Key>) -> Ticket {
        self.ticket(priority, key, ISSUED.load(Ordering::Relaxed))
    }

    fn ticket(&self, priority: u32, key: Option<Key>, number: u64) -> Ticket {
        let waiting = key.and_then(|key| self.state().by_key.get(&key).copied());
        Ticket {
            priority,
            waiting_for_key: waiting.unwrap_or(0),
            number,
            key,
        }
    }

    /// Whether a request ahead of `ticket` is queued.
    pub fn has_earlier(&self, ticket: Ticket) -> bool {
        let state = self.state();
        state
            .waiting
            .first_key_value()
            .is_some_and(|(first, _)| *first < ticket)
    }

    /// Number of queued requests ahead of `ticket`.
    pub fn ahead_of(&self, ticket: Ticket) -> usize {
        self.state().waiting.range(..ticket).count()
    }

    /// Expected work of the queued requests ahead of `ticket`, as a multiple of the mean of one.
    pub fn work_ahead_of(&self, ticket: Ticket) -> f64 {
        let state = self.state();
        let ahead = state.waiting.range(..ticket);
        ahead.map(|(_, queued)| queued.work).sum()
    }

    /// Expected work of all queued requests, as a multiple of the mean of one.
    pub fn work(&self) -> f64 {
        self.state().waiting.values().map(|q| q.work).sum()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.state().waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request to the queue at its ticket's position. `work` is its expected work as a
    /// multiple of the mean.
    pub fn enqueue(&self, ticket: Ticket, work: f64) -> Waiter<'_> {
        let (tx, woken) = oneshot::channel();
        self.state().insert(ticket, Queued { work, tx });
        Waiter {
            queue: self,
            ticket,
            woken,
        }
    }

    /// Wakes the first queued request, which leaves the queue. Requests that were cancelled are
    /// skipped.
    pub fn wake_one(&self) {
        let mut state = self.state();
        while let Some((ticket, queued)) = state.waiting.pop_first() {
            state.uncount(ticket);
            if queued.tx.send(()).is_ok() {
                return;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiter<'_> {
    /// Waits for [`WaitQueue::wake_one`].
    pub async fn woken(&mut self) {
        // The sender is dropped only after a send, or together with the queue.
        let _ = (&mut self.woken).await;
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.state();
        if state.waiting.remove(&self.ticket).is_some() {
            state.uncount(self.ticket);
        }
    }
}
