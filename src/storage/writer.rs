//! The leader's writes: what to write, and one guarded transaction at a time.
//!
//! Each write is guarded by the leader key's version and by the version that
//! its own key is believed to have. A transaction that was given up and is
//! applied minutes later therefore fails instead of undoing newer writes.

use std::sync::Arc;
use std::time::Duration;

use copperfield_fencing::stamp;
use serde_json::Value;

use crate::protocol::JobId;
use crate::protocol::job::{JobOutcome, Phase};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::transport::rate_limiter::Urgency;

use super::store::{Store, StoreError, put};
use super::{
    DrainRecord, LEADER, drain_key, fencing_key, job_key, parse_terminal, progress_key,
    registry_key, terminal_key, terminal_record,
};

#[derive(Debug, Clone, PartialEq)]
pub enum Write {
    /// The end of a job: its final phase appears, its description goes.
    Finish {
        job: JobId,
        version: u64,
        /// All its tasks.
        done: u32,
    },
    Progress {
        job: JobId,
        chunk: u32,
        value: Value,
        version: u64,
    },
    DropProgress {
        job: JobId,
        chunk: u32,
        version: u64,
    },
    WorkerRegistry {
        page: u32,
        value: Value,
        version: u64,
    },
    /// Silent workers, and how long ago each was answered when this was decided, in ms.
    FencingRecord {
        page: u32,
        ages: Vec<(String, u64)>,
        version: u64,
    },
    /// A drain that begins or changes (`Some`), or ends.
    Drain {
        node: String,
        record: Option<DrainRecord>,
        version: u64,
    },
}

impl Write {
    pub fn changes(&self) -> usize {
        match self {
            Self::Finish { .. } => 2,
            _ => 1,
        }
    }

    /// `unix_ms` has been read after the write was decided.
    fn add_to(&self, txn: &mut Transaction, unix_ms: u64) {
        let (key, version, change) = match self {
            Self::Finish { job, version, done } => {
                txn.conditions
                    .push(Condition::at_version(terminal_key(*job), 0));
                txn.changes
                    .push(put(terminal_key(*job), terminal_record(completed(*done))));
                let key = job_key(*job);
                (key.clone(), *version, Change::Delete { key })
            }
            Self::Progress {
                job,
                chunk,
                value,
                version,
            } => {
                let key = progress_key(*job, *chunk);
                (key.clone(), *version, put(key, value.clone()))
            }
            Self::DropProgress {
                job,
                chunk,
                version,
            } => {
                let key = progress_key(*job, *chunk);
                (key.clone(), *version, Change::Delete { key })
            }
            Self::WorkerRegistry {
                page,
                value,
                version,
            } => {
                let key = registry_key(*page);
                (key.clone(), *version, put(key, value.clone()))
            }
            Self::FencingRecord {
                page,
                ages,
                version,
            } => {
                let stamp = |(name, age): &(String, u64)| {
                    (name.clone(), stamp::of_age(*age, unix_ms).into())
                };
                let value = Value::Object(ages.iter().map(stamp).collect());
                let key = fencing_key(*page);
                (key.clone(), *version, put(key, value))
            }
            Self::Drain {
                node,
                record,
                version,
            } => {
                let key = drain_key(node);
                let change = match record {
                    Some(r) => put(key.clone(), serde_json::to_value(r).expect("plain data")),
                    None => Change::Delete { key: key.clone() },
                };
                (key, *version, change)
            }
        };
        txn.conditions.push(Condition::at_version(key, version));
        txn.changes.push(change);
    }

    /// The key whose version tells whether the write may go ahead again.
    fn key(&self) -> String {
        match self {
            Self::Finish { job, .. } => terminal_key(*job),
            Self::Progress { job, chunk, .. } | Self::DropProgress { job, chunk, .. } => {
                progress_key(*job, *chunk)
            }
            Self::WorkerRegistry { page, .. } => registry_key(*page),
            Self::FencingRecord { page, .. } => fencing_key(*page),
            Self::Drain { node, .. } => drain_key(node),
        }
    }
}

/// What became of each write of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Written {
    /// Stored; the version is 0 after a deletion.
    Stored { version: u64 },
    /// Not stored, or not known to be: the key's version as read since.
    Again { version: u64 },
    /// Somebody else has ended the job.
    Ended(JobOutcome),
}

/// The end of a job all of whose tasks are done.
pub fn completed(done: u32) -> JobOutcome {
    JobOutcome {
        phase: Phase::Done,
        done,
    }
}

#[derive(Debug)]
pub enum WriteError {
    /// Another node has written the leader key.
    Deposed,
}

/// Carries one batch out, however long it takes, unless another node leads.
pub async fn write(
    store: Arc<Store>,
    token: u64,
    batch: Vec<Write>,
    unix_ms: u64,
    still_wanted: impl Fn() -> bool,
) -> Result<Vec<(Write, Written)>, WriteError> {
    let mut txn = Transaction {
        conditions: vec![Condition::at_version(LEADER, token)],
        changes: Vec::new(),
    };
    for write in &batch {
        write.add_to(&mut txn, unix_ms);
    }
    let urgent = |w: &Write| matches!(w, Write::Finish { .. } | Write::FencingRecord { .. });
    let urgency = if batch.iter().any(urgent) {
        Urgency::High
    } else {
        Urgency::Normal
    };
    match store.commit(&txn, urgency, false).await {
        Ok(revision) => {
            return Ok(batch
                .into_iter()
                .map(|w| {
                    let version = match w {
                        Write::DropProgress { .. } | Write::Drain { record: None, .. } => 0,
                        _ => revision,
                    };
                    (w, Written::Stored { version })
                })
                .collect());
        }
        Err(StoreError::Conflict(failed)) if failed.iter().any(|k| k == LEADER) => {
            return Err(WriteError::Deposed);
        }
        Err(error) => tracing::debug!(%error, writes = batch.len(), "transaction not confirmed"),
    }
    // The outcome is unknown or a key has moved on: read each key again. The next
    // attempt is guarded by what is read now, so the unknown one cannot land after it.
    let mut results = Vec::with_capacity(batch.len());
    for write in batch {
        let item = loop {
            if !still_wanted() {
                return Err(WriteError::Deposed);
            }
            match store.get(&write.key(), Urgency::High, false).await {
                Ok(item) => break item,
                Err(error) => {
                    tracing::debug!(%error, key = write.key(), "cannot read back");
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
            }
        };
        let written = match (&write, item) {
            (Write::Finish { .. }, Some(item)) => match parse_terminal(&item.value) {
                Some(end) => Written::Ended(end),
                None => {
                    tracing::error!(key = item.key, "stored final phase does not parse");
                    Written::Again { version: 0 }
                }
            },
            (Write::Finish { version, .. }, None) => Written::Again { version: *version },
            (Write::DropProgress { .. } | Write::Drain { record: None, .. }, None) => {
                Written::Stored { version: 0 }
            }
            (_, item) => Written::Again {
                version: item.map_or(0, |i| i.version),
            },
        };
        results.push((write, written));
    }
    Ok(results)
}
