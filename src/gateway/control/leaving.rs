//! Applies notices that endpoints leave which come from responses and from reports of daemons.

use super::{Control, watches::MAX_REPLY_AGE};
use crate::{
    clock::Millis,
    gateway::{
        leaving::{LeavingLife, Source},
        model::EndpointInstance,
        platform::Platform,
    },
    peer::message::DaemonReport,
};

impl<P: Platform> Control<P> {
    /// Publishes the endpoints that have begun to leave, and passes them to the controller.
    pub(super) fn apply_leaving(&mut self, now: Millis) {
        let departures = self.builder.take_departures(now);
        let is_new = |source| source != Source::Registry;
        if departures.iter().any(|d| is_new(d.notice.source)) {
            self.update_controller_endpoints();
            self.publish();
        }
    }

    /// Records the endpoints that another daemon has seen leaving. What this daemon has seen itself
    /// is known to its controller already.
    pub(super) fn record_reported_leaving(&mut self, report: &DaemonReport, now: Millis) {
        if report.name == self.cx.name {
            let known = instances(&report.leaving);
            self.builder.lives().set_reported(&known);
        } else {
            self.builder.lives().record_report(&report.leaving, now);
        }
    }

    /// Publishes whether keys can move and the daemon would learn of it, if that has changed. They
    /// cannot while the store is down: for the controller itself, or for another daemon that gets no
    /// recent data from the controller either.
    pub(super) fn update_contact(&mut self, now: Millis) {
        let is_fresh = |at| now.since(at) < MAX_REPLY_AGE;
        let has_reply = self.last_reply_at.is_some_and(is_fresh);
        let store_works = !*self.store_fails.borrow();
        let can_learn = if self.controller.lease_state().may_issue_commands(now) {
            store_works
        } else {
            has_reply && (store_works || self.controller_supplies_endpoints)
        };
        if self.builder.set_cut_off(!can_learn) {
            self.publish();
        }
    }
}

/// The instances of reported lives.
pub(super) fn instances(leaving: &[LeavingLife]) -> Vec<EndpointInstance> {
    leaving.iter().map(|life| life.instance.clone()).collect()
}
