//! The platform's table service and object store.

pub mod api;
pub mod client;

pub use api::{CommitReply, Condition, Row, Transaction, Write};
pub use client::{CommitOutcome, StoreClient, StoreError};
