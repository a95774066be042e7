//! Applies the reported status of one task to its instance and its job.

use crate::protocol::worker::{Command, Exit, TaskPhase, TaskStatus, Verb};

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A task that has run for this long shows that its job is not at fault for failures.
const HEALTHY_RUN_S: Time = 10.0;
/// The delay before a task is started again after its worker had no room for it.
const NO_ROOM_RETRY_S: Time = 0.3;
/// How long a job avoids a worker that had no room for one of its tasks.
const NO_ROOM_AVOID_S: Time = 3.0;
/// The delay before a task is started again after its worker was too busy or did not know it.
const BUSY_RETRY_S: Time = 1.0;

impl Core {
    /// Applies the phase of a task instance that a worker has listed.
    pub(super) fn apply_task_phase(&mut self, worker_index: u32, id: InstanceId, phase: TaskPhase) {
        if !self.workers[worker_index].instances.contains_key(&id)
            && self.adopt_instance(worker_index, id, phase)
        {
            return;
        }
        let now = self.now;
        let instance = self.workers[worker_index]
            .instances
            .get_mut(&id)
            .expect("adopted if it was not known");
        if instance.exit().is_some() {
            return;
        }
        let first_report = instance.phase.is_none();
        let was_running = instance.is_running();
        let confirms_delivery = matches!(instance.start_delivery, StartDelivery::Response { .. })
            || instance.unacknowledged;
        instance.start_delivery = StartDelivery::Reported;
        instance.phase = Some(phase);
        let is_running = instance.is_running();
        if is_running && !was_running {
            instance.running_since = Some(now);
        }
        let runs_long_enough = is_running
            && instance
                .running_since
                .is_some_and(|since| now - since > HEALTHY_RUN_S);
        let stopping = instance.stop.is_some();
        if confirms_delivery && first_report {
            // The worker receives the commands in answers to its heartbeats, even if it does not
            // answer direct messages.
            self.workers[worker_index].commands_unanswered = false;
        }
        let job = &mut self.jobs[id.job];
        let ending = job.is_ending();
        job.running = job.running + u32::from(is_running) - u32::from(was_running);
        // A replica never completes, so running long enough must count as success. Otherwise a
        // service that failed on one faulty worker would wait forever although its other replicas
        // run.
        if runs_long_enough {
            self.mark_job_known_good(id.job);
        }
        if matches!(phase, TaskPhase::Exited(_)) {
            self.handle_task_exit(worker_index, id, phase);
            self.release_resources(worker_index, id);
            return;
        }
        if phase != TaskPhase::Fetching {
            self.record_image(worker_index, id.job);
        }
        if ending && !stopping {
            self.stop_instance(worker_index, id, 0.0);
        }
    }

    /// Adds an instance that an earlier leader started, or that is listed again before its worker
    /// has forgotten it. Returns whether it has exited; if so, its exit has been handled.
    fn adopt_instance(&mut self, worker_index: u32, id: InstanceId, phase: TaskPhase) -> bool {
        let exited = matches!(phase, TaskPhase::Exited(_));
        self.add_instance(
            worker_index,
            id,
            TaskInstance::adopted(exited.then_some(phase)),
        );
        let job = &mut self.jobs[id.job];
        if !exited && job.is_gang() {
            job.attempt = Some(id.attempt);
        }
        if exited {
            self.handle_task_exit(worker_index, id, phase);
        }
        exited
    }

    /// Records that the image of a job is the most recently used one in a worker's cache.
    pub(crate) fn record_image(&mut self, worker_index: u32, job: u32) {
        let image = self.jobs[job].image;
        let instance_type = self.types.get(self.workers[worker_index].instance_type);
        let cache_gb = instance_type.map_or(f64::INFINITY, |t| t.cache_gb);
        let worker = &mut self.workers[worker_index];
        let known = worker.images.contains(&image);
        worker.images.retain(|&i| i != image);
        worker.images.push(image);
        let images = &self.images;
        let mut total_gb: f64 = worker.images.iter().map(|&i| images.size_gb(i)).sum();
        while total_gb > cache_gb && worker.images.len() > 1 {
            total_gb -= images.size_gb(worker.images.remove(0));
        }
        // The worker registry tells the next leader which images each worker has.
        if !known {
            self.schedule_images_write(worker_index);
        }
    }

    fn handle_task_exit(&mut self, worker_index: u32, id: InstanceId, phase: TaskPhase) {
        let TaskPhase::Exited(exit) = phase else {
            return;
        };
        match exit {
            Exit::Done => self.handle_task_done(worker_index, id),
            Exit::Error => {
                tracing::info!(
                    job = %self.jobs[id.job].spec.id,
                    task = id.task,
                    worker = self.workers[worker_index].name,
                    "task failed"
                );
                self.handle_task_failure(worker_index, id);
            }
            Exit::NoRoom => {
                self.delay_retry(id, NO_ROOM_RETRY_S);
                let avoid_until = self.now + NO_ROOM_AVOID_S;
                self.workers[worker_index]
                    .failed_jobs
                    .insert(id.job, avoid_until);
            }
            Exit::Busy | Exit::Unknown => self.delay_retry(id, BUSY_RETRY_S),
            Exit::Stopped { .. } | Exit::PeersGone | Exit::GangTimeout => {}
        }
        if exit != Exit::Done {
            self.abort_gang_attempt(id);
        }
    }

    fn delay_retry(&mut self, id: InstanceId, delay_s: Time) {
        self.jobs[id.job].tasks[id.task as usize].not_before = (self.now + delay_s) as f32;
    }

    fn handle_task_done(&mut self, worker_index: u32, id: InstanceId) {
        self.record_image(worker_index, id.job);
        self.record_task_success(worker_index, id.job);
        self.mark_job_known_good(id.job);
        if !self.jobs[id.job].is_gang() {
            return self.mark_task_done(id.job, id.task);
        }
        // The tasks of a gang complete together: when one is done, all of them are.
        for task in 0..self.jobs[id.job].spec.tasks {
            self.mark_task_done(id.job, task);
        }
    }

    /// Queues the stops of a worker's orphaned tasks, and orders it to forget those that have
    /// exited.
    pub(super) fn queue_orphan_commands(&mut self, worker_index: u32) {
        let orphaned = self.workers[worker_index].orphaned_tasks.iter();
        let commands = orphaned.map(orphan_command).collect();
        self.workers[worker_index].queue_missing(commands);
    }
}

/// The command for an orphaned task, whose job this leader does not know.
pub(super) fn orphan_command(status: &TaskStatus) -> Command {
    Command {
        verb: match status.phase {
            TaskPhase::Exited(_) => Verb::Forget,
            _ => Verb::Stop { grace_s: 0.0 },
        },
        job: status.job,
        task: status.task,
        attempt: status.attempt,
    }
}
