//! Settings of the daemon: flags and environment variables, validated at start.

use crate::world::{VmName, ZoneName};
use clap::{Parser, value_parser};
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Longest name of a VM or an availability zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The entry daemon of fireflygauge.
///
/// Every setting is a flag or an environment variable; the flag wins. SIGTERM and SIGINT stop the
/// daemon after the requests in flight have completed.
#[derive(Clone, Debug, Parser)]
#[command(name = "fireflygauge-entry", version)]
pub struct Settings {
    /// Name of this VM in the platform's list.
    #[arg(long, env = "FIREFLYGAUGE_NAME", value_parser = parse_vm_name)]
    pub name: VmName,
    /// Availability zone of this VM.
    #[arg(long, env = "FIREFLYGAUGE_ZONE", value_parser = parse_zone_name)]
    pub zone: ZoneName,
    /// Address that serves callers.
    #[arg(long, env = "FIREFLYGAUGE_CALLER_ADDR")]
    pub caller_addr: SocketAddr,
    /// Address that serves other daemons.
    #[arg(long, env = "FIREFLYGAUGE_PEER_ADDR")]
    pub peer_addr: SocketAddr,
    /// Address that serves operators, health checks and metrics.
    #[arg(long, env = "FIREFLYGAUGE_OPERATOR_ADDR")]
    pub operator_addr: SocketAddr,
    /// Address of the platform's table service, object store and VM list.
    #[arg(long, env = "FIREFLYGAUGE_PLATFORM_ADDR")]
    pub platform_addr: SocketAddr,
    /// Time to wait for a response from the store, in milliseconds.
    #[arg(long, env = "FIREFLYGAUGE_STORE_TIMEOUT_MS", default_value_t = 400,
          value_parser = value_parser!(u64).range(50..=10_000))]
    pub store_timeout_ms: u64,
    /// Worker threads of the request path.
    #[arg(long, env = "FIREFLYGAUGE_WORKERS", default_value_t = 2,
          value_parser = value_parser!(u16).range(1..=64))]
    pub workers: u16,
    /// Time limit for requests in flight at a stop, in milliseconds.
    #[arg(long, env = "FIREFLYGAUGE_STOP_TIMEOUT_MS", default_value_t = 30_000,
          value_parser = value_parser!(u64).range(0..=300_000))]
    pub stop_timeout_ms: u64,
    /// Most verbose level that is logged: off, error, warn, info, debug or trace.
    #[arg(long, env = "FIREFLYGAUGE_LOG", default_value = "info")]
    pub log: log::LevelFilter,
    /// File to append logs to, instead of standard error.
    #[arg(long, env = "FIREFLYGAUGE_LOG_FILE")]
    pub log_file: Option<PathBuf>,
    /// Address of a statsd server that receives metrics over UDP.
    #[arg(long, env = "FIREFLYGAUGE_STATSD_ADDR")]
    pub statsd_addr: Option<SocketAddr>,
}

/// A combination of settings that cannot work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Two listeners have the same address.
    #[error("{first} and {second} are both {addr}; they must differ")]
    SameAddress {
        /// The first flag.
        first: &'static str,
        /// The second flag.
        second: &'static str,
        /// Their common value.
        addr: SocketAddr,
    },
}

impl Settings {
    /// Validates the combination of settings; each flag's own value is checked when it is parsed.
    ///
    /// # Errors
    /// [`SettingsError`] for the first combination that cannot work.
    pub fn check(&self) -> Result<(), SettingsError> {
        let listeners = [
            ("--caller-addr", self.caller_addr),
            ("--peer-addr", self.peer_addr),
            ("--operator-addr", self.operator_addr),
        ];
        for (i, &(first, addr)) in listeners.iter().enumerate() {
            for &(second, other) in &listeners[i + 1..] {
                // For port 0, the system chooses a free port for each listener.
                if addr == other && addr.port() != 0 {
                    return Err(SettingsError::SameAddress {
                        first,
                        second,
                        addr,
                    });
                }
            }
        }
        Ok(())
    }
}

fn parse_vm_name(text: &str) -> Result<VmName, String> {
    check_name(text).map(VmName)
}

fn parse_zone_name(text: &str) -> Result<ZoneName, String> {
    check_name(text).map(ZoneName)
}

fn check_name(text: &str) -> Result<Arc<str>, String> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.chars().all(valid) {
        return Err(format!(
            "must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
        ));
    }
    Ok(text.into())
}
