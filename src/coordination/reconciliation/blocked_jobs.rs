//! Blocks jobs after a failover while workers that may hold their tasks are unreconciled.

use crate::protocol::job::Resources;

use crate::coordination::state::{Core, TeamUsage};

impl Core {
    /// Blocks the jobs of which an unreconciled worker may hold an instance: those stored before
    /// the election that an earlier leader could have started there. Other jobs are not blocked;
    /// otherwise a single reclaimed spot worker would block every service for a whole lease.
    pub(crate) fn block_unreconciled_jobs(&mut self) {
        if self.reconciliation.is_complete() {
            return self.count_unknown_usage(&[], false);
        }
        let unreconciled = self.unreconciled_workers();
        let unknown_workers = self.reconciliation.unknown_workers
            && self.now <= self.elected_at + self.lease_upper_bound_s();
        let blocked_before = self.blocked_job_count();
        for job_index in self.jobs.indices() {
            let blocked = self.must_block(job_index, &unreconciled, unknown_workers);
            let becomes_unblocked =
                std::mem::replace(&mut self.jobs[job_index].blocked, blocked) && !blocked;
            if becomes_unblocked && self.is_multi_task_gang(job_index) {
                self.abort_partial_attempts(job_index);
            }
        }
        self.count_unknown_usage(&unreconciled, unknown_workers);
        let blocked = self.blocked_job_count();
        let usage_unknown = self
            .teams
            .iter()
            .any(|t| t.unreconciled != Resources::default());
        self.reconciliation.complete = unreconciled.is_empty() && !unknown_workers;
        if blocked > 0 || usage_unknown {
            self.release_unreconciled_workers(&unreconciled);
        }
        if blocked_before != blocked || self.reconciliation.is_complete() {
            tracing::info!(
                after_s = self.now - self.elected_at,
                unreconciled = unreconciled.len(),
                blocked,
                "jobs blocked on unreconciled workers"
            );
        }
    }

    fn blocked_job_count(&self) -> usize {
        self.jobs.iter().filter(|(_, job)| job.blocked).count()
    }

    fn must_block(&self, job_index: u32, unreconciled: &[u32], unknown_workers: bool) -> bool {
        let job = &self.jobs[job_index];
        // The limit of a team is checked against its whole usage, which is unknown until every
        // worker is reconciled.
        let limited = self.teams[job.team as usize].is_limited();
        job.predates_election
            && (unknown_workers
                || (limited && !unreconciled.is_empty())
                || unreconciled
                    .iter()
                    .any(|&worker_index| self.constraints_allow_worker(job_index, worker_index)))
    }

    /// Workers to which an earlier leader may have given tasks and that have not reported their
    /// tasks to this leader.
    fn unreconciled_workers(&self) -> Vec<u32> {
        self.workers
            .iter()
            .filter(|(_, worker)| {
                let expired = worker.incarnation > 0 && !worker.may_be_alive();
                worker.known_to_predecessor
                    && !worker.reconciled
                    && !expired
                    && self.now <= self.lease_expires_at(worker)
            })
            .map(|(worker_index, _)| worker_index)
            .collect()
    }

    /// Sets an upper bound on the unknown usage of each limited team: all free resources of the
    /// unreconciled workers and of the workers with orphaned tasks. The unfinished tasks of known
    /// jobs would be too low a bound. A job that was cancelled before the election is stored as
    /// ended, but its tasks go on running on workers that the stop has not reached.
    fn count_unknown_usage(&mut self, unreconciled: &[u32], unknown_workers: bool) {
        if !self.teams.iter().any(TeamUsage::is_limited) {
            return;
        }
        let with_orphans = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.running_orphans().next().is_some())
            .map(|(worker_index, _)| worker_index);
        let mut unknown = Resources::default();
        let mut unbounded = unknown_workers;
        for worker_index in unreconciled.iter().copied().chain(with_orphans) {
            unbounded |= self
                .types
                .get(self.workers[worker_index].instance_type)
                .is_none();
            let free = self.free_resources(worker_index);
            unknown.cpus += free.cpus.max(0);
            unknown.gpus += free.gpus.max(0);
        }
        for team in self.teams.iter_mut().filter(|team| team.is_limited()) {
            // If some workers or their types are unknown, the limit may already be reached.
            team.unreconciled = if unbounded { team.limit } else { unknown };
        }
    }
}
