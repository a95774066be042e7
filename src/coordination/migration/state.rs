//! The state that the leader keeps of task migrations.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use crate::coordination::model::{InstanceId, Time};
use crate::protocol::JobId;

use super::obstacle::Obstacle;

/// Maximum number of finished migrations in the operators' view.
const RECENT_LIMIT: usize = 50;
/// After this many failures for one job, no more migrations are started for it.
const MAX_FAILURES: u32 = 6;
/// The pause after the first failure for a job. It doubles with every further failure.
const FIRST_PAUSE_S: f64 = 10.0;

/// The stage of a migration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The old instance may still be there.
    Stopping,
    /// The old instance is gone, so its resources are free.
    Starting,
}

/// How a migration ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MigrationOutcome {
    /// The task runs on its target.
    Arrived,
    /// The task started on another worker than its target.
    StartedElsewhere,
    /// The task ended by itself during the migration.
    TaskDone,
    /// The job has ended.
    JobOver,
    /// The old instance was not gone in time.
    StillAtSource,
    /// The task is on its target but did not run in time.
    StillFetching,
    /// The task was placed nowhere in time.
    Unplaced,
}

impl MigrationOutcome {
    /// The text in the operators' view.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::StartedElsewhere => "started elsewhere",
            Self::TaskDone => "ended by itself",
            Self::JobOver => "its job is over",
            Self::StillAtSource => "did not leave in time",
            Self::StillFetching => "still fetching",
            Self::Unplaced => "waits for a place",
        }
    }
}

/// The migration of one task to another worker. Workers are stored by name, because their indices
/// may be reused before the migration ends.
#[derive(Debug, Clone)]
pub(in crate::coordination) struct TaskMigration {
    pub(super) job_id: JobId,
    /// The instance that is to stop.
    pub(super) instance: InstanceId,
    pub(super) from: String,
    pub(super) to: String,
    /// The job that waits for the worker; `None` if the worker is draining.
    pub(super) wanted_by: Option<JobId>,
    pub(super) started_at: Time,
    pub(super) stage: Stage,
    /// When the current stage must be over.
    pub(super) deadline: Time,
    /// How long the stage [`Stage::Starting`] may take.
    pub(super) max_start_s: f64,
}

impl TaskMigration {
    /// The task as the operators' view names it.
    pub(in crate::coordination) fn task_name(&self) -> String {
        format!("{}/{}", self.job_id, self.instance.task)
    }

    pub(in crate::coordination) fn source(&self) -> &str {
        &self.from
    }

    pub(in crate::coordination) fn target(&self) -> &str {
        &self.to
    }

    /// The job that waits for the worker; `None` if the worker is draining.
    pub(in crate::coordination) fn wanted_by(&self) -> Option<JobId> {
        self.wanted_by
    }

    pub(in crate::coordination) fn age_s(&self, now: Time) -> f64 {
        now - self.started_at
    }

    /// The stage as the operators' view names it.
    pub(in crate::coordination) fn stage_name(&self) -> &'static str {
        match self.stage {
            Stage::Stopping => "stopping",
            Stage::Starting => "starting",
        }
    }

    pub(super) fn has_left_source(&self) -> bool {
        self.stage == Stage::Starting
    }
}

/// The result of the last planning for a job that waits for whole workers.
#[derive(Debug)]
pub(super) enum PlanStatus {
    /// This many migrations are under way for it.
    Migrating(usize),
    /// No task is migrated for it.
    Blocked(Obstacle),
}

impl fmt::Display for PlanStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Migrating(count) => write!(f, "{count} moves are under way"),
            Self::Blocked(obstacle) => obstacle.fmt(f),
        }
    }
}

/// How often migrations for a job have failed, and when they may be tried again.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    failures: u32,
    next_at: Time,
}

