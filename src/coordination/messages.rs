//! What goes into the core and what comes out of it.

use crate::protocol::JobId;
use crate::protocol::cloud::{ListedWorker, MachineType};
use crate::protocol::job::JobOutcome;
pub use crate::protocol::peer::Outcome;
use crate::protocol::peer::{AdminRequest, ForwardedHeartbeat, ShardStatus, ShardUpdate};
use crate::protocol::worker::{Command, Heartbeat};
use crate::storage::StoredJob;
use crate::storage::writer::{Write, Written};

#[derive(Debug)]
pub enum Input {
    Heartbeat {
        ticket: u64,
        heartbeat: Heartbeat,
    },
    /// The end of a direct message.
    Direct {
        worker: String,
        message_id: u64,
        outcome: Outcome,
    },
    /// What a shard owner of some of the workers tells.
    ShardStatus {
        ticket: u64,
        word: ShardStatus,
    },
    /// What this node had heard before it was elected.
    BufferedHeartbeats(Vec<ForwardedHeartbeat>),
    /// Messages that another node was to carry and did not take; `surely`: it carries none.
    RelayFailed {
        controller: u32,
        message_ids: Vec<u64>,
        surely: bool,
    },
    Job(StoredJob),
    CancelBegin {
        ticket: u64,
        job: JobId,
    },
    CancelSettled {
        job: JobId,
        end: Option<JobOutcome>,
    },
    Admin {
        ticket: u64,
        order: AdminRequest,
        /// The time of day, for what is stored.
        unix_ms: u64,
    },
    Written(Vec<(Write, Written)>),
    Types(Vec<MachineType>),
    ListedWorker(Vec<ListedWorker>),
    ScaledOut {
        request: String,
        outcome: ScaleOutOutcome,
    },
    ScaledIn {
        workers: Vec<String>,
        ok: bool,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub enum ScaleOutOutcome {
    Workers(Vec<String>),
    NoCapacity,
    /// Not carried out; worth trying later.
    Refused,
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelBegin {
    Terminal(JobOutcome),
    /// Its end is just being stored.
    Busy,
    /// Nothing of it is started any more; store the cancellation, and how many of its
    /// tasks were done.
    Go {
        done: u32,
    },
}

#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a report: 200 with commands.
    Answer {
        ticket: u64,
        body: Vec<u8>,
    },
    /// Answer a report without renewing anything.
    Refuse {
        ticket: u64,
        why: HeartbeatRefusal,
    },
    /// Answer a report without renewing anything: this node is to be reported to.
    SendTo {
        ticket: u64,
        controller: u32,
    },
    /// Answer a shard owner; `None`: it was overtaken by another word of the same.
    Granted {
        ticket: u64,
        down: Option<ShardUpdate>,
    },
    Direct {
        worker: String,
        address: String,
        incarnation: u64,
        message_id: u64,
        commands: Vec<Command>,
        /// Through this node.
        via: Option<u32>,
    },
    Inspect {
        worker: String,
        address: String,
        /// As far as is known, or as it most likely is.
        incarnation: u64,
        message_id: u64,
        via: Option<u32>,
    },
    Write(Vec<Write>),
    ScaleOut {
        request: String,
        machine_type: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    ScaleIn(Vec<String>),
    List,
    ReadTypes,
    Cancel {
        ticket: u64,
        begin: CancelBegin,
    },
    /// Answer an operator.
    AdminAnswered {
        ticket: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// A worker has seen a higher token than ours.
    Deposed,
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
