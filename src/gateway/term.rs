//! The controller lease: which daemon decides about ownership.
//!
//! The lease is a row that the holder replaces under the condition of its version. Other daemons
//! take it over when the row has not changed for [`TAKEOVER_AFTER`]. A holder that cannot renew
//! it stops giving orders [`STOP_AFTER`] after its last renewal, so a successor knows how long
//! orders of its predecessor can reach endpoints that the successor cannot fence.

use crate::{
    clock::Millis,
    peer::codec::{self, CodecError},
    world::{Incarnation, VmName},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Time between renewals.
pub const RENEW_EVERY: Millis = Millis(800);
/// Age of an unchanged row at which another daemon takes it over.
pub const TAKEOVER_AFTER: Millis = Millis(2_000);
/// Time after the last renewal for which the holder gives orders. Store outages up to this length
/// plus most of a key lease leave ownership untouched.
pub const STOP_AFTER: Millis = Millis(9_500);

/// Content of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Rises with every takeover.
    pub epoch: u64,
    /// The holder.
    pub holder: VmName,
    /// The run of the holder.
    pub run: Incarnation,
    /// Marks the write, so that one without an answer can be recognised.
    pub write_id: u64,
    /// Whether the holder has given the lease up.
    pub released: bool,
    /// Address of the holder for other daemons.
    pub peer_addr: SocketAddr,
}

impl LeaseRow {
    /// The content of the row.
    ///
    /// # Errors
    /// [`CodecError`] never occurs for a row of this size.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        codec::encode(self)
    }

    /// Reads the content of the row.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        codec::decode(value)
    }
}

/// What a daemon knows of the lease.
#[derive(Clone, Debug)]
pub struct Term {
    me: VmName,
    run: Incarnation,
    version: u64,
    row: Option<LeaseRow>,
    changed: Option<Millis>,
    renewed: Option<Millis>,
    jitter: Millis,
    /// The last run that is known to give no more orders.
    ended: Option<Incarnation>,
}

impl Term {
    /// Starts without knowledge. `jitter` delays takeovers, so that daemons rarely race.
    pub fn new(me: VmName, run: Incarnation, jitter: Millis) -> Self {
        Self {
            me,
            run,
            version: 0,
            row: None,
            changed: None,
            renewed: None,
            jitter,
            ended: None,
        }
    }

    /// Takes in that `run` gives no more orders.
    pub fn note_ended(&mut self, run: Incarnation) {
        self.ended = Some(run);
    }

    /// Version of the row that was last seen; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The row that was last seen.
    pub fn row(&self) -> Option<&LeaseRow> {
        self.row.as_ref()
    }

    /// Takes in the row as the store showed it at `now`. Older versions are ignored.
    pub fn observe(&mut self, version: u64, row: Option<LeaseRow>, now: Millis) {
        if self.changed.is_some() && version <= self.version {
            return;
        }
        self.version = version;
        self.row = row;
        self.changed = Some(now);
        if !self.is_mine() {
            self.renewed = None;
        }
    }

    /// Takes in that the daemon's own write, sent at `sent`, took effect.
    pub fn wrote(&mut self, version: u64, row: LeaseRow, sent: Millis, now: Millis) {
        if version > self.version {
            self.version = version;
            self.changed = Some(now);
            self.renewed = (!row.released).then_some(sent);
            self.row = Some(row);
        }
    }

    /// Takes in that another daemon gives orders under a later epoch. The daemon gives none until
    /// it has renewed the lease, which fails if there is a successor.
    pub fn note_successor(&mut self) {
        self.renewed = None;
    }

    /// Whether the row names this run of the daemon.
    pub fn is_mine(&self) -> bool {
        self.row
            .as_ref()
            .is_some_and(|row| row.holder == self.me && row.run == self.run && !row.released)
    }

    /// Whether the daemon may give orders at `now`.
    pub fn may_act(&self, now: Millis) -> bool {
        self.is_mine()
            && self
                .renewed
                .is_some_and(|sent| now.since(sent) < STOP_AFTER)
    }

    /// Time since the row was last seen to change.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.changed.unwrap_or(Millis::ZERO))
    }

    /// Whether the holder should renew the lease.
    pub fn is_due(&self, now: Millis) -> bool {
        self.is_mine()
            && self
                .renewed
                .is_none_or(|sent| now.since(sent) >= RENEW_EVERY)
    }

    /// Whether the daemon should take the lease over.
    pub fn can_take_over(&self, now: Millis) -> bool {
        let Some(changed) = self.changed else {
            return false;
        };
        let age = now.since(changed);
        match &self.row {
            _ if self.is_mine() => false,
            None => age >= self.jitter,
            Some(row) if row.released => age >= self.jitter,
            // The former run on this VM has ended.
            Some(row) if row.holder == self.me => true,
            Some(row) if self.ended == Some(row.run) => age >= self.jitter,
            Some(_) => age >= TAKEOVER_AFTER + self.jitter,
        }
    }

    /// Whether the former holder has surely ended, so that no order of it is on its way.
    pub fn former_has_ended(&self) -> bool {
        self.row
            .as_ref()
            .is_none_or(|row| row.released || row.holder == self.me || self.ended == Some(row.run))
    }

    /// The next content of the row.
    pub fn next(&self, peer_addr: SocketAddr, write_id: u64, released: bool) -> LeaseRow {
        let epoch = self.row.as_ref().map_or(0, |row| row.epoch);
        LeaseRow {
            epoch: if self.is_mine() { epoch } else { epoch + 1 },
            holder: self.me.clone(),
            run: self.run,
            write_id,
            released,
            peer_addr,
        }
    }
}
