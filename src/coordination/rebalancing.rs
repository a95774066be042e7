//! Migration of service replicas off workers that large tasks wait for.
//!
//! A replica stays on the worker on which it started. Some start on the largest workers because
//! nothing else is free, in the first seconds of a site or after the loss of a zone. Without this
//! module, a third of the largest workers ended up holding one or two replicas each while large
//! tasks waited. A replica is migrated only to a worker on which resources are reserved for it, so
//! its downtime is about a second plus the time to fetch its image.

use super::model::*;
use super::state::{Core, MIN_RUN_BEFORE_MIGRATION_S};

/// The average share of all replicas that may be down for migrations at a time. Without this limit,
/// eighty migrations in half a minute cost more replica time than the loss of a leader. Migrating
/// only to workers that have the image is no alternative, as it leaves gangs without workers.
const MAX_SHARE_DOWN: f64 = 0.002;
/// Lower bound of the average number of replicas that may be down, for small sites.
const MIN_REPLICAS_DOWN: f64 = 0.5;
/// Downtime of a migration in addition to the image fetch.
const MIGRATION_DOWNTIME_S: f64 = 1.0;
/// For how many seconds unused downtime accumulates in the budget.
const MAX_ACCUMULATION_S: f64 = 30.0;
/// Jobs that have waited for no longer than this do not cause migrations.
const MIN_WAIT_S: f64 = 1.0;

/// A planned migration of a replica to the worker `to`, where the victims are preempted for it.
struct ReplicaMigration {
    id: InstanceId,
    to: u32,
    victims: Vec<InstanceId>,
}

/// A worker to which a replica can migrate.
struct Target {
    /// Index of the worker.
    worker_index: u32,
    fetch_s: f64,
    preemption_cost: f64,
    victims: Vec<InstanceId>,
}

impl Core {
    /// Runs once a second: migrates replicas off workers for which large tasks wait.
    pub(super) fn rebalance_replicas(&mut self) {
        self.refill_downtime_budget();
        for profile in 0..self.large_task_profiles.len() as u32 {
            let mut missing = self.missing_workers(profile);
            if missing == 0 {
                continue;
            }
            let mut candidates: Vec<(usize, u32)> = self
                .workers
                .indices()
                .into_iter()
                .filter_map(|worker_index| {
                    Some((
                        self.blocking_replicas(profile, worker_index)?.len(),
                        worker_index,
                    ))
                })
                .collect();
            candidates.sort_unstable();
            for (_, worker_index) in candidates {
                if missing == 0 || self.replica_downtime_budget_s <= 0.0 {
                    break;
                }
                if self.migrate_replicas_off(profile, worker_index) {
                    missing -= 1;
                }
            }
        }
    }

    /// Adds one second's allowance to the downtime budget of the replicas.
    fn refill_downtime_budget(&mut self) {
        let services = self.jobs.iter().filter(|(_, job)| job.is_service());
        let replicas: u32 = services.map(|(_, job)| job.active).sum();
        let allowed_down = MIN_REPLICAS_DOWN.max(f64::from(replicas) * MAX_SHARE_DOWN);
        let budget_s = self.replica_downtime_budget_s + allowed_down;
        self.replica_downtime_budget_s = budget_s.min(allowed_down * MAX_ACCUMULATION_S);
    }

