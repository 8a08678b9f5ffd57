//! CPU time and memory of processes, read from /proc.

use std::{fs, time::Duration};

/// Clock ticks per second in /proc. Linux reports CPU time in hundredths of a second on every
/// machine.
const TICKS_PER_SECOND: f64 = 100.0;

/// CPU time (user and system) that process `pid` has used; `None` if it no longer exists.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name may contain spaces and parentheses; the other fields follow the last ")".
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64(
        (user + system) as f64 / TICKS_PER_SECOND,
    ))
}

/// Resident memory of process `pid`, in KiB; `None` if it no longer exists.
pub fn resident_kib(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
