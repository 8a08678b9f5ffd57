//! Timing constants of ownership; `docs/design.md` (chapter 5) derives them.

use crate::clock::Millis;

/// Length of the lease on a controller row, from a time before the write was sent.
pub const CONTROLLER_LEASE: Millis = Millis(800);
/// Time between renewals of the lease on a controller row.
pub const CONTROLLER_RENEWAL_INTERVAL: Millis = Millis(200);
/// Added by observers to [`CONTROLLER_LEASE`]; covers clock drift of 5% over the lease.
pub const OBSERVER_MARGIN: Millis = Millis(50);
/// Time between a standby's reads of the controller row.
pub const STANDBY_READ_INTERVAL: Millis = Millis(100);
/// Time between a zone delegate's reads of the controller row.
pub const DELEGATE_READ_INTERVAL: Millis = Millis(1_000);
/// Time after the end of a lease for which a zone delegate lets the standbys take over first.
pub const DELEGATE_TAKEOVER_DELAY: Millis = Millis(2_000);
/// Delay of each further standby's takeover after the one before it; avoids most conflicting
/// takeovers.
pub const STANDBY_TAKEOVER_STAGGER: Millis = Millis(30);
/// Most standbys that a controller names; each must acknowledge hold mode.
pub const MAX_STANDBYS: usize = 2;

/// Length of a target's lease, from the clock reading that the grant echoes.
pub const TARGET_LEASE: Millis = Millis(1_200);
/// Time between renewals of a target's lease.
pub const TARGET_RENEWAL_INTERVAL: Millis = Millis(300);
/// Largest difference in rate between the clocks of two VMs, in percent.
pub const DRIFT_PERCENT: u64 = 5;
/// Time-out of a grant exchange. Three fit into a lease.
pub const GRANT_TIMEOUT: Millis = Millis(350);
/// Greatest age of a clock reading that a grant echoes. A renewal that echoed the reading of the
/// previous renewal's reply would leave as little as half of the lease to a successor of the
/// controller. So an older reading is first refreshed by a contact right before the grant.
pub const MAX_READING_AGE: Millis = Millis(100);
/// Time after a failed grant exchange until the next one.
pub const GRANT_RETRY_DELAY: Millis = Millis(100);
/// Time between grants to a target that has not confirmed its set or drained its requests.
pub const DRAIN_POLL_INTERVAL: Millis = Millis(25);
/// Time after its last answer for which a target counts as reachable.
pub const REACHABLE_TIMEOUT: Millis = Millis(900);

/// Time after which another write is sent although the last one has no answer. A late answer is
/// still processed.
pub const COMMIT_TIMEOUT: Millis = Millis(350);
/// Delay between a write with an unknown outcome and the next one.
pub const WRITE_RETRY_DELAY: Millis = Millis(100);
/// Time between writes of moves; batches moves that become ready together.
pub const MOVE_WRITE_INTERVAL: Millis = Millis(10);
/// Time-out of an observer's read of the controller row. A standby acknowledges hold mode only
/// after a failed read; the read must fail well before the controller lease ends, or hold mode
/// would always be refused.
pub const READ_TIMEOUT: Millis = Millis(250);

/// Time without a confirmed renewal after which the controller requests hold mode, provided that a
/// renewal has failed or has been in flight for [`COMMIT_TIMEOUT`]. Without this condition, a store
/// that takes 300 ms for a write would be treated as unavailable.
pub const HOLD_REQUEST_DELAY: Millis = Millis(400);
/// Time between repeated hold requests to a standby that has not answered.
pub const HOLD_RETRY_INTERVAL: Millis = Millis(100);

/// Time without an answer of any target after which a controller releases its lease to another
/// daemon. Shorter than a target's lease, so that the other daemon can renew that in time.
pub const ISOLATION_TIMEOUT: Millis = Millis(1_000);
/// The same for a controller that has reached no target since its takeover. It must be longer than
/// the waits of a takeover, because they restart with each takeover.
pub const FIRST_CONTACT_TIMEOUT: Millis = Millis(10_000);
/// Time for which a daemon does not take over a group again after it released the controller lease.
pub const ISOLATION_COOLDOWN: Millis = Millis(3_000);

/// Time between replacements of front daemons that are in another zone than their target. Each
/// replacement leaves the target's keys unserved for some tens of milliseconds.
pub const FRONT_MOVE_INTERVAL: Millis = Millis(1_000);

/// Time for which a target must be missing from the platform's list before it counts as gone. Two
/// replicas of the list with different lag may show a new target, then omit it, then show it again.
pub const GONE_AFTER: Millis = Millis(10_000);

/// Time between rounds of placement.
pub const PLACEMENT_INTERVAL: Millis = Millis(500);
/// Longest wait for newly listed targets to answer before the partitions of a new group are placed.
pub const INITIAL_PLACEMENT_WAIT: Millis = Millis(400);
/// Most moves in progress at once; one transaction writes all that are ready.
pub const MAX_MOVES: usize = 512;
/// Number of partitions in one assignment row.
pub const PARTITIONS_PER_ROW: u32 = 256;

/// Upper bound, on the controller's clock, of the end of a lease of length `lease` that starts at a
/// clock reading received at `received`; allows for [`DRIFT_PERCENT`].
pub fn latest_end(received: Millis, lease: Millis) -> Millis {
    received + lease.plus_percent(DRIFT_PERCENT)
}
