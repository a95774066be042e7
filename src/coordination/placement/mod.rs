//! Placement: one batch assigns the tasks that wait at the end of a window to workers.
//!
//! `order` chooses the jobs of a batch and their weights, `value` says what a task is worth on a
//! worker, `market` sells the workers' free room by auction, `leftovers` fills by exact fit what
//! the auction's slots are too coarse for, and `start` starts single tasks.

mod leftovers;
mod market;
mod order;
mod start;
mod value;

use std::collections::BTreeSet;

use crate::coordination::state::Core;

/// Tasks of one job in one batch; the rest wait for the next window.
const MAX_TASKS_PER_JOB: u32 = 256;

impl Core {
    /// Places what waits: gangs first, then all other tasks by auction and by exact fit. What finds
    /// no room may have room made for it.
    pub(super) fn run_batch(&mut self) {
        self.expire_reservations();
        self.mark_within_quota();
        self.reserve_whole_workers();
        let batch = self.select_batch();
        if batch.is_empty() {
            return;
        }
        self.gather_for_gangs(&batch);
        self.serve_reservations(&batch);
        self.place_gangs(&batch);
        self.run_market(&batch);
        self.place_all_leftovers(&batch);
        self.record_unplaced(&batch);
        self.make_room(&batch);
    }

    /// Whether a job is a gang of several tasks, which is placed as a whole; a gang of one is like
    /// any task.
    pub(super) fn is_multi_task_gang(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        job.is_gang() && job.spec.tasks > 1
    }

    fn place_gangs(&mut self, batch: &[u32]) {
        for &ix in batch {
            if self.is_multi_task_gang(ix)
                && self.jobs[ix].waiting() > 0
                && let Some(places) = self.plan_gang(ix)
            {
                self.start_gang(ix, &places);
            }
        }
    }

    fn place_all_leftovers(&mut self, batch: &[u32]) {
        // Where one job had no room left, the others of its scheduling class have none.
        let mut without_room = BTreeSet::new();
        for &ix in batch {
            let class = self.bidding_class(ix);
            if class.is_some_and(|class| without_room.contains(&class)) {
                continue;
            }
            self.place_leftovers(ix);
            if self.jobs[ix].waiting() > 0 {
                without_room.extend(class);
            }
        }
    }

    /// Records since when each job of the batch has not got all the room it wants.
    fn record_unplaced(&mut self, batch: &[u32]) {
        let now = self.now;
        for &ix in batch {
            let job = &mut self.jobs[ix];
            if job.waiting() == 0 {
                job.unplaced_since = None;
            } else {
                job.unplaced_since.get_or_insert(now);
            }
        }
    }
}
