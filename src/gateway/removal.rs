//! When an endpoint is removed whose registry entry is missing.
//!
//! An entry is missing because its endpoint has left, or because it lapsed while the store was down.
//! Running endpoints write lapsed entries again soon after the store is back, so removing them at once
//! would leave callers without endpoints. An endpoint that has left serves only for its drain time after
//! the store's acknowledgement, so waiting for its entry would lose requests. A failed call of one daemon
//! does not tell the two apart, while the time for which the store answered no daemon does.

use super::{
    leaving::SENDING_MARGIN,
    store_contact::{Silence, StoreContact},
};
use crate::clock::Millis;

/// Time from the end of an outage of the store within which running endpoints have written lapsed
/// entries again.
const RETURN_TIME: Millis = Millis(2_100);
/// Time for which entries are awaited that vanished together while the store answered.
const MASS_RETURN_TIME: Millis = Millis(1_500);
/// Percentage of all entries that have to vanish at once for the loss to be attributed to the store
/// and not to the endpoints.
const MASS_PERCENT: usize = 50;
/// Fewest entries that count as a mass removal.
const MIN_MASS: usize = 3;

/// Whether so many of the `known` entries vanished at once that the store may have lost them.
pub fn is_mass_removal(removed: usize, known: usize) -> bool {
    removed >= MIN_MASS && removed * 100 >= known * MASS_PERCENT
}

/// What is known when an entry is found missing.
#[derive(Clone, Copy, Debug)]
pub struct MissingEntry {
    /// The store acknowledged the removal after this time, up to which the endpoints were known.
    pub since: Millis,
    /// When the daemon learned of it.
    pub seen_at: Millis,
    /// Whether the entry may have lapsed, as the daemon that read it from the store found.
    pub may_have_lapsed: bool,
    /// Longest time in which this daemon knows of no answer of the store, of those that can explain the
    /// lapse.
    pub silence: Silence,
    /// Whether the store came back from a copy since.
    pub is_restoration: bool,
    /// Whether it is part of a mass removal.
    pub is_mass: bool,
}

/// Decides when endpoints are removed whose entries are missing.
#[derive(Clone, Copy, Debug)]
pub struct RemovalRule {
    /// Time for which an endpoint serves after the store has acknowledged that it left.
    pub drain_time: Millis,
    /// Shortest outage of the store in which the entry of a running endpoint lapses.
    pub min_lapse_outage: Millis,
    /// Age of the known endpoints by which any daemon that reaches the store has read them itself.
    pub read_by_others: Millis,
}

impl RemovalRule {
    /// Whether an entry may have lapsed that this daemon reads as missing at `now`: its calls to the store
    /// failed for as long as a lapse takes, at most as long ago as entries take to return.
    pub fn may_have_lapsed(&self, contact: &StoreContact, now: Millis) -> bool {
        let failure = contact.longest_failure(now, RETURN_TIME);
        failure.is_some_and(|silence| silence.length() >= self.min_lapse_outage)
    }

    /// The silence of the store that may explain an entry that is missing at `now`.
    pub fn silence(&self, contact: &StoreContact, now: Millis) -> Silence {
        contact.longest_silence(now, RETURN_TIME)
    }

    /// Until when the entry is awaited; `None` if the endpoint is removed at once.
    pub fn awaited_until(&self, missing: &MissingEntry) -> Option<Millis> {
        let now = missing.seen_at;
        if missing.is_restoration {
            return Some(now + RETURN_TIME);
        }
        // In a shorter outage, a daemon that reaches the store may have found no reason to read it.
        let is_outage = missing.may_have_lapsed
            && missing.silence.length() >= self.min_lapse_outage.max(self.read_by_others);
        if is_outage {
            return Some(missing.silence.to + RETURN_TIME);
        }
        let return_time = match (missing.may_have_lapsed, missing.is_mass) {
            (true, _) => RETURN_TIME,
            (false, true) => MASS_RETURN_TIME,
            (false, false) => return None,
        };
        // The endpoint may have left as well, so it is used no longer than one that has.
        let last_use = missing.since + self.drain_time - SENDING_MARGIN;
        let until = last_use.min(now + return_time);
        (until > now).then_some(until)
    }
}
