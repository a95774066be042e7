//! Task failures: quarantine of faulty workers, and delayed retries of jobs that fail on every
//! worker.

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// Delay before a failed task may be started again.
const TASK_RETRY_DELAY_S: Time = 0.5;
/// How long a job is not started on a worker on which it failed.
const JOB_BACKOFF_S: Time = 30.0;
/// The longest delay before a job that fails on every worker is retried. A gang fetches its image
/// to every worker on which it is tried, so it must not be retried often.
const MAX_JOB_RETRY_DELAY_S: Time = 120.0;
/// Number of failures after which the retry delay of such a job stops doubling.
const MAX_JOB_RETRY_DOUBLINGS: u32 = 10;
/// Shortest time between two log warnings about the same job.
const WARN_INTERVAL_S: Time = 30.0;
/// A job is considered faulty once it has failed on this many workers and never run well.
const FAULTY_AFTER_WORKERS: usize = 2;
/// A job without a finished task is no longer known to be good after it has failed on this many
/// workers.
const IN_DOUBT_AFTER_WORKERS: usize = 3;
/// How many tasks may be active at once of a job that has failed and is not known to be good.
const MAX_TRIAL_TASKS: u32 = 2;
/// The length of a worker's first quarantine. Each further quarantine is twice as long.
const FIRST_QUARANTINE_S: Time = 15.0;
/// Number of quarantines after which their length stops doubling.
const QUARANTINES_TO_MAX_LENGTH: u32 = 6;

impl Core {
    /// Handles a failed task. Either the worker or the job is at fault; the results of the job on
    /// other workers and of other jobs on this worker show which.
    pub(crate) fn handle_task_failure(&mut self, worker_index: u32, id: InstanceId) {
        let now = self.now;
        let job = &mut self.jobs[id.job];
        let task = &mut job.tasks[id.task as usize];
        task.not_before = (now + TASK_RETRY_DELAY_S) as f32;
        job.failures += 1;
        if !job.failed_on.contains(&worker_index) {
            job.failed_on.push(worker_index);
        }
        let in_doubt = job.failed_on.len() >= IN_DOUBT_AFTER_WORKERS && job.done == 0;
        if in_doubt && !job.is_service() {
            // A task may run well for a while and still fail on every worker in the end.
            job.known_good = false;
        }
        if self.is_faulty_job(id.job) {
            self.delay_faulty_job(id.job);
        }
        self.workers[worker_index]
            .failed_jobs
            .insert(id.job, now + JOB_BACKOFF_S);
        if self.jobs[id.job].known_good {
            self.quarantine(worker_index);
        }
    }

    /// Retries a job that fails on every worker with exponential backoff, until its user cancels
    /// it.
    fn delay_faulty_job(&mut self, job_index: u32) {
        let now = self.now;
        let job = &mut self.jobs[job_index];
        let delay_s = 2.0f64.powi(job.failures.min(MAX_JOB_RETRY_DOUBLINGS) as i32);
        job.retry_at = now + delay_s.min(MAX_JOB_RETRY_DELAY_S);
        if now - job.warned_at > WARN_INTERVAL_S {
            job.warned_at = now;
            tracing::warn!(job = %job.spec.id, "job fails on every worker");
        }
    }

    /// Marks a job as known to be good once a task has run well, and quarantines the workers on
    /// which it failed recently. Failures of other jobs never quarantine a worker: several faulty
    /// jobs on their first attempts look like several good jobs on a faulty worker, and new workers
    /// that have run nothing else would be quarantined.
    pub(crate) fn mark_job_known_good(&mut self, job_index: u32) {
        if std::mem::replace(&mut self.jobs[job_index].known_good, true) {
            return;
        }
        self.jobs[job_index].failures = 0;
        for worker_index in self.workers.indices() {
            let backoff_until = self.workers[worker_index].failed_jobs.get(&job_index);
            if backoff_until.is_some_and(|&until| until > self.now) {
                self.quarantine(worker_index);
            }
        }
    }

    fn quarantine(&mut self, worker_index: u32) {
        let now = self.now;
        let worker = &mut self.workers[worker_index];
        if worker.quarantined_until > now {
            return;
        }
        worker.quarantine_count += 1;
        let doublings = worker.quarantine_count.min(QUARANTINES_TO_MAX_LENGTH) as i32 - 1;
        let pause = FIRST_QUARANTINE_S * 2.0f64.powi(doublings);
        worker.quarantined_until = now + pause;
        tracing::info!(worker = worker.name, pause, "quarantined");
    }

    /// Returns whether a job has failed on several workers and never run well.
    pub(crate) fn is_faulty_job(&self, job_index: u32) -> bool {
        self.jobs
            .get(job_index)
            .is_some_and(|job| !job.known_good && job.failed_on.len() >= FAULTY_AFTER_WORKERS)
    }

    /// Records that a task of the job has run well on this worker.
    pub(crate) fn record_task_success(&mut self, worker_index: u32, job_index: u32) {
        self.jobs[job_index]
            .failed_on
            .retain(|&failed| failed != worker_index);
        let worker = &mut self.workers[worker_index];
        worker.failed_jobs.remove(&job_index);
        if worker.failed_jobs.is_empty() && worker.quarantined_until <= self.now {
            worker.quarantine_count = 0;
        }
    }

    /// Returns how many more tasks of a job may be started now. The number is small for a job that
    /// has failed and is not known to be good.
    pub(crate) fn trial_start_limit(&self, job_index: u32) -> u32 {
        let job = &self.jobs[job_index];
        if job.known_good || job.failed_on.is_empty() {
            u32::MAX
        } else {
            MAX_TRIAL_TASKS.saturating_sub(job.active)
        }
    }
}
