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
    /// Whether tasks of job `other` may be stopped for job `job_index`. Between teams, jobs within
    /// their quota outrank jobs beyond it; otherwise the priority decides.
    pub(super) fn outranks(&self, job_index: u32, other: u32) -> bool {
        let (job, other) = (&self.jobs[job_index], &self.jobs[other]);
        if job.team != other.team && job.within_quota != other.within_quota {
            return job.within_quota;
        }
        job.spec.priority > other.spec.priority
    }

    /// Whether any task instance at all may be stopped for a job.
    pub(super) fn outranks_any_active_job(&self, job_index: u32) -> bool {
        self.jobs
            .iter()
            .any(|(other, job)| job.active > 0 && self.outranks(job_index, other))
    }

    /// Whether a task instance of job `other` may be stopped, alone or with its gang, for job
    /// `job_index`. A gang stops as a whole, which loses much work, so that is done only for
    /// replicas of a service, which have to be available at all times.
    fn may_preempt(&self, job_index: u32, other: u32) -> bool {
        self.outranks(job_index, other)
            && (self.jobs[job_index].is_service() || !self.is_multi_task_gang(other))
    }

    /// Whether [`Self::select_victims`] finds a set of stops. Cheaper, as it does not look for the
    /// best one.
    pub(in crate::coordination) fn can_make_room(&self, job_index: u32, worker_index: u32) -> bool {
        let needs = &self.jobs[job_index].spec.needs;
        let mut available = self.unreserved_resources(job_index, worker_index);
        let mut instances = self.workers[worker_index].instances.iter();
        while !needs.fits_in(&available) {
            let Some((id, instance)) = instances.next() else {
                return false;
            };
            let stops = instance.stop.is_some() || self.may_preempt(job_index, id.job);
            if instance.may_exist() && stops {
                available.add(&self.jobs[id.job].spec.needs);
            }
        }
        true
    }

    /// A set of stops on one worker that makes room for one task, chosen in ascending order of
    /// cost.
    pub(in crate::coordination) fn select_victims(
        &self,
        job_index: u32,
        worker_index: u32,
    ) -> Option<Preemption> {
        let needs = self.jobs[job_index].spec.needs;
        let mut available = self.unreserved_resources(job_index, worker_index);
        for (id, instance) in &self.workers[worker_index].instances {
            if instance.may_exist() && instance.stop.is_some() {
                // This instance is being stopped already. Its resources are reserved for the job
                // that it is stopped for.
                available.add(&self.jobs[id.job].spec.needs);
            }
        }
        let mut preemption = Preemption {
            cost: 0.0,
            victims: Vec::new(),
        };
        for (cost, id) in self.victim_candidates(job_index, worker_index) {
            if needs.fits_in(&available) {
                break;
            }
            let frees = self.jobs[id.job].spec.needs;
            let helps = (needs.cpus > available.cpus && frees.cpus > 0)
                || (needs.memory > available.memory && frees.memory > 0)
                || (needs.gpus > available.gpus && frees.gpus > 0);
            if helps {
                available.add(&frees);
                preemption.cost += cost;
                preemption.victims.push(id);
            }
        }
        let fits = needs.fits_in(&available);
        debug_assert_eq!(fits, self.can_make_room(job_index, worker_index));
        fits.then_some(preemption)
    }

    /// The task instances on a worker that may be stopped for a job, the cheapest first.
    fn victim_candidates(&self, job_index: u32, worker_index: u32) -> Vec<(f64, InstanceId)> {
        let mut candidates: Vec<(f64, InstanceId)> = self.workers[worker_index]
            .instances
            .iter()
            .filter(|(_, instance)| instance.may_exist() && instance.stop.is_none())
            .filter(|(id, _)| self.may_preempt(job_index, id.job))
            .map(|(id, instance)| (self.stop_cost(job_index, id, instance), *id))
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        candidates
    }

    /// The cost of stopping a task instance: the lost work of it and its gang, increased by the
    /// delay that its grace period causes for the preempting job.
    fn stop_cost(&self, job_index: u32, id: &InstanceId, instance: &TaskInstance) -> f64 {
        let mut lost_work = self.lost_work(id, instance);
        if self.is_multi_task_gang(id.job) {
            lost_work *= f64::from(self.jobs[id.job].spec.tasks);
        }
        // A task that saves a checkpoint frees its resources later. Without this factor, replicas
        // that had to start within a second waited for lower-priority tasks to save theirs.
        let grace_in_tolerances =
            self.stop_grace_s(id.job) / self.jobs[job_index].start_delay_tolerance_s;
        lost_work * grace_in_tolerances.min(MAX_GRACE_IN_TOLERANCES).exp()
    }

    /// The work lost by stopping a task instance, weighted by size and importance: the time to save
    /// for tasks with checkpoints, or else all its work so far.
    fn lost_work(&self, id: &InstanceId, instance: &TaskInstance) -> f64 {
        let job = &self.jobs[id.job];
        let ran_s = instance.running_since.map_or(0.0, |at| self.now - at);
        let lost_s = if job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_save_s
        } else {
            ran_s
        };
        let needs = &job.spec.needs;
        let size = needs.cpus as f64 / MILLI + CPUS_PER_GPU * needs.gpus as f64 / MILLI;
        (lost_s + STOP_OVERHEAD_S) * size * self.weight(id.job)
    }

    /// The grace period, in seconds, in which a stopped task of a job can save a checkpoint; 0 if
    /// the job takes none.
    pub(in crate::coordination) fn stop_grace_s(&self, job_index: u32) -> f64 {
        let spec = &self.jobs[job_index].spec;
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
            .map(|id| self.stop_grace_s(id.job))
            .fold(0.0, f64::max)
    }
}
