//! The JSON of the operators' endpoints. Times are in seconds; a field that is not
//! known is left out.

use serde::{Deserialize, Serialize};

/// `GET /operator/nodes?since=NAME`: by name, beginning after `since`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    pub nodes: Vec<Node>,
    /// There are more after the last of these.
    pub more: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: NodeState,
    /// Tasks that are or may be on it.
    pub tasks: u32,
    /// Of those, tasks of protected classes.
    pub protected: u32,
    /// Tasks on their way off it.
    pub leaving: u32,
    pub cpus: Share,
    pub gpus: Share,
    pub memory_gb: Share,
    /// Until what still runs on a draining node is stopped in order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Since it was last heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_s: Option<f64>,
    /// Which controller speaks with it, where the workers are shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub used: f64,
    pub all: f64,
}

/// The first of these that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Being given back to the cloud.
    Returning,
    /// Its lease ran out, or it has not been heard by this leader.
    Lost,
    /// A report of it is late.
    Late,
    /// Draining, and nothing is on it any more.
    Drained,
    Draining,
    /// The cloud will take it.
    Reclaimed,
    /// Tasks failed on it that run well elsewhere.
    Quarantined,
    Ready,
}

/// `POST /operator/nodes/NAME/drain`
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainOrder {
    /// What still runs then is stopped in order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Also if the node holds tasks of a protected class.
    pub yes: bool,
}

/// The answer 409 to a drain that must be confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Confirm {
    pub error: String,
    /// Jobs of protected classes with tasks on the node.
    pub protected: Vec<String>,
}

/// `GET /operator/moves`
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moves {
    /// Whether work is moved for whole-worker tasks.
    pub enabled: bool,
    pub live: Vec<Move>,
    /// The last ones that ended, the newest first.
    pub recent: Vec<Move>,
    /// Jobs that wait for whole workers, and why nothing is moved for them.
    pub waiting: Vec<Waiting>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// As in `wk-000412/3`.
    pub task: String,
    pub from: String,
    pub to: String,
    /// The job that waits for the worker, or `drain`.
    pub purpose: String,
    /// How far it is, or how it ended.
    pub state: String,
    /// Since it began.
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Waiting {
    pub job: String,
    pub tasks: u32,
    pub waited_s: f64,
    pub reason: String,
}
