//! Faults of the platform and counters of its use.

use fireflygauge::store::api::Transaction;
use serde::{Deserialize, Serialize};

/// Availability of a part of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Availability {
    /// It answers.
    #[default]
    Up,
    /// It answers 503 and does nothing.
    Refuse,
    /// It accepts requests and never answers or does anything.
    Hang,
}

/// The faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Table service and object store.
    pub store: Availability,
    /// VM list.
    pub list: Availability,
    /// Delay before a read or write takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay between the effect and the response, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of transactions whose responses are lost from now on.
    pub lose_answers: u32,
    /// Restricts lost responses to transactions that write a row with this prefix.
    pub lose_prefix: String,
    /// Age of the state that reads of rows see, in milliseconds (up to 30,000).
    pub stale_ms: u64,
    /// Age of the VM list, in milliseconds (up to 30,000).
    pub list_lag_ms: u64,
}

impl Faults {
    /// Faults with an unavailable store and nothing else.
    pub fn store(store: Availability) -> Self {
        Self {
            store,
            ..Self::default()
        }
    }

    /// Whether the response to `transaction` is lost; counts it if so.
    pub fn lose_answer(&mut self, transaction: &Transaction) -> bool {
        let concerned = transaction
            .writes
            .iter()
            .any(|write| write.row.starts_with(&self.lose_prefix));
        let lost = self.lose_answers > 0 && concerned;
        self.lose_answers -= u32::from(lost);
        lost
    }
}

/// Numbers of reads and writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of rows, prefixes and objects.
    pub reads: u64,
    /// Transactions and objects.
    pub writes: u64,
}
