//! Builds the input of `copperfield_defrag`: the cluster, and the job that waits for workers.

use std::collections::BTreeMap;

use copperfield_defrag as defrag;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::cloud::MachineType;

use super::{ENDS_SOON_S, MIGRATION_OVERHEAD_S};

const SECONDS_PER_HOUR: f64 = 3600.0;

/// The planner's input, and the workers and instances that its indices refer to.
#[derive(Default)]
pub(super) struct ClusterView {
    pub(super) fleet: defrag::Fleet,
    /// The worker of each index into `fleet.workers`.
    pub(super) workers: Vec<u32>,
    /// The instance of each index into `fleet.instances`.
    pub(super) instances: Vec<InstanceId>,
}

/// The places that a job still lacks. A place is room for one task on a worker.
pub(super) struct MissingPlaces<'a> {
    pub(super) tasks: u32,
    /// The workers that are secured for the job, see [`Core::secured_workers`].
    pub(super) secured: &'a [u32],
    /// All tasks of the job must start together.
    pub(super) gang: bool,
    /// In how many seconds the places are expected to come free without migrations.
    pub(super) comes_free_in_s: f64,
}

impl Core {
    /// The workers that are reserved for a job and will have room for it: either migrations off
    /// them are under way for the job, or enough of their tasks end soon. Other reservations only
    /// keep new tasks off a worker until the current ones end, which may take longer than
    /// migrations.
    pub(super) fn secured_workers(&self, job_index: u32) -> Vec<u32> {
        let job = &self.jobs[job_index];
        let is_being_freed = |worker_index: u32| {
            let mut live = self.migrations.live();
            live.any(|migration| {
                migration.wanted_by == Some(job.spec.id)
                    && migration.from == self.workers[worker_index].name
            })
        };
        let is_reserved = |worker_index: &u32| {
            let reservations = &self.workers[*worker_index].reservations;
            reservations
                .iter()
                .any(|reservation| reservation.job == job_index)
        };
        let mut workers = self.workers.indices();
        workers.retain(is_reserved);
        workers.retain(|&worker_index| {
            let room_in_s = self.seconds_until_room(&job.spec.needs, worker_index);
            is_being_freed(worker_index) || room_in_s.is_some_and(|s| s <= ENDS_SOON_S)
        });
        workers
    }

    /// In how many seconds a job is expected to have its places without any migration; infinite if
    /// that is not foreseen.
    pub(super) fn comes_free_in_s(&self, job_index: u32, places: usize) -> f64 {
        let job = &self.jobs[job_index];
        let mut by_zone: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
        for worker_index in self.workers.indices() {
            let is_own = |reservation: &Reservation| reservation.job == job_index;
            if self.reservable(job_index, worker_index)
                && self.workers[worker_index].reservations.iter().all(is_own)
                && let Some(room_in_s) = self.seconds_until_room(&job.spec.needs, worker_index)
            {
                let zone = if job.spec.one_zone {
                    self.workers[worker_index].zone
                } else {
                    0
                };
                by_zone.entry(zone).or_default().push(room_in_s);
            }
        }
        let last_place = by_zone.into_values().filter_map(|mut times| {
            times.sort_by(f64::total_cmp);
            times.get(places.saturating_sub(1)).copied()
        });
        last_place.fold(f64::INFINITY, f64::min)
    }

    /// The waiting job as input of the planner; `None` if no known instance type suits it. The
    /// value of a place is that of the waiting time that it saves.
    pub(super) fn waiting_job_for_planner(
        &self,
        job_index: u32,
        missing: &MissingPlaces,
    ) -> Option<defrag::WaitingJob> {
        let job = &self.jobs[job_index];
        let settings = &self.config.tuning.defragmentation;
        let place_price = self.cheapest_place_price(job_index)?;
        let mut placed_by_zone = job.instances_by_zone.clone();
        placed_by_zone.resize(self.zones.len(), 0);
        for &worker_index in missing.secured {
            placed_by_zone[self.workers[worker_index].zone as usize] += 1;
        }
        let saved_s = settings.max_saved_wait_s.min(missing.comes_free_in_s);
        Some(defrag::WaitingJob {
            needs: job.spec.needs,
            priority: job.spec.priority as u8,
            tasks: missing.tasks,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            placed_by_zone,
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            gang: missing.gang,
            place_value: self.weight(job_index) * place_price * saved_s,
        })
    }

