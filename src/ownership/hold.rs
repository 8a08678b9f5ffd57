//! Hold mode: long leases that keep keys served through an outage of the store.

use super::timing::HOLD_RETRY_INTERVAL;
use crate::{
    clock::Millis,
    collections::Map,
    peer::message::{HoldReply, HoldRequest},
    world::{GroupId, Incarnation, Link},
};

#[derive(Clone, Copy, Debug, Default)]
struct RequestState {
    last: Option<Millis>,
    acknowledged: bool,
}

/// The controller's side of hold mode, for one epoch.
///
/// A standby's acknowledgement binds it for the whole epoch. So the epoch rises with the next
/// write after any standby has been requested, whether or not hold mode was entered.
#[derive(Clone, Debug, Default)]
pub struct HoldMode {
    requested: Map<Incarnation, RequestState>,
    active: bool,
}

impl HoldMode {
    /// Whether long leases may have been granted under this epoch.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether a standby has been requested, or hold mode entered, under this epoch.
    pub fn is_begun(&self) -> bool {
        self.active || !self.requested.is_empty()
    }

    /// Requests to send now to the standbys that have not acknowledged.
    pub fn requests(
        &mut self,
        standbys: &[Link],
        group: &GroupId,
        epoch: u64,
        now: Millis,
    ) -> Vec<(Link, HoldRequest)> {
        let mut requests = Vec::new();
        for standby in standbys {
            let state = self.requested.entry(standby.incarnation).or_default();
            let due = state
                .last
                .is_none_or(|last| now >= last + HOLD_RETRY_INTERVAL);
            if due && !state.acknowledged {
                state.last = Some(now);
                let request = HoldRequest {
                    group: group.clone(),
                    controller_epoch: epoch,
                    standby: standby.incarnation,
                };
                requests.push((standby.clone(), request));
            }
        }
        requests
    }

    /// Takes a standby's answer to a request under `epoch`.
    pub fn handle_reply(&mut self, reply: &HoldReply, epoch: u64) {
        if reply.controller_epoch == epoch
            && reply.acknowledged
            && let Some(state) = self.requested.get_mut(&reply.standby)
        {
            state.acknowledged = true;
        }
    }

    /// Enters hold mode if all `standbys` have acknowledged; returns whether it was entered now.
    ///
    /// Without standbys nobody takes over before the length of the long leases, so none needs to
    /// be requested.
    pub fn enter(&mut self, standbys: &[Link]) -> bool {
        let acknowledged = |standby: &Link| {
            self.requested
                .get(&standby.incarnation)
                .is_some_and(|state| state.acknowledged)
        };
        if self.active || !standbys.iter().all(acknowledged) {
            return false;
        }
        self.active = true;
        true
    }
}
