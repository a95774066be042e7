//! The conditions of a start, checked against all task instances that may exist.

use crate::protocol::job::Resources;

use super::model::*;
use super::state::Core;

/// Heartbeats arrive up to a quarter of their interval late.
const LATEST_HEARTBEAT_FACTOR: f64 = 1.25;
/// The time after the latest expected heartbeat before a worker counts as unresponsive.
const UNRESPONSIVE_MARGIN_S: Time = 1.0;

/// The maximum number of tasks that a worker lists, exited ones included, for which more are started
/// on it. A heartbeat has at most 64 KiB, and up to 90 bytes for each task.
const MAX_LISTED_TASKS: usize = 600;

impl Core {
    /// Whether a task may be started on a worker now.
    pub(super) fn may_start(&self, job_index: u32, task: u32, worker_index: u32) -> bool {
        let job = &self.jobs[job_index];
        let worker = &self.workers[worker_index];
        let state = &job.tasks[task as usize];
        job.state == JobState::Live
            && !state.done
            && state.instances == 0
            && f64::from(state.not_before) <= self.now
            && !job.blocked
            && self.worker_usable(worker_index)
            && self.worker_allowed(job_index, worker_index)
            && job.spec.needs.fits_in(&self.free_resources(worker_index))
            && self.zone_allows(job_index, worker.zone)
            && self.team_allows(job.team, &job.spec.needs)
            && self.may_supersede_exited(job_index, task, worker_index)
    }

    /// Whether one more instance of the job may be started in this zone.
    pub(super) fn zone_allows(&self, job_index: u32, zone: u32) -> bool {
        self.zone_allows_more(job_index, zone, 0)
    }

    /// Whether one more instance of the job may be started in this zone, in addition to `planned`
    /// ones.
    pub(super) fn zone_allows_more(&self, job_index: u32, zone: u32, planned: u32) -> bool {
        let job = &self.jobs[job_index];
        let here = job
            .instances_by_zone
            .get(zone as usize)
            .copied()
            .unwrap_or(0);
        here + planned < job.zone_cap()
            && (!job.spec.one_zone || job.instances_by_zone.iter().sum::<u32>() == here)
    }

    /// Whether the team's limit allows these resources in addition to all that may be in use.
    pub(super) fn team_allows(&self, team: u32, needs: &Resources) -> bool {
        let usage = &self.teams[team as usize];
        let limit = &usage.limit;
        let mut total = usage.used;
        total.add(&usage.unreconciled);
        total.add(needs);
        (limit.cpus == 0 || total.cpus <= limit.cpus)
            && (limit.gpus == 0 || total.gpus <= limit.gpus)
    }

    /// Whether the job may run on the worker and does not avoid it after a recent failure.
    pub(super) fn worker_allowed(&self, job_index: u32, worker_index: u32) -> bool {
        let worker = &self.workers[worker_index];
        self.constraints_allow_worker(job_index, worker_index)
            && worker
                .failed_jobs
                .get(&job_index)
                .is_none_or(|&until| until <= self.now)
    }

    /// Whether the job's own constraints (zone, instance types, spot) allow the worker. Recent
    /// failures do not count, so this tells whether any leader could have started the job there.
    pub(super) fn constraints_allow_worker(&self, job_index: u32, worker_index: u32) -> bool {
        let job = &self.jobs[job_index];
        let worker = &self.workers[worker_index];
        (!worker.spot || job.spec.spot)
            && job.zone.is_none_or(|zone| zone == worker.zone)
            && job.allows_type(worker.instance_type)
    }

    /// The time without a heartbeat after which a worker is unresponsive and nothing new is sent to
    /// it.
    pub(super) fn unresponsive_after_s(&self) -> f64 {
        self.config.cluster.workers.heartbeat_interval_s * LATEST_HEARTBEAT_FACTOR
            + UNRESPONSIVE_MARGIN_S
    }

    /// Whether a worker has sent nothing for longer than [`Core::unresponsive_after_s`].
    pub(super) fn is_unresponsive(&self, worker_index: u32) -> bool {
        self.workers[worker_index]
            .last_heartbeat_at
            .is_none_or(|at| self.now - at > self.unresponsive_after_s())
    }

    /// Whether a worker has sent no heartbeat on its own for half a lease, although it may answer
    /// direct messages. Its lease is not renewed, so a task started there would end with the lease.
    fn sends_no_heartbeats(&self, worker_index: u32) -> bool {
        // While no leader was valid, heartbeats were refused. That time does not count.
        let listening = self.expecting_heartbeats_since.max(self.valid_since);
        let last_report_at = self.workers[worker_index].reported_at;
        let last_report_at = last_report_at.map_or(listening, |at| at.max(listening));
        let timeout_s = self.config.cluster.workers.lease_s / 2.0;
        self.now - last_report_at > timeout_s.max(self.unresponsive_after_s())
    }

    /// Whether anything may be started on a worker.
    pub(super) fn worker_usable(&self, worker_index: u32) -> bool {
        let worker = &self.workers[worker_index];
        worker.reconciled
            && !worker.scaling_in
            && !worker.draining
            && worker.orphaned_tasks.is_empty()
            && worker.instances.len() < MAX_LISTED_TASKS
            && !worker.commands_unanswered
            && worker.registered
            && !worker.fenced
            && worker.reclaim_at.is_none()
            && worker.quarantined_until <= self.now
            && worker.may_be_alive()
            && !self.is_unresponsive(worker_index)
            && !self.sends_no_heartbeats(worker_index)
    }

    /// The resources of a worker that are not taken by instances that may exist there; none if its
    /// instance type is not described.
    pub(super) fn free_resources(&self, worker_index: u32) -> Resources {
        let worker = &self.workers[worker_index];
        let Some(instance_type) = self.types.get(worker.instance_type) else {
            return Resources::default();
        };
        let mut free = instance_type.capacity;
        free.sub(&worker.used);
        free
    }
}
