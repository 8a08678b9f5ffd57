//! The lease of a target, as held by the target itself or by its front daemon.

use crate::{
    clock::Millis,
    collections::Map,
    partition::Partition,
    target_api::{GrantReply, GrantRequest, NotRunReason},
    world::{GroupId, Incarnation},
};

/// One lease for a set of partitions of one control group.
///
/// The lease starts at a reading of the holder's own clock, which the grant echoes. So a delay in
/// transit shortens the lease, and clocks are never compared across VMs.
///
/// Serve a request with [`begin`](Self::begin) right before it starts and [`end`](Self::end) once
/// it has ended; answer each [`GrantRequest`] with [`grant`](Self::grant). All times are readings
/// of one clock that keeps counting while the VM is suspended.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    incarnation: Incarnation,
    group: Option<GroupId>,
    controller_epoch: u64,
    sequence: u64,
    set_id: Option<u64>,
    owned: Map<Partition, u64>,
    ends: Millis,
    running: Map<Partition, u32>,
    request_counts: Map<Partition, u32>,
    leaving: bool,
}

impl LeaseHolder {
    /// Creates a holder without a lease for this incarnation of the target.
    ///
    /// The first grant binds it to a control group; a target of several groups keeps one holder
    /// for each.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            group: None,
            controller_epoch: 0,
            sequence: 0,
            set_id: None,
            owned: Map::default(),
            ends: Millis::ZERO,
            running: Map::default(),
            request_counts: Map::default(),
            leaving: false,
        }
    }

    /// Applies a grant at time `now` if it is current, and returns the reply.
    pub fn grant(&mut self, req: &GrantRequest, now: Millis) -> GrantReply {
        let accepted = self.is_current(req) && self.apply_grant(req, now);
        let request_counts = if accepted {
            self.request_counts.drain().collect()
        } else {
            Vec::new()
        };
        self.reply(accepted, request_counts, now)
    }

    /// Whether a request for `partition` under `ownership_epoch` may start at time `now`.
    ///
    /// # Errors
    /// [`NotRunReason::NotOwner`] if this holder has no lease for it.
    pub fn admit(
        &self,
        partition: Partition,
        ownership_epoch: u64,
        now: Millis,
    ) -> Result<(), NotRunReason> {
        if now < self.ends && self.owned.get(&partition) == Some(&ownership_epoch) {
            Ok(())
        } else {
            Err(NotRunReason::NotOwner)
        }
    }

    /// Admits a request and counts it as running until [`end`](Self::end).
    ///
    /// # Errors
    /// As [`admit`](Self::admit).
    pub fn begin(
        &mut self,
        partition: Partition,
        ownership_epoch: u64,
        now: Millis,
    ) -> Result<(), NotRunReason> {
        self.admit(partition, ownership_epoch, now)?;
        *self.running.entry(partition).or_default() += 1;
        *self.request_counts.entry(partition).or_default() += 1;
        Ok(())
    }

    /// Records the end of a request that [`begin`](Self::begin) admitted.
    pub fn end(&mut self, partition: Partition) {
        if let Some(count) = self.running.get_mut(&partition) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&partition);
            }
        }
    }

    /// Time left of the lease; 0 once it has ended.
    pub fn lease_left(&self, now: Millis) -> Millis {
        self.ends.since(now)
    }

    /// Partitions in the set with their ownership epochs, whether or not the lease has ended.
    pub fn owned(&self) -> &Map<Partition, u64> {
        &self.owned
    }

    /// Number of requests running.
    pub fn in_flight(&self) -> u32 {
        self.running.values().sum()
    }

    /// The incarnation that holds the lease.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Highest controller epoch seen; 0 before the first grant.
    pub fn controller_epoch(&self) -> u64 {
        self.controller_epoch
    }

    /// Sets whether replies report this target as leaving. It serves its partitions until they have
    /// been moved.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Whether `req` is for this incarnation and group, and newer than all requests seen.
    fn is_current(&self, req: &GrantRequest) -> bool {
        let newer = (req.controller_epoch, req.sequence) > (self.controller_epoch, self.sequence);
        let this_incarnation = req.incarnation.is_none_or(|i| i == self.incarnation);
        let this_group = self.group.as_ref().is_none_or(|g| *g == req.group);
        newer && this_incarnation && this_group
    }

    /// Records a current request and applies the lease; returns whether it could be applied.
    fn apply_grant(&mut self, req: &GrantRequest, now: Millis) -> bool {
        self.group.get_or_insert_with(|| req.group.clone());
        self.controller_epoch = req.controller_epoch;
        self.sequence = req.sequence;
        if req.incarnation.is_none() {
            // A first contact fences lower epochs but does not end the current lease.
            return true;
        }
        let Some(echo) = req.echo.filter(|&echo| echo <= now.0) else {
            return false;
        };
        match &req.partitions {
            Some(partitions) => {
                self.owned = partitions.iter().copied().collect();
                self.set_id = Some(req.set_id);
            }
            None if self.set_id == Some(req.set_id) => {}
            None => return false,
        }
        // The lease may get shorter: after hold mode, a normal lease replaces a hold-mode one.
        self.ends = Millis(echo) + Millis(req.lease_ms);
        true
    }

    fn reply(
        &self,
        accepted: bool,
        request_counts: Vec<(Partition, u32)>,
        now: Millis,
    ) -> GrantReply {
        GrantReply {
            accepted,
            incarnation: self.incarnation,
            reading: now.0,
            controller_epoch: self.controller_epoch,
            sequence: self.sequence,
            set_id: self.set_id,
            lease_left_ms: self.lease_left(now).0,
            draining: self.draining(),
            leaving: self.leaving,
            request_counts,
        }
    }

    fn draining(&self) -> Vec<Partition> {
        self.running
            .keys()
            .filter(|partition| !self.owned.contains_key(partition))
            .copied()
            .collect()
    }
}
