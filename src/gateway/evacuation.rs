//! Availability zones that operators evacuate: which ones, and until when requests are sent there.
//!
//! A request for an evacuation is a row of the declarations. Its bound counts from the store's
//! acknowledgement of the row, of which a daemon knows only a lower bound.

use super::{
    platform::{Rows, StoredRow},
    store_version::era_of,
};
use crate::{clock::Millis, collections::Map, world::ZoneName};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Subtracted from the bound, so that a request reaches its endpoint before the bound.
const SENDING_MARGIN: Millis = Millis(800);
/// Part of the time left, as a divisor, over which the owners in a zone begin to give up their keys.
const EMPTYING_DIVISOR: u64 = 3;
/// Time for which a zone stays evacuated whose row was lost when the store came back from a copy. The
/// operator can repeat the request in this time.
const LOST_ROW_HOLD: Millis = Millis(10_000);

/// What a row says of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The zone.
    pub zone: ZoneName,
    /// Whether its evacuation is requested.
    pub request: EvacuationRequest,
}

/// Whether the evacuation of a zone is requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationRequest {
    /// It is.
    Requested,
    /// The request was taken back.
    TakenBack,
    /// The row is malformed, for this reason.
    Malformed(Arc<str>),
}

/// The evacuation of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Version of the row that requested it.
    pub version: u64,
    /// When this daemon learned of it.
    pub learned_at: Millis,
    /// Until when requests for keys are sent to their owners in the zone.
    pub keyed_until: Millis,
    /// When it ends although it was not taken back, because its row was lost.
    lapses_at: Option<Millis>,
}

impl Evacuation {
    /// Until when requests are sent to the endpoints in the zone.
    pub fn sends_until(&self, keyed: bool) -> Millis {
        if keyed {
            self.keyed_until
        } else {
            self.learned_at
        }
    }

    /// The time in which the owners in the zone begin to give up their keys.
    pub fn emptying(&self) -> EmptyingPeriod {
        EmptyingPeriod {
            start: self.learned_at,
            length: Millis(self.keyed_until.since(self.learned_at).0 / EMPTYING_DIVISOR),
        }
    }
}

/// The time in which the owners in an evacuated zone begin to give up their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EmptyingPeriod {
    /// When the first owner does.
    pub start: Millis,
    /// Time from the first owner to the last.
    pub length: Millis,
}

impl EmptyingPeriod {
    /// When the owner at `position` of `count` gives up its keys.
    pub fn turn(&self, position: usize, count: usize) -> Millis {
        self.start + Millis(self.length.0.saturating_mul(position as u64) / count.max(1) as u64)
    }
}

/// The evacuated zones as the controller knows them, for daemons that lack changes of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsUpdate {
    /// Version of the store up to which all changes are included; 0 if nothing was read.
    pub version: u64,
    /// The evacuated zones.
    pub zones: Vec<EvacuatedZone>,
}

/// An evacuated zone in an [`EvacuationsUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: ZoneName,
    /// Version of the row that requested it.
    pub version: u64,
    /// Time left for requests for keys when the message was sent.
    pub keyed_for: Millis,
}

/// Rows of the declarations, with the times that bound their acknowledgement.
#[derive(Clone, Copy, Debug)]
pub struct DeclaredRows<'a> {
    /// The rows.
    pub rows: &'a Rows,
    /// Whether these are all rows.
    pub is_snapshot: bool,
    /// All changes that the store acknowledged before this time are included.
    pub as_of: Millis,
    /// Time after which the store acknowledged the changes, if it is known.
    pub since: Option<Millis>,
}

/// The evacuated zones that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time from the acknowledgement of a request after which no request may arrive in the zone.
    time_limit: Millis,
    zones: Map<ZoneName, Evacuation>,
    /// Version of the store up to which all changes are included.
    version: u64,
    /// All changes that the store acknowledged before this time are included; `None` before the
    /// first read.
    as_of: Option<Millis>,
    /// Versions of the malformed rows that were logged.
    malformed: Map<ZoneName, u64>,
}

impl Evacuations {
    /// No evacuated zones, with this time limit of evacuations.
    pub fn new(time_limit: Millis) -> Self {
        Self {
            time_limit,
            zones: Map::default(),
            version: 0,
            as_of: None,
            malformed: Map::default(),
        }
    }

    /// The evacuation of a zone; `None` if it is not evacuated.
    pub fn of(&self, zone: &ZoneName) -> Option<&Evacuation> {
        self.zones.get(zone)
    }

