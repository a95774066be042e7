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
    pub(super) fn abort_gang_attempt(&mut self, key: InstanceId) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        if !job.is_gang() || job.spec.tasks == 1 || job.done > 0 {
            return;
        }
        for m in self.workers.indices() {
            for other in self.instances_of(m, key.job) {
                if other.attempt == key.attempt {
                    self.stop_instance(m, other, 0.0);
                }
            }
        }
    }

    /// Stops the incomplete attempts of a gang, once every worker that may hold an instance of it
    /// has reported. An earlier leader may have failed between two commands of a start or a stop.
    /// What is left of an incomplete attempt would occupy workers, and delay the next attempt,
    /// until its tasks give up waiting for their peers.
    pub(super) fn abort_partial_attempts(&mut self, ix: u32) {
        let mut tasks: BTreeMap<u64, BTreeSet<u32>> = BTreeMap::new();
        for m in self.workers.indices() {
            for key in self.instances_of(m, ix) {
                if self.workers[m].instances[&key].may_exist() {
                    tasks.entry(key.attempt).or_default().insert(key.task);
                }
            }
        }
        let all = self.jobs[ix].spec.tasks as usize;
        for (attempt, _) in tasks.into_iter().filter(|(_, t)| t.len() < all) {
            tracing::info!(job = %self.jobs[ix].spec.id, attempt, "an inherited attempt is broken");
            self.abort_gang_attempt(InstanceId {
                job: ix,
                task: 0,
                attempt,
            });
        }
    }

    /// Stops all tasks of a gang in the same step, with a grace period to save a checkpoint.
    pub(super) fn stop_gang(&mut self, ix: u32) {
        let grace = checkpoint_grace_s(self.jobs[ix].spec.checkpoint_save_s);
        for m in self.workers.indices() {
            for key in self.instances_of(m, ix) {
                self.stop_instance(m, key, grace);
            }
        }
    }

    /// Stops a task instance with its grace period, and if it belongs to a gang, the whole gang.
    pub(super) fn stop_gracefully(&mut self, m: u32, key: InstanceId) {
        if self.is_multi_task_gang(key.job) {
            self.stop_gang(key.job);
        } else {
            self.stop_instance(m, key, self.stop_grace_s(key.job));
        }
    }

    /// Stops the tasks on a worker that will be reclaimed if they can save a checkpoint, gangs as a
    /// whole. Tasks that cannot save one run on, as they may finish before the reclaim.
    pub(super) fn checkpoint_before_reclaim(&mut self, m: u32) {
        let keys: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for key in keys {
            if self.stop_grace_s(key.job) > 0.0 {
                self.stop_gracefully(m, key);
            }
        }
    }

    /// The workers on which all tasks of a gang can start now, one entry per task; none if some
    /// task has no room.
    pub(super) fn plan_gang(&self, ix: u32) -> Option<Vec<u32>> {
        let job = &self.jobs[ix];
        // Tasks of the previous attempt occupy their workers until they exit. A failed task is
        // retried after a delay, and the other tasks wait with it.
        let is_delayed = |t: &Task| f64::from(t.not_before) > self.now;
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
                .filter(|&m| zone.is_none_or(|z| self.workers[m].zone == z))
                .filter(|&m| self.may_start(ix, 0, m))
                .map(|m| (m, self.value(ix, m)))
                .collect();
            candidates.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut placements = Vec::new();
            let mut total_value = 0.0;
            let mut by_zone = vec![0u32; self.zones.len()];
            for (m, value) in candidates {
                let mut room = self.available_resources(m, ix);
                let z = self.workers[m].zone as usize;
                while placements.len() < job.spec.tasks as usize
                    && job.spec.needs.fits_in(&room)
                    && by_zone[z] < job.zone_cap()
                {
                    room.sub(&job.spec.needs);
                    by_zone[z] += 1;
                    placements.push(m);
                    total_value += value;
                }
            }
            if placements.len() == job.spec.tasks as usize
                && best
                    .as_ref()
                    .is_none_or(|(best_value, _)| total_value > *best_value)
                && self.team_allows_all_tasks(ix)
            {
                best = Some((total_value, placements));
            }
        }
        best.map(|(_, placements)| placements)
    }

    /// Reserves workers for late gangs, at most one gang per zone. Without reservations, smaller
    /// jobs took every worker as it became free, and a gang that needs several at once waited for
    /// minutes. A gang that is not late yet does better to wait for another gang to end, which
    /// frees several workers at once.
    ///
    /// Only free workers are reserved, for one batch at a time, and no gang reserves workers in two
    /// zones, so no two gangs can deadlock.
    pub(super) fn reserve_for_late_gangs(&mut self, order: &[u32]) {
        let mut zone_taken = vec![false; self.zones.len()];
        for &ix in order {
            if zone_taken.iter().all(|&taken| taken) {
                return;
            }
            if !self.is_multi_task_gang(ix)
                || self.jobs[ix].active > 0
                || self.jobs[ix].waiting() == 0
                || !self.has_deadline_boost(ix)
            {
                continue;
            }
            let own = self.reserved_by_zone(ix);
            let best = (0..self.zones.len())
                .filter(|&z| !zone_taken[z])
                .filter_map(|z| {
                    let workers = self.soonest_workers_in_zone(ix, z as u32)?;
                    let ready = workers.last().map_or(0.0, |m| m.0);
                    // Prefers the zone in which the gang already has reservations.
                    Some((own[z] == 0, ready, z, workers))
                })
                .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, _, zone, workers)) = best else {
                continue;
            };
            zone_taken[zone] = true;
            let needs = self.jobs[ix].spec.needs;
            for (_, m) in workers {
                self.workers[m].reservations.retain(|c| c.job == ix);
                if !self.workers[m].reservations.is_empty() {
                    self.renew_reservation(m, ix, GANG_RESERVATION_S);
                } else if needs.fits_in(&self.available_resources(m, ix)) {
                    self.reserve(m, ix, GANG_RESERVATION_S);
                }
            }
        }
    }

    /// The workers of a zone on which all tasks of a gang can start soonest, by the estimated run
    /// times, each with the seconds until it has room.
    fn soonest_workers_in_zone(&self, ix: u32, zone: u32) -> Option<Vec<(f64, u32)>> {
        let job = &self.jobs[ix];
        let weight = self.weight(ix);
        // Reservations for jobs of the same large-task profile and a lower weight are taken over.
        let may_take_over = |c: &Reservation| {
            c.job == ix
                || (self.jobs[c.job].large_task_profile == job.large_task_profile
                    && self.weight(c.job) < weight)
        };
        let mut workers: Vec<(f64, u32)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.workers[m].zone == zone && self.reservable(ix, m))
            .filter(|&m| self.workers[m].reservations.iter().all(may_take_over))
            .filter_map(|m| Some((self.seconds_until_room(&job.spec.needs, m)?, m)))
            .collect();
        workers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let tasks = job.spec.tasks as usize;
        workers.truncate(tasks);
        (workers.len() == tasks).then_some(workers)
    }

    /// Whether the team's limit allows all tasks of a gang at once.
    fn team_allows_all_tasks(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let mut all = job.spec.needs;
        all.cpus *= i64::from(job.spec.tasks);
        all.gpus *= i64::from(job.spec.tasks);
        self.team_allows(job.team, &all)
    }

    /// Starts a new attempt of a gang on the workers that [`Self::plan_gang`] returned.
    pub(super) fn start_gang(&mut self, ix: u32, placements: &[u32]) {
        let attempt = self.new_attempt();
        self.jobs[ix].attempt = Some(attempt);
        for (task, &m) in (0u32..).zip(placements) {
            if !self.may_start(ix, task, m) {
                tracing::error!(job = %self.jobs[ix].spec.id, "a planned gang does not fit");
                self.abort_gang_attempt(InstanceId {
                    job: ix,
                    task,
                    attempt,
                });
                return;
            }
            self.start(ix, task, m, attempt);
        }
        let job = &mut self.jobs[ix];
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
