//! Reservation of whole workers for large tasks, based on their forecast arrivals.
//!
//! A task that takes most of a worker fits only on a worker that holds little else. Work of equal
//! priority must not be preempted for it, so workers are reserved before such tasks arrive: as many
//! as are likely to be needed in the time that emptying or booting another worker takes.

use crate::protocol::job::Resources;

use super::model::*;
use super::state::Core;

/// How far ahead arrivals are forecast.
const FORECAST_HORIZON_S: f64 = 75.0;
/// Time constant of the moving average of the arrival rate.
const RATE_AVERAGING_S: f64 = 120.0;
/// A task is large if it takes more than this share of every allowed instance type it fits on.
const LARGE_TASK_SHARE: f64 = 0.5;
/// A profile with fewer arrivals per second than this does not keep other tasks off its workers.
const MIN_ARRIVAL_RATE: f64 = 1e-3;

impl Core {
    /// Updates the arrival rate of the job's large-task profile, which is added if it is new.
    /// Returns the index of the profile, or `None` if the job's tasks are not large.
    pub(super) fn record_large_task_arrival(&mut self, job_index: u32) -> Option<u32> {
        let job = &self.jobs[job_index];
        let smallest_share = self
            .types
            .descriptions
            .iter()
            .enumerate()
            .filter(|(index, _)| job.allows_type(*index as u32))
            .filter_map(|(_, instance_type)| instance_type.as_ref())
            .filter(|instance_type| job.spec.needs.fits_in(&instance_type.capacity))
            .map(|instance_type| job.spec.needs.dominant_share_of(&instance_type.capacity))
            .reduce(f64::min)?;
        if smallest_share <= LARGE_TASK_SHARE || job.is_service() {
            return None;
        }
        let tasks = f64::from(job.spec.tasks);
        let now = self.now;
        let known = self.large_task_profiles.iter().position(|profile| {
            profile.needs == job.spec.needs
                && profile.types == job.types
                && profile.zone == job.zone
                && profile.spot == job.spec.spot
                && profile.priority == job.spec.priority
        });
        let index = known.unwrap_or_else(|| {
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
        let profile = &mut self.large_task_profiles[index];
        profile.rate = profile.rate_at(now) + tasks / RATE_AVERAGING_S;
        profile.rate_updated_at = now;
        Some(index as u32)
    }

    /// Returns whether tasks of a profile may run on a worker and fit on it when it is empty.
    pub(super) fn worker_suits_profile(
        &self,
        profile: &LargeTaskProfile,
        worker_index: u32,
    ) -> bool {
        let worker = &self.workers[worker_index];
        profile
            .types
            .as_ref()
            .is_none_or(|types| types.contains(&worker.instance_type))
            && profile.zone.is_none_or(|zone| zone == worker.zone)
            && (!worker.spot || profile.spot)
            && self
                .types
                .get(worker.instance_type)
                .is_some_and(|instance_type| profile.needs.fits_in(&instance_type.capacity))
    }

    /// Returns whether a worker lists a task of a profile.
    fn worker_holds_profile(&self, profile: u32, worker_index: u32) -> bool {
        let mut instances = self.workers[worker_index].instances.keys();
        instances.any(|id| self.jobs[id.job].large_task_profile == Some(profile))
    }

    /// Updates which workers are reserved for each large-task profile. A worker stays reserved
    /// while it is usable and its profile's forecast needs it, so that it can become empty.
    pub(super) fn reserve_whole_workers(&mut self) {
        for worker_index in self.workers.indices() {
            if let Some(profile) = self.workers[worker_index].reserved_for
                && !(self.worker_usable(worker_index)
                    && self.worker_suits_profile(
                        &self.large_task_profiles[profile as usize],
                        worker_index,
                    ))
            {
                self.workers[worker_index].reserved_for = None;
            }
        }
        for profile in 0..self.large_task_profiles.len() as u32 {
            let rate = self.large_task_profiles[profile as usize].rate_at(self.now);
            let expected = (rate * FORECAST_HORIZON_S + 0.5).floor() as usize;
            let mut reserved: Vec<u32> = self
                .workers
                .iter()
                .filter(|(_, worker)| worker.reserved_for == Some(profile))
                .map(|(worker_index, _)| worker_index)
                .collect();
            while reserved.len() > expected {
                let worker_index = reserved.pop().expect("more than expected");
                self.workers[worker_index].reserved_for = None;
            }
            // A worker that holds a task of the profile no longer needs the reservation.
            for worker_index in reserved.clone() {
                if self.worker_holds_profile(profile, worker_index) {
                    self.workers[worker_index].reserved_for = None;
                    reserved.retain(|&r| r != worker_index);
                }
            }
            if reserved.len() >= expected {
                continue;
            }
            let needs = self.large_task_profiles[profile as usize].needs;
            let mut candidates: Vec<(f64, u32)> = self
                .workers
                .indices()
                .into_iter()
                .filter(|&worker_index| {
                    self.worker_usable(worker_index)
                        && self.workers[worker_index].reserved_for.is_none()
                        && self.workers[worker_index].reservations.is_empty()
                        && self.worker_suits_profile(
                            &self.large_task_profiles[profile as usize],
                            worker_index,
                        )
                        && !self.worker_holds_profile(profile, worker_index)
                })
                .filter_map(|worker_index| {
                    self.seconds_until_room(&needs, worker_index)
                        .map(|room_in_s| (room_in_s, worker_index))
                })
                .collect();
            candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            for (_, worker_index) in candidates.into_iter().take(expected - reserved.len()) {
                self.workers[worker_index].reserved_for = Some(profile);
            }
        }
    }

    /// Returns the resources of a worker that a job must leave free for large tasks.
    ///
    /// Jobs of the profile itself, jobs of a higher priority and jobs within their team's quota may
    /// use these resources. So may jobs of a lower priority, as they are preempted when a task of
    /// the profile needs the resources.
    pub(super) fn withheld_resources(
        &self,
        worker_index: u32,
        job_index: u32,
    ) -> Option<Resources> {
        let reserved_for = self.workers[worker_index].reserved_for?;
        let profile = &self.large_task_profiles[reserved_for as usize];
        let may_use = self.jobs.get(job_index).is_some_and(|job| {
            job.large_task_profile == Some(reserved_for)
                || job.spec.priority != profile.priority
                || job.within_quota
        });
        (!may_use).then_some(profile.needs)
    }

    /// Returns whether a task of a job would take so much of a worker that a large task, which
    /// could otherwise run there, no longer fits. Large tasks themselves never count as
    /// fragmenting.
    pub(super) fn fragments_worker(&self, job_index: u32, worker_index: u32) -> bool {
        let job = &self.jobs[job_index];
        if job.large_task_profile.is_some() {
            return false;
        }
        let Some(instance_type) = self.types.get(self.workers[worker_index].instance_type) else {
            return false;
        };
        if !self
            .large_task_profiles
            .iter()
            .any(|profile| self.worker_suits_profile(profile, worker_index))
        {
            // No large task has needed such a worker yet. Replicas that start on the workers with
            // the most GPUs in the first seconds of a site would stay there permanently, so
            // replicas without GPUs are kept off them.
            let max_gpus = self
                .types
                .descriptions
                .iter()
                .flatten()
                .map(|instance_type| instance_type.capacity.gpus)
                .max();
            return job.is_service()
                && job.spec.needs.gpus == 0
                && instance_type.capacity.gpus > 0
                && Some(instance_type.capacity.gpus) == max_gpus;
        }
        // Only replicas of services are subtracted, as they do not end by themselves.
        let mut available = instance_type.capacity;
        for id in self.workers[worker_index].instances.keys() {
            if self.jobs[id.job].is_service() {
                available.sub(&self.jobs[id.job].spec.needs);
            }
        }
        let mut available_after = available;
        available_after.sub(&job.spec.needs);
        self.large_task_profiles.iter().any(|profile| {
            profile.rate_at(self.now) > MIN_ARRIVAL_RATE
                && self.worker_suits_profile(profile, worker_index)
                && profile.needs.fits_in(&available)
                && !profile.needs.fits_in(&available_after)
        })
    }
}

impl LargeTaskProfile {
    /// Returns the smoothed arrival rate, decayed since its last update.
    pub fn rate_at(&self, now: Time) -> f64 {
        self.rate * (-(now - self.rate_updated_at).max(0.0) / RATE_AVERAGING_S).exp()
    }
}
