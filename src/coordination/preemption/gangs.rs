//! Preemption for gangs, which need room for all their tasks at once.

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::PREEMPTION_RESERVATION_S;

/// A worker for one task of the gang, and the task instances to stop there.
struct GangPlacement {
    cost: f64,
    worker: u32,
    victims: Vec<InstanceId>,
}

/// A worker for each task of a gang, and the total cost of the stops.
struct GangPlan {
    cost: f64,
    placements: Vec<GangPlacement>,
}

impl Core {
    /// Makes room for all tasks of a gang by stopping lower-priority tasks, on the workers (of one
    /// zone, if the gang needs that) where the least work is lost. Returns false if the gang still
    /// has running tasks or there is no such set of workers.
    pub(super) fn make_room_for_gang(&mut self, job_index: u32) -> bool {
        if self.jobs[job_index].active > 0 {
            return false;
        }
        let Some(plan) = self.cheapest_gang_plan(job_index) else {
            return false;
        };
        let graces = plan
            .placements
            .iter()
            .map(|p| self.longest_stop_grace_s(&p.victims));
        let reservation_s = PREEMPTION_RESERVATION_S + graces.fold(0.0, f64::max);
        for GangPlacement {
            worker: worker_index,
            victims,
            ..
        } in plan.placements
        {
            for id in victims {
                self.stop_instance(worker_index, id, self.stop_grace_s(id.job));
            }
            if self.workers[worker_index].reservations.is_empty() {
                self.reserve(worker_index, job_index, reservation_s);
            } else {
                self.renew_reservation(worker_index, job_index, reservation_s);
            }
        }
        true
    }

    /// The cheapest plan over all zones that the gang may use.
    fn cheapest_gang_plan(&self, job_index: u32) -> Option<GangPlan> {
        if !self.jobs[job_index].spec.one_zone {
            return self.gang_plan(job_index, None);
        }
        let mut best: Option<GangPlan> = None;
        for zone in 0..self.zones.len() as u32 {
            if let Some(plan) = self.gang_plan(job_index, Some(zone))
                && best.as_ref().is_none_or(|best| plan.cost < best.cost)
            {
                best = Some(plan);
            }
        }
        best
    }

    /// The cheapest workers for all tasks of a gang, in the given zone if there is one.
    fn gang_plan(&self, job_index: u32, zone: Option<u32>) -> Option<GangPlan> {
        let tasks = self.jobs[job_index].spec.tasks as usize;
        let mut placements: Vec<GangPlacement> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&worker_index| zone.is_none_or(|zone| self.workers[worker_index].zone == zone))
            .filter(|&worker_index| self.reservable(job_index, worker_index))
            .filter_map(|worker_index| self.gang_placement(job_index, worker_index))
            .collect();
        placements.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.worker.cmp(&b.worker)));
        if placements.len() < tasks {
            return None;
        }
        placements.truncate(tasks);
        Some(GangPlan {
            cost: placements.iter().map(|placement| placement.cost).sum(),
            placements,
        })
    }

    /// Room for one task of a gang on a worker without reservations for other jobs.
    fn gang_placement(&self, job_index: u32, worker_index: u32) -> Option<GangPlacement> {
        match self.workers[worker_index].reservations.as_slice() {
            [] => self
                .select_victims(job_index, worker_index)
                .map(|preemption| GangPlacement {
                    cost: preemption.cost,
                    worker: worker_index,
                    victims: preemption.victims,
                }),
            // Already reserved for this gang, so nothing is stopped.
            [own] if own.job == job_index => Some(GangPlacement {
                cost: 0.0,
                worker: worker_index,
                victims: Vec::new(),
            }),
            _ => None,
        }
    }
}
