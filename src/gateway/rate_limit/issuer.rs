//! The controller's decision on who may send requests to an endpoint with a limit: one permit for
//! each request that the limit allows, for the daemon that has got the fewest lately. This is max-min
//! fair by demand, because daemons ask only for requests that wait.

use super::{PermitReply, Rate};
use crate::{clock::Millis, collections::Map, gateway::model::EndpointInstance, world::VmName};
use std::cmp::Reverse;

/// Longest time for which a daemon's request for permits is held while there are none. Callers do not
/// wait long, and a permit for a request that has given up is wasted.
pub const MAX_HOLD: Millis = Millis(250);
/// Time without permits after a limit is first known, because the requests of the last moments count
/// against it.
const START_PAUSE_SECONDS: f64 = 1.0;
/// Time for which unused permits accumulate. It covers the time between two steps of the controller.
const ACCUMULATION_SECONDS: f64 = 0.1;
/// Time constant of the number of permits that a daemon has got lately.
const RECEIVED_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Time since its last request after which a daemon no longer counts as asking.
const ASKING_TIME: Millis = Millis(2_000);
/// Time since the last request for its permits after which a life is forgotten.
const UNUSED_TIME: Millis = Millis(60_000);

/// Identifies a request for permits that the issuer has not replied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AskId(pub u64);

/// What an endpoint got before the first permit for it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Before {
    /// No requests: it has just started.
    Nothing,
    /// Requests without permits, until this time.
    RequestsUntil(Millis),
}

/// Issues the permits of all lives with a limit.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_life: Map<EndpointInstance, Bucket>,
    last_id: u64,
}

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// Permits that may be issued; negative while earlier requests count against the limit.
    tokens: f64,
    refilled_at: Millis,
    last_asked_at: Millis,
    /// Since when requests need permits.
    began_at: Millis,
    daemons: Map<VmName, Asker>,
    waiting: Vec<Ask>,
}

#[derive(Debug)]
struct Asker {
    /// Permits that it got lately, decayed.
    received: f64,
    decayed_at: Millis,
    asked_at: Millis,
}

#[derive(Debug)]
struct Ask {
    id: AskId,
    daemon: VmName,
    count: u32,
    asked_at: Millis,
}

impl PermitIssuer {
    /// Prepares the permits of a life that is cold.
    pub fn prepare(&mut self, life: &EndpointInstance, rate: Rate, before: Before, now: Millis) {
        match before {
            Before::Nothing => {
                let bucket = self.by_life.entry(life.clone());
                bucket.or_insert_with(|| Bucket::new(rate, 0.0, now));
            }
            Before::RequestsUntil(at) => {
                let known = self.by_life.get_mut(life);
                if let Some(bucket) = known.filter(|bucket| bucket.began_at < at) {
                    bucket.tokens = -START_PAUSE_SECONDS * rate.sent_per_second();
                    bucket.refilled_at = now;
                    bucket.began_at = at;
                }
            }
        }
    }

    /// Records that `daemon` asks for `count` permits for a life with this limit.
    pub fn ask(
        &mut self,
        life: &EndpointInstance,
        rate: Rate,
        daemon: &VmName,
        count: u32,
        now: Millis,
    ) -> AskId {
        self.last_id += 1;
        let id = AskId(self.last_id);
        let bucket = self.by_life.entry(life.clone());
        let owed = START_PAUSE_SECONDS * rate.sent_per_second();
        let bucket = bucket.or_insert_with(|| Bucket::new(rate, -owed, now));
        bucket.refill(now);
        bucket.set_rate(rate);
        bucket.last_asked_at = now;
        if count > 0 {
            bucket.asker(daemon, now).asked_at = now;
        }
        bucket.waiting.push(Ask {
            id,
            daemon: daemon.clone(),
            count,
            asked_at: now,
        });
        id
    }

    /// Sets the limit of a life whose permits have been asked for.
    pub fn set_rate(&mut self, life: &EndpointInstance, rate: Rate, now: Millis) {
        if let Some(bucket) = self.by_life.get_mut(life) {
            bucket.refill(now);
            bucket.set_rate(rate);
        }
    }

