//! The controller's record of the lease of one target: what was granted, and an upper bound on when
//! it ends. The lease is held by the target itself or by its front daemon.

use super::timing::{
    DRAIN_POLL_INTERVAL, GRANT_RETRY_DELAY, MAX_READING_AGE, REACHABLE_TIMEOUT, TARGET_LEASE,
    TARGET_RENEWAL_INTERVAL, latest_end,
};
use crate::{
    clock::Millis,
    collections::Set,
    partition::Partition,
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Incarnation},
};
use std::{net::SocketAddr, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// A set of partitions to grant, identified by a hash of its content.
#[derive(Clone, Debug, Default)]
pub struct GrantSet {
    id: u64,
    partitions: Arc<Vec<(Partition, u64)>>,
}

impl GrantSet {
    /// Creates a set of partitions with their ownership epochs, in ascending order.
    pub fn new(partitions: Vec<(Partition, u64)>) -> Self {
        let mut hash = Xxh3::new();
        for (partition, epoch) in &partitions {
            hash.update(&partition.0.to_le_bytes());
            hash.update(&epoch.to_le_bytes());
        }
        Self {
            id: hash.digest(),
            partitions: Arc::new(partitions),
        }
    }

    /// Whether the set has no partitions.
    pub fn is_empty(&self) -> bool {
        self.partitions.is_empty()
    }
}

/// What a reply to a grant means for the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyEffect {
    /// Nothing: there was no reply, or a later request has been answered already.
    Nothing,
    /// The reply comes from the expected incarnation of the holder.
    Current,
    /// The holder has restarted and holds no lease.
    Restarted,
    /// The holder follows a controller with a higher epoch.
    Superseded,
}

#[derive(Clone, Copy, Debug, Default)]
struct SentLease {
    sequence: u64,
    ends: Millis,
    hold: bool,
}

/// The lease of one target, as recorded by the controller.
#[derive(Clone, Debug, Default)]
pub struct TargetLease {
    addr: Option<SocketAddr>,
    /// No request is sent before this time; see [`set_addr`](Self::set_addr).
    blocked_until: Millis,
    incarnation: Option<Incarnation>,
    reading: Option<(u64, Millis)>,
    /// Upper bound on the leases that are not in `sent`.
    inherited: SentLease,
    /// Until when requests sent by a previous incarnation of a front daemon may be running.
    old_requests_end: Millis,
    /// Grants that the holder may apply or have applied.
    sent: Vec<SentLease>,
    /// Sequence numbers of unanswered requests that grant a lease.
    unanswered_grants: Vec<u64>,
    sequence: u64,
    last_answered: u64,
    last_confirmed: u64,
    /// Sequence number of the latest request that grants partitions.
    last_nonempty: u64,
    set_id: Option<u64>,
    /// Set and time of the latest request that grants a lease.
    last_grant: Option<(u64, Millis)>,
    draining: Set<Partition>,
    leaving: bool,
    in_flight: Option<u64>,
    last_sent: Option<Millis>,
    last_answer: Option<Millis>,
    failing: bool,
}

impl TargetLease {
    /// A target that may hold a lease of a predecessor until `ends`; `hold` says whether that may
    /// be a lease granted in hold mode.
    pub fn inherited(ends: Millis, hold: bool) -> Self {
        Self {
            inherited: SentLease {
                sequence: 0,
                ends,
                hold,
            },
            ..Self::default()
        }
    }

    /// Sequence number of the latest request sent; 0 before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Latest time at which a lease of the target, or a request sent by a previous incarnation
    /// of its front daemon, ends.
    pub fn ends(&self) -> Millis {
        self.sent
            .iter()
            .map(|sent| sent.ends)
            .fold(self.inherited.ends.max(self.old_requests_end), Millis::max)
    }

    /// Whether the target may hold a lease granted in hold mode.
    pub fn has_hold_lease(&self) -> bool {
        self.inherited.hold || self.sent.iter().any(|sent| sent.hold)
    }

