//! Client and messages of the platform's store: table service, object store and VM list.

pub mod api;
pub mod client;

pub use api::{CommitReply, Condition, Row, Transaction, Write};
pub use client::{CommitOutcome, StoreClient, StoreError};
