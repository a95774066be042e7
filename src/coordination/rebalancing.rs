//! Migration of replicas off workers that whole-worker tasks wait for.
//!
//! A replica stays where it started. Some start on the largest workers, in the first seconds of a
//! site or after the loss of a zone, when there is no other room; later a third of those workers
//! were found held by a replica or two each while whole-worker tasks waited. A replica is migrated
//! only to a place that is reserved for it, so it is away for about a second, or for as long as its
//! image takes.

use super::model::*;
use super::state::{Core, MIN_RUN_BEFORE_MOVE_S};

/// The share of all replicas that may be away for migrations. Eighty migrations in half a minute
/// once cost more replica time than losing the leader did; migrating only to where the image is
/// leaves gangs without workers.
const MAX_AWAY_SHARE: f64 = 0.002;
/// How many replicas may be away on a small site.
const MIN_AWAY: f64 = 0.5;
/// How long a migration takes beside the fetch.
const MOVE_S: f64 = 1.0;
/// For how many seconds unused downtime is saved up.
const MAX_SAVED_S: f64 = 30.0;
/// Tasks that wait for no longer are not counted.
const MIN_WAIT_S: f64 = 1.0;

struct ReplicaMigration {
    id: InstanceId,
    to: u32,
    victims: Vec<InstanceId>,
}

/// A worker that a replica could migrate to.
struct Target {
    m: u32,
    fetch_s: f64,
    preemption_cost: f64,
    victims: Vec<InstanceId>,
}

impl Core {
    /// Once a second: frees workers for the whole-worker tasks that wait.
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
                .filter_map(|m| Some((self.blocking_replicas(profile, m)?.len(), m)))
                .collect();
            candidates.sort_unstable();
            for (_, m) in candidates {
                if missing == 0 || self.replica_downtime_budget_s <= 0.0 {
                    break;
                }
                if self.migrate_replicas_off(profile, m) {
                    missing -= 1;
                }
            }
        }
    }

    fn refill_downtime_budget(&mut self) {
        let services = self.jobs.iter().filter(|(_, job)| job.is_service());
        let replicas: u32 = services.map(|(_, job)| job.active).sum();
        let away = MIN_AWAY.max(f64::from(replicas) * MAX_AWAY_SHARE);
        let budget_s = self.replica_downtime_budget_s + away;
        self.replica_downtime_budget_s = budget_s.min(away * MAX_SAVED_S);
    }

    /// How many more workers the waiting tasks of a profile could take at once.
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

    /// The replicas that keep tasks of a profile off a worker, if nothing else does for good and all
    /// of them may be migrated.
    fn blocking_replicas(&self, profile: u32, m: u32) -> Option<Vec<InstanceId>> {
        let profile = &self.large_task_profiles[profile as usize];
        let worker = &self.workers[m];
        if !self.worker_usable(m)
            || !self.worker_suits_profile(profile, m)
            || !worker.reservations.is_empty()
            || worker.reserved_for.is_some()
        {
            return None;
        }
        let mut room = self.types.get(worker.kind)?.whole;
        let mut replicas = Vec::new();
        let instances = worker.instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
            let job = &self.jobs[id.job];
            if job.is_service() {
                room.sub(&job.spec.needs);
                replicas.push((*id, instance));
            }
        }
        let mut blocking = Vec::new();
        for (id, instance) in replicas {
            if profile.needs.fits_in(&room) {
                break;
            }
            if !self.replica_may_migrate(id, instance) {
                return None;
            }
            room.add(&self.jobs[id.job].spec.needs);
            blocking.push(id);
        }
        (!blocking.is_empty() && profile.needs.fits_in(&room)).then_some(blocking)
    }

    fn replica_may_migrate(&self, id: InstanceId, instance: &TaskInstance) -> bool {
        let running_since = instance.running_since;
        let settled = running_since.is_some_and(|since| self.now - since > MIN_RUN_BEFORE_MOVE_S);
        instance.stop.is_none() && settled && !self.jobs[id.job].pinned
    }

    /// Migrates all replicas that block a worker, or none. Returns whether it does.
    fn migrate_replicas_off(&mut self, profile: u32, m: u32) -> bool {
        let Some(migrations) = self.plan_replica_migrations(profile, m) else {
            return false;
        };
        for ReplicaMigration { id, to, victims } in migrations {
            tracing::info!(
                job = %self.jobs[id.job].spec.id,
                from = self.workers[m].name,
                to = self.workers[to].name,
                "replica migrated off a whole worker"
            );
            self.replica_downtime_budget_s -= MOVE_S + self.fetch_s(id.job, to);
            self.preempt_and_reserve(id.job, to, &victims);
            self.stop_instance(m, id, 0.0);
        }
        self.workers[m].reserved_for = Some(profile);
        true
    }

    /// A target for each replica that blocks a worker; `None` if one has no target.
    fn plan_replica_migrations(&self, profile: u32, m: u32) -> Option<Vec<ReplicaMigration>> {
        let mut migrations: Vec<ReplicaMigration> = Vec::new();
        for id in self.blocking_replicas(profile, m)? {
            let is_taken = |to: u32| migrations.iter().any(|other| other.to == to);
            let target = self.cheapest_target(id, m, is_taken)?;
            migrations.push(ReplicaMigration {
                id,
                to: target.m,
                victims: target.victims,
            });
        }
        Some(migrations)
    }

    /// The cheapest worker that could serve a replica as well, preferably one that has its image.
    fn cheapest_target(
        &self,
        id: InstanceId,
        from: u32,
        is_taken: impl Fn(u32) -> bool,
    ) -> Option<Target> {
        let workers = self.workers.indices().into_iter();
        workers
            .filter(|&m| m != from && !is_taken(m) && self.workers[m].reservations.is_empty())
            .filter(|&m| self.may_serve_replica(id.job, from, m))
            .filter_map(|m| self.replica_target(id.job, m))
            .min_by(|a, b| {
                a.fetch_s
                    .total_cmp(&b.fetch_s)
                    .then(a.preemption_cost.total_cmp(&b.preemption_cost))
                    .then(a.m.cmp(&b.m))
            })
    }

    fn may_serve_replica(&self, ix: u32, from: u32, m: u32) -> bool {
        let zone = self.workers[m].zone;
        // Within its zone a replica takes its own place.
        let same_zone = zone == self.workers[from].zone;
        self.worker_usable(m)
            && self.worker_allowed(ix, m)
            && (same_zone || self.zone_allows(ix, zone))
            && !self.fragments_worker(ix, m)
    }

    /// A worker as a target, if it has room or has it by preempting tasks that are no gang's.
    fn replica_target(&self, ix: u32, m: u32) -> Option<Target> {
        let preemption = self.select_victims(ix, m)?;
        let breaks_gang = preemption
            .victims
            .iter()
            .any(|id| self.jobs[id.job].is_gang());
        (!breaks_gang).then(|| Target {
            m,
            fetch_s: self.fetch_s(ix, m),
            preemption_cost: preemption.cost,
            victims: preemption.victims,
        })
    }
}
