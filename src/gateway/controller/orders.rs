//! Grants, renewals and releases.

use super::{Action, Avoided, Controller, GATHER, Held, Managed, Phase, RangeId, Standing};
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        heat::HeatMap,
        model::KeyRange,
        placement::{self, Candidate, Move},
        platform::{GrantOrder, GrantOutcome, ReleaseOutcome},
    },
    world::ServiceName,
};

/// Renewals within the length of a lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// Pause after an order without an answer.
const RETRY_PAUSE: Millis = Millis(150);
/// Grants in a row without an answer after which the keys go to another endpoint.
const MAX_FAILURES: u32 = 4;
/// Releases of a planned move without an answer after which the owner keeps the keys.
const MAX_PLANNED_FAILURES: u32 = 1;
/// Time for which a silent endpoint gets no keys at first.
const AVOID_FIRST: Millis = Millis(3_000);
/// Time between rounds of planned moves of a service.
const MOVE_EVERY: Millis = Millis(500);
/// Ranges of a service above which no more are split, so that its row keeps to the size that the
/// store accepts.
const MAX_RANGES: usize = 2_000;
/// No moves are planned while more ranges are moving than endpoints divided by this.
const MOVING_DIVISOR: usize = 8;
/// Ranges for each endpoint above which small ones join their neighbours.
const RANGES_PER_ENDPOINT: usize = 4;
/// Capacity of an endpoint that is still slow after its start.
const WARMING_CAPACITY: f64 = 0.5;
/// Work time that is assumed before any is known, in milliseconds.
const DEFAULT_WORK_MS: f64 = 100.0;

