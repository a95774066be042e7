//! Starts the next task of a job on a worker.

use crate::coordination::state::Core;

impl Core {
    /// Starts the next task of a job on a worker if [`Core::may_start`] allows it. Returns whether
    /// it was started.
    pub(in crate::coordination) fn start_next_task(
        &mut self,
        job_index: u32,
        worker_index: u32,
    ) -> bool {
        let Some(task) = self.take_next_task(job_index) else {
            return false;
        };
        if !self.may_start(job_index, task, worker_index) {
            self.jobs[job_index].retry_queue.push_front(task);
            return false;
        }
        let attempt = self.new_attempt();
        if self.jobs[job_index].is_gang() {
            self.jobs[job_index].attempt = Some(attempt);
        }
        self.start(job_index, task, worker_index, attempt);
        true
    }

    /// Takes the next task of a job that may be started now: a task to retry, or else one that has
    /// never been started.
    fn take_next_task(&mut self, job_index: u32) -> Option<u32> {
        let now = self.now;
        let job = &mut self.jobs[job_index];
        for _ in 0..job.retry_queue.len() {
            let task = job.retry_queue.pop_front()?;
            let state = &job.tasks[task as usize];
            if state.done || state.instances > 0 {
                continue;
            }
            if f64::from(state.not_before) <= now {
                return Some(task);
            }
            job.retry_queue.push_back(task);
        }
        while job.first_unstarted < job.spec.tasks {
            let task = job.first_unstarted;
            job.first_unstarted += 1;
            let state = &job.tasks[task as usize];
            if !state.done && state.instances == 0 {
                return Some(task);
            }
        }
        None
    }
}
