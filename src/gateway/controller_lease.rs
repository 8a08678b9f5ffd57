//! The controller lease, which decides which daemon assigns ownership.
//!
//! The lease is a row in the store that its holder renews by compare-and-set on the row's version.
//! Another daemon takes it over when the row has not changed for [`TAKEOVER_AFTER`]. A holder that
//! cannot renew it stops sending commands to endpoints [`STOP_AFTER`] after its last renewal. This
//! bounds how long a predecessor's commands can reach endpoints that its successor cannot fence.
//!
//! When the store comes back from a copy, the row is an earlier one. Epochs of an era of the store
//! start above all those of earlier eras, so such a row is known by its epoch. It names nobody: the
//! daemon that held the lease before the restoration goes on and renews it in a new epoch, and others
//! take it over only if the row stays unchanged.

use super::store_version::{era_of, number_of};
use crate::{
    clock::Millis,
    peer::codec::{self, CodecError},
    world::{Incarnation, VmName},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name of the controller lease row.
pub const LEASE_ROW: &str = "controller";
/// Interval between renewals.
pub const RENEWAL_INTERVAL: Millis = Millis(800);
/// Time without a change of the row after which another daemon takes the lease over.
pub const TAKEOVER_AFTER: Millis = Millis(2_000);
/// Time after the last renewal for which the holder sends commands. Store outages up to
/// this time plus most of a key lease do not affect ownership.
pub const STOP_AFTER: Millis = Millis(9_500);

/// Time after the last renewal for which no other daemon can have taken the lease over, less the
/// time that a command may take.
const SOLE_FOR: Millis = Millis(1_200);

/// Additional delay of a takeover after a restoration by a daemon that does not know the last holder. A
/// daemon that does can go on sooner.
const UNKNOWN_DELAY: Millis = Millis(1_500);

/// Bits of an epoch below the era of the store in which it begins.
const EPOCHS_PER_ERA_BITS: u32 = 16;

/// The lowest epoch that begins in an era of the store.
pub fn first_epoch(era: u64) -> u64 {
    era << EPOCHS_PER_ERA_BITS
}

/// The era of the store in which an epoch begins.
pub fn era_of_epoch(epoch: u64) -> u64 {
    epoch >> EPOCHS_PER_ERA_BITS
}

/// Content of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Epoch of the holder; rises with every takeover, and when the holder runs out of tokens.
    pub epoch: u64,
    /// The daemon that holds the lease, or held it last.
    pub holder: VmName,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Random id of the write, by which the writer recognizes its row after a lost reply.
    pub write_id: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Address at which other daemons reach the holder.
    pub peer_addr: SocketAddr,
}

impl LeaseRow {
    /// Encodes the row for the store.
    ///
    /// # Errors
    /// [`CodecError`] never occurs for a row of this size.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        codec::encode_row(self)
    }

    /// Decodes the row from the store.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        codec::decode_row(value)
    }
}

/// The lease as one daemon sees it.
#[derive(Clone, Debug)]
pub struct ControllerLease {
    name: VmName,
    incarnation: Incarnation,
    version: u64,
    row: Option<LeaseRow>,
    last_change: Option<Millis>,
    /// When the write was sent that last renewed the lease for this daemon.
    last_renewal: Option<Millis>,
    jitter: Millis,
    /// The last incarnation of a daemon that is known to have ended.
    ended: Option<Incarnation>,
    /// Earlier holders that lost the lease without releasing it, and until when they may send
    /// commands; `None` for holders whose row was not observed or could not be decoded.
    replaced: Vec<(Option<Incarnation>, Millis)>,
    /// What became of the row in a restoration of the store.
    restored: Restored,
    /// Whether the daemon held the lease before that restoration and has given it up, because another
    /// may have taken it over unnoticed.
    has_given_up: bool,
    /// When the present era of the store was first seen.
    era_seen_at: Millis,
    /// Era of the store in which this process first observed a row that was in force.
    known_since: Option<u64>,
    /// Whether the holder before that restoration is certainly still the last one, and may take the row
    /// back.
    may_take_back: bool,
}

