//! Items, pages, watches, transactions and leases of the state service.

use serde::Deserialize;
use serde_json::{Value, json};

/// A stored key and its value.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// The key. Empty in an answer to a request that named the key.
    #[serde(rename = "path", default)]
    pub key: String,
    /// The stored value, which may be any JSON.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the transaction that last wrote the key.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of the items under a prefix.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store when the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change of a watched key.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The key that was written. `None` if a key was deleted.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// The value that was written. Null if a key was deleted.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the transaction that wrote the key.
    #[serde(rename = "stamp", default)]
    pub version: u64,
}

/// The answer to a watch.
#[derive(Debug, Deserialize)]
pub struct Changes {
    /// The revision from which the next watch continues.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes, in the order in which they were made.
    pub events: Vec<Event>,
}

/// The version that a key must have for a transaction to be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    key: String,
    version: u64,
}

impl Condition {
    /// The version of a key that does not exist.
    const ABSENT: u64 = 0;

    /// Requires that the key was last written by the transaction of this revision. 0 requires that
    /// the key does not exist.
    pub fn at_version(key: impl Into<String>, version: u64) -> Self {
        Self {
            key: key.into(),
            version,
        }
    }

    /// Requires that the key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::at_version(key, Self::ABSENT)
    }

    fn to_json(&self) -> Value {
        json!({"path": self.key, "stamp": self.version})
    }
}

/// Changes that are applied atomically if all conditions hold, and not applied otherwise.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The changes to apply.
    pub changes: Vec<Change>,
}

/// A change in a transaction.
#[derive(Debug, Clone)]
pub enum Change {
    /// Writes a value to a key.
    Put {
        /// The key, which is created if it does not exist.
        key: String,
        /// The new value.
        value: Value,
        /// The lease with whose end the key is deleted. `None` keeps the key.
        lease: Option<u64>,
    },
    /// Deletes a key if it exists.
    Delete {
        /// The key.
        key: String,
    },
}

impl Change {
    fn to_json(&self) -> Value {
        match self {
            Self::Put {
                key,
                value,
                lease: Some(lease),
            } => json!({"set": key, "data": value, "grant": lease}),
            Self::Put { key, value, .. } => json!({"set": key, "data": value}),
            Self::Delete { key } => json!({"drop": key}),
        }
    }
}

impl Transaction {
    /// Returns the JSON body of the request.
    pub fn body(&self) -> Vec<u8> {
        let guards: Vec<Value> = self.conditions.iter().map(Condition::to_json).collect();
        let apply: Vec<Value> = self.changes.iter().map(Change::to_json).collect();
        let body = json!({"guards": guards, "apply": apply});
        serde_json::to_vec(&body).expect("a JSON value always serializes")
    }
}

/// The answer to a transaction that was applied.
#[derive(Debug, Deserialize)]
pub struct Revision {
    /// The revision of the transaction, which is the new version of all keys that it wrote.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The answer to a transaction with a failed condition.
#[derive(Debug, Deserialize)]
pub struct Conflict {
    /// The keys whose condition failed.
    pub failed: Vec<String>,
}

/// The answer to a request for a lease.
#[derive(Debug, Deserialize)]
pub struct NewLease {
    /// The ID of the lease.
    #[serde(rename = "grant")]
    pub lease: u64,
}
