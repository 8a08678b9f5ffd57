//! RPC between daemons: bincode messages over HTTP/2 streams.

mod background;
pub mod client;
pub mod codec;
pub mod member_query;
pub mod message;
pub mod server;
pub mod service;
pub mod sync;

pub use client::{PeerClient, PeerError};
pub use member_query::MemberStatus;
pub use service::{PeerContext, PeerHandle, PeerService};
