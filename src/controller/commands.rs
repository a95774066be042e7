//! The commands that a controller's event loop accepts, and the handle that sends them.
//!
//! This module depends on neither the event loop nor its callers, so that they need not
//! depend on each other.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use crate::coordination::core::{CancelDecision, Input};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{AdminRequest, Lookup, Outcome, ShardStatus, ShardUpdate};
use crate::protocol::worker::Heartbeat;
use crate::storage::Snapshot;
use crate::transport::server::ApiResponse;

/// The leader's answer to an operator, as HTTP has it.
#[derive(Debug)]
pub struct AdminResponse {
    /// The HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
}

/// What this controller knows of some jobs.
#[derive(Debug, Default)]
pub struct JobLookups {
    /// One for each job, in the order of the request.
    pub lookups: Vec<Lookup>,
    /// The member name of the leader, as far as this controller knows.
    pub leader: Option<String>,
}

/// The leader's first step in cancelling a job.
#[derive(Debug)]
pub struct BegunCancellation {
    /// What the core answered.
    pub decision: CancelDecision,
    /// The fencing token under which the cancellation is to be stored.
    pub token: u64,
}

/// A message to the event loop.
#[derive(Debug)]
pub enum Command {
    /// A worker's heartbeat; the reply is the HTTP response to it.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// Receives the reply.
        reply: oneshot::Sender<ApiResponse>,
    },
    /// The status of a shard owner, sent to the leader. The reply is `None` if this controller
    /// does not lead, or if a newer status of the same owner has been processed.
    ShardStatus {
        /// The owner's status.
        status: ShardStatus,
        /// Receives the reply.
        reply: oneshot::Sender<Option<ShardUpdate>>,
    },
    /// The leader's answer to the status of this number, if one came.
    ShardUpdate {
        /// The number of the status.
        number: u64,
        /// The leader's answer.
        update: Option<ShardUpdate>,
    },
    /// The outcome of a command that this controller relayed for the leader of this token.
    RelayCompleted {
        /// The leader's fencing token.
        token: u64,
        /// The leader's number of the message.
        message_id: u64,
        /// What came of the message.
        outcome: Outcome,
    },
    /// Look up what is known of these jobs.
    LookUpJobs {
        /// The jobs to look up.
        jobs: Vec<JobId>,
        /// Receives the reply.
        reply: oneshot::Sender<JobLookups>,
    },
    /// Stop starting tasks of a job, so that its cancellation can be stored. The reply is `None`
    /// if this controller does not lead.
    BeginCancellation {
        /// The job to cancel.
        job: JobId,
        /// Receives the reply.
        reply: oneshot::Sender<Option<BegunCancellation>>,
    },
    /// The end of a begun cancellation: the stored outcome of the job, or `None` if it has none.
    FinishCancellation {
        /// The job.
        job: JobId,
        /// Its stored outcome.
        outcome: Option<JobOutcome>,
    },
    /// The outcome of a job has been stored; it is cached to answer polls.
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
    /// The machine types of the cloud, if they are known already.
    GetMachineTypes {
        /// Receives the reply.
        reply: oneshot::Sender<Option<Arc<Vec<MachineType>>>>,
    },
    /// The machine types have been read from the cloud.
    SetMachineTypes(Vec<MachineType>),
    /// The leader key names this member, or is missing.
    LeaderSeen(Option<String>),
    /// This controller has won the election under this token.
    Elected {
        /// The fencing token of the new term.
        token: u64,
    },
    /// The stored state has been read for the term of this token.
    Recovered {
        /// The fencing token of the term.
        token: u64,
        /// The stored state.
        snapshot: Snapshot,
    },
    /// This controller leads no longer.
    LeadershipLost,
    /// The result of an effect that the core of this token asked for, or a newly stored job.
    Input {
        /// The fencing token of the core that asked.
        token: u64,
        /// What the core is to process.
        input: Input,
    },
}

/// Sends commands to the event loop.
#[derive(Clone)]
pub struct ControllerHandle {
    queue: mpsc::Sender<Command>,
}

impl ControllerHandle {
    /// A handle that sends to this queue.
    pub fn new(queue: mpsc::Sender<Command>) -> Self {
        Self { queue }
    }

    /// Waits for a place in the queue.
    pub async fn send(&self, command: Command) {
        // Fails only when the event loop has ended, and then the process ends.
        let _ = self.queue.send(command).await;
    }

    /// Sends a command and waits for its reply; `None` if the event loop drops the request.
    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
