//! The state service's items, transactions and watches.

use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    #[serde(rename = "path", default)]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Value,
    #[serde(rename = "stamp", default)]
    pub version: u64,
}

#[derive(Debug, Deserialize)]
pub struct Changes {
    #[serde(rename = "epoch")]
    pub revision: u64,
    pub events: Vec<Event>,
}

#[derive(Debug, Clone, Default)]
pub struct Transaction {
    pub conditions: Vec<(String, u64)>,
    pub changes: Vec<Change>,
}

#[derive(Debug, Clone)]
pub enum Change {
    Put {
        key: String,
        value: Value,
        lease: Option<u64>,
    },
    Delete {
        key: String,
    },
}

impl Transaction {
    pub fn body(&self) -> Vec<u8> {
        let guards: Vec<Value> = self
            .conditions
            .iter()
            .map(|(key, version)| json!({"path": key, "stamp": version}))
            .collect();
        let apply: Vec<Value> = self
            .changes
            .iter()
            .map(|c| match c {
                Change::Put {
                    key,
                    value,
                    lease: Some(lease),
                } => json!({"set": key, "data": value, "grant": lease}),
                Change::Put { key, value, .. } => json!({"set": key, "data": value}),
                Change::Delete { key } => json!({"drop": key}),
            })
            .collect();
        serde_json::to_vec(&json!({"guards": guards, "apply": apply})).expect("plain data")
    }
}

#[derive(Deserialize)]
pub struct Revision {
    #[serde(rename = "epoch")]
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct Conflict {
    pub failed: Vec<String>,
}

#[derive(Deserialize)]
pub struct ShardLease {
    #[serde(rename = "grant")]
    pub lease: u64,
}
