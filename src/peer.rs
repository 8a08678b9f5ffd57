//! The links between daemons: h2 streams that carry bincode messages.

pub mod client;
pub mod codec;
pub mod message;
pub mod server;
pub mod service;

pub use client::{PeerClient, PeerError};
pub use service::{PeerContext, PeerHandle, PeerService};
