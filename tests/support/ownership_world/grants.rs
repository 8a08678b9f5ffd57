//! Grants on their way to targets and front daemons, and what must hold after each.

use super::{Fault, GRANT_TIMEOUT, PARTITIONS, Receiver, What, World};
use fireflygauge::{
    ownership::{controller::Event, lease::LeaseHolder},
    target_api::{GrantReply, GrantRequest},
    world::VmName,
};

impl World {
    pub(super) fn send_grant(&mut self, i: usize, run: u64, to: Receiver, request: GrantRequest) {
        let none = Event::Granted {
            target: to.target.clone(),
            epoch: request.controller_epoch,
            sequence: request.sequence,
            reply: None,
        };
        self.push(GRANT_TIMEOUT.0, What::Deliver(i, run, none));
        if self.loses() {
            return;
        }
        for _ in 0..self.copies() {
            let delay = self.delay();
            self.push(delay, What::Grant(i, run, to.clone(), request.clone()));
        }
    }

    pub(super) fn grant(&mut self, i: usize, run: u64, to: Receiver, request: GrantRequest) {
        if self.is_grant_lost(i, &to, &request) {
            return;
        }
        if self.is_grant_late(&to) {
            // A frozen receiver takes what has reached it when it returns.
            self.push(10, What::Grant(i, run, to, request));
            return;
        }
        let epoch = request.controller_epoch;
        let sequence = request.sequence;
        let reply = self.take_grant(&to, &request);
        self.check_exclusive(&reply);
        if !self.loses() && !self.is_grant_lost(i, &to, &request) {
            let delay = self.delay();
            let event = Event::Granted {
                target: to.target,
                epoch,
                sequence,
                reply: Some(reply),
            };
            self.push(delay, What::Deliver(i, run, event));
        }
    }

    pub(super) fn is_grant_lost(&self, i: usize, to: &Receiver, request: &GrantRequest) -> bool {
        if let Some(front) = to.front {
            let cut = self.is(Fault::CutDaemons(i)) || self.is(Fault::CutDaemons(front));
            return self.is(Fault::CrashDaemon(front)) || (cut && front != i);
        }
        let t = self.index_of(&to.target);
        self.is(Fault::CrashTarget(t))
            || self.is(Fault::CutGrants(i, t))
            || (self.is(Fault::DelayGrants(t)) && request.incarnation.is_none())
    }

    pub(super) fn is_grant_late(&self, to: &Receiver) -> bool {
        match to.front {
            Some(front) => self.is(Fault::PauseDaemon(front)),
            None => {
                let t = self.index_of(&to.target);
                self.is(Fault::PauseTarget(t)) || self.is(Fault::DelayGrants(t))
            }
        }
    }

    pub(super) fn take_grant(&mut self, to: &Receiver, request: &GrantRequest) -> GrantReply {
        let reply = match to.front {
            Some(front) => {
                let daemon = &mut self.daemons[front];
                let now = daemon.clock.at(self.now);
                let new = || LeaseHolder::new(daemon.link.incarnation);
                let holder = daemon.fronts.entry(to.target.clone()).or_insert_with(new);
                holder.grant(request, now)
            }
            None => {
                let t = self.index_of(&to.target);
                let target = &mut self.targets[t];
                let now = target.clock.at(self.now);
                target.holder.grant(request, now)
            }
        };
        if let Some(trace) = &mut self.trace {
            let (name, now) = (&to.target, self.now);
            trace.push(format!(
                "{now} {name} {:?} {request:?} -> {reply:?}",
                to.front
            ));
        }
        reply
    }

    pub(super) fn index_of(&self, target: &VmName) -> usize {
        let found = self.targets.iter().position(|t| t.name == *target);
        found.expect("the target exists")
    }

    pub(super) fn check_exclusive(&mut self, reply: &GrantReply) {
        if !reply.accepted {
            return;
        }
        for p in 0..PARTITIONS {
            let admitting = self.admitting(p);
            if admitting.len() > 1 {
                self.violate(format!("partition {p} is admitted by {admitting:?}"));
            }
        }
    }
}
