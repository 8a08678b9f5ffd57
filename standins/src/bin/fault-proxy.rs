//! TCP proxy that injects faults into links.

use clap::Parser;
use standins::{
    proxy::{ProxyLink, control},
    server::bind,
};
use std::{io, net::SocketAddr, str::FromStr, sync::Arc};

#[derive(Parser)]
#[command(version, about)]
struct Options {
    /// Address of the control port; port 0 chooses a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: SocketAddr,
    /// A link as `LISTEN=UPSTREAM`; may be repeated.
    #[arg(long = "link", required = true)]
    links: Vec<LinkAddrs>,
}

#[derive(Clone, Copy)]
struct LinkAddrs {
    listen: SocketAddr,
    upstream: SocketAddr,
}

impl FromStr for LinkAddrs {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (listen, upstream) = text.split_once('=').ok_or("expected LISTEN=UPSTREAM")?;
        let parse = |addr: &str| addr.parse().map_err(|e| format!("{addr}: {e}"));
        Ok(Self {
            listen: parse(listen)?,
            upstream: parse(upstream)?,
        })
    }
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = Options::parse();
    let mut links = Vec::new();
    for addrs in options.links {
        links.push(ProxyLink::start(addrs.listen, addrs.upstream).await?);
    }
    let (listener, addr) = bind(options.control).await?;
    println!("{addr}");
    control(listener, Arc::new(links)).await;
    Ok(())
}
