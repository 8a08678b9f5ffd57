//! Delivery of grants to targets and front daemons; checks exclusive ownership after each.

use super::{Fault, GRANT_TIMEOUT, PARTITIONS, Receiver, SimEvent, Simulation};
use fireflygauge::{
    ownership::{controller::Event, lease::LeaseHolder},
    target_api::{GrantReply, GrantRequest},
    world::VmName,
};

impl Simulation {
    pub(super) fn send_grant(
        &mut self,
        i: usize,
        run_id: u64,
        to: Receiver,
        request: GrantRequest,
    ) {
        let none = Event::GrantCompleted {
            target: to.target.clone(),
            epoch: request.controller_epoch,
            sequence: request.sequence,
            reply: None,
        };
        self.push(GRANT_TIMEOUT.0, SimEvent::Deliver(i, run_id, none));
        if self.loses_message() {
            return;
        }
        for _ in 0..self.copy_count() {
            let delay = self.delay();
            self.push(
                delay,
                SimEvent::Grant(i, run_id, to.clone(), request.clone()),
            );
        }
    }

    pub(super) fn grant(&mut self, i: usize, run_id: u64, to: Receiver, request: GrantRequest) {
        if self.is_grant_lost(i, &to, &request) {
            return;
        }
        if self.is_grant_late(&to) {
            // A paused recipient processes the messages that have reached it when it resumes.
            self.push(10, SimEvent::Grant(i, run_id, to, request));
            return;
        }
        let epoch = request.controller_epoch;
        let sequence = request.sequence;
        let reply = self.apply_grant(&to, &request);
        self.check_exclusive(&reply);
        if !self.loses_message() && !self.is_grant_lost(i, &to, &request) {
            let delay = self.delay();
            let event = Event::GrantCompleted {
                target: to.target,
                epoch,
                sequence,
                reply: Some(reply),
            };
            self.push(delay, SimEvent::Deliver(i, run_id, event));
        }
    }

    pub(super) fn is_grant_lost(&self, i: usize, to: &Receiver, request: &GrantRequest) -> bool {
        if let Some(front) = to.front {
            let cut = self.is_fault_active(Fault::CutDaemons(i))
                || self.is_fault_active(Fault::CutDaemons(front));
            return self.is_fault_active(Fault::CrashDaemon(front)) || (cut && front != i);
        }
        let t = self.index_of(&to.target);
        self.is_fault_active(Fault::CrashTarget(t))
            || self.is_fault_active(Fault::CutGrants(i, t))
            || (self.is_fault_active(Fault::DelayGrants(t)) && request.incarnation.is_none())
    }

    pub(super) fn is_grant_late(&self, to: &Receiver) -> bool {
        match to.front {
            Some(front) => self.is_fault_active(Fault::PauseDaemon(front)),
            None => {
                let t = self.index_of(&to.target);
                self.is_fault_active(Fault::PauseTarget(t))
                    || self.is_fault_active(Fault::DelayGrants(t))
            }
        }
    }

    pub(super) fn apply_grant(&mut self, to: &Receiver, request: &GrantRequest) -> GrantReply {
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
            let admitting = self.admitting_targets(p);
            if admitting.len() > 1 {
                self.report_violation(format!("partition {p} is admitted by {admitting:?}"));
            }
        }
    }
}
