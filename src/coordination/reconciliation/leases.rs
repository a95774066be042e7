//! Leases of workers: when one has surely expired, the worker has dropped all of its tasks.

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// Steady clocks drift apart by 0.05% each way.
const CLOCK_DRIFT: f64 = 1.001;
/// Timers and queues of a worker add a little to its lease.
const LEASE_MARGIN_S: Time = 0.3;
/// How much longer than a worker is unresponsive all of them must be before the leader takes
/// itself for partitioned.
const ALL_UNRESPONSIVE_MARGIN_S: Time = 0.5;

impl Core {
    /// Whether no worker at all has sent a heartbeat for longer than any worker goes without one:
    /// then it is this controller that is partitioned, and another should lead.
    pub fn has_lost_all_workers(&self) -> bool {
        let patience_s = self.unresponsive_after_s() + ALL_UNRESPONSIVE_MARGIN_S;
        let last = self
            .workers
            .iter()
            .filter_map(|(_, worker)| worker.last_heartbeat_at)
            .fold(self.expecting_heartbeats_since, f64::max);
        self.workers
            .iter()
            .any(|(_, worker)| worker.known_to_predecessor || worker.last_heartbeat_at.is_some())
            && self.now - last > patience_s
    }

    /// When a worker's lease has surely expired; infinite while a shard owner may renew it.
    pub(super) fn lease_expires_at(&self, worker: &Worker) -> Time {
        let answered = self.latest_possible_answer(worker);
        answered.map_or(f64::INFINITY, |at| at + self.lease_upper_bound_s())
    }

    /// After this long without an answer a worker has surely dropped its tasks.
    pub(crate) fn lease_upper_bound_s(&self) -> f64 {
        self.config.cluster.workers.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
    }

    /// Workers whose lease has expired hold nothing any more.
    pub(crate) fn expire_leases(&mut self) {
        let mut expired = 0u32;
        let mut instances = 0;
        let mut last = None;
        for m in self.workers.indices() {
            let worker = &self.workers[m];
            if !worker.may_be_alive() || self.now <= self.lease_expires_at(worker) {
                continue;
            }
            tracing::debug!(
                worker = worker.name,
                instances = worker.instances.len(),
                "worker lease expired"
            );
            expired += 1;
            instances += worker.instances.len();
            last = Some(m);
            self.expire_lease(m);
        }
        match (expired, last) {
            (1, Some(m)) => {
                let worker = &self.workers[m].name;
                tracing::info!(worker, instances, "worker lease expired");
            }
            (0, _) => {}
            (workers, _) => tracing::info!(workers, instances, "worker leases expired"),
        }
    }

    fn expire_lease(&mut self, m: u32) {
        self.clear_worker(m);
        let worker = &mut self.workers[m];
        worker.expired_incarnation = worker.incarnation;
        worker.reconciled = false;
        // It holds nothing, so the next leader need not wait for its answer. Otherwise reclaimed
        // spot workers would hold every failover up for a lease.
        self.unregister_worker(m);
    }
}
