//! What goes into the core and what comes out of it.
//!
//! A `ticket` stands for somebody who waits for an answer: the caller keeps the open request, and
//! the core names the ticket in the effect that answers it. A `message_id` stands for a direct
//! message to a worker, whose outcome the caller reports.

use crate::protocol::JobId;
use crate::protocol::cloud::{ListedWorker, MachineType};
use crate::protocol::job::JobOutcome;
pub use crate::protocol::peer::Outcome;
use crate::protocol::peer::{AdminRequest, ForwardedHeartbeat, ShardStatus, ShardUpdate};
use crate::protocol::worker::{Command, Heartbeat};
use crate::storage::StoredJob;
use crate::storage::writer::{Write, Written};

/// Something that has happened outside the core.
#[derive(Debug)]
pub enum Input {
    /// A worker has sent a heartbeat to this controller.
    Heartbeat { ticket: u64, heartbeat: Heartbeat },
    /// A direct message to a worker has ended.
    DirectMessageEnded {
        worker: String,
        message_id: u64,
        outcome: Outcome,
    },
    /// A shard owner reports what its workers have sent and how its messages ended.
    ShardStatus { ticket: u64, status: ShardStatus },
    /// Heartbeats that came to this controller before it was elected.
    BufferedHeartbeats(Vec<ForwardedHeartbeat>),
    /// Another controller was to deliver these messages and has not accepted them.
    RelayFailed {
        controller: u32,
        message_ids: Vec<u64>,
        /// Of each: unsent, or not known.
        outcome: Outcome,
    },
    /// The watch has shown a stored job.
    Job(StoredJob),
    /// A user asks to cancel a job.
    CancelRequested { ticket: u64, job: JobId },
    /// The cancellation of a job is settled; `end` is what is stored of it, if anything.
    CancelSettled { job: JobId, end: Option<JobOutcome> },
    /// An operator's request.
    Admin {
        ticket: u64,
        request: AdminRequest,
        /// The time of day, for what is stored.
        unix_ms: u64,
    },
    /// The results of an [`Effect::Write`].
    Written(Vec<(Write, Written)>),
    /// The cloud has described its instance types.
    MachineTypes(Vec<MachineType>),
    /// The cloud has listed its workers.
    WorkerList(Vec<ListedWorker>),
    /// A request to scale out has ended.
    ScaledOut {
        request: String,
        outcome: ScaleOutOutcome,
    },
    /// A request to scale in has ended; `ok`: the cloud has taken all of these back.
    ScaledIn { workers: Vec<String>, ok: bool },
}

/// How a request to scale out ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ScaleOutOutcome {
    /// The names of the new workers, perhaps fewer than were asked for.
    Workers(Vec<String>),
    /// The cloud has no such worker now.
    NoCapacity,
    /// Not carried out; worth trying later.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// What a cancellation comes to when it is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelDecision {
    /// The job has ended already.
    Terminal(JobOutcome),
    /// The job's end is just being stored.
    Busy,
    /// Nothing of the job is started any more; the caller stores the cancellation.
    Go {
        /// How many of its tasks were done.
        done: u32,
    },
}

/// Something that is to be done outside the core.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a heartbeat: 200 with commands.
    AnswerHeartbeat { ticket: u64, body: Vec<u8> },
    /// Answer a heartbeat without renewing a lease.
    RefuseHeartbeat { ticket: u64, why: HeartbeatRefusal },
    /// Redirect a worker to this controller, without renewing its lease.
    RedirectWorker { ticket: u64, controller: u32 },
    /// Answer a shard owner; `None`: a newer status of the same owner has come before.
    AnswerShardStatus {
        ticket: u64,
        update: Option<ShardUpdate>,
    },
    /// Send commands to a worker.
    SendCommands {
        worker: String,
        address: String,
        incarnation: u64,
        message_id: u64,
        commands: Vec<Command>,
        /// The controller that is to deliver it, if it is another one.
        via: Option<u32>,
    },
    /// Ask a worker for its heartbeat.
    RequestHeartbeat {
        worker: String,
        address: String,
        /// As far as is known, or as it most likely is.
        incarnation: u64,
        message_id: u64,
        /// The controller that is to deliver it, if it is another one.
        via: Option<u32>,
    },
    /// Store these in one transaction, and report with [`Input::Written`].
    Write(Vec<Write>),
    /// Ask the cloud for workers.
    ScaleOut {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    /// Ask the cloud to take these workers back.
    ScaleIn(Vec<String>),
    /// Ask the cloud for the list of its workers.
    ListWorkers,
    /// Ask the cloud to describe its instance types.
    ReadMachineTypes,
    /// Answer a user who asked to cancel a job, or store that first.
    AnswerCancel { ticket: u64, begin: CancelDecision },
    /// Answer an operator.
    AnswerAdmin {
        ticket: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A worker has seen a higher fencing token than ours: this leader steps down.
    StepDown,
}

/// Why a heartbeat is not answered with commands and renews no lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatRefusal {
    /// Its worker has seen a higher fencing token.
    #[error("a newer leader is known")]
    NewerLeader,
    /// Its worker was scaled in; the message is a late one.
    #[error("the machine was returned")]
    ScaledIn,
    /// The lease of its incarnation has expired; the message is a late one.
    #[error("the session is over")]
    IncarnationExpired,
    /// It or a newer one has come before, here or at another controller.
    #[error("this report or a newer one has come before")]
    Duplicate,
    /// A newer one has come while this one waited for its answer.
    #[error("a newer report has come")]
    Overtaken,
}

/// Where a heartbeat came from: only one that the worker sent by itself proves what became of the
/// commands in the response before it, only a direct answer what became of its message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum HeartbeatSource {
    /// The worker sent it by itself.
    Worker,
    /// It is the answer to this direct message.
    Direct { message_id: u64, executed: bool },
}
