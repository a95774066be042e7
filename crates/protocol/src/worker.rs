//! Heartbeats of workers and commands to workers.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{JobId, parse_task};

/// The maximum number of commands in one message. It keeps a message well under 64 KiB, the maximum
/// length of a line.
pub const MAX_COMMANDS: usize = 400;

/// The maximum length of a worker's name in bytes.
const MAX_WORKER_NAME_BYTES: usize = 100;
/// The maximum reclaim notice of a spot worker in seconds.
const MAX_NOTICE_S: f64 = 1e9;

/// Why a heartbeat is refused. The messages use the wire names of the fields.
#[derive(Debug, thiserror::Error)]
pub enum InvalidHeartbeat {
    /// The body is not the JSON of a heartbeat.
    #[error("malformed report: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The identifier of a task is not a job's identifier and a task number.
    #[error("shard: bad id {0:?}")]
    TaskId(String),
    /// The phase of a task is unknown.
    #[error("phase: unknown value {0:?}")]
    TaskPhase(String),
    /// A task has exited, and the heartbeat gives no reason.
    #[error("exit_reason: missing")]
    ExitReason,
    /// The worker's name is empty or too long.
    #[error("host: must have 1 to {MAX_WORKER_NAME_BYTES} bytes")]
    WorkerName,
    /// The reclaim notice of a spot worker is negative or too long.
    #[error("reclaim_s: out of range")]
    Notice,
}

/// The state of a worker, which the worker reports every few seconds and after each direct message.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// The worker's name.
    pub worker: String,
    /// The IP address and port at which the worker accepts commands.
    pub address: String,
    /// The name of the worker's machine type.
    pub machine_type: String,
    /// The zone in which the worker runs.
    pub zone: String,
    /// Whether it is a spot worker, which the cloud may reclaim.
    pub spot: bool,
    /// Numbers the worker's leases from 1. It increases when a lease expires, which ends all tasks
    /// on the worker.
    pub incarnation: u64,
    /// The sequence number of the heartbeat within the incarnation.
    pub counter: u64,
    /// The highest fencing token that the worker has seen, or 0 if it has seen none.
    pub token: u64,
    /// The time in seconds after which the cloud reclaims the worker. `None` if the cloud has given
    /// no notice.
    pub notice_s: Option<f64>,
    /// All task instances that the worker knows about.
    pub tasks: Vec<TaskStatus>,
}

/// The state of one task instance on a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct TaskStatus {
    /// The job of the task.
    pub job: JobId,
    /// The number of the task in its job.
    pub task: u32,
    /// The attempt, which distinguishes this instance from other instances of the task.
    pub attempt: u64,
    /// The phase of the instance.
    pub phase: TaskPhase,
}

/// The phase of a task instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskPhase {
    /// The worker fetches the image.
    Fetching,
    /// The instance is ready and waits for the other tasks of its gang.
    Waiting,
    /// The instance runs.
    Running,
    /// The instance was told to stop and saves a checkpoint.
    Saving,
    /// The instance has ended.
    Exited(Exit),
}

/// Why a task instance has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Exit {
    /// The task is completed.
    Done,
    /// A command stopped the instance.
    Stopped {
        /// Whether all of its work is saved in a checkpoint.
        saved: bool,
    },
    /// Other tasks of its gang were lost while the instance ran.
    PeersGone,
    /// The other tasks of its gang did not become ready in time.
    GangTimeout,
    /// The instance ended without a result, for any reason not listed here.
    Error,
    /// The worker has too few free resources.
    NoRoom,
    /// The worker cannot accept the instance now.
    Busy,
    /// The worker does not know this instance.
    Unknown,
}

impl Heartbeat {
    /// Parses a heartbeat. One invalid task makes the whole heartbeat invalid.
    ///
    /// # Errors
    /// Returns the first problem. The tasks are checked before the worker's own fields.
    pub fn parse(body: &[u8]) -> Result<Self, InvalidHeartbeat> {
        let wire: WireHeartbeat = serde_json::from_slice(body)?;
        let tasks = wire.tasks.unwrap_or_default();
        let tasks = tasks
            .into_iter()
            .map(TaskStatus::try_from)
            .collect::<Result<_, _>>()?;
        if !(1..=MAX_WORKER_NAME_BYTES).contains(&wire.worker.len()) {
            return Err(InvalidHeartbeat::WorkerName);
        }
        if wire
            .notice_s
            .is_some_and(|s| !(0.0..=MAX_NOTICE_S).contains(&s))
        {
            return Err(InvalidHeartbeat::Notice);
        }
        Ok(Self {
            worker: wire.worker,
            address: wire.address,
            machine_type: wire.machine_type,
            zone: wire.zone,
            spot: wire.spot.unwrap_or(false),
            incarnation: wire.incarnation,
            counter: wire.counter,
            token: wire.token.unwrap_or(0),
            notice_s: wire.notice_s,
            tasks,
        })
    }
}

