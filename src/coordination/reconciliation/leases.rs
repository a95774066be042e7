//! Expiry of worker leases. A worker whose lease has expired has dropped all of its tasks.

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A bound on the relative rate of two steady clocks, each of which drifts by up to 0.05%.
const CLOCK_DRIFT: f64 = 1.001;
/// Added to the lease for the delay of timers and queues in the worker.
const LEASE_MARGIN_S: Time = 0.3;
/// The extra time without any heartbeat, after every worker has become unresponsive, before the
/// leader may consider itself partitioned.
const ALL_UNRESPONSIVE_MARGIN_S: Time = 0.5;

impl Core {
    /// Whether all workers have been silent for longer than it takes a single one to count as
    /// unresponsive. In that case this controller is partitioned, or all workers are gone.
    pub fn has_lost_all_workers(&self) -> bool {
        self.workers
            .iter()
            .any(|(_, worker)| worker.known_to_predecessor || worker.last_heartbeat_at.is_some())
            && self.silence_s() > self.all_unresponsive_after_s()
    }

    /// Whether all workers have been silent for so long that no lease is left that this leader or
    /// an earlier one granted. No job is blocked for lost workers any more.
    pub fn silence_outlasts_leases(&self) -> bool {
        let leases_s = self.config.tuning.leader_ttl_s() + self.lease_upper_bound_s();
        self.silence_s() > leases_s + self.all_unresponsive_after_s()
    }

    /// For how long no worker has been heard.
    fn silence_s(&self) -> Time {
        let heartbeats = self
            .workers
            .iter()
            .filter_map(|(_, worker)| worker.last_heartbeat_at);
        self.now - heartbeats.fold(self.expecting_heartbeats_since, f64::max)
    }

    fn all_unresponsive_after_s(&self) -> Time {
        self.unresponsive_after_s() + ALL_UNRESPONSIVE_MARGIN_S
    }

    /// When a worker's lease will certainly have expired; infinite while a shard owner may renew
    /// it.
    pub(super) fn lease_expires_at(&self, worker: &Worker) -> Time {
        let answered = self.latest_possible_answer(worker);
        answered.map_or(f64::INFINITY, |at| at + self.lease_upper_bound_s())
    }

    /// The time after its last answered heartbeat by which a worker has certainly dropped its
    /// tasks.
    pub(crate) fn lease_upper_bound_s(&self) -> f64 {
        self.config.cluster.workers.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
    }

    /// Whether a worker may hold tasks under a lease: of this leader, or, if this leader has not
    /// heard it, of an earlier one that registered it.
    pub(crate) fn may_hold_lease(worker: &Worker) -> bool {
        let unheard = worker.incarnation == 0;
        worker.may_be_alive() || (unheard && worker.page.is_some())
    }

    /// Clears the workers whose lease has expired: they have dropped their tasks.
    pub(crate) fn expire_leases(&mut self) {
        let mut expired = 0u32;
        let mut instances = 0;
        let mut last = None;
        for worker_index in self.workers.indices() {
            let worker = &self.workers[worker_index];
            if !Self::may_hold_lease(worker) || self.now <= self.lease_expires_at(worker) {
                continue;
            }
            tracing::debug!(
                worker = worker.name,
                instances = worker.instances.len(),
                "worker lease expired"
            );
            expired += 1;
            instances += worker.instances.len();
            last = Some(worker_index);
            self.expire_lease(worker_index);
        }
        match (expired, last) {
            (1, Some(worker_index)) => {
                let worker = &self.workers[worker_index].name;
                tracing::info!(worker, instances, "worker lease expired");
            }
            (0, _) => {}
            (workers, _) => tracing::info!(workers, instances, "worker leases expired"),
        }
    }

    fn expire_lease(&mut self, worker_index: u32) {
        self.clear_worker(worker_index);
        let worker = &mut self.workers[worker_index];
        worker.expired_incarnation = worker.incarnation;
        worker.reconciled = false;
        // The worker holds no tasks, so the next leader need not wait for its heartbeat. If it
        // stayed registered, reclaimed spot workers would delay every failover by a lease.
        self.unregister_worker(worker_index);
    }
}
