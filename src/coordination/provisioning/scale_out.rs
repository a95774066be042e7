//! Scaling out: workers for the tasks that find no room, at the lowest price.

use std::collections::BTreeMap;

use crate::protocol::job::Resources;

use crate::coordination::messages::{Effect, ScaleOutOutcome};
use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::boots::BootingWorker;

/// How long a pool is left alone after the cloud had no capacity in it.
const NO_CAPACITY_S: Time = 20.0;
/// How long a pool is left alone after a request was refused or had no answer.
const REFUSED_RETRY_S: Time = 5.0;
/// A job wants new workers once it has waited for room this long.
const UNPLACED_S: Time = 0.5;
/// Workers requested at once; the cloud takes no more than 50.
const MAX_WORKERS_PER_REQUEST: u32 = 50;
/// Requests at once: the rest is requested the next time.
const MAX_REQUESTS: usize = 3;
/// Waiting tasks of one job that are planned for at once.
const MAX_TASKS_PER_JOB: u32 = 2000;

/// What the cloud has separate capacity for: workers of one type in one zone, spot or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CapacityPool {
    /// Index of the instance type.
    kind: u32,
    /// Index of the zone.
    zone: u32,
    /// The cloud may reclaim its workers.
    spot: bool,
}

/// A request to scale out that has no answer yet.
#[derive(Debug, Clone)]
pub(super) struct ProvisioningRequest {
    pool: CapacityPool,
    /// How many workers were requested.
    count: u32,
}

/// Resources that are free on a worker, or will be.
#[derive(Debug)]
pub(super) struct Room {
    /// Index of the worker's instance type.
    pub(super) kind: u32,
    /// The cloud may reclaim it.
    pub(super) spot: bool,
    /// What is free on it.
    pub(super) free: Resources,
}

impl Room {
    /// Places as many of `left` tasks as fit, and returns how many are left.
    fn fill(&mut self, needs: &Resources, mut left: u32) -> u32 {
        while left > 0 && needs.fits_in(&self.free) {
            self.free.sub(needs);
            left -= 1;
        }
        left
    }

    /// Whether a job's tasks may run on the worker at all.
    fn suits(&self, job: &Job) -> bool {
        (!self.spot || job.spec.spot)
            && job
                .types
                .as_ref()
                .is_none_or(|types| types.contains(&self.kind))
    }
}

/// What is to be requested for the jobs that were planned so far.
struct ScaleOutPlan {
    /// How many more workers may be requested.
    allowed: u32,
    /// Room on workers that boot or are planned.
    room: Vec<Room>,
    /// How many workers of each pool are to be requested.
    wanted: BTreeMap<CapacityPool, u32>,
}

/// The replicas that will soon be lost, and the zones in which no workers are requested.
struct ScaleOutDemand {
    /// By zone index: most of its workers are unresponsive.
    zones_unresponsive: Vec<bool>,
    /// By service: its replicas in such zones.
    replicas_at_risk: BTreeMap<u32, u32>,
}