    /// Issues the permits that are due, and returns the replies.
    pub fn step(&mut self, now: Millis) -> Vec<(AskId, PermitReply)> {
        let mut replies = Vec::new();
        for bucket in self.by_life.values_mut() {
            bucket.refill(now);
            bucket.issue(now, &mut replies);
        }
        self.by_life.retain(|_, bucket| {
            !bucket.waiting.is_empty() || now.since(bucket.last_asked_at) < UNUSED_TIME
        });
        replies
    }

    /// Forgets all limits and requests: this daemon is not the controller.
    pub fn clear(&mut self) {
        self.by_life.clear();
    }

    /// When the next step is due; `None` if no request is held.
    pub fn next_step_at(&self, now: Millis) -> Option<Millis> {
        let buckets = self.by_life.values().filter(|b| !b.waiting.is_empty());
        let due = buckets.map(|bucket| {
            let missing = (1.0 - bucket.tokens).max(0.0);
            now + Millis((missing * bucket.interval_ms()).ceil() as u64)
        });
        due.min()
    }
}

impl Bucket {
    fn new(rate: Rate, tokens: f64, now: Millis) -> Self {
        Self {
            rate,
            tokens,
            refilled_at: now,
            last_asked_at: now,
            began_at: now,
            daemons: Map::default(),
            waiting: Vec::new(),
        }
    }

    /// Mean time between two permits.
    fn interval_ms(&self) -> f64 {
        1_000.0 / self.rate.sent_per_second()
    }

    fn capacity(&self) -> f64 {
        (self.rate.sent_per_second() * ACCUMULATION_SECONDS).max(1.0)
    }

    fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn refill(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.refilled_at).0 as f64;
        self.refilled_at = now;
        let tokens = self.tokens + elapsed_ms / self.interval_ms();
        self.tokens = tokens.min(self.capacity());
    }

    fn asker(&mut self, daemon: &VmName, now: Millis) -> &mut Asker {
        let asker = self.daemons.entry(daemon.clone()).or_insert_with(|| Asker {
            received: 0.0,
            decayed_at: now,
            asked_at: now,
        });
        let elapsed_ms = now.since(asker.decayed_at).0 as f64;
        asker.received *= (-elapsed_ms / RECEIVED_TIME_CONSTANT_MS).exp();
        asker.decayed_at = now;
        asker
    }

    fn issue(&mut self, now: Millis, replies: &mut Vec<(AskId, PermitReply)>) {
        self.daemons
            .retain(|_, asker| now.since(asker.asked_at) < ASKING_TIME);
        while self.tokens >= 1.0
            && let Some(at) = self.next_ask(now)
        {
            let share = (self.tokens / self.waiting.len() as f64).floor().max(1.0) as u32;
            let ask = self.waiting.swap_remove(at);
            let permits = share.min(ask.count);
            self.tokens -= f64::from(permits);
            self.asker(&ask.daemon, now).received += f64::from(permits);
            replies.push(self.reply(&ask, permits, now));
        }
        let is_over = |ask: &Ask| ask.count == 0 || now.since(ask.asked_at) >= MAX_HOLD;
        let (over, held) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_over);
        self.waiting = held;
        let over: Vec<Ask> = over;
        replies.extend(over.iter().map(|ask| self.reply(ask, 0, now)));
    }

    /// Position of the waiting request that is served next: of the daemon that has got the fewest whole
    /// permits lately, and of several the one that came last. The caller behind an older one is more
    /// likely to have given up.
    fn next_ask(&mut self, now: Millis) -> Option<usize> {
        let asks: Vec<(usize, VmName, AskId)> = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, ask)| ask.count > 0)
            .map(|(at, ask)| (at, ask.daemon.clone(), ask.id))
            .collect();
        let ranked = asks
            .into_iter()
            .map(|(at, daemon, id)| (self.asker(&daemon, now).received as u64, Reverse(id.0), at));
        let first = ranked.min();
        first.map(|(_, _, at)| at)
    }

    fn reply(&self, ask: &Ask, permits: u32, now: Millis) -> (AskId, PermitReply) {
        let interval_ms = self.daemons.len().max(1) as f64 * self.interval_ms();
        let reply = PermitReply {
            permits,
            waited: now.since(ask.asked_at),
            interval: Millis(interval_ms as u64),
        };
        (ask.id, reply)
    }
}
