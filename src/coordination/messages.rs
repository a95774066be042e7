//! Inputs and effects of the core.
//!
//! A `ticket` identifies an open request that waits for an answer: the caller keeps the request,
//! and the core names the ticket in the effect that answers it. A `message_id` identifies a direct
//! message to a worker; the caller reports its outcome.

use crate::protocol::JobId;
use crate::protocol::cloud::{ListedWorker, MachineType};
use crate::protocol::job::JobOutcome;
pub use crate::protocol::peer::CommandOutcome;
use crate::protocol::peer::{AdminRequest, ForwardedHeartbeat, ShardStatus, ShardUpdate};
use crate::protocol::worker::{Command, Heartbeat};
use crate::storage::StoredJob;
use crate::storage::writer::{Write, WriteOutcome};

/// An event outside the core.
#[derive(Debug)]
pub enum Input {
    /// A worker sent a heartbeat to this controller.
    Heartbeat { ticket: u64, heartbeat: Heartbeat },
    /// A direct message to a worker was answered or failed.
    DirectMessageEnded {
        worker: String,
        message_id: u64,
        outcome: CommandOutcome,
    },
    /// A shard owner reports the heartbeats of its workers and the outcomes of relayed messages.
    ShardStatus { ticket: u64, status: ShardStatus },
    /// Heartbeats that this controller received before it was elected.
    BufferedHeartbeats(Vec<ForwardedHeartbeat>),
    /// Another controller did not accept these messages for relay.
    RelayFailed {
        controller: u32,
        message_ids: Vec<u64>,
        /// The outcome of each message: unsent or unknown.
        outcome: CommandOutcome,
    },
    /// The watch on the stored jobs reported a job.
    Job(StoredJob),
    /// A user asks to cancel a job.
    CancelRequested { ticket: u64, job: JobId },
    /// The result of a cancellation is known; `outcome` is the stored outcome of the job, if any.
    CancelSettled {
        job: JobId,
        outcome: Option<JobOutcome>,
    },
    /// An operator sent a request.
    Admin {
        ticket: u64,
        request: AdminRequest,
        /// Wall-clock time, for stored records.
        unix_ms: u64,
    },
    /// The results of an [`Effect::Write`].
    Written(Vec<(Write, WriteOutcome)>),
    /// The cloud described its machine types.
    MachineTypes(Vec<MachineType>),
    /// The cloud listed its workers.
    WorkerList(WorkerList),
    /// A scale-out request ended.
    ScaledOut {
        request: String,
        outcome: ScaleOutOutcome,
    },
    /// A scale-in request ended; `ok` if all of these workers were scaled in.
    ScaledIn { workers: Vec<String>, ok: bool },
}

/// The cloud's list of workers.
#[derive(Debug)]
pub struct WorkerList {
    /// When the first page of the list was requested, on the core's clock.
    pub requested_at: f64,
    /// The workers in the list.
    pub workers: Vec<ListedWorker>,
}

/// Result of a scale-out request.
#[derive(Debug, Clone, PartialEq)]
pub enum ScaleOutOutcome {
    /// Names of the new workers; may be fewer than requested.
    Workers(Vec<String>),
    /// The cloud has no capacity for this machine type now.
    NoCapacity,
    /// The request was not carried out and may be retried later.
    Refused,
    /// The request may have been carried out.
    Unknown,
}

/// The core's decision on a request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelDecision {
    /// The job has already ended.
    Terminal(JobOutcome),
    /// The job's outcome is being stored.
    Busy,
    /// No task of the job is started any more; the caller stores the cancellation.
    Go {
        /// Number of its tasks that were done.
        done: u32,
    },
}

/// An action to carry out outside the core.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a heartbeat with status 200 and commands.
    AnswerHeartbeat { ticket: u64, body: Vec<u8> },
    /// Refuse a heartbeat, without renewing the worker's lease.
    RefuseHeartbeat {
        ticket: u64,
        reason: HeartbeatRefusal,
    },
    /// Redirect a worker to `controller`, without renewing its lease.
    RedirectWorker { ticket: u64, controller: u32 },
    /// Answer a shard owner's status. `update` is `None` if the sender is not a peer or a newer
    /// status of it was handled before.
    AnswerShardStatus {
        ticket: u64,
        update: Option<ShardUpdate>,
        /// The highest fencing token that a worker may report, if the shard owner knows of tokens
        /// above the leader's own.
        newest_token: Option<u64>,
    },
    /// Send commands to a worker.
    SendCommands {
        worker: String,
        address: String,
        /// The fencing token of the message.
        token: u64,
        incarnation: u64,
        message_id: u64,
        commands: Vec<Command>,
        /// The controller that relays the message, if not this one.
        via: Option<u32>,
    },
    /// Request a heartbeat from a worker.
    RequestHeartbeat {
        worker: String,
        address: String,
        /// The fencing token of the message.
        token: u64,
        /// The worker's last known or most likely incarnation.
        incarnation: u64,
        message_id: u64,
        /// The controller that relays the message, if not this one.
        via: Option<u32>,
    },
    /// Store these in one transaction and report the results with [`Input::Written`].
    Write(Vec<Write>),
    /// Request workers from the cloud.
    ScaleOut {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    /// Return these workers to the cloud.
    ScaleIn(Vec<String>),
    /// Request the list of workers from the cloud.
    ListWorkers,
    /// Request the machine types from the cloud.
    ReadMachineTypes,
    /// Report the decision on a cancellation to the request handler, which stores the cancellation
    /// if the decision is [`CancelDecision::Go`], and then answers the user.
    AnswerCancel {
        ticket: u64,
        decision: CancelDecision,
    },
    /// Answer an operator.
    AnswerAdmin {
        ticket: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// Step down.
    StepDown(StepDownReason),
}

/// Why a leader steps down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StepDownReason {
    /// A worker has seen the fencing token of a later leader.
    #[error("worker reports a newer fencing token")]
    NewerToken,
    /// A controller of an earlier version cannot answer workers under their raised tokens.
    #[error("controller of an earlier version has joined")]
    OldPeer,
}

/// Why a heartbeat is refused: it gets no commands and renews no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatRefusal {
    /// The worker has seen a higher fencing token.
    #[error("a newer leader is known")]
    NewerLeader,
    /// The worker was scaled in; the heartbeat arrived late.
    #[error("the machine was returned")]
    ScaledIn,
    /// The lease of the worker's incarnation has expired; the heartbeat arrived late.
    #[error("the session is over")]
    IncarnationExpired,
    /// This controller or another one has received this heartbeat or a newer one before.
    #[error("this report or a newer one has come before")]
    Duplicate,
    /// A newer heartbeat arrived while this one waited for its answer.
    #[error("a newer report has come")]
    Overtaken,
}

/// How a heartbeat reached the leader.
///
/// Only a heartbeat that the worker sent on its own shows the result of the commands in the
/// previous response. Only the answer to a direct message shows the result of that message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HeartbeatSource {
    /// The worker sent it on its own.
    Worker,
    /// It answers this direct message.
    Direct { message_id: u64, executed: bool },
}
