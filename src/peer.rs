//! The links between daemons: h2 streams that carry bincode messages.

pub mod client;
pub mod codec;
mod loops;
pub mod member_query;
pub mod message;
pub mod server;
pub mod service;
pub mod sync;

pub use client::{PeerClient, PeerError};
pub use member_query::MemberStatus;
pub use service::{PeerContext, PeerHandle, PeerService};
