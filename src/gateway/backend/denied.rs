//! Keys that an endpoint denied owning, while the owners that the daemon knows still name it.
//!
//! Load answered: a few keys move away from an endpoint that holds many others. Requests for the
//! others are not held back.

use crate::{
    clock::Millis,
    collections::Map,
    gateway::model::{Key, KeyRange},
};

/// Time for which requests are held back after a response that denied owning their key.
const BACKOFF: Millis = Millis(150);
/// Time after the last such response for which it is remembered which keys were denied.
const MEMORY: Millis = Millis(1_000);

/// Denied keys by the token under which the endpoint was assigned them.
#[derive(Debug, Default)]
pub(super) struct DeniedKeys {
    by_token: Map<u64, Denied>,
}

/// The lowest and the highest denied key, and all between them, which probably move together.
#[derive(Clone, Copy, Debug)]
struct Denied {
    keys: KeyRange,
    until: Millis,
}

impl DeniedKeys {
    /// Records that the endpoint denied owning `key`, which was assigned to it under `token`.
    pub(super) fn record(&mut self, key: Key, token: u64, now: Millis) {
        self.by_token
            .retain(|_, denied| now < denied.until + MEMORY);
        let until = now + BACKOFF;
        let denied = self.by_token.entry(token).or_insert(Denied {
            keys: KeyRange {
                first: key,
                last: key,
            },
            until,
        });
        denied.keys.first = denied.keys.first.min(key);
        denied.keys.last = denied.keys.last.max(key);
        denied.until = until;
    }

    /// Until when requests for `key` are held back; `None` if they are not.
    pub(super) fn held_back_until(&self, key: Key, token: u64, now: Millis) -> Option<Millis> {
        let denied = self.by_token.get(&token)?;
        (now < denied.until && denied.keys.contains(key)).then_some(denied.until)
    }
}
