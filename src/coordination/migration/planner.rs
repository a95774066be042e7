//! The cluster as `copperfield_defrag` sees it, and what a waiting job wants of it.

use std::collections::BTreeMap;

use copperfield_defrag as defrag;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::cloud::MachineType;

use super::{MOVE_S, SOON_S};

const SECONDS_PER_HOUR: f64 = 3600.0;

/// The cluster as the planner sees it, and which of its indices belong to whom.
#[derive(Default)]
pub(super) struct ClusterView {
    pub(super) fleet: defrag::Fleet,
    pub(super) workers: Vec<u32>,
    pub(super) instances: Vec<InstanceId>,
}

/// What a job still lacks.
pub(super) struct Missing<'a> {
    pub(super) tasks: u32,
    /// Workers that it surely has.
    pub(super) certain: &'a [u32],
    /// All tasks must start together.
    pub(super) whole: bool,
    /// In how many seconds the places would come free without migrations.
    pub(super) comes_free_in_s: f64,
}

impl Core {
    /// Workers that are reserved for a job and will surely have room: migrations off them are under
    /// way, or what is on them ends in a moment. Other reservations only keep new work off a worker
    /// until the old has ended, and migrations may do better.
    pub(super) fn certain_reservations(&self, ix: u32) -> Vec<u32> {
        let job = &self.jobs[ix];
        let is_being_freed = |m: u32| {
            let mut live = self.migrations.live();
            live.any(|migration| {
                migration.wanted_by == Some(job.spec.id) && migration.from == self.workers[m].name
            })
        };
        let is_reserved = |m: &u32| {
            let reservations = &self.workers[*m].reservations;
            reservations.iter().any(|reservation| reservation.job == ix)
        };
        let mut workers = self.workers.indices();
        workers.retain(is_reserved);
        workers.retain(|&m| {
            let drained_in_s = self.seconds_until_room(&job.spec.needs, m);
            is_being_freed(m) || drained_in_s.is_some_and(|s| s <= SOON_S)
        });
        workers
    }

    /// In how many seconds a job would have its places without any migration, by estimates.
    pub(super) fn comes_free_in_s(&self, ix: u32, places: usize) -> f64 {
        let job = &self.jobs[ix];
        let mut by_zone: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
        for m in self.workers.indices() {
            let is_own = |reservation: &Reservation| reservation.job == ix;
            if self.reservable(ix, m)
                && self.workers[m].reservations.iter().all(is_own)
                && let Some(drained_in_s) = self.seconds_until_room(&job.spec.needs, m)
            {
                let zone = if job.spec.one_zone {
                    self.workers[m].zone
                } else {
                    0
                };
                by_zone.entry(zone).or_default().push(drained_in_s);
            }
        }
        let last_place = by_zone.into_values().filter_map(|mut times| {
            times.sort_by(f64::total_cmp);
            times.get(places.saturating_sub(1)).copied()
        });
        last_place.fold(f64::INFINITY, f64::min)
    }

    /// What a job wants of the planner; `None` if no known instance type suits it. A place is worth
    /// the waiting that it spares.
    pub(super) fn want(&self, ix: u32, missing: &Missing) -> Option<defrag::Want> {
        let job = &self.jobs[ix];
        let settings = &self.config.tuning.defragmentation;
        let place_price = self.cheapest_place_price(ix)?;
        let mut by_zone = job.instances_by_zone.clone();
        by_zone.resize(self.zones.len(), 0);
        for &m in missing.certain {
            by_zone[self.workers[m].zone as usize] += 1;
        }
        let spared_s = settings.worth_s.min(missing.comes_free_in_s);
        Some(defrag::Want {
            needs: job.spec.needs,
            rank: job.spec.priority as u8,
            tasks: missing.tasks,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            by_zone,
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            whole: missing.whole,
            worth: self.weight(ix) * place_price * spared_s,
        })
    }

    /// The price per second of the cheapest place for a task of a job.
    fn cheapest_place_price(&self, ix: u32) -> Option<f64> {
        let job = &self.jobs[ix];
        let needs = &job.spec.needs;
        let owned_price = self.config.tuning.owned_price;
        let is_allowed = |kind: &u32| {
            job.types
                .as_ref()
                .is_none_or(|allowed| allowed.contains(kind))
        };
        (0u32..)
            .zip(&self.types.descriptions)
            .filter(|(kind, _)| is_allowed(kind))
            .filter_map(|(_, instance_type)| instance_type.as_ref())
            .filter(|instance_type| needs.fits_in(&instance_type.whole))
            .map(|instance_type| {
                instance_type.price / SECONDS_PER_HOUR
                    * owned_price
                    * needs.share_of(&instance_type.whole)
            })
            .reduce(f64::min)
    }

    /// What a plan may do now.
    pub(super) fn plan_limits(&self) -> defrag::Limits {
        let max_migrations = self.config.tuning.defragmentation.max_migrations as usize;
        defrag::Limits {
            moves: max_migrations.saturating_sub(self.migrations.live().count()),
            soon_s: SOON_S,
            move_s: MOVE_S,
        }
    }

