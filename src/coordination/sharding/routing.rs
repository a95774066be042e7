//! Decides which controller answers a worker's heartbeats, and bounds when it was last answered.

use copperfield_sharding::{AnswerPermission, Route};

use crate::coordination::fencing::DeferredHeartbeat;
use crate::coordination::messages::Effect;
use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::coordination::time::ceil_ms;

/// If a worker still runs a task this long after the task's job began to end, only the leader may
/// answer it. The leader's answers carry the stops; without answers the worker's lease expires.
const STOP_TIMEOUT_S: Time = 6.0;

impl Core {
    /// The latest time at which any controller can have answered a worker, or `None` if a shard
    /// owner may answer it now.
    pub(in crate::coordination) fn latest_possible_answer(&self, worker: &Worker) -> Option<Time> {
        let own = worker.answered_at.unwrap_or(self.elected_at);
        let Some(sharding) = &self.sharding else {
            return Some(own);
        };
        let others = sharding.coordinator.unanswered_since(worker.shard_number)?;
        Some(own.max(others as f64 / 1000.0))
    }

    /// The shard owner of a worker, or `None` if only this controller may answer it.
    pub(in crate::coordination) fn shard_owner_of(&self, worker_index: u32) -> Option<u32> {
        let sharding = self.sharding.as_ref()?;
        sharding
            .coordinator
            .shard_owner(self.workers[worker_index].shard_number)
    }

    /// The name of the controller that answers a worker. `None` if workers are not sharded, or if
    /// the worker has no shard owner and is unresponsive.
    pub(in crate::coordination) fn answering_controller(&self, worker_index: u32) -> Option<&str> {
        let sharding = self.sharding.as_ref()?;
        let index = match self.shard_owner_of(worker_index) {
            Some(owner) => owner,
            None if self.is_unresponsive(worker_index) => return None,
            None => sharding.own_index,
        };
        sharding.controllers.get(index as usize).map(String::as_str)
    }

    /// Which controllers may be assigned a worker now.
    pub(super) fn answer_permission(&self, worker_index: u32) -> AnswerPermission {
        if self.fencing.is_fenced(&self.workers[worker_index].name) {
            // Under a lease extension by all peers, the leader itself may answer fenced workers.
            return if self.now < self.lease_extended_until {
                AnswerPermission::LeaderOnly
            } else {
                AnswerPermission::NoController
            };
        }
        if self.requires_stops_in_answers(worker_index) {
            AnswerPermission::LeaderOnly
        } else {
            AnswerPermission::AnyController
        }
    }

    /// Whether a worker's lease may be renewed only by answers that carry its stops. This is the
    /// case if it still runs a task of a job that began to end more than [`STOP_TIMEOUT_S`] ago, or
    /// of a job that this leader does not know, which may have ended at any time. The time counts
    /// from when the job began to end and not from the stop command to this instance, because the
    /// leader may have learned of the instance only now.
    pub(super) fn requires_stops_in_answers(&self, worker_index: u32) -> bool {
        let worker = &self.workers[worker_index];
        let runs_ended_task = |(id, instance): (&InstanceId, &TaskInstance)| {
            let ending_since = self.jobs[id.job].ending_since;
            instance.exit().is_none()
                && ending_since.is_some_and(|since| self.now - since > STOP_TIMEOUT_S)
        };
        worker.running_orphans().next().is_some() || worker.instances.iter().any(runs_ended_task)
    }

    /// Decides where a heartbeat that controller `at` received is answered. `waits` tells whether
    /// the worker's request is still open at that controller.
    pub(in crate::coordination) fn route_heartbeat(
        &mut self,
        worker_index: u32,
        at: u32,
        waits: bool,
    ) -> Route {
        let permission = self.answer_permission(worker_index);
        let previous_owner = self.shard_owner_of(worker_index);
        let number = self.workers[worker_index].shard_number;
        let Some(sharding) = &mut self.sharding else {
            return Route::Here;
        };
        let now = ceil_ms(self.now);
        let route = sharding
            .coordinator
            .handle_heartbeat(now, number, at, permission, waits);
        let owner = sharding.coordinator.shard_owner(number);
        if owner != previous_owner {
            let worker = &self.workers[worker_index].name;
            let log = &mut self.reconciliation.lease_log;
            log.record_assignment(self.now, worker, owner, "heartbeat");
        }
        route
    }

    /// Answers deferred heartbeats whose workers are no longer fenced and can no longer be answered
    /// by another controller. Workers that have a shard owner by now are redirected to it; the
    /// other heartbeats stay deferred.
    pub(in crate::coordination) fn answer_deferred_heartbeats(&mut self) {
        for (name, DeferredHeartbeat { ticket, heartbeat }) in self.fencing.take_deferred() {
            let fenced = self.fencing.is_fenced(&name) && self.now >= self.lease_extended_until;
            let worker_index = self.workers.index_of(&name);
            if let Some(controller) =
                worker_index.and_then(|worker_index| self.shard_owner_of(worker_index))
            {
                // The worker has since reported to another controller.
                self.effects
                    .push(Effect::RedirectWorker { ticket, controller });
                continue;
            }
            let owned = worker_index.is_some_and(|worker_index| {
                self.latest_possible_answer(&self.workers[worker_index])
                    .is_none()
            });
            if fenced || owned {
                self.fencing.defer(ticket, heartbeat);
            } else {
                self.answer_heartbeat(ticket, heartbeat);
            }
        }
    }
}
