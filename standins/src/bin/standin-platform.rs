//! Runs the stand-in platform: table service, object store and VM list.

use clap::Parser;
use standins::platform::{Faults, Platform};
use std::{io, net::SocketAddr};

#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// Address to serve; port 0 chooses a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    addr: SocketAddr,
    /// Delay before each read or write of the store takes effect, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = Options::parse();
    let faults = Faults {
        delay_ms: options.delay_ms,
        ..Faults::default()
    };
    let platform = Platform::start(options.addr, faults).await?;
    println!("{}", platform.addr());
    std::future::pending().await
}
