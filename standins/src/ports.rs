//! Ports for processes that bind them later.

use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr, TcpStream, UdpSocket},
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

/// First port that is given out; the system takes ports of outgoing connections from 32768.
const FIRST_PORT: u16 = 11_000;
/// Number of ports in a block.
const BLOCK_PORTS: u16 = 1_000;
/// Blocks of ports, each used by one process at a time.
const BLOCKS: u16 = 20;
/// Longest wait for the refusal of a connection to a free port.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// An address of `ip` that nothing listens on and that this function gives out once.
///
/// The port is not bound to find out. Between fork and exec a child process holds copies of all
/// sockets, so a listener that was just closed can still occupy its port.
///
/// # Panics
/// If no block of ports is left for this process.
pub fn free_addr(ip: IpAddr) -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % BLOCK_PORTS;
        let addr = SocketAddr::new(ip, block() + number);
        let probe = TcpStream::connect_timeout(&addr, PROBE_TIMEOUT);
        if probe.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused) {
            return addr;
        }
    }
}

/// First port of the block that belongs to this process.
///
/// A datagram socket on the block's first port reserves the block until the process ends.
fn block() -> u16 {
    static BLOCK: OnceLock<(u16, UdpSocket)> = OnceLock::new();
    let (first, _) = BLOCK.get_or_init(|| {
        (0..BLOCKS)
            .map(|block| FIRST_PORT + block * BLOCK_PORTS)
            .find_map(|first| Some((first, UdpSocket::bind(("127.0.0.1", first)).ok()?)))
            .expect("a block of ports is free")
    });
    *first
}
