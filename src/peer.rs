//! The links between daemons: h2 streams that carry bincode messages.

pub mod message;
