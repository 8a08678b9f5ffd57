//! The open connections to one address, and what they prove of the process there.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// The open connections to one address. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenConnections {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// When each connection was opened, by its number.
    opened_at: BTreeMap<u64, Instant>,
    next: u64,
    /// When no connection was last left open.
    none_left_at: Option<Instant>,
}

/// An open connection; dropping it records its end.
#[derive(Debug)]
pub(super) struct OpenConnection {
    all: OpenConnections,
    number: u64,
}

impl OpenConnections {
    /// Records that a connection was opened now.
    pub(super) fn add(&self) -> OpenConnection {
        let mut state = self.state();
        let number = state.next;
        state.next += 1;
        state.opened_at.insert(number, Instant::now());
        drop(state);
        OpenConnection {
            all: self.clone(),
            number,
        }
    }

    /// Whether all connections had ended at some time, and one that was opened then is still open
    /// and older than `age`. Since the end of a process ends its connections, the process that
    /// listened there `age` ago probably is the one that listens now, and may be another than before.
    pub(super) fn span(&self, age: Duration) -> bool {
        let state = self.state();
        let Some(none_left_at) = state.none_left_at else {
            return false;
        };
        let mut opened_at = state.opened_at.values();
        opened_at.any(|at| *at >= none_left_at && at.elapsed() >= age)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.all.state();
        state.opened_at.remove(&self.number);
        if state.opened_at.is_empty() {
            state.none_left_at = Some(Instant::now());
        }
    }
}
