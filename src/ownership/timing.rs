//! Timing constants of ownership; `docs/design.md` (chapter 5) derives them.

use crate::clock::Millis;

/// Length of the lease on a controller row, counted from before the write was sent.
pub const CONTROLLER_LEASE: Millis = Millis(800);
/// Time between renewals of the lease on a controller row.
pub const CONTROLLER_RENEWAL_INTERVAL: Millis = Millis(200);
/// Added by observers to [`CONTROLLER_LEASE`]; covers 5% of clock drift over the lease.
pub const OBSERVER_MARGIN: Millis = Millis(50);
/// Time between a standby's reads of the controller row.
pub const STANDBY_READ_INTERVAL: Millis = Millis(100);
/// Time between a zone delegate's reads of the controller row.
pub const DELEGATE_READ_INTERVAL: Millis = Millis(1_000);
/// Time that a zone delegate leaves to the standbys before it takes over.
pub const DELEGATE_TAKEOVER_DELAY: Millis = Millis(2_000);
/// Head start of a standby over the next one, which avoids most conflicting takeovers.
pub const STANDBY_TAKEOVER_STAGGER: Millis = Millis(30);
/// Most standbys that a controller names; each must acknowledge hold mode.
pub const MAX_STANDBYS: usize = 2;

/// Length of a target's lease, counted from the reading that the grant echoes.
pub const TARGET_LEASE: Millis = Millis(1_200);
/// Time between renewals of a target's lease.
pub const TARGET_RENEWAL_INTERVAL: Millis = Millis(300);
/// Largest difference in rate between the clocks of two VMs, in percent.
pub const DRIFT_PERCENT: u64 = 5;
/// Time after which a grant exchange without an answer has failed. Three fit into a lease.
pub const GRANT_TIMEOUT: Millis = Millis(350);
/// Age up to which a reading is echoed. A renewal that echoed the previous renewal's answer would
/// leave as little as half of the lease to a successor of the controller; an older reading is
/// therefore refreshed first, by a contact right before the grant.
pub const MAX_READING_AGE: Millis = Millis(100);
/// Time after a failed grant exchange until the next one.
pub const GRANT_RETRY_DELAY: Millis = Millis(100);
/// Time between grants to a target that has not confirmed its set or drained its requests.
pub const DRAIN_POLL_INTERVAL: Millis = Millis(25);
/// Time since its last answer for which a target counts as reachable.
pub const REACHABLE_TIMEOUT: Millis = Millis(900);

/// Time after which another write is sent although the last one has no answer. A late answer
/// still counts.
pub const COMMIT_TIMEOUT: Millis = Millis(350);
/// Time between a write without a known outcome and the next one.
pub const WRITE_RETRY_DELAY: Millis = Millis(100);
/// Time between writes of moves; collects moves that become ready together.
pub const MOVE_WRITE_INTERVAL: Millis = Millis(10);
/// Time limit of an observer's read of the controller row. A failed read must be known well
/// before the end of the controller lease, or hold mode would always be refused.
pub const READ_TIMEOUT: Millis = Millis(250);

/// Time without a confirmed renewal after which the controller asks for hold mode, if a renewal
/// has failed or has been under way for [`COMMIT_TIMEOUT`]. Without that, a store that takes
/// 300 ms for a write would be taken for one that is down.
pub const HOLD_REQUEST_DELAY: Millis = Millis(400);
/// Time between repeated hold requests to a standby that has not answered.
pub const HOLD_RETRY_INTERVAL: Millis = Millis(100);

/// Time without an answer of any target after which a controller gives its lease to another
/// daemon. Shorter than a target's lease, so that the other daemon can renew it in time.
pub const ISOLATION_TIMEOUT: Millis = Millis(1_000);
/// The same for a controller that has reached no target in its term. It has to be long enough for
/// the waits of a takeover: with each takeover they start anew.
pub const FIRST_CONTACT_TIMEOUT: Millis = Millis(10_000);
/// Time for which such a daemon takes over no group.
pub const ISOLATION_COOLDOWN: Millis = Millis(3_000);

/// Time between replacements of front daemons that are in another zone than their target. Each
/// one leaves the target's keys unserved for some tens of milliseconds.
pub const FRONT_MOVE_INTERVAL: Millis = Millis(1_000);

/// Time for which a target must be missing from the platform's list before that proves that it is
/// gone. Two copies of the list that lag differently may list a new target, then not, then again.
pub const GONE_AFTER: Millis = Millis(10_000);

/// Time between rounds of placement.
pub const PLACEMENT_INTERVAL: Millis = Millis(500);
/// Longest wait for newly listed targets to answer before the partitions of a new group are placed.
pub const INITIAL_PLACEMENT_WAIT: Millis = Millis(400);
/// Most moves under way at once; one transaction carries all that are ready.
pub const MAX_MOVES: usize = 512;
/// Partitions in an assignment row.
pub const ROW_PARTITIONS: u32 = 256;

/// The latest time, on the granting side's clock, at which a lease of `lease` ends that counts
/// from a reading received at `received`.
pub fn latest_end(received: Millis, lease: Millis) -> Millis {
    received + lease.plus_percent(DRIFT_PERCENT)
}
