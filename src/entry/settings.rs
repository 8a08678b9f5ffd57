//! Settings of the daemon: flags and environment variables, checked at start.

use crate::world::{VmName, ZoneName};
use clap::Parser;
use std::{net::SocketAddr, path::PathBuf};

/// The entry daemon of fireflygauge.
#[derive(Clone, Debug, Parser)]
#[command(version, about)]
pub struct Settings {
    /// Name of this VM in the platform's list.
    #[arg(long, env = "FIREFLYGAUGE_NAME", value_parser = |s: &str| Ok::<_, String>(VmName::from(s)))]
    pub name: VmName,
    /// Availability zone of this VM.
    #[arg(long, env = "FIREFLYGAUGE_ZONE", value_parser = |s: &str| Ok::<_, String>(ZoneName::from(s)))]
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
    /// Time to wait for an answer of the store, in milliseconds (50 to 10000).
    #[arg(long, env = "FIREFLYGAUGE_STORE_TIMEOUT_MS", default_value_t = 400)]
    pub store_timeout_ms: u64,
    /// Threads of the request path (1 to 64).
    #[arg(long, env = "FIREFLYGAUGE_WORKERS", default_value_t = 2)]
    pub workers: usize,
    /// Longest time to finish requests in flight at a stop, in milliseconds (0 to 300000).
    #[arg(long, env = "FIREFLYGAUGE_STOP_TIMEOUT_MS", default_value_t = 30_000)]
    pub stop_timeout_ms: u64,
    /// Most detailed log level: error, warn, info, debug or trace.
    #[arg(long, env = "FIREFLYGAUGE_LOG", default_value = "info")]
    pub log: log::LevelFilter,
    /// File to append logs to, in place of standard error.
    #[arg(long, env = "FIREFLYGAUGE_LOG_FILE")]
    pub log_file: Option<PathBuf>,
    /// Address of a statsd server that receives metrics over UDP.
    #[arg(long, env = "FIREFLYGAUGE_STATSD_ADDR")]
    pub statsd_addr: Option<SocketAddr>,
}
