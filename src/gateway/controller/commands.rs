//! The grants, renewals and releases that are due, and the phases of ranges.

use super::{Action, Controller, GrantBackoff, ManagedRange, Phase, endpoints::OwnerStatus};
use crate::{
    clock::Millis,
    gateway::platform::{GrantCommand, GrantConnection},
    world::ServiceName,
};

/// Consecutive failed commands after which an endpoint counts as unresponsive and loses the keys.
const MAX_FAILURES: u32 = 4;
/// Failed releases of a planned move above which the owner keeps the keys.
const MAX_PLANNED_FAILURES: u32 = 1;
/// First backoff of an unresponsive endpoint, during which it is assigned no keys.
const INITIAL_BACKOFF: Millis = Millis(3_000);

impl Controller {
    /// Issues the commands that are due.
    pub(super) fn issue_commands(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            if !self.declared.contains(&name) {
                continue;
            }
            let Some(mut managed) = self.services.remove(&name) else {
                continue;
            };
            if now < managed.on_hold_until {
                self.services.insert(name, managed);
                continue;
            }
            for range in &mut managed.ranges {
                if let Some(action) = self.next_command(&name, range, now) {
                    actions.push(action);
                }
            }
            self.services.insert(name, managed);
        }
    }

    fn next_command(
        &mut self,
        name: &ServiceName,
        range: &mut ManagedRange,
        now: Millis,
    ) -> Option<Action> {
        let owner = range.owner.clone()?;
        if range.in_flight || matches!(range.phase, Phase::Free | Phase::Writing) {
            return None;
        }
        let status = match self.owner_status(name, &owner) {
            OwnerStatus::Present if self.evacuating.takes_from(&owner, range.confirmed, now) => {
                OwnerStatus::Leaving
            }
            status => status,
        };
        self.advance_phase(name, range, status, now);
        if range.phase == Phase::Free || now < range.next_command_at {
            return None;
        }
        let addr = *self.addrs.get(&owner)?;
        let is_sole = now < self.controller_lease.sole_until();
        let proves_grant = range.grant_presumed && may_prove_grant(range, status);
        let grants = range.phase == Phase::Held || proves_grant;
        // A successor may have given the keys to another life by now; a release would take them
        // away there.
        if !grants && !is_sole {
            return None;
        }
        range.in_flight = true;
        // Another life may listen at the address by now, and must not get a token of the former.
        range.command_token = self.next_token();
        if !grants {
            let (keys, token) = (range.keys, range.command_token);
            return Some(Action::Release(name.clone(), range.id, addr, keys, token));
        }
        // The grant that comes before a release has to be proved.
        let needs_proof = range.grant_unacknowledged && status != OwnerStatus::Present;
        range.grant_connection = match range.phase {
            _ if !is_sole => GrantConnection::Kept,
            Phase::Held if range.confirmed && !needs_proof => GrantConnection::KeptOrNew,
            _ => GrantConnection::New,
        };
        range.grant_in_flight = true;
        let command = self.grant_command(range, is_sole);
        Some(Action::Grant(name.clone(), range.id, addr, command))
    }

    fn grant_command(&self, range: &ManagedRange, is_sole: bool) -> GrantCommand {
        GrantCommand {
            keys: range.keys,
            token: range.command_token,
            lease: self.key_lease,
            handover: range.handover.clone(),
            connection: range.grant_connection,
            send_before: if is_sole {
                self.controller_lease.sole_until()
            } else {
                self.controller_lease.commands_end()
            },
        }
    }

    /// Advances the phase of a range according to the status of its owner.
    fn advance_phase(
        &mut self,
        name: &ServiceName,
        range: &mut ManagedRange,
        status: OwnerStatus,
        now: Millis,
    ) {
        let before = range.phase;
        let unresponsive = range.failures >= MAX_FAILURES;
        match (range.phase, status) {
            // Its lease was not renewed, for example because the keys were on hold.
            (Phase::Held, OwnerStatus::Leaving) if now >= range.lease_end => {
                range.phase = Phase::Free;
            }
            // A grant comes first: a release would not fence the unacknowledged one.
            (
                Phase::Held,
                OwnerStatus::Leaving
                | OwnerStatus::Replaced {
                    by_same_service: true,
                },
            ) if range.grant_unacknowledged && !unresponsive => {}
            // Grants for the earlier instance may have reached the later one at the same address.
            (Phase::Held, OwnerStatus::Replaced { .. }) if now < range.lease_end => {
                range.phase = Phase::Releasing { planned: false };
                range.next_command_at = now;
                range.failures = 0;
            }
            (Phase::Releasing { .. }, OwnerStatus::Replaced { .. }) if now < range.lease_end => {
                range.phase = Phase::Releasing { planned: false };
            }
            (_, OwnerStatus::Replaced { .. }) => range.phase = Phase::Free,
            (Phase::Releasing { planned: true }, OwnerStatus::Leaving) => {
                range.phase = Phase::Releasing { planned: false };
            }
            (Phase::Held, OwnerStatus::Leaving) => {
                range.phase = Phase::Releasing { planned: false };
                range.next_command_at = now;
                range.failures = 0;
            }
            (Phase::Held, OwnerStatus::Present) if unresponsive => {
                self.back_off(range, now);
                range.phase = Phase::Releasing { planned: false };
                range.next_command_at = now;
            }
            (Phase::Releasing { planned: true }, OwnerStatus::Present)
                if range.failures > MAX_PLANNED_FAILURES =>
            {
                self.keep_owner(range, now);
            }
            (Phase::Releasing { .. }, OwnerStatus::Leaving | OwnerStatus::Present)
                if now >= range.lease_end =>
            {
                range.phase = Phase::Free;
            }
            (Phase::Releasing { planned: false }, OwnerStatus::Present) if !unresponsive => {
                self.keep_owner(range, now);
            }
            _ => {}
        }
        if range.phase == Phase::Free {
            range.handover = None;
            range.lease_end = now;
            if !matches!(status, OwnerStatus::Replaced { .. }) {
                self.note_former_owner(name, range, now);
            }
        }
        if before != range.phase {
            log::info!(target: "ownership", service:% = name, first = range.keys.first,
                last = range.keys.last, owner:% = range.owner.as_ref().map_or("", |o| &o.name),
                standing:? = status, from:? = before, to:? = range.phase,
                failures = range.failures, ends_in:% = range.lease_end.since(now);
                "Range changed its phase.");
        }
    }

    /// Assigns no keys to the owner for a time, which doubles with each backoff up to 8 times the
    /// first.
    fn back_off(&mut self, range: &ManagedRange, now: Millis) {
        let Some(owner) = range.owner.clone() else {
            return;
        };
        let backoff = self.backoffs.entry(owner).or_insert(GrantBackoff {
            until: now,
            count: 0,
        });
        if now >= backoff.until {
            backoff.until = now + Millis(INITIAL_BACKOFF.0 << backoff.count.min(3));
            backoff.count += 1;
        }
    }

    /// Lets an owner keep its keys. The next grant fences releases that arrive late.
    fn keep_owner(&mut self, range: &mut ManagedRange, now: Millis) {
        range.phase = Phase::Held;
        range.next_owner = None;
        range.confirmed = false;
        range.next_command_at = now;
        range.failures = 0;
    }
}

/// Whether a grant on a new connection can prove that the presumed one was accepted, before the
/// release. Grants do not name the service, so an endpoint of another service gets none. A planned
/// move waits for the proof; otherwise one attempt is made.
fn may_prove_grant(range: &ManagedRange, status: OwnerStatus) -> bool {
    let is_other_service = matches!(
        status,
        OwnerStatus::Replaced {
            by_same_service: false
        }
    );
    let is_planned = range.phase == (Phase::Releasing { planned: true });
    !is_other_service && (is_planned || range.failures == 0)
}
