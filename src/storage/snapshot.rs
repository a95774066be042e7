//! The state that a new leader starts from: the stored records, with Unix times converted to ages.

use super::bitmap::TaskBitmap;
use super::records::{DrainRecord, WorkerRecord};
use crate::protocol::JobId;
use crate::protocol::job::JobSpec;

/// All records that a new leader reads from the state service.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The live jobs.
    pub jobs: Vec<StoredJob>,
    /// The bitmaps of completed tasks.
    pub progress: Vec<StoredProgress>,
    /// The pages of the worker registry.
    pub registry: Vec<StoredRegistryPage>,
    /// The drains.
    pub drains: Vec<StoredDrain>,
    /// The pages of the fencing record.
    pub fencing: Vec<StoredFencingPage>,
    /// The time, on the core's clock, until which workers may have been answered under a lease
    /// extension that this controller voted for, or that it used while it was the leader.
    pub vote_binding_until: f64,
}

impl Snapshot {
    /// Returns the number of workers in the registry.
    pub fn worker_count(&self) -> usize {
        self.registry
            .iter()
            .flat_map(|page| &page.workers)
            .map(Vec::len)
            .sum()
    }
}

/// A live job.
#[derive(Debug, Clone)]
pub struct StoredJob {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in Unix time.
    pub accepted_ms: u64,
    /// Time since the job was accepted, computed from Unix times.
    pub age_s: f64,
    /// The version of the record's key.
    pub version: u64,
}

/// One chunk of a job's bitmap of completed tasks.
#[derive(Debug, Clone)]
pub struct StoredProgress {
    /// The job's ID.
    pub job: JobId,
    /// The index of the chunk within the job.
    pub chunk: u32,
    /// The completed tasks of the chunk.
    pub bitmap: TaskBitmap,
    /// The version of the record's key.
    pub version: u64,
}

/// One page of the worker registry.
#[derive(Debug)]
pub struct StoredRegistryPage {
    /// The page's number.
    pub page: u32,
    /// The version of the record's key.
    pub version: u64,
    /// The workers by name; `None` if the page does not parse.
    pub workers: Option<Vec<(String, WorkerRecord)>>,
}

/// A drain.
#[derive(Debug, Clone)]
pub struct StoredDrain {
    /// The name of the draining worker.
    pub worker: String,
    /// The record; `None` if it does not parse, in which case the worker drains without a deadline.
    pub record: Option<DrainRecord>,
    /// Time until the deadline, computed from Unix times; negative after the deadline.
    pub deadline_in_s: Option<f64>,
    /// The version of the record's key.
    pub version: u64,
}

/// One page of the fencing record.
#[derive(Debug)]
pub struct StoredFencingPage {
    /// The page's number.
    pub page: u32,
    /// The version of the record's key.
    pub version: u64,
    /// The workers on the page; `None` if the page does not parse.
    pub workers: Option<Vec<FencedWorker>>,
}

/// A fenced worker, and a lower bound of the time since its last answered heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencedWorker {
    /// The worker's name.
    pub name: String,
    /// Minimum time since the worker's last answered heartbeat, in ms.
    pub age_ms: u64,
}
