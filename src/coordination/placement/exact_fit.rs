//! Exact fit: places the tasks for which the auction's slots are too coarse, by their exact
//! resources.

use crate::coordination::state::Core;

use super::MAX_TASKS_PER_JOB;

impl Core {
    /// Starts tasks of a job wherever they fit, on the workers of the highest value first.
    pub(super) fn place_by_exact_fit(&mut self, job_index: u32) {
        if self.is_multi_task_gang(job_index) {
            return;
        }
        let mut remaining = self.jobs[job_index]
            .waiting()
            .min(MAX_TASKS_PER_JOB)
            .min(self.trial_start_limit(job_index));
        if remaining == 0 {
            return;
        }
        let needs = self.jobs[job_index].spec.needs;
        for worker_index in self.workers_with_room(job_index) {
            while remaining > 0
                && needs.fits_in(&self.available_resources(worker_index, job_index))
                && self.start_next_task(job_index, worker_index)
            {
                remaining -= 1;
            }
        }
    }

    /// The allowed workers of the job's best tier that have room for one of its tasks, the most
    /// valuable first.
    fn workers_with_room(&self, job_index: u32) -> Vec<u32> {
        let needs = self.jobs[job_index].spec.needs;
        let tier = self.best_tier(job_index);
        let mut workers: Vec<(u32, f64)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&worker_index| {
                self.worker_usable(worker_index)
                    && needs.fits_in(&self.available_resources(worker_index, job_index))
                    && self.worker_allowed(job_index, worker_index)
                    && self.in_tier_or_better(job_index, worker_index, tier)
            })
            .map(|worker_index| (worker_index, self.value(job_index, worker_index)))
            .collect();
        workers.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        workers
            .into_iter()
            .map(|(worker_index, _)| worker_index)
            .collect()
    }
}