/// What became of the lease row in the last restoration of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restored {
    /// Nothing: the row was written since, or there was no restoration.
    No,
    /// It is an earlier one. The row that is kept here is the last one before the restoration that this
    /// daemon observed.
    Known,
    /// It is an earlier one, and this daemon has observed no other.
    Unknown,
}

impl ControllerLease {
    /// Starts with no row observed. `jitter` delays takeovers, so that daemons rarely compete.
    pub fn new(name: VmName, incarnation: Incarnation, jitter: Millis) -> Self {
        Self {
            name,
            incarnation,
            version: 0,
            row: None,
            last_change: None,
            last_renewal: None,
            jitter,
            ended: None,
            replaced: Vec::new(),
            restored: Restored::No,
            has_given_up: false,
            era_seen_at: Millis::ZERO,
            known_since: None,
            may_take_back: false,
        }
    }

    /// Name of this daemon.
    pub fn name(&self) -> &VmName {
        &self.name
    }

    /// When the present era of the store was first seen.
    pub fn era_seen_at(&self) -> Millis {
        self.era_seen_at
    }

    /// Era of the store in which this process first observed a row that was in force; `None` if it has
    /// only seen rows of copies. It has missed owners of earlier eras.
    pub fn known_since(&self) -> Option<u64> {
        self.known_since
    }

    /// Records that `version` was seen at `now`, which may be of a new era.
    fn note_era(&mut self, version: u64, now: Millis) {
        if self.last_change.is_none() || era_of(version) > era_of(self.version) {
            self.era_seen_at = now;
        }
    }

    /// Records a row that is in force.
    fn set_row(&mut self, version: u64, row: Option<LeaseRow>) {
        self.restored = Restored::No;
        if row.is_some() {
            self.known_since.get_or_insert(era_of(version));
        }
        self.version = version;
        self.row = row;
    }

    /// Records that `incarnation` has ended and sends no more commands.
    pub fn note_ended(&mut self, incarnation: Incarnation) {
        self.ended = Some(incarnation);
        self.replaced
            .retain(|(holder, _)| *holder != Some(incarnation));
    }

    /// Until when a holder before the present one may send commands; zero if none does.
    pub fn replaced_active_until(&self) -> Millis {
        let ends = self.replaced.iter().map(|(_, until)| *until);
        ends.max().unwrap_or(Millis::ZERO)
    }

    /// Records at `now` that `row`, read at `version`, is the first one that this process has observed.
    /// Unless it is of the first epoch of all, its holder took the lease from others, which may send
    /// commands although this process has not seen them.
    fn note_unseen(&mut self, version: u64, row: Option<&LeaseRow>, now: Millis) {
        // Stores count their eras from 1, or name none.
        let first = first_epoch(era_of(version).min(1)) + 1;
        if row.is_none_or(|row| row.epoch > first) {
            self.replaced.push((None, now + STOP_AFTER));
        }
    }

    /// Records at `now` that `next`, read at `version`, takes the place of the last observed row.
    fn note_replaced(&mut self, version: u64, next: Option<&LeaseRow>, now: Millis) {
        self.replaced.retain(|(_, until)| now < *until);
        let (is_same_vm, is_missed) = match (&self.row, next) {
            (Some(row), Some(next)) => {
                let expected = (row.epoch + 1).max(first_epoch(era_of(version)) + 1);
                (row.holder == next.holder, next.epoch > expected)
            }
            _ => (false, false),
        };
        if is_missed {
            self.replaced.push((None, now + STOP_AFTER));
        }
        if !is_same_vm && !self.predecessor_has_ended() {
            let holder = self.row.as_ref().map(|row| row.incarnation);
            let until = self.renewed_by(now) + STOP_AFTER;
            self.replaced.push((holder, until));
        }
    }

