//! What becomes of the actions of controllers: delays, losses and outcomes.

use super::{STEP_MS, Simulation};
use fireflygauge::{
    clock::Millis,
    gateway::{
        controller::{Action, Event, RangeId},
        model::KeyRange,
        platform::{GrantCommand, GrantOutcome, ReleaseOutcome, RowWrite, Table, WriteOutcome},
    },
    world::{Incarnation, ServiceName},
};
use rand::Rng;
use std::net::SocketAddr;

/// Something due at a later time, for the daemon with this index and incarnation.
pub(super) enum Scheduled {
    /// An action of a daemon that was paused before it performed the action, and the time until
    /// which no successor can have given keys away.
    Perform(usize, Incarnation, Action, Millis),
    Read(usize, Incarnation, Table),
    Notify(usize, Incarnation, Event),
    Commit(usize, Incarnation, u64, Vec<RowWrite>, bool),
    Grant(
        usize,
        Incarnation,
        ServiceName,
        RangeId,
        SocketAddr,
        GrantCommand,
        Delivery,
    ),
    Release(
        usize,
        Incarnation,
        ServiceName,
        RangeId,
        SocketAddr,
        KeyRange,
        u64,
        Delivery,
    ),
}

/// What becomes of a command or a write.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    Answered,
    ReplyLost,
    /// Applied after this delay in milliseconds, a write after half of it. The lease of a grant
    /// counts from the arrival of the grant.
    Delayed(u64),
    /// Applied now after a delay, if the endpoint instance with this start still runs.
    Resumed(u64),
}

impl Simulation {
    pub(super) fn start_action(&mut self, i: usize, action: Action) {
        let incarnation = self.daemons[i].incarnation;
        let store = self.store_up && self.daemons[i].reaches_store;
        let soon = self.now + self.rng.random_range(1..30);
        let delivery = match self.rng.random_range(0..20) {
            _ if self.faults_ended => Delivery::Answered,
            0 => Delivery::ReplyLost,
            1 => Delivery::Delayed(self.rng.random_range(500..12_000)),
            2 if self.wide.is_some() => Delivery::Delayed(self.rng.random_range(100..2_500)),
            _ => Delivery::Answered,
        };
        let scheduled = match action {
            Action::Write(id, writes) if store => {
                let at = match delivery {
                    Delivery::Delayed(delay) => self.now + delay / 2,
                    _ => soon,
                };
                if delivery != Delivery::Answered {
                    let lost = Event::Written(id, WriteOutcome::Unknown);
                    self.scheduled
                        .push((self.now + 800, Scheduled::Notify(i, incarnation, lost)));
                }
                (
                    at,
                    Scheduled::Commit(i, incarnation, id, writes, delivery == Delivery::Answered),
                )
            }
            Action::Write(id, _) => {
                let refused = Event::Written(id, WriteOutcome::Refused);
                (soon, Scheduled::Notify(i, incarnation, refused))
            }
            Action::ReadLease => (soon, Scheduled::Read(i, incarnation, Table::Controller)),
            Action::ReadOwners => (soon, Scheduled::Read(i, incarnation, Table::Owners)),
            Action::Grant(service, id, addr, command) => {
                if !self.daemons[i].reaches(addr) {
                    let event = Event::Granted(service, id, GrantOutcome::NotSent);
                    (soon, Scheduled::Notify(i, incarnation, event))
                } else {
                    (
                        soon,
                        Scheduled::Grant(i, incarnation, service, id, addr, command, delivery),
                    )
                }
            }
            Action::Release(service, id, addr, keys, token) => {
                if !self.daemons[i].reaches(addr) {
                    let event = Event::Released(service, id, ReleaseOutcome::Unknown);
                    (soon, Scheduled::Notify(i, incarnation, event))
                } else {
                    (
                        soon,
                        Scheduled::Release(
                            i,
                            incarnation,
                            service,
                            id,
                            addr,
                            keys,
                            token,
                            delivery,
                        ),
                    )
                }
            }
        };
        self.scheduled.push(scheduled);
    }

    pub(super) fn run_scheduled(&mut self) {
        let now = self.now;
        let (due, remaining) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.scheduled = remaining;
        let mut due: Vec<(u64, Scheduled)> = due;
        due.sort_by_key(|(at, _)| *at);
        for (_, scheduled) in due {
            self.run_one(scheduled);
        }
    }

    fn run_one(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Perform(i, incarnation, action, sole_until) => {
                self.perform(i, incarnation, action, sole_until);
            }
            Scheduled::Notify(i, incarnation, event) => self.notify(i, incarnation, event),
            Scheduled::Read(i, incarnation, table) => {
                let reached = self.store_up && self.daemons[i].reaches_store;
                if !reached {
                    // The read is retried until the store answers.
                    let retry = Scheduled::Read(i, incarnation, table);
                    self.scheduled.push((self.now + 100, retry));
                } else if table == Table::Controller {
                    self.notify(i, incarnation, self.lease());
                } else {
                    let known = self.known_owners(i);
                    self.notify(i, incarnation, known);
                    self.notify(i, incarnation, self.owners());
                }
            }
            Scheduled::Commit(i, incarnation, id, writes, answered) => {
                let outcome = self.commit(i, &writes);
                self.trace(format!(
                    "{incarnation:?} of d{i} writes {} rows: {outcome:?}",
                    writes.len()
                ));
                if answered {
                    self.notify(i, incarnation, Event::Written(id, outcome));
                }
            }
            Scheduled::Grant(i, incarnation, service, id, addr, command, delivery) => {
                let outcome = self.grant_from(i, addr, &command, delivery);
                let (first, last, token) = (command.keys.first, command.keys.last, command.token);
                self.trace(format!(
                    "{incarnation:?} grants {first}-{last} to {addr}, token {token}: {outcome:?}, \
                     {delivery:?}"
                ));
                if let Some(outcome) = outcome {
                    self.notify(i, incarnation, Event::Granted(service, id, outcome));
                } else {
                    let event = Event::Granted(service, id, GrantOutcome::Unknown);
                    self.scheduled
                        .push((self.now + 800, Scheduled::Notify(i, incarnation, event)));
                }
            }
            Scheduled::Release(i, incarnation, service, id, addr, keys, token, delivery) => {
                self.trace(format!(
                    "{incarnation:?} releases {}-{} at {addr}, token {token}: {delivery:?}",
                    keys.first, keys.last
                ));
                let is_late = matches!(delivery, Delivery::Delayed(_)) && self.wide.is_some();
                let outcome = match self.release_or_delay(addr, keys, delivery) {
                    Some(()) if is_late => ReleaseOutcome::Unknown,
                    Some(()) if delivery == Delivery::Answered => ReleaseOutcome::Released(None),
                    None => ReleaseOutcome::ConnectionRefused,
                    Some(()) => ReleaseOutcome::Unknown,
                };
                self.notify(i, incarnation, Event::Released(service, id, outcome));
            }
        }
    }

    /// Passes an event to a daemon's controller. Events of a frozen daemon are postponed; those of
    /// an ended incarnation are dropped.
    pub(super) fn notify(&mut self, i: usize, incarnation: Incarnation, event: Event) {
        let Some(daemon) = self.daemons.get_mut(i) else {
            return;
        };
        if !daemon.up || daemon.incarnation != incarnation {
            return;
        }
        if self.now < daemon.frozen_until {
            let at = daemon.frozen_until + STEP_MS;
            self.scheduled
                .push((at, Scheduled::Notify(i, incarnation, event)));
            return;
        }
        daemon.controller.handle(event, Millis(self.now));
    }
}
