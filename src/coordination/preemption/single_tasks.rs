//! Room for tasks one by one: by preemption where it costs least, else by draining a worker.

use std::cmp::Ordering;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::Resources;

use super::PREEMPTION_RESERVATION_S;

/// How long a worker is kept free of new small tasks for a task that needs most of it.
const DRAIN_RESERVATION_S: f64 = 90.0;
/// A worker is drained only for a task that takes more than this share of it.
const DRAIN_MIN_SHARE: f64 = 0.5;
/// Added to every cost, so that the value counts where little is lost.
const BASE_COST: f64 = 1.0;
/// Values below this count as this much.
const MIN_VALUE: f64 = 1e-12;
/// A task that has run past its estimate is taken to run on for this share of it.
const OVERRUN_SHARE: f64 = 0.2;

/// A worker on which room can be made for a task by stops.
struct Choice {
    /// What is lost for each unit of value gained.
    cost: f64,
    worker: u32,
    victims: Vec<InstanceId>,
}

impl Choice {
    /// The best last.
    fn compare(&self, other: &Self) -> Ordering {
        other
            .cost
            .total_cmp(&self.cost)
            .then(other.worker.cmp(&self.worker))
    }
}

impl Core {
    /// Preempts lower work for up to `limit` tasks of a job, where that costs least. Returns for
    /// how many. Each worker is looked at once, and again only after something was stopped there.
    pub(super) fn reserve_by_preempting(&mut self, ix: u32, limit: u32) -> u32 {
        if limit == 0 || !self.outranks_any(ix) {
            return 0;
        }
        let mut choices = self.preemption_choices(ix);
        let mut by_zone = self.reserved_by_zone(ix);
        let mut reserved = 0;
        while reserved < limit
            && let Some(best) = choices.pop()
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
            if let Some(again) = self.preemption_choice(ix, m) {
                let at = choices.partition_point(|choice| choice.compare(&again).is_lt());
                choices.insert(at, again);
            }
        }
        reserved
    }

    /// The workers of the job's best tier on which something has to be stopped for a task, the best
    /// last.
    fn preemption_choices(&self, ix: u32) -> Vec<Choice> {
        let tier = self.best_tier(ix);
        let mut choices: Vec<Choice> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m) && self.in_tier(ix, m, tier))
            .filter_map(|m| self.preemption_choice(ix, m))
            .collect();
        choices.sort_by(Choice::compare);
        choices
    }

    /// What would have to be stopped on a worker for one task, if anything.
    fn preemption_choice(&self, ix: u32, m: u32) -> Option<Choice> {
        if !self.room_can_be_made(ix, m) {
            return None;
        }
        let preemption = self.victims(ix, m)?;
        // A costlier stop is worth it where the image is at hand.
        let value = self.value(ix, m).max(MIN_VALUE);
        (!preemption.victims.is_empty()).then_some(Choice {
            cost: (preemption.cost + BASE_COST) / value,
            worker: m,
            victims: preemption.victims,
        })
    }

    /// Stops victims on a worker, and reserves room for one task of a job there.
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
                "preempting"
            );
            self.stop_gracefully(m, *key);
        }
        self.reserve(
            m,
            ix,
            PREEMPTION_RESERVATION_S + self.longest_stop_grace_s(victims),
        );
    }

    /// Keeps a worker free of new work until a task fits that needs much of it. Returns whether
    /// there is such a worker.
    pub(super) fn reserve_by_draining(&mut self, ix: u32) -> bool {
        let needs = self.jobs[ix].spec.needs;
        let soonest = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.reservable(ix, m))
            .filter(|&m| self.workers[m].reservations.is_empty())
            .filter(|&m| {
                let instance_type = self.types.get(self.workers[m].kind);
                instance_type.is_some_and(|t| needs.share_of(&t.whole) > DRAIN_MIN_SHARE)
            })
            .filter_map(|m| self.seconds_until_room(&needs, m).map(|in_s| (m, in_s)))
            .min_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let Some((m, _)) = soonest else {
            return false;
        };
        self.reserve(m, ix, DRAIN_RESERVATION_S);
        true
    }

    /// Seconds until enough has ended by itself on a worker, as far as estimates tell.
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
                let left_s = (job.work_s() - ran_s).max(job.work_s() * OVERRUN_SHARE);
                (left_s, job.spec.needs)
            })
            .collect();
        ends.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut drained_in_s = 0.0;
        for (end_s, frees) in ends {
            if needs.fits_in(&room) {
                break;
            }
            room.add(&frees);
            drained_in_s = end_s;
        }
        needs.fits_in(&room).then_some(drained_in_s)
    }
}
