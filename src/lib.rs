//! A router for servers that own keys exclusively.
//!
//! Decisions are made by pure state machines, which take events and the current time and return
//! actions; the threads around them do the I/O. `docs/design.md` describes the
//! protocol and who owns which state.

pub mod audit;
pub mod clock;
pub mod collections;
pub mod config;
pub mod declaration;
pub mod entry;
pub mod gateway;
pub mod http_client;
pub mod logging;
pub mod membership;
pub mod operator;
pub mod ownership;
pub mod partition;
pub mod peer;
pub mod response_head;
pub mod routing;
pub mod store;
pub mod table;
pub mod target_api;
pub mod uri;
pub mod world;
