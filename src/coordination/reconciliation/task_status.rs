//! What a worker reports of one task, and what follows for its job.

use crate::protocol::worker::{Command, Exit, TaskPhase, TaskStatus, Verb};

use crate::coordination::model::*;
use crate::coordination::state::Core;

/// A task that has run for so long shows that its job is not at fault.
const RUNS_WELL_S: Time = 10.0;
/// How long a job that its worker had no room for waits, and stays away from that worker.
const NO_ROOM_RETRY_S: Time = 0.3;
const NO_ROOM_AVOID_S: Time = 3.0;
/// How long a task waits that its worker was too busy for, or of which it knew nothing.
const BUSY_RETRY_S: Time = 1.0;

impl Core {
    /// Takes in the phase of a task instance that a worker has listed.
    pub(super) fn apply_task_phase(&mut self, m: u32, id: InstanceId, phase: TaskPhase) {
        if !self.workers[m].instances.contains_key(&id) && self.adopt_instance(m, id, phase) {
            return;
        }
        let now = self.now;
        let instance = self.workers[m]
            .instances
            .get_mut(&id)
            .expect("adopted if it was not known");
        if instance.exit().is_some() {
            return;
        }
        let first_report = instance.phase.is_none();
        let was_running = instance.is_running();
        let arrived = matches!(instance.start_delivery, StartDelivery::Response { .. })
            || instance.unacknowledged;
        instance.start_delivery = StartDelivery::Reported;
        instance.phase = Some(phase);
        let is_running = instance.is_running();
        if is_running && !was_running {
            instance.running_since = Some(now);
        }
        let runs_well = is_running
            && instance
                .running_since
                .is_some_and(|since| now - since > RUNS_WELL_S);
        let stopping = instance.stop.is_some();
        if arrived && first_report {
            // What leaves with our answers has an effect, though it may answer no message.
            self.workers[m].commands_unanswered = false;
        }
        let job = &mut self.jobs[id.job];
        let ending = job.is_ending();
        job.running = job.running + u32::from(is_running) - u32::from(was_running);
        // A replica never ends, so running is all it can prove. Without this, a service that
        // failed on one faulty worker waited for ever although its other replicas ran.
        if runs_well {
            self.mark_job_known_good(id.job);
        }
        if matches!(phase, TaskPhase::Exited(_)) {
            self.handle_task_exit(m, id, phase);
            self.release_resources(m, id);
            return;
        }
        if phase != TaskPhase::Fetching {
            self.record_image(m, id.job);
        }
        if ending && !stopping {
            self.stop_instance(m, id, 0.0);
        }
    }

    /// Adds an instance that an earlier leader started, or that is listed again before its worker
    /// has forgotten it. Whether it has exited, which settles it.
    fn adopt_instance(&mut self, m: u32, id: InstanceId, phase: TaskPhase) -> bool {
        let exited = matches!(phase, TaskPhase::Exited(_));
        self.add_instance(m, id, TaskInstance::adopted(exited.then_some(phase)));
        let job = &mut self.jobs[id.job];
        if !exited && job.is_gang() {
            job.attempt = Some(id.attempt);
        }
        if exited {
            self.handle_task_exit(m, id, phase);
        }
        exited
    }

    /// A worker has the image of a job in its cache, as the newest.
    pub(crate) fn record_image(&mut self, m: u32, job: u32) {
        let image = self.jobs[job].image;
        let instance_type = self.types.get(self.workers[m].kind);
        let cache_gb = instance_type.map_or(f64::INFINITY, |t| t.cache_gb);
        let worker = &mut self.workers[m];
        let known = worker.images.contains(&image);
        worker.images.retain(|&i| i != image);
        worker.images.push(image);
        let images = &self.images;
        let mut total_gb: f64 = worker.images.iter().map(|&i| images.size_gb(i)).sum();
        while total_gb > cache_gb && worker.images.len() > 1 {
            total_gb -= images.size_gb(worker.images.remove(0));
        }
        // The next leader reads from the worker registry which images are where.
        if !known {
            self.schedule_images_write(m);
        }
    }

    fn handle_task_exit(&mut self, m: u32, id: InstanceId, phase: TaskPhase) {
        let TaskPhase::Exited(exit) = phase else {
            return;
        };
        match exit {
            Exit::Done => self.handle_task_done(m, id),
            Exit::Error => {
                tracing::info!(
                    job = %self.jobs[id.job].spec.id,
                    task = id.task,
                    worker = self.workers[m].name,
                    "task failed"
                );
                self.handle_task_failure(m, id);
            }
            Exit::NoRoom => {
                self.retry_after(id, NO_ROOM_RETRY_S);
                let avoid_until = self.now + NO_ROOM_AVOID_S;
                self.workers[m].failed_jobs.insert(id.job, avoid_until);
            }
            Exit::Busy | Exit::Unknown => self.retry_after(id, BUSY_RETRY_S),
            Exit::Stopped { .. } | Exit::PeersGone | Exit::Alone => {}
        }
        if exit != Exit::Done {
            self.abort_gang_attempt(id);
        }
    }

    fn retry_after(&mut self, id: InstanceId, pause_s: Time) {
        self.jobs[id.job].tasks[id.task as usize].not_before = (self.now + pause_s) as f32;
    }

    fn handle_task_done(&mut self, m: u32, id: InstanceId) {
        self.record_image(m, id.job);
        self.record_task_success(m, id.job);
        self.mark_job_known_good(id.job);
        if !self.jobs[id.job].is_gang() {
            return self.mark_task_done(id.job, id.task);
        }
        // The tasks of a gang complete together: when one is done, all of them are.
        for task in 0..self.jobs[id.job].spec.tasks {
            self.mark_task_done(id.job, task);
        }
    }

    /// Tasks of jobs that nobody knows, or that ended long ago: stopped, and forgotten once they
    /// have exited.
    pub(super) fn clear_orphaned_tasks(&mut self, m: u32) {
        let orphaned = self.workers[m].orphaned_tasks.iter();
        let commands = orphaned.map(orphan_command).collect();
        self.workers[m].queue_missing(commands);
    }
}

/// What is ordered of a task that belongs to no job that this leader knows.
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
