//! The messages between a shard owner and the leader. Either may be lost, delayed or duplicated.

use borsh::{BorshDeserialize, BorshSerialize};

use crate::{ControllerIndex, Millis, WorkerNumber};

/// What a shard owner reports to the leader a few times a second. It requests a lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct OwnerStatus {
    /// Drawn at random by each process, so that the leader notices a restart.
    pub process: u64,
    /// Counts the statuses of a process: a later status has a higher number.
    pub number: u64,
    /// The fencing token of the leader that assigned the shard, 0 for none.
    pub token: u64,
    /// The last change to the shard that was applied.
    pub applied_version: u64,
    /// Workers released since the last status that the leader acknowledged.
    pub released: Vec<ReleasedWorker>,
}

/// A worker that a shard owner does not answer any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ReleasedWorker {
    /// The worker that was released.
    pub worker: WorkerNumber,
    /// The change that released it.
    pub version: u64,
    /// How long ago the last heartbeat that was answered had come in, if any was answered.
    pub last_answer_age_ms: Option<Millis>,
}

/// A change to the shard of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum ShardChange {
    /// Answer this worker from now on.
    Assign(WorkerNumber),
    /// Stop answering this worker, and redirect it to this controller, if to any.
    Release(WorkerNumber, Option<ControllerIndex>),
}

/// The leader's answer to an [`OwnerStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ShardLease {
    /// The process whose status is answered.
    pub process: u64,
    /// The number of the status that is answered.
    pub status_number: u64,
    /// The leader's fencing token.
    pub token: u64,
    /// A shard of an earlier version is dropped whole: it belonged to another process.
    pub base_version: u64,
    /// How long the shard owner may answer, in ms, counted from when it sent the status.
    pub duration_ms: Millis,
    /// The changes that the shard owner has not acknowledged, by version, in order.
    pub changes: Vec<(u64, ShardChange)>,
}

impl ShardLease {
    /// The workers that the changes of this lease assign.
    pub fn assigned_workers(&self) -> impl Iterator<Item = WorkerNumber> {
        self.changes.iter().filter_map(|(_, change)| match change {
            ShardChange::Assign(worker) => Some(*worker),
            ShardChange::Release(..) => None,
        })
    }
}
