//! Endpoints that lost their keys while a grant to them had no answer.
//!
//! A grant that timed out may lie in the buffers of an endpoint that is suspended or too busy to read: the
//! reset of the connection does not discard what has arrived there. The endpoint takes it when it goes on,
//! and its lease counts from then, while the keys have another owner. So the keys are released under new
//! tokens until the endpoint answers, and then until the leases of all that it may have read have ended.

use super::{Action, Controller, ManagedRange, Phase, RangeId, endpoints::OwnerStatus};
use crate::{
    clock::Millis,
    gateway::{
        model::{EndpointInstance, KeyRange},
        platform::ReleaseOutcome,
    },
    world::ServiceName,
};
use std::net::SocketAddr;

/// Time for which an answer is awaited.
const AWAITED_FOR: Millis = Millis(60_000);
/// Pause before the first release, and after the first answer, when the endpoint reads what has arrived. It
/// doubles with each release.
const FIRST_PAUSE: Millis = Millis(50);
/// Longest pause between two releases.
const MAX_PAUSE: Millis = Millis(400);

/// An endpoint that may still take keys that it has lost.
#[derive(Clone, Debug)]
pub(super) struct FormerOwner {
    id: RangeId,
    service: ServiceName,
    owner: EndpointInstance,
    addr: SocketAddr,
    keys: KeyRange,
    lost_at: Millis,
    answered_at: Option<Millis>,
    next_command_at: Millis,
    pause: Millis,
    in_flight: bool,
}

impl Controller {
    /// Notes that the owner of a range has lost its keys, if a grant to it had no answer.
    pub(super) fn note_former_owner(
        &mut self,
        service: &ServiceName,
        range: &ManagedRange,
        now: Millis,
    ) {
        let Some(owner) = range.owner.clone().filter(|_| range.grant_unacknowledged) else {
            return;
        };
        let Some(addr) = self.addrs.get(&owner).copied() else {
            return;
        };
        let former = FormerOwner {
            id: self.next_id(),
            service: service.clone(),
            owner,
            addr,
            keys: range.keys,
            lost_at: now,
            answered_at: range.released_at,
            next_command_at: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
            in_flight: false,
        };
        self.former_owners.push(former);
    }

    /// Issues the releases that are due.
    pub(super) fn release_from_former_owners(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let mut former_owners = std::mem::take(&mut self.former_owners);
        former_owners.retain(|former| self.may_take_keys(former, now));
        // A successor may have given the keys to the endpoint again.
        let is_sole = now < self.controller_lease.sole_until();
        let due = |former: &&mut FormerOwner| !former.in_flight && now >= former.next_command_at;
        for former in former_owners.iter_mut().filter(|_| is_sole).filter(due) {
            former.in_flight = true;
            let (service, token) = (former.service.clone(), self.next_token());
            let release = Action::Release(service, former.id, former.addr, former.keys, token);
            actions.push(release);
        }
        self.former_owners = former_owners;
    }

    /// Whether the endpoint may still take the keys, and has no other right to them.
    fn may_take_keys(&self, former: &FormerOwner, now: Millis) -> bool {
        let is_over = match former.answered_at {
            Some(answered_at) => now >= answered_at + self.max_lease_time(),
            None => now >= former.lost_at + AWAITED_FOR,
        };
        let ranges = self.services.get(&former.service).map(|m| &m.ranges);
        let owns_again = ranges.into_iter().flatten().any(|range| {
            let is_owner =
                range.phase != Phase::Free && range.owner.as_ref() == Some(&former.owner);
            is_owner && range.keys.overlaps(former.keys)
        });
        let status = self.status_at_address(&former.service, &former.owner, former.addr);
        let is_replaced = matches!(status, Some(OwnerStatus::Replaced { .. }));
        !is_over && !owns_again && !is_replaced
    }

    /// Handles the outcome of a release from a former owner; false if `id` names none.
    pub(super) fn handle_former_released(
        &mut self,
        id: RangeId,
        outcome: &ReleaseOutcome,
        now: Millis,
    ) -> bool {
        let position = self.former_owners.iter().position(|former| former.id == id);
        let Some(i) = position else {
            return false;
        };
        if matches!(
            outcome,
            ReleaseOutcome::ConnectionRefused | ReleaseOutcome::NotSupported
        ) {
            // Nobody has what was sent to the endpoint.
            self.former_owners.swap_remove(i);
            return true;
        }
        let former = &mut self.former_owners[i];
        former.in_flight = false;
        if matches!(outcome, ReleaseOutcome::Released(_)) && former.answered_at.is_none() {
            former.answered_at = Some(now);
            former.pause = FIRST_PAUSE;
            log::info!(target: "ownership", service:% = former.service, first = former.keys.first,
                last = former.keys.last, owner:% = former.owner.name,
                after:% = now.since(former.lost_at);
                "Former owner answers again; what it has read late is undone.");
        } else {
            former.pause = Millis(former.pause.0 * 2).min(MAX_PAUSE);
        }
        former.next_command_at = now + former.pause;
        true
    }
}
