//! Guards against ports that are found free and cannot be bound a moment later.

use standins::ports::free_addr;
use std::{
    net::{Ipv4Addr, TcpListener},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

/// Ports that are taken; with a listener opened to look for them, three of three runs failed.
const ROUNDS: usize = 20_000;

/// A child process that is being started must not occupy a port that was given out.
#[test]
fn ports_can_be_bound_while_processes_start() {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let ended = Command::new("true").status();
                    assert!(ended.is_ok_and(|status| status.success()));
                }
            });
        }
        let failed = (0..ROUNDS)
            .filter(|_| {
                let addr = free_addr(Ipv4Addr::LOCALHOST.into());
                TcpListener::bind(addr).is_err()
            })
            .count();
        stop.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "of {ROUNDS} ports");
    });
}
