//! Gang scheduling: all tasks of an attempt start together, and if one stops or is lost, all stop
//! and the gang restarts.

use std::collections::{BTreeMap, BTreeSet};

use super::model::*;
use super::state::{BATCH_INTERVAL_S, Core};

/// How long a reservation for a late gang lasts: until the batch after the next one.
const GANG_RESERVATION_S: f64 = 2.5 * BATCH_INTERVAL_S;

/// A grace period that covers the time `save_s` that a task declares for saving a checkpoint, with
/// a margin.
pub(super) fn checkpoint_grace_s(save_s: f64) -> f64 {
    save_s * 1.5 + 1.0
}

impl Core {
    /// Stops the remaining tasks of a gang's attempt after one of them was lost before it was done.
    /// The rest of the attempt is useless, and must be gone before the next attempt starts.
    pub(super) fn abort_gang_attempt(&mut self, id: InstanceId) {
        let Some(job) = self.jobs.get(id.job) else {
            return;
        };
        if !job.is_gang() || job.spec.tasks == 1 || job.done > 0 {
            return;
        }
        for worker_index in self.workers.indices() {
            for other in self.instances_of(worker_index, id.job) {
                if other.attempt == id.attempt {
                    self.stop_instance(worker_index, other, 0.0);
                }
            }
        }
    }

    /// Stops the incomplete attempts of a gang, once every worker that may hold an instance of it
    /// has reported. An earlier leader may have failed between two commands of a start or a stop.
    /// What is left of an incomplete attempt would occupy workers, and delay the next attempt,
    /// until its tasks give up waiting for their peers.
    pub(super) fn abort_partial_attempts(&mut self, job_index: u32) {
        let mut tasks: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
        for worker_index in self.workers.indices() {
            for id in self.instances_of(worker_index, job_index) {
                if self.workers[worker_index].instances[&id].may_exist() {
                    tasks.entry(id.attempt).or_default().insert(id.task);
                }
            }
        }
        let all = self.jobs[job_index].spec.tasks as usize;
        for (attempt, _) in tasks.into_iter().filter(|(_, tasks)| tasks.len() < all) {
            tracing::info!(
                job = %self.jobs[job_index].spec.id,
                attempt,
                "an inherited attempt is broken"
            );
            self.abort_gang_attempt(InstanceId {
                job: job_index,
                task: 0,
                attempt,
            });
        }
    }

    /// Stops all tasks of a gang in the same step, with a grace period to save a checkpoint.
    pub(super) fn stop_gang(&mut self, job_index: u32) {
        let grace = checkpoint_grace_s(self.jobs[job_index].spec.checkpoint_save_s);
        for worker_index in self.workers.indices() {
            for id in self.instances_of(worker_index, job_index) {
                self.stop_instance(worker_index, id, grace);
            }
        }
    }

    /// Stops a task instance with its grace period, and if it belongs to a gang, the whole gang.
    pub(super) fn stop_gracefully(&mut self, worker_index: u32, id: InstanceId) {
        if self.is_multi_task_gang(id.job) {
            self.stop_gang(id.job);
        } else {
            self.stop_instance(worker_index, id, self.stop_grace_s(id.job));
        }
    }

    /// Stops the tasks on a worker that will be reclaimed if they can save a checkpoint, gangs as a
    /// whole. Tasks that cannot save one keep running, as they may finish before the reclaim.
    pub(super) fn checkpoint_before_reclaim(&mut self, worker_index: u32) {
        let ids: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .keys()
            .copied()
            .collect();
        for id in ids {
            if self.stop_grace_s(id.job) > 0.0 {
                self.stop_gracefully(worker_index, id);
            }
        }
    }

    /// The workers on which all tasks of a gang can start now, one entry per task; none if some
    /// task has no room.
    pub(super) fn plan_gang(&self, job_index: u32) -> Option<Vec<u32>> {
        let job = &self.jobs[job_index];
        // Tasks of the previous attempt occupy their workers until they exit. A failed task is
        // retried after a delay, and the other tasks wait with it.
        let is_delayed = |task: &Task| f64::from(task.not_before) > self.now;
        if job.active > 0 || job.tasks.iter().any(is_delayed) {
            return None;
        }
        let zones: Vec<Option<u32>> = if job.spec.one_zone {
            (0..self.zones.len() as u32).map(Some).collect()
        } else {
            vec![None]
        };
        let mut best: Option<(f64, Vec<u32>)> = None;
        for zone in zones {
            let mut candidates: Vec<(u32, f64)> = self
                .workers
                .indices()
                .into_iter()
                .filter(|&worker_index| zone.is_none_or(|z| self.workers[worker_index].zone == z))
                .filter(|&worker_index| self.may_start(job_index, 0, worker_index))
                .map(|worker_index| (worker_index, self.value(job_index, worker_index)))
                .collect();
            candidates.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut placements = Vec::new();
            let mut total_value = 0.0;
            let mut by_zone = vec![0u32; self.zones.len()];
            for (worker_index, value) in candidates {
                let mut available = self.available_resources(worker_index, job_index);
                let zone_index = self.workers[worker_index].zone as usize;
                while placements.len() < job.spec.tasks as usize
                    && job.spec.needs.fits_in(&available)
                    && by_zone[zone_index] < job.zone_cap()
                {
                    available.sub(&job.spec.needs);
                    by_zone[zone_index] += 1;
                    placements.push(worker_index);
                    total_value += value;
                }
            }
            if placements.len() == job.spec.tasks as usize
                && best
                    .as_ref()
                    .is_none_or(|(best_value, _)| total_value > *best_value)
                && self.team_allows_all_tasks(job_index)
            {
                best = Some((total_value, placements));
            }
        }
        best.map(|(_, placements)| placements)
    }

