//! The router for platforms that register endpoints themselves.

mod budget;
mod choice;
mod controller;
mod daemon;
mod fake_endpoint;
mod fake_platform;
mod feeds;
mod idle;
mod leaving;
mod owners;
mod placement;
mod queue;
mod registry;
mod relative_latency;
mod routes;
mod simulation;
