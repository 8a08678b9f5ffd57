//! How old the data is that views are built from.

use crate::clock::Millis;
use std::sync::atomic::{AtomicU64, Ordering};

/// Times up to which the daemon's data is known to be complete. The control thread updates them also
/// while nothing changes, so they are shared by all views.
#[derive(Debug, Default)]
pub struct Freshness {
    config_since: LatestTime,
    declarations_as_of: LatestTime,
    endpoints_as_of: LatestTime,
    controller_replied_at: LatestTime,
}

/// The latest of several times, in milliseconds plus one; 0 without any.
#[derive(Debug, Default)]
struct LatestTime(AtomicU64);

impl LatestTime {
    fn record(&self, at: Millis) {
        self.0.fetch_max(at.0.saturating_add(1), Ordering::Relaxed);
    }

    fn age(&self, now: Millis) -> Option<Millis> {
        let at = self.0.load(Ordering::Relaxed).checked_sub(1)?;
        Some(now.since(Millis(at)))
    }
}

impl Freshness {
    /// Records that another configuration is in force.
    pub fn set_config_since(&self, now: Millis) {
        self.config_since.record(now);
    }

    /// Records that all declarations acknowledged before `as_of` are known.
    pub fn set_declarations_as_of(&self, as_of: Millis) {
        self.declarations_as_of.record(as_of);
    }

    /// Records that all changes of endpoints acknowledged before `as_of` are known.
    pub fn set_endpoints_as_of(&self, as_of: Millis) {
        self.endpoints_as_of.record(as_of);
    }

    /// Records when the controller last replied, with which owners come.
    pub fn set_controller_replied_at(&self, at: Millis) {
        self.controller_replied_at.record(at);
    }

    /// Time since the configuration is in force; `None` if there is none.
    pub fn config_age(&self, now: Millis) -> Option<Millis> {
        self.config_since.age(now)
    }

    /// Age of the declarations.
    pub fn declarations_age(&self, now: Millis) -> Option<Millis> {
        self.declarations_as_of.age(now)
    }

    /// Age of what is known of the endpoints.
    pub fn endpoints_age(&self, now: Millis) -> Option<Millis> {
        self.endpoints_as_of.age(now)
    }

    /// Time since the controller's last reply; `None` if there was none, as on the controller itself.
    pub fn reply_age(&self, now: Millis) -> Option<Millis> {
        self.controller_replied_at.age(now)
    }
}