    /// Reserves workers for late gangs, at most one gang per zone. Without reservations, smaller
    /// jobs took every worker as it became free, and a gang that needs several at once waited for
    /// minutes. A gang that is not late yet is better off waiting for another gang to end,
    /// which frees several workers at once.
    ///
    /// Only free workers are reserved, for one batch at a time, and no gang reserves workers in two
    /// zones, so no two gangs can deadlock.
    pub(super) fn reserve_for_late_gangs(&mut self, order: &[u32]) {
        let mut zone_taken = vec![false; self.zones.len()];
        for &job_index in order {
            if zone_taken.iter().all(|&taken| taken) {
                return;
            }
            if !self.is_multi_task_gang(job_index)
                || self.jobs[job_index].active > 0
                || self.jobs[job_index].waiting() == 0
                || !self.has_deadline_boost(job_index)
            {
                continue;
            }
            let own = self.reserved_by_zone(job_index);
            let best = (0..self.zones.len())
                .filter(|&z| !zone_taken[z])
                .filter_map(|z| {
                    let workers = self.soonest_workers_in_zone(job_index, z as u32)?;
                    let ready = workers.last().map_or(0.0, |last| last.0);
                    // Prefers the zone in which the gang already has reservations.
                    Some((own[z] == 0, ready, z, workers))
                })
                .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, _, zone, workers)) = best else {
                continue;
            };
            zone_taken[zone] = true;
            let needs = self.jobs[job_index].spec.needs;
            for (_, worker_index) in workers {
                self.workers[worker_index]
                    .reservations
                    .retain(|reservation| reservation.job == job_index);
                if !self.workers[worker_index].reservations.is_empty() {
                    self.renew_reservation(worker_index, job_index, GANG_RESERVATION_S);
                } else if needs.fits_in(&self.available_resources(worker_index, job_index)) {
                    self.reserve(worker_index, job_index, GANG_RESERVATION_S);
                }
            }
        }
    }

    /// The workers of a zone on which all tasks of a gang can start soonest, by the estimated run
    /// times, each with the seconds until it has room.
    fn soonest_workers_in_zone(&self, job_index: u32, zone: u32) -> Option<Vec<(f64, u32)>> {
        let job = &self.jobs[job_index];
        let weight = self.weight(job_index);
        // Reservations for jobs of the same large-task profile and a lower weight are taken over.
        let may_take_over = |reservation: &Reservation| {
            reservation.job == job_index
                || (self.jobs[reservation.job].large_task_profile == job.large_task_profile
                    && self.weight(reservation.job) < weight)
        };
        let mut workers: Vec<(f64, u32)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&worker_index| {
                self.workers[worker_index].zone == zone && self.reservable(job_index, worker_index)
            })
            .filter(|&worker_index| {
                self.workers[worker_index]
                    .reservations
                    .iter()
                    .all(may_take_over)
            })
            .filter_map(|worker_index| {
                Some((
                    self.seconds_until_room(&job.spec.needs, worker_index)?,
                    worker_index,
                ))
            })
            .collect();
        workers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let tasks = job.spec.tasks as usize;
        workers.truncate(tasks);
        (workers.len() == tasks).then_some(workers)
    }

    /// Whether the team's limit allows all tasks of a gang at once.
    fn team_allows_all_tasks(&self, job_index: u32) -> bool {
        let job = &self.jobs[job_index];
        let mut all = job.spec.needs;
        all.cpus *= i64::from(job.spec.tasks);
        all.gpus *= i64::from(job.spec.tasks);
        self.team_allows(job.team, &all)
    }

    /// Starts a new attempt of a gang on the workers that [`Self::plan_gang`] returned.
    pub(super) fn start_gang(&mut self, job_index: u32, placements: &[u32]) {
        let attempt = self.new_attempt();
        self.jobs[job_index].attempt = Some(attempt);
        for (task, &worker_index) in (0u32..).zip(placements) {
            if !self.may_start(job_index, task, worker_index) {
                tracing::error!(job = %self.jobs[job_index].spec.id, "a planned gang does not fit");
                self.abort_gang_attempt(InstanceId {
                    job: job_index,
                    task,
                    attempt,
                });
                return;
            }
            self.start(job_index, task, worker_index, attempt);
        }
        let job = &mut self.jobs[job_index];
        tracing::debug!(
            job = %job.spec.id,
            tasks = job.spec.tasks,
            waited_s = self.now - job.accepted_at,
            "gang placed"
        );
        job.first_unstarted = job.spec.tasks;
        job.retry_queue.clear();
    }
}