    /// Whether the holder has replied within [`REACHABLE_TIMEOUT`].
    pub fn is_reachable(&self, now: Millis) -> bool {
        self.incarnation.is_some()
            && self
                .last_answer
                .is_some_and(|last| now < last + REACHABLE_TIMEOUT)
    }

    /// Whether the latest exchange failed or the holder follows a higher epoch.
    pub fn is_failing(&self) -> bool {
        self.failing
    }

    /// Whether the target reported that it is leaving, so that its partitions are to be moved.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether the holder has confirmed a set sent after request `sequence` and no request for
    /// `partition` is running any more. The caller sends no set with `partition` after `sequence`.
    pub fn has_fenced(&self, partition: Partition, sequence: u64, now: Millis) -> bool {
        let ended = now >= self.old_requests_end && !self.draining.contains(&partition);
        self.last_confirmed > sequence && ended
    }

    /// Whether the holder has confirmed the empty set, has completed all requests and has been
    /// granted no partitions since.
    pub fn is_returned(&self, now: Millis) -> bool {
        let ended = now >= self.old_requests_end && self.draining.is_empty();
        self.last_confirmed > self.last_nonempty && ended
    }

    /// Resets the record for another holder, after the lease of the previous one has ended or been
    /// returned.
    pub fn replace_holder(&mut self) {
        *self = Self {
            sequence: self.sequence,
            last_answered: self.sequence,
            ..Self::default()
        };
    }

    /// Sets the address. A changed address means another machine under the same name. Its replies
    /// prove nothing about the previous machine, whose lease therefore has to end first.
    pub fn set_addr(&mut self, addr: SocketAddr) {
        if self.addr.is_some_and(|known| known != addr) {
            let ends = self.ends();
            *self = Self {
                blocked_until: ends,
                sequence: self.sequence,
                last_answered: self.sequence,
                ..Self::inherited(ends, self.has_hold_lease())
            };
        }
        self.addr = Some(addr);
    }

    /// Whether a request should be sent now.
    pub fn is_due(&self, set: &GrantSet, now: Millis) -> bool {
        if self.in_flight.is_some() || now < self.blocked_until {
            return false;
        }
        if self.failing {
            return self
                .last_sent
                .is_none_or(|last| now >= last + GRANT_RETRY_DELAY);
        }
        let awaited =
            self.set_id != Some(set.id) || !self.draining.is_empty() || self.has_hold_lease();
        let interval = match self.last_grant {
            _ if self.incarnation.is_none() => DRAIN_POLL_INTERVAL,
            Some((id, _)) if awaited && id == set.id => DRAIN_POLL_INTERVAL,
            Some((id, _)) if id == set.id => TARGET_RENEWAL_INTERVAL,
            _ => Millis::ZERO,
        };
        let last = match self.incarnation {
            Some(_) => self.last_grant.map(|(_, sent)| sent),
            None => self.last_sent,
        };
        last.is_none_or(|last| now >= last + interval)
    }

    /// Whether a hold-mode lease should be sent now.
    pub fn is_hold_due(&self, now: Millis) -> bool {
        let confirmed = self
            .sent
            .iter()
            .any(|sent| sent.hold && sent.sequence <= self.last_confirmed);
        let retry = self
            .last_sent
            .is_none_or(|last| now >= last + DRAIN_POLL_INTERVAL);
        self.in_flight.is_none() && now >= self.blocked_until && !confirmed && retry
    }

