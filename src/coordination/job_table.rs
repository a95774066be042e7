//! The jobs that this leader knows, by index and by id.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;

use super::model::{Job, Slab};

/// Jobs by index, their ids, and what is known of jobs that are not or no longer among them.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: Slab<Job>,
    by_id: BTreeMap<JobId, u32>,
    /// Jobs that ended under this leader.
    ended: HashMap<JobId, JobOutcome>,
    /// Jobs to be cancelled that the watch on the stored jobs has not shown yet.
    early_cancellations: BTreeSet<JobId>,
}

impl JobTable {
    /// Adds a job and returns its index.
    pub(super) fn insert(&mut self, job: Job) -> u32 {
        let id = job.spec.id;
        let index = self.jobs.insert(job);
        self.by_id.insert(id, index);
        index
    }

    /// Takes out a job that has ended; its index may be another's after that.
    pub(super) fn remove(&mut self, index: u32) {
        if let Some(job) = self.jobs.remove(index) {
            self.by_id.remove(&job.spec.id);
        }
    }

    /// The index of a job.
    pub(super) fn index_of(&self, id: JobId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    /// The job at this index, if there is one.
    pub(super) fn get(&self, index: u32) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// All jobs with their indices, ascending.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Job)> {
        self.jobs.iter()
    }

    /// All indices, ascending; for loops that change jobs.
    pub(super) fn indices(&self) -> Vec<u32> {
        self.jobs.indices()
    }

    /// How a job ended under this leader, if it did.
    pub(super) fn outcome(&self, id: JobId) -> Option<JobOutcome> {
        self.ended.get(&id).copied()
    }

    /// A job's end is stored.
    pub(super) fn record_outcome(&mut self, id: JobId, outcome: JobOutcome) {
        self.ended.insert(id, outcome);
    }

    /// A job that is not known yet is being cancelled.
    pub(super) fn record_early_cancellation(&mut self, id: JobId) {
        self.early_cancellations.insert(id);
    }

    /// The cancellation of a job is settled.
    pub(super) fn forget_early_cancellation(&mut self, id: JobId) {
        self.early_cancellations.remove(&id);
    }

    /// Whether a job was being cancelled before it was known.
    pub(super) fn is_cancelled_early(&self, id: JobId) -> bool {
        self.early_cancellations.contains(&id)
    }
}

impl std::ops::Index<u32> for JobTable {
    type Output = Job;
    fn index(&self, index: u32) -> &Job {
        &self.jobs[index]
    }
}

impl std::ops::IndexMut<u32> for JobTable {
    fn index_mut(&mut self, index: u32) -> &mut Job {
        &mut self.jobs[index]
    }
}
