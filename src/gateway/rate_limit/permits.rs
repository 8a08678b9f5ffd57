//! Permits that a daemon holds for requests to one endpoint with a limit, and what it does without a
//! controller that issues them.

use super::{PermitReply, Rate, cold::LargestFleet, phase::Phase};
use crate::{clock::Millis, gateway::claim::Claim};
use std::{
    collections::VecDeque,
    ops::RangeInclusive,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};
use tokio::sync::Notify;

/// Time for which a permit is valid. Unused ones have to end soon, since a limit is kept over seconds.
const PERMIT_LIFETIME: Millis = Millis(500);
/// Most permits that are asked for at once.
const MAX_BATCH: u32 = 64;
/// Time within which permits have to be used up for more to be asked for at once.
const QUICK_USE: Millis = Millis(100);
/// Share of its equal part of a limit, as a divisor, that a daemon uses while no controller answers
/// it: the controller may issue permits for the whole limit to the daemons that it reaches.
const UNISSUED_DIVISOR: f64 = 3.0;
/// Number of daemons that is assumed until a controller tells it.
const ASSUMED_FLEET: usize = 100;
/// Time after which a request for permits without a reply counts as lost.
const ASK_EXPIRY: Millis = Millis(2_000);

/// Whether a controller issues permits to this daemon; shared by all lives.
#[derive(Debug, Default)]
pub struct Issuing {
    /// Number of daemons among which limits are divided while no controller answers; 0 if one does.
    unissued_daemons: AtomicUsize,
    /// Largest number of daemons lately.
    fleet: AtomicUsize,
    largest_fleet: Mutex<LargestFleet>,
    /// Whether permits of some life are wanted, or the controller has to be told of a limit.
    is_wanted: AtomicBool,
    /// Wakes the control thread when that becomes true.
    wanted: Notify,
}

impl Issuing {
    /// Records that a controller issues permits.
    pub fn resume(&self) {
        self.unissued_daemons.store(0, Ordering::Relaxed);
    }

    /// Records that no controller answers, and that `daemons` share the limits.
    pub fn suspend(&self, daemons: usize) {
        self.unissued_daemons
            .store(daemons.max(1), Ordering::Relaxed);
    }

    /// Records the number of daemons.
    pub fn record_daemons(&self, daemons: usize, now: Millis) {
        let largest = self.largest_fleet.lock();
        let mut largest = largest.unwrap_or_else(PoisonError::into_inner);
        self.fleet
            .store(largest.record(daemons, now), Ordering::Relaxed);
    }

    /// Largest number of daemons lately; an assumed one before a controller has told any.
    pub(super) fn fleet(&self) -> usize {
        match self.fleet.load(Ordering::Relaxed) {
            0 => ASSUMED_FLEET,
            fleet => fleet,
        }
    }

    /// Waits until permits are wanted.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    pub(super) fn wake(&self) {
        if !self.is_wanted.swap(true, Ordering::AcqRel) {
            self.wanted.notify_one();
        }
    }

    /// Whether permits were wanted since the last call.
    pub(super) fn take_wanted(&self) -> bool {
        self.is_wanted.swap(false, Ordering::AcqRel)
    }

    /// Number of daemons that share a limit without a controller; `None` if there is one.
    pub(super) fn unissued_daemons(&self) -> Option<usize> {
        let daemons = self.unissued_daemons.load(Ordering::Relaxed);
        (daemons > 0).then_some(daemons)
    }
}

/// Permits of one daemon for one life.
#[derive(Debug, Default)]
pub(super) struct Permits {
    /// Ends of the permits that are left, in the order in which they arrived.
    valid_until: VecDeque<Millis>,
    is_wanted: bool,
    /// Number of permits that the next request asks for beyond the first one. It doubles while permits
    /// are used up quickly, so that a high limit does not take a request for each permit.
    extra: u32,
    asked_at: Option<Millis>,
    /// When the last permits arrived.
    received_at: Millis,
    /// Mean time between two permits, as the controller last told.
    interval: Option<Millis>,
    /// When the next request may be sent without a controller.
    next_unissued_at: Option<Millis>,
    first_unissued: Phase,
    /// Until when rejected callers were told to return.
    next_return_at: Millis,
}

impl Permits {
    /// Whether there is a permit at `now`.
    pub(super) fn has_permit(&self, now: Millis) -> bool {
        self.valid_until.iter().any(|until| now < *until)
    }

    /// Records that a request asked for a permit at `now`: without any, one is wanted.
    pub(super) fn want(&mut self, now: Millis) {
        while self.valid_until.front().is_some_and(|until| now >= *until) {
            self.valid_until.pop_front();
            self.extra = 0;
        }
        self.is_wanted |= self.valid_until.is_empty();
    }

