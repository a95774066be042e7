//! Scale-in: returns idle, quarantined and unbooted workers to the cloud, and workers that other
//! modules release.

use crate::coordination::messages::Effect;
use crate::coordination::model::*;
use crate::coordination::state::Core;

/// Workers per request. The cloud accepts at most 100.
const MAX_WORKERS_PER_REQUEST: usize = 100;
/// An empty worker is returned after this many quarantines without a successful task in between.
const QUARANTINES_BEFORE_RETURN: u32 = 2;

impl Core {
    /// Handles the result of a scale-in request. `ok` means that all of the workers were scaled in.
    pub(crate) fn handle_scale_in_result(&mut self, names: Vec<String>, ok: bool) {
        self.provisioning.scale_in_pending = false;
        if !ok {
            return;
        }
        let mut removed = Vec::new();
        for name in names {
            self.provisioning.booting.remove(&name);
            self.workers.record_scaled_in(&name);
            let Some(worker_index) = self.workers.index_of(&name) else {
                continue;
            };
            self.clear_worker(worker_index);
            self.unregister_worker(worker_index);
            self.remove_worker_from_shards(worker_index);
            self.workers.remove(worker_index);
            self.end_drain_of_removed_worker(&name);
            removed.push(name);
        }
        log_scaled_in(&removed);
    }

    /// Marks workers that are idle or faulty for scale-in, and requests their return.
    pub(super) fn scale_in(&mut self) {
        let now = self.now;
        let is_live = |job: &Job| job.state == JobState::Live;
        let waiting = self
            .jobs
            .iter()
            .any(|(_, job)| is_live(job) && job.waiting() > 0);
        // While any job is live, more jobs can be expected, so the idle time has its own setting.
        let min_idle_s = if self.jobs.iter().any(|(_, job)| is_live(job)) {
            self.config.tuning.scale_in_idle_s
        } else {
            self.config.tuning.scale_in_idle_no_jobs_s
        };
        for (_, worker) in self.workers.iter_mut() {
            if !is_empty(worker) {
                continue;
            }
            let idle = worker.idle_since.is_some_and(|t| now - t > min_idle_s);
            let unused = idle && !waiting && !worker.draining;
            let faulty = worker.quarantined_until > now
                && worker.quarantine_count >= QUARANTINES_BEFORE_RETURN;
            if unused || faulty {
                worker.scaling_in = true;
            }
        }
        self.send_scale_in();
    }

    /// Requests the return of workers that are marked for scale-in or did not boot, unless a
    /// request is pending.
    pub(super) fn send_scale_in(&mut self) {
        if self.provisioning.scale_in_pending {
            return;
        }
        let mut names: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.scaling_in)
            .map(|(_, worker)| worker.name.clone())
            .take(MAX_WORKERS_PER_REQUEST)
            .collect();
        let remaining = MAX_WORKERS_PER_REQUEST - names.len();
        let unbooted: Vec<String> = self.unbooted_workers().take(remaining).cloned().collect();
        log_unbooted(&unbooted);
        names.extend(unbooted);
        if !names.is_empty() {
            self.provisioning.scale_in_pending = true;
            self.effects.push(Effect::ScaleIn(names));
        }
    }
}

/// Returns whether a worker holds no tasks and no message to it is in flight.
fn is_empty(worker: &Worker) -> bool {
    worker.instances.is_empty() && worker.orphaned_tasks.is_empty() && worker.in_flight.is_none()
}

/// Logs a single worker by name. Several workers are logged as a count, and by name at debug level.
fn log_scaled_in(workers: &[String]) {
    if let [worker] = workers {
        tracing::info!(worker, "scaled in");
        return;
    }
    for worker in workers {
        tracing::debug!(worker, "scaled in");
    }
    if !workers.is_empty() {
        tracing::info!(workers = workers.len(), "scaled in");
    }
}

/// Logs a single worker by name. Several workers are logged as a count, and by name at debug level.
fn log_unbooted(workers: &[String]) {
    if let [worker] = workers {
        tracing::info!(worker, "worker did not boot, returned");
        return;
    }
    for worker in workers {
        tracing::debug!(worker, "worker did not boot, returned");
    }
    if !workers.is_empty() {
        tracing::info!(workers = workers.len(), "workers did not boot, returned");
    }
}
