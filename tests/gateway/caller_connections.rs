//! Which connections are closed when a process runs short of descriptors or memory.

use fireflygauge::{
    clock::Millis,
    gateway::{
        caller_connections::{
            Account, CONNECTION_BYTES, CallerBounds, CloseReason, ConnectionKey, ConnectionLimits,
            ListenerLimits, Phase,
        },
        memory_pool::{MemoryPool, MemoryShares},
    },
};
use std::sync::mpsc;
use test_case::test_case;

const LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 3,
    max_bytes: 10 * CONNECTION_BYTES,
    stall_timeout: Millis(20_000),
    response_timeout: Millis(120_000),
};

/// An account, with the connections that it was told of.
struct Connections {
    account: Account<mpsc::Sender<()>>,
    admitted: Vec<(ConnectionKey, mpsc::Receiver<()>)>,
}

impl Connections {
    fn new(limits: ConnectionLimits, pool: &MemoryPool) -> Self {
        Self {
            account: Account::new(limits, pool.clone()),
            admitted: Vec::new(),
        }
    }

    /// Admits a connection and brings it into `phase`.
    fn admit(&mut self, phase: Phase) -> Option<ConnectionKey> {
        let (closer, closed) = mpsc::channel();
        let key = self.account.admit(closer)?;
        self.account.enter(key, phase);
        self.admitted.push((key, closed));
        Some(key)
    }

    /// Indexes of the admitted connections that were closed.
    fn closed(&self) -> Vec<usize> {
        let is_closed = |closed: &mpsc::Receiver<()>| {
            matches!(closed.try_recv(), Err(mpsc::TryRecvError::Disconnected))
        };
        let admitted = self.admitted.iter().enumerate();
        admitted
            .filter(|(_, (_, closed))| is_closed(closed))
            .map(|(at, _)| at)
            .collect()
    }
}

fn pool() -> MemoryPool {
    MemoryPool::new(100 * CONNECTION_BYTES)
}

/// Guards against a crowd that takes all places, and against closing a request that an endpoint works
/// on, or one that is on its way, before others.
#[test_case([Phase::Head, Phase::Idle, Phase::Idle], 5_000, Some(1); "the one idle for the longest goes first")]
#[test_case([Phase::Body, Phase::Idle, Phase::Head], 500, Some(0); "a new connection is not idle")]
#[test_case([Phase::Working, Phase::Response, Phase::Head], 500, Some(1); "the longest in its phase goes next")]
#[test_case([Phase::Working, Phase::Working, Phase::Body], 500, Some(2); "no work is broken off")]
#[test_case([Phase::Working, Phase::Working, Phase::Working], 500, None; "a new connection is refused instead")]
fn full_account_closes(phases: [Phase; 3], after_ms: u64, expected: Option<usize>) {
    let mut connections = Connections::new(LIMITS, &pool());
    for phase in phases {
        connections.admit(phase).expect("there is room");
    }
    connections.account.sweep(Millis(after_ms));
    let admitted = connections.admit(Phase::Idle);
    assert_eq!(admitted.is_some(), expected.is_some());
    assert_eq!(connections.closed(), Vec::from_iter(expected));
    assert_eq!(connections.account.open(), 3);
    let refused = u64::from(expected.is_none());
    assert_eq!(connections.account.closed(CloseReason::Refused), refused);
}

/// Guards against heads that take more memory than connections have.
#[test]
fn growing_heads_displace_older_ones() {
    let limits = ConnectionLimits {
        max_bytes: 3 * CONNECTION_BYTES + 70_000,
        ..LIMITS
    };
    let pool = pool();
    let mut connections = Connections::new(limits, &pool);
    let keys = [(); 3].map(|()| connections.admit(Phase::Idle).expect("there is room"));
    for key in keys {
        connections.account.record_received(key, 15_000);
    }
    assert_eq!(connections.closed(), [0]);
    assert!(connections.account.begin_request(keys[2], 10_000));
    assert!(
        !connections
            .account
            .begin_request(keys[2], 10 * CONNECTION_BYTES)
    );
    assert_eq!(connections.closed(), [0, 1]);
    for key in keys {
        connections.account.remove(key);
    }
    assert_eq!(connections.account.bytes(), 0);
    assert!(pool.try_take(pool.size()), "memory is not returned");
}

