//! Preemption: room for tasks that have none, by stopping lower work and reserving what it frees.
//!
//! `victims` chooses what is stopped on one worker and what that costs, `single_tasks` makes room
//! for tasks one by one, `gangs` for all tasks of a gang at once, and `reservations` keeps room on
//! workers for a job. A reservation either follows stops that were ordered, or waits for work of
//! equal priority to end by itself: work never preempts work of equal or higher priority.

mod gangs;
mod reservations;
mod single_tasks;
mod victims;

use std::collections::BTreeSet;

use crate::coordination::state::Core;

/// Tasks for which one batch may make room: on a small cluster, and for each worker of a large one.
/// A zone that is lost leaves a third of all replicas without a place at once.
const MIN_TASKS_PER_BATCH: u32 = 12;
const TASKS_PER_WORKER: f64 = 0.1;
/// How long room that was freed by stops is reserved, beyond the grace of what is stopped.
const PREEMPTION_RESERVATION_S: f64 = 8.0;

impl Core {
    /// Makes room for the jobs of a batch that found none, the most important first.
    pub(super) fn make_room(&mut self, batch: &[u32]) {
        let workers = self.workers.iter().count() as f64;
        let mut budget = MIN_TASKS_PER_BATCH.max((workers * TASKS_PER_WORKER) as u32);
        // Where no room can be made for one job, none can be for the others of its class.
        let mut tried = BTreeSet::new();
        for &ix in batch {
            if budget == 0 {
                break;
            }
            let class = self.bidding_class(ix);
            let in_vain = class.is_some_and(|class| tried.contains(&class));
            // Good work is not stopped for a job that fails everywhere.
            if in_vain || self.is_faulty_job(ix) {
                continue;
            }
            if self.is_multi_task_gang(ix) {
                if self.tasks_without_room(ix) > 0 && self.make_room_for_gang(ix) {
                    budget -= 1;
                }
                continue;
            }
            if !self.make_room_for_tasks(ix, &mut budget) {
                tried.extend(class);
            }
        }
    }

    /// Makes room for a job's tasks one by one, by stops as far as the budget goes, and otherwise
    /// by draining workers. Returns whether all its tasks have room now.
    fn make_room_for_tasks(&mut self, ix: u32, budget: &mut u32) -> bool {
        let mut missing = self.tasks_without_room(ix);
        let reserved = self.reserve_by_preempting(ix, missing.min(*budget));
        *budget -= reserved;
        missing -= reserved;
        while missing > 0
            && *budget > 0
            && self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
            && self.reserve_by_draining(ix)
        {
            missing -= 1;
        }
        missing == 0
    }

    /// How many tasks of a job wait and have no room reserved.
    fn tasks_without_room(&self, ix: u32) -> u32 {
        self.jobs[ix]
            .waiting()
            .min(self.trial_start_limit(ix))
            .saturating_sub(self.reserved_tasks(ix))
    }
}