    /// When the last holder renewed the lease at the latest, if another daemon takes it at `now`. A row of
    /// a copy was renewed before the restoration.
    pub fn renewed_by(&self, now: Millis) -> Millis {
        match self.is_restored() {
            true => self.era_seen_at,
            false => now,
        }
    }

    /// Version of the row that was last observed; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The row that was last observed; `None` if there was none or it could not be decoded.
    pub fn row(&self) -> Option<&LeaseRow> {
        self.row.as_ref()
    }

    /// Records the row as it was read at `now`. Versions that are not newer are ignored.
    pub fn observe(&mut self, version: u64, row: Option<LeaseRow>, now: Millis) {
        if self.last_change.is_some() && version <= self.version {
            return;
        }
        let is_first = self.last_change.is_none();
        self.note_era(version, now);
        if is_first && number_of(version) > 0 {
            self.note_unseen(version, row.as_ref(), now);
        }
        // Stores count their eras from 1, so in a later one the row may have been lost.
        let may_be_lost = self.row.is_some() || era_of(version) > 1;
        let was_removed = row.is_none() && number_of(version) == 0 && may_be_lost;
        if was_removed || is_from_copy(version, row.as_ref()) {
            return self.record_copy(version, row, now);
        }
        self.note_replaced(version, row.as_ref(), now);
        self.has_given_up = false;
        self.set_row(version, row);
        self.last_change = Some(now);
        if !self.is_holder() {
            self.last_renewal = None;
        }
    }

    /// Records a row from before the last restoration of the store, or its absence. It is not in force;
    /// the holder before the restoration may be.
    fn record_copy(&mut self, version: u64, row: Option<LeaseRow>, now: Millis) {
        let known_epoch = self.row.as_ref().map(|row| row.epoch);
        log::warn!(target: "ownership", epoch:? = row.as_ref().map(|row| row.epoch), known_epoch:?,
            version, is_holder = self.is_holder();
            "Controller lease row is from before a restoration of the store.");
        if self.row.is_none() || self.restored == Restored::Unknown {
            self.row = row;
            self.restored = Restored::Unknown;
        } else {
            self.restored = Restored::Known;
        }
        self.version = version;
        self.last_change = Some(now);
        self.may_take_back = false;
    }

    /// Lets the holder take the row back after a restoration of the store.
    pub fn take_back(&mut self) {
        self.may_take_back = true;
    }

    /// Gives the lease up after a restoration of the store. The daemon may take it over again.
    pub fn give_up(&mut self) {
        self.has_given_up = true;
        self.last_renewal = None;
    }

    /// Whether the daemon has given the lease up, and has not seen or written another row since.
    pub fn has_given_up(&self) -> bool {
        self.has_given_up
    }

    /// Whether the row in the store is from before the last restoration.
    pub fn is_restored(&self) -> bool {
        self.restored != Restored::No
    }

    /// Whether it is, and this daemon does not know who held the lease right before the restoration.
    pub fn is_holder_unknown(&self) -> bool {
        self.restored == Restored::Unknown
    }

    /// Records that the daemon's own write, sent at `sent`, was committed. A copy of the store, where its
    /// condition happened to hold, may have taken it.
    pub fn record_commit(&mut self, version: u64, row: LeaseRow, sent: Millis, now: Millis) {
        if version <= self.version {
            return;
        }
        self.note_era(version, now);
        self.note_replaced(version, Some(&row), now);
        self.last_change = Some(now);
        self.last_renewal = (!row.released).then_some(sent);
        self.has_given_up = false;
        if is_from_copy(version, Some(&row)) {
            self.restored = Restored::Known;
            self.version = version;
            self.row = Some(row);
        } else {
            self.set_row(version, Some(row));
        }
    }

    /// Records a sign that another daemon controls under a later epoch. This daemon sends no
    /// commands until it has renewed the lease, which fails if there is a successor.
    pub fn note_successor(&mut self) {
        self.last_renewal = None;
    }

