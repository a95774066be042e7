//! Migrations of tasks, which free whole workers for waiting jobs and empty draining workers.
//!
//! `copperfield_defrag` makes the plans, and this module executes them. A migration reserves room
//! on its target, stops the task with its grace period, and waits until the old instance is
//! certainly gone. The task then waits like any other, and the reservation makes it start on its
//! target as a new attempt. So a migrated task starts in the same way as every other task, and the
//! checks of `start_conditions` also hold if a migration fails.
//!
//! Migrations are not stored. A new leader sees the task on its old worker, being stopped, or
//! waiting, and schedules it from that state.
//!
//! `planner` builds the planner's input, `estimates` says which tasks may be migrated and what
//! stopping them would lose, `start` starts the migrations of a plan, `progress` follows and ends
//! them, and `state` holds what the leader keeps of them.

mod estimates;
mod obstacle;
mod planner;
mod progress;
mod start;
mod state;

use copperfield_defrag as defrag;

use crate::protocol::JobId;

use super::model::*;
use super::state::Core;

use obstacle::Obstacle;
use planner::{ClusterView, MissingPlaces};
use state::PlanStatus;
pub(super) use state::{Migrations, TaskMigration};

/// A task that is expected to end by itself within this many seconds is not migrated.
const ENDS_SOON_S: f64 = 5.0;
/// How long a migration takes in addition to saving and fetching.
const MIGRATION_OVERHEAD_S: f64 = 1.0;
/// The time allowed from the proof that the old instance is gone until the task is seen on its
/// target, in addition to the fetch.
const START_ALLOWANCE_S: f64 = 10.0;
/// Maximum number of jobs for which migrations are planned in one second.
const MAX_PLANS_PER_SECOND: usize = 3;
/// Migrations are planned only for jobs that have waited for longer than this.
const MIN_WAIT_S: f64 = 1.0;

impl Core {
    /// Once a second: frees whole workers by migrations, for the jobs of the highest weight that
    /// wait for them.
    pub(super) fn free_whole_workers(&mut self) {
        let waiting_jobs = self.jobs_waiting_for_whole_workers();
        let ids: Vec<JobId> = waiting_jobs
            .iter()
            .map(|&job_index| self.jobs[job_index].spec.id)
            .collect();
        self.migrations.retain_waiting(&ids);
        let mut planned_jobs = 0;
        for (job_index, id) in waiting_jobs.into_iter().zip(ids) {
            if planned_jobs == MAX_PLANS_PER_SECOND {
                break;
            }
            let status = match self.migrations.check_backoff(id, self.now) {
                Err(obstacle) => PlanStatus::Blocked(obstacle),
                Ok(()) => {
                    planned_jobs += 1;
                    self.plan_status_for(job_index, id)
                }
            };
            self.migrations.set_plan_status(id, status);
        }
    }

    fn plan_status_for(&mut self, job_index: u32, id: JobId) -> PlanStatus {
        match self.plan_and_migrate(job_index) {
            Ok(count) => PlanStatus::Migrating(count),
            Err(obstacle) => {
                tracing::debug!(job = %id, reason = obstacle.to_string(), "no migration planned");
                PlanStatus::Blocked(obstacle)
            }
        }
    }

