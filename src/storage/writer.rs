//! The leader's writes: what to write, and one guarded transaction at a time.
//!
//! Each write is guarded by the leader key's version and by the version that its own key is
//! believed to have. A transaction whose outcome stayed unknown and that is applied minutes later
//! therefore fails instead of undoing newer writes.

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
    DrainRecord, LEADER, drain_key, fencing_key, job_key, parse_terminal, progress_key,
    registry_key, terminal_key, terminal_record,
};
use super::snapshot::FencedWorker;
use super::store::{Store, StoreError, put};

/// Pause before a key is read back again after a failure.
const READ_BACK_RETRY: Duration = Duration::from_millis(200);

/// One write of the leader. `version` is what the key is believed to have, 0 if there is none.
#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// The end of a job: its terminal state appears, its description goes.
    Finish {
        /// The job.
        job: JobId,
        /// Version of the job's description.
        version: u64,
        /// All its tasks.
        done: u32,
    },
    /// One chunk of a job's bitmap of done tasks.
    Progress {
        /// The job.
        job: JobId,
        /// The chunk's position in the job.
        chunk: u32,
        /// The bitmap's record.
        value: Value,
        /// Version of the chunk's key.
        version: u64,
    },
    /// The removal of a chunk whose job has ended.
    DeleteProgress {
        /// The job.
        job: JobId,
        /// The chunk's position in the job.
        chunk: u32,
        /// Version of the chunk's key.
        version: u64,
    },
    /// One page of the worker registry.
    WorkerRegistry {
        /// The page's number.
        page: u32,
        /// The page's record.
        value: Value,
        /// Version of the page's key.
        version: u64,
    },
    /// One page of the fencing record.
    FencingRecord {
        /// The page's number.
        page: u32,
        /// The fenced workers, with their ages when the write was decided.
        workers: Vec<FencedWorker>,
        /// Version of the page's key.
        version: u64,
    },
    /// A drain that begins or changes (`Some`), or ends.
    Drain {
        /// The worker's name, by which operators call it a node.
        node: String,
        /// The drain's record; `None` removes it.
        record: Option<DrainRecord>,
        /// Version of the drain's key.
        version: u64,
    },
}

impl Write {
    /// How many changes of a transaction it takes.
    pub fn changes(&self) -> usize {
        match self {
            Self::Finish { .. } => 2,
            _ => 1,
        }
    }

    /// Whether users or workers wait for it.
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Finish { .. } | Self::FencingRecord { .. })
    }

    /// Whether it removes its key.
    fn is_deletion(&self) -> bool {
        matches!(
            self,
            Self::DeleteProgress { .. } | Self::Drain { record: None, .. }
        )
    }

    /// Adds the write to a transaction. `unix_ms` has been read after the write was decided.
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

    /// The value that the guarded key gets; `None` removes the key.
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

    /// The version that [`Self::guarded_key`] is believed to have.
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

    /// The key whose value shows whether the write was applied.
    fn evidence_key(&self) -> String {
        match self {
            Self::Finish { job, .. } => terminal_key(*job),
            _ => self.guarded_key(),
        }
    }

    /// What became of the write, by what is read from [`Self::evidence_key`] after it.
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

/// The value of a page of the fencing record: names, and when each was last answered.
fn fencing_page(workers: &[FencedWorker], unix_ms: u64) -> Value {
    let entry = |worker: &FencedWorker| {
        let answered_at = timestamp::from_age(worker.age_ms, unix_ms);
        (worker.name.clone(), answered_at.into())
    };
    Value::Object(workers.iter().map(entry).collect())
}

/// What became of one write of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// Stored.
    Stored {
        /// The key's version, 0 after a deletion.
        version: u64,
    },
    /// Not stored, or not known to be: to be tried again.
    Retry {
        /// The key's version as read since.
        version: u64,
    },
    /// Another controller has ended the job.
    JobAlreadyEnded(JobOutcome),
}

/// The outcome of a job all of whose tasks are done.
pub fn completed(done: u32) -> JobOutcome {
    JobOutcome {
        phase: Phase::Done,
        done,
    }
}

/// Why a batch was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum WriteError {
    /// Another controller has written the leader key.
    #[error("another controller leads")]
    NotLeader,
}

/// Carries one batch out, however long it takes, unless another controller leads.
///
/// If the outcome is unknown or a key has moved on, each key is read again. The next attempt is
/// guarded by what is read now, so the unknown one cannot be applied after it.
pub async fn write(
    store: Arc<Store>,
    token: u64,
    batch: Vec<Write>,
    unix_ms: u64,
    still_wanted: impl Fn() -> bool,
) -> Result<Vec<(Write, WriteOutcome)>, WriteError> {
    match commit(&store, token, &batch, unix_ms).await {
        Ok(revision) => return Ok(stored(batch, revision)),
        Err(StoreError::Conflict(failed)) if failed.iter().any(|key| key == LEADER) => {
            return Err(WriteError::NotLeader);
        }
        Err(error) => tracing::debug!(%error, writes = batch.len(), "transaction not confirmed"),
    }
    let mut results = Vec::with_capacity(batch.len());
    for write in batch {
        let found = read_back(&store, &write.evidence_key(), &still_wanted).await?;
        let written = write.outcome(found);
        results.push((write, written));
    }
    Ok(results)
}

/// One attempt; returns the revision of the transaction.
async fn commit(
    store: &Store,
    token: u64,
    batch: &[Write],
    unix_ms: u64,
) -> Result<u64, StoreError> {
    let mut transaction = Transaction {
        conditions: vec![Condition::at_version(LEADER, token)],
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

fn stored(batch: Vec<Write>, revision: u64) -> Vec<(Write, WriteOutcome)> {
    let with_version = |write: Write| {
        let version = if write.is_deletion() { 0 } else { revision };
        (write, WriteOutcome::Stored { version })
    };
    batch.into_iter().map(with_version).collect()
}

/// Reads a key until the state service answers.
async fn read_back(
    store: &Store,
    key: &str,
    still_wanted: &impl Fn() -> bool,
) -> Result<Option<Item>, WriteError> {
    loop {
        if !still_wanted() {
            return Err(WriteError::NotLeader);
        }
        match store.get(key, Urgency::High, false).await {
            Ok(item) => return Ok(item),
            Err(error) => {
                tracing::debug!(%error, key, "cannot read back");
                tokio::time::sleep(READ_BACK_RETRY).await;
            }
        }
    }
}
