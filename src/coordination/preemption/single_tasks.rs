//! Preemption for single tasks: stops tasks where that costs least, or else drains a worker.

use std::cmp::Ordering;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::Resources;

use super::PREEMPTION_RESERVATION_S;

/// How long a worker is reserved, and so drained of small tasks, for a task that needs most of it.
const DRAIN_RESERVATION_S: f64 = 90.0;
/// A worker is drained only for a task that needs more than this share of it.
const DRAIN_MIN_SHARE: f64 = 0.5;
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
    pub(super) fn reserve_by_preempting(&mut self, ix: u32, limit: u32) -> u32 {
        if limit == 0 || !self.outranks_any_active_job(ix) {
            return 0;
        }
        let mut options = self.preemption_options(ix);
        let mut by_zone = self.reserved_by_zone(ix);
        let mut reserved = 0;
        while reserved < limit
            && let Some(best) = options.pop()
        {
            let m = best.worker;
            let zone = self.workers[m].zone;
            if !self.zone_allows_more(ix, zone, by_zone[zone as usize])
                || !self.team_allows(self.jobs[ix].team, &self.jobs[ix].spec.needs)
            {
                continue;
            }
            self.preempt_and_reserve(ix, m, &best.victims);
            by_zone[zone as usize] += 1;
            reserved += 1;
            if let Some(next_option) = self.preemption_option(ix, m) {
                let at = options.partition_point(|option| option.compare(&next_option).is_lt());
                options.insert(at, next_option);
            }
        }
        reserved
    }

    /// The workers of the job's best tier on which tasks must be stopped to make room for one of
    /// its tasks, the best last.
    fn preemption_options(&self, ix: u32) -> Vec<PreemptionOption> {
        let tier = self.best_tier(ix);
        let mut options: Vec<PreemptionOption> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m) && self.in_tier_or_better(ix, m, tier))
            .filter_map(|m| self.preemption_option(ix, m))
            .collect();
        options.sort_by(PreemptionOption::compare);
        options
    }

    /// The stops that make room for one task on a worker; none if there is room without them, or no
    /// set of stops is enough.
    fn preemption_option(&self, ix: u32, m: u32) -> Option<PreemptionOption> {
        if !self.can_make_room(ix, m) {
            return None;
        }
        let preemption = self.select_victims(ix, m)?;
        // Dividing by the value makes a costlier stop acceptable on a worker that has the image
        // cached.
        let value = self.value(ix, m).max(MIN_VALUE);
        (!preemption.victims.is_empty()).then_some(PreemptionOption {
            cost: (preemption.cost + BASE_COST) / value,
            worker: m,
            victims: preemption.victims,
        })
    }

    /// Stops the victims on a worker, and reserves room for one task of a job there.
    pub(in crate::coordination) fn preempt_and_reserve(
        &mut self,
        ix: u32,
        m: u32,
        victims: &[InstanceId],
    ) {
        for key in victims {
            tracing::debug!(
                job = %self.jobs[ix].spec.id,
                victim = %self.jobs[key.job].spec.id,
                worker = self.workers[m].name,
                "preempting task instance"
            );
            self.stop_gracefully(m, *key);
        }
        self.reserve(
            m,
            ix,
            PREEMPTION_RESERVATION_S + self.longest_stop_grace_s(victims),
        );
    }

    /// Reserves the worker that will be the first to have room for a task that needs much of it.
    /// Returns whether there is such a worker.
    pub(super) fn reserve_by_draining(&mut self, ix: u32) -> bool {
        let needs = self.jobs[ix].spec.needs;
        let soonest = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m))
            .filter(|&m| self.workers[m].reservations.is_empty())
            .filter(|&m| {
                let instance_type = self.types.get(self.workers[m].instance_type);
                instance_type
                    .is_some_and(|t| needs.dominant_share_of(&t.capacity) > DRAIN_MIN_SHARE)
            })
            .filter_map(|m| self.seconds_until_room(&needs, m).map(|in_s| (m, in_s)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let Some((m, _)) = soonest else {
            return false;
        };
        self.reserve(m, ix, DRAIN_RESERVATION_S);
        true
    }

    /// Seconds until enough tasks on a worker have ended by themselves for `needs` to fit, by their
    /// estimated run times. Services never end by themselves.
    pub(in crate::coordination) fn seconds_until_room(
        &self,
        needs: &Resources,
        m: u32,
    ) -> Option<f64> {
        let mut room = self.free_resources(m);
        let mut ends: Vec<(f64, Resources)> = self.workers[m]
            .instances
            .iter()
            .filter(|(key, instance)| instance.may_exist() && !self.jobs[key.job].is_service())
            .map(|(key, instance)| {
                let job = &self.jobs[key.job];
                let ran_s = instance.running_since.map_or(0.0, |at| self.now - at);
                let remaining_s = (job.work_s() - ran_s).max(job.work_s() * OVERRUN_SHARE);
                (remaining_s, job.spec.needs)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut room_in_s = 0.0;
        for (end_s, frees) in ends {
            if needs.fits_in(&room) {
                break;
            }
            room.add(&frees);
            room_in_s = end_s;
        }
        needs.fits_in(&room).then_some(room_in_s)
    }
}
