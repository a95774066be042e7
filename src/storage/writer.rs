//! The leader's writes, which are stored in guarded transactions, one at a time.
//!
//! Each transaction is conditional on the version of the leader key and on the expected version of
//! each key that it writes. A transaction whose outcome is unknown, and which the state service may
//! receive minutes later, therefore fails instead of overwriting newer values.

use std::sync::Arc;
use std::time::Duration;

use copperfield_fencing::timestamp;
use serde_json::Value;
use thiserror::Error;

use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::protocol::state::{Change, Condition, Item, Transaction};
use crate::transport::rate_limiter::Urgency;

use super::records::{
    DrainRecord, LEADER_KEY, drain_key, fencing_key, job_key, parse_terminal, progress_key,
    registry_key, terminal_key, terminal_record,
};
use super::snapshot::FencedWorker;
use super::store::{Store, StoreError, put};

/// Delay before a failed read-back of a key is retried.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One write of the leader. `version` is the expected version of the key, 0 if the key should not
/// exist.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// Finishes a job: creates its terminal state and deletes its description.
    Finish {
        /// The job's ID.
        job: JobId,
        /// The expected version of the job's description.
        version: u64,
        /// The number of completed tasks, which is all tasks of the job.
        done: u32,
    },
    /// Stores one chunk of a job's bitmap of completed tasks.
    Progress {
        /// The job's ID.
        job: JobId,
        /// The index of the chunk within the job.
        chunk: u32,
        /// The value to store.
        value: Value,
        /// The expected version of the chunk's key.
        version: u64,
    },
    /// Deletes a chunk of the bitmap of a job that has ended.
    DeleteProgress {
        /// The job's ID.
        job: JobId,
        /// The index of the chunk within the job.
        chunk: u32,
        /// The expected version of the chunk's key.
        version: u64,
    },
    /// Stores one page of the worker registry.
    WorkerRegistry {
        /// The page's number.
        page: u32,
        /// The value to store.
        value: Value,
        /// The expected version of the page's key.
        version: u64,
    },
    /// Stores one page of the fencing record.
    FencingRecord {
        /// The page's number.
        page: u32,
        /// The fenced workers, with their ages at the time when the write was requested.
        workers: Vec<FencedWorker>,
        /// The expected version of the page's key.
        version: u64,
    },
    /// Stores or deletes the drain of a worker.
    Drain {
        /// The name of the worker, which operators know as a node.
        node: String,
        /// The record to store; `None` deletes it.
        record: Option<DrainRecord>,
        /// The expected version of the drain's key.
        version: u64,
    },
}

impl Write {
    /// Returns the number of changes that the write adds to a transaction.
    pub fn changes(&self) -> usize {
        match self {
            Self::Finish { .. } => 2,
            _ => 1,
        }
    }

    /// Returns whether users or workers wait for the write.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Finish { .. } | Self::FencingRecord { .. })
    }

    /// Returns whether the write only deletes a key.
    fn is_deletion(&self) -> bool {
        matches!(
            self,
            Self::DeleteProgress { .. } | Self::Drain { record: None, .. }
        )
    }

    /// Adds the write to a transaction. `unix_ms` must have been read after the write was
    /// requested.
    fn add_to(&self, transaction: &mut Transaction, unix_ms: u64) {
        if let Self::Finish { job, done, .. } = self {
            let key = terminal_key(*job);
            transaction
                .conditions
                .push(Condition::at_version(key.clone(), 0));
            let record = terminal_record(completed(*done));
            transaction.changes.push(put(key, record));
        }
        let key = self.guarded_key();
        transaction
            .conditions
            .push(Condition::at_version(key.clone(), self.version()));
        transaction.changes.push(match self.value(unix_ms) {
            Some(value) => put(key, value),
            None => Change::Delete { key },
        });
    }

    /// Returns the new value of [`Self::guarded_key`]; `None` deletes the key.
    fn value(&self, unix_ms: u64) -> Option<Value> {
        match self {
            Self::Finish { .. } | Self::DeleteProgress { .. } => None,
            Self::Progress { value, .. } | Self::WorkerRegistry { value, .. } => {
                Some(value.clone())
            }
            Self::FencingRecord { workers, .. } => Some(fencing_page(workers, unix_ms)),
            Self::Drain { record, .. } => {
                record.map(|r| serde_json::to_value(r).expect("a struct of numbers is valid JSON"))
            }
        }
    }

    /// Returns the expected version of [`Self::guarded_key`].
    fn version(&self) -> u64 {
        match self {
            Self::Finish { version, .. }
            | Self::Progress { version, .. }
            | Self::DeleteProgress { version, .. }
            | Self::WorkerRegistry { version, .. }
            | Self::FencingRecord { version, .. }
            | Self::Drain { version, .. } => *version,
        }
    }

    /// The key whose version guards the write.
    fn guarded_key(&self) -> String {
        match self {
            Self::Finish { job, .. } => job_key(*job),
            Self::Progress { job, chunk, .. } | Self::DeleteProgress { job, chunk, .. } => {
                progress_key(*job, *chunk)
            }
            Self::WorkerRegistry { page, .. } => registry_key(*page),
            Self::FencingRecord { page, .. } => fencing_key(*page),
            Self::Drain { node, .. } => drain_key(node),
        }
    }

    /// Returns the key whose value shows whether the write was applied.
    fn read_back_key(&self) -> String {
        match self {
            Self::Finish { job, .. } => terminal_key(*job),
            _ => self.guarded_key(),
        }
    }

    /// Returns the outcome of the write, given the item read from [`Self::read_back_key`] after it.
    fn outcome(&self, found: Option<Item>) -> WriteOutcome {
        match (self, found) {
            (Self::Finish { .. }, Some(item)) => match parse_terminal(&item.value) {
                Ok(outcome) => WriteOutcome::JobAlreadyEnded(outcome),
                Err(error) => {
                    tracing::error!(key = item.key, %error, "terminal state does not parse");
                    WriteOutcome::Retry { version: 0 }
                }
            },
            (Self::Finish { version, .. }, None) => WriteOutcome::Retry { version: *version },
            (write, None) if write.is_deletion() => WriteOutcome::Stored { version: 0 },
            (_, item) => WriteOutcome::Retry {
                version: item.map_or(0, |i| i.version),
            },
        }
    }
}

