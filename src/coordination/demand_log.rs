//! Logs supply and demand at debug level, to help find the cause of delays.

use std::collections::BTreeMap;

use crate::protocol::job::Resources;

use super::model::*;
use super::state::Core;

/// Numbers of live jobs of one class and of their tasks.
#[derive(Default)]
struct Demand {
    jobs: u32,
    waiting: u32,
    placed: u32,
    running: u32,
}

/// Numbers of workers of one instance type in one zone, either spot or not.
#[derive(Default)]
struct Supply {
    all: u32,
    usable: u32,
    empty: u32,
    with_gangs: u32,
    with_replicas: u32,
    reserved_for_profile: u32,
    with_reservations: u32,
}

impl Core {
    /// Logs the demand of each class and the supply of workers.
    pub(super) fn log_demand(&self) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        for (class, demand) in self.demand() {
            tracing::debug!(
                class,
                jobs = demand.jobs,
                waiting = demand.waiting,
                placed = demand.placed,
                running = demand.running,
                "demand"
            );
        }
        for ((instance_type, zone, spot), supply) in self.supply() {
            tracing::debug!(
                kind = self.types.names.name(instance_type),
                zone = self.zones.name(zone),
                spot,
                all = supply.all,
                usable = supply.usable,
                empty = supply.empty,
                gangs = supply.with_gangs,
                replicas = supply.with_replicas,
                kept = supply.reserved_for_profile,
                reserved = supply.with_reservations,
                "supply"
            );
        }
    }

    /// Returns the demand by class.
    fn demand(&self) -> BTreeMap<&str, Demand> {
        let mut classes: BTreeMap<&str, Demand> = BTreeMap::new();
        for (_, job) in self
            .jobs
            .iter()
            .filter(|(_, job)| job.state == JobState::Live)
        {
            let demand = classes.entry(&job.spec.class).or_default();
            demand.jobs += 1;
            demand.waiting += job.waiting();
            demand.placed += job.active - job.running.min(job.active);
            demand.running += job.running;
        }
        classes
    }

    /// Returns the supply by instance type, zone and whether the workers are spot workers.
    fn supply(&self) -> BTreeMap<(u32, u32, bool), Supply> {
        let mut pools: BTreeMap<(u32, u32, bool), Supply> = BTreeMap::new();
        for (worker_index, worker) in self.workers.iter() {
            let pool = (worker.instance_type, worker.zone, worker.spot);
            let supply = pools.entry(pool).or_default();
            let usable = self.worker_usable(worker_index);
            supply.all += 1;
            supply.usable += u32::from(usable);
            supply.empty += u32::from(usable && worker.used == Resources::default());
            supply.with_gangs += u32::from(self.holds_any(worker, Job::is_gang));
            supply.with_replicas += u32::from(self.holds_any(worker, Job::is_service));
            supply.reserved_for_profile += u32::from(worker.reserved_for.is_some());
            supply.with_reservations += u32::from(!worker.reservations.is_empty());
        }
        pools
    }

    /// Returns whether a worker may hold a task of a job that passes the test.
    fn holds_any(&self, worker: &Worker, test: fn(&Job) -> bool) -> bool {
        let mut instances = worker.instances.iter().filter(|(_, i)| i.may_exist());
        instances.any(|(id, _)| test(&self.jobs[id.job]))
    }
}
