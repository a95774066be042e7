//! Preemption for single tasks: stops tasks where that costs least, or else reserves a worker until
//! enough of its tasks have ended.

use std::cmp::Ordering;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::Resources;

use super::PREEMPTION_RESERVATION_S;

/// How long a worker is reserved for a task that needs most of it, so that no new tasks start there
/// while the current ones end.
const SOONEST_WORKER_RESERVATION_S: f64 = 90.0;
/// A worker is reserved in this way only for a task that needs more than this share of it.
const SOONEST_WORKER_MIN_SHARE: f64 = 0.5;
/// Added to every preemption cost, so that the value of the worker still matters where little work
/// is lost.
const BASE_COST: f64 = 1.0;
/// Lower bound of the value that a cost is divided by.
const MIN_VALUE: f64 = 1e-12;
/// The remaining run time of a task is assumed to be at least this share of its estimate, also when
/// it has run longer than estimated.
const OVERRUN_SHARE: f64 = 0.2;

/// A worker on which stops make room for a task.
struct PreemptionOption {
    /// Work lost per unit of value gained.
    cost: f64,
    worker: u32,
    victims: Vec<InstanceId>,
}

impl PreemptionOption {
    /// Orders options from the most to the least costly, so that the best is last.
    fn compare(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then(other.worker.cmp(&self.worker))
    }
}

impl Core {
    /// Preempts lower-priority work for up to `limit` tasks of a job, where that costs least, and
    /// returns the number of tasks that have room now. Each worker is evaluated once, and again
    /// only after something was stopped there.
    pub(super) fn reserve_by_preempting(&mut self, job_index: u32, limit: u32) -> u32 {
        if limit == 0 || !self.outranks_any_active_job(job_index) {
            return 0;
        }
        let mut options = self.preemption_options(job_index);
        let mut by_zone = self.reserved_by_zone(job_index);
        let mut reserved = 0;
        while reserved < limit
            && let Some(best) = options.pop()
        {
            let worker_index = best.worker;
            let zone = self.workers[worker_index].zone;
            if !self.zone_allows_more(job_index, zone, by_zone[zone as usize])
                || !self.team_allows(self.jobs[job_index].team, &self.jobs[job_index].spec.needs)
            {
                continue;
            }
            self.preempt_and_reserve(job_index, worker_index, &best.victims);
            by_zone[zone as usize] += 1;
            reserved += 1;
            if let Some(next_option) = self.preemption_option(job_index, worker_index) {
                let at = options.partition_point(|option| option.compare(&next_option).is_lt());
                options.insert(at, next_option);
            }
        }
        reserved
    }

    /// The workers of the job's best tier on which tasks must be stopped to make room for one of
    /// its tasks, the best last.
    fn preemption_options(&self, job_index: u32) -> Vec<PreemptionOption> {
        let tier = self.best_tier(job_index);
        let mut options: Vec<PreemptionOption> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&worker_index| {
                self.reservable(job_index, worker_index)
                    && self.in_tier_or_better(job_index, worker_index, tier)
            })
            .filter_map(|worker_index| self.preemption_option(job_index, worker_index))
            .collect();
        options.sort_by(PreemptionOption::compare);
        options
    }

    /// The stops that make room for one task on a worker; none if there is room without them, or no
    /// set of stops is enough.
    fn preemption_option(&self, job_index: u32, worker_index: u32) -> Option<PreemptionOption> {
        if !self.can_make_room(job_index, worker_index) {
            return None;
        }
        let preemption = self.select_victims(job_index, worker_index)?;
        // Dividing by the value makes a costlier stop acceptable on a worker that has the image
        // cached.
        let value = self.value(job_index, worker_index).max(MIN_VALUE);
        (!preemption.victims.is_empty()).then_some(PreemptionOption {
            cost: (preemption.cost + BASE_COST) / value,
            worker: worker_index,
            victims: preemption.victims,
        })
    }

    /// Stops the victims on a worker, and reserves room for one task of a job there.
    pub(in crate::coordination) fn preempt_and_reserve(
        &mut self,
        job_index: u32,
        worker_index: u32,
        victims: &[InstanceId],
    ) {
        for id in victims {
            tracing::debug!(
                job = %self.jobs[job_index].spec.id,
                victim = %self.jobs[id.job].spec.id,
                worker = self.workers[worker_index].name,
                "preempting task instance"
            );
            self.stop_gracefully(worker_index, *id);
        }
        self.reserve(
            worker_index,
            job_index,
            PREEMPTION_RESERVATION_S + self.longest_stop_grace_s(victims),
        );
    }

    /// Reserves the worker that will be the first to have room for a task that needs much of it.
    /// Returns whether there is such a worker.
    pub(super) fn reserve_soonest_worker(&mut self, job_index: u32) -> bool {
        let needs = self.jobs[job_index].spec.needs;
        let soonest = self
            .workers
            .indices()
            .into_iter()
            .filter(|&worker_index| self.reservable(job_index, worker_index))
            .filter(|&worker_index| self.workers[worker_index].reservations.is_empty())
            .filter(|&worker_index| {
                let instance_type = self.types.get(self.workers[worker_index].instance_type);
                instance_type.is_some_and(|described| {
                    needs.dominant_share_of(&described.capacity) > SOONEST_WORKER_MIN_SHARE
                })
            })
            .filter_map(|worker_index| {
                self.seconds_until_room(&needs, worker_index)
                    .map(|in_s| (worker_index, in_s))
            })
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let Some((worker_index, _)) = soonest else {
            return false;
        };
        self.reserve(worker_index, job_index, SOONEST_WORKER_RESERVATION_S);
        true
    }

    /// Seconds until enough tasks on a worker have ended by themselves for `needs` to fit, by their
    /// estimated run times. Services never end by themselves.
    pub(in crate::coordination) fn seconds_until_room(
        &self,
        needs: &Resources,
        worker_index: u32,
    ) -> Option<f64> {
        let mut free = self.free_resources(worker_index);
        let mut ends: Vec<(f64, Resources)> = self.workers[worker_index]
            .instances
            .iter()
            .filter(|(id, instance)| instance.may_exist() && !self.jobs[id.job].is_service())
            .map(|(id, instance)| {
                let job = &self.jobs[id.job];
                let ran_s = instance.running_since.map_or(0.0, |at| self.now - at);
                let remaining_s = (job.work_s() - ran_s).max(job.work_s() * OVERRUN_SHARE);
                (remaining_s, job.spec.needs)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room_in_s = 0.0;
        for (end_s, frees) in ends {
            if needs.fits_in(&free) {
                break;
            }
            free.add(&frees);
            room_in_s = end_s;
        }
        needs.fits_in(&free).then_some(room_in_s)
    }
}