    /// Whether the last observed row says that this incarnation of the daemon holds the lease.
    pub fn is_holder(&self) -> bool {
        let holds = |row: &LeaseRow| {
            row.holder == self.name && row.incarnation == self.incarnation && !row.released
        };
        !self.has_given_up && self.row.as_ref().is_some_and(holds)
    }

    /// Whether the daemon may send commands at `now`.
    pub fn may_issue_commands(&self, now: Millis) -> bool {
        self.is_holder()
            && self
                .last_renewal
                .is_some_and(|sent| now.since(sent) < STOP_AFTER)
    }

    /// Until when the daemon may send commands; zero if it may not.
    pub fn commands_end(&self) -> Millis {
        self.renewed_until(STOP_AFTER)
    }

    /// Until when no other daemon sends commands under a later epoch; zero if that is not known.
    pub fn sole_until(&self) -> Millis {
        self.renewed_until(SOLE_FOR)
    }

    fn renewed_until(&self, time: Millis) -> Millis {
        let renewal = self.last_renewal.filter(|_| self.is_holder());
        renewal.map_or(Millis::ZERO, |sent| sent + time)
    }

    /// Time since a change of the row was last observed.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.last_change.unwrap_or(Millis::ZERO))
    }

    /// Whether this daemon holds the lease and should renew it now.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        if self.is_restored() {
            return self.is_holder() && self.may_take_back;
        }
        self.is_holder()
            && self
                .last_renewal
                .is_none_or(|sent| now.since(sent) >= RENEWAL_INTERVAL)
    }

    /// Whether this daemon may take the lease over now.
    pub fn can_take_over(&self, now: Millis) -> bool {
        let Some(last_change) = self.last_change else {
            return false;
        };
        let age = now.since(last_change);
        match &self.row {
            _ if self.is_holder() => false,
            _ if self.is_holder_unknown() => age >= TAKEOVER_AFTER + UNKNOWN_DELAY + self.jitter,
            _ if self.is_restored() => age >= TAKEOVER_AFTER + self.jitter,
            None if number_of(self.version) == 0 => age >= self.jitter,
            // The row cannot be decoded, so it may name a holder that is alive.
            None => age >= TAKEOVER_AFTER + self.jitter,
            Some(row) if row.released => age >= self.jitter,
            // The previous incarnation on this VM has ended.
            Some(row) if row.holder == self.name => true,
            Some(row) if self.ended == Some(row.incarnation) => age >= self.jitter,
            Some(_) => age >= TAKEOVER_AFTER + self.jitter,
        }
    }

    /// Whether the last holder is known to send no more commands.
    pub fn predecessor_has_ended(&self) -> bool {
        self.restored != Restored::Unknown
            && !self.has_given_up
            && self
                .row
                .as_ref()
                .map_or(number_of(self.version) == 0, |row| {
                    row.released || row.holder == self.name || self.ended == Some(row.incarnation)
                })
    }

    /// The row to write next: a renewal or a release by the holder, or else a takeover in a new
    /// epoch.
    pub fn next_row(&self, peer_addr: SocketAddr, write_id: u64, released: bool) -> LeaseRow {
        // Each epoch is a write of the row, so the version of a row that cannot be decoded is not
        // below its epoch.
        let known = self
            .row
            .as_ref()
            .map_or(number_of(self.version), |row| row.epoch);
        let keeps_epoch = self.is_holder() && !self.is_restored();
        let next = (known + 1).max(first_epoch(era_of(self.version)) + 1);
        LeaseRow {
            epoch: if keeps_epoch { known } else { next },
            holder: self.name.clone(),
            incarnation: self.incarnation,
            write_id,
            released,
            peer_addr,
        }
    }
}

/// Whether a row that was read at `version` is from before the last restoration of the store.
fn is_from_copy(version: u64, row: Option<&LeaseRow>) -> bool {
    row.is_some_and(|row| row.epoch < first_epoch(era_of(version)))
}
