//! What the outcomes of grants and releases show.

use super::{COMMAND_TIMEOUT, Controller, ManagedRange, Phase, RangeId};
use crate::{
    clock::Millis,
    gateway::platform::{GrantConnection, GrantOutcome, ReleaseOutcome},
    world::ServiceName,
};
use log::Level;
use std::net::SocketAddr;

/// Renewals within the duration of a key lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// Delay before a command is retried.
const RETRY_DELAY: Millis = Millis(150);
/// Interval between releases from an owner that may still apply a grant.
const RELEASE_INTERVAL: Millis = Millis(200);
/// Delay before a grant is repeated that an endpoint in a requested pause refused.
const PAUSED_RETRY_DELAY: Millis = Millis(1_000);

impl Controller {
    pub(super) fn handle_granted(
        &mut self,
        name: &ServiceName,
        id: RangeId,
        outcome: GrantOutcome,
        now: Millis,
    ) {
        let lease = self.max_lease_time();
        let renewal_interval = Millis(self.key_lease.0 / RENEWALS_PER_LEASE);
        let Some(range) = self.services.get_mut(name).and_then(|m| m.range_mut(id)) else {
            return;
        };
        range.in_flight = false;
        range.grant_in_flight = false;
        let is_held = range.phase == Phase::Held;
        let is_proof = range.grant_connection == GrantConnection::New;
        let addr = range.owner.as_ref().and_then(|owner| self.addrs.get(owner));
        log_grant(name, range, addr.copied(), outcome);
        let is_paused = |owner| self.paused.contains_key(owner);
        match outcome {
            GrantOutcome::Granted => {
                // The token fences every earlier grant, so only this lease counts.
                range.lease_end = now + lease;
                range.next_command_at = if is_held { now + renewal_interval } else { now };
                range.confirmed = true;
                range.grant_unacknowledged = false;
                range.grant_presumed = false;
                // The handover has been delivered; keeping it would only enlarge the row.
                range.handover = None;
                range.failures = 0;
                range.was_fenced = false;
            }
            GrantOutcome::Presumed => {
                // A grant whose own response is still due may arrive until its time-out.
                let latest_arrival = now + COMMAND_TIMEOUT;
                range.lease_end = range.lease_end.max(latest_arrival + lease);
                range.next_command_at = now + renewal_interval;
                range.confirmed = true;
                range.grant_presumed = true;
                range.failures = 0;
                range.was_fenced = false;
            }
            GrantOutcome::NotSent if range.grant_connection == GrantConnection::Kept => {
                range.next_command_at = now + RETRY_DELAY;
            }
            GrantOutcome::Unknown => {
                range.lease_end = range.lease_end.max(now + lease);
                range.confirmed = false;
                range.grant_unacknowledged = true;
                range.released_at = None;
                range.next_command_at = now + RETRY_DELAY;
                range.failures += 1;
            }
            GrantOutcome::NotSent => {
                range.next_command_at = now + RETRY_DELAY;
                range.failures += 1;
            }
            GrantOutcome::Fenced | GrantOutcome::Refused if !is_proof => {
                // The response may be a late copy, and the grant may still be applied.
                range.lease_end = range.lease_end.max(now + COMMAND_TIMEOUT + lease);
                range.confirmed = false;
                range.grant_unacknowledged = true;
                range.was_fenced |= outcome == GrantOutcome::Fenced;
                range.next_command_at = now + RETRY_DELAY;
            }
            GrantOutcome::Fenced => {
                range.confirmed = false;
                range.next_command_at = now + RETRY_DELAY;
                // Each token exceeds all earlier ones of this epoch, so if the next one is fenced
                // too, the higher token is a successor's.
                let fenced_before = std::mem::replace(&mut range.was_fenced, true);
                if fenced_before && self.controller_lease.may_issue_commands(now) {
                    log::warn!(target: "ownership", service:% = name, first = range.keys.first,
                        token = range.command_token;
                        "Fenced by a newer controller; no commands until the lease is renewed.");
                    self.controller_lease.note_successor();
                }
            }
            // The endpoint is alive, and refuses because it asked for a pause.
            GrantOutcome::Refused if is_held && range.owner.as_ref().is_some_and(is_paused) => {
                range.next_command_at = now + PAUSED_RETRY_DELAY;
            }
            GrantOutcome::Refused => {
                range.next_command_at = now + RETRY_DELAY;
                range.failures += 1;
            }
        }
    }

    pub(super) fn handle_released(
        &mut self,
        name: &ServiceName,
        id: RangeId,
        outcome: ReleaseOutcome,
        now: Millis,
    ) {
        if self.handle_former_released(id, &outcome, now) {
            return;
        }
        let Some(range) = self.services.get_mut(name).and_then(|m| m.range_mut(id)) else {
            return;
        };
        range.in_flight = false;
        if matches!(outcome, ReleaseOutcome::Released(_)) {
            range.released_at.get_or_insert(now);
        }
        log::info!(target: "ownership", service:% = name, first = range.keys.first,
            last = range.keys.last, owner:% = range.owner.as_ref().map_or("", |o| &o.name),
            token = range.command_token, outcome:? = outcome; "Release completed.");
        match outcome {
            // The unacknowledged grant may still be applied, until its lease expires. What was applied
            // after this release is undone by the next one.
            ReleaseOutcome::Released(_)
                if (range.grant_unacknowledged || range.grant_presumed)
                    && now < range.lease_end =>
            {
                range.next_command_at = range.lease_end.min(now + RELEASE_INTERVAL);
            }
            ReleaseOutcome::Released(handover) => {
                range.phase = Phase::Free;
                range.handover = handover;
                range.lease_end = now;
                let freed = range.clone();
                self.note_former_owner(name, &freed, now);
            }
            ReleaseOutcome::NotSupported => {
                range.phase = Phase::Free;
                range.handover = None;
                range.lease_end = now;
            }
            ReleaseOutcome::ConnectionRefused | ReleaseOutcome::Unknown => {
                range.failures += 1;
                range.next_command_at = now + RETRY_DELAY;
            }
        }
    }
}

/// Logs the outcome of a grant with the token that it carried. A renewal right after another
/// accepted one is logged at debug level only.
fn log_grant(
    name: &ServiceName,
    range: &ManagedRange,
    addr: Option<SocketAddr>,
    outcome: GrantOutcome,
) {
    let is_accepted = matches!(outcome, GrantOutcome::Granted | GrantOutcome::Presumed);
    let is_plain_renewal = is_accepted && range.confirmed && range.failures == 0;
    let level = if is_plain_renewal {
        Level::Debug
    } else {
        Level::Info
    };
    let owner = range.owner.as_ref();
    log::log!(target: "ownership", level, service:% = name, first = range.keys.first,
        last = range.keys.last, owner:% = owner.map_or("", |o| &o.name),
        started_at_ms = owner.map_or(0, |o| o.started_at_ms), addr:? = addr,
        token = range.command_token,
        failures = range.failures, outcome:? = outcome;
        "Grant completed.");
}
