//! Preemption: makes room for tasks that fit nowhere, by stopping lower-priority tasks and
//! reserving the resources that they free.
//!
//! `victims` selects the task instances to stop on one worker and computes the cost, `single_tasks`
//! makes room for tasks one by one, `gangs` for all tasks of a gang at once, and `reservations`
//! keeps room on workers for a job. A reservation either follows stops that were commanded, or
//! waits for work of equal priority to end by itself: work never preempts work of equal or higher
//! priority.

mod gangs;
mod reservations;
mod single_tasks;
mod victims;

use std::collections::BTreeSet;

use crate::coordination::state::Core;

/// How many tasks one batch may make room for: at least `MIN_TASKS_PER_BATCH`, and
/// `TASKS_PER_WORKER` for each worker of a large cluster. The loss of a zone leaves a third of all
/// replicas without a worker at once.
const MIN_TASKS_PER_BATCH: u32 = 12;
const TASKS_PER_WORKER: f64 = 0.1;
/// How long room freed by stops stays reserved after the grace period of the stopped tasks.
const PREEMPTION_RESERVATION_S: f64 = 8.0;

impl Core {
    /// Makes room for the jobs of a batch that found none, in descending order of weight.
    pub(super) fn make_room(&mut self, batch: &[u32]) {
        let workers = self.workers.iter().count() as f64;
        let mut budget = MIN_TASKS_PER_BATCH.max((workers * TASKS_PER_WORKER) as u32);
        // If no room can be made for one job, none can be made for the others of its scheduling
        // class.
        let mut classes_without_room = BTreeSet::new();
        for &job_index in batch {
            if budget == 0 {
                break;
            }
            let class = self.bidding_class(job_index);
            let class_has_no_room =
                class.is_some_and(|class| classes_without_room.contains(&class));
            // Running tasks are not preempted for a job that fails on every worker.
            if class_has_no_room || self.is_faulty_job(job_index) {
                continue;
            }
            if self.is_multi_task_gang(job_index) {
                if self.tasks_without_room(job_index) > 0 && self.make_room_for_gang(job_index) {
                    budget -= 1;
                }
                continue;
            }
            if !self.make_room_for_tasks(job_index, &mut budget) {
                classes_without_room.extend(class);
            }
        }
    }

    /// Makes room for a job's tasks one by one: by preemption as far as the budget allows, and then
    /// by reserving the workers that will have room soonest. Returns whether room is reserved for
    /// all its tasks now.
    fn make_room_for_tasks(&mut self, job_index: u32, budget: &mut u32) -> bool {
        let mut missing = self.tasks_without_room(job_index);
        let reserved = self.reserve_by_preempting(job_index, missing.min(*budget));
        *budget -= reserved;
        missing -= reserved;
        while missing > 0
            && *budget > 0
            && self.team_allows(self.jobs[job_index].team, &self.jobs[job_index].spec.needs)
            && self.reserve_soonest_worker(job_index)
        {
            missing -= 1;
        }
        missing == 0
    }

    /// The number of waiting tasks of a job that have no room reserved.
    fn tasks_without_room(&self, job_index: u32) -> u32 {
        self.jobs[job_index]
            .waiting()
            .min(self.trial_start_limit(job_index))
            .saturating_sub(self.reserved_tasks(job_index))
    }
}
