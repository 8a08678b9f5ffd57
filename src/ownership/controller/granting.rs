//! The controller while it holds the lease: its grants, and hold mode.

use super::{Action, Common, holding::Holding};
use crate::{
    clock::Millis,
    ownership::{
        granter::{GrantSet, Learnt, TargetLease},
        timing::HOLD_AFTER,
    },
    partition::Partition,
    target_api::GrantReply,
    world::{Link, VmName},
};
use std::collections::BTreeMap;

impl Holding {
    /// Keeps an entry for every listed target.
    pub(super) fn sync_targets(&mut self, cx: &Common) {
        for (name, facts) in &cx.facts.targets {
            if !self.targets.contains_key(name) {
                self.targets.insert(name.clone(), TargetLease::default());
            }
            if let Some(lease) = self.targets.get_mut(name) {
                lease.at_address(facts.addr);
            }
        }
    }

    /// Asks for hold mode when the renewal of the own lease is overdue, and enters it.
    pub(super) fn advance_hold(&mut self, cx: &mut Common) {
        if cx.now < self.confirmed + HOLD_AFTER || self.hold.is_active() {
            return;
        }
        let standbys = self.possible_standbys();
        let epoch = self.row.epoch;
        if !self.hold.is_begun() {
            cx.log(
                log::Level::Warn,
                format_args!(
                    "The lease renewal is overdue. epoch={epoch} standbys={}",
                    standbys.len()
                ),
            );
        }
        for (to, request) in self.hold.requests(&standbys, &cx.group, epoch, cx.now) {
            cx.out.push(Action::AskHold { to, request });
        }
        if self.hold.enter(&standbys) {
            self.cancel_moves();
            cx.log(
                log::Level::Warn,
                format_args!("Hold mode entered. epoch={epoch}"),
            );
        }
    }

    /// The standbys of every row that may be in force.
    fn possible_standbys(&self) -> Vec<Link> {
        let mut standbys = self.row.standbys.clone();
        for attempt in self.writes.attempts() {
            for standby in &attempt.row.standbys {
                if !standbys.contains(standby) {
                    standbys.push(standby.clone());
                }
            }
        }
        standbys
    }

    pub(super) fn send_grants(&mut self, cx: &mut Common) {
        self.refresh_sets();
        let hold_length = self.hold_length();
        let hold = self.hold.is_active().then_some(Millis(hold_length));
        let empty = GrantSet::default();
        for (name, lease) in &mut self.targets {
            let Some(facts) = cx.facts.targets.get(name) else {
                continue;
            };
            let set = self.sets.get(name).unwrap_or(&empty);
            let due = match hold {
                Some(_) => !set.is_empty() && lease.is_hold_due(cx.now),
                None => lease.is_due(set, cx.now),
            };
            if !due {
                continue;
            }
            let request = lease.request(&cx.group, self.row.epoch, set, hold, cx.now);
            if hold.is_some() {
                self.hold_lengths.insert(name.clone(), hold_length);
            }
            cx.out.push(Action::Grant {
                target: name.clone(),
                addr: facts.addr,
                request,
            });
        }
    }

    pub(super) fn granted(
        &mut self,
        target: &VmName,
        sequence: u64,
        reply: Option<GrantReply>,
        cx: &mut Common,
    ) {
        let Some(lease) = self.targets.get_mut(target) else {
            return;
        };
        let learnt = lease.answer(sequence, self.row.epoch, reply.as_ref(), cx.now);
        if !lease.is_held() {
            self.hold_lengths.remove(target);
        }
        match learnt {
            Learnt::Nothing => return,
            Learnt::Current => {}
            Learnt::Restarted => {
                cx.info(format_args!("A target has restarted. target={target}"));
            }
            Learnt::Superseded => {
                cx.info(format_args!(
                    "A target follows a higher epoch. target={target} epoch={}",
                    self.row.epoch
                ));
                cx.out.push(Action::ReadRow);
                return;
            }
        }
        if let Some(reply) = reply {
            self.heat.add(&reply.heat);
        }
    }

    /// Recomputes what each target is to be granted: what it owns, without what is being moved.
    fn refresh_sets(&mut self) {
        if !std::mem::take(&mut self.sets_changed) {
            return;
        }
        let mut sets: BTreeMap<&VmName, Vec<(Partition, u64)>> = BTreeMap::new();
        for (i, owner) in self.assignments.owners().iter().enumerate() {
            let partition = Partition(i as u32);
            if let Some(owner) = owner
                && !self.moves.contains_key(&partition)
            {
                let set = sets.entry(&owner.target).or_default();
                set.push((partition, owner.epoch));
            }
        }
        self.sets = sets
            .into_iter()
            .map(|(name, set)| (name.clone(), GrantSet::new(set)))
            .collect();
    }
}
