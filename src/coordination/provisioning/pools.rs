//! Capacity pools of the cloud, and the choice of the pool in which a worker is requested.

use std::cmp::Ordering;

use crate::coordination::state::Core;

use super::scale_out::ScaleOutPlan;
use super::zones::ZoneHealth;

/// A capacity pool of the cloud: workers of one instance type in one zone, either spot or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CapacityPool {
    /// Index of the instance type.
    pub(super) instance_type: u32,
    /// Index of the zone.
    pub(super) zone: u32,
    /// Whether its workers are spot workers, which the cloud may reclaim.
    pub(super) spot: bool,
}

impl Core {
    /// Returns the pool to request a worker from for a task of the job. Zones that are certainly
    /// reachable come first, then the pool in which the task costs least. Among pools of equal cost,
    /// the one with the fewest planned workers is chosen, which spreads workers over the zones.
    pub(super) fn cheapest_pool(
        &self,
        job_index: u32,
        plan: &ScaleOutPlan,
    ) -> Option<CapacityPool> {
        self.pools_for(job_index)
            .into_iter()
            .filter(|pool| self.may_request(*pool, plan))
            .min_by(|a, b| self.compare_pools(job_index, plan, a, b))
    }

    /// Orders two pools by preference for a task of the job.
    fn compare_pools(
        &self,
        job_index: u32,
        plan: &ScaleOutPlan,
        a: &CapacityPool,
        b: &CapacityPool,
    ) -> Ordering {
        let unknown = |pool: &CapacityPool| self.zone_health(pool.zone) == ZoneHealth::Unknown;
        let cost = |pool: &CapacityPool| self.task_cost(job_index, *pool);
        let planned = |pool: &CapacityPool| plan.wanted.get(pool).copied().unwrap_or(0);
        unknown(a)
            .cmp(&unknown(b))
            .then_with(|| cost(a).total_cmp(&cost(b)))
            .then_with(|| planned(a).cmp(&planned(b)))
    }

    /// Returns the pools whose workers a task of the job fits on and may run on.
    fn pools_for(&self, job_index: u32) -> Vec<CapacityPool> {
        let job = &self.jobs[job_index];
        let mut pools = Vec::new();
        for (instance_type, described) in (0u32..).zip(&self.types.descriptions) {
            let Some(described) = described else { continue };
            if !job.allows_type(instance_type) || !job.spec.needs.fits_in(&described.capacity) {
                continue;
            }
            for zone in 0..self.zones.len() as u32 {
                let offered = described.zones.iter().any(|z| z == self.zones.name(zone));
                if !offered || !self.job_allows_zone(job_index, zone) {
                    continue;
                }
                let pool = |spot| CapacityPool {
                    instance_type,
                    zone,
                    spot,
                };
                pools.extend(job.spec.spot.then(|| pool(true)));
                pools.push(pool(false));
            }
        }
        pools
    }

    /// Returns the price of the share of a worker of the pool that a task of the job takes.
    fn task_cost(&self, job_index: u32, pool: CapacityPool) -> f64 {
        let Some(described) = self.types.get(pool.instance_type) else {
            return f64::MAX;
        };
        let needs = &self.jobs[job_index].spec.needs;
        let price = if pool.spot {
            described.spot_price
        } else {
            described.price
        };
        price * needs.dominant_share_of(&described.capacity)
    }

    /// Returns whether one more worker of the pool may be requested: the pool must not have lacked
    /// capacity or refused a request recently, and the zone must not be unresponsive.
    fn may_request(&self, pool: CapacityPool, plan: &ScaleOutPlan) -> bool {
        let avoided_until = &self.provisioning.avoided_until;
        !avoided_until.contains_key(&pool)
            && match self.zone_health(pool.zone) {
                ZoneHealth::Responsive => true,
                ZoneHealth::Unresponsive => false,
                // One worker at a time, until one of them shows that the zone is reachable.
                ZoneHealth::Unknown => !plan.has_workers_in(pool.zone),
            }
    }

    /// Returns whether another task of the job may run in this zone.
    pub(super) fn job_allows_zone(&self, job_index: u32, zone: u32) -> bool {
        self.jobs[job_index]
            .zone
            .is_none_or(|required| required == zone)
            && self.zone_allows(job_index, zone)
    }
}