    /// Whether a request may be sent at `now`.
    pub(super) fn may_send(&self, rate: Rate, issuing: &Issuing, now: Millis) -> bool {
        let next = self.next_unissued(rate, issuing, now);
        self.has_permit(now) || next.is_some_and(|next| now >= next)
    }

    /// Records that a request without a permit asked to be sent at `now`.
    pub(super) fn advance_unissued(&mut self, rate: Rate, issuing: &Issuing, now: Millis) {
        self.next_unissued_at = self.next_unissued(rate, issuing, now);
    }

    /// When the next request may be sent without a permit; `None` if a controller issues them. The
    /// first moment is random, so that the daemons do not all send at once.
    fn next_unissued(&self, rate: Rate, issuing: &Issuing, now: Millis) -> Option<Millis> {
        let interval_ms = unissued_interval_ms(rate, issuing.unissued_daemons()?);
        let first = || now + self.first_unissued.of(interval_ms);
        Some(self.next_unissued_at.unwrap_or_else(first))
    }

    /// Uses one permit for a request that is sent at `now`. False if there was none.
    pub(super) fn take(&mut self, rate: Rate, issuing: &Issuing, now: Millis) -> bool {
        self.is_wanted = false;
        if self.valid_until.pop_front().is_some() {
            let is_quick = now.since(self.received_at) < QUICK_USE;
            if is_quick && self.valid_until.is_empty() {
                self.extra = (self.extra * 2 + 1).min(MAX_BATCH - 1);
            }
            return true;
        }
        if let Some(daemons) = issuing.unissued_daemons() {
            let interval_ms = unissued_interval_ms(rate, daemons);
            self.next_unissued_at = Some(now + Millis(interval_ms as u64));
        }
        false
    }

    /// Number of permits to ask for now; `None` if none is wanted, or if there was no reply yet.
    pub(super) fn take_wanted(&mut self, now: Millis) -> Option<u32> {
        let is_pending = self.asked_at.is_some_and(|at| now.since(at) < ASK_EXPIRY);
        if is_pending || !std::mem::take(&mut self.is_wanted) {
            return None;
        }
        self.asked_at = Some(now);
        Some(1 + self.extra)
    }

    /// Records the reply to the request for permits; `None` if there was none.
    pub(super) fn record(&mut self, reply: Option<PermitReply>, now: Millis) {
        let Some(asked_at) = self.asked_at.take() else {
            return;
        };
        let Some(reply) = reply else {
            return;
        };
        // A controller that does not know of the limit yet states no interval.
        self.interval = Some(reply.interval).filter(|interval| *interval > Millis::ZERO);
        // The earliest time at which the permits can have been issued.
        let issued_at = (asked_at + reply.waited).min(now);
        let valid_until = issued_at + PERMIT_LIFETIME;
        let permits = reply.permits.min(MAX_BATCH) as usize;
        if now < valid_until {
            self.received_at = now;
            self.valid_until
                .extend(std::iter::repeat_n(valid_until, permits));
        }
    }

    /// Mean time between two requests that this daemon may send.
    pub(super) fn interval(&self, rate: Rate, issuing: &Issuing) -> Millis {
        match issuing.unissued_daemons() {
            Some(daemons) => Millis(unissued_interval_ms(rate, daemons) as u64),
            None => {
                let of_one = Millis((1_000.0 / rate.sent_per_second()) as u64);
                self.interval.unwrap_or(of_one)
            }
        }
    }

    /// Expected time until a request behind `ahead` others may be sent.
    pub(super) fn expected_wait(&self, ahead: usize, interval: Millis, now: Millis) -> Millis {
        let left = self.valid_until.iter().filter(|until| now < **until);
        let without_permit = ahead.saturating_sub(left.count());
        Millis(interval.0.saturating_mul(without_permit as u64))
    }

    /// When a caller that is rejected now may return, at the latest `latest`. Callers are told
    /// different times, as far apart as permits; those beyond `latest` are spread at random over the
    /// times that are returned.
    pub(super) fn next_return(
        &mut self,
        interval: Millis,
        latest: Millis,
        claim: Claim,
        now: Millis,
    ) -> RangeInclusive<Millis> {
        let next = self.next_return_at.max(now) + interval;
        if next > latest {
            let longest = latest.since(now).0;
            return now + Millis(longest / 2)..=now + Millis(longest);
        }
        if claim == Claim::Take {
            self.next_return_at = next;
        }
        next..=next
    }

    /// Forgets everything: the limit has ended.
    pub(super) fn clear(&mut self) {
        *self = Self {
            asked_at: self.asked_at,
            ..Self::default()
        };
    }
}

fn unissued_interval_ms(rate: Rate, daemons: usize) -> f64 {
    daemons as f64 * UNISSUED_DIVISOR * 1_000.0 / rate.sent_per_second()
}
