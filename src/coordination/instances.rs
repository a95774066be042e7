//! Task instances: the workers that may hold them, and the resources allocated to them.

use crate::protocol::worker::{Command, Verb};

use super::model::*;
use super::state::Core;

impl Core {
    /// Adds an instance to a worker and, if it may exist, allocates its resources.
    pub(super) fn add_instance(
        &mut self,
        worker_index: u32,
        id: InstanceId,
        instance: TaskInstance,
    ) {
        let may_exist = instance.may_exist();
        let running = instance.is_running();
        let worker = &mut self.workers[worker_index];
        let previous = worker.instances.insert(id, instance);
        debug_assert!(previous.is_none(), "the instance is already on the worker");
        worker.idle_since = None;
        let job = &mut self.jobs[id.job];
        job.listed_instances += 1;
        job.running += u32::from(running);
        if may_exist {
            self.allocate_resources(worker_index, id);
        }
    }

    /// Counts an instance that may exist in the usage of its worker, team and job.
    fn allocate_resources(&mut self, worker_index: u32, id: InstanceId) {
        let job = &mut self.jobs[id.job];
        let needs = job.spec.needs;
        let worker = &mut self.workers[worker_index];
        let zone = worker.zone as usize;
        worker.used.add(&needs);
        self.teams[job.team as usize].used.add(&needs);
        if job.instances_by_zone.len() <= zone {
            job.instances_by_zone.resize(zone + 1, 0);
        }
        job.instances_by_zone[zone] += 1;
        let task = &mut job.tasks[id.task as usize];
        task.instances += 1;
        if task.instances == 1 && !task.done {
            job.active += 1;
        }
    }

    /// Removes an instance from the usage of its worker, team and job, because it is certainly not
    /// on the worker, now or later.
    pub(super) fn release_resources(&mut self, worker_index: u32, id: InstanceId) {
        let job = &mut self.jobs[id.job];
        let needs = job.spec.needs;
        let worker = &mut self.workers[worker_index];
        let zone = worker.zone as usize;
        worker.used.sub(&needs);
        self.teams[job.team as usize].used.sub(&needs);
        job.instances_by_zone[zone] -= 1;
        let task = &mut job.tasks[id.task as usize];
        task.instances -= 1;
        if task.instances > 0 {
            return;
        }
        if !task.done {
            job.active -= 1;
            if id.task < job.first_unstarted {
                job.retry_queue.push_back(id.task);
            }
        }
        if job.is_gang() && job.active == 0 {
            job.attempt = None;
        }
    }

    /// Removes an instance from its worker. The job is removed as well if it has ended and this was
    /// its last instance.
    pub(super) fn remove_instance(&mut self, worker_index: u32, id: InstanceId) {
        let Some(instance) = self.workers[worker_index].instances.remove(&id) else {
            return;
        };
        let job = &mut self.jobs[id.job];
        job.listed_instances -= 1;
        job.running -= u32::from(instance.is_running());
        if instance.may_exist() {
            self.release_resources(worker_index, id);
        }
        self.remove_if_ended(id.job);
    }

    /// Removes everything that a worker held, and its queued commands.
    pub(super) fn clear_worker(&mut self, worker_index: u32) {
        let ids: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .keys()
            .copied()
            .collect();
        for id in ids {
            self.remove_instance(worker_index, id);
            self.abort_gang_attempt(id);
        }
        let worker = &mut self.workers[worker_index];
        worker.outbox.clear();
        worker.orphaned_tasks.clear();
    }

    /// Orders an instance to stop. The stop is repeated after heartbeats until it has an effect.
    pub(super) fn stop_instance(&mut self, worker_index: u32, id: InstanceId, grace_s: f64) {
        let Some(instance) = self.workers[worker_index].instances.get_mut(&id) else {
            return;
        };
        if instance.exit().is_some() {
            return;
        }
        if instance.start_delivery == StartDelivery::Queued {
            self.cancel_queued_start(worker_index, id);
            return;
        }
        if instance.stop.is_some_and(|stop| stop.grace_s <= grace_s) {
            return;
        }
        instance.stop = Some(Stop {
            grace_s,
            sent_at: None,
        });
        let command = self.command(id, Verb::Stop { grace_s });
        self.workers[worker_index].queue_missing(vec![command]);
    }

    /// A command for an instance.
    pub(super) fn command(&self, id: InstanceId, verb: Verb) -> Command {
        Command {
            verb,
            job: self.jobs[id.job].spec.id,
            task: id.task,
            attempt: id.attempt,
        }
    }

    /// Returns an attempt number that no leader has used before.
    pub(super) fn new_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.last_attempt
    }

    /// Queues the start of a task on a worker. The caller has checked `may_start`.
    pub(super) fn start(&mut self, job_index: u32, task: u32, worker_index: u32, attempt: u64) {
        let id = InstanceId {
            job: job_index,
            task,
            attempt,
        };
        let job = &self.jobs[job_index];
        tracing::debug!(
            job = %job.spec.id,
            task,
            worker = self.workers[worker_index].name,
            waited_s = self.now - job.accepted_at,
            class = job.spec.class,
            fetches = !self.workers[worker_index].images.contains(&job.image),
            "start"
        );
        if let Some(failover) = &mut self.failover {
            failover.record_start(self.now - self.elected_at);
        }
        self.add_instance(worker_index, id, TaskInstance::queued());
        let command = self.command(id, Verb::Start);
        let worker = &mut self.workers[worker_index];
        worker.outbox.push(command);
        if let Some(reservation) = worker.reservations.iter_mut().find(|r| r.job == job_index) {
            reservation.count = reservation.count.saturating_sub(1);
        }
        worker.reservations.retain(|r| r.count > 0);
    }

    /// The ids of all instances of a job on a worker.
    pub(super) fn instances_of(&self, worker_index: u32, job: u32) -> Vec<InstanceId> {
        let attempts = self.workers[worker_index].attempts(job, 0..=u32::MAX);
        attempts.map(|(id, _)| *id).collect()
    }

    /// Cancels a start that has not been sent yet, and removes its instance.
    pub(super) fn cancel_queued_start(&mut self, worker_index: u32, id: InstanceId) {
        let start = self.command(id, Verb::Start);
        self.workers[worker_index]
            .outbox
            .retain(|command| *command != start);
        self.remove_instance(worker_index, id);
    }

    /// Cancels all starts for a worker that have not been sent yet.
    pub(super) fn cancel_queued_starts(&mut self, worker_index: u32) {
        let queued: Vec<InstanceId> = self.workers[worker_index]
            .instances
            .iter()
            .filter(|(_, instance)| instance.start_delivery == StartDelivery::Queued)
            .map(|(id, _)| *id)
            .collect();
        for id in queued {
            self.cancel_queued_start(worker_index, id);
            self.abort_gang_attempt(id);
        }
    }
}
