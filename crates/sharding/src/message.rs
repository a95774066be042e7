//! The messages between a shard owner and the leader. They may be lost, delayed or duplicated.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::{ControllerIndex, Millis, WorkerNumber};

/// The status that a shard owner sends to the leader a few times a second. It requests a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct OwnerStatus {
    /// A random number that identifies the sending process, so that the leader notices a restart.
    pub process: u64,
    /// The number of this status, which increases with each status of a process.
    pub number: u64,
    /// The fencing token of the leader that assigned the shard, 0 for none.
    pub token: u64,
    /// The version of the last change to the shard that the shard owner applied.
    pub applied_version: u64,
    /// The workers that were released and whose release the leader has not acknowledged.
    pub released: Vec<ReleasedWorker>,
}

/// Set in the process number of a shard owner that answers workers under fencing tokens above the
/// leader's own. Earlier versions of this program draw lower numbers.
pub const COMMAND_TOKENS_FLAG: u64 = 1 << 63;

impl OwnerStatus {
    /// Whether the sender answers workers whose fencing token the leader has raised.
    pub fn supports_command_tokens(&self) -> bool {
        self.process & COMMAND_TOKENS_FLAG != 0
    }
}

/// A worker that a shard owner has released and no longer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ReleasedWorker {
    /// The worker that was released.
    pub worker: WorkerNumber,
    /// The version of the change that released it.
    pub version: u64,
    /// How long ago the last heartbeat that was answered was received, if any was answered.
    pub last_answer_age_ms: Option<Millis>,
}

/// A change to the shard of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum ShardChange {
    /// The shard owner may answer this worker from now on.
    Assign(WorkerNumber),
    /// The shard owner stops answering this worker, and redirects it to this controller, if any.
    Release(WorkerNumber, Option<ControllerIndex>),
}

/// The leader's answer to an [`OwnerStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ShardLease {
    /// The process that sent the status.
    pub process: u64,
    /// The number of the status that this lease answers.
    pub status_number: u64,
    /// The leader's fencing token.
    pub token: u64,
    /// A shard owner whose shard has an earlier version drops the whole shard, because those
    /// assignments were made to another process.
    pub base_version: u64,
    /// How long the shard owner may answer workers, counted from when it sent the status.
    pub duration_ms: Millis,
    /// The changes that the shard owner has not acknowledged, with their versions, in order.
    pub changes: Vec<(u64, ShardChange)>,
}

impl ShardLease {
    /// The workers that the changes in this lease assign.
    pub fn assigned_workers(&self) -> impl Iterator<Item = WorkerNumber> {
        self.changes.iter().filter_map(|(_, change)| match change {
            ShardChange::Assign(worker) => Some(*worker),
            ShardChange::Release(..) => None,
        })
    }
}
