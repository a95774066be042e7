//! Task migrations, so that whole workers come free or a worker drains.
//!
//! `copperfield_defrag` plans; this module carries out. A migration reserves room on its target,
//! stops the task with its grace period, and waits until the old instance is surely gone. Then the
//! task waits like any other, and the reservation brings it to its target with a new attempt. So a
//! migration adds no way for a task to start: whatever fails, the checks of `start_conditions` hold.
//! Nothing of a migration is stored: a new leader finds the task where it is, saving, or nowhere,
//! and goes on from there.
//!
//! `planner` describes the cluster to the planner, `prospects` says what may be migrated and what a
//! stop would lose, `start` starts the migrations of a plan, `progress` follows and ends them, and
//! `state` is what the leader keeps of them.

mod obstacle;
mod planner;
mod progress;
mod prospects;
mod start;
mod state;

use copperfield_defrag as defrag;

use crate::protocol::JobId;

use super::model::*;
use super::state::Core;

use obstacle::Obstacle;
use planner::{ClusterView, Missing};
use state::PlanStatus;
pub(super) use state::{Migrations, TaskMigration};

/// What ends by itself within so many seconds is not migrated.
const SOON_S: f64 = 5.0;
/// How long a migration takes beside saving and fetching.
const MOVE_S: f64 = 1.0;
/// From the proof that the old instance is gone until the task is seen on its target, beside the
/// fetch.
const ARRIVAL_S: f64 = 10.0;
/// Jobs that are planned for in one second.
const MAX_PLANS_PER_SECOND: usize = 3;
/// A job that waits for no longer is not planned for.
const MIN_WAIT_S: f64 = 1.0;

impl Core {
    /// Once a second: migrates what may migrate off the workers that the most important whole-worker
    /// jobs wait for.
    pub(super) fn free_whole_workers(&mut self) {
        let waiting_jobs = self.jobs_waiting_for_whole_workers();
        let ids: Vec<JobId> = waiting_jobs
            .iter()
            .map(|&ix| self.jobs[ix].spec.id)
            .collect();
        self.migrations.retain_waiting(&ids);
        let mut planned = 0;
        for (ix, id) in waiting_jobs.into_iter().zip(ids) {
            if planned == MAX_PLANS_PER_SECOND {
                break;
            }
            let status = match self.migrations.check_backoff(id, self.now) {
                Err(obstacle) => PlanStatus::Blocked(obstacle),
                Ok(()) => {
                    planned += 1;
                    self.plan_status_for(ix, id)
                }
            };
            self.migrations.set_plan_status(id, status);
        }
    }

    fn plan_status_for(&mut self, ix: u32, id: JobId) -> PlanStatus {
        match self.migrate_for(ix) {
            Ok(count) => PlanStatus::Migrating(count),
            Err(obstacle) => {
                tracing::debug!(job = %id, reason = obstacle.to_string(), "nothing moves");
                PlanStatus::Blocked(obstacle)
            }
        }
    }

    /// The jobs that wait for whole workers, the most important first.
    fn jobs_waiting_for_whole_workers(&self) -> Vec<u32> {
        let mut waiting: Vec<(f64, u32)> = self
            .jobs
            .iter()
            .filter(|(ix, job)| {
                job.state == JobState::Live
                    && job.large_task_profile.is_some()
                    && !job.blocked
                    && job
                        .unplaced_since
                        .is_some_and(|since| self.now - since > MIN_WAIT_S)
                    && !self.is_faulty_job(*ix)
            })
            .map(|(ix, _)| (self.weight(ix), ix))
            .collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        waiting.into_iter().map(|(_, ix)| ix).collect()
    }

