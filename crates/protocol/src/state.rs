//! The state service's items, pages, watches, transactions and leases.

use serde::Deserialize;
use serde_json::{Value, json};

/// A stored key and its value.
#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    /// Empty where the request named the key.
    #[serde(rename = "path", default)]
    pub key: String,
    /// What was stored, any JSON.
    #[serde(rename = "data")]
    pub value: Value,
    /// The revision of the transaction that wrote it last.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of the items below a prefix, in the order of their keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// In the order of their keys.
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store as the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// One change of a watched key.
#[derive(Debug, Deserialize)]
pub struct Event {
    /// The key that was written; `None`: a key was deleted.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// What was written; null where a key was deleted.
    #[serde(rename = "data", default)]
    pub value: Value,
    /// The revision of the transaction that wrote it.
    #[serde(rename = "stamp", default)]
    pub version: u64,
}

/// The answer to a watch.
#[derive(Debug, Deserialize)]
pub struct Changes {
    /// From which the next watch goes on.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// In the order in which they were carried out.
    pub events: Vec<Event>,
}

/// A key and the version that it must have for a transaction to be carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    key: String,
    version: u64,
}

impl Condition {
    /// The version of a key that does not exist.
    const ABSENT: u64 = 0;

    /// The key was last written by the transaction of this revision; 0: it does not exist.
    pub fn at_version(key: impl Into<String>, version: u64) -> Self {
        Self {
            key: key.into(),
            version,
        }
    }

    /// The key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self::at_version(key, Self::ABSENT)
    }

    fn to_json(&self) -> Value {
        json!({"path": self.key, "stamp": self.version})
    }
}

/// Changes that are carried out together, if every condition holds, or not at all.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// All of them must hold.
    pub conditions: Vec<Condition>,
    /// What is carried out.
    pub changes: Vec<Change>,
}

/// One change of a transaction.
#[derive(Debug, Clone)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key, created if it does not exist.
        key: String,
        /// Its new value.
        value: Value,
        /// The key is deleted when this lease ends; `None`: it stays.
        lease: Option<u64>,
    },
    /// Deletes a key, if it exists.
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
    /// The request's JSON body.
    pub fn body(&self) -> Vec<u8> {
        let guards: Vec<Value> = self.conditions.iter().map(Condition::to_json).collect();
        let apply: Vec<Value> = self.changes.iter().map(Change::to_json).collect();
        let body = json!({"guards": guards, "apply": apply});
        serde_json::to_vec(&body).expect("a JSON value always serializes")
    }
}

/// The answer to a transaction that was carried out.
#[derive(Debug, Deserialize)]
pub struct Revision {
    /// The revision of the transaction, which is the version of all it wrote.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// The answer to a transaction of which a condition failed.
#[derive(Debug, Deserialize)]
pub struct Conflict {
    /// The keys whose condition failed.
    pub failed: Vec<String>,
}

/// The answer to the request for a lease.
#[derive(Debug, Deserialize)]
pub struct NewLease {
    /// The number of the lease.
    #[serde(rename = "grant")]
    pub lease: u64,
}
