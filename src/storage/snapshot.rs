//! What a new leader starts from: the stored records, with times of day turned into ages.

use super::bitmap::TaskBitmap;
use super::records::{DrainRecord, WorkerRecord};
use crate::protocol::JobId;
use crate::protocol::job::JobSpec;

/// Everything that a new leader reads from the state service.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The live jobs.
    pub jobs: Vec<StoredJob>,
    /// The bitmaps of done tasks.
    pub progress: Vec<StoredProgress>,
    /// The worker registry.
    pub registry: Vec<StoredRegistryPage>,
    /// The drains.
    pub drains: Vec<StoredDrain>,
    /// The fencing record.
    pub fencing: Vec<StoredFencingPage>,
    /// Until when workers may have been answered under a lease extension that this controller
    /// voted for, or used when it led itself; on the clock of the core.
    pub vote_binding_until: f64,
}

impl Snapshot {
    /// How many workers the registry names.
    pub fn workers(&self) -> usize {
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
    /// When it was accepted, by the time of day.
    pub accepted_ms: u64,
    /// How long ago that was, by the time of day.
    pub age_s: f64,
    /// The version of its key.
    pub version: u64,
}

/// One chunk of a job's bitmap of done tasks.
#[derive(Debug, Clone)]
pub struct StoredProgress {
    /// The job.
    pub job: JobId,
    /// The chunk's position in the job.
    pub chunk: u32,
    /// Which tasks of the chunk are done.
    pub bitmap: TaskBitmap,
    /// The version of its key.
    pub version: u64,
}

/// One page of the worker registry.
#[derive(Debug)]
pub struct StoredRegistryPage {
    /// The page's number.
    pub page: u32,
    /// The version of its key.
    pub version: u64,
    /// The workers by name; `None` if the page does not parse.
    pub workers: Option<Vec<(String, WorkerRecord)>>,
}

/// A drain.
#[derive(Debug, Clone)]
pub struct StoredDrain {
    /// The worker that drains.
    pub worker: String,
    /// `None` if the record does not parse: the worker drains, without a deadline.
    pub record: Option<DrainRecord>,
    /// How long until the deadline, by the time of day; negative once it has passed.
    pub deadline_in_s: Option<f64>,
    /// The version of its key.
    pub version: u64,
}

/// One page of the fencing record.
#[derive(Debug)]
pub struct StoredFencingPage {
    /// The page's number.
    pub page: u32,
    /// The version of its key.
    pub version: u64,
    /// The workers that it names; `None` if the page does not parse.
    pub workers: Option<Vec<FencedWorker>>,
}

/// A fenced worker, and how long ago it was last answered at least.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencedWorker {
    /// The worker's name.
    pub name: String,
    /// Time since its last answer in ms.
    pub age_ms: u64,
}
