//! The start of migrations: room is held on the targets, then the tasks are stopped.

use copperfield_defrag as defrag;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::JobId;

use super::ARRIVAL_S;
use super::obstacle::Obstacle;
use super::planner::ClusterView;
use super::state::{Stage, TaskMigration};

/// Of the time that a fetch should take: how long it may take.
const FETCH_MARGIN: f64 = 1.5;

impl Core {
    /// Holds room on all targets, where tasks of lower priority are preempted if need be, and then
    /// stops the tasks with their grace period; does nothing if a target turns out to have no room.
    pub(super) fn start_migrations(
        &mut self,
        view: &ClusterView,
        moves: &[defrag::Move],
        wanted_by: Option<JobId>,
    ) -> Result<(), Obstacle> {
        let victims = self.hold_targets(view, moves, wanted_by)?;
        // The same instance may be preempted for two migrations: one stop does for both.
        for (m, id) in victims {
            self.stop_gracefully(m, id);
        }
        let mut leaving = Vec::new();
        for planned in moves {
            leaving.push(self.start_migration(view, planned, wanted_by));
        }
        for (m, id) in leaving {
            self.stop_gracefully(m, id);
        }
        Ok(())
    }

    /// Holds room on all targets or on none. Returns what must stop there.
    fn hold_targets(
        &mut self,
        view: &ClusterView,
        moves: &[defrag::Move],
        wanted_by: Option<JobId>,
    ) -> Result<Vec<(u32, InstanceId)>, Obstacle> {
        let waiting_job = wanted_by.and_then(|id| self.jobs.index_of(id));
        let large_task_profile = waiting_job.and_then(|ix| self.jobs[ix].large_task_profile);
        let mut stops = Vec::new();
        let mut held: Vec<(u32, u32)> = Vec::new();
        for planned in moves {
            let ix = view.instances[planned.instance as usize].job;
            let target = view.workers[planned.to as usize];
            // One of the workers kept whole for the job is used for the others: where all free room
            // is kept, and no worker of it is free, nothing else helps.
            let reserved_for = self.workers[target].reserved_for;
            if large_task_profile.is_some() && reserved_for == large_task_profile {
                self.workers[target].reserved_for = None;
            }
            let Some(preemption) = self.select_victims(ix, target) else {
                for (m, ix) in held {
                    self.release_hold(m, ix);
                }
                return Err(Obstacle::TargetRoomGone);
            };
            let stop_s = self.stop_s(ix) + self.longest_stop_grace_s(&preemption.victims);
            let start_s = self.start_s(ix, target);
            self.hold(target, ix, stop_s + start_s);
            held.push((target, ix));
            stops.extend(preemption.victims.into_iter().map(|id| (target, id)));
        }
        Ok(stops)
    }

    /// Records a migration. Returns the instance that is to stop, and its worker.
    fn start_migration(
        &mut self,
        view: &ClusterView,
        planned: &defrag::Move,
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
            deadline: self.now + self.stop_s(id.job),
            start_s: self.start_s(id.job, target),
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

    /// How long a task may take until it runs on its target.
    fn start_s(&self, ix: u32, target: u32) -> f64 {
        self.fetch_s(ix, target) * FETCH_MARGIN + ARRIVAL_S
    }

    /// Reserves room before any task of the job waits.
    fn hold(&mut self, m: u32, ix: u32, for_s: f64) {
        self.reserve(m, ix, for_s);
        let reservations = self.workers[m].reservations.iter_mut();
        reservations
            .filter(|reservation| reservation.job == ix)
            .for_each(|reservation| reservation.for_migration = true);
    }
}