    /// Plans and starts the migrations for one job. Returns how many there are now.
    fn migrate_for(&mut self, ix: u32) -> Result<usize, Obstacle> {
        let job = &self.jobs[ix];
        let id = job.spec.id;
        let whole = self.is_multi_task_gang(ix);
        let certain = self.certain_reservations(ix);
        let startable = job.waiting().min(self.trial_start_limit(ix));
        let tasks = startable.saturating_sub(certain.len() as u32);
        if tasks == 0 {
            return match self.migrations.live_for(id) {
                0 => Err(Obstacle::RoomReserved),
                count => Ok(count),
            };
        }
        if whole && job.active > 0 {
            return Err(Obstacle::AttemptNotEnded);
        }
        if !self.team_allows(job.team, &job.spec.needs) {
            return Err(Obstacle::TeamAtLimit);
        }
        let comes_free_in_s = self.comes_free_in_s(ix, tasks as usize);
        if comes_free_in_s <= SOON_S {
            return Err(Obstacle::RoomComesFree);
        }
        let missing = Missing {
            tasks,
            certain: &certain,
            whole,
            comes_free_in_s,
        };
        let want = self.want(ix, &missing).ok_or(Obstacle::NoWorkerSuits)?;
        let limits = self.plan_limits();
        if limits.moves == 0 {
            return Err(Obstacle::TooManyMigrations);
        }
        let view = self.cluster_view(Some(ix), &certain);
        let plan = defrag::free(&view.fleet, &want, &limits)?;
        if plan.moves.is_empty() {
            return Err(Obstacle::RoomComesFree);
        }
        self.carry_out(ix, &plan, &view, &certain)?;
        Ok(self.migrations.live_for(id))
    }

    /// Reserves the workers that a plan frees, and starts its migrations.
    fn carry_out(
        &mut self,
        ix: u32,
        plan: &defrag::Plan,
        view: &ClusterView,
        certain: &[u32],
    ) -> Result<(), Obstacle> {
        let id = self.jobs[ix].spec.id;
        tracing::info!(
            job = %id,
            workers = plan.frees.len(),
            moves = plan.moves.len(),
            lost_s = plan.lost_s,
            cost = plan.cost,
            "defragmentation plan accepted"
        );
        let moves = plan.moves.iter();
        let longest_stop_s = moves
            .map(|planned| self.stop_s(view.instances[planned.instance as usize].job))
            .fold(SOON_S, f64::max);
        // The job waits for no other workers any more.
        for m in self.workers.indices() {
            if !certain.contains(&m) {
                let reservations = &mut self.workers[m].reservations;
                reservations.retain(|reservation| reservation.job != ix);
            }
        }
        let places = || plan.frees.iter().chain(&plan.free_already);
        for &at in places() {
            self.reserve(view.workers[at as usize], ix, longest_stop_s + ARRIVAL_S);
        }
        self.start_migrations(view, &plan.moves, Some(id))?;
        for &at in places() {
            self.preempt_lower_priority(view.workers[at as usize], ix);
        }
        Ok(())
    }

    /// Stops tasks of lower priority on a worker, as far as the job needs their room beside what
    /// leaves anyway.
    fn preempt_lower_priority(&mut self, m: u32, ix: u32) {
        let needs = self.jobs[ix].spec.needs;
        let priority = self.jobs[ix].spec.priority;
        let mut room = self.free_resources(m);
        let mut victims: Vec<(f64, InstanceId)> = Vec::new();
        let instances = self.workers[m].instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.may_exist()) {
            let spec = &self.jobs[id.job].spec;
            let prospects = self.prospects(id, instance);
            if instance.stop.is_some() || prospects.ends_in_s <= SOON_S {
                room.add(&spec.needs);
            } else if spec.priority < priority && !self.is_multi_task_gang(id.job) {
                let cost = self.weight(id.job) * (prospects.lost_s + MOVE_S);
                victims.push((cost, *id));
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in victims {
            if needs.fits_in(&room) {
                return;
            }
            room.add(&self.jobs[id.job].spec.needs);
            self.stop_gracefully(m, id);
        }
    }

    /// Migrates off a draining worker what may migrate and finds a place.
    pub(super) fn migrate_off_draining_worker(&mut self, m: u32) {
        let limits = self.plan_limits();
        if limits.moves == 0 || self.workers[m].instances.is_empty() {
            return;
        }
        let view = self.cluster_view(None, &[]);
        let Some(at) = view.workers.iter().position(|&other| other == m) else {
            return;
        };
        let moves = defrag::empty(&view.fleet, at as u32, &limits);
        // If a target has no room, the next second tries again.
        let _ = self.start_migrations(&view, &moves, None);
    }

    /// How many tasks migrate off a worker and are still there.
    pub(super) fn leaving_tasks(&self, name: &str) -> u32 {
        let live = self.migrations.live();
        live.filter(|migration| !migration.has_left_source() && migration.from == name)
            .count() as u32
    }

    /// Migrations that have ended under this leader, however they did.
    pub fn finished_migrations(&self) -> usize {
        self.migrations.finished()
    }
}
