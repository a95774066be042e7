//! Exact fit: places the tasks for which the auction's slots are too coarse, by their exact
//! resources.

use crate::coordination::state::Core;

use super::MAX_TASKS_PER_JOB;

impl Core {
    /// Starts tasks of a job wherever they fit, on the workers of the highest value first.
    pub(super) fn place_by_exact_fit(&mut self, ix: u32) {
        if self.is_multi_task_gang(ix) {
            return;
        }
        let mut remaining = self.jobs[ix]
            .waiting()
            .min(MAX_TASKS_PER_JOB)
            .min(self.trial_start_limit(ix));
        if remaining == 0 {
            return;
        }
        let needs = self.jobs[ix].spec.needs;
        for m in self.workers_with_room(ix) {
            while remaining > 0
                && needs.fits_in(&self.available_resources(m, ix))
                && self.start_next_task(ix, m)
            {
                remaining -= 1;
            }
        }
    }

    /// The allowed workers of the job's best tier that have room for one of its tasks, the most
    /// valuable first.
    fn workers_with_room(&self, ix: u32) -> Vec<u32> {
        let needs = self.jobs[ix].spec.needs;
        let tier = self.best_tier(ix);
        let mut workers: Vec<(u32, f64)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| {
                self.worker_usable(m)
                    && needs.fits_in(&self.available_resources(m, ix))
                    && self.worker_allowed(ix, m)
                    && self.in_tier_or_better(ix, m, tier)
            })
            .map(|m| (m, self.value(ix, m)))
            .collect();
        workers.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        workers.into_iter().map(|(m, _)| m).collect()
    }
}