    /// The evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &Evacuation)> {
        self.zones.iter()
    }

    /// Applies declarations that were read from the store; `decode` returns `None` for rows that do
    /// not concern evacuations. True if the evacuated zones have changed.
    pub fn apply_rows(
        &mut self,
        declared: DeclaredRows<'_>,
        decode: impl Fn(&StoredRow) -> Option<EvacuationRow>,
        now: Millis,
    ) -> bool {
        let DeclaredRows {
            rows, is_snapshot, ..
        } = declared;
        // The changes in a snapshot may be much older than its call.
        let since = declared.since.filter(|_| !is_snapshot).or(self.as_of);
        self.as_of = self.as_of.max(Some(declared.as_of));
        if rows.version < self.version {
            return false;
        }
        self.version = rows.version;
        let keyed_until = since.map_or(now, |since| self.keyed_until(since));
        let (mut has_changed, mut present) = (false, Vec::new());
        for row in &rows.rows {
            let Some(EvacuationRow { zone, request }) = decode(row) else {
                continue;
            };
            match request {
                EvacuationRequest::Requested => {
                    has_changed |= self.begin(&zone, row.version, keyed_until, now);
                }
                EvacuationRequest::TakenBack => has_changed |= self.end(&zone, now),
                EvacuationRequest::Malformed(reason) => self.log_malformed(&zone, row, &reason),
            }
            present.push(zone);
        }
        if is_snapshot {
            has_changed |= self.end_all_but(&present, now);
        }
        has_changed
    }

    /// Applies what the controller sent at `sent_at` at the earliest, if it is newer than what this
    /// daemon knows. True if the evacuated zones have changed.
    pub fn apply_update(
        &mut self,
        update: &EvacuationsUpdate,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        if update.version <= self.version {
            return false;
        }
        self.version = update.version;
        let mut has_changed = false;
        for heard in &update.zones {
            let keyed_until = sent_at + heard.keyed_for;
            has_changed |= self.begin(&heard.zone, heard.version, keyed_until, now);
        }
        let present: Vec<ZoneName> = update
            .zones
            .iter()
            .map(|heard| heard.zone.clone())
            .collect();
        self.end_all_but(&present, now) || has_changed
    }

    /// The evacuated zones for daemons that lack changes, without those whose rows were lost.
    pub fn update(&self, now: Millis) -> EvacuationsUpdate {
        let requested = self
            .zones
            .iter()
            .filter(|(_, known)| known.lapses_at.is_none());
        let zones = requested.map(|(zone, evacuation)| EvacuatedZone {
            zone: zone.clone(),
            version: evacuation.version,
            keyed_for: evacuation.keyed_until.since(now),
        });
        EvacuationsUpdate {
            version: self.version,
            zones: zones.collect(),
        }
    }

    /// Ends the evacuations whose rows were lost too long ago. True if there were any.
    pub fn step(&mut self, now: Millis) -> bool {
        let is_over = |evacuation: &Evacuation| evacuation.lapses_at.is_some_and(|at| at <= now);
        let lapsed = self.zones.iter().filter(|(_, known)| is_over(known));
        let lapsed: Vec<ZoneName> = lapsed.map(|(zone, _)| zone.clone()).collect();
        for zone in &lapsed {
            self.end(zone, now);
        }
        !lapsed.is_empty()
    }

    /// Until when requests for keys are sent, if the store acknowledged the row after `since`.
    fn keyed_until(&self, since: Millis) -> Millis {
        since + self.time_limit - SENDING_MARGIN
    }

    fn begin(&mut self, zone: &ZoneName, version: u64, keyed_until: Millis, now: Millis) -> bool {
        if let Some(known) = self.zones.get_mut(zone) {
            // A repeated request does not extend the time.
            known.version = known.version.max(version);
            known.lapses_at = None;
            return false;
        }
        let evacuation = Evacuation {
            version,
            learned_at: now,
            keyed_until: keyed_until.max(now),
            lapses_at: None,
        };
        log::info!(target: "health", zone:% = zone, version, at:% = now,
            keyed_for:% = evacuation.keyed_until.since(now);
            "Zone is evacuated.");
        self.zones.insert(zone.clone(), evacuation);
        true
    }

    fn end(&mut self, zone: &ZoneName, now: Millis) -> bool {
        let Some(ended) = self.zones.remove(zone) else {
            return false;
        };
        log::info!(target: "health", zone:% = zone, version = ended.version, at:% = now,
            lasted:% = now.since(ended.learned_at), lost = ended.lapses_at.is_some();
            "Zone is no longer evacuated.");
        true
    }

    /// Ends the evacuations of all other zones. Those whose rows were lost in a restoration of the
    /// store end later.
    fn end_all_but(&mut self, present: &[ZoneName], now: Millis) -> bool {
        let absent = self.zones.keys().filter(|zone| !present.contains(zone));
        let absent: Vec<ZoneName> = absent.cloned().collect();
        let era = era_of(self.version);
        let mut has_changed = false;
        for zone in &absent {
            let lost = self
                .zones
                .get_mut(zone)
                .filter(|known| era_of(known.version) < era);
            let Some(lost) = lost else {
                has_changed |= self.end(zone, now);
                continue;
            };
            if lost.lapses_at.is_none() {
                log::warn!(target: "health", zone:% = zone, version = lost.version,
                    hold:% = LOST_ROW_HOLD;
                    "Store came back without the evacuation request; it holds for this time.");
                lost.lapses_at = Some(now + LOST_ROW_HOLD);
            }
        }
        has_changed
    }

    /// Logs a malformed row, once a version.
    fn log_malformed(&mut self, zone: &ZoneName, row: &StoredRow, reason: &str) {
        if self.malformed.insert(zone.clone(), row.version) != Some(row.version) {
            log::error!(target: "health", row:% = row.name, version = row.version, reason;
                "Evacuation request is malformed; it is ignored.");
        }
    }
}
