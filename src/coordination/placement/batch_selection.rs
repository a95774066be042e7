//! Selects and orders the jobs of a batch by weight, and limits their number to what a batch has
//! time for.

use std::collections::BTreeMap;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::{Kind, Priority, Resources};

use super::MAX_TASKS_PER_JOB;

/// How long before its next objective a late job gets the deadline boost: about the time that it
/// takes to reserve workers for a gang.
const DEADLINE_BOOST_BEFORE_S: f64 = 45.0;
/// The urgency of a job with the deadline boost. It exceeds every other result of `start_urgency`.
const BOOSTED_URGENCY: f64 = 2.3;
/// A job past its last objective gets the deadline boost after this multiple of its start delay
/// tolerance.
const BOOST_AFTER_TOLERANCES: f64 = 6.0;
/// The urgency of a job that can still meet its first objective, and what is added to it for a job
/// of one task. Smaller jobs go slightly before larger ones, so that as many jobs as possible start
/// in time.
const IN_TIME_URGENCY: f64 = 2.0;
const SMALL_JOB_URGENCY: f64 = 0.2;
/// The urgency of a job that has missed its first objective but can still complete within its
/// completion target.
const ON_TARGET_URGENCY: f64 = 1.6;
/// The urgency of any other job with an objective for its start.
const LATE_URGENCY: f64 = 1.3;
/// The urgency of an array past its completion target. Jobs that can still meet theirs go first.
const LATE_ARRAY_URGENCY: f64 = 0.7;
/// What is added to the urgency of an array with little work left, and the amount of remaining work
/// at which half of it is added.
const SHORT_ARRAY_URGENCY: f64 = 3.0;
const SHORT_ARRAY_WORK_S: f64 = 600.0;
/// Weight factor of jobs within their team's quota, which go before all other jobs.
const WITHIN_QUOTA_FACTOR: f64 = 10_000.0;
/// Maximum number of jobs in one batch, after [`Core::limit_classes`].
const MAX_JOBS: usize = 512;
/// Maximum of the jobs in one batch times the workers. Each job is evaluated on every worker, so a
/// batch of a large cluster takes fewer jobs: a batch of 380 jobs on 3,000 workers delayed the
/// renewal of the leader's lease by a second.
const MAX_JOBS_TIMES_WORKERS: usize = 192 * 1024;
/// The limit on the jobs in one batch is never below this, however large the cluster.
const MIN_JOBS: usize = 32;

impl Core {
    /// The jobs of this batch, in descending order of weight.
    pub(super) fn select_batch(&mut self) -> Vec<u32> {
        let order = self.batch_order();
        self.limit_batch(order)
    }

