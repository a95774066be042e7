//! The commands that a controller's event loop accepts, and the handle that sends them.
//!
//! This module depends on neither the event loop nor its callers, so that they do not have to
//! depend on each other.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use crate::coordination::core::{CancelDecision, Input};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{AdminRequest, CommandOutcome, Lookup, ShardStatus, ShardUpdate};
use crate::protocol::worker::Heartbeat;
use crate::storage::Snapshot;
use crate::transport::server::ApiResponse;

/// The leader's HTTP response to an operator's request.
#[derive(Debug)]
pub struct AdminResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

/// What this controller knows about a list of jobs.
#[derive(Debug, Default)]
pub struct JobLookups {
    /// One result for each job, in the order of the request.
    pub lookups: Vec<Lookup>,
    /// The member name of the leader, if this controller knows one.
    pub leader: Option<String>,
}

/// The leader's answer to a request to begin cancelling a job.
#[derive(Debug)]
pub struct BegunCancellation {
    /// The core's decision.
    pub decision: CancelDecision,
    /// The fencing token of the term in which the cancellation must be stored.
    pub token: u64,
}

/// The leader's answer to the status of a shard owner.
#[derive(Debug)]
pub struct ShardAnswer {
    /// The lease and the changes to the shard.
    pub update: ShardUpdate,
    /// The highest fencing token that workers may have, if both controllers know of tokens above
    /// the leader's own.
    pub newest_token: Option<u64>,
}

/// A message to the event loop.
#[derive(Debug)]
pub enum Command {
    /// A worker's heartbeat. The reply is the HTTP response to it.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Receives the reply.
        reply: oneshot::Sender<ApiResponse>,
    },
    /// A shard owner's status, sent to the leader. The reply is `None` if this controller does not
    /// lead, or if a newer status from the same owner has already been processed.
    ShardStatus {
        /// The owner's status.
        status: ShardStatus,
        /// Receives the reply.
        reply: oneshot::Sender<Option<ShardAnswer>>,
    },
    /// The leader's answer to this shard owner's status, or the lack of one.
    ShardUpdate {
        /// The sequence number of the status.
        number: u64,
        /// The leader's answer; `None` if none was received.
        update: Option<ShardAnswer>,
    },
    /// The outcome of a message that this controller relayed to a worker for the leader.
    RelayCompleted {
        /// The leader's fencing token.
        token: u64,
        /// The ID that the leader gave the message.
        message_id: u64,
        /// The outcome of the message.
        outcome: CommandOutcome,
    },
    /// Look up what this controller knows about these jobs.
    LookUpJobs {
        /// The jobs to look up.
        jobs: Vec<JobId>,
        /// Receives the reply.
        reply: oneshot::Sender<JobLookups>,
    },
    /// Stop starting tasks of a job, so that its cancellation can be stored. The reply is `None` if
    /// this controller does not lead.
    BeginCancellation {
        /// The job to cancel.
        job: JobId,
        /// Receives the reply.
        reply: oneshot::Sender<Option<BegunCancellation>>,
    },
    /// A cancellation that was begun has ended.
    FinishCancellation {
        /// The job.
        job: JobId,
        /// Its stored outcome; `None` if no outcome is stored.
        outcome: Option<JobOutcome>,
    },
    /// The outcome of a job has been stored. It is cached to answer polls of the job.
    JobFinished {
        /// The job.
        job: JobId,
        /// Its stored outcome.
        outcome: JobOutcome,
    },
    /// An operator's request. The reply is `None` if this controller does not lead.
    Admin {
        /// The request.
        request: AdminRequest,
        /// Receives the reply.
        reply: oneshot::Sender<Option<AdminResponse>>,
    },
    /// Get the cloud's machine types. The reply is `None` until they have been read.
    GetMachineTypes {
        /// Receives the reply.
        reply: oneshot::Sender<Option<Arc<Vec<MachineType>>>>,
    },
    /// The machine types have been read from the cloud.
    SetMachineTypes(Vec<MachineType>),
    /// The member that the leader key names, or `None` if the key is missing.
    LeaderSeen(Option<String>),
    /// This controller has won the election.
    Elected {
        /// The fencing token of the new term.
        token: u64,
    },
    /// The stored state has been read at the start of a term.
    Recovered {
        /// The fencing token of the term.
        token: u64,
        /// The stored state.
        snapshot: Snapshot,
    },
    /// This controller no longer leads.
    LeadershipLost,
    /// An input to the core: the result of an effect that it requested, or a newly stored job.
    Input {
        /// The fencing token of the term. The input is dropped if the term has ended.
        token: u64,
        /// The input to process.
        input: Input,
    },
}

/// Sends commands to the event loop.
#[derive(Clone)]
pub struct ControllerHandle {
    queue: mpsc::Sender<Command>,
}

impl ControllerHandle {
    /// Creates a handle that sends to this queue.
    pub fn new(queue: mpsc::Sender<Command>) -> Self {
        Self { queue }
    }

    /// Sends a command, after waiting for space in the queue if it is full.
    pub async fn send(&self, command: Command) {
        // Fails only after the event loop has ended, and then the process ends too.
        let _ = self.queue.send(command).await;
    }

    /// Sends a command and waits for its reply. Returns `None` if the event loop drops the request.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