impl Controller {
    /// Chooses owners for free keys, and plans moves.
    pub(super) fn place(&mut self, heat: &Map<ServiceName, HeatMap>, now: Millis) {
        let empty = HeatMap::default();
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            let Some(mut managed) = self.services.remove(&name) else {
                continue;
            };
            let heat = heat.get(&name).unwrap_or(&empty);
            self.place_free(&name, &mut managed, heat, now);
            self.plan_moves(&name, &mut managed, heat, now);
            self.services.insert(name, managed);
        }
    }

    fn candidates(
        &self,
        name: &ServiceName,
        managed: &Managed,
        heat: &HeatMap,
        now: Millis,
    ) -> Vec<Candidate> {
        let mean_ms = heat.mean_work_ms().unwrap_or(DEFAULT_WORK_MS);
        let mut candidates: Vec<Candidate> = self
            .endpoints
            .values()
            .filter(|entry| entry.service == *name && !entry.draining)
            .map(|entry| {
                let avoided = self.avoided.get(&entry.instance);
                let failing = avoided.is_some_and(|avoided| now < avoided.until);
                let work_ms = heat.work_ms(&entry.instance.name, mean_ms);
                let speed = f64::from(entry.slots) * 1_000.0 / work_ms.max(1.0);
                let warm = if entry.remaining_warmup > Millis::ZERO {
                    WARMING_CAPACITY
                } else {
                    1.0
                };
                Candidate {
                    instance: entry.instance.clone(),
                    capacity: if failing { 0.0 } else { speed * warm },
                    ranges: managed
                        .ranges
                        .iter()
                        .filter(|held| held.owner.as_ref() == Some(&entry.instance))
                        .filter(|held| matches!(held.phase, Phase::Held | Phase::Writing))
                        .map(|held| held.keys)
                        .collect(),
                }
            })
            .filter(|candidate| candidate.capacity > 0.0)
            .collect();
        candidates.sort_by(|a, b| a.instance.cmp(&b.instance));
        candidates
    }

    fn place_free(
        &mut self,
        name: &ServiceName,
        managed: &mut Managed,
        heat: &HeatMap,
        now: Millis,
    ) {
        let is_new = managed.version == 0 && managed.ranges.is_empty();
        if is_new && now.since(managed.since) < GATHER {
            return;
        }
        let mut free: Vec<(KeyRange, Option<std::sync::Arc<str>>)> = managed
            .ranges
            .iter()
            .filter(|held| held.phase == Phase::Free)
            .map(|held| (held.keys, held.handover.clone()))
            .collect();
        free.extend(managed.uncovered().into_iter().map(|keys| (keys, None)));
        if free.is_empty() {
            return;
        }
        let candidates = self.candidates(name, managed, heat, now);
        let keys: Vec<KeyRange> = free.iter().map(|(keys, _)| *keys).collect();
        let moves = placement::distribute(&keys, &candidates, heat);
        if moves.is_empty() {
            return;
        }
        managed.ranges.retain(|held| held.phase != Phase::Free);
        for chosen in moves {
            let handover = free
                .iter()
                .find(|(keys, _)| keys.overlaps(chosen.keys))
                .and_then(|(_, handover)| handover.clone());
            let held = self.written_next(chosen, handover, now);
            managed.ranges.push(held);
        }
    }

    fn written_next(
        &mut self,
        chosen: Move,
        handover: Option<std::sync::Arc<str>>,
        now: Millis,
    ) -> Held {
        Held {
            id: self.next_id(),
            keys: chosen.keys,
            owner: Some(chosen.to),
            token: self.next_token(),
            handover,
            phase: Phase::Writing,
            ends: now,
            due: now,
            in_flight: false,
            confirmed: false,
            unheard: false,
            failures: 0,
            was_fenced: false,
            nobody_listens: false,
        }
    }

    fn plan_moves(
        &mut self,
        name: &ServiceName,
        managed: &mut Managed,
        heat: &HeatMap,
        now: Millis,
    ) {
        let moving = managed.ranges.iter().filter(|held| {
            matches!(
                held.phase,
                Phase::Releasing { planned: true } | Phase::Writing
            )
        });
        let is_moving = moving.count() > self.endpoints.len() / MOVING_DIVISOR;
        if is_moving || now < managed.next_move || heat.total() == 0.0 {
            return;
        }
        managed.next_move = now + MOVE_EVERY;
        let candidates = self.candidates(name, managed, heat, now);
        let mut moves = if managed.ranges.len() > MAX_RANGES {
            Vec::new()
        } else {
            placement::rebalance(&candidates, heat)
        };
        if moves.is_empty() && managed.ranges.len() > candidates.len() * RANGES_PER_ENDPOINT {
            moves = placement::join_small(&candidates, heat);
        }
        for planned in moves {
            self.start_move(name, managed, &planned, now);
        }
    }

    /// Splits the range that holds the keys, and has its owner release them.
    fn start_move(
        &mut self,
        name: &ServiceName,
        managed: &mut Managed,
        planned: &Move,
        now: Millis,
    ) {
        let Some(at) = managed.ranges.iter().position(|held| {
            held.keys.contains(planned.keys.first) && held.keys.contains(planned.keys.last)
        }) else {
            return;
        };
        let whole = &managed.ranges[at];
        if whole.in_flight || whole.phase != Phase::Held || !whole.confirmed {
            return;
        }
        let whole = managed.ranges.remove(at);
        let mut push = |controller: &mut Self, keys: KeyRange, phase: Phase| {
            let mut part = whole.clone();
            part.id = controller.next_id();
            part.keys = keys;
            part.phase = phase;
            managed.ranges.push(part);
        };
        if whole.keys.first < planned.keys.first {
            let keys = KeyRange {
                first: whole.keys.first,
                last: planned.keys.first - 1,
            };
            push(self, keys, Phase::Held);
        }
        if planned.keys.last < whole.keys.last {
            let keys = KeyRange {
                first: planned.keys.last + 1,
                last: whole.keys.last,
            };
            push(self, keys, Phase::Held);
        }
        push(self, planned.keys, Phase::Releasing { planned: true });
        if let Some(moving) = managed.ranges.last_mut() {
            moving.token = self.next_token();
            moving.due = now;
            moving.failures = 0;
        }
        log::info!(target: "ownership", service:% = name, first = planned.keys.first,
            last = planned.keys.last, to:% = planned.to.name; "Move planned.");
    }

    /// Sends what is due.
    pub(super) fn give_orders(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in names {
            if !self.declared.contains(&name) {
                continue;
            }
            let Some(mut managed) = self.services.remove(&name) else {
                continue;
            };
            for held in &mut managed.ranges {
                if let Some(action) = self.order_for(&name, held, now) {
                    actions.push(action);
                }
            }
            self.services.insert(name, managed);
        }
    }

    fn order_for(&mut self, name: &ServiceName, held: &mut Held, now: Millis) -> Option<Action> {
        let owner = held.owner.clone()?;
        if held.in_flight || matches!(held.phase, Phase::Free | Phase::Writing) {
            return None;
        }
        let standing = self.standing(&owner);
        self.advance(name, held, standing, now);
        if held.phase == Phase::Free || now < held.due {
            return None;
        }
        let addr = *self.addrs.get(&owner)?;
        held.in_flight = true;
        match held.phase {
            Phase::Held => {
                let order = GrantOrder {
                    keys: held.keys,
                    token: held.token,
                    lease: self.lease,
                    handover: held.handover.clone(),
                };
                Some(Action::Grant(name.clone(), held.id, addr, order))
            }
            _ => Some(Action::Release(
                name.clone(),
                held.id,
                addr,
                held.keys,
                held.token,
            )),
        }
    }

    /// Moves a range on by what is known of its owner.
    fn advance(&mut self, name: &ServiceName, held: &mut Held, standing: Standing, now: Millis) {
        let before = held.phase;
        let silent = held.failures >= MAX_FAILURES;
        match (held.phase, standing) {
            // A grant under a new token comes first: a release would not fence the unheard one.
            (Phase::Held, Standing::Leaving) if held.unheard && !silent => {}
            // Orders for the former run may have reached the present one at the same address.
            (Phase::Held, Standing::Replaced) if now < held.ends => {
                held.phase = Phase::Releasing { planned: false };
                held.token = self.next_token();
                held.due = now;
                held.failures = 0;
            }
            (Phase::Releasing { .. }, Standing::Replaced) if now < held.ends => {
                held.phase = Phase::Releasing { planned: false };
            }
            (_, Standing::Ended | Standing::Replaced) => held.phase = Phase::Free,
            (Phase::Releasing { planned: true }, Standing::Leaving) => {
                held.phase = Phase::Releasing { planned: false };
            }
            (Phase::Held, Standing::Leaving) => {
                held.phase = Phase::Releasing { planned: false };
                held.token = self.next_token();
                held.due = now;
                held.failures = 0;
            }
            (Phase::Held, Standing::Present) if silent => {
                self.avoid(held, now);
                held.phase = Phase::Releasing { planned: false };
                held.token = self.next_token();
                held.due = now;
            }
            (Phase::Releasing { planned: true }, Standing::Present)
                if held.failures > MAX_PLANNED_FAILURES =>
            {
                self.keep(held, now);
            }
            (Phase::Releasing { .. }, Standing::Leaving | Standing::Present)
                if now >= held.ends =>
            {
                held.phase = Phase::Free;
            }
            (Phase::Releasing { planned: false }, Standing::Present) if !silent => {
                self.keep(held, now);
            }
            _ => {}
        }
        if held.phase == Phase::Free {
            held.handover = None;
            held.ends = now;
        }
        if before != held.phase {
            log::info!(target: "ownership", service:% = name, first = held.keys.first,
                last = held.keys.last, owner:% = held.owner.as_ref().map_or("", |o| &o.name),
                standing:? = standing, from:? = before, to:? = held.phase,
                failures = held.failures, ends_in:% = held.ends.since(now);
                "Range changes its phase.");
        }
    }

    /// Gives no keys to the owner for a while, which doubles if it stays silent.
    fn avoid(&mut self, held: &Held, now: Millis) {
        let Some(owner) = held.owner.clone() else {
            return;
        };
        let avoided = self.avoided.entry(owner).or_insert(Avoided {
            until: now,
            times: 0,
        });
        if now >= avoided.until {
            avoided.until = now + Millis(AVOID_FIRST.0 << avoided.times.min(3));
            avoided.times += 1;
        }
    }

    /// Lets an owner keep its keys under a new token, which fences releases that arrive late.
    fn keep(&mut self, held: &mut Held, now: Millis) {
        held.phase = Phase::Held;
        held.token = self.next_token();
        held.confirmed = false;
        held.due = now;
        held.failures = 0;
    }

    pub(super) fn finish_grant(
        &mut self,
        name: &ServiceName,
        id: RangeId,
        outcome: GrantOutcome,
        now: Millis,
    ) {
        let lease = self.longest_lease();
        let every = Millis(self.lease.0 / RENEWALS_PER_LEASE);
        let fresh = self.next_token();
        let Some(held) = self.services.get_mut(name).and_then(|m| m.range_mut(id)) else {
            return;
        };
        held.in_flight = false;
        match outcome {
            GrantOutcome::Granted => {
                // The token fences every earlier order, so only this lease counts.
                held.ends = now + lease;
                held.due = now + every;
                held.confirmed = true;
                held.unheard = false;
                // It is needed only once, and would lengthen the row.
                held.handover = None;
                held.failures = 0;
                held.was_fenced = false;
            }
            GrantOutcome::Unknown => {
                held.ends = held.ends.max(now + lease);
                held.token = fresh;
                held.confirmed = false;
                held.unheard = true;
                held.due = now + RETRY_PAUSE;
                held.failures += 1;
            }
            GrantOutcome::NotSent => {
                held.due = now + RETRY_PAUSE;
                held.failures += 1;
            }
            GrantOutcome::Fenced => {
                held.token = fresh;
                held.confirmed = false;
                held.due = now + RETRY_PAUSE;
                // The token was above all of this epoch, so the higher one is a successor's.
                let again = std::mem::replace(&mut held.was_fenced, true);
                if again && self.term.may_act(now) {
                    log::warn!(target: "ownership", service:% = name, first = held.keys.first,
                        token = held.token;
                        "Fenced by a successor; no orders until the lease is renewed.");
                    self.term.note_successor();
                }
            }
            GrantOutcome::Refused => {
                held.due = now + RETRY_PAUSE;
                held.failures += 1;
            }
        }
        if outcome != GrantOutcome::Granted {
            log::info!(target: "ownership", service:% = name, first = held.keys.first,
                last = held.keys.last, owner:% = held.owner.as_ref().map_or("", |o| &o.name),
                token = held.token, failures = held.failures, outcome:? = outcome;
                "Grant not confirmed.");
        }
    }

    pub(super) fn finish_release(
        &mut self,
        name: &ServiceName,
        id: RangeId,
        outcome: ReleaseOutcome,
        now: Millis,
    ) {
        let Some(held) = self.services.get_mut(name).and_then(|m| m.range_mut(id)) else {
            return;
        };
        held.in_flight = false;
        log::info!(target: "ownership", service:% = name, first = held.keys.first,
            last = held.keys.last, owner:% = held.owner.as_ref().map_or("", |o| &o.name),
            outcome:? = outcome; "Release answered.");
        match outcome {
            // The unheard grant may still be applied, until its lease ends.
            ReleaseOutcome::Released(_) if held.unheard && now < held.ends => {
                held.due = held.ends;
            }
            ReleaseOutcome::Released(handover) => {
                held.phase = Phase::Free;
                held.handover = handover;
                held.ends = now;
            }
            ReleaseOutcome::ConnectionRefused => {
                held.nobody_listens = true;
                held.failures += 1;
                // The machine may vanish soon, and then nothing can be told any more.
                held.due = now;
            }
            ReleaseOutcome::Unknown => {
                held.failures += 1;
                held.due = now + RETRY_PAUSE;
            }
        }
    }

    /// An endpoint that is leaving or has no entry, and at whose address no daemon finds a listener,
    /// has ended. A single daemon may be cut off from an endpoint that serves the others.
    pub(super) fn finish_confirm(
        &mut self,
        name: &ServiceName,
        id: RangeId,
        gone: bool,
        now: Millis,
    ) {
        let Some(held) = self.services.get_mut(name).and_then(|m| m.range_mut(id)) else {
            return;
        };
        held.in_flight = false;
        held.nobody_listens = false;
        held.due = now + RETRY_PAUSE;
        log::info!(target: "ownership", service:% = name, first = held.keys.first,
            last = held.keys.last, owner:% = held.owner.as_ref().map_or("", |o| &o.name), gone;
            "Other daemons asked for the endpoint.");
        if gone && held.phase == (Phase::Releasing { planned: false }) {
            held.phase = Phase::Free;
            held.handover = None;
            held.ends = now;
        }
    }
}
