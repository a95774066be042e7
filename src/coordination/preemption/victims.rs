//! Victims: the task instances on one worker that are stopped to make room for a task.

use crate::coordination::gangs::checkpoint_grace_s;
use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A victim's time to save counts as at most so many times the patience of whom it is stopped for.
const MAX_GRACE_IN_TOLERANCES: f64 = 7.0;
/// Every stop counts as at least so much lost work.
const STOP_OVERHEAD_S: f64 = 2.0;
/// How many CPUs a GPU counts as.
const CPUS_PER_GPU: f64 = 8.0;
const MILLI: f64 = 1000.0;

/// What is stopped on one worker.
#[derive(Debug)]
pub(in crate::coordination) struct Preemption {
    /// What is lost: work in seconds, weighted by size and importance.
    pub(in crate::coordination) cost: f64,
    /// The task instances that are stopped; none if there is room already or it is on its way.
    pub(in crate::coordination) victims: Vec<InstanceId>,
}

impl Core {
    /// Whether tasks of `other` may be stopped for `ix`.
    pub(super) fn outranks(&self, ix: u32, other: u32) -> bool {
        let (job, other) = (&self.jobs[ix], &self.jobs[other]);
        if job.team != other.team && job.within_quota != other.within_quota {
            return job.within_quota;
        }
        job.spec.priority > other.spec.priority
    }

    /// Whether any work at all may be stopped for a job.
    pub(super) fn outranks_any(&self, ix: u32) -> bool {
        self.jobs
            .iter()
            .any(|(other, job)| job.active > 0 && self.outranks(ix, other))
    }

    /// Whether a task instance of `other` may be stopped by itself or with its gang for `ix`. A
    /// gang stops as a whole, which is much to lose: only for replicas, which are missed from the
    /// first second on.
    fn may_stop(&self, ix: u32, other: u32) -> bool {
        self.outranks(ix, other) && (self.jobs[ix].is_service() || !self.is_multi_task_gang(other))
    }

    /// Whether [`Self::victims`] finds a set, without looking for the cheapest.
    pub(in crate::coordination) fn room_can_be_made(&self, ix: u32, m: u32) -> bool {
        let needs = &self.jobs[ix].spec.needs;
        let mut room = self.room_for_one_more(ix, m);
        let mut instances = self.workers[m].instances.iter();
        while !needs.fits_in(&room) {
            let Some((key, instance)) = instances.next() else {
                return false;
            };
            let stops = instance.stop.is_some() || self.may_stop(ix, key.job);
            if instance.may_exist() && stops {
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        true
    }

    /// The cheapest set of stops on one worker that makes room for one task.
    pub(in crate::coordination) fn victims(&self, ix: u32, m: u32) -> Option<Preemption> {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.room_for_one_more(ix, m);
        for (key, instance) in &self.workers[m].instances {
            if instance.may_exist() && instance.stop.is_some() {
                // Its room is on the way, and reserved for whoever ordered the stop.
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        let mut preemption = Preemption {
            cost: 0.0,
            victims: Vec::new(),
        };
        for (cost, key) in self.candidates(ix, m) {
            if needs.fits_in(&room) {
                break;
            }
            let frees = self.jobs[key.job].spec.needs;
            let helps = (needs.cpus > room.cpus && frees.cpus > 0)
                || (needs.memory > room.memory && frees.memory > 0)
                || (needs.gpus > room.gpus && frees.gpus > 0);
            if helps {
                room.add(&frees);
                preemption.cost += cost;
                preemption.victims.push(key);
            }
        }
        let fits = needs.fits_in(&room);
        debug_assert_eq!(fits, self.room_can_be_made(ix, m));
        fits.then_some(preemption)
    }

    /// What may be stopped on a worker for a job, the cheapest first.
    fn candidates(&self, ix: u32, m: u32) -> Vec<(f64, InstanceId)> {
        let mut candidates: Vec<(f64, InstanceId)> = self.workers[m]
            .instances
            .iter()
            .filter(|(_, instance)| instance.may_exist() && instance.stop.is_none())
            .filter(|(key, _)| self.may_stop(ix, key.job))
            .map(|(key, instance)| (self.stop_cost(ix, key, instance), *key))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        candidates
    }

    /// What stopping a task instance costs the job that it is stopped for.
    fn stop_cost(&self, ix: u32, key: &InstanceId, instance: &TaskInstance) -> f64 {
        let mut loss = self.loss(key, instance);
        if self.is_multi_task_gang(key.job) {
            loss *= f64::from(self.jobs[key.job].spec.tasks);
        }
        // What saves a checkpoint leaves its room later: replicas that were to start within a
        // second waited for lower work that saved.
        let grace_in_tolerances =
            self.stop_grace_s(key.job) / self.jobs[ix].start_delay_tolerance_s;
        loss * grace_in_tolerances.min(MAX_GRACE_IN_TOLERANCES).exp()
    }

    /// What stopping a task instance loses: its work so far, weighted by size and importance.
    fn loss(&self, key: &InstanceId, instance: &TaskInstance) -> f64 {
        let job = &self.jobs[key.job];
        let ran_s = instance.running_since.map_or(0.0, |at| self.now - at);
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            job.spec.save_s
        } else {
            ran_s
        };
        let needs = &job.spec.needs;
        let size = needs.cpus as f64 / MILLI + CPUS_PER_GPU * needs.gpus as f64 / MILLI;
        (lost_s + STOP_OVERHEAD_S) * size * self.weight(key.job)
    }

    /// The time to save that a task of a job gets when it is stopped, in seconds.
    pub(in crate::coordination) fn stop_grace_s(&self, ix: u32) -> f64 {
        let spec = &self.jobs[ix].spec;
        if spec.checkpoint_s > 0.0 {
            checkpoint_grace_s(spec.save_s)
        } else {
            0.0
        }
    }

    /// The longest time to save that any of these gets, in seconds.
    pub(in crate::coordination) fn longest_stop_grace_s(&self, victims: &[InstanceId]) -> f64 {
        victims
            .iter()
            .map(|key| self.stop_grace_s(key.job))
            .fold(0.0, f64::max)
    }
}
