//! What a stop of a task instance would cost, and whether it may be migrated now.

use crate::coordination::gangs::checkpoint_grace_s;
use crate::coordination::model::*;
use crate::coordination::state::{Core, MIN_RUN_BEFORE_MOVE_S};
use crate::protocol::worker::TaskPhase;

/// From an order to stop to the proof that it was carried out, beside the time to save: a heartbeat,
/// and a message that is sent again.
const PROOF_S: f64 = 4.0;
/// Of a heartbeat interval: the longest time between two heartbeats that are on time.
const HEARTBEAT_JITTER: f64 = 1.25;
/// Of the expected work: what is left at least of a task that runs for longer than expected.
const MIN_LEFT_SHARE: f64 = 0.1;
/// A job of less patience has an objective for its start, which only counts once it has run a while.
const OBJECTIVE_TOLERANCE_S: f64 = 120.0;

/// What is expected of a task instance.
pub(super) struct Prospects {
    /// In how many seconds it ends by itself.
    pub(super) ends_in_s: f64,
    /// How many seconds of its work a stop would lose.
    pub(super) lost_s: f64,
}

impl Core {
    pub(super) fn prospects(&self, id: &InstanceId, instance: &TaskInstance) -> Prospects {
        let job = &self.jobs[id.job];
        if instance.stop.is_some() {
            return Prospects {
                ends_in_s: 0.0,
                lost_s: 0.0,
            };
        }
        if job.is_service() {
            return Prospects {
                ends_in_s: f64::INFINITY,
                lost_s: 0.0,
            };
        }
        let ran_s = instance.running_since.map_or(0.0, |since| self.now - since);
        let saves = job.spec.checkpoint_s > 0.0;
        Prospects {
            ends_in_s: (job.work_s() - ran_s).max(job.work_s() * MIN_LEFT_SHARE),
            lost_s: if saves { job.spec.save_s } else { ran_s },
        }
    }

    /// Whether an instance may be migrated now. On a draining worker it need not have run for a
    /// while; everything else holds there too.
    pub(super) fn may_migrate(
        &self,
        id: &InstanceId,
        instance: &TaskInstance,
        lost_s: f64,
        draining: bool,
    ) -> bool {
        let job = &self.jobs[id.job];
        let settings = &self.config.tuning.defragmentation;
        let saves = job.spec.checkpoint_s > 0.0;
        let running_since = instance.running_since;
        let settled = running_since.is_some_and(|since| self.now - since > MIN_RUN_BEFORE_MOVE_S);
        let has_objective = !job.placement_deadlines_s.is_empty()
            && job.start_delay_tolerance_s < OBJECTIVE_TOLERANCE_S;
        let migrated_at = self.migrations.last_migrated_at(job.spec.id, id.task);
        job.movable
            && job.state == JobState::Live
            && !job.blocked
            // A waiting task of the job would take the target before this one comes there.
            && job.waiting() == 0
            && instance.phase == Some(TaskPhase::Running)
            && instance.start_delivery == StartDelivery::Reported
            && !instance.unacknowledged
            && instance.stop.is_none()
            && (draining || settled || !(has_objective || job.is_service()))
            && (job.is_service() || saves || lost_s < settings.lost_work_s)
            && migrated_at.is_none_or(|time| self.now - time > settings.again_after_s)
    }

    /// From the order to stop a task of a job until it is surely gone.
    pub(super) fn stop_s(&self, ix: u32) -> f64 {
        let workers = &self.config.cluster.workers;
        let grace_s = if self.is_multi_task_gang(ix) {
            checkpoint_grace_s(self.jobs[ix].spec.save_s) + workers.gang_peer_s
        } else {
            self.stop_grace_s(ix)
        };
        grace_s + workers.heartbeat_interval_s * HEARTBEAT_JITTER + PROOF_S
    }
}
