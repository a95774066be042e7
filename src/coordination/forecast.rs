//! Whole workers for whole-worker tasks.
//!
//! A task that takes most of a worker finds room only where nothing else has
//! settled. Work of equal priority may not be stopped for it, so room has to
//! be kept before it comes: as many workers as are likely to be asked for in
//! the time that draining or booting another one takes.

use crate::protocol::job::Resources;

use super::model::*;
use super::state::Core;

/// The time ahead for which workers are kept whole.
const HORIZON_S: f64 = 75.0;
/// Over how long arrivals are averaged.
const MEMORY_S: f64 = 120.0;
/// A task is of a shape of its own from this share of its worker on.
const WHOLE: f64 = 0.5;

impl Core {
    /// Notes the arrival of a job whose tasks take most of a worker.
    pub(super) fn record_large_task_arrival(&mut self, ix: u32) -> Option<u32> {
        let job = &self.jobs[ix];
        let largest = self
            .types
            .descriptions
            .iter()
            .enumerate()
            .filter(|(k, _)| job.types.as_ref().is_none_or(|l| l.contains(&(*k as u32))))
            .filter_map(|(_, t)| t.as_ref())
            .filter(|t| job.spec.needs.fits_in(&t.whole))
            .map(|t| job.spec.needs.share_of(&t.whole))
            .reduce(f64::min)?;
        if largest <= WHOLE || job.is_service() {
            return None;
        }
        let tasks = f64::from(job.spec.tasks);
        let now = self.now;
        let known = self.large_task_profiles.iter().position(|s| {
            s.needs == job.spec.needs
                && s.types == job.types
                && s.zone == job.zone
                && s.spot == job.spec.spot
                && s.priority == job.spec.priority
        });
        let at = known.unwrap_or_else(|| {
            self.large_task_profiles.push(LargeTaskProfile {
                needs: job.spec.needs,
                types: job.types.clone(),
                zone: job.zone,
                spot: job.spec.spot,
                priority: job.spec.priority,
                rate: 0.0,
                rate_updated_at: now,
            });
            self.large_task_profiles.len() - 1
        });
        let large_task_profile = &mut self.large_task_profiles[at];
        large_task_profile.rate = large_task_profile.rate_at(now) + tasks / MEMORY_S;
        large_task_profile.rate_updated_at = now;
        Some(at as u32)
    }

    pub(super) fn worker_suits_profile(
        &self,
        large_task_profile: &LargeTaskProfile,
        m: u32,
    ) -> bool {
        let worker = &self.workers[m];
        large_task_profile
            .types
            .as_ref()
            .is_none_or(|l| l.contains(&worker.kind))
            && large_task_profile.zone.is_none_or(|z| z == worker.zone)
            && (!worker.spot || large_task_profile.spot)
            && self
                .types
                .get(worker.kind)
                .is_some_and(|t| large_task_profile.needs.fits_in(&t.whole))
    }

    fn worker_holds_profile(&self, s: u32, m: u32) -> bool {
        let mut instances = self.workers[m].instances.keys();
        instances.any(|k| self.jobs[k.job].large_task_profile == Some(s))
    }

    /// Chooses which workers are kept whole. A choice stands while the worker
    /// can be used, so that draining comes to an end.
    pub(super) fn reserve_whole_workers(&mut self) {
        for m in self.workers.indices() {
            if let Some(s) = self.workers[m].reserved_for
                && !(self.worker_usable(m)
                    && self.worker_suits_profile(&self.large_task_profiles[s as usize], m))
            {
                self.workers[m].reserved_for = None;
            }
        }
        for s in 0..self.large_task_profiles.len() as u32 {
            let large_task_profile = &self.large_task_profiles[s as usize];
            let expected =
                (large_task_profile.rate_at(self.now) * HORIZON_S + 0.5).floor() as usize;
            let mut kept: Vec<u32> = self
                .workers
                .iter()
                .filter(|(_, m)| m.reserved_for == Some(s))
                .map(|(m, _)| m)
                .collect();
            while kept.len() > expected {
                let m = kept.pop().expect("more than expected");
                self.workers[m].reserved_for = None;
            }
            // One that a task of the shape has taken is kept no more.
            for m in kept.clone() {
                if self.worker_holds_profile(s, m) {
                    self.workers[m].reserved_for = None;
                    kept.retain(|&k| k != m);
                }
            }
            if kept.len() >= expected {
                continue;
            }
            let needs = self.large_task_profiles[s as usize].needs;
            let mut choices: Vec<(f64, u32)> = self
                .workers
                .indices()
                .into_iter()
                .filter(|&m| {
                    self.worker_usable(m)
                        && self.workers[m].reserved_for.is_none()
                        && self.workers[m].reservations.is_empty()
                        && self.worker_suits_profile(&self.large_task_profiles[s as usize], m)
                        && !self.worker_holds_profile(s, m)
                })
                .filter_map(|m| self.seconds_until_room(&needs, m).map(|t| (t, m)))
                .collect();
            choices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, m) in choices.into_iter().take(expected - kept.len()) {
                self.workers[m].reserved_for = Some(s);
            }
        }
    }

    /// Room of a worker that a job must leave alone. Jobs of the shape itself
    /// and work of higher priority may take it; so may lower work, which is
    /// stopped when the room is wanted.
    pub(super) fn withheld_resources(&self, m: u32, ix: u32) -> Option<Resources> {
        let s = self.workers[m].reserved_for?;
        let large_task_profile = &self.large_task_profiles[s as usize];
        let free = self.jobs.get(ix).is_some_and(|j| {
            j.large_task_profile == Some(s)
                || j.spec.priority != large_task_profile.priority
                || j.within_quota
        });
        (!free).then_some(large_task_profile.needs)
    }

    /// Whether a small task would leave no room for a whole-worker task that
    /// the worker could otherwise take.
    pub(super) fn fragments_worker(&self, ix: u32, m: u32) -> bool {
        let job = &self.jobs[ix];
        if job.large_task_profile.is_some() {
            return false;
        }
        let Some(kind) = self.types.get(self.workers[m].kind) else {
            return false;
        };
        if !self
            .large_task_profiles
            .iter()
            .any(|s| self.worker_suits_profile(s, m))
        {
            // Nobody has asked for such a worker yet. Replicas that settle on the
            // largest GPU workers in the first seconds would stay there for good.
            let limit = self
                .types
                .descriptions
                .iter()
                .flatten()
                .map(|t| t.whole.gpus)
                .max();
            return job.is_service()
                && job.spec.needs.gpus == 0
                && kind.whole.gpus > 0
                && Some(kind.whole.gpus) == limit;
        }
        // What stays: services, which do not end by themselves.
        let mut room = kind.whole;
        for key in self.workers[m].instances.keys() {
            if self.jobs[key.job].is_service() {
                room.sub(&self.jobs[key.job].spec.needs);
            }
        }
        let mut after = room;
        after.sub(&job.spec.needs);
        self.large_task_profiles.iter().any(|s| {
            s.rate_at(self.now) > 1e-3
                && self.worker_suits_profile(s, m)
                && s.needs.fits_in(&room)
                && !s.needs.fits_in(&after)
        })
    }
}

impl LargeTaskProfile {
    pub fn rate_at(&self, now: Time) -> f64 {
        self.rate * (-(now - self.rate_updated_at).max(0.0) / MEMORY_S).exp()
    }
}
