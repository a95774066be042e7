//! Heartbeats of workers and the commands sent to them.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

use crate::{JobId, parse_task};

/// Most commands in one message: well under the 64 KiB that a line may have.
pub const MAX_COMMANDS: usize = 400;

/// Longest name of a worker in bytes.
const MAX_WORKER_NAME_BYTES: usize = 100;
/// Longest notice of a spot worker's end, in seconds.
const MAX_NOTICE_S: f64 = 1e9;

/// Why a heartbeat is refused. The texts name fields as the wire spells them.
#[derive(Debug, thiserror::Error)]
pub enum InvalidHeartbeat {
    /// Not the JSON of a heartbeat.
    #[error("malformed report: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The identifier of a task is not that of a job and a number.
    #[error("shard: bad id {0:?}")]
    TaskId(String),
    /// The phase of a task is none of those known.
    #[error("phase: unknown value {0:?}")]
    TaskPhase(String),
    /// A task has exited, and the heartbeat does not say why.
    #[error("exit_reason: missing")]
    ExitReason,
    /// The worker's name is empty or too long.
    #[error("host: must have 1 to {MAX_WORKER_NAME_BYTES} bytes")]
    WorkerName,
    /// The notice of a spot worker's end is negative or too long.
    #[error("reclaim_s: out of range")]
    Notice,
}

/// The worker's state, as it reports it every few seconds and after each direct command.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// The worker's name.
    pub worker: String,
    /// Where the worker takes direct commands: IP address and port.
    pub address: String,
    /// The worker's machine type.
    pub machine_type: String,
    /// The zone it is in.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Counts the worker's leases from 1: it rises when a lease expires, and all tasks are gone then.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    pub counter: u64,
    /// The highest fencing token the worker has seen, 0 for none.
    pub token: u64,
    /// The cloud reclaims the worker in so many seconds; `None`: no notice was given.
    pub notice_s: Option<f64>,
    /// Every task instance the worker knows of.
    pub tasks: Vec<TaskStatus>,
}

/// The state of one task instance on a worker.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct TaskStatus {
    /// The job of the task.
    pub job: JobId,
    /// The number of the task in its job.
    pub task: u32,
    /// Distinguishes this instance of the task from any other.
    pub attempt: u64,
    /// How far it has come.
    pub phase: TaskPhase,
}

/// How far a task instance has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum TaskPhase {
    /// The worker fetches its image.
    Fetching,
    /// Ready; it waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It received a stop command and saves a checkpoint.
    Saving,
    /// It runs no more.
    Exited(Exit),
}

/// Why a task instance runs no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Exit {
    /// It completed its work.
    Done,
    /// It was stopped.
    Stopped {
        /// Whether its last checkpoint holds what it had done.
        saved: bool,
    },
    /// Other tasks of its gang were lost while it ran.
    PeersGone,
    /// The other tasks of its gang did not become ready in time.
    GangTimeout,
    /// It ended without a result, for any reason not listed here.
    Error,
    /// The worker has too few resources left.
    NoRoom,
    /// The worker cannot take it now.
    Busy,
    /// The worker does not know this instance.
    Unknown,
}

impl Heartbeat {
    /// Reads a heartbeat, all or nothing: one with an unreadable task changes nothing.
    ///
    /// # Errors
    /// What is wrong first, the tasks before the worker's own fields.
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

// Workers are answered with this text when a body is no object: it stays as it was published.
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
            // A reason that this version does not know: it ended without a result.
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

/// What a worker is to do with a task instance.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Verb {
    /// Fetch its image and run it.
    Start,
    /// Save a checkpoint, if the job makes any and there is time, and end.
    Stop {
        /// How long that may take, in seconds; 0: it is killed at once.
        grace_s: f64,
    },
    /// Report it no longer: its end is known.
    Forget,
}

/// A command to a worker about one task instance.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Command {
    /// What to do.
    pub verb: Verb,
    /// The job of the task.
    pub job: JobId,
    /// The number of the task in its job.
    pub task: u32,
    /// Distinguishes this instance of the task from any other.
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

/// The JSON body with commands to a worker, under the leader's fencing token: the answer to a
/// heartbeat, without `incarnation`, or a direct message to that incarnation of the worker.
pub fn commands_body(token: u64, incarnation: Option<u64>, commands: &[Command]) -> Vec<u8> {
    let body = WireCommands {
        token,
        incarnation,
        commands: commands.iter().map(WireCommand::from).collect(),
    };
    serde_json::to_vec(&body).expect("numbers and strings always serialize")
}
