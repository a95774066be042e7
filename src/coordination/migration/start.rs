//! Starts migrations: reserves room on the targets, then stops the tasks.

use copperfield_defrag as defrag;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::JobId;

use super::START_ALLOWANCE_S;
use super::obstacle::Obstacle;
use super::planner::ClusterView;
use super::state::{Stage, TaskMigration};

/// How long a fetch may take, relative to its expected time.
const FETCH_MARGIN: f64 = 1.5;

impl Core {
    /// Reserves room on all targets, with preemption of tasks of lower priority if needed, and then
    /// stops the tasks with their grace period. Starts nothing if a target has no room any more.
    pub(super) fn start_migrations(
        &mut self,
        view: &ClusterView,
        planned_migrations: &[defrag::Migration],
        wanted_by: Option<JobId>,
    ) -> Result<(), Obstacle> {
        let victims = self.reserve_targets(view, planned_migrations, wanted_by)?;
        // An instance may be listed twice, preempted for two migrations. Stopping it again has no
        // effect.
        for (worker_index, id) in victims {
            self.stop_gracefully(worker_index, id);
        }
        let mut leaving = Vec::new();
        for planned in planned_migrations {
            leaving.push(self.start_migration(view, planned, wanted_by));
        }
        for (worker_index, id) in leaving {
            self.stop_gracefully(worker_index, id);
        }
        Ok(())
    }

    /// Reserves room on all targets or on none. Returns the instances to preempt there, with their
    /// workers.
    fn reserve_targets(
        &mut self,
        view: &ClusterView,
        planned_migrations: &[defrag::Migration],
        wanted_by: Option<JobId>,
    ) -> Result<Vec<(u32, InstanceId)>, Obstacle> {
        let waiting_job = wanted_by.and_then(|id| self.jobs.index_of(id));
        let large_task_profile =
            waiting_job.and_then(|job_index| self.jobs[job_index].large_task_profile);
        let mut stops = Vec::new();
        let mut reserved: Vec<(u32, u32)> = Vec::new();
        for planned in planned_migrations {
            let job_index = view.instances[planned.instance as usize].job;
            let target = view.workers[planned.to as usize];
            // A target may be a worker that is kept free for tasks of the waiting job's profile. It
            // is used all the same: if only such workers have room, there is no other target.
            let reserved_for = self.workers[target].reserved_for;
            if large_task_profile.is_some() && reserved_for == large_task_profile {
                self.workers[target].reserved_for = None;
            }
            let Some(preemption) = self.select_victims(job_index, target) else {
                for (worker_index, job_index) in reserved {
                    self.release_migration_reservation(worker_index, job_index);
                }
                return Err(Obstacle::NoRoomOnTarget);
            };
            let max_stop_s =
                self.max_stop_s(job_index) + self.longest_stop_grace_s(&preemption.victims);
            let max_start_s = self.max_start_s(job_index, target);
            self.reserve_for_migration(target, job_index, max_stop_s + max_start_s);
            reserved.push((target, job_index));
            stops.extend(preemption.victims.into_iter().map(|id| (target, id)));
        }
        Ok(stops)
    }

    /// Records a migration. Returns the instance to stop, and its worker.
    fn start_migration(
        &mut self,
        view: &ClusterView,
        planned: &defrag::Migration,
        wanted_by: Option<JobId>,
    ) -> (u32, InstanceId) {
        let id = view.instances[planned.instance as usize];
        let source = view.fleet.instances[planned.instance as usize].worker;
        let source = view.workers[source as usize];
        let target = view.workers[planned.to as usize];
        let migration = TaskMigration {
            job_id: self.jobs[id.job].spec.id,
            instance: id,
            from: self.workers[source].name.clone(),
            to: self.workers[target].name.clone(),
            wanted_by,
            started_at: self.now,
            stage: Stage::Stopping,
            deadline: self.now + self.max_stop_s(id.job),
            max_start_s: self.max_start_s(id.job, target),
        };
        tracing::info!(
            job = %migration.job_id,
            task = id.task,
            from = migration.from,
            to = migration.to,
            "migration started"
        );
        self.migrations.start(migration);
        (source, id)
    }

    /// How long a task may take to run on its target once the old instance is gone.
    fn max_start_s(&self, job_index: u32, target: u32) -> f64 {
        self.fetch_s(job_index, target) * FETCH_MARGIN + START_ALLOWANCE_S
    }

    /// Reserves room for a task of a job that is not waiting yet.
    fn reserve_for_migration(&mut self, worker_index: u32, job_index: u32, for_s: f64) {
        self.reserve(worker_index, job_index, for_s);
        let reservations = self.workers[worker_index].reservations.iter_mut();
        reservations
            .filter(|reservation| reservation.job == job_index)
            .for_each(|reservation| reservation.for_migration = true);
    }
}
