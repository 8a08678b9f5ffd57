//! The router for platforms that register endpoints themselves and own keys by range.
//!
//! The platform's names of tables, headers and fields are known only to an adapter, which
//! implements [`platform::Platform`]. Everything here works on the types of [`model`].
//!
//! A daemon has two threads. The request thread serves callers from an immutable
//! [`view::View`]. The control thread watches the store and publishes new views; on the daemon
//! that holds the controller lease, it also assigns keys to endpoints.

pub mod backend;
pub mod body_buffer;
pub mod body_memory;
pub mod budget;
pub mod caller_connections;
pub mod claim;
pub mod command_connections;
pub mod connection;
pub mod control;
pub mod controller;
pub mod controller_lease;
pub mod cost;
pub mod current_instances;
pub mod decaying_mean;
pub mod endpoint_set;
pub mod evacuation;
pub mod fleet_digest;
pub mod forward;
pub mod hedging;
pub mod idle;
pub mod incarnations;
pub mod leaving;
pub mod load_header;
pub mod load_stats;
pub mod memory_pool;
pub mod model;
pub mod owners;
pub mod patience;
pub mod pause;
pub mod placement;
pub mod platform;
pub mod rate_limit;
pub mod registry;
pub mod relative_latency;
pub mod removal;
pub mod reply;
pub mod routes;
pub mod runtime;
pub mod selection;
pub mod send;
pub mod sent_ahead;
pub mod server;
pub mod status;
pub mod stop;
pub mod store_contact;
pub mod store_version;
pub mod table_watch;
pub mod view;
pub mod wait_queue;
