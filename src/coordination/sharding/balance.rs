//! Shard maintenance, once per batch: late workers are revoked, workers of unreachable shard owners
//! are reassigned, and workers move between controllers for balance.

use std::collections::BTreeMap;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::coordination::time::ceil_ms;

use super::Sharding;

/// A late worker is revoked this long before it counts as unresponsive. Only while a worker has no
/// shard owner does a missing heartbeat show that it is unresponsive.
const REVOKE_LEAD_S: Time = 0.6;
/// If more than one in this many workers is late, that is a mass loss.
const MASS_LOSS_DIVISOR: usize = 50;
/// Interval between two log lines about the shards.
const LOG_INTERVAL_S: Time = 30.0;

/// Counts messages of shard owners since the last log line.
pub(super) struct TrafficLog {
    next_at: Time,
    statuses: u32,
    heartbeats: usize,
}

impl TrafficLog {
    pub(super) fn new(now: Time) -> Self {
        Self {
            next_at: now + LOG_INTERVAL_S,
            statuses: 0,
            heartbeats: 0,
        }
    }

    pub(super) fn record_status(&mut self, heartbeats: usize) {
        self.statuses += 1;
        self.heartbeats += heartbeats;
    }

    fn is_due(&self, now: Time) -> bool {
        now >= self.next_at
    }
}

impl Sharding {
    fn log_shard_sizes(&mut self, now: Time) {
        if !self.traffic.is_due(now) {
            return;
        }
        let workers: BTreeMap<&String, usize> = self
            .controllers
            .iter()
            .zip(self.coordinator.loads())
            .collect();
        let TrafficLog {
            statuses,
            heartbeats,
            ..
        } = std::mem::replace(&mut self.traffic, TrafficLog::new(now));
        tracing::info!(?workers, statuses, heartbeats, "shard sizes");
    }
}

/// The workers to revoke, and whether many are late.
struct LateWorkers {
    /// Numbers of the workers that are late, and of those whose answers must carry stops.
    to_revoke: Vec<u32>,
    /// Whether so many workers are late that they count as a mass loss.
    is_mass_loss: bool,
}

impl Core {
    /// Revokes late workers, reassigns workers of unreachable shard owners, moves workers for
    /// balance, and ends messages that were lost with their relays. Called once per batch.
    pub(in crate::coordination) fn balance_shards(&mut self) {
        if self.sharding.is_none() {
            return;
        }
        let late = self.late_workers();
        let allow_moves = self.reconciliation.is_complete() && !late.is_mass_loss;
        let now = ceil_ms(self.now);
        self.revoke_workers(late.to_revoke);
        let Some(sharding) = &mut self.sharding else {
            return;
        };
        for controller in sharding.coordinator.tick(now, allow_moves) {
            let controller = &sharding.controllers[controller as usize];
            tracing::info!(
                controller,
                "shard owner unreachable, reassigning its workers"
            );
        }
        sharding.log_shard_sizes(self.now);
        self.expire_relayed_messages();
        self.answer_deferred_heartbeats();
    }

    /// Revokes these workers from their shard owners: only the leader may answer them from now on.
    fn revoke_workers(&mut self, numbers: Vec<u32>) {
        let Some(sharding) = &mut self.sharding else {
            return;
        };
        for number in numbers {
            if sharding.coordinator.shard_owner(number).is_some()
                && let Some(worker) = sharding.worker_names.get(&number)
            {
                let log = &mut self.reconciliation.lease_log;
                log.record_assignment(
                    self.now,
                    worker,
                    None,
                    "late, or runs a task that is to stop",
                );
            }
            if sharding.coordinator.unanswered_since(number).is_none() {
                sharding.coordinator.revoke(number);
            }
        }
    }

    fn late_workers(&self) -> LateWorkers {
        let late_after_s = self.unresponsive_after_s() - REVOKE_LEAD_S;
        let (mut late, mut all) = (0, 0);
        let mut to_revoke = Vec::new();
        for (worker_index, worker) in self.workers.iter() {
            let last_heartbeat_at = worker
                .last_heartbeat_at
                .unwrap_or(self.expecting_heartbeats_since);
            let is_late = self.now - last_heartbeat_at > late_after_s;
            let lease_expired = worker.incarnation <= worker.expired_incarnation;
            all += 1;
            // Workers whose lease has expired are already handled and do not count as late.
            late += usize::from(is_late && !lease_expired);
            if is_late || self.requires_stops_in_answers(worker_index) {
                to_revoke.push(worker.shard_number);
            }
        }
        LateWorkers {
            to_revoke,
            is_mass_loss: late * MASS_LOSS_DIVISOR > all,
        }
    }
}