// `expecting` keeps the name that workers see in the error for a body that is not an object.
#[derive(Deserialize)]
#[serde(expecting = "struct WireReport")]
struct WireHeartbeat {
    #[serde(rename = "host")]
    worker: String,
    address: String,
    #[serde(rename = "flavor")]
    machine_type: String,
    #[serde(rename = "region")]
    zone: String,
    #[serde(rename = "preemptibles", default)]
    spot: Option<bool>,
    #[serde(rename = "tenure")]
    incarnation: u64,
    counter: u64,
    #[serde(rename = "fence", default)]
    token: Option<u64>,
    #[serde(rename = "reclaim_s", default)]
    notice_s: Option<f64>,
    #[serde(rename = "shards", default)]
    tasks: Option<Vec<WireTask>>,
}

#[derive(Deserialize)]
struct WireTask {
    #[serde(rename = "shard")]
    id: String,
    #[serde(rename = "try")]
    attempt: u64,
    phase: String,
    #[serde(default)]
    exit_reason: Option<String>,
    #[serde(rename = "kept", default)]
    saved: Option<bool>,
}

impl WireTask {
    fn task_phase(&self) -> Result<TaskPhase, InvalidHeartbeat> {
        match self.phase.as_str() {
            "fetching" => Ok(TaskPhase::Fetching),
            "gathering" => Ok(TaskPhase::Waiting),
            "running" => Ok(TaskPhase::Running),
            "saving" => Ok(TaskPhase::Saving),
            "ended" => self.exit().map(TaskPhase::Exited),
            other => Err(InvalidHeartbeat::TaskPhase(other.to_string())),
        }
    }

    fn exit(&self) -> Result<Exit, InvalidHeartbeat> {
        let reason = self.exit_reason.as_deref();
        Ok(match reason.ok_or(InvalidHeartbeat::ExitReason)? {
            "done" => Exit::Done,
            "stopped" => Exit::Stopped {
                saved: self.saved.unwrap_or(false),
            },
            "mates_gone" => Exit::PeersGone,
            "alone" => Exit::GangTimeout,
            "no_room" => Exit::NoRoom,
            "busy" => Exit::Busy,
            "unknown" => Exit::Unknown,
            // Reasons that this version does not know.
            _ => Exit::Error,
        })
    }
}

impl TryFrom<WireTask> for TaskStatus {
    type Error = InvalidHeartbeat;

    fn try_from(wire: WireTask) -> Result<Self, InvalidHeartbeat> {
        let Some((job, task)) = parse_task(&wire.id) else {
            return Err(InvalidHeartbeat::TaskId(wire.id));
        };
        Ok(Self {
            job,
            task,
            attempt: wire.attempt,
            phase: wire.task_phase()?,
        })
    }
}

/// What a worker must do with a task instance.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Verb {
    /// Fetch the image and run the instance.
    Start,
    /// Save a checkpoint, if the job uses checkpoints and there is time, and end the instance.
    Stop {
        /// The time in seconds after which the instance is killed. 0 kills it at once.
        grace_s: f64,
    },
    /// Remove the ended instance from the heartbeats, because the leader knows that it has ended.
    Forget,
}

/// A command to a worker about one task instance.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Command {
    /// The action.
    pub verb: Verb,
    /// The job of the task.
    pub job: JobId,
    /// The number of the task in its job.
    pub task: u32,
    /// The attempt, which distinguishes this instance from other instances of the task.
    pub attempt: u64,
}

#[derive(Serialize)]
struct WireCommand {
    verb: &'static str,
    #[serde(rename = "shard")]
    task: String,
    #[serde(rename = "try")]
    attempt: u64,
    #[serde(rename = "drain_s", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

impl From<&Command> for WireCommand {
    fn from(command: &Command) -> Self {
        let (verb, grace_s) = match command.verb {
            Verb::Start => ("start", None),
            Verb::Stop { grace_s } => ("halt", Some(grace_s)),
            Verb::Forget => ("clear", None),
        };
        Self {
            verb,
            task: format!("{}/{}", command.job, command.task),
            attempt: command.attempt,
            grace_s,
        }
    }
}

#[derive(Serialize)]
struct WireCommands {
    #[serde(rename = "fence")]
    token: u64,
    #[serde(rename = "tenure", skip_serializing_if = "Option::is_none")]
    incarnation: Option<u64>,
    #[serde(rename = "orders")]
    commands: Vec<WireCommand>,
}

/// Returns the JSON body with commands to a worker under the leader's fencing token. The answer to
/// a heartbeat has no `incarnation`. A direct message names the incarnation of the worker for which
/// it is meant.
pub fn commands_body(token: u64, incarnation: Option<u64>, commands: &[Command]) -> Vec<u8> {
    let body = WireCommands {
        token,
        incarnation,
        commands: commands.iter().map(WireCommand::from).collect(),
    };
    serde_json::to_vec(&body).expect("numbers and strings always serialize")
}