/// Guards against unfinished bodies that take the memory of all connections.
#[test]
fn large_body_is_closed_for_connections() {
    let pool = pool();
    let mut connections = Connections::new(LIMITS, &pool);
    let small = connections.admit(Phase::Body).expect("there is room");
    let large = connections.admit(Phase::Body).expect("there is room");
    connections.account.record_body(small, 1_000);
    let body = pool.size() - 2 * CONNECTION_BYTES;
    assert!(pool.try_take(body));
    connections.account.record_body(large, body);
    connections
        .admit(Phase::Idle)
        .expect("the body is closed for it");
    assert_eq!(connections.closed(), [1]);
    // Its memory is on its way, so no other body is closed for it.
    assert!(connections.account.release_body(Some(small)));
    assert_eq!(connections.closed(), [1]);
}

/// Guards against responses without memory because others are not read.
#[test]
fn unread_response_is_closed_for_a_response() {
    let mut connections = Connections::new(LIMITS, &pool());
    let working = connections.admit(Phase::Working).expect("there is room");
    connections.account.record_body(working, 1_000);
    connections.admit(Phase::Response).expect("there is room");
    let unread = connections.admit(Phase::Response).expect("there is room");
    connections.account.record_blocked(unread);
    assert!(connections.account.release_body(None));
    assert_eq!(connections.closed(), [2]);
    assert!(!connections.account.release_body(None));
}

/// Guards against callers that keep a connection by neither sending nor reading, and against a limit
/// for idle connections and for requests at an endpoint, which have other ones.
#[test_case(Phase::Head, 21, true)]
#[test_case(Phase::Body, 21, true)]
#[test_case(Phase::Response, 21, true)]
#[test_case(Phase::Body, 20, false)]
#[test_case(Phase::Idle, 1_000, false)]
#[test_case(Phase::Working, 1_000, false)]
fn stalled_connections_are_closed(phase: Phase, after_s: u64, expected: bool) {
    let mut connections = Connections::new(LIMITS, &pool());
    connections.admit(phase).expect("there is room");
    connections.account.sweep(Millis(after_s * 1_000));
    assert_eq!(!connections.closed().is_empty(), expected);
}

/// Guards against a caller that takes a response byte by byte without end.
#[test]
fn endless_response_is_closed() {
    let mut connections = Connections::new(LIMITS, &pool());
    let key = connections.admit(Phase::Response).expect("there is room");
    for second in 0..=120 {
        assert!(connections.closed().is_empty(), "closed after {second} s");
        connections.account.sweep(Millis(second * 1_000));
        connections.account.record_sent(key);
    }
    connections.account.sweep(Millis(121_000));
    assert_eq!(connections.closed(), [0]);
}

/// Guards against defaults that ordinary callers meet on the smallest VM, and against callers that
/// take the descriptors of the store and the endpoints.
#[test]
fn smallest_vm_has_room_for_ordinary_callers() {
    let shares = MemoryShares::of_process(120_000_000);
    let limits = ListenerLimits::of_process(3_075, shares, CallerBounds::default());
    assert!(limits.callers.max_connections >= 2_000);
    assert!(limits.callers.max_bytes >= 2_000 * (CONNECTION_BYTES + 2_000));
    let callers = limits.callers.max_connections + limits.status.max_connections;
    assert!(3_075 - 200 - callers >= 700);
    let largest_body = 64 * 1024 * 1024;
    assert!(shares.pool - 250 * CONNECTION_BYTES >= largest_body);
}
