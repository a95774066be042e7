//! Workers' reports and the commands sent to them.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{JobId, parse_task};

#[derive(Debug, Clone, Deserialize)]
pub struct WireHeartbeat {
    host: String,
    address: String,
    flavor: String,
    region: String,
    #[serde(default)]
    preemptibles: Option<bool>,
    tenure: u64,
    counter: u64,
    #[serde(default)]
    fence: Option<u64>,
    #[serde(default)]
    reclaim_s: Option<f64>,
    #[serde(default)]
    shards: Option<Vec<WireTask>>,
}

#[derive(Debug, Clone, Deserialize)]
struct WireTask {
    shard: String,
    #[serde(rename = "try")]
    attempt: u64,
    phase: String,
    #[serde(default)]
    exit_reason: Option<String>,
    #[serde(default)]
    kept: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    pub worker: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    pub counter: u64,
    pub token: u64,
    pub notice_s: Option<f64>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct TaskStatus {
    pub job: JobId,
    pub task: u32,
    pub attempt: u64,
    pub phase: TaskPhase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskPhase {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited(Exit),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Exit {
    Done,
    Stopped { saved: bool },
    PeersGone,
    Alone,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

impl Heartbeat {
    /// All or nothing: a report with one unreadable task changes nothing.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let wire: WireHeartbeat =
            serde_json::from_slice(body).map_err(|e| format!("malformed report: {e}"))?;
        let mut tasks = Vec::new();
        for t in wire.shards.unwrap_or_default() {
            let (job, task) =
                parse_task(&t.shard).ok_or_else(|| format!("shard: bad id {:?}", t.shard))?;
            let phase = match t.phase.as_str() {
                "fetching" => TaskPhase::Fetching,
                "gathering" => TaskPhase::Waiting,
                "running" => TaskPhase::Running,
                "saving" => TaskPhase::Saving,
                "ended" => TaskPhase::Exited(match t.exit_reason.as_deref() {
                    Some("done") => Exit::Done,
                    Some("stopped") => Exit::Stopped {
                        saved: t.kept.unwrap_or(false),
                    },
                    Some("mates_gone") => Exit::PeersGone,
                    Some("alone") => Exit::Alone,
                    Some("no_room") => Exit::NoRoom,
                    Some("busy") => Exit::Busy,
                    Some("unknown") => Exit::Unknown,
                    // Any other reason is one we do not know yet: it ended without a result.
                    Some(_) => Exit::Error,
                    None => return Err("exit_reason: missing".into()),
                }),
                other => return Err(format!("phase: unknown value {other:?}")),
            };
            tasks.push(TaskStatus {
                job,
                task,
                attempt: t.attempt,
                phase,
            });
        }
        if wire.host.is_empty() || wire.host.len() > 100 {
            return Err("host: must have 1 to 100 bytes".into());
        }
        if wire.reclaim_s.is_some_and(|s| !(0.0..=1e9).contains(&s)) {
            return Err("reclaim_s: out of range".into());
        }
        Ok(Self {
            worker: wire.host,
            address: wire.address,
            machine_type: wire.flavor,
            zone: wire.region,
            spot: wire.preemptibles.unwrap_or(false),
            incarnation: wire.tenure,
            counter: wire.counter,
            token: wire.fence.unwrap_or(0),
            notice_s: wire.reclaim_s,
            tasks,
        })
    }
}

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Verb {
    Start,
    Stop { grace_s: f64 },
    Forget,
}

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Command {
    pub verb: Verb,
    pub job: JobId,
    pub task: u32,
    pub attempt: u64,
}

#[derive(Serialize)]
struct WireOrder {
    verb: &'static str,
    shard: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    drain_s: Option<f64>,
}

#[derive(Serialize)]
struct WireOrders {
    fence: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    tenure: Option<u64>,
    orders: Vec<WireOrder>,
}

/// Body of a report's response (`incarnation` none) or of direct commands.
pub fn orders_body(token: u64, incarnation: Option<u64>, commands: &[Command]) -> Vec<u8> {
    let orders = commands
        .iter()
        .map(|c| {
            let (verb, drain_s) = match c.verb {
                Verb::Start => ("start", None),
                Verb::Stop { grace_s } => ("halt", Some(grace_s)),
                Verb::Forget => ("clear", None),
            };
            WireOrder {
                verb,
                shard: format!("{}/{}", c.job, c.task),
                attempt: c.attempt,
                drain_s,
            }
        })
        .collect();
    serde_json::to_vec(&WireOrders {
        fence: token,
        tenure: incarnation,
        orders,
    })
    .expect("plain data")
}

/// Commands in one message, well under the 64 KiB that a line may have.
pub const MAX_COMMANDS: usize = 400;