    /// The price per second of the cheapest place for a task of a job.
    fn cheapest_place_price(&self, job_index: u32) -> Option<f64> {
        let job = &self.jobs[job_index];
        let needs = &job.spec.needs;
        let running_price_factor = self.config.tuning.running_price_factor;
        let is_allowed = |instance_type: &u32| {
            job.types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(instance_type))
        };
        (0u32..)
            .zip(&self.types.descriptions)
            .filter(|(instance_type, _)| is_allowed(instance_type))
            .filter_map(|(_, instance_type)| instance_type.as_ref())
            .filter(|instance_type| needs.fits_in(&instance_type.capacity))
            .map(|instance_type| {
                instance_type.price / SECONDS_PER_HOUR
                    * running_price_factor
                    * needs.dominant_share_of(&instance_type.capacity)
            })
            .reduce(f64::min)
    }

    /// The limits of a plan that is made now.
    pub(super) fn plan_limits(&self) -> defrag::Limits {
        let max_migrations = self.config.tuning.defragmentation.max_migrations as usize;
        defrag::Limits {
            max_migrations: max_migrations.saturating_sub(self.migrations.live().count()),
            ends_soon_s: ENDS_SOON_S,
            migration_overhead_s: MIGRATION_OVERHEAD_S,
        }
    }

    /// The cluster as input of the planner: for a waiting job and the workers secured for it, or,
    /// if `waiting_job` is `None`, for a draining worker.
    pub(super) fn cluster_view(&self, waiting_job: Option<u32>, secured: &[u32]) -> ClusterView {
        let mut view = ClusterView::default();
        let migrating = self.migrations.live_by_job();
        let mut planner_job_by_job: BTreeMap<u32, u32> = BTreeMap::new();
        let mut avoided_by_job: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        for (worker_index, worker) in self.workers.iter() {
            let Some(instance_type) = self.types.get(worker.instance_type) else {
                continue;
            };
            let at = view.workers.len() as u32;
            view.workers.push(worker_index);
            let planner_worker =
                self.worker_for_planner(worker_index, instance_type, waiting_job, secured);
            view.fleet.workers.push(planner_worker);
            let failed = worker.failed_jobs.iter();
            for (&job_index, _) in failed.filter(|(_, until)| **until > self.now) {
                avoided_by_job.entry(job_index).or_default().push(at);
            }
            let instances = worker.instances.iter();
            for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
                let job = *planner_job_by_job.entry(id.job).or_insert_with(|| {
                    let migrating = migrating.get(&self.jobs[id.job].spec.id).copied();
                    let job = self.job_for_planner(id.job, migrating.unwrap_or(0));
                    view.fleet.jobs.push(job);
                    view.fleet.jobs.len() as u32 - 1
                });
                let estimate = self.estimate_instance(id, instance);
                let lost_s = estimate.lost_s;
                view.fleet.instances.push(defrag::TaskInstance {
                    worker: at,
                    job,
                    movable: self.may_migrate(id, instance, lost_s, worker.draining),
                    ends_in_s: estimate.ends_in_s,
                    lost_s,
                });
                view.instances.push(*id);
            }
        }
        for (job_index, workers) in avoided_by_job {
            if let Some(&job) = planner_job_by_job.get(&job_index) {
                view.fleet.jobs[job as usize].avoided_workers = workers;
            }
        }
        view
    }

    fn worker_for_planner(
        &self,
        worker_index: u32,
        instance_type: &MachineType,
        waiting_job: Option<u32>,
        secured: &[u32],
    ) -> defrag::Worker {
        let worker = &self.workers[worker_index];
        let large_task_profile =
            waiting_job.and_then(|job_index| self.jobs[job_index].large_task_profile);
        let usable = self.worker_usable(worker_index);
        let reserved_for = worker.reserved_for;
        let reserved_for_job = reserved_for.is_some() && reserved_for == large_task_profile;
        let is_unsecured = |reservation: &Reservation| {
            Some(reservation.job) == waiting_job && !secured.contains(&worker_index)
        };
        let available = worker.reservations.iter().all(is_unsecured);
        let price = if worker.spot {
            instance_type.spot_price
        } else {
            instance_type.price * self.config.tuning.running_price_factor
        };
        defrag::Worker {
            zone: worker.zone,
            kind: worker.instance_type,
            spot: worker.spot,
            usable,
            freeable: usable && available && (reserved_for_job || reserved_for.is_none()),
            capacity: instance_type.capacity,
            room: match waiting_job.filter(|_| available) {
                Some(job_index) => self.available_resources(worker_index, job_index),
                None => self.available_resources(worker_index, u32::MAX),
            },
            price: price / SECONDS_PER_HOUR,
            fetch_gb_per_s: instance_type.fetch_gb_per_s,
            images: worker.images.clone(),
            preemptible: self.preemptible(worker_index, instance_type, price / SECONDS_PER_HOUR),
        }
    }

    /// The tasks on a worker that may be preempted, the cheapest first. The cost is the value of
    /// the work that a stop loses, in the same money as the cost of migrations.
    fn preemptible(
        &self,
        worker_index: u32,
        instance_type: &MachineType,
        price: f64,
    ) -> Vec<defrag::Preemptible> {
        let instances = self.workers[worker_index].instances.iter();
        let stoppable = instances.filter(|(id, instance)| {
            instance.may_exist() && instance.stop.is_none() && !self.is_multi_task_gang(id.job)
        });
        let mut preemptible: Vec<defrag::Preemptible> = stoppable
            .map(|(id, instance)| {
                let spec = &self.jobs[id.job].spec;
                let lost_s = self.estimate_instance(id, instance).lost_s;
                let share = spec.needs.dominant_share_of(&instance_type.capacity);
                defrag::Preemptible {
                    priority: spec.priority as u8,
                    needs: spec.needs,
                    cost: self.weight(id.job) * price * share * (lost_s + MIGRATION_OVERHEAD_S),
                }
            })
            .collect();
        preemptible.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        preemptible
    }

    fn job_for_planner(&self, job_index: u32, migrating: u32) -> defrag::Job {
        let job = &self.jobs[job_index];
        let max_migrating_share = self.config.tuning.defragmentation.max_migrating_share;
        let gang = self.is_multi_task_gang(job_index);
        let max_migrating = if gang {
            job.spec.tasks
        } else {
            (f64::from(job.active) * max_migrating_share)
                .floor()
                .max(1.0) as u32
        };
        defrag::Job {
            needs: job.spec.needs,
            priority: job.spec.priority as u8,
            weight: self.weight(job_index),
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            instances_by_zone: job.instances_by_zone.clone(),
            image: job.image,
            image_gb: job.spec.image_gb,
            gang,
            migration_budget: max_migrating.saturating_sub(migrating),
            avoided_workers: Vec::new(),
        }
    }
}
