//! Hold mode: leases that are long enough to keep keys served during an outage of the store.

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
/// A standby's acknowledgement is binding for the whole epoch. Once a standby has been asked, the
/// next write therefore increments the epoch, whether or not hold mode was entered.
#[derive(Clone, Debug, Default)]
pub struct HoldMode {
    requested: Map<Incarnation, RequestState>,
    active: bool,
}

impl HoldMode {
    /// Whether hold mode was entered, so that its long leases may have been granted under this
    /// epoch.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Whether a standby has been asked, or hold mode entered, under this epoch.
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

    /// Records a standby's reply; replies to requests under an epoch other than `epoch` are
    /// ignored.
    pub fn handle_reply(&mut self, reply: &HoldReply, epoch: u64) {
        if reply.controller_epoch == epoch
            && reply.acknowledged
            && let Some(state) = self.requested.get_mut(&reply.standby)
        {
            state.acknowledged = true;
        }
    }

    /// Enters hold mode if all `standbys` have acknowledged; returns whether this call entered it.
    ///
    /// Without standbys no acknowledgement is needed: a daemon that takes over without being a
    /// standby expects every owner to hold a hold-mode lease.
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
