//! Gangs: one attempt starts whole, is stopped whole, and restarts whole.

use std::collections::{BTreeMap, BTreeSet};

use super::model::*;
use super::state::{BATCH_INTERVAL_S, Core};

/// A claim of a gang that gathers lasts until the batch after next.
const GATHER_CLAIM_S: f64 = 2.5 * BATCH_INTERVAL_S;

/// A grace that surely covers the time a task says it needs to save.
pub(super) fn checkpoint_grace_s(save_s: f64) -> f64 {
    save_s * 1.5 + 1.0
}

impl Core {
    /// A task of a gang's attempt is gone without being done: the rest of the
    /// attempt is of no use, and leaves before the next one starts.
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

    /// All that may hold something of an old gang has been heard. An earlier leader may have ended
    /// between two orders of a start or of a stop: what is there of an attempt that is not whole
    /// would hold its places, and the next attempt back, until it gives up by itself.
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

    /// Orderly: every task is told in the same step, with the time to save.
    pub(super) fn stop_gang(&mut self, ix: u32) {
        let grace = checkpoint_grace_s(self.jobs[ix].spec.save_s);
        for m in self.workers.indices() {
            for key in self.instances_of(m, ix) {
                self.stop_instance(m, key, grace);
            }
        }
    }

    /// Stops a copy with the time to save, and a gang as a whole.
    pub(super) fn stop_gracefully(&mut self, m: u32, key: InstanceId) {
        if self.is_multi_task_gang(key.job) {
            self.stop_gang(key.job);
        } else {
            self.stop_instance(m, key, self.stop_grace_s(key.job));
        }
    }

    /// The worker will be taken: what can save does so now, gangs as a whole.
    /// What cannot save runs on, and may finish before.
    pub(super) fn checkpoint_before_reclaim(&mut self, m: u32) {
        let keys: Vec<InstanceId> = self.workers[m].instances.keys().copied().collect();
        for key in keys {
            if self.stop_grace_s(key.job) > 0.0 {
                self.stop_gracefully(m, key);
            }
        }
    }

    /// Places for all tasks at once, or none.
    pub(super) fn plan_gang(&self, ix: u32) -> Option<Vec<u32>> {
        let job = &self.jobs[ix];
        // Tasks of the old attempt stay where they are until they exit. One that failed
        // is not tried again at once, and holds the others back.
        let later = |t: &Task| f64::from(t.not_before) > self.now;
        if job.active > 0 || job.tasks.iter().any(later) {
            return None;
        }
        let zones: Vec<Option<u32>> = if job.spec.one_zone {
            (0..self.zones.len() as u32).map(Some).collect()
        } else {
            vec![None]
        };
        let mut best: Option<(f64, Vec<u32>)> = None;
        for zone in zones {
            let mut lots: Vec<(u32, f64)> = self
                .workers
                .indices()
                .into_iter()
                .filter(|&m| zone.is_none_or(|z| self.workers[m].zone == z))
                .filter(|&m| self.may_start(ix, 0, m))
                .map(|m| (m, self.value(ix, m)))
                .collect();
            lots.sort_by(|a, b| b.1.total_cmp(&a.1));
            let mut places = Vec::new();
            let mut worth = 0.0;
            let mut by_zone = vec![0u32; self.zones.len()];
            for (m, value) in lots {
                let mut room = self.room_after_reservations(m, ix);
                let z = self.workers[m].zone as usize;
                while places.len() < job.spec.tasks as usize
                    && job.spec.needs.fits_in(&room)
                    && by_zone[z] < job.zone_cap()
                {
                    room.sub(&job.spec.needs);
                    by_zone[z] += 1;
                    places.push(m);
                    worth += value;
                }
            }
            if places.len() == job.spec.tasks as usize
                && best.as_ref().is_none_or(|(w, _)| worth > *w)
                && self.team_allows_all(ix)
            {
                best = Some((worth, places));
            }
        }
        best.map(|(_, places)| places)
    }

    /// Lets late gangs gather workers, one gang a zone. Without that, smaller
    /// gangs took every worker as it came free, and one that needs several at
    /// once waited for minutes. Before it is late a gang does better to wait for
    /// another to end, which frees several at once. Only workers that are free
    /// are held, for one batch at a time, and nobody holds any in two zones, so
    /// no two gangs can wait for each other.
    pub(super) fn gather_for_gangs(&mut self, order: &[u32]) {
        let mut held_by_zone = vec![false; self.zones.len()];
        for &ix in order {
            if held_by_zone.iter().all(|&h| h) {
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
                .filter(|&z| !held_by_zone[z])
                .filter_map(|z| {
                    let workers = self.soonest_for(ix, z as u32)?;
                    let ready = workers.last().map_or(0.0, |m| m.0);
                    // It stays where it has begun.
                    Some((own[z] == 0, ready, z, workers))
                })
                .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((_, _, zone, workers)) = best else {
                continue;
            };
            held_by_zone[zone] = true;
            let needs = self.jobs[ix].spec.needs;
            for (_, m) in workers {
                self.workers[m].reservations.retain(|c| c.job == ix);
                if !self.workers[m].reservations.is_empty() {
                    self.renew_reservation(m, ix, GATHER_CLAIM_S);
                } else if needs.fits_in(&self.room_after_reservations(m, ix)) {
                    self.reserve(m, ix, GATHER_CLAIM_S);
                }
            }
        }
    }

    /// The workers of a zone that have room for all tasks of a gang soonest, as
    /// far as estimates tell, and in how many seconds.
    fn soonest_for(&self, ix: u32, zone: u32) -> Option<Vec<(f64, u32)>> {
        let job = &self.jobs[ix];
        let weight = self.weight(ix);
        // Room kept for lighter work of the same shape is taken over.
        let yields = |c: &Reservation| {
            c.job == ix
                || (self.jobs[c.job].large_task_profile == job.large_task_profile
                    && self.weight(c.job) < weight)
        };
        let mut workers: Vec<(f64, u32)> = self
            .workers
            .indices()
            .into_iter()
            .filter(|&m| self.workers[m].zone == zone && self.reservable(ix, m))
            .filter(|&m| self.workers[m].reservations.iter().all(yields))
            .filter_map(|m| Some((self.seconds_until_room(&job.spec.needs, m)?, m)))
            .collect();
        workers.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let tasks = job.spec.tasks as usize;
        workers.truncate(tasks);
        (workers.len() == tasks).then_some(workers)
    }

    fn team_allows_all(&self, ix: u32) -> bool {
        let job = &self.jobs[ix];
        let mut all = job.spec.needs;
        all.cpus *= i64::from(job.spec.tasks);
        all.gpus *= i64::from(job.spec.tasks);
        self.team_allows(job.team, &all)
    }

    pub(super) fn start_gang(&mut self, ix: u32, places: &[u32]) {
        let attempt = self.new_attempt();
        self.jobs[ix].attempt = Some(attempt);
        for (task, &m) in (0u32..).zip(places) {
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
