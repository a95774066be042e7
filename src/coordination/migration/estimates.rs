//! Estimates what stopping a task instance would lose, and decides whether it may be migrated now.

use crate::coordination::gangs::checkpoint_grace_s;
use crate::coordination::model::*;
use crate::coordination::state::{Core, MIN_RUN_BEFORE_MIGRATION_S};
use crate::protocol::worker::TaskPhase;

/// The time from an order to stop until the leader has proof that the instance is gone, in addition
/// to the grace period and one heartbeat interval. It covers the delivery of a heartbeat and one
/// message that is sent again.
const STOP_CONFIRMATION_S: f64 = 4.0;
/// The longest time between two heartbeats that are in time, in heartbeat intervals.
const HEARTBEAT_JITTER: f64 = 1.25;
/// The share of its expected runtime that a task is assumed to have left at least, even if it has
/// already run for longer than expected.
const MIN_LEFT_SHARE: f64 = 0.1;
/// A job that tolerates less start delay than this has an objective for its start. The objective
/// counts as met only once the job has run for a while, so until then its tasks are not migrated.
const OBJECTIVE_TOLERANCE_S: f64 = 120.0;

/// What is expected of a task instance if it runs on, and if it is stopped.
pub(super) struct InstanceEstimate {
    /// The number of seconds until it ends by itself; infinite for a service.
    pub(super) ends_in_s: f64,
    /// The number of seconds of its work that a stop would lose.
    pub(super) lost_s: f64,
}

impl Core {
    pub(super) fn estimate_instance(
        &self,
        id: &InstanceId,
        instance: &TaskInstance,
    ) -> InstanceEstimate {
        let job = &self.jobs[id.job];
        if instance.stop.is_some() {
            return InstanceEstimate {
                ends_in_s: 0.0,
                lost_s: 0.0,
            };
        }
        if job.is_service() {
            return InstanceEstimate {
                ends_in_s: f64::INFINITY,
                lost_s: 0.0,
            };
        }
        let ran_s = instance.running_since.map_or(0.0, |since| self.now - since);
        let saves_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        InstanceEstimate {
            ends_in_s: (job.work_s() - ran_s).max(job.work_s() * MIN_LEFT_SHARE),
            lost_s: if saves_checkpoints {
                job.spec.checkpoint_save_s
            } else {
                ran_s
            },
        }
    }

    /// Whether an instance may be migrated now. On a draining worker, a service or a job with an
    /// objective for its start may be migrated before it has run for a while; all other conditions
    /// hold there too.
    pub(super) fn may_migrate(
        &self,
        id: &InstanceId,
        instance: &TaskInstance,
        lost_s: f64,
        draining: bool,
    ) -> bool {
        let job = &self.jobs[id.job];
        let settings = &self.config.tuning.defragmentation;
        let saves_checkpoints = job.spec.checkpoint_interval_s > 0.0;
        let running_since = instance.running_since;
        let has_run_long_enough =
            running_since.is_some_and(|since| self.now - since > MIN_RUN_BEFORE_MIGRATION_S);
        let has_objective = !job.placement_deadlines_s.is_empty()
            && job.start_delay_tolerance_s < OBJECTIVE_TOLERANCE_S;
        let migrated_at = self.migrations.last_migrated_at(job.spec.id, id.task);
        job.movable
            && job.state == JobState::Live
            && !job.blocked
            // A waiting task of the same job would take the room reserved on the target.
            && job.waiting() == 0
            && instance.phase == Some(TaskPhase::Running)
            && instance.start_delivery == StartDelivery::Reported
            && !instance.unacknowledged
            && instance.stop.is_none()
            && (draining || has_run_long_enough || !(has_objective || job.is_service()))
            && (job.is_service() || saves_checkpoints || lost_s < settings.max_lost_work_s)
            && migrated_at.is_none_or(|time| self.now - time > settings.migration_cooldown_s)
    }

    /// The longest expected time from the order to stop a task of a job until it is certainly gone.
    pub(super) fn max_stop_s(&self, job_index: u32) -> f64 {
        let workers = &self.config.cluster.workers;
        let grace_s = if self.is_multi_task_gang(job_index) {
            checkpoint_grace_s(self.jobs[job_index].spec.checkpoint_save_s) + workers.gang_peer_s
        } else {
            self.stop_grace_s(job_index)
        };
        grace_s + workers.heartbeat_interval_s * HEARTBEAT_JITTER + STOP_CONFIRMATION_S
    }
}
