//! Jobs that are blocked on unreconciled workers after a failover.

use crate::protocol::job::Resources;

use crate::coordination::state::{Core, TeamUsage};

impl Core {
    /// Blocks the jobs of which an unreconciled worker may hold something: those stored before the
    /// election that an earlier leader could have started there. No others, or one reclaimed spot
    /// worker would block every service for a whole lease.
    pub(crate) fn block_unreconciled_jobs(&mut self) {
        if self.reconciliation.is_complete() {
            return self.count_unknown_usage(&[], false);
        }
        let unreconciled = self.unreconciled_workers();
        let unknown_workers = self.reconciliation.unknown_workers
            && self.now <= self.elected_at + self.lease_upper_bound_s();
        let blocked_before = self.blocked_jobs();
        for ix in self.jobs.indices() {
            let blocked = self.must_block(ix, &unreconciled, unknown_workers);
            let unblocked = std::mem::replace(&mut self.jobs[ix].blocked, blocked) && !blocked;
            if unblocked && self.is_multi_task_gang(ix) {
                self.abort_partial_attempts(ix);
            }
        }
        self.count_unknown_usage(&unreconciled, unknown_workers);
        let blocked = self.blocked_jobs();
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

    fn blocked_jobs(&self) -> usize {
        self.jobs.iter().filter(|(_, job)| job.blocked).count()
    }

    fn must_block(&self, ix: u32, unreconciled: &[u32], unknown_workers: bool) -> bool {
        let job = &self.jobs[ix];
        // What else runs of a limited team must be known in full.
        let limited = self.teams[job.team as usize].is_limited();
        job.predates_election
            && (unknown_workers
                || (limited && !unreconciled.is_empty())
                || unreconciled
                    .iter()
                    .any(|&m| self.constraints_allow_worker(ix, m)))
    }

    /// Workers that an earlier leader may have given tasks to and that have not reported to this
    /// one what they hold.
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
            .map(|(m, _)| m)
            .collect()
    }

    /// What workers may hold of each limited team that this leader does not know: all that is free
    /// of those that are unreconciled, and of those with orphaned tasks. Not only of jobs that it
    /// has read: a job that was cancelled before the election is stored as ended, and its tasks go
    /// on where the stop command has not arrived. So what is left of the known jobs is no bound.
    fn count_unknown_usage(&mut self, unreconciled: &[u32], unknown_workers: bool) {
        if !self.teams.iter().any(TeamUsage::is_limited) {
            return;
        }
        let with_orphans = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.running_orphans().next().is_some())
            .map(|(m, _)| m);
        let mut hidden = Resources::default();
        let mut unbounded = unknown_workers;
        for m in unreconciled.iter().copied().chain(with_orphans) {
            unbounded |= self.types.get(self.workers[m].kind).is_none();
            let free = self.free_resources(m);
            hidden.cpus += free.cpus.max(0);
            hidden.gpus += free.gpus.max(0);
        }
        for team in self.teams.iter_mut().filter(|team| team.is_limited()) {
            // Where not even the workers are known, the limit may be reached already.
            team.unreconciled = if unbounded { team.limit } else { hidden };
        }
    }
}