    /// The jobs that wait for whole workers, the highest weight first.
    fn jobs_waiting_for_whole_workers(&self) -> Vec<u32> {
        let mut waiting: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(job_index, job)| {
                job.state == JobState::Live
                    && job.large_task_profile.is_some()
                    && !job.blocked
                    && job
                        .unplaced_since
                        .is_some_and(|since| self.now - since > MIN_WAIT_S)
                    && !self.is_faulty_job(*job_index)
            })
            .map(|(job_index, _)| (self.weight(job_index), job_index))
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        waiting
            .into_iter()
            .map(|(_, job_index)| job_index)
            .collect()
    }

    /// Plans and starts the migrations for one job. Returns how many are under way for it.
    fn plan_and_migrate(&mut self, job_index: u32) -> Result<usize, Obstacle> {
        let job = &self.jobs[job_index];
        let id = job.spec.id;
        let gang = self.is_multi_task_gang(job_index);
        let secured = self.secured_workers(job_index);
        let startable = job.waiting().min(self.trial_start_limit(job_index));
        let tasks = startable.saturating_sub(secured.len() as u32);
        if tasks == 0 {
            return match self.migrations.live_for(id) {
                0 => Err(Obstacle::RoomReserved),
                count => Ok(count),
            };
        }
        if gang && job.active > 0 {
            return Err(Obstacle::AttemptNotEnded);
        }
        if !self.team_allows(job.team, &job.spec.needs) {
            return Err(Obstacle::TeamAtLimit);
        }
        let comes_free_in_s = self.comes_free_in_s(job_index, tasks as usize);
        if comes_free_in_s <= ENDS_SOON_S {
            return Err(Obstacle::RoomComesFree);
        }
        let missing = MissingPlaces {
            tasks,
            secured: &secured,
            gang,
            comes_free_in_s,
        };
        let waiting_job = self
            .waiting_job_for_planner(job_index, &missing)
            .ok_or(Obstacle::NoSuitableType)?;
        let limits = self.plan_limits();
        if limits.max_migrations == 0 {
            return Err(Obstacle::TooManyMigrations);
        }
        let view = self.cluster_view(Some(job_index), &secured);
        let plan = defrag::free_workers(&view.fleet, &waiting_job, &limits)?;
        if plan.migrations.is_empty() {
            return Err(Obstacle::RoomComesFree);
        }
        self.execute_plan(job_index, &plan, &view, &secured)?;
        Ok(self.migrations.live_for(id))
    }

    /// Reserves the workers that a plan frees, and starts its migrations.
    fn execute_plan(
        &mut self,
        job_index: u32,
        plan: &defrag::Plan,
        view: &ClusterView,
        secured: &[u32],
    ) -> Result<(), Obstacle> {
        let id = self.jobs[job_index].spec.id;
        tracing::info!(
            job = %id,
            workers = plan.freed_workers.len(),
            moves = plan.migrations.len(),
            lost_s = plan.lost_s,
            cost = plan.cost,
            "defragmentation plan accepted"
        );
        let planned_migrations = plan.migrations.iter();
        let longest_stop_s = planned_migrations
            .map(|planned| self.max_stop_s(view.instances[planned.instance as usize].job))
            .fold(ENDS_SOON_S, f64::max);
        // The plan replaces the other reservations of the job.
        for worker_index in self.workers.indices() {
            if !secured.contains(&worker_index) {
                let reservations = &mut self.workers[worker_index].reservations;
                reservations.retain(|reservation| reservation.job != job_index);
            }
        }
        let places = || plan.freed_workers.iter().chain(&plan.already_free);
        for &at in places() {
            self.reserve(
                view.workers[at as usize],
                job_index,
                longest_stop_s + START_ALLOWANCE_S,
            );
        }
        self.start_migrations(view, &plan.migrations, Some(id))?;
        for &at in places() {
            self.preempt_lower_priority(view.workers[at as usize], job_index);
        }
        Ok(())
    }

    /// Preempts tasks of lower priority on a worker until the job has room there. The resources of
    /// tasks that are being stopped or end soon count as free.
    fn preempt_lower_priority(&mut self, worker_index: u32, job_index: u32) {
        let needs = self.jobs[job_index].spec.needs;
        let priority = self.jobs[job_index].spec.priority;
        let mut free = self.free_resources(worker_index);
        let mut victims: Vec<(f64, InstanceId)> = Vec::new();
        let instances = self.workers[worker_index].instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
            let spec = &self.jobs[id.job].spec;
            let estimate = self.estimate_instance(id, instance);
            if instance.stop.is_some() || estimate.ends_in_s <= ENDS_SOON_S {
                free.add(&spec.needs);
            } else if spec.priority < priority && !self.is_multi_task_gang(id.job) {
                let cost = self.weight(id.job) * (estimate.lost_s + MIGRATION_OVERHEAD_S);
                victims.push((cost, *id));
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in victims {
            if needs.fits_in(&free) {
                return;
            }
            free.add(&self.jobs[id.job].spec.needs);
            self.stop_gracefully(worker_index, id);
        }
    }

    /// Migrates tasks off a draining worker, as far as they may be migrated and have a target.
    pub(super) fn migrate_off_draining_worker(&mut self, worker_index: u32) {
        let limits = self.plan_limits();
        if limits.max_migrations == 0 || self.workers[worker_index].instances.is_empty() {
            return;
        }
        let view = self.cluster_view(None, &[]);
        let Some(at) = view.workers.iter().position(|&other| other == worker_index) else {
            return;
        };
        let planned_migrations = defrag::drain_worker(&view.fleet, at as u32, &limits);
        // If a target has no room, nothing is started, and the drain plans again a second later.
        let _ = self.start_migrations(&view, &planned_migrations, None);
    }

    /// The number of tasks that are migrating off a worker and have not left it yet.
    pub(super) fn leaving_tasks(&self, name: &str) -> u32 {
        let live = self.migrations.live();
        live.filter(|migration| !migration.has_left_source() && migration.from == name)
            .count() as u32
    }

    /// The number of migrations that have ended under this leader, with any outcome.
    pub fn finished_migrations(&self) -> usize {
        self.migrations.finished()
    }
}
