//! The controller while it holds the controller lease: front daemons of targets that do not check
//! grants.
//!
//! A front daemon holds the lease in place of its target. The controller row names one for each
//! target. Another one is named only after the lease of the previous one has ended or been
//! returned, and receives the lease only once the row has been written. A successor of the
//! controller thus knows which front daemon it has to fence.

use super::{Context, holding::Holding};
use crate::{
    collections::Map,
    ownership::{target_lease::TargetLease, timing::FRONT_MOVE_INTERVAL},
    world::{Link, VmName, ZoneName},
};

impl Holding {
    /// Chooses front daemons for listed targets that have none, or whose front daemon has failed,
    /// is stopping or is in the wrong zone.
    pub(super) fn advance_fronts(&mut self, cx: &mut Context) {
        if cx.cluster.checks_grants || self.hold.is_begun() {
            self.misplaced = None;
            return;
        }
        self.find_misplaced(cx);
        let vacant: Vec<VmName> = cx
            .cluster
            .targets
            .keys()
            .filter(|name| match self.fronts.get(*name) {
                None => true,
                Some(front) => self.is_unusable(name, front, cx) && self.is_returned(name, cx),
            })
            .cloned()
            .collect();
        for name in vacant {
            let front = self.choose_front(&name, cx);
            if self.misplaced.as_ref() == Some(&name) {
                self.misplaced = None;
            }
            if self.fronts.get(&name) == Some(&front) {
                continue;
            }
            if let Some(lease) = self.targets.get_mut(&name) {
                lease.replace_holder();
            }
            cx.info(format_args!(
                "Front daemon chosen. target={name} front={}",
                front.name
            ));
            self.fronts.insert(name, front);
        }
    }

    /// Picks one target at a time whose front daemon is in another zone although a daemon in the
    /// target's zone is live. This happens after a start, when the first daemon is the front daemon
    /// of all targets until others are known.
    fn find_misplaced(&mut self, cx: &Context) {
        if self.misplaced.is_some() || cx.now < self.next_front_move {
            return;
        }
        self.next_front_move = cx.now + FRONT_MOVE_INTERVAL;
        // The controller's own daemon is avoided as a front daemon, so it does not count.
        let zone_has_daemon =
            |zone: &ZoneName| cx.cluster.members.iter().any(|link| link.zone == *zone);
        let misplaced = self.fronts.iter().find(|(name, front)| {
            let listed = cx.cluster.targets.get(*name);
            listed.is_some_and(|t| t.zone != front.zone && zone_has_daemon(&t.zone))
        });
        self.misplaced = misplaced.map(|(name, _)| name.clone());
    }

    /// Whether the front daemon of `target` has to return its lease so that another one can be
    /// named.
    pub(super) fn must_return(&self, target: &VmName, front: &Link, cx: &Context) -> bool {
        !cx.is_live(front) || self.misplaced.as_ref() == Some(target)
    }

    /// Whether a choice of front daemons has not been written to the row yet.
    pub(super) fn has_new_fronts(&self) -> bool {
        !self
            .fronts
            .iter()
            .eq(self.row.fronts.iter().map(|(t, f)| (t, f)))
    }

    fn is_unusable(&self, target: &VmName, front: &Link, cx: &Context) -> bool {
        let unresponsive = |lease: &TargetLease| lease.is_failing() && !lease.is_reachable(cx.now);
        self.must_return(target, front, cx) || self.targets.get(target).is_some_and(unresponsive)
    }

    fn is_returned(&self, target: &VmName, cx: &Context) -> bool {
        self.targets
            .get(target)
            .is_none_or(|lease| lease.ends() <= cx.now || lease.is_returned(cx.now))
    }

    /// The live daemon that is the front daemon of the fewest targets, in the target's zone if
    /// possible; the present front daemon and the controller's only if there is no other.
    fn choose_front(&self, target: &VmName, cx: &Context) -> Link {
        let mut loads: Map<&VmName, usize> = Map::default();
        for front in self.fronts.values() {
            *loads.entry(&front.name).or_default() += 1;
        }
        let zone = cx.cluster.targets.get(target).map(|view| &view.zone);
        let live = cx.cluster.members.iter().chain([&cx.me]);
        let present = self.fronts.get(target);
        live.min_by_key(|link| {
            let load = loads.get(&link.name).copied().unwrap_or_default();
            // The controller's own daemon comes last: it would not notice that it is cut off, and
            // both roles would be lost together.
            let avoided = present == Some(*link) || **link == cx.me;
            (avoided, Some(&link.zone) != zone, load, &link.name)
        })
        .unwrap_or(&cx.me)
        .clone()
    }
}
