//! Task failures: quarantine of faulty workers, and retries of jobs that fail on every worker.

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A failed task is not started again before this time.
const TASK_RETRY_S: Time = 0.5;
/// How long a job stays away from a worker on which it failed.
const JOB_BACKOFF_S: Time = 30.0;
/// How long a job that fails on every worker waits at most before it is tried again: a gang fetches
/// its image to every worker it is tried on.
const MAX_JOB_RETRY_S: Time = 120.0;
/// Failures after which the pause of such a job doubles no more.
const MAX_JOB_RETRY_DOUBLINGS: u32 = 10;
/// The log warns of a job this often at most.
const WARN_INTERVAL_S: Time = 30.0;
/// A job is mistaken if it failed on this many workers and never ran well.
const FAULTY_AFTER_WORKERS: usize = 2;
/// A job without any finished task is in doubt again after it failed on this many workers.
const IN_DOUBT_AFTER_WORKERS: usize = 3;
/// How many tasks of a job in doubt may be tried at once.
const TRIAL_TASKS: u32 = 2;
/// The first quarantine of a worker; each one after it is twice as long.
const FIRST_QUARANTINE_S: Time = 15.0;
/// Quarantines after which they become no longer.
const MAX_QUARANTINE_STEPS: u32 = 6;

impl Core {
    /// A task has failed, by fault of the worker or of the job. The two are kept apart until other
    /// workers and other jobs show which it was.
    pub(crate) fn handle_task_failure(&mut self, m: u32, id: InstanceId) {
        let now = self.now;
        let job = &mut self.jobs[id.job];
        let task = &mut job.tasks[id.task as usize];
        task.not_before = (now + TASK_RETRY_S) as f32;
        job.failures += 1;
        if !job.failed_on.contains(&m) {
            job.failed_on.push(m);
        }
        let in_doubt = job.failed_on.len() >= IN_DOUBT_AFTER_WORKERS && job.done == 0;
        if in_doubt && !job.is_service() {
            // It may run well for a while and then fail everywhere all the same.
            job.known_good = false;
        }
        if self.is_faulty_job(id.job) {
            self.delay_faulty_job(id.job);
        }
        self.workers[m]
            .failed_jobs
            .insert(id.job, now + JOB_BACKOFF_S);
        if self.jobs[id.job].known_good {
            self.quarantine(m);
        }
    }

    /// A job that fails wherever it runs is tried ever more seldom, until its user cancels it.
    fn delay_faulty_job(&mut self, ix: u32) {
        let now = self.now;
        let job = &mut self.jobs[ix];
        let pause_s = 2.0f64.powi(job.failures.min(MAX_JOB_RETRY_DOUBLINGS) as i32);
        job.retry_at = now + pause_s.min(MAX_JOB_RETRY_S);
        if now - job.warned_at > WARN_INTERVAL_S {
            job.warned_at = now;
            tracing::warn!(job = %job.spec.id, "job fails on every worker");
        }
    }

    /// The job has run well, so where it failed the worker was at fault. Only such a job shows
    /// that: several mistaken ones at once, each on its first tries, look like as many good jobs
    /// on a faulty worker, and new workers that have done no other work would be quarantined.
    pub(crate) fn mark_job_known_good(&mut self, ix: u32) {
        if std::mem::replace(&mut self.jobs[ix].known_good, true) {
            return;
        }
        self.jobs[ix].failures = 0;
        for m in self.workers.indices() {
            let backs_off_until = self.workers[m].failed_jobs.get(&ix);
            if backs_off_until.is_some_and(|&until| until > self.now) {
                self.quarantine(m);
            }
        }
    }

    fn quarantine(&mut self, m: u32) {
        let now = self.now;
        let worker = &mut self.workers[m];
        if worker.quarantined_until > now {
            return;
        }
        worker.quarantine_count += 1;
        let doublings = worker.quarantine_count.min(MAX_QUARANTINE_STEPS) as i32 - 1;
        let pause = FIRST_QUARANTINE_S * 2.0f64.powi(doublings);
        worker.quarantined_until = now + pause;
        tracing::info!(worker = worker.name, pause, "quarantined");
    }

    /// Whether a job has failed on several workers and has never run well.
    pub(crate) fn is_faulty_job(&self, ix: u32) -> bool {
        self.jobs
            .get(ix)
            .is_some_and(|job| !job.known_good && job.failed_on.len() >= FAULTY_AFTER_WORKERS)
    }

    /// A task of the job has run well on this worker.
    pub(crate) fn record_task_success(&mut self, m: u32, ix: u32) {
        self.jobs[ix].failed_on.retain(|&failed| failed != m);
        let worker = &mut self.workers[m];
        worker.failed_jobs.remove(&ix);
        if worker.failed_jobs.is_empty() && worker.quarantined_until <= self.now {
            worker.quarantine_count = 0;
        }
    }

    /// How many tasks of a job may be started at once: few while the job itself is in doubt.
    pub(crate) fn trial_start_limit(&self, ix: u32) -> u32 {
        let job = &self.jobs[ix];
        if job.known_good || job.failed_on.is_empty() {
            u32::MAX
        } else {
            TRIAL_TASKS.saturating_sub(job.active)
        }
    }
}
