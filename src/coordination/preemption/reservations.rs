//! Reservations: room on a worker that is kept for tasks of one job.

use std::collections::BTreeSet;

use crate::coordination::model::*;
use crate::coordination::state::Core;
use crate::protocol::job::Resources;

impl Core {
    /// Reserves room for one more task of a job on a worker.
    pub(in crate::coordination) fn reserve(
        &mut self,
        worker_index: u32,
        job_index: u32,
        for_s: f64,
    ) {
        let until = self.now + for_s;
        let reservations = &mut self.workers[worker_index].reservations;
        match reservations.iter_mut().find(|own| own.job == job_index) {
            Some(own) => {
                own.count += 1;
                own.until = own.until.max(until);
            }
            None => reservations.push(Reservation {
                job: job_index,
                count: 1,
                until,
                for_migration: false,
            }),
        }
    }

    /// Extends the reservations of a job on a worker to at least this long from now.
    pub(in crate::coordination) fn renew_reservation(
        &mut self,
        worker_index: u32,
        job_index: u32,
        for_s: f64,
    ) {
        let until = self.now + for_s;
        let reservations = self.workers[worker_index].reservations.iter_mut();
        for own in reservations.filter(|reservation| reservation.job == job_index) {
            own.until = own.until.max(until);
        }
    }

    /// Drops reservations that have expired or are no longer needed.
    pub(in crate::coordination) fn expire_reservations(&mut self) {
        let now = self.now;
        for worker_index in self.workers.indices() {
            if self.workers[worker_index].reservations.is_empty() {
                continue;
            }
            let usable = self.worker_usable(worker_index);
            let jobs = &self.jobs;
            let wanted = |reservation: &Reservation| {
                jobs.get(reservation.job).is_some_and(|job| {
                    job.state == JobState::Live && (reservation.for_migration || job.waiting() > 0)
                })
            };
            self.workers[worker_index]
                .reservations
                .retain(|reservation| usable && reservation.until > now && wanted(reservation));
        }
    }

    /// The number of tasks of a job that have room reserved.
    pub(super) fn reserved_tasks(&self, job_index: u32) -> u32 {
        self.reserved_by_zone(job_index).iter().sum()
    }

    /// The number of tasks of a job that have room reserved, by zone.
    pub(in crate::coordination) fn reserved_by_zone(&self, job_index: u32) -> Vec<u32> {
        let mut by_zone = vec![0; self.zones.len()];
        for (_, worker) in self.workers.iter() {
            for own in worker.reservations.iter().filter(|r| r.job == job_index) {
                by_zone[worker.zone as usize] += own.count;
            }
        }
        by_zone
    }

    /// The free resources of a worker less what is reserved for other jobs.
    pub(in crate::coordination) fn available_resources(
        &self,
        worker_index: u32,
        job_index: u32,
    ) -> Resources {
        let mut available = self.free_resources(worker_index);
        if let Some(kept) = self.withheld_resources(worker_index, job_index) {
            available.sub(&kept);
        }
        for reservation in &self.workers[worker_index].reservations {
            if reservation.job != job_index {
                self.subtract_reserved(&mut available, reservation);
            }
        }
        available
    }

    /// The free resources of a worker less everything that is reserved on it, including
    /// reservations for this job.
    pub(super) fn unreserved_resources(&self, job_index: u32, worker_index: u32) -> Resources {
        let mut available = self.available_resources(worker_index, job_index);
        for reservation in &self.workers[worker_index].reservations {
            if reservation.job == job_index {
                self.subtract_reserved(&mut available, reservation);
            }
        }
        available
    }

    fn subtract_reserved(&self, available: &mut Resources, reservation: &Reservation) {
        let needs = &self.jobs[reservation.job].spec.needs;
        for _ in 0..reservation.count {
            available.sub(needs);
        }
    }

    /// Whether a worker and its zone are allowed for a task of a job, so that room may be reserved
    /// there.
    pub(in crate::coordination) fn reservable(&self, job_index: u32, worker_index: u32) -> bool {
        self.worker_usable(worker_index)
            && self.worker_allowed(job_index, worker_index)
            && self.zone_allows(job_index, self.workers[worker_index].zone)
    }

    /// Starts the tasks of a batch that have room reserved, where that room is free by now. Gangs
    /// are placed separately.
    pub(in crate::coordination) fn serve_reservations(&mut self, batch: &[u32]) {
        self.reassign_reservations(batch);
        let workers = self.workers.indices();
        let reservations = workers
            .iter()
            .flat_map(|&worker_index| &self.workers[worker_index].reservations);
        let with_reservations: BTreeSet<u32> = reservations.map(|r| r.job).collect();
        for &job_index in batch {
            if self.is_multi_task_gang(job_index) || !with_reservations.contains(&job_index) {
                continue;
            }
            for worker_index in self.workers.indices() {
                while self.has_reservation(worker_index, job_index)
                    && self.jobs[job_index]
                        .spec
                        .needs
                        .fits_in(&self.available_resources(worker_index, job_index))
                    && self.start_next_task(job_index, worker_index)
                {}
            }
        }
    }

    fn has_reservation(&self, worker_index: u32, job_index: u32) -> bool {
        self.workers[worker_index]
            .reservations
            .iter()
            .any(|r| r.job == job_index)
    }

    /// Transfers each reservation for a large task to the most urgent single task of the same
    /// large-task profile, regardless of which job reserved it.
    fn reassign_reservations(&mut self, batch: &[u32]) {
        for worker_index in self.workers.indices() {
            for at in 0..self.workers[worker_index].reservations.len() {
                let holder = self.workers[worker_index].reservations[at].job;
                if let Some(best) = self.most_urgent_of_same_profile(holder, worker_index, batch)
                    && best != holder
                    && self.free_resources(worker_index).cpus >= self.jobs[best].spec.needs.cpus
                    && !self.has_reservation(worker_index, best)
                {
                    self.workers[worker_index].reservations[at].job = best;
                }
            }
        }
    }

    /// The first job of the batch with single tasks of the holder's large-task profile. A gang's
    /// reservation is transferred only to jobs that come before the gang in the batch.
    fn most_urgent_of_same_profile(
        &self,
        holder: u32,
        worker_index: u32,
        batch: &[u32],
    ) -> Option<u32> {
        let profile = self.jobs[holder].large_task_profile?;
        let holder_is_gang = self.is_multi_task_gang(holder);
        batch
            .iter()
            .copied()
            .take_while(|&job_index| !holder_is_gang || job_index != holder)
            .find(|&job_index| {
                let job = &self.jobs[job_index];
                job.large_task_profile == Some(profile)
                    && !self.is_multi_task_gang(job_index)
                    && job.waiting() > 0
                    && self.worker_allowed(job_index, worker_index)
            })
    }
}
