//! Runs a stand-in target: an endpoint of a service.

use clap::{ArgAction, Parser};
use fireflygauge::http_client::HttpClient;
use http::Method;
use standins::target::{Control, StandinTarget, TargetOptions};
use std::{io, net::SocketAddr, path::PathBuf, time::Duration};

#[derive(Parser)]
#[command(version, about, args_override_self = true)]
struct Options {
    /// Address to serve; port 0 chooses a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    addr: SocketAddr,
    /// Name of its VM.
    #[arg(long)]
    name: String,
    /// Availability zone.
    #[arg(long, default_value = "zone-a")]
    zone: String,
    /// Service that it is an endpoint of.
    #[arg(long)]
    service: String,
    /// Whether requests need a lease on their partition; for keyed services.
    #[arg(long, default_value_t = true, action = ArgAction::Set)]
    checks_grants: bool,
    /// Maximum number of requests that run concurrently.
    #[arg(long, default_value_t = 4)]
    slots: usize,
    /// Maximum number of requests that wait for a slot.
    #[arg(long, default_value_t = 0)]
    queue: usize,
    /// Maximum number of open connections.
    #[arg(long, default_value_t = 100)]
    connections: usize,
    /// Service time of requests without an `x-work-ms` header, in milliseconds.
    #[arg(long, default_value_t = 0)]
    work_ms: u64,
    /// Time after the start during which requests are refused, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// Time after the cold phase during which requests take twice as long, in milliseconds.
    #[arg(long, default_value_t = 0)]
    warm_ms: u64,
    /// File to which executions are appended as JSON lines.
    #[arg(long)]
    history: Option<PathBuf>,
    /// Platform to register with.
    #[arg(long)]
    platform: Option<SocketAddr>,
    /// Address to register instead of the bound one.
    #[arg(long)]
    advertise: Option<SocketAddr>,
}

/// Time limit for the registration with the platform.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = Options::parse();
    let target = StandinTarget::start(target_options(&options)).await?;
    if let Some(platform) = options.platform {
        register(&target, platform, options.advertise).await?;
    }
    println!("{}", target.addr());
    std::future::pending().await
}

fn target_options(options: &Options) -> TargetOptions {
    TargetOptions {
        addr: options.addr,
        slots: options.slots,
        queue: options.queue,
        connections: options.connections,
        cold_ms: options.cold_ms,
        warm_ms: options.warm_ms,
        history: options.history.clone(),
        control: Control {
            work_ms: options.work_ms,
            ..Control::default()
        },
        ..TargetOptions::new(
            &options.name,
            &options.zone,
            &options.service,
            options.checks_grants,
        )
    }
}

async fn register(
    target: &StandinTarget,
    platform: SocketAddr,
    advertise: Option<SocketAddr>,
) -> io::Result<()> {
    let mut vm = target.vm();
    vm.addr = advertise.unwrap_or(vm.addr);
    let body = serde_json::to_vec(&vm)?;
    let path = format!("/vms/{}", vm.name);
    HttpClient::new()
        .send(Method::PUT, platform, &path, body, REGISTER_TIMEOUT)
        .await
        .map_err(io::Error::other)?;
    Ok(())
}