    /// The cluster for a plan: for a waiting job and the workers that it surely has, or for a worker
    /// that drains.
    pub(super) fn cluster_view(&self, waiting_job: Option<u32>, certain: &[u32]) -> ClusterView {
        let mut view = ClusterView::default();
        let migrating = self.migrations.live_by_job();
        let mut work_of_job: BTreeMap<u32, u32> = BTreeMap::new();
        let mut avoided_by_job: BTreeMap<u32, Vec<u32>> = BTreeMap::new();
        for (m, worker) in self.workers.iter() {
            let Some(kind) = self.types.get(worker.instance_type) else {
                continue;
            };
            let at = view.workers.len() as u32;
            view.workers.push(m);
            let planned = self.planned_worker(m, kind, waiting_job, certain);
            view.fleet.workers.push(planned);
            let failed = worker.failed_jobs.iter();
            for (&ix, _) in failed.filter(|(_, until)| **until > self.now) {
                avoided_by_job.entry(ix).or_default().push(at);
            }
            let instances = worker.instances.iter();
            for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
                let work = *work_of_job.entry(id.job).or_insert_with(|| {
                    let migrating = migrating.get(&self.jobs[id.job].spec.id).copied();
                    let work = self.planned_work(id.job, migrating.unwrap_or(0));
                    view.fleet.works.push(work);
                    view.fleet.works.len() as u32 - 1
                });
                let prospects = self.prospects(id, instance);
                let lost_s = prospects.lost_s;
                view.fleet.instances.push(defrag::TaskInstance {
                    worker: at,
                    work,
                    movable: self.may_migrate(id, instance, lost_s, worker.draining),
                    ends_in_s: prospects.ends_in_s,
                    lost_s,
                });
                view.instances.push(*id);
            }
        }
        for (ix, workers) in avoided_by_job {
            if let Some(&work) = work_of_job.get(&ix) {
                view.fleet.works[work as usize].avoid = workers;
            }
        }
        view
    }

    fn planned_worker(
        &self,
        m: u32,
        kind: &MachineType,
        waiting_job: Option<u32>,
        certain: &[u32],
    ) -> defrag::Worker {
        let worker = &self.workers[m];
        let large_task_profile = waiting_job.and_then(|ix| self.jobs[ix].large_task_profile);
        let usable = self.worker_usable(m);
        let reserved_for = worker.reserved_for;
        let reserved_for_job = reserved_for.is_some() && reserved_for == large_task_profile;
        let is_uncertain = |reservation: &Reservation| {
            Some(reservation.job) == waiting_job && !certain.contains(&m)
        };
        let available = worker.reservations.iter().all(is_uncertain);
        let price = if worker.spot {
            kind.spot_price
        } else {
            kind.price * self.config.tuning.owned_price
        };
        defrag::Worker {
            zone: worker.zone,
            kind: worker.instance_type,
            spot: worker.spot,
            receives: usable,
            frees: usable && available && (reserved_for_job || reserved_for.is_none()),
            whole: kind.whole,
            room: match waiting_job.filter(|_| available) {
                Some(ix) => self.available_resources(m, ix),
                None => self.available_resources(m, u32::MAX),
            },
            price: price / SECONDS_PER_HOUR,
            fetch_gb_per_s: kind.fetch_gb_per_s,
            images: worker.images.clone(),
            yields: self.preemptible(m, kind, price / SECONDS_PER_HOUR),
        }
    }

    /// What on a worker may be preempted, and at what cost: what its stop loses, in the money that
    /// migrations cost.
    fn preemptible(&self, m: u32, kind: &MachineType, price: f64) -> Vec<defrag::Yield> {
        let instances = self.workers[m].instances.iter();
        let stoppable = instances.filter(|(id, instance)| {
            instance.may_exist() && instance.stop.is_none() && !self.is_multi_task_gang(id.job)
        });
        let mut preemptible: Vec<defrag::Yield> = stoppable
            .map(|(id, instance)| {
                let spec = &self.jobs[id.job].spec;
                let lost_s = self.prospects(id, instance).lost_s;
                let share = spec.needs.share_of(&kind.whole);
                defrag::Yield {
                    rank: spec.priority as u8,
                    needs: spec.needs,
                    cost: self.weight(id.job) * price * share * (lost_s + MOVE_S),
                }
            })
            .collect();
        preemptible.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        preemptible
    }

    fn planned_work(&self, ix: u32, migrating: u32) -> defrag::Work {
        let job = &self.jobs[ix];
        let away_share = self.config.tuning.defragmentation.away_share;
        let gang = self.is_multi_task_gang(ix);
        let max_away = if gang {
            job.spec.tasks
        } else {
            (f64::from(job.active) * away_share).floor().max(1.0) as u32
        };
        defrag::Work {
            needs: job.spec.needs,
            rank: job.spec.priority as u8,
            weight: self.weight(ix),
            kinds: job.types.clone(),
            zone: job.zone,
            spot: job.spec.spot,
            one_zone: job.spec.one_zone,
            zone_cap: job.zone_cap(),
            by_zone: job.instances_by_zone.clone(),
            image: job.image,
            image_gb: job.spec.image_gb,
            gang,
            may_leave: max_away.saturating_sub(migrating),
            avoid: Vec::new(),
        }
    }
}