    /// All jobs with waiting tasks that may start, in descending order of weight.
    fn batch_order(&self) -> Vec<u32> {
        let mut order: Vec<(f64, u64, u32)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.state == JobState::Live
                    && job.waiting() > 0
                    && job.retry_at <= self.now
                    && !job.blocked
            })
            .map(|(job_index, job)| (self.weight(job_index), job.accepted_ms, job_index))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        order
            .into_iter()
            .map(|(_, _, job_index)| job_index)
            .collect()
    }

    /// Limits a batch to as many jobs as it has time for. With thousands of jobs of one task each,
    /// a batch took longer than the batch interval.
    ///
    /// The jobs of highest weight are in every batch. The rest of the batch rotates over the other
    /// jobs, so that none starves.
    fn limit_batch(&mut self, mut jobs: Vec<u32>) -> Vec<u32> {
        self.limit_classes(&mut jobs);
        let workers = self.workers.iter().count().max(1);
        let limit = (MAX_JOBS_TIMES_WORKERS / workers).clamp(MIN_JOBS, MAX_JOBS);
        if jobs.len() <= limit {
            return jobs;
        }
        let tail = jobs.split_off(limit / 2);
        let first = self.next_tail_job % tail.len();
        self.next_tail_job = first + limit / 2;
        // The tail is longer than the part taken from it, so no job is taken twice.
        let mut selected: Vec<usize> = (first..first + limit / 2)
            .map(|at| at % tail.len())
            .collect();
        selected.sort_unstable();
        jobs.extend(selected.into_iter().map(|at| tail[at]));
        jobs
    }

    /// Keeps only the first jobs of each scheduling class, with at most [`MAX_TASKS_PER_JOB`]
    /// waiting tasks together.
    fn limit_classes(&self, jobs: &mut Vec<u32>) {
        let mut tasks_by_class: BTreeMap<u32, u32> = BTreeMap::new();
        jobs.retain(|&job_index| {
            let Some(class) = self.bidding_class(job_index) else {
                return true;
            };
            let tasks = tasks_by_class.entry(class).or_default();
            *tasks += self.jobs[job_index].waiting();
            *tasks <= MAX_TASKS_PER_JOB
        });
    }

    /// The scheduling class that a job bids with. None for a job that has failed on some worker, as
    /// it avoids that worker, and none for a job within its team's quota.
    pub(in crate::coordination) fn bidding_class(&self, job_index: u32) -> Option<u32> {
        let job = &self.jobs[job_index];
        job.scheduling_class
            .filter(|_| job.failed_on.is_empty() && !job.within_quota)
    }

    /// The weight of a job, π in the design paper: its priority, its quota and its urgency. Within
    /// one priority, jobs with little remaining work go first, and jobs that have waited long are
    /// boosted, so that long jobs do not starve.
    pub(in crate::coordination) fn weight(&self, job_index: u32) -> f64 {
        let job = &self.jobs[job_index];
        let quota_factor = if job.within_quota {
            WITHIN_QUOTA_FACTOR
        } else {
            1.0
        };
        priority_factor(job.spec.priority) * quota_factor * self.urgency(job_index)
    }

    /// How much is gained by placing a job of its priority now.
    fn urgency(&self, job_index: u32) -> f64 {
        let job = &self.jobs[job_index];
        let waited_s = (self.now - job.accepted_at).max(0.0);
        match job.spec.kind {
            Kind::Array if waited_s > job.completion_target_s => LATE_ARRAY_URGENCY,
            Kind::Array => {
                let left_s = f64::from(job.spec.tasks - job.done) * job.work_s();
                1.0 + SHORT_ARRAY_URGENCY / (1.0 + left_s / SHORT_ARRAY_WORK_S)
            }
            _ => self.start_urgency(job_index, waited_s),
        }
    }

    /// The urgency of a gang or a service. A job that can still meet its first objective goes
    /// first, small jobs before large ones, so that as many as possible meet it. A job that cannot
    /// waits until its next objective is near, and then gets the deadline boost. A job past its
    /// last objective gets it after a multiple of its start delay tolerance, so that none starves.
    fn start_urgency(&self, job_index: u32, waited_s: f64) -> f64 {
        let job = &self.jobs[job_index];
        if job.is_service() {
            return IN_TIME_URGENCY;
        }
        let next = job
            .placement_deadlines_s
            .iter()
            .position(|&by| waited_s <= by);
        match next {
            Some(0) => IN_TIME_URGENCY + SMALL_JOB_URGENCY / f64::from(job.spec.tasks),
            Some(next) if job.placement_deadlines_s[next] - waited_s < DEADLINE_BOOST_BEFORE_S => {
                BOOSTED_URGENCY
            }
            None if waited_s > BOOST_AFTER_TOLERANCES * job.start_delay_tolerance_s => {
                BOOSTED_URGENCY
            }
            _ if waited_s + job.work_s() <= job.completion_target_s => ON_TARGET_URGENCY,
            _ => LATE_URGENCY,
        }
    }

    /// Whether a late job has the deadline boost now.
    pub(in crate::coordination) fn has_deadline_boost(&self, job_index: u32) -> bool {
        let waited_s = self.now - self.jobs[job_index].accepted_at;
        self.start_urgency(job_index, waited_s) >= BOOSTED_URGENCY
    }

    /// Marks the jobs that fit in their teams' quotas, in the order in which they were accepted.
    pub(super) fn mark_within_quota(&mut self) {
        let any_quota = self
            .teams
            .iter()
            .any(|team| team.quota.cpus > 0 || team.quota.gpus > 0);
        if !any_quota {
            return;
        }
        let mut order = self.jobs.indices();
        order.sort_by_key(|&job_index| {
            (
                self.jobs[job_index].accepted_ms,
                self.jobs[job_index].spec.id,
            )
        });
        let mut total_by_team = vec![Resources::default(); self.teams.len()];
        for job_index in order {
            let job = &mut self.jobs[job_index];
            if job.state != JobState::Live {
                continue;
            }
            let total = &mut total_by_team[job.team as usize];
            let tasks_left = i64::from(job.spec.tasks - job.done);
            total.cpus += job.spec.needs.cpus * tasks_left;
            total.gpus += job.spec.needs.gpus * tasks_left;
            let quota = &self.teams[job.team as usize].quota;
            job.within_quota = total.cpus <= quota.cpus && total.gpus <= quota.gpus;
        }
    }
}

fn priority_factor(priority: Priority) -> f64 {
    match priority {
        Priority::Production => 1000.0,
        Priority::High => 100.0,
        Priority::Normal => 10.0,
        Priority::Low => 1.0,
    }
}