    /// Returns how many workers the waiting tasks of a profile need beyond those reserved for it.
    fn missing_workers(&self, profile: u32) -> usize {
        let waiting: usize = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.large_task_profile == Some(profile) && job.state == JobState::Live
            })
            .filter(|(_, job)| {
                job.unplaced_since
                    .is_some_and(|since| self.now - since > MIN_WAIT_S)
            })
            .map(|(_, job)| job.waiting() as usize)
            .sum();
        let reserved = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.reserved_for == Some(profile))
            .count();
        waiting.saturating_sub(reserved)
    }

    /// Returns the replicas that must leave a worker so that a task of the profile fits once all
    /// other tasks there have ended. `None` if there are none, if one of them may not migrate, or
    /// if the worker is not eligible.
    fn blocking_replicas(&self, profile: u32, worker_index: u32) -> Option<Vec<InstanceId>> {
        let profile = &self.large_task_profiles[profile as usize];
        let worker = &self.workers[worker_index];
        if !self.worker_usable(worker_index)
            || !self.worker_suits_profile(profile, worker_index)
            || !worker.reservations.is_empty()
            || worker.reserved_for.is_some()
        {
            return None;
        }
        let mut available = self.types.get(worker.instance_type)?.capacity;
        let mut replicas = Vec::new();
        let instances = worker.instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
            let job = &self.jobs[id.job];
            if job.is_service() {
                available.sub(&job.spec.needs);
                replicas.push((*id, instance));
            }
        }
        let mut blocking = Vec::new();
        for (id, instance) in replicas {
            if profile.needs.fits_in(&available) {
                break;
            }
            if !self.replica_may_migrate(id, instance) {
                return None;
            }
            available.add(&self.jobs[id.job].spec.needs);
            blocking.push(id);
        }
        (!blocking.is_empty() && profile.needs.fits_in(&available)).then_some(blocking)
    }

    /// Returns whether a replica may be migrated: it has run for a while, is not being stopped, and
    /// its job is not pinned.
    fn replica_may_migrate(&self, id: InstanceId, instance: &TaskInstance) -> bool {
        let running_since = instance.running_since;
        let ran_long_enough =
            running_since.is_some_and(|since| self.now - since > MIN_RUN_BEFORE_MIGRATION_S);
        instance.stop.is_none() && ran_long_enough && !self.jobs[id.job].pinned
    }

    /// Migrates either all replicas that block a worker or none, and returns whether it did.
    fn migrate_replicas_off(&mut self, profile: u32, worker_index: u32) -> bool {
        let Some(migrations) = self.plan_replica_migrations(profile, worker_index) else {
            return false;
        };
        for ReplicaMigration { id, to, victims } in migrations {
            tracing::info!(
                job = %self.jobs[id.job].spec.id,
                from = self.workers[worker_index].name,
                to = self.workers[to].name,
                "replica migrated off a whole worker"
            );
            self.replica_downtime_budget_s -= MIGRATION_DOWNTIME_S + self.fetch_s(id.job, to);
            self.preempt_and_reserve(id.job, to, &victims);
            self.stop_instance(worker_index, id, 0.0);
        }
        self.workers[worker_index].reserved_for = Some(profile);
        true
    }

    /// Returns a target for each replica that blocks a worker, or `None` if one of them has no
    /// target.
    fn plan_replica_migrations(
        &self,
        profile: u32,
        worker_index: u32,
    ) -> Option<Vec<ReplicaMigration>> {
        let mut migrations: Vec<ReplicaMigration> = Vec::new();
        for id in self.blocking_replicas(profile, worker_index)? {
            let is_taken = |to: u32| migrations.iter().any(|other| other.to == to);
            let target = self.cheapest_target(id, worker_index, is_taken)?;
            migrations.push(ReplicaMigration {
                id,
                to: target.worker_index,
                victims: target.victims,
            });
        }
        Some(migrations)
    }

    /// Returns the worker to which a replica can migrate with the shortest image fetch. Among
    /// equals, the one with the lowest preemption cost is chosen.
    fn cheapest_target(
        &self,
        id: InstanceId,
        from: u32,
        is_taken: impl Fn(u32) -> bool,
    ) -> Option<Target> {
        let workers = self.workers.indices().into_iter();
        workers
            .filter(|&worker_index| {
                worker_index != from
                    && !is_taken(worker_index)
                    && self.workers[worker_index].reservations.is_empty()
            })
            .filter(|&worker_index| self.can_host_replica(id.job, from, worker_index))
            .filter_map(|worker_index| self.replica_target(id.job, worker_index))
            .min_by(|a, b| {
                a.fetch_s
                    .total_cmp(&b.fetch_s)
                    .then(a.preemption_cost.total_cmp(&b.preemption_cost))
                    .then(a.worker_index.cmp(&b.worker_index))
            })
    }

    /// Returns whether a job's replica on the worker `from` may run on another worker instead.
    fn can_host_replica(&self, job_index: u32, from: u32, worker_index: u32) -> bool {
        let zone = self.workers[worker_index].zone;
        // Within its own zone the replica does not add to the zone's instances.
        let same_zone = zone == self.workers[from].zone;
        self.worker_usable(worker_index)
            && self.worker_allowed(job_index, worker_index)
            && (same_zone || self.zone_allows(job_index, zone))
            && !self.fragments_worker(job_index, worker_index)
    }

    /// Returns a worker as a target if the replica fits on it, either at once or after preempting
    /// tasks that belong to no gang.
    fn replica_target(&self, job_index: u32, worker_index: u32) -> Option<Target> {
        let preemption = self.select_victims(job_index, worker_index)?;
        let preempts_gang = preemption
            .victims
            .iter()
            .any(|id| self.jobs[id.job].is_gang());
        (!preempts_gang).then(|| Target {
            worker_index,
            fetch_s: self.fetch_s(job_index, worker_index),
            preemption_cost: preemption.cost,
            victims: preemption.victims,
        })
    }
}
