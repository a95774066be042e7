//! The JSON types of the operators' endpoints. Times are in seconds. Fields with unknown values are
//! omitted.

use serde::{Deserialize, Serialize};

/// The answer to `GET /operator/nodes?since=NAME`: one page of nodes whose names follow `since`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Nodes {
    /// The nodes, ordered by name.
    pub nodes: Vec<Node>,
    /// Whether more nodes follow the last one.
    pub more: bool,
}

/// A worker as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The cloud's name for the node.
    pub name: String,
    /// The cloud's name for its machine type.
    pub machine_type: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Whether it is a spot worker, which the cloud may reclaim.
    pub spot: bool,
    /// The state of the node.
    pub state: NodeState,
    /// The number of tasks that run or may run on it.
    pub tasks: u32,
    /// The number of these tasks that belong to protected classes.
    pub protected: u32,
    /// The number of tasks that are being migrated off it.
    pub leaving: u32,
    /// Its CPUs.
    pub cpus: ResourceUsage,
    /// Its GPUs.
    pub gpus: ResourceUsage,
    /// Its memory in GB.
    pub memory_gb: ResourceUsage,
    /// The time until the remaining tasks on a draining node are stopped with their grace period.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// The time since its last heartbeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub heard_s: Option<f64>,
    /// The controller that answers its heartbeats, if sharding is on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

/// How much of a resource of a node is in use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// The amount that its tasks use.
    pub used: f64,
    /// The total amount of the node.
    #[serde(rename = "all")]
    pub capacity: f64,
}

/// The state of a node. If several apply, the first of them is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node is being scaled in.
    Returning,
    /// The node's lease has expired, or this leader has not received a heartbeat from it.
    Lost,
    /// The node's heartbeat is late.
    Late,
    /// The node is draining and runs no more tasks.
    Drained,
    /// The node is draining: it takes no new tasks, but still runs some.
    Draining,
    /// The cloud has announced that it will reclaim the node.
    Reclaimed,
    /// The node takes no new tasks for a time, because tasks failed on it that succeed elsewhere.
    Quarantined,
    /// The node takes new tasks.
    Ready,
}

impl NodeState {
    /// Returns the name of the state in JSON and in tables.
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

/// The body of `POST /operator/nodes/NAME/drain`.
// `expecting` keeps the name that operators see in the error for a body that is not an object.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct DrainOrder")]
pub struct DrainRequest {
    /// The time after which the remaining tasks are stopped with their grace period. `None` lets
    /// them complete.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Confirms the drain of a node that runs tasks of a protected class.
    pub yes: bool,
}

/// The body of the answer with status 409 to a drain that must be confirmed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfirmationRequired {
    /// Why the drain must be confirmed.
    pub error: String,
    /// The identifiers of jobs of protected classes with tasks on the node.
    pub protected: Vec<String>,
}

/// The answer to `GET /operator/moves`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Moves {
    /// Whether tasks are migrated to free whole workers.
    pub enabled: bool,
    /// The migrations in progress.
    pub live: Vec<Move>,
    /// The last migrations that ended, newest first.
    pub recent: Vec<Move>,
    /// The jobs that wait for whole workers, and why no task is migrated for them.
    pub waiting: Vec<WaitingJob>,
}

/// A migration of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The identifier of the task, such as `wk-000412/3`.
    pub task: String,
    /// The node that the task leaves.
    pub from: String,
    /// The node to which the task is migrated.
    pub to: String,
    /// The job that waits for the worker that the task leaves, or `drain`.
    pub purpose: String,
    /// The stage of the migration, or how it ended.
    pub state: String,
    /// The time since the migration began.
    pub age_s: f64,
}

/// A job that waits for whole workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitingJob {
    /// The identifier and the class of the job.
    pub job: String,
    /// The number of waiting tasks.
    pub tasks: u32,
    /// The time since this leader learned of the job.
    pub waited_s: f64,
    /// Why no task is migrated for it.
    pub reason: String,
}
