//! The jobs known to this leader, by index and by id.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;
use crate::protocol::worker::Command;

use super::model::{InstanceId, Job, Slab};

/// Jobs by index and by id, the outcomes of jobs that ended, and early cancellations.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: Slab<Job>,
    by_id: BTreeMap<JobId, u32>,
    /// Outcomes of jobs that ended under this leader.
    outcomes: HashMap<JobId, JobOutcome>,
    /// Jobs whose cancellation was requested before the watch on the stored jobs reported them.
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

    /// Removes a job that has ended. Its index may be reused.
    pub(super) fn remove(&mut self, index: u32) {
        if let Some(job) = self.jobs.remove(index) {
            self.by_id.remove(&job.spec.id);
        }
    }

    /// The index of a job.
    pub(super) fn index_of(&self, id: JobId) -> Option<u32> {
        self.by_id.get(&id).copied()
    }

    /// The instance that a command is about, if its job is known.
    pub(super) fn instance_id(&self, command: &Command) -> Option<InstanceId> {
        Some(InstanceId {
            job: self.index_of(command.job)?,
            task: command.task,
            attempt: command.attempt,
        })
    }

    /// The job at this index, if there is one.
    pub(super) fn get(&self, index: u32) -> Option<&Job> {
        self.jobs.get(index)
    }

    /// All jobs with their indices, in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Job)> {
        self.jobs.iter()
    }

    /// All indices in ascending order, for loops that change the table.
    pub(super) fn indices(&self) -> Vec<u32> {
        self.jobs.indices()
    }

    /// The outcome of a job, if it ended under this leader.
    pub(super) fn outcome(&self, id: JobId) -> Option<JobOutcome> {
        self.outcomes.get(&id).copied()
    }

    /// Records the stored outcome of a job.
    pub(super) fn record_outcome(&mut self, id: JobId, outcome: JobOutcome) {
        self.outcomes.insert(id, outcome);
    }

    /// Records the cancellation of a job that is not known yet.
    pub(super) fn record_early_cancellation(&mut self, id: JobId) {
        self.early_cancellations.insert(id);
    }

    /// Removes an early cancellation once its result is known.
    pub(super) fn remove_early_cancellation(&mut self, id: JobId) {
        self.early_cancellations.remove(&id);
    }

    /// Whether the cancellation of a job was requested before the job was known.
    pub(super) fn has_early_cancellation(&self, id: JobId) -> bool {
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