/// The migrations under way, and records of earlier ones.
#[derive(Debug, Default)]
pub(in crate::coordination) struct Migrations {
    pub(super) live: Vec<TaskMigration>,
    /// The last migrations that ended, the newest last.
    recent: VecDeque<(TaskMigration, MigrationOutcome)>,
    /// The number of migrations that have ended.
    finished: usize,
    /// When each task was last migrated.
    migrated_at: BTreeMap<(JobId, u32), Time>,
    /// By job that waits for whole workers; only jobs with failed migrations have an entry.
    backoffs: BTreeMap<JobId, Backoff>,
    /// By job that waits for whole workers.
    plan_statuses: BTreeMap<JobId, PlanStatus>,
}

impl Migrations {
    /// The migrations under way.
    pub(in crate::coordination) fn live(&self) -> impl Iterator<Item = &TaskMigration> {
        self.live.iter()
    }

    /// The last migrations that ended, with their outcomes, the newest first.
    pub(in crate::coordination) fn recent(
        &self,
    ) -> impl Iterator<Item = (&TaskMigration, &'static str)> {
        let recent = self.recent.iter().rev();
        recent.map(|(migration, outcome)| (migration, outcome.as_str()))
    }

    /// For each job that waits for whole workers: how many migrations are under way for it, or why
    /// none is.
    pub(in crate::coordination) fn plan_statuses(&self) -> impl Iterator<Item = (JobId, String)> {
        let statuses = self.plan_statuses.iter();
        statuses.map(|(id, status)| (*id, status.to_string()))
    }

    pub(super) fn finished(&self) -> usize {
        self.finished
    }

    pub(super) fn live_for(&self, wanted_by: JobId) -> usize {
        let live = self.live.iter();
        live.filter(|migration| migration.wanted_by == Some(wanted_by))
            .count()
    }

    /// The number of migrating tasks of each job.
    pub(super) fn live_by_job(&self) -> BTreeMap<JobId, u32> {
        let mut counts: BTreeMap<JobId, u32> = BTreeMap::new();
        for migration in &self.live {
            *counts.entry(migration.job_id).or_default() += 1;
        }
        counts
    }

    pub(super) fn start(&mut self, migration: TaskMigration) {
        let task = (migration.job_id, migration.instance.task);
        self.migrated_at.insert(task, migration.started_at);
        self.live.push(migration);
    }

    pub(super) fn record_outcome(&mut self, migration: TaskMigration, outcome: MigrationOutcome) {
        self.recent.push_back((migration, outcome));
        self.finished += 1;
    }

    pub(super) fn trim_recent(&mut self) {
        while self.recent.len() > RECENT_LIMIT {
            self.recent.pop_front();
        }
    }

    /// When the last migration of a task started.
    pub(super) fn last_migrated_at(&self, job_id: JobId, task: u32) -> Option<Time> {
        self.migrated_at.get(&(job_id, task)).copied()
    }

    pub(super) fn forget_migrated_before(&mut self, now: Time, max_age_s: f64) {
        self.migrated_at
            .retain(|_, migrated_at| now - *migrated_at <= max_age_s);
    }

    /// Drops the records of jobs that no longer wait.
    pub(super) fn retain_waiting(&mut self, waiting: &[JobId]) {
        self.plan_statuses.retain(|id, _| waiting.contains(id));
        self.backoffs.retain(|id, _| waiting.contains(id));
    }

    pub(super) fn set_plan_status(&mut self, job_id: JobId, status: PlanStatus) {
        self.plan_statuses.insert(job_id, status);
    }

    /// Returns an error if earlier failures forbid migrations for a job now.
    pub(super) fn check_backoff(&self, job_id: JobId, now: Time) -> Result<(), Obstacle> {
        let backoff = self.backoffs.get(&job_id).copied().unwrap_or_default();
        if backoff.failures >= MAX_FAILURES {
            Err(Obstacle::TooManyFailures)
        } else if backoff.next_at > now {
            Err(Obstacle::BackingOff)
        } else {
            Ok(())
        }
    }

    pub(super) fn record_failure(&mut self, job_id: JobId, now: Time) {
        let backoff = self.backoffs.entry(job_id).or_default();
        backoff.next_at = now + FIRST_PAUSE_S * 2f64.powi(backoff.failures as i32);
        backoff.failures += 1;
    }
}
