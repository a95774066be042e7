//! What the owner of a process's state is asked, and the handle through which.
//!
//! Below the owner and below everything that asks it, so that neither needs the other.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use crate::coordination::core::{CancelBegin, Input};
use crate::protocol::JobId;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::JobOutcome;
use crate::protocol::peer::{AdminRequest, Lookup, Outcome, ShardStatus, ShardUpdate};
use crate::protocol::worker::Heartbeat;
use crate::storage::Snapshot;
use crate::transport::server::Outgoing;

/// Status and JSON.
pub type AdminResponse = (u16, Vec<u8>);

#[derive(Debug)]
pub enum Command {
    Heartbeat {
        heartbeat: Heartbeat,
        reply: oneshot::Sender<Outgoing>,
    },
    /// What a shard owner of some of the workers tells, asked of the leader.
    ShardStatus {
        word: ShardStatus,
        reply: oneshot::Sender<Option<ShardUpdate>>,
    },
    /// The leader's answer to what this node told it, if one came.
    ShardUpdate {
        number: u64,
        down: Option<ShardUpdate>,
    },
    /// How a message ended that this node carried for the leader of this token.
    RelayedCommand {
        token: u64,
        message_id: u64,
        outcome: Outcome,
    },
    /// What is known of each of these jobs, and who is thought to lead.
    Ask {
        jobs: Vec<JobId>,
        reply: oneshot::Sender<(Vec<Lookup>, Option<String>)>,
    },
    BeginCancel {
        job: JobId,
        reply: oneshot::Sender<Option<(CancelBegin, u64)>>,
    },
    SettleCancel {
        job: JobId,
        end: Option<JobOutcome>,
    },
    /// A final phase, stored, to be remembered.
    Ended {
        job: JobId,
        end: JobOutcome,
    },
    /// What an operator asks; `None` comes back from a node that does not lead.
    Admin {
        order: AdminRequest,
        reply: oneshot::Sender<Option<AdminResponse>>,
    },
    AskTypes {
        reply: oneshot::Sender<Option<Arc<Vec<MachineType>>>>,
    },
    Types(Vec<MachineType>),
    LeaderSeen(Option<String>),
    Elected {
        token: u64,
    },
    Recovered {
        token: u64,
        snapshot: Snapshot,
    },
    Lost {
        token: u64,
    },
    /// Something the core asked for has come back.
    Input {
        token: u64,
        input: Input,
    },
}

#[derive(Clone)]
pub struct Handle {
    queue: mpsc::Sender<Command>,
}

impl Handle {
    pub fn new(queue: mpsc::Sender<Command>) -> Self {
        Self { queue }
    }

    pub async fn send(&self, command: Command) {
        // Fails only when the owner has ended, and then the process ends.
        let _ = self.queue.send(command).await;
    }

    pub async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.queue.send(command(reply)).await.ok()?;
        answer.await.ok()
    }
}
