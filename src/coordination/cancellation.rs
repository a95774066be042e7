//! Cancellation of jobs. No task of a job starts once its cancellation is requested.

use crate::protocol::JobId;
use crate::protocol::job::JobOutcome;

use super::messages::CancelDecision;
use super::model::*;
use super::state::Core;

impl Core {
    /// Begins the cancellation of a job. The caller stores the cancellation if the decision is
    /// [`CancelDecision::Go`].
    pub(super) fn begin_cancellation(&mut self, id: JobId) -> CancelDecision {
        if let Some(outcome) = self.jobs.outcome(id) {
            return CancelDecision::Terminal(outcome);
        }
        let Some(job_index) = self.jobs.index_of(id) else {
            self.jobs.record_early_cancellation(id);
            return CancelDecision::Go { done: 0 };
        };
        match self.jobs[job_index].state {
            JobState::Terminal(outcome) => CancelDecision::Terminal(outcome),
            JobState::Finishing => CancelDecision::Busy,
            JobState::Live | JobState::Cancelling => {
                self.jobs[job_index].begin_cancelling(self.now);
                // Tasks are stopped before the cancellation is stored. The outcome of that write
                // may stay unknown during an outage of the state service, although another
                // controller has read the cancellation and confirmed it to the user.
                self.stop_all_instances(job_index);
                CancelDecision::Go {
                    done: self.jobs[job_index].done,
                }
            }
        }
    }

    /// Ends or resumes a job once the stored result of its cancellation is known.
    pub(super) fn finish_cancellation(&mut self, id: JobId, outcome: Option<JobOutcome>) {
        self.jobs.remove_early_cancellation(id);
        if let Some(outcome) = outcome {
            return self.end_job(id, outcome);
        }
        // No outcome is stored because the job was never accepted, so there is nothing to stop.
        if let Some(job_index) = self.jobs.index_of(id)
            && self.jobs[job_index].state == JobState::Cancelling
        {
            self.jobs[job_index].resume();
            self.finish_if_done(job_index);
        }
    }
}
