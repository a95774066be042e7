//! What a shard owner and the leader say to each other.

use borsh::{BorshDeserialize, BorshSerialize};

/// What a shard owner tells the leader, a few times a second. It asks for a grant by it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct OwnerStatus {
    /// Drawn by each process: whoever is asked knows by it that a shard owner started anew.
    pub process: u64,
    /// Counts the statements of a process: a later one is newer.
    pub number: u64,
    /// Under which token it has the share that it speaks of, 0 for none.
    pub token: u64,
    /// The last change to its share that it has taken.
    pub version: u64,
    /// Workers that it has given up since the statement that was last acknowledged.
    pub left: Vec<ReleasedWorker>,
}

/// A worker that a shard owner answers no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ReleasedWorker {
    pub worker: u32,
    /// The change that told it to.
    pub version: u64,
    /// How long ago the last report that it answered had come in, if it answered any.
    pub answered: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub enum Change {
    /// Answer this worker from now on.
    Assign(u32),
    /// Answer it no more, and send it to this node, if to any.
    Release(u32, Option<u32>),
}

/// The leader's answer to a statement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, BorshSerialize, BorshDeserialize)]
pub struct ShardLease {
    /// Of the statement that it answers.
    pub process: u64,
    pub number: u64,
    pub token: u64,
    /// A share of an earlier version is given up whole: it was another process's.
    pub base: u64,
    /// How long the shard owner may answer, counted from when it made the statement, in ms.
    pub for_ms: u64,
    /// What it has not taken yet, in order.
    pub changes: Vec<(u64, Change)>,
}