    /// The next request to send; `hold` is the length of the lease in hold mode, `None` otherwise.
    /// The caller holds the controller lease at `now`, so the echoed clock reading was received
    /// before that lease ends.
    ///
    /// Without a fresh reading the request grants nothing and only asks for one (a contact).
    pub fn request(
        &mut self,
        group: &GroupId,
        epoch: u64,
        set: &GrantSet,
        hold: Option<Millis>,
        now: Millis,
    ) -> GrantRequest {
        self.sequence += 1;
        self.in_flight = Some(self.sequence);
        self.last_sent = Some(now);
        let mut req = GrantRequest {
            group: group.clone(),
            controller_epoch: epoch,
            sequence: self.sequence,
            incarnation: None,
            echo: None,
            lease_ms: 0,
            set_id: set.id,
            partitions: None,
        };
        let reading = self.reading.filter(|_| self.has_fresh_reading(now));
        let (Some(incarnation), Some((reading, received))) = (self.incarnation, reading) else {
            return req;
        };
        let lease = hold.unwrap_or(TARGET_LEASE);
        req.incarnation = Some(incarnation);
        req.echo = Some(reading);
        req.lease_ms = lease.0;
        if self.set_id != Some(set.id) {
            req.partitions = Some(set.partitions.to_vec());
        }
        self.last_grant = Some((set.id, now));
        self.unanswered_grants.push(self.sequence);
        if !set.is_empty() {
            self.last_nonempty = self.sequence;
        }
        // Leases that have ended are dropped, whether or not the holder has applied them.
        self.sent.retain(|sent| sent.ends > now);
        self.sent.push(SentLease {
            sequence: self.sequence,
            ends: latest_end(received, lease),
            hold: hold.is_some(),
        });
        req
    }

    /// Handles the reply to request `sequence` under `epoch`; `None` if there was none.
    ///
    /// `ends_on_restart` says whether a restart of the holder ends everything done under its lease.
    /// Requests sent by a front daemon may outlive the daemon, so it is false there and the
    /// requests are waited for.
    pub fn handle_reply(
        &mut self,
        sequence: u64,
        epoch: u64,
        reply: Option<&GrantReply>,
        ends_on_restart: bool,
        now: Millis,
    ) -> ReplyEffect {
        if self.in_flight == Some(sequence) {
            self.in_flight = None;
            self.failing = reply.is_none();
        }
        let Some(reply) = reply.filter(|_| sequence > self.last_answered) else {
            return ReplyEffect::Nothing;
        };
        self.last_answered = sequence;
        self.failing = false;
        if reply.controller_epoch > epoch {
            self.failing = true;
            return ReplyEffect::Superseded;
        }
        let restarted = self.incarnation.is_some_and(|i| i != reply.incarnation);
        if restarted {
            let old_requests_end = match ends_on_restart {
                true => Millis::ZERO,
                false => self.ends(),
            };
            self.reset_for_restart(old_requests_end);
        } else if reply.accepted {
            self.apply_accepted(sequence, reply, now);
        }
        self.unanswered_grants.retain(|&granted| granted > sequence);
        self.incarnation = Some(reply.incarnation);
        self.reading = Some((reply.reading, now));
        self.set_id = reply.set_id;
        self.leaving = reply.leaving;
        self.last_answer = Some(now);
        if restarted {
            ReplyEffect::Restarted
        } else {
            ReplyEffect::Current
        }
    }

    /// Records an accepted request. From now on the holder ignores all earlier requests, including
    /// those of predecessors.
    fn apply_accepted(&mut self, sequence: u64, reply: &GrantReply, now: Millis) {
        self.draining = reply.draining.iter().copied().collect();
        if self.unanswered_grants.contains(&sequence) {
            self.last_confirmed = sequence;
            self.inherited = SentLease::default();
        } else {
            // A contact does not end the lease that the target already holds.
            let ends = latest_end(now, Millis(reply.lease_left_ms)).min(self.ends());
            let hold = self.has_hold_lease() && reply.lease_left_ms > 0;
            self.inherited = SentLease {
                sequence: 0,
                ends,
                hold,
            };
        }
        self.sent.retain(|sent| sent.sequence >= sequence);
    }

    /// Resets the record after a restart of the holder; requests of its previous incarnation end by
    /// `old_requests_end`.
    fn reset_for_restart(&mut self, old_requests_end: Millis) {
        *self = Self {
            addr: self.addr,
            sequence: self.sequence,
            last_answered: self.last_answered,
            in_flight: self.in_flight,
            last_sent: self.last_sent,
            old_requests_end,
            ..Self::default()
        };
    }

    /// Whether the latest clock reading is recent enough to be echoed.
    fn has_fresh_reading(&self, now: Millis) -> bool {
        self.reading
            .is_some_and(|(_, received)| now <= received + MAX_READING_AGE)
    }
}
