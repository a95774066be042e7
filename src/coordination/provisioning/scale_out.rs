//! Scale-out: requests workers for tasks that fit on no existing worker, at the lowest price.

use std::collections::BTreeMap;

use crate::protocol::job::Resources;

use crate::coordination::messages::{Effect, ScaleOutOutcome};
use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::boots::BootingWorker;
use super::pools::CapacityPool;
use super::zones::ZoneHealth;

/// How long no workers are requested from a pool after the cloud had no capacity in it.
const NO_CAPACITY_S: Time = 20.0;
/// How long no workers are requested from a pool after a request was refused or got no response.
const REFUSED_RETRY_S: Time = 5.0;
/// Workers are requested for a job once its tasks have been unplaced for this long.
const MIN_UNPLACED_S: Time = 0.5;
/// Workers per request. The cloud accepts at most 50.
const MAX_WORKERS_PER_REQUEST: u32 = 50;
/// Requests per scaling round. What remains is requested in the next round.
const MAX_REQUESTS: usize = 3;
/// Waiting tasks of one job that are considered in one scaling round.
const MAX_TASKS_PER_JOB: u32 = 2000;

/// A scale-out request without a response yet.
#[derive(Debug, Clone)]
pub(super) struct ProvisioningRequest {
    pool: CapacityPool,
    /// How many workers were requested.
    count: u32,
}

/// A worker that tasks can be planned on. It exists, is booting or is about to be requested.
#[derive(Debug)]
pub(super) struct AvailableWorker {
    /// Index of the worker's instance type.
    pub(super) instance_type: u32,
    /// Index of its zone.
    pub(super) zone: u32,
    /// Whether it is a spot worker, which the cloud may reclaim.
    pub(super) spot: bool,
    /// Its free resources.
    pub(super) free: Resources,
}

impl AvailableWorker {
    /// Takes the resources of as many of the `remaining` tasks as fit, and returns how many tasks
    /// do not fit.
    fn pack_tasks(&mut self, needs: &Resources, mut remaining: u32) -> u32 {
        while remaining > 0 && needs.fits_in(&self.free) {
            self.free.sub(needs);
            remaining -= 1;
        }
        remaining
    }

    /// Returns whether a job allows the worker's instance type, and spot if it is a spot worker.
    fn allowed_for(&self, job: &Job) -> bool {
        (!self.spot || job.spec.spot) && job.allows_type(self.instance_type)
    }
}

/// The workers to be requested for the jobs planned so far.
pub(super) struct ScaleOutPlan {
    /// How many more workers may be requested.
    allowed: u32,
    /// Workers with free resources: booting ones, planned ones, and existing ones while replicas
    /// are at risk.
    available: Vec<AvailableWorker>,
    /// How many workers to request from each pool.
    pub(super) wanted: BTreeMap<CapacityPool, u32>,
}

/// By index of the service's job, the number of its replicas that need replacements because their
/// zones are unresponsive.
type ReplicasAtRisk = BTreeMap<u32, u32>;

impl ScaleOutPlan {
    /// Returns whether workers with free resources boot or are planned in a zone.
    pub(super) fn has_workers_in(&self, zone: u32) -> bool {
        self.available.iter().any(|worker| worker.zone == zone)
    }
}

impl Core {
    /// Handles the outcome of a scale-out request, which may be that no response arrived.
    pub(crate) fn handle_scale_out_result(&mut self, request: &str, outcome: ScaleOutOutcome) {
        let Some(request) = self.provisioning.pending_requests.remove(request) else {
            return;
        };
        match outcome {
            ScaleOutOutcome::Workers(names) => {
                if (names.len() as u32) < request.count {
                    self.avoid_pool(request.pool, NO_CAPACITY_S);
                }
                for name in names {
                    tracing::info!(worker = name, "scaled out");
                    self.add_booting_worker(name, request.pool);
                }
            }
            ScaleOutOutcome::NoCapacity => self.avoid_pool(request.pool, NO_CAPACITY_S),
            // If the response was lost, the new workers become known through the worker list or
            // through their heartbeats.
            ScaleOutOutcome::Refused | ScaleOutOutcome::Unknown => {
                self.avoid_pool(request.pool, REFUSED_RETRY_S);
            }
        }
    }

    /// Requests no workers from a pool for this long.
    fn avoid_pool(&mut self, pool: CapacityPool, pause_s: Time) {
        let until = self.now + pause_s;
        self.provisioning.avoided_until.insert(pool, until);
    }

    fn add_booting_worker(&mut self, name: String, pool: CapacityPool) {
        if self.workers.contains(&name) {
            return;
        }
        let worker = BootingWorker {
            instance_type: pool.instance_type,
            zone: pool.zone,
            since: self.now,
            spot: pool.spot,
        };
        self.provisioning.booting.insert(name, worker);
    }

    /// Requests workers for the tasks that fit on no existing worker.
    pub(super) fn scale_out(&mut self) {
        let now = self.now;
        self.provisioning
            .avoided_until
            .retain(|_, until| *until > now);
        if !self.provisioning.pending_requests.is_empty() || !self.provisioning.workers_listed {
            return;
        }
        self.update_zone_health();
        let wanted = self.plan_scale_out(self.allowed_workers());
        for (pool, count) in wanted.into_iter().take(MAX_REQUESTS) {
            self.request_workers(pool, count);
        }
    }

    /// Returns how many workers to request from each pool, at most `allowed`. Jobs of the highest
    /// weight come first.
    pub(super) fn plan_scale_out(&self, allowed: u32) -> BTreeMap<CapacityPool, u32> {
        let at_risk = self.replicas_at_risk();
        let mut plan = ScaleOutPlan {
            allowed,
            available: self.available_booting_workers(),
            wanted: BTreeMap::new(),
        };
        if !at_risk.is_empty() {
            plan.available.extend(self.available_workers());
        }
        for job_index in self.jobs_by_weight(&at_risk) {
            self.plan_workers_for(job_index, &at_risk, &mut plan);
        }
        plan.wanted
    }

