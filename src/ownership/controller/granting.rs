//! The controller while it holds the controller lease: grants to targets, and hold mode.

use super::{Action, Context, holding::Holding};
use crate::{
    clock::Millis,
    ownership::{
        cluster_view::ClusterView,
        controller_lease::PendingWrites,
        row::ControllerRow,
        target_lease::{GrantSet, ReplyEffect, TargetLease},
        timing::{COMMIT_TIMEOUT, HOLD_REQUEST_DELAY, INITIAL_PLACEMENT_WAIT},
    },
    partition::Partition,
    target_api::GrantReply,
    world::{Link, VmName},
};
use std::{collections::BTreeMap, net::SocketAddr};

impl Holding {
    /// Adds an entry for every newly listed target and updates the addresses.
    pub(super) fn sync_targets(&mut self, cx: &Context) {
        for (name, view) in &cx.cluster.targets {
            if !self.targets.contains_key(name) {
                self.targets.insert(name.clone(), TargetLease::default());
                self.initial_wait_ends = cx.now + INITIAL_PLACEMENT_WAIT;
            }
            if let Some(lease) = self
                .targets
                .get_mut(name)
                .filter(|_| cx.cluster.checks_grants)
            {
                lease.set_addr(view.addr);
            }
        }
    }

    /// Requests hold mode when the renewal of the controller lease is overdue, and enters it once
    /// all standbys have acknowledged.
    pub(super) fn advance_hold(&mut self, cx: &mut Context) {
        let overdue = cx.now >= self.confirmed_at + HOLD_REQUEST_DELAY
            && self.writes.is_overdue(cx.now - COMMIT_TIMEOUT);
        if self.hold.is_active() || !(overdue || self.hold.is_begun()) {
            return;
        }
        let standbys = self.possible_standbys();
        let epoch = self.row.epoch;
        if !self.hold.is_begun() {
            cx.log(
                log::Level::Warn,
                format_args!(
                    "Lease renewal overdue; requesting hold mode. epoch={epoch} standbys={}",
                    standbys.len()
                ),
            );
        }
        for (to, request) in self.hold.requests(&standbys, &cx.group, epoch, cx.now) {
            cx.actions.push(Action::RequestHold { to, request });
        }
        if self.hold.enter(&standbys) {
            self.cancel_moves();
            cx.log(
                log::Level::Warn,
                format_args!("Hold mode entered. epoch={epoch}"),
            );
        }
    }

    /// The standbys named by every version of the row that may be the current one.
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

    pub(super) fn send_grants(&mut self, cx: &mut Context) {
        self.refresh_sets();
        let hold_length = self.hold_length();
        let hold = self.hold.is_active().then_some(Millis(hold_length));
        let empty = GrantSet::new(Vec::new());
        let returning: Vec<VmName> = self
            .fronts
            .iter()
            .filter(|(name, front)| self.must_return(name, front, cx))
            .map(|(name, _)| name.clone())
            .collect();
        for (name, lease) in &mut self.targets {
            let Some(receiver) = receiver(name, &self.row, &self.fronts, &self.writes, &cx.cluster)
            else {
                continue;
            };
            let set = match receiver {
                // A front daemon that is to be replaced has to give up the lease first.
                Receiver::Front(_) if returning.contains(name) && hold.is_none() => &empty,
                _ => self.sets.get(name).unwrap_or(&empty),
            };
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
            let target = name.clone();
            cx.actions.push(match receiver {
                Receiver::Target(addr) => Action::Grant {
                    target,
                    addr,
                    request,
                },
                Receiver::Front(front) => Action::GrantFront {
                    front: front.clone(),
                    target,
                    request,
                },
            });
        }
    }

    pub(super) fn handle_grant_reply(
        &mut self,
        target: &VmName,
        sequence: u64,
        reply: Option<GrantReply>,
        cx: &mut Context,
    ) {
        let Some(lease) = self.targets.get_mut(target) else {
            return;
        };
        if self.fronts.get(target) != Some(&cx.me) {
            self.is_failing = reply.is_none();
            if reply.is_some() {
                self.last_contact = cx.now;
                self.had_contact = true;
            }
        }
        let checks_grants = cx.cluster.checks_grants;
        let effect = lease.handle_reply(
            sequence,
            self.row.epoch,
            reply.as_ref(),
            checks_grants,
            cx.now,
        );
        if !lease.has_hold_lease() {
            self.hold_lengths.remove(target);
        }
        match effect {
            ReplyEffect::Nothing => return,
            ReplyEffect::Current => {}
            ReplyEffect::Restarted => {
                cx.info(format_args!(
                    "A target's lease holder has restarted and lost the lease. target={target}"
                ));
            }
            ReplyEffect::Superseded => {
                cx.info(format_args!(
                    "A target follows a higher epoch; reading the row. target={target} epoch={}",
                    self.row.epoch
                ));
                cx.actions.push(Action::ReadRow);
                return;
            }
        }
        if let Some(reply) = reply {
            self.partition_rates.add(&reply.request_counts);
        }
    }

    /// Recomputes the set of each target: the partitions that it owns, except those being moved.
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

/// The recipient of a target's lease: the target itself or its front daemon.
#[derive(Clone, Copy)]
enum Receiver<'a> {
    Target(SocketAddr),
    Front(&'a Link),
}

/// The recipient of the lease of `target`; `None` if the target is not listed or its front daemon
/// is not yet determined.
fn receiver<'a>(
    target: &VmName,
    row: &'a ControllerRow,
    fronts: &BTreeMap<VmName, Link>,
    writes: &PendingWrites,
    cluster: &ClusterView,
) -> Option<Receiver<'a>> {
    let listed = cluster.targets.get(target);
    if cluster.checks_grants {
        return listed.map(|view| Receiver::Target(view.addr));
    }
    let (_, front) = row.fronts.iter().find(|(name, _)| name == target)?;
    // An unresolved write that names another front daemon may still take effect.
    let unresolved = writes.attempts().iter();
    let mut others =
        unresolved.flat_map(|a| a.row.fronts.iter().filter(|(name, _)| name == target));
    let determined = fronts.get(target) == Some(front) && others.all(|(_, other)| other == front);
    determined.then_some(Receiver::Front(front))
}
