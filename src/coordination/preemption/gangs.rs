//! Room for a gang: all its tasks need it at once.

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::PREEMPTION_RESERVATION_S;

/// What is stopped on one worker for a task of the gang.
struct Place {
    cost: f64,
    worker: u32,
    victims: Vec<InstanceId>,
}

/// Where all tasks of a gang find room.
struct GangPlan {
    cost: f64,
    places: Vec<Place>,
}

impl Core {
    /// For a gang of several tasks: in the zone where least is lost, all lower tasks in the way are
    /// stopped, worker by worker, until all tasks fit. Returns whether there is such a zone.
    pub(super) fn make_room_for_gang(&mut self, ix: u32) -> bool {
        if self.jobs[ix].active > 0 {
            return false;
        }
        let Some(plan) = self.cheapest_gang_plan(ix) else {
            return false;
        };
        let graces = plan
            .places
            .iter()
            .map(|p| self.longest_stop_grace_s(&p.victims));
        let reservation_s = PREEMPTION_RESERVATION_S + graces.fold(0.0, f64::max);
        for Place {
            worker: m, victims, ..
        } in plan.places
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

    /// The cheapest workers for all tasks of a gang, of one zone if one is given.
    fn gang_plan(&self, ix: u32, zone: Option<u32>) -> Option<GangPlan> {
        let tasks = self.jobs[ix].spec.tasks as usize;
        let mut places: Vec<Place> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| zone.is_none_or(|zone| self.workers[m].zone == zone))
            .filter(|&m| self.reservable(ix, m))
            .filter_map(|m| self.gang_place(ix, m))
            .collect();
        places.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.worker.cmp(&b.worker)));
        if places.len() < tasks {
            return None;
        }
        places.truncate(tasks);
        Some(GangPlan {
            cost: places.iter().map(|place| place.cost).sum(),
            places,
        })
    }

    /// Room for one task of a gang on a worker that is reserved for no other job.
    fn gang_place(&self, ix: u32, m: u32) -> Option<Place> {
        match self.workers[m].reservations.as_slice() {
            [] => self.victims(ix, m).map(|preemption| Place {
                cost: preemption.cost,
                worker: m,
                victims: preemption.victims,
            }),
            // Gathered already.
            [own] if own.job == ix => Some(Place {
                cost: 0.0,
                worker: m,
                victims: Vec::new(),
            }),
            _ => None,
        }
    }
}
