//! Advances migrations, and cleans up when they end.

use crate::coordination::model::*;
use crate::coordination::state::Core;

use super::state::{MigrationOutcome, Stage, TaskMigration};

impl Core {
    /// Once a second: advances all migrations, and removes those that have ended.
    pub(in crate::coordination) fn advance_migrations(&mut self) {
        let mut live = std::mem::take(&mut self.migrations.live);
        let mut failed_for = Vec::new();
        live.retain_mut(|migration| {
            let Some(outcome) = self.advance_migration(migration) else {
                return true;
            };
            if !migration.has_left_source() && outcome == MigrationOutcome::StillAtSource {
                failed_for.extend(migration.wanted_by);
            }
            self.finish_migration(migration, outcome);
            false
        });
        self.migrations.live = live;
        self.migrations.trim_recent();
        failed_for.sort_unstable();
        failed_for.dedup();
        for job_id in failed_for {
            self.migrations.record_failure(job_id, self.now);
        }
        let cooldown_s = self.config.tuning.defragmentation.migration_cooldown_s;
        self.migrations.forget_migrated_before(self.now, cooldown_s);
    }

    fn finish_migration(&mut self, migration: &TaskMigration, outcome: MigrationOutcome) {
        tracing::info!(
            job = %migration.job_id,
            task = migration.instance.task,
            from = migration.from,
            to = migration.to,
            end = outcome.as_str(),
            "migration finished"
        );
        if outcome != MigrationOutcome::Arrived {
            self.release_target(migration);
        }
        self.migrations.record_outcome(migration.clone(), outcome);
    }

    /// Advances a migration to its next stage once the old instance is gone. Returns the outcome if
    /// the migration has ended.
    fn advance_migration(&self, migration: &mut TaskMigration) -> Option<MigrationOutcome> {
        let id = migration.instance;
        let job = self.jobs.get(id.job);
        let job = job.filter(|job| job.spec.id == migration.job_id);
        let Some(job) = job.filter(|job| matches!(job.state, JobState::Live | JobState::Finishing))
        else {
            return Some(MigrationOutcome::JobOver);
        };
        let task = &job.tasks[id.task as usize];
        if task.done {
            return Some(MigrationOutcome::TaskDone);
        }
        let is_overdue = |migration: &TaskMigration| self.now > migration.deadline;
        let at_source = self.possible_instance_on(&migration.from, |other| *other == id);
        if at_source.is_some() {
            return is_overdue(migration).then_some(MigrationOutcome::StillAtSource);
        }
        if migration.stage == Stage::Stopping {
            migration.stage = Stage::Starting;
            migration.deadline = self.now + migration.max_start_s;
        }
        let same_task = |other: &InstanceId| other.job == id.job && other.task == id.task;
        if let Some(instance) = self.possible_instance_on(&migration.to, same_task) {
            if instance.is_running() {
                return Some(MigrationOutcome::Arrived);
            }
            return is_overdue(migration).then_some(MigrationOutcome::StillFetching);
        }
        if task.instances > 0 {
            return Some(MigrationOutcome::StartedElsewhere);
        }
        is_overdue(migration).then_some(MigrationOutcome::Unplaced)
    }

    fn possible_instance_on(
        &self,
        worker_name: &str,
        test: impl Fn(&InstanceId) -> bool,
    ) -> Option<&TaskInstance> {
        let worker_index = self.workers.index_of(worker_name)?;
        let mut instances = self.workers[worker_index].instances.iter();
        instances
            .find(|(id, instance)| instance.may_exist() && test(id))
            .map(|(_, instance)| instance)
    }

    /// Releases the room reserved on the target of a migration that did not succeed.
    fn release_target(&mut self, migration: &TaskMigration) {
        if let Some(target) = self.workers.index_of(&migration.to) {
            self.release_migration_reservation(target, migration.instance.job);
        }
    }

    /// Releases the room that is reserved for one migrating task of a job.
    pub(super) fn release_migration_reservation(&mut self, worker_index: u32, job_index: u32) {
        let reservations = &mut self.workers[worker_index].reservations;
        let reserved = reservations
            .iter_mut()
            .find(|reservation| reservation.job == job_index && reservation.for_migration);
        if let Some(reservation) = reserved {
            reservation.count = reservation.count.saturating_sub(1);
        }
        reservations.retain(|reservation| reservation.count > 0);
    }
}
