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
    pub(super) fn make_room_for_gang(&mut self, ix: u32) -> bool {
        if self.jobs[ix].active > 0 {
            return false;
        }
        let Some(plan) = self.cheapest_gang_plan(ix) else {
            return false;
        };
        let graces = plan
            .placements
            .iter()
            .map(|p| self.longest_stop_grace_s(&p.victims));
        let reservation_s = PREEMPTION_RESERVATION_S + graces.fold(0.0, f64::max);
        for GangPlacement {
            worker: m, victims, ..
        } in plan.placements
        {
            for key in victims {
                self.stop_instance(m, key, self.stop_grace_s(key.job));
            }
            if self.workers[m].reservations.is_empty() {
                self.reserve(m, ix, reservation_s);
            } else {
                self.renew_reservation(m, ix, reservation_s);
            }
        }
        true
    }

    /// The cheapest plan over all zones that the gang may use.
    fn cheapest_gang_plan(&self, ix: u32) -> Option<GangPlan> {
        if !self.jobs[ix].spec.one_zone {
            return self.gang_plan(ix, None);
        }
        let mut best: Option<GangPlan> = None;
        for zone in 0..self.zones.len() as u32 {
            if let Some(plan) = self.gang_plan(ix, Some(zone))
                && best.as_ref().is_none_or(|best| plan.cost < best.cost)
            {
                best = Some(plan);
            }
        }
        best
    }

    /// The cheapest workers for all tasks of a gang, in the given zone if there is one.
    fn gang_plan(&self, ix: u32, zone: Option<u32>) -> Option<GangPlan> {
        let tasks = self.jobs[ix].spec.tasks as usize;
        let mut placements: Vec<GangPlacement> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| zone.is_none_or(|zone| self.workers[m].zone == zone))
            .filter(|&m| self.reservable(ix, m))
            .filter_map(|m| self.gang_placement(ix, m))
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
    fn gang_placement(&self, ix: u32, m: u32) -> Option<GangPlacement> {
        match self.workers[m].reservations.as_slice() {
            [] => self.select_victims(ix, m).map(|preemption| GangPlacement {
                cost: preemption.cost,
                worker: m,
                victims: preemption.victims,
            }),
            // Already reserved for this gang, so nothing is stopped.
            [own] if own.job == ix => Some(GangPlacement {
                cost: 0.0,
                worker: m,
                victims: Vec::new(),
            }),
            _ => None,
        }
    }
}
