//! Placement: once per batch interval, assigns waiting tasks to workers.
//!
//! `batch_selection` chooses the jobs of a batch and computes their weights, `value` computes the
//! value of a worker for a task, `auction_round` auctions the free resources of workers,
//! `exact_fit` places tasks for which the slots of the auction are too coarse, and `start` starts
//! single tasks.

mod auction_round;
mod batch_selection;
mod exact_fit;
mod start;
mod value;

use std::collections::BTreeSet;

use crate::coordination::state::Core;

/// At most this many tasks of one job are placed in one batch; the rest wait for the next batch.
const MAX_TASKS_PER_JOB: u32 = 256;

impl Core {
    /// Places waiting tasks: gangs first, then all others by auction and by exact fit. For tasks
    /// that find no room, lower-priority work may be preempted.
    pub(super) fn run_batch(&mut self) {
        self.expire_reservations();
        self.mark_within_quota();
        self.reserve_whole_workers();
        let batch = self.select_batch();
        if batch.is_empty() {
            return;
        }
        self.reserve_for_late_gangs(&batch);
        self.serve_reservations(&batch);
        self.place_gangs(&batch);
        self.run_auction(&batch);
        self.place_all_by_exact_fit(&batch);
        self.record_unplaced(&batch);
        self.make_room(&batch);
    }

    /// Whether a job is a gang of several tasks, which is placed as a whole; a gang of one task is
    /// placed like any other task.
    pub(super) fn is_multi_task_gang(&self, job_index: u32) -> bool {
        let job = &self.jobs[job_index];
        job.is_gang() && job.spec.tasks > 1
    }

    fn place_gangs(&mut self, batch: &[u32]) {
        for &job_index in batch {
            if self.is_multi_task_gang(job_index)
                && self.jobs[job_index].waiting() > 0
                && let Some(placements) = self.plan_gang(job_index)
            {
                self.start_gang(job_index, &placements);
            }
        }
    }

    fn place_all_by_exact_fit(&mut self, batch: &[u32]) {
        // If one job finds no room, the others of its scheduling class find none either.
        let mut classes_without_room = BTreeSet::new();
        for &job_index in batch {
            let class = self.bidding_class(job_index);
            if class.is_some_and(|class| classes_without_room.contains(&class)) {
                continue;
            }
            self.place_by_exact_fit(job_index);
            if self.jobs[job_index].waiting() > 0 {
                classes_without_room.extend(class);
            }
        }
    }

    /// Records since when each job of the batch has had tasks without room, or that it has none
    /// now.
    fn record_unplaced(&mut self, batch: &[u32]) {
        let now = self.now;
        for &job_index in batch {
            let job = &mut self.jobs[job_index];
            if job.waiting() == 0 {
                job.unplaced_since = None;
            } else {
                job.unplaced_since.get_or_insert(now);
            }
        }
    }
}