    /// Returns how many workers may be requested without exceeding the configured maximum.
    fn allowed_workers(&self) -> u32 {
        let limit = self.config.tuning.fleet_max;
        if limit == 0 {
            return MAX_WORKERS_PER_REQUEST;
        }
        let room = limit.saturating_sub(self.present_workers());
        room.min(MAX_WORKERS_PER_REQUEST)
    }

    /// Returns whether the fleet has exactly the configured maximum size, so that a new worker may
    /// take the place of a returned one.
    pub(super) fn replacing_makes_room(&self) -> bool {
        let limit = self.config.tuning.fleet_max;
        limit > 0 && limit == self.present_workers()
    }

    fn present_workers(&self) -> u32 {
        (self.workers.iter().count() + self.provisioning.booting.len()) as u32
    }

    /// Returns whether tasks of a job have been unplaced for long enough to request workers.
    fn needs_workers(&self, job: &Job) -> bool {
        job.waiting() > 0
            && job
                .unplaced_since
                .is_some_and(|since| self.now - since > MIN_UNPLACED_S)
    }

    /// Returns the jobs that need new workers, by descending weight.
    fn jobs_by_weight(&self, at_risk: &ReplicasAtRisk) -> Vec<u32> {
        let mut jobs: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(job_index, job)| {
                job.state == JobState::Live
                    && !self.is_faulty_job(*job_index)
                    && (self.needs_workers(job) || at_risk.contains_key(job_index))
            })
            .map(|(job_index, _)| (self.weight(job_index), job_index))
            .collect();
        jobs.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        jobs.into_iter().map(|(_, job_index)| job_index).collect()
    }

    /// Plans new workers for the tasks of a job that do not fit on the available ones.
    fn plan_workers_for(&self, job_index: u32, at_risk: &ReplicasAtRisk, plan: &mut ScaleOutPlan) {
        let job = &self.jobs[job_index];
        let needs = job.spec.needs;
        let waiting = if self.needs_workers(job) {
            job.waiting()
        } else {
            0
        };
        let mut remaining = waiting
            .min(MAX_TASKS_PER_JOB)
            .min(self.trial_start_limit(job_index));
        remaining += at_risk.get(&job_index).copied().unwrap_or(0);
        for worker in &mut plan.available {
            if self.can_plan_on(job_index, worker) {
                remaining = worker.pack_tasks(&needs, remaining);
            }
        }
        while remaining > 0 && plan.allowed > 0 {
            let Some(pool) = self.cheapest_pool(job_index, plan) else {
                break;
            };
            let Some(instance_type) = self.types.get(pool.instance_type) else {
                break;
            };
            *plan.wanted.entry(pool).or_default() += 1;
            plan.allowed -= 1;
            let mut worker = AvailableWorker {
                instance_type: pool.instance_type,
                zone: pool.zone,
                spot: pool.spot,
                free: instance_type.capacity,
            };
            remaining = worker.pack_tasks(&needs, remaining);
            plan.available.push(worker);
        }
    }

    /// Returns whether tasks of a job can be planned on an available worker. A worker that boots in
    /// an unresponsive zone may never be reachable.
    fn can_plan_on(&self, job_index: u32, worker: &AvailableWorker) -> bool {
        worker.allowed_for(&self.jobs[job_index])
            && self.zone_health(worker.zone) == ZoneHealth::Responsive
            && self.job_allows_zone(job_index, worker.zone)
    }

    fn request_workers(&mut self, pool: CapacityPool, count: u32) {
        let provisioning = &mut self.provisioning;
        provisioning.last_request += 1;
        let request = format!("cf-{}-{}", provisioning.token, provisioning.last_request);
        provisioning
            .pending_requests
            .insert(request.clone(), ProvisioningRequest { pool, count });
        self.effects.push(Effect::ScaleOut {
            request,
            machine_type: self.types.names.name(pool.instance_type).to_string(),
            zone: self.zones.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
        });
    }

    /// Returns, by service, the number of its replicas on unresponsive workers in unresponsive
    /// zones. They keep running until their workers' leases expire, and then all need new workers
    /// at once. Booting takes about as long as a lease, so replacements are requested before the
    /// leases expire.
    fn replicas_at_risk(&self) -> ReplicasAtRisk {
        let mut replicas = BTreeMap::new();
        for (worker_index, worker) in self.workers.iter() {
            let zone_responsive = self.zone_health(worker.zone) == ZoneHealth::Responsive;
            if zone_responsive || !self.is_unresponsive(worker_index) {
                continue;
            }
            for (id, instance) in &worker.instances {
                let job = &self.jobs[id.job];
                if instance.may_exist() && job.is_service() && job.state == JobState::Live {
                    *replicas.entry(id.job).or_default() += 1;
                }
            }
        }
        replicas
    }

    /// Returns the usable workers without reservations in responsive zones.
    fn available_workers(&self) -> Vec<AvailableWorker> {
        self.workers
            .iter()
            .filter(|(worker_index, worker)| {
                self.zone_health(worker.zone) == ZoneHealth::Responsive
                    && self.worker_usable(*worker_index)
                    && worker.reservations.is_empty()
            })
            .map(|(worker_index, worker)| AvailableWorker {
                instance_type: worker.instance_type,
                zone: worker.zone,
                spot: worker.spot,
                free: self.free_resources(worker_index),
            })
            .collect()
    }
}
