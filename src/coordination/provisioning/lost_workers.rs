//! Release of lost workers, which otherwise stay in the worker table and count as existing ones.
//!
//! A worker is lost if the cloud has taken it back without a notice that reached the leader. The
//! cloud's list omits such a worker, but it also omits new ones, because it lags. A list proves that
//! a worker is gone only if it describes a time at which the worker already existed.
//!
//! If the fleet has its maximum size, a worker that is silent since its lease expired is released as
//! well, for each worker that is needed: it may exist, but it holds no tasks and takes the place of
//! one that works.
//!
//! Lost workers are returned like any other. The cloud ignores unknown names, and its confirmation
//! proves that the tasks are gone.

use std::collections::HashSet;

use crate::coordination::messages::WorkerList;
use crate::coordination::state::Core;

use super::unresponsive::ReleaseReason;

/// The largest age of a list, as a multiple of the usual age that the settings state.
const MAX_LIST_LAG_FACTOR: f64 = 2.0;

impl Core {
    /// Records which workers are gone according to a list. Without a bound on its age, a list proves
    /// nothing.
    pub(super) fn record_unlisted_workers(&mut self, list: &WorkerList) {
        let list_lag_s = self.config.cluster.cloud.list_lag_s;
        if list_lag_s <= 0.0 {
            return;
        }
        let described_at = list.requested_at - MAX_LIST_LAG_FACTOR * list_lag_s;
        let listed: HashSet<&str> = list.workers.iter().map(|w| w.name.as_str()).collect();
        for (_, worker) in self.workers.iter_mut() {
            let existed = worker.known_since <= described_at;
            worker.unlisted = existed && !listed.contains(worker.name.as_str());
        }
    }

    /// Marks lost workers for scale-in.
    pub(super) fn release_lost_workers(&mut self) {
        // A worker that still sends heartbeats exists, whatever the list says.
        let mut unlisted = self.workers.indices();
        unlisted.retain(|&worker_index| {
            let worker = &self.workers[worker_index];
            worker.unlisted && !worker.scaling_in && self.is_unresponsive(worker_index)
        });
        self.release(ReleaseReason::Unlisted, &unlisted);
        let expired = self.expired_worker_to_replace();
        self.release(ReleaseReason::Expired, expired.as_slice());
    }

    /// Returns a worker to be replaced by a new one: its lease has expired, a job needs a worker,
    /// and the configured maximum allows one only if this one is returned.
    fn expired_worker_to_replace(&self) -> Option<u32> {
        if !self.replacing_makes_room() {
            return None;
        }
        let mut expired = self.workers.iter();
        let (worker_index, worker) = expired.find(|(_, w)| !Self::may_hold_lease(w))?;
        // One at a time: the next one is released when this one is gone.
        let needed = !worker.scaling_in && !self.plan_scale_out(1).is_empty();
        needed.then_some(worker_index)
    }

    /// Marks workers for scale-in, and logs them.
    pub(super) fn release(&mut self, reason: ReleaseReason, released: &[u32]) {
        for &worker_index in released {
            self.workers[worker_index].scaling_in = true;
        }
        self.log_released(reason, released);
    }
}