/// Returns the value of a page of the fencing record: for each worker name, the Unix time of its
/// last answered heartbeat.
fn fencing_page(workers: &[FencedWorker], unix_ms: u64) -> Value {
    let entry = |worker: &FencedWorker| {
        let answered_at = timestamp::from_age(worker.age_ms, unix_ms);
        (worker.name.clone(), answered_at.into())
    };
    Value::Object(workers.iter().map(entry).collect())
}

/// The outcome of one write of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write has been applied.
    Stored {
        /// The new version of the key, 0 after a deletion.
        version: u64,
    },
    /// The write has not been applied, or may not have been. It has to be retried.
    Retry {
        /// The version of the key as read after the attempt.
        version: u64,
    },
    /// The job already has a terminal state, which is this outcome.
    JobAlreadyEnded(JobOutcome),
}

/// Returns the outcome of a job with all of its tasks completed.
pub fn completed(done: u32) -> JobOutcome {
    JobOutcome {
        phase: Phase::Done,
        done,
    }
}

/// A batch was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WriteError {
    /// This controller is no longer the leader.
    #[error("this controller is no longer the leader")]
    NotLeader,
}

/// Commits one batch and returns the outcome of each write.
///
/// If the transaction failed or its outcome is unknown, each key is read back, with retries until
/// the state service answers. The caller's next attempt is conditional on the versions read here,
/// so the transaction with the unknown outcome cannot be applied after it.
///
/// # Errors
/// This controller is no longer the leader.
pub async fn write(
    store: Arc<Store>,
    token: u64,
    batch: Vec<Write>,
    unix_ms: u64,
    still_leads: impl Fn() -> bool,
) -> Result<Vec<(Write, WriteOutcome)>, WriteError> {
    match commit(&store, token, &batch, unix_ms).await {
        Ok(revision) => return Ok(stored_outcomes(batch, revision)),
        Err(StoreError::Conflict(failed)) if failed.iter().any(|key| key == LEADER_KEY) => {
            return Err(WriteError::NotLeader);
        }
        Err(error) => {
            let writes = batch.len();
            tracing::debug!(%error, writes, "transaction not confirmed, reading its keys back");
        }
    }
    let mut results = Vec::with_capacity(batch.len());
    for write in batch {
        let found = read_back(&store, &write.read_back_key(), &still_leads).await?;
        let outcome = write.outcome(found);
        results.push((write, outcome));
    }
    Ok(results)
}

/// Makes one attempt to commit a batch, and returns the revision of the transaction.
async fn commit(
    store: &Store,
    token: u64,
    batch: &[Write],
    unix_ms: u64,
) -> Result<u64, StoreError> {
    let mut transaction = Transaction {
        conditions: vec![Condition::at_version(LEADER_KEY, token)],
        changes: Vec::new(),
    };
    for write in batch {
        write.add_to(&mut transaction, unix_ms);
    }
    let urgency = if batch.iter().any(Write::is_urgent) {
        Urgency::High
    } else {
        Urgency::Normal
    };
    store.commit(&transaction, urgency, false).await
}

fn stored_outcomes(batch: Vec<Write>, revision: u64) -> Vec<(Write, WriteOutcome)> {
    let with_outcome = |write: Write| {
        let version = if write.is_deletion() { 0 } else { revision };
        (write, WriteOutcome::Stored { version })
    };
    batch.into_iter().map(with_outcome).collect()
}

/// Reads a key, with retries until the state service answers.
async fn read_back(
    store: &Store,
    key: &str,
    still_leads: &impl Fn() -> bool,
) -> Result<Option<Item>, WriteError> {
    loop {
        if !still_leads() {
            return Err(WriteError::NotLeader);
        }
        match store.get(key, Urgency::High, false).await {
            Ok(item) => return Ok(item),
            Err(error) => {
                tracing::debug!(%error, key, "cannot read back a key, retrying");
                tokio::time::sleep(READ_BACK_RETRY_DELAY).await;
            }
        }
    }
}
