//! The jobs of a batch: their weights, their order, and how many a batch has time for.

use std::collections::BTreeMap;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::{Kind, Priority, Resources};

use super::MAX_TASKS_PER_JOB;

/// How long before its next objective a late job gets the deadline boost: about what it takes to
/// gather workers for it.
const DEADLINE_BOOST_BEFORE_S: f64 = 45.0;
/// The urgency of a job with the deadline boost; no other job's is as high.
const BOOSTED_URGENCY: f64 = 2.3;
/// A job past its last objective gets the deadline boost after this many times its patience.
const BOOST_AFTER_TOLERANCES: f64 = 6.0;
/// The urgency of a job that can still meet its first objective. Smaller jobs come a little before
/// larger ones, so that as many as possible start in time.
const IN_TIME_URGENCY: f64 = 2.0;
const SMALL_JOB_URGENCY: f64 = 0.2;
/// The urgency of a job past its first objective, while finishing it is still worth most.
const ON_TARGET_URGENCY: f64 = 1.6;
/// The urgency of any other job that has an objective for its start.
const LATE_URGENCY: f64 = 1.3;
/// The urgency of an array that is late already: it can wait a little more for what is not.
const LATE_ARRAY_URGENCY: f64 = 0.7;
/// How much more urgent an array is when little of its work is left, and the work that halves this.
const SHORT_ARRAY_URGENCY: f64 = 3.0;
const SHORT_ARRAY_WORK_S: f64 = 600.0;
/// Work within its team's quota comes before all other work.
const WITHIN_QUOTA_FACTOR: f64 = 10_000.0;
/// Jobs in one batch; those of one scheduling class count as one.
const MAX_JOBS: usize = 512;
/// Each job looks at every worker, so on a large cluster a batch takes fewer: a batch of 380 jobs
/// on 3,000 workers once delayed the renewal of the leader's lease by a second.
const MAX_JOBS_TIMES_WORKERS: usize = 192 * 1024;
/// However large the cluster, a batch takes so many jobs.
const MIN_JOBS: usize = 32;

impl Core {
    /// The jobs of this batch, the most important first.
    pub(super) fn select_batch(&mut self) -> Vec<u32> {
        let order = self.batch_order();
        self.limit_batch(order)
    }

    /// Jobs with waiting tasks, the most important first.
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
            .map(|(ix, job)| (self.weight(ix), job.accepted_ms, ix))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        order.into_iter().map(|(_, _, ix)| ix).collect()
    }

    /// As many jobs as a batch has time for: with thousands of jobs of one task each, a batch took
    /// longer than its window. Jobs of one scheduling class count as one. Of the rest the most
    /// important are in every batch, and the others by turns, so that none starves.
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
        // The tail is longer than a turn, so none is in one twice.
        let mut turn: Vec<usize> = (first..first + limit / 2)
            .map(|at| at % tail.len())
            .collect();
        turn.sort_unstable();
        jobs.extend(turn.into_iter().map(|at| tail[at]));
        jobs
    }

    /// Keeps of each scheduling class only as many jobs as one job may have tasks in a batch.
    fn limit_classes(&self, jobs: &mut Vec<u32>) {
        let mut tasks_by_class: BTreeMap<u32, u32> = BTreeMap::new();
        jobs.retain(|&ix| {
            let Some(class) = self.bidding_class(ix) else {
                return true;
            };
            let tasks = tasks_by_class.entry(class).or_default();
            *tasks += self.jobs[ix].waiting();
            *tasks <= MAX_TASKS_PER_JOB
        });
    }

    /// The scheduling class that a job bids with: none once it has failed somewhere, as it keeps
    /// away from workers of its own, and none within its team's quota.
    pub(in crate::coordination) fn bidding_class(&self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        job.scheduling_class
            .filter(|_| job.failed_on.is_empty() && !job.within_quota)
    }

    /// The paper's π: the job's priority, and within a priority how much is gained by finishing
    /// it. Short remaining work goes first; what has waited long is boosted, so that long work
    /// does not starve.
    pub(in crate::coordination) fn weight(&self, ix: u32) -> f64 {
        let job = &self.jobs[ix];
        let quota_factor = if job.within_quota {
            WITHIN_QUOTA_FACTOR
        } else {
            1.0
        };
        priority_factor(job.spec.priority) * quota_factor * self.urgency(ix)
    }

    fn urgency(&self, ix: u32) -> f64 {
        let job = &self.jobs[ix];
        let waited_s = (self.now - job.accepted_at).max(0.0);
        match job.spec.kind {
            Kind::Array if waited_s > job.completion_target_s => LATE_ARRAY_URGENCY,
            Kind::Array => {
                let left_s = f64::from(job.spec.tasks - job.done) * job.work_s();
                1.0 + SHORT_ARRAY_URGENCY / (1.0 + left_s / SHORT_ARRAY_WORK_S)
            }
            _ => self.start_urgency(ix, waited_s),
        }
    }

    /// A job that can still meet its first objective goes first, small before large, so that as
    /// many as possible do. One that cannot waits until its next objective is near, and then gets
    /// the deadline boost. Nothing starves.
    fn start_urgency(&self, ix: u32, waited_s: f64) -> f64 {
        let job = &self.jobs[ix];
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

    /// Whether a late job goes before all others of its priority now.
    pub(in crate::coordination) fn has_deadline_boost(&self, ix: u32) -> bool {
        let waited_s = self.now - self.jobs[ix].accepted_at;
        self.start_urgency(ix, waited_s) >= BOOSTED_URGENCY
    }

    /// Marks the jobs that fit in their teams' quotas, in the order of their acceptance.
    pub(super) fn mark_within_quota(&mut self) {
        let any_quota = self
            .teams
            .iter()
            .any(|team| team.quota.cpus > 0 || team.quota.gpus > 0);
        if !any_quota {
            return;
        }
        let mut order = self.jobs.indices();
        order.sort_by_key(|&ix| (self.jobs[ix].accepted_ms, self.jobs[ix].spec.id));
        let mut total_by_team = vec![Resources::default(); self.teams.len()];
        for ix in order {
            let job = &mut self.jobs[ix];
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