impl Core {
    /// The cloud has answered a request to scale out, or has not.
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
            // Workers of a lost answer show up in the list or send heartbeats by themselves.
            ScaleOutOutcome::Refused | ScaleOutOutcome::Unknown => {
                self.avoid_pool(request.pool, REFUSED_RETRY_S);
            }
        }
    }

    fn avoid_pool(&mut self, pool: CapacityPool, pause_s: Time) {
        let until = self.now + pause_s;
        self.provisioning.no_capacity_until.insert(pool, until);
    }

    fn add_booting_worker(&mut self, name: String, pool: CapacityPool) {
        if self.workers.contains(&name) {
            return;
        }
        let worker = BootingWorker {
            kind: pool.kind,
            since: self.now,
            spot: pool.spot,
        };
        self.provisioning.booting.insert(name, worker);
    }

    /// Requests workers for the tasks that find no room.
    pub(super) fn scale_out(&mut self) {
        let now = self.now;
        self.provisioning
            .no_capacity_until
            .retain(|_, until| *until > now);
        if !self.provisioning.pending_requests.is_empty() || !self.provisioning.workers_listed {
            return;
        }
        let wanted = self.plan_scale_out();
        for (pool, count) in wanted.into_iter().take(MAX_REQUESTS) {
            self.request_workers(pool, count);
        }
    }

    /// How many workers of each pool are wanted, for the jobs of the highest weight first.
    fn plan_scale_out(&self) -> BTreeMap<CapacityPool, u32> {
        let demand = self.scale_out_demand();
        let mut plan = ScaleOutPlan {
            allowed: self.allowed_workers(),
            room: self.booting_room(),
            wanted: BTreeMap::new(),
        };
        if !demand.replicas_at_risk.is_empty() {
            plan.room
                .extend(self.room_outside(&demand.zones_unresponsive));
        }
        for ix in self.jobs_by_weight(&demand) {
            self.plan_workers_for(ix, &demand, &mut plan);
        }
        plan.wanted
    }

    fn scale_out_demand(&self) -> ScaleOutDemand {
        let zones = 0..self.zones.len() as u32;
        let zones_unresponsive: Vec<bool> = zones.map(|z| self.zone_is_unresponsive(z)).collect();
        ScaleOutDemand {
            replicas_at_risk: self.replicas_at_risk(&zones_unresponsive),
            zones_unresponsive,
        }
    }

    /// How many workers may be requested without exceeding the configured number.
    fn allowed_workers(&self) -> u32 {
        let limit = self.config.tuning.fleet_max;
        if limit == 0 {
            return MAX_WORKERS_PER_REQUEST;
        }
        let present = (self.workers.iter().count() + self.provisioning.booting.len()) as u32;
        limit.saturating_sub(present).min(MAX_WORKERS_PER_REQUEST)
    }

    /// Whether tasks of a job have waited for room long enough.
    fn wants_room(&self, job: &Job) -> bool {
        job.waiting() > 0
            && job
                .unplaced_since
                .is_some_and(|t| self.now - t > UNPLACED_S)
    }

    /// The jobs that workers are wanted for, by descending weight.
    fn jobs_by_weight(&self, demand: &ScaleOutDemand) -> Vec<u32> {
        let mut jobs: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(ix, job)| {
                job.state == JobState::Live
                    && !self.is_faulty_job(*ix)
                    && (self.wants_room(job) || demand.replicas_at_risk.contains_key(ix))
            })
            .map(|(ix, _)| (self.weight(ix), ix))
            .collect();
        jobs.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        jobs.into_iter().map(|(_, ix)| ix).collect()
    }

    /// Plans workers for the tasks of a job that the room planned so far does not hold.
    fn plan_workers_for(&self, ix: u32, demand: &ScaleOutDemand, plan: &mut ScaleOutPlan) {
        let job = &self.jobs[ix];
        let needs = job.spec.needs;
        let waiting = if self.wants_room(job) {
            job.waiting()
        } else {
            0
        };
        let mut left = waiting
            .min(MAX_TASKS_PER_JOB)
            .min(self.trial_start_limit(ix));
        left += demand.replicas_at_risk.get(&ix).copied().unwrap_or(0);
        for room in plan.room.iter_mut().filter(|room| room.suits(job)) {
            left = room.fill(&needs, left);
        }
        while left > 0 && plan.allowed > 0 {
            let zones_unresponsive = &demand.zones_unresponsive;
            let Some(pool) = self.cheapest_pool(ix, &plan.wanted, zones_unresponsive) else {
                break;
            };
            let Some(kind) = self.types.get(pool.kind) else {
                break;
            };
            *plan.wanted.entry(pool).or_default() += 1;
            plan.allowed -= 1;
            let mut room = Room {
                kind: pool.kind,
                spot: pool.spot,
                free: kind.whole,
            };
            left = room.fill(&needs, left);
            plan.room.push(room);
        }
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
            machine_type: self.types.names.name(pool.kind).to_string(),
            zone: self.zones.name(pool.zone).to_string(),
            spot: pool.spot,
            count,
        });
    }

    /// By service, its replicas in unresponsive zones. They serve on until their leases expire,
    /// and will then all want room at once: workers take about as long to boot as leases to
    /// expire, so workers are requested for them before.
    fn replicas_at_risk(&self, zones_unresponsive: &[bool]) -> BTreeMap<u32, u32> {
        let mut replicas = BTreeMap::new();
        if !zones_unresponsive.contains(&true) {
            return replicas;
        }
        for (m, worker) in self.workers.iter() {
            if !zones_unresponsive[worker.zone as usize] || !self.is_unresponsive(m) {
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

    /// What is free on workers outside of unresponsive zones.
    fn room_outside(&self, zones_unresponsive: &[bool]) -> Vec<Room> {
        self.workers
            .iter()
            .filter(|(m, worker)| {
                !zones_unresponsive[worker.zone as usize]
                    && self.worker_usable(*m)
                    && worker.reservations.is_empty()
            })
            .map(|(m, worker)| Room {
                kind: worker.kind,
                spot: worker.spot,
                free: self.free_resources(m),
            })
            .collect()
    }

    /// The pool where a task of the job costs least; among equals, the one that least is wanted of,
    /// which spreads workers over the zones.
    fn cheapest_pool(
        &self,
        ix: u32,
        wanted: &BTreeMap<CapacityPool, u32>,
        zones_unresponsive: &[bool],
    ) -> Option<CapacityPool> {
        let job = &self.jobs[ix];
        let mut best: Option<((f64, u32), CapacityPool)> = None;
        for (kind, described) in (0u32..).zip(&self.types.descriptions) {
            let Some(described) = described else { continue };
            let allowed = job.types.as_ref().is_none_or(|types| types.contains(&kind));
            if !allowed || !job.spec.needs.fits_in(&described.whole) {
                continue;
            }
            let share = job.spec.needs.share_of(&described.whole);
            for zone in 0..self.zones.len() as u32 {
                let offered = described.zones.iter().any(|z| z == self.zones.name(zone));
                let unresponsive = zones_unresponsive[zone as usize];
                if !offered || unresponsive || !self.job_allows_zone(ix, zone) {
                    continue;
                }
                for spot in [true, false] {
                    let pool = CapacityPool { kind, zone, spot };
                    if !self.may_request(job, pool) {
                        continue;
                    }
                    let price = if spot {
                        described.spot_price
                    } else {
                        described.price
                    };
                    let rank = (price * share, wanted.get(&pool).copied().unwrap_or(0));
                    if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                        best = Some((rank, pool));
                    }
                }
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Whether the job allows spot workers if these are, and the pool has not just lacked capacity.
    fn may_request(&self, job: &Job, pool: CapacityPool) -> bool {
        let without_capacity = &self.provisioning.no_capacity_until;
        (!pool.spot || job.spec.spot) && !without_capacity.contains_key(&pool)
    }

    /// Whether another task of the job may run in this zone.
    fn job_allows_zone(&self, ix: u32, zone: u32) -> bool {
        self.jobs[ix].zone.is_none_or(|required| required == zone) && self.zone_allows(ix, zone)
    }
}
