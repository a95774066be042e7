//! Victim selection: which task instances on one worker are stopped to make room for a task.

use crate::coordination::gangs::checkpoint_grace_s;
use crate::coordination::model::*;
use crate::coordination::state::Core;

/// The grace period of a victim, in multiples of the preempting job's start delay tolerance, is
/// capped at this.
const MAX_GRACE_IN_TOLERANCES: f64 = 7.0;
/// Seconds added to the lost work of every stop.
const STOP_OVERHEAD_S: f64 = 2.0;
/// The number of CPUs that one GPU counts as in a task's size.
const CPUS_PER_GPU: f64 = 8.0;
/// CPUs and GPUs are counted in thousandths.
const MILLI: f64 = 1000.0;

/// The task instances to stop on one worker, and the cost of that.
#[derive(Debug)]
pub(in crate::coordination) struct Preemption {
    /// Lost work in seconds, weighted by size and importance.
    pub(in crate::coordination) cost: f64,
    /// The task instances to stop; none if there is room already, or stops that were commanded
    /// before free enough.
    pub(in crate::coordination) victims: Vec<InstanceId>,
}

impl Core {
    /// Whether tasks of job `other` may be stopped for job `ix`. Between teams, jobs within their
    /// quota outrank jobs beyond it; otherwise the priority decides.
    pub(super) fn outranks(&self, ix: u32, other: u32) -> bool {
        let (job, other) = (&self.jobs[ix], &self.jobs[other]);
        if job.team != other.team && job.within_quota != other.within_quota {
            return job.within_quota;
        }
        job.spec.priority > other.spec.priority
    }

    /// Whether any task instance at all may be stopped for a job.
    pub(super) fn outranks_any_active_job(&self, ix: u32) -> bool {
        self.jobs
            .iter()
            .any(|(other, job)| job.active > 0 && self.outranks(ix, other))
    }

    /// Whether a task instance of job `other` may be stopped, alone or with its gang, for job `ix`.
    /// A gang stops as a whole, which loses much work, so that is done only for replicas of a
    /// service, which have to be available at all times.
    fn may_preempt(&self, ix: u32, other: u32) -> bool {
        self.outranks(ix, other) && (self.jobs[ix].is_service() || !self.is_multi_task_gang(other))
    }

    /// Whether [`Self::select_victims`] finds a set of stops. Cheaper, as it does not look for the
    /// best one.
    pub(in crate::coordination) fn can_make_room(&self, ix: u32, m: u32) -> bool {
        let needs = &self.jobs[ix].spec.needs;
        let mut room = self.unreserved_resources(ix, m);
        let mut instances = self.workers[m].instances.iter();
        while !needs.fits_in(&room) {
            let Some((key, instance)) = instances.next() else {
                return false;
            };
            let stops = instance.stop.is_some() || self.may_preempt(ix, key.job);
            if instance.may_exist() && stops {
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        true
    }

    /// A set of stops on one worker that makes room for one task, chosen in ascending order of
    /// cost.
    pub(in crate::coordination) fn select_victims(&self, ix: u32, m: u32) -> Option<Preemption> {
        let needs = self.jobs[ix].spec.needs;
        let mut room = self.unreserved_resources(ix, m);
        for (key, instance) in &self.workers[m].instances {
            if instance.may_exist() && instance.stop.is_some() {
                // This instance is being stopped already. Its room is reserved for the job that it
                // is stopped for.
                room.add(&self.jobs[key.job].spec.needs);
            }
        }
        let mut preemption = Preemption {
            cost: 0.0,
            victims: Vec::new(),
        };
        for (cost, key) in self.victim_candidates(ix, m) {
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
        debug_assert_eq!(fits, self.can_make_room(ix, m));
        fits.then_some(preemption)
    }

    /// The task instances on a worker that may be stopped for a job, the cheapest first.
    fn victim_candidates(&self, ix: u32, m: u32) -> Vec<(f64, InstanceId)> {
        let mut candidates: Vec<(f64, InstanceId)> = self.workers[m]
            .instances
            .iter()
            .filter(|(_, instance)| instance.may_exist() && instance.stop.is_none())
            .filter(|(key, _)| self.may_preempt(ix, key.job))
            .map(|(key, instance)| (self.stop_cost(ix, key, instance), *key))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        candidates
    }

    /// The cost of stopping a task instance: the lost work of it and its gang, increased by the
    /// delay that its grace period causes for the preempting job.
    fn stop_cost(&self, ix: u32, key: &InstanceId, instance: &TaskInstance) -> f64 {
        let mut lost_work = self.lost_work(key, instance);
        if self.is_multi_task_gang(key.job) {
            lost_work *= f64::from(self.jobs[key.job].spec.tasks);
        }
        // A task that saves a checkpoint frees its room later. Without this factor, replicas that
        // had to start within a second waited for lower-priority tasks to save theirs.
        let grace_in_tolerances =
            self.stop_grace_s(key.job) / self.jobs[ix].start_delay_tolerance_s;
        lost_work * grace_in_tolerances.min(MAX_GRACE_IN_TOLERANCES).exp()
    }

    /// The work lost by stopping a task instance, weighted by size and importance: the time to save
    /// for tasks with checkpoints, or else all its work so far.
    fn lost_work(&self, key: &InstanceId, instance: &TaskInstance) -> f64 {
        let job = &self.jobs[key.job];
        let ran_s = instance.running_since.map_or(0.0, |at| self.now - at);
        let lost_s = if job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_save_s
        } else {
            ran_s
        };
        let needs = &job.spec.needs;
        let size = needs.cpus as f64 / MILLI + CPUS_PER_GPU * needs.gpus as f64 / MILLI;
        (lost_s + STOP_OVERHEAD_S) * size * self.weight(key.job)
    }

    /// The grace period, in seconds, in which a stopped task of a job can save a checkpoint; 0 if
    /// the job takes none.
    pub(in crate::coordination) fn stop_grace_s(&self, ix: u32) -> f64 {
        let spec = &self.jobs[ix].spec;
        if spec.checkpoint_interval_s > 0.0 {
            checkpoint_grace_s(spec.checkpoint_save_s)
        } else {
            0.0
        }
    }

    /// The longest grace period of these task instances, in seconds.
    pub(in crate::coordination) fn longest_stop_grace_s(&self, victims: &[InstanceId]) -> f64 {
        victims
            .iter()
            .map(|key| self.stop_grace_s(key.job))
            .fold(0.0, f64::max)
    }
}
