//! The router for platforms that register endpoints themselves and own keys by range.
//!
//! What a platform calls its tables, headers and fields is known to an adapter alone, which
//! implements [`platform::Platform`]. Everything here works on the types of [`model`].
//!
//! Two threads divide the work. The request thread serves callers from an immutable
//! [`view::View`]; the control thread follows the store, publishes views and, on the daemon that
//! holds the controller lease, decides which endpoint owns which keys.

pub mod backend;
pub mod budget;
pub mod choice;
pub mod connection;
pub mod control;
pub mod controller;
pub mod controller_lease;
pub mod decaying_mean;
pub mod feeds;
pub mod forward;
pub mod gate;
pub mod idle;
pub mod load_stats;
pub mod model;
pub mod owners;
pub mod placement;
pub mod platform;
pub mod registry;
pub mod relative_latency;
pub mod reply;
pub mod routes;
pub mod runtime;
pub mod send;
pub mod server;
pub mod status;
pub mod view;
