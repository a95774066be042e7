//! The JSON of the operators' endpoints. Times are in seconds; a field that is not
//! known is left out.

use serde::{Deserialize, Serialize};

/// `GET /operator/nodes?since=NAME`: by name, beginning after `since`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    /// At most a page of them.
    pub nodes: Vec<Node>,
    /// There are more after the last of these.
    pub more: bool,
}

/// A worker as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The cloud's name of it.
    pub name: String,
    /// The cloud's name of its type.
    pub machine_type: String,
    /// Where it runs.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// How it is.
    pub state: NodeState,
    /// Tasks that run or may run on it.
    pub tasks: u32,
    /// Of those, tasks of protected classes.
    pub protected: u32,
    /// Tasks on their way off it.
    pub leaving: u32,
    /// CPUs in use.
    pub cpus: ResourceUsage,
    /// GPUs in use.
    pub gpus: ResourceUsage,
    /// Memory in use.
    pub memory_gb: ResourceUsage,
    /// Time until what still runs on a draining node is stopped in order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Time since its last heartbeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_s: Option<f64>,
    /// The controller that answers its heartbeats, where the workers are sharded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

/// How much of a resource of a node is in use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// What its tasks take.
    pub used: f64,
    /// What the node has.
    #[serde(rename = "all")]
    pub capacity: f64,
}

/// The state of a node: the first of these that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Being scaled in.
    Returning,
    /// Its lease ran out, or this leader has had no heartbeat of it.
    Lost,
    /// Its heartbeat is late.
    Late,
    /// Draining, and nothing is on it any more.
    Drained,
    /// Takes no new tasks.
    Draining,
    /// The cloud will take it back.
    Reclaimed,
    /// Tasks fail on it that run well elsewhere.
    Quarantined,
    /// Takes tasks.
    Ready,
}

impl NodeState {
    /// The name in JSON and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Returning => "returning",
            Self::Lost => "lost",
            Self::Late => "late",
            Self::Drained => "drained",
            Self::Draining => "draining",
            Self::Reclaimed => "reclaimed",
            Self::Quarantined => "quarantined",
            Self::Ready => "ready",
        }
    }
}

/// `POST /operator/nodes/NAME/drain`
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct DrainOrder")]
pub struct DrainRequest {
    /// What still runs after this time is stopped in order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Drain it even if it holds tasks of a protected class.
    pub yes: bool,
}

/// The answer 409 to a drain that must be confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmationRequired {
    /// Why.
    pub error: String,
    /// Jobs of protected classes with tasks on the node.
    pub protected: Vec<String>,
}

/// `GET /operator/moves`
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moves {
    /// Whether tasks are moved to make room for whole-worker tasks.
    pub enabled: bool,
    /// Those in progress.
    pub live: Vec<Move>,
    /// The last ones that ended, the newest first.
    pub recent: Vec<Move>,
    /// Jobs that wait for whole workers, and why nothing is moved for them.
    pub waiting: Vec<WaitingJob>,
}

/// A migration of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// As in `wk-000412/3`.
    pub task: String,
    /// The node that it leaves.
    pub from: String,
    /// The node that it goes to.
    pub to: String,
    /// The job that waits for the worker, or `drain`.
    pub purpose: String,
    /// Its stage, or how it ended.
    pub state: String,
    /// Time since it began.
    pub age_s: f64,
}

/// A job that waits for whole workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// Its id and class.
    pub job: String,
    /// Its tasks that wait.
    pub tasks: u32,
    /// Time since this leader learned of it.
    pub waited_s: f64,
    /// Why nothing is moved for it.
    pub reason: String,
}
